//! Releasing machines of a led shard: they are moved to another shard, or marked as releasing,
//! to be returned to the cloud. Only machines that hold no task are released.

use super::RequestOutcome;
use crate::fencing_token::read_fencing_token_counter;
use crate::state::{ControllerContext, ControllerState, LedShard, Versioned, decode_machine_batch};
use pulleywood_protocol::machine_batch::MachineBatchUpdate;
use pulleywood_protocol::record::{
    FencingTokenCounter, MachineRecord, machine_batch_key, shard_leader_key,
};
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::{FencingToken, MachineId, Revision, ShardId};
use pulleywood_transport::store::Outcome;
use pulleywood_transport::{RequestPriority, StoreError};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a request starts no further transaction. The coordinator waits at most
/// 3 s for the response.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Attempts to fence off a transaction whose outcome is unknown.
const MAX_FENCE_ATTEMPTS: u32 = 10;
/// Pause before each attempt to fence off a transaction.
const FENCE_PAUSE: Duration = Duration::from_millis(500);

/// Where released machines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// To another shard.
    Shard(ShardId),
    /// Back to the cloud, by marking them as releasing.
    Cloud,
}

impl std::fmt::Display for Destination {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Destination::Shard(shard) => write!(f, "shard {shard}"),
            Destination::Cloud => f.write_str("the cloud"),
        }
    }
}

/// A transaction by which machines leave a shard, ready to be committed.
struct PreparedRelease {
    shard: ShardId,
    shard_revision: Revision,
    machines: Vec<MachineId>,
    /// The changed machine batches, as they are after the transaction.
    machine_batches: Vec<MachineBatchUpdate>,
    transaction: Transaction,
}

/// Releases machines of a led shard, in as many transactions as the limit of writes in a
/// transaction requires. Accepted if every transaction was applied.
pub fn release_machines(
    context: &ControllerContext,
    ids: &[MachineId],
    to: Destination,
) -> RequestOutcome {
    let deadline = context.clock.now() + RELEASE_TIMEOUT;
    let (by_batch, max_batches) = group_by_batch(context, ids, to);
    let mut outcome = RequestOutcome::Accepted;
    for machines in by_batch.chunks(max_batches) {
        let expired = context.clock.now() >= deadline;
        if expired || release_together(context, &machines.concat(), to) == RequestOutcome::Refused {
            outcome = RequestOutcome::Refused;
        }
    }
    outcome
}

/// Groups the machines by their machine batch. Also returns how many machine batches one
/// transaction may change.
fn group_by_batch(
    context: &ControllerContext,
    ids: &[MachineId],
    to: Destination,
) -> (Vec<Vec<MachineId>>, usize) {
    let controller = context.controller.lock();
    let mut by_batch: BTreeMap<u64, Vec<MachineId>> = BTreeMap::new();
    for id in ids {
        let batch = controller.cached.machine_batches.find(id);
        let machines = by_batch.entry(batch.unwrap_or(u64::MAX)).or_default();
        machines.push(id.clone());
    }
    // The transaction of a move also writes the fencing-token counter.
    let token_writes = match to {
        Destination::Shard(_) => 1,
        Destination::Cloud => 0,
    };
    let max_batches = controller
        .config
        .max_batch_operations
        .saturating_sub(token_writes);
    (by_batch.into_values().collect(), max_batches.max(1))
}

/// Releases machines in one transaction, except those that may not leave now.
fn release_together(
    context: &ControllerContext,
    ids: &[MachineId],
    to: Destination,
) -> RequestOutcome {
    let counter = match to {
        Destination::Shard(_) => read_fencing_token_counter(context),
        Destination::Cloud => Ok(Versioned::default()),
    };
    let Ok(counter) = counter else {
        return RequestOutcome::Refused;
    };
    let Some(prepared) = prepare(context, ids, to, counter) else {
        return RequestOutcome::Refused;
    };
    if prepared.machine_batches.is_empty() {
        prepared.retain_machines(context);
        return RequestOutcome::Refused;
    }
    let outcome = context
        .store
        .commit(RequestPriority::Housekeeping, &prepared.transaction);
    prepared.apply(context, outcome, to)
}

/// Marks the machines that may leave as leaving, and prepares the transaction that writes
/// their new records; `None` if this controller may not act or no machine may leave now.
fn prepare(
    context: &ControllerContext,
    ids: &[MachineId],
    to: Destination,
    counter: Versioned<FencingToken>,
) -> Option<PreparedRelease> {
    let now = context.clock.now();
    let mut guard = context.controller.lock();
    if !guard.may_act(now) {
        return None;
    }
    let ControllerState {
        config,
        cached,
        led_shards,
        ..
    } = &mut *guard;
    let (shard, led) = led_shards
        .iter_mut()
        .find(|(_, led)| ids.iter().any(|id| may_leave(led, id)))?;
    let fencing_token = counter.value.next();
    let records = records_to_write(led, ids, to, fencing_token);
    led.state.invalidate_plan();
    let mut transaction = Transaction::default().when(shard_leader_key(*shard), led.revision);
    if let Destination::Shard(_) = to {
        let next_counter = FencingTokenCounter {
            last: fencing_token,
        };
        transaction = next_counter.replace(transaction, counter.revision);
    }
    let limit = config.machine_batch_bytes();
    let (transaction, machine_batches) =
        cached
            .machine_batches
            .update_records(transaction, &records, limit);
    Some(PreparedRelease {
        shard: *shard,
        shard_revision: led.revision,
        machines: records.into_keys().collect(),
        machine_batches,
        transaction,
    })
}

