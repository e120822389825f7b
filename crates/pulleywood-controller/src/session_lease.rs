//! The session lease, which all keys held by this controller are attached to: its shards'
//! leadership keys and the coordinator lease end with it.

use crate::state::{ControllerContext, decode_record};
use pulleywood_protocol::LeaseId;
use pulleywood_protocol::record::{COORDINATOR_LEASE, LeaseHolder, shard_leader_key};
use pulleywood_transport::{RequestPriority, StoreError};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for the answer to a renewal.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Pause before a new lease is asked for.
const EXPIRED_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a failed renewal.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Pause while the cached state has not been read yet.
const NOT_CACHED_PAUSE: Duration = Duration::from_millis(20);
/// Pause after a failed attempt to end the former process's lease.
const FORMER_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Keeps the lease renewed; runs for the life of the process.
pub fn renew(context: &Arc<ControllerContext>) {
    end_former_lease(context);
    loop {
        let pause = match grant_or_renew(context) {
            Ok(ttl) => ttl / 5,
            Err(StoreError::NoLease) => {
                note_expired(context);
                EXPIRED_PAUSE
            }
            Err(e) => {
                log::debug!("failed to renew the session lease: {e}");
                RETRY_PAUSE
            }
        };
        // Jittered, so that renewals do not come back together after a stall.
        std::thread::sleep(pause.mul_f64(0.85 + 0.3 * fastrand::f64()));
    }
}

/// Asks for a lease, or renews it; its time to live.
fn grant_or_renew(context: &ControllerContext) -> Result<Duration, StoreError> {
    let (lease_id, ttl) = {
        let controller = context.controller.lock();
        (controller.lease.lease_id, controller.lease_ttl())
    };
    // Counted from before the request, so that the local end lies before the store's.
    let sent = context.clock.now();
    let granted = match lease_id {
        None => Some(context.store.grant_lease(ttl)?),
        Some(lease_id) => {
            let timeout = (ttl / 3).min(RENEWAL_TIMEOUT);
            context.store.renew(lease_id, timeout)?;
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
    log::info!("the session lease expired: lost all shards");
    let mut controller = context.controller.lock();
    controller.lease.lease_id = None;
    controller.led_shards.clear();
}

/// A restarted process ends the lease of this controller's former process, which is dead,
/// so that its shards need not wait until the lease expires.
fn end_former_lease(context: &ControllerContext) {
    wait_until_cached(context);
    while let Some(key) = key_of_former_process(context) {
        match end_lease_of(context, &key) {
            Ok(()) => {
                log::info!("ended the lease of this controller's former process");
                return;
            }
            Err(e) => {
                log::debug!("failed to end the former process's lease: {e}");
                std::thread::sleep(FORMER_RETRY_PAUSE);
                wait_until_cached(context);
            }
        }
    }
}

fn wait_until_cached(context: &ControllerContext) {
    while !context.controller.lock().cache_loaded {
        std::thread::sleep(NOT_CACHED_PAUSE);
    }
}

/// A key that is attached to the lease of this controller's former process.
fn key_of_former_process(context: &ControllerContext) -> Option<String> {
    let controller = context.controller.lock();
    let cached = &controller.cached;
    let mut shards = cached.shard_leaders.iter();
    let shard = shards.find(|(_, holder)| is_former_process(context, &holder.value));
    shard
        .map(|(shard, _)| shard_leader_key(*shard))
        .or_else(|| {
            let holder = cached.coordinator_lease.as_ref()?;
            is_former_process(context, &holder.value).then(|| COORDINATOR_LEASE.to_owned())
        })
}

fn is_former_process(context: &ControllerContext, holder: &LeaseHolder) -> bool {
    holder.member == context.controller_id && holder.boot != context.boot
}

/// Ends the lease that a key is attached to, if it is still the former process's: another
/// may have acquired the key since.
fn end_lease_of(context: &ControllerContext, key: &str) -> Result<(), StoreError> {
    let Some(item) = context.store.get(RequestPriority::Lease, key)? else {
        return Ok(());
    };
    let holder = decode_record::<LeaseHolder>(Some(&item.value), key);
    let former = holder.is_some_and(|holder| is_former_process(context, &holder));
    let lease_id: Option<LeaseId> = item.lease_id.filter(|_| former);
    lease_id.map_or(Ok(()), |lease_id| context.store.end(lease_id))
}
