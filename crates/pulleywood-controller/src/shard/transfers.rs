//! Transferring waiting tasks of a led shard to another shard.
//!
//! One write of the job's record takes the tasks from this shard and gives them to the other,
//! so the other shard cannot see them before this one has given them up. While a transfer is
//! under way, its tasks are offered, and offered tasks are not launched here.

use super::RequestOutcome;
use crate::state::{CachedState, ControllerContext, LedShard};
use pulleywood_protocol::job_batch::JobBatchRecord;
use pulleywood_protocol::peer::Demand;
use pulleywood_protocol::record::{JobRecord, job_key, shard_leader_key};
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::{JobId, Revision, ShardId};
use pulleywood_scheduler::Config;
use pulleywood_scheduler::shard::transfer::TransferOffer;
use pulleywood_transport::store::Outcome;
use pulleywood_transport::{RequestPriority, StoreError};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a request starts no further transfer, as its sender no longer waits.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1000);

/// A transfer of tasks of one job, ready to be committed.
struct PreparedTransfer {
    from: ShardId,
    id: JobId,
    record: JobRecord,
    transaction: Transaction,
    /// The job batches from which the job is removed, as they are after the transaction.
    job_batches: Vec<(u64, Option<JobBatchRecord>)>,
}

/// Transfers waiting tasks of a led shard that match a demand to another shard. Accepted if at
/// least one transfer was applied.
pub fn transfer_tasks(
    context: &ControllerContext,
    from: ShardId,
    to: ShardId,
    demand: &Demand,
) -> RequestOutcome {
    let now = context.clock.now();
    let deadline = now + TRANSFER_TIMEOUT;
    let mut request_outcome = RequestOutcome::Refused;
    for transfer in prepare_transfers(context, from, to, demand) {
        let outcome = if context.clock.now() < deadline {
            context
                .store
                .commit(RequestPriority::Housekeeping, &transfer.transaction)
        } else {
            // Not sent, so the offer is withdrawn.
            Err(StoreError::Budget(Duration::ZERO))
        };
        if let RequestOutcome::Accepted = transfer.apply(context, outcome) {
            request_outcome = RequestOutcome::Accepted;
        }
    }
    request_outcome
}

fn prepare_transfers(
    context: &ControllerContext,
    from: ShardId,
    to: ShardId,
    demand: &Demand,
) -> Vec<PreparedTransfer> {
    let now = context.clock.now();
    let mut guard = context.controller.lock();
    if !guard.may_act(now) {
        return Vec::new();
    }
    let controller = &mut *guard;
    let config = Arc::clone(&controller.config);
    let led = controller.led_shards.get_mut(&from);
    let Some(led) = led.filter(|led| led.is_active()) else {
        return Vec::new();
    };
    let offers = led.state.offer_tasks(demand, &config).into_iter();
    offers
        .filter_map(|offer| prepare_transfer(&controller.cached, led, from, to, offer, &config))
        .collect()
}

fn prepare_transfer(
    cached: &CachedState,
    led: &mut LedShard,
    from: ShardId,
    to: ShardId,
    offer: TransferOffer,
    config: &Config,
) -> Option<PreparedTransfer> {
    let TransferOffer { id, zone, tasks } = offer;
    let job = led.state.jobs.get(&id)?;
    let mut record = job.to_record(job.committed.chunk_text(0, config.chunk_tasks));
    record.transfer_tasks(to, zone.as_deref(), &tasks);
    let key = job_key(id.shard(config.shards), &id);
    // A job that is still in a job batch has no record of its own.
    let revision = if job.in_job_batch {
        Revision(0)
    } else {
        job.revision
    };
    let mut transaction = Transaction::default()
        .when(shard_leader_key(from), led.revision)
        .when(key.clone(), revision)
        .write(key, &record);
    let mut job_batches = Vec::new();
    if job.in_job_batch {
        let removed = BTreeSet::from([id.clone()]);
        (transaction, job_batches) = cached.job_batches.remove_jobs(transaction, &removed);
        if job_batches.is_empty() {
            // The job has been removed from its job batch; the watch will deliver its record
            // or its end.
            led.state.withdraw_offer(&id);
            return None;
        }
    }
    Some(PreparedTransfer {
        from,
        id,
        record,
        transaction,
        job_batches,
    })
}

impl PreparedTransfer {
    fn apply(
        self,
        context: &ControllerContext,
        outcome: Result<Outcome, StoreError>,
    ) -> RequestOutcome {
        let now = context.clock.now();
        let mut controller = context.controller.lock();
        if let Ok(Outcome::Applied(revision)) = outcome {
            controller.put_job(&self.record, revision, now);
            controller.put_job_batches(self.job_batches, revision, now);
            return RequestOutcome::Accepted;
        }
        if let Some(led) = controller.led_shards.get_mut(&self.from) {
            match outcome {
                Err(StoreError::OutcomeUnknown(_)) => led.state.mark_offer_uncertain(&self.id),
                // The transaction was not applied and never will be.
                _ => led.state.withdraw_offer(&self.id),
            }
        }
        RequestOutcome::Refused
    }
}
