//! Acquiring the leadership of a shard.
//!
//! One transaction allocates a new fencing token, attaches the shard's leadership key to this
//! controller's session lease and replaces the record of the previous leader. It is also
//! conditioned on the revision of the shard's quota: a quota from before the last shrink must
//! not be used, as other shards may have been given what the shrink freed.

use super::load::load;
use crate::clock::time_of_day_ms;
use crate::fencing_token::read_fencing_token_counter;
use crate::state::{ControllerContext, ControllerState, LedShard, Versioned, decode_record};
use pulleywood_protocol::record::{
    FencingTokenCounter, LeaseHolder, PreviousLeaseHolder, QuotaRecord, previous_leader_key,
    quota_key, shard_leader_key,
};
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::{FencingToken, LeaseId, MonotonicTime, Revision, ShardId};
use pulleywood_scheduler::{Config, ShardState, quota};
use pulleywood_transport::store::Outcome;
use pulleywood_transport::{RequestPriority, StoreError};
use std::sync::Arc;
use std::time::Duration;

/// The record of the previous leader; `None` if there was none or it cannot be decoded.
type PreviousLeader = Versioned<Option<PreviousLeaseHolder>>;

/// An attempt to acquire a shard that is ready to be committed.
struct PreparedAcquire {
    shard: ShardId,
    lease_id: LeaseId,
    holder: LeaseHolder,
    previous: Option<PreviousLeaseHolder>,
    /// The quota to write if the shard has none yet.
    first_quota: Option<QuotaRecord>,
    config: Arc<Config>,
    transaction: Transaction,
}

/// Outcome of an attempt in the store.
enum AcquireOutcome {
    /// The leadership key was written at this revision.
    Acquired(Revision),
    /// The key was not written, or another process holds it.
    NotAcquired,
}

/// Outcome of applying an acquired shard to the controller state.
enum ApplyOutcome {
    /// This controller leads the shard.
    Led,
    /// The leadership has ended since the transaction was committed.
    Ended,
}

/// How long tasks launched by previous leaders may be running without this controller
/// knowing of them.
struct PreviousLaunches {
    /// Until then a machine that has sent this controller no heartbeat may run such tasks.
    until: MonotonicTime,
    /// The only leader concerned, which can shorten the wait by confirming that it no longer
    /// answers workers; `None` if there is no such leader.
    leader: Option<LeaseHolder>,
}

/// Acquires a shard that has no leader, then loads it.
pub fn acquire(
    context: &Arc<ControllerContext>,
    shard: ShardId,
    lease_id: LeaseId,
) -> Result<(), StoreError> {
    let counter = read_fencing_token_counter(context)?;
    let previous = read_previous_leader(context, shard)?;
    let prepared = prepare(context, shard, lease_id, counter, previous);
    match prepared.commit(context)? {
        AcquireOutcome::Acquired(revision) => match prepared.apply(context, revision) {
            ApplyOutcome::Led => load(context, shard, revision),
            ApplyOutcome::Ended => Ok(()),
        },
        AcquireOutcome::NotAcquired => Ok(()),
    }
}

fn read_previous_leader(
    context: &ControllerContext,
    shard: ShardId,
) -> Result<PreviousLeader, StoreError> {
    let key = previous_leader_key(shard);
    let item = context.store.get(RequestPriority::ShardLeader, &key)?;
    Ok(item.map_or_else(Versioned::default, |item| {
        Versioned::new(decode_record(Some(&item.value), &item.path), item.revision)
    }))
}

fn prepare(
    context: &ControllerContext,
    shard: ShardId,
    lease_id: LeaseId,
    counter: Versioned<FencingToken>,
    previous: PreviousLeader,
) -> PreparedAcquire {
    let fencing_token = counter.value.next();
    let holder = context.lease_holder(fencing_token);
    let (config, quota_revision, shards) = {
        let controller = context.controller.lock();
        let quota = controller.cached.quotas.get(&shard);
        let revision = quota.map(|quota| quota.revision);
        let shards = controller.cached.shard_count().unwrap_or(1);
        (Arc::clone(&controller.config), revision, shards)
    };
    let next_counter = FencingTokenCounter {
        last: fencing_token,
    };
    let next_previous = PreviousLeaseHolder {
        holder: holder.clone(),
        reconciled: previous.value.is_none(),
    };
    let vacant = Transaction::default().when(shard_leader_key(shard), Revision(0));
    let mut transaction = next_counter
        .replace(vacant, counter.revision)
        .when(previous_leader_key(shard), previous.revision)
        .write_with_lease(shard_leader_key(shard), &holder, lease_id)
        .write(previous_leader_key(shard), &next_previous)
        // A cached state that was read in several pages may show the shard as vacant and
        // still have its quota from before the last shrink.
        .when(quota_key(shard), quota_revision.unwrap_or_default());
    let first_quota = quota_revision
        .is_none()
        .then(|| quota::initial_quotas(&config, shards));
    if let Some(first_quota) = &first_quota {
        transaction = transaction.write(quota_key(shard), first_quota);
    }
    PreparedAcquire {
        shard,
        lease_id,
        holder,
        previous: previous.value,
        first_quota,
        config,
        transaction,
    }
}