fn may_leave(led: &LedShard, id: &MachineId) -> bool {
    led.is_active() && led.state.may_leave(id)
}

/// Marks machines as leaving. Returns the records to store for them.
fn records_to_write(
    led: &mut LedShard,
    ids: &[MachineId],
    to: Destination,
    fencing_token: FencingToken,
) -> BTreeMap<MachineId, Option<MachineRecord>> {
    let mut records = BTreeMap::new();
    for id in ids {
        if !may_leave(led, id) {
            continue;
        }
        let Some(machine) = led.state.machines.get_mut(id) else {
            continue;
        };
        machine.leaving = true;
        let mut record = machine.record.clone();
        match to {
            Destination::Shard(to) => {
                record.shard = to;
                record.fencing_token = fencing_token;
            }
            Destination::Cloud => record.releasing = true,
        }
        records.insert(id.clone(), Some(record));
    }
    records
}

impl PreparedRelease {
    fn apply(
        self,
        context: &ControllerContext,
        outcome: Result<Outcome, StoreError>,
        to: Destination,
    ) -> RequestOutcome {
        match outcome {
            Ok(Outcome::Applied(revision)) => {
                context.put_machine_batches(self.machine_batches, revision);
                let (shard, machines) = (self.shard, &self.machines);
                match to {
                    Destination::Shard(_) => {
                        log::info!("released machines {machines:?} of shard {shard} to {to}");
                    }
                    Destination::Cloud => log::info!(
                        "marked machines {machines:?} of shard {shard} for release to {to}"
                    ),
                }
                RequestOutcome::Accepted
            }
            Ok(Outcome::Conflict)
            | Err(StoreError::NotSent(_) | StoreError::Refused(_) | StoreError::Budget(_)) => {
                self.retain_machines(context);
                RequestOutcome::Refused
            }
            Err(_) => {
                // The outcome is unknown, and the transaction may still be applied minutes
                // from now. The machines stay out of use until a newer write fences it off.
                for id in &self.machines {
                    fence_machine(context, self.shard, self.shard_revision, id);
                }
                RequestOutcome::Refused
            }
        }
    }

    fn retain_machines(&self, context: &ControllerContext) {
        for id in &self.machines {
            retain_machine(context, self.shard, id);
        }
    }
}

/// Undoes the mark of a machine as leaving, unless its record says that it is releasing.
fn retain_machine(context: &ControllerContext, shard: ShardId, id: &MachineId) {
    let mut controller = context.controller.lock();
    if let Some(led) = controller.led_shards.get_mut(&shard)
        && let Some(machine) = led.state.machines.get_mut(id)
    {
        machine.leaving = machine.record.releasing;
        led.state.invalidate_plan();
    }
}

/// Outcome of one attempt to fence off a transaction that releases a machine.
enum FenceOutcome {
    /// The transaction can no longer be applied, or it has been: the machine has left.
    Done,
    /// The attempt failed and has to be repeated.
    Retry,
}

/// Fences off an older transaction whose outcome is unknown: rewrites the machine batch of a
/// machine unchanged, so that a transaction conditioned on its old revision is refused.
fn fence_machine(
    context: &ControllerContext,
    shard: ShardId,
    shard_revision: Revision,
    id: &MachineId,
) {
    for _ in 0..MAX_FENCE_ATTEMPTS {
        std::thread::sleep(FENCE_PAUSE);
        if let FenceOutcome::Done = try_to_fence_machine(context, shard, shard_revision, id) {
            return;
        }
    }
}

fn try_to_fence_machine(
    context: &ControllerContext,
    shard: ShardId,
    shard_revision: Revision,
    id: &MachineId,
) -> FenceOutcome {
    let batch_number = context.controller.lock().cached.machine_batches.find(id);
    let Some(number) = batch_number else {
        return FenceOutcome::Done;
    };
    let key = machine_batch_key(number);
    let item = match context.store.get(RequestPriority::ShardLeader, &key) {
        Ok(Some(item)) => item,
        Ok(None) => return FenceOutcome::Done,
        Err(_) => return FenceOutcome::Retry,
    };
    let Some(batch) = decode_machine_batch(&item.value, &key) else {
        return FenceOutcome::Done;
    };
    let still_here = |record: &MachineRecord| record.shard == shard && !record.releasing;
    if !batch.machines.get(id).is_some_and(still_here) {
        context.put_machine_batches(vec![(number, Some(batch))], item.revision);
        return FenceOutcome::Done;
    }
    let transaction = Transaction::default()
        .when(key.clone(), item.revision)
        .when(shard_leader_key(shard), shard_revision)
        .write(key, &batch);
    match context
        .store
        .commit(RequestPriority::ShardLeader, &transaction)
    {
        Ok(Outcome::Applied(revision)) => {
            context.put_machine_batches(vec![(number, Some(batch))], revision);
            retain_machine(context, shard, id);
            FenceOutcome::Done
        }
        Ok(Outcome::Conflict) | Err(_) => FenceOutcome::Retry,
    }
}
