//! Grants and renews the session lease of this controller. The leader keys of its shards and
//! the coordinator lease are attached to it and are deleted when it ends.

use crate::state::{ControllerContext, decode_record};
use pulleywood_protocol::LeaseId;
use pulleywood_protocol::record::{COORDINATOR_LEASE, LeaseHolder, shard_leader_key};
use pulleywood_transport::{RequestPriority, StoreError};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for the response to a renewal.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Delay before a new lease is requested after the previous one expired.
const NEW_LEASE_DELAY: Duration = Duration::from_millis(50);
/// Delay after a failed grant or renewal.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time between two checks whether the cached state has been read.
const CACHE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay after a failed attempt to end the previous process's lease.
const END_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Ends the lease of the previous process, then keeps this process's lease renewed. Runs for
/// the life of the process.
pub fn run(context: &Arc<ControllerContext>) {
    end_previous_lease(context);
    loop {
        let delay = match grant_or_renew(context) {
            Ok(ttl) => ttl / 5,
            Err(StoreError::NoLease) => {
                note_expired(context);
                NEW_LEASE_DELAY
            }
            Err(e) => {
                log::debug!("failed to grant or renew the session lease: {e}");
                RENEWAL_RETRY_DELAY
            }
        };
        // Jittered by 15 %, so that the renewals of all controllers do not coincide after an
        // outage.
        std::thread::sleep(delay.mul_f64(0.85 + 0.3 * fastrand::f64()));
    }
}

/// Requests a lease if there is none, or else renews it. Returns its time to live.
fn grant_or_renew(context: &ControllerContext) -> Result<Duration, StoreError> {
    let (lease_id, ttl) = {
        let controller = context.controller.lock();
        (controller.lease.lease_id, controller.lease_ttl())
    };
    // The local expiry counts from before the request, so that it precedes the store's.
    let sent = context.clock.now();
    let granted = match lease_id {
        None => Some(context.store.grant_lease(ttl)?),
        Some(lease_id) => {
            let timeout = (ttl / 3).min(RENEWAL_TIMEOUT);
            context.store.renew_lease(lease_id, timeout)?;
            None
        }
    };
    let mut controller = context.controller.lock();
    if granted.is_some() {
        controller.lease.lease_id = granted;
    }
    controller.lease.renewed_at = sent;
    Ok(ttl)
}

fn note_expired(context: &ControllerContext) {
    log::info!("lost all shards: the session lease expired");
    let mut controller = context.controller.lock();
    controller.lease.lease_id = None;
    controller.led_shards.clear();
}

/// Ends the lease of this controller's previous process, which no longer runs, so that its
/// shards get a leader before that lease expires.
fn end_previous_lease(context: &ControllerContext) {
    wait_until_cache_loaded(context);
    while let Some(key) = key_of_previous_process(context) {
        match end_lease_of(context, &key) {
            Ok(()) => {
                log::info!("ended the session lease of this controller's previous process");
                return;
            }
            Err(e) => {
                log::debug!(
                    "failed to end the session lease of the previous process, found by {key}: {e}"
                );
                std::thread::sleep(END_RETRY_DELAY);
                wait_until_cache_loaded(context);
            }
        }
    }
}

fn wait_until_cache_loaded(context: &ControllerContext) {
    while !context.controller.lock().cache_loaded {
        std::thread::sleep(CACHE_CHECK_INTERVAL);
    }
}

/// Returns a key that is attached to the lease of this controller's previous process.
fn key_of_previous_process(context: &ControllerContext) -> Option<String> {
    let controller = context.controller.lock();
    let cached = &controller.cached;
    let mut shard_leaders = cached.shard_leaders.iter();
    let shard = shard_leaders.find(|(_, holder)| is_previous_process(context, &holder.value));
    shard
        .map(|(shard, _)| shard_leader_key(*shard))
        .or_else(|| {
            let holder = cached.coordinator_lease.as_ref()?;
            is_previous_process(context, &holder.value).then(|| COORDINATOR_LEASE.to_owned())
        })
}

fn is_previous_process(context: &ControllerContext, holder: &LeaseHolder) -> bool {
    holder.member == context.controller_id && holder.boot != context.boot
}

/// Ends the lease that a key is attached to, if it is still that of the previous process:
/// another controller may have acquired the key since.
fn end_lease_of(context: &ControllerContext, key: &str) -> Result<(), StoreError> {
    let Some(item) = context.store.get(RequestPriority::Lease, key)? else {
        return Ok(());
    };
    let holder = decode_record::<LeaseHolder>(Some(&item.value), key);
    let is_previous = holder.is_some_and(|holder| is_previous_process(context, &holder));
    let lease_id: Option<LeaseId> = item.lease_id.filter(|_| is_previous);
    lease_id.map_or(Ok(()), |lease_id| context.store.revoke_lease(lease_id))
}