impl PreparedAcquire {
    fn commit(&self, context: &ControllerContext) -> Result<AcquireOutcome, StoreError> {
        match context
            .store
            .commit(RequestPriority::Lease, &self.transaction)
        {
            Ok(Outcome::Applied(revision)) => Ok(AcquireOutcome::Acquired(revision)),
            Ok(Outcome::Conflict) => {
                // Most likely another controller allocated a fencing token at the same time.
                std::thread::sleep(Duration::from_millis(fastrand::u64(5..60)));
                Ok(AcquireOutcome::NotAcquired)
            }
            Err(StoreError::OutcomeUnknown(_)) => self.read_outcome(context),
            Err(e) => Err(e),
        }
    }

    /// Reads the leadership key, which names this attempt's holder and fencing token if the
    /// transaction was applied.
    fn read_outcome(&self, context: &ControllerContext) -> Result<AcquireOutcome, StoreError> {
        let key = shard_leader_key(self.shard);
        let item = context.store.get(RequestPriority::ShardLeader, &key)?;
        let own_key = item.filter(|item| {
            decode_record::<LeaseHolder>(Some(&item.value), &item.path).as_ref()
                == Some(&self.holder)
        });
        Ok(own_key.map_or(AcquireOutcome::NotAcquired, |item| {
            AcquireOutcome::Acquired(item.revision)
        }))
    }

    /// Adds the shard to the shards that this controller leads.
    fn apply(self, context: &ControllerContext, revision: Revision) -> ApplyOutcome {
        let now = context.clock.now();
        let previous_launches = self.previous_launches(context, now);
        log::info!(
            "acquired shard {} with fencing token {}, previous leader {}",
            self.shard,
            self.holder.fencing_token,
            self.previous.as_ref().map_or_else(
                || "none known".to_owned(),
                |previous| format!(
                    "{} (fencing token {}, reconciled: {})",
                    previous.holder.member, previous.holder.fencing_token, previous.reconciled
                )
            )
        );
        let mut controller = context.controller.lock();
        if controller.lease.lease_id != Some(self.lease_id)
            || leadership_ended(&controller, self.shard, revision)
        {
            return ApplyOutcome::Ended;
        }
        let mut state = ShardState::new(
            self.shard,
            self.holder.fencing_token,
            previous_launches.until,
            self.config.zones.clone(),
        );
        state.suspended_jobs = controller.suspended_jobs.clone();
        state.resumption.delays_preemption = context.recovery.is_some();
        state.wall_clock_offset_ms = now.0 as i64 - time_of_day_ms() as i64;
        if let Some(first_quota) = self.first_quota {
            controller.put_quota(self.shard, first_quota, revision);
        }
        if let Some(quota) = controller.cached.quotas.get(&self.shard) {
            state.quotas = quota.value.clone();
        }
        let holder = Versioned::new(self.holder, revision);
        controller.cached.shard_leaders.insert(self.shard, holder);
        controller.cached.vacant_since.remove(&self.shard);
        let led = LedShard {
            state,
            revision,
            loaded: false,
            deferred_changes: Vec::new(),
            handing_over: false,
            acquired_at: now,
            reconciled_revision: self.previous.is_none().then_some(revision),
            previous_leader: previous_launches.leader,
        };
        controller.led_shards.insert(self.shard, led);
        ApplyOutcome::Led
    }

    /// How long workers that send this controller no heartbeats may run tasks of previous
    /// leaders. The previous leader may answer workers for some time after its last contact
    /// with the store, unless its process is known to have ended. If it had not accounted
    /// for all machines itself, leaders before it may still answer workers too, even if the
    /// previous leader was a former process of this controller.
    fn previous_launches(
        &self,
        context: &ControllerContext,
        now: MonotonicTime,
    ) -> PreviousLaunches {
        let Some(previous) = &self.previous else {
            return PreviousLaunches {
                until: now,
                leader: None,
            };
        };
        let this_controller = previous.holder.member == context.controller_id;
        match (previous.reconciled, this_controller) {
            (false, _) => PreviousLaunches {
                until: now + self.config.previous_leader_window(),
                leader: None,
            },
            (true, true) => PreviousLaunches {
                until: now + self.config.lease_expiry_bound(),
                leader: None,
            },
            (true, false) => PreviousLaunches {
                until: now + self.config.previous_leader_window(),
                leader: Some(previous.holder.clone()),
            },
        }
    }
}

/// Whether the watch has already delivered the end of the leadership that was acquired at
/// `revision`. It will not deliver that change again.
fn leadership_ended(controller: &ControllerState, shard: ShardId, revision: Revision) -> bool {
    let key = controller.cached.shard_leaders.get(&shard);
    controller.watch_reached(revision) && key.is_none_or(|key| key.revision != revision)
}
