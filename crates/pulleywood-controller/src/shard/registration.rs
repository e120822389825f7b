//! Registration of machines: writes the records of many machines in one transaction. No task
//! is launched on a machine before its record is stored.

use crate::batch_queue::WaitOutcome;
use crate::fencing_token::read_fencing_token_counter;
use crate::state::queues::{RegistrationOutcome, UnregisteredMachine};
use crate::state::{ControllerContext, ControllerState, Versioned};
use crate::watch;
use pulleywood_protocol::job_batch::BatchHead;
use pulleywood_protocol::machine_batch::MachineBatchRecord;
use pulleywood_protocol::record::{
    FencingTokenCounter, MACHINE_BATCH_HEAD, MachineRecord, machine_batch_key, shard_leader_key,
};
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::worker::Heartbeat;
use pulleywood_protocol::{FencingToken, MachineId, MonotonicTime, Revision, ShardId};
use pulleywood_transport::{RequestPriority, StoreError};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Longest time that a heartbeat waits for the registration of its machine. A worker waits
/// 4 s for the response to its heartbeat.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time during which new machines are collected for one transaction.
const BATCHING_WINDOW: Duration = Duration::from_millis(60);
/// Attempts to write one machine batch, as transactions of other controllers may conflict.
const MAX_ATTEMPTS: u32 = 4;
/// Write tokens that the transaction of a machine batch needs: one for the head, one for
/// the batch.
const WRITE_TOKENS: u32 = 2;

/// Machines that wait to be registered, by their number in the queue.
type WaitingMachines = BTreeMap<u64, UnregisteredMachine>;

/// The machine batch to which new machines are added.
struct TargetBatch {
    number: u64,
    batch: MachineBatchRecord,
    /// Revision of the batch's key; 0 if the batch is new.
    revision: Revision,
    head: BatchHead,
    head_revision: Revision,
}

/// A machine batch that is ready to be written.
struct PreparedMachineBatch {
    number: u64,
    batch: MachineBatchRecord,
    head: BatchHead,
    /// Machines that the batch registers.
    registered: BTreeSet<MachineId>,
    transaction: Transaction,
}

/// Registers a machine with a led shard, in one transaction with other machines. Blocks
/// until the record is stored, the attempt has failed, or [`REGISTRATION_TIMEOUT`] is over.
pub fn register(
    context: &ControllerContext,
    heartbeat: &Heartbeat,
    shard: ShardId,
) -> RegistrationOutcome {
    // The machine's record would need a higher fencing token than this one. That would raise
    // the counter beyond the tokens that attempts can be named after, and no task could be
    // launched any more.
    if heartbeat.fencing_token >= FencingToken::LAST {
        log::error!(
            "refused to register {}: it has seen fencing token {}, the limit is {}",
            heartbeat.machine,
            heartbeat.fencing_token,
            FencingToken::LAST
        );
        return RegistrationOutcome::NotRegistered;
    }
    let record = MachineRecord {
        shard,
        fencing_token: FencingToken(0),
        flavor: heartbeat.flavor.clone(),
        zone: heartbeat.zone.clone(),
        spot: heartbeat.spot,
        endpoint: heartbeat.endpoint.clone(),
        releasing: false,
        images: Vec::new(),
    };
    let unregistered = UnregisteredMachine {
        id: heartbeat.machine.clone(),
        shard,
        record,
        highest_seen_token: heartbeat.fencing_token,
    };
    let registrations = &context.registrations;
    match registrations.enqueue_and_wait(unregistered, REGISTRATION_TIMEOUT, |_| true) {
        WaitOutcome::Reported(outcome) => outcome,
        WaitOutcome::Full | WaitOutcome::NotTaken | WaitOutcome::Pending => {
            RegistrationOutcome::NotRegistered
        }
    }
}

/// Registers machines from the queue; runs for the life of the process.
pub fn run(context: &Arc<ControllerContext>) {
    loop {
        context.registrations.wait_for_item();
        std::thread::sleep(BATCHING_WINDOW);
        // Machines that arrive before the tokens are granted join the same transaction.
        let tokens = context
            .store
            .take_tokens(RequestPriority::MachineRecord, WRITE_TOKENS);
        let max_machines = context.controller.lock().config.machines_per_batch();
        let waiting = context.registrations.take_oldest(max_machines);
        match tokens {
            Ok(()) => write_machine_batch(context, waiting),
            Err(e) => {
                log::debug!(
                    "postponed the registration of {} machines: {e}",
                    waiting.len()
                );
                report(
                    context,
                    waiting.into_keys(),
                    RegistrationOutcome::NotRegistered,
                );
            }
        }
    }
}

fn report(
    context: &ControllerContext,
    numbers: impl IntoIterator<Item = u64>,
    outcome: RegistrationOutcome,
) {
    context.registrations.report(numbers, || outcome);
}

fn write_machine_batch(context: &Arc<ControllerContext>, mut waiting: WaitingMachines) {
    for attempt in 0..MAX_ATTEMPTS {
        refresh_machine_batches(context);
        if attempt > 0
            && context
                .store
                .take_tokens(RequestPriority::MachineRecord, WRITE_TOKENS)
                .is_err()
        {
            break;
        }
        let Ok(fresh_token) = fresh_fencing_token(context, &waiting) else {
            break;
        };
        let Some(prepared) = prepare(context, &mut waiting, fresh_token) else {
            break;
        };
        match context.store.commit_with_tokens(&prepared.transaction) {
            Ok(Ok(revision)) => return prepared.apply(context, revision, waiting),
            // Another machine batch was written since, or a shard has a new leader.
            Ok(Err(failed)) => {
                log::debug!(
                    "failed to write machine batch {}: keys {failed:?} changed",
                    prepared.number
                );
            }
            Err(e) => {
                log::debug!("failed to write machine batch {}: {e}", prepared.number);
                break;
            }
        }
    }
    report(
        context,
        waiting.into_keys(),
        RegistrationOutcome::NotRegistered,
    );
}

/// Reads the changes in the store: other controllers write machine batches too, and a
/// transaction that is conditioned on an old head is refused.
fn refresh_machine_batches(context: &Arc<ControllerContext>) {
    if let Err(e) = watch::read_changes(context, RequestPriority::MachineRecord, Duration::ZERO) {
        log::debug!("failed to read the machine batches: {e}");
    }
}

/// Chooses a new fencing token for machines that have seen a token at least as high as their
/// shard's; returns it with the revision of the counter, or the default if there is no such
/// machine. Such a machine has obeyed a leader before, or its heartbeat is a late copy. Under
/// a new token, only a heartbeat sent in response to this leader shows what runs on the
/// machine, and no name of an attempt is used twice.
fn fresh_fencing_token(
    context: &ControllerContext,
    waiting: &WaitingMachines,
) -> Result<Versioned<FencingToken>, StoreError> {
    let highest_seen = {
        let controller = context.controller.lock();
        let needs_fresh_token = |machine: &&UnregisteredMachine| {
            let led = controller.led_shards.get(&machine.shard);
            led.is_some_and(|led| machine.highest_seen_token >= led.state.fencing_token)
        };
        waiting
            .values()
            .filter(needs_fresh_token)
            .map(|machine| machine.highest_seen_token)
            .max()
    };
    let Some(highest_seen) = highest_seen else {
        return Ok(Versioned::default());
    };
    let counter = read_fencing_token_counter(context)?;
    let fresh_token = counter.value.max(highest_seen).next();
    Ok(Versioned::new(fresh_token, counter.revision))
}

/// Prepares a machine batch with as many of the waiting machines as fit; `None` if no machine
/// can be registered now. Machines that have a record already are reported as registered and
/// removed from `waiting`.
fn prepare(
    context: &ControllerContext,
    waiting: &mut WaitingMachines,
    fresh_token: Versioned<FencingToken>,
) -> Option<PreparedMachineBatch> {
    let now = context.clock.now();
    let controller = context.controller.lock();
    report_already_registered(context, &controller, waiting);
    let target = target_batch(&controller, waiting.len());
    let mut batch = target.batch;
    let mut transaction = Transaction::default()
        .when(MACHINE_BATCH_HEAD, target.head_revision)
        .write(MACHINE_BATCH_HEAD, &target.head);
    let mut registered = BTreeSet::new();
    let mut shards = BTreeSet::new();
    for machine in waiting.values() {
        let Some(record) = record_to_write(&controller, machine, fresh_token.value, now) else {
            continue;
        };
        batch.machines.insert(machine.id.clone(), record.value);
        registered.insert(machine.id.clone());
        if shards.insert(machine.shard) {
            transaction = transaction.when(shard_leader_key(machine.shard), record.revision);
        }
    }
    let limit = controller.config.machine_batch_bytes();
    remove_excess(&mut batch, &mut registered, limit);
    if registered.is_empty() {
        return None;
    }
    if fresh_token.value > FencingToken(0) {
        let counter = FencingTokenCounter {
            last: fresh_token.value,
        };
        transaction = counter.replace(transaction, fresh_token.revision);
    }
    let key = machine_batch_key(target.number);
    Some(PreparedMachineBatch {
        number: target.number,
        head: target.head,
        registered,
        transaction: transaction
            .when(key.clone(), target.revision)
            .write(key, &batch),
        batch,
    })
}

fn report_already_registered(
    context: &ControllerContext,
    controller: &ControllerState,
    waiting: &mut WaitingMachines,
) {
    let registered: Vec<u64> = waiting
        .iter()
        .filter(|(_, machine)| controller.cached.machines.contains_key(&machine.id))
        .map(|(number, _)| *number)
        .collect();
    for number in &registered {
        waiting.remove(number);
    }
    report(context, registered, RegistrationOutcome::Registered);
}

/// Chooses a machine batch of led shards that has room for `count` more machines, or a new
/// one if there is none. Machines mostly arrive a few at a time, so a new batch for each
/// arrival would leave many small batches.
fn target_batch(controller: &ControllerState, count: usize) -> TargetBatch {
    let led_here = |machine: &MachineRecord| controller.led_shards.contains_key(&machine.shard);
    let max_machines = controller.config.machines_per_batch();
    let open = controller
        .cached
        .machine_batches
        .find_with_room(count, max_machines, led_here);
    let head = controller.cached.machine_batch_head;
    match open {
        Some((number, batch, revision)) => TargetBatch {
            number,
            batch: batch.clone(),
            revision,
            head: head.value,
            head_revision: head.revision,
        },
        None => {
            let number = head.value.last + 1;
            TargetBatch {
                number,
                batch: MachineBatchRecord::default(),
                revision: Revision(0),
                head: BatchHead { last: number },
                head_revision: head.revision,
            }
        }
    }
}

/// Makes the record of a machine, with the revision of its shard's leadership key; `None` if
/// the shard cannot register the machine now.
fn record_to_write(
    controller: &ControllerState,
    machine: &UnregisteredMachine,
    fresh_token: FencingToken,
    now: MonotonicTime,
) -> Option<Versioned<MachineRecord>> {
    let led = controller.led_shards.get(&machine.shard)?;
    if !led.is_active() || !controller.may_act(now) {
        return None;
    }
    let fencing_token = if machine.highest_seen_token < led.state.fencing_token {
        led.state.fencing_token
    } else if fresh_token > machine.highest_seen_token {
        fresh_token
    } else {
        // The shard got a new leader after the fresh token was chosen.
        return None;
    };
    let record = MachineRecord {
        fencing_token,
        ..machine.record.clone()
    };
    Some(Versioned::new(record, led.revision))
}

/// Removes machines until the batch fits into a stored value of `limit` bytes; the removed
/// machines are not registered by this transaction.
fn remove_excess(
    batch: &mut MachineBatchRecord,
    registered: &mut BTreeSet<MachineId>,
    limit: usize,
) {
    batch.trim_images(limit);
    while batch.size_bytes() > limit
        && let Some(id) = registered.pop_last()
    {
        batch.machines.remove(&id);
    }
}

impl PreparedMachineBatch {
    /// Applies the committed batch to the controller state, and reports the outcome to the
    /// heartbeats of all machines in `waiting`.
    fn apply(self, context: &ControllerContext, revision: Revision, waiting: WaitingMachines) {
        let now = context.clock.now();
        let names: Vec<&str> = self.registered.iter().map(|id| &*id.0).collect();
        let number = self.number;
        log::info!("registered {} in machine batch {number}", names.join(" "));
        let batch = (number, Some(self.batch));
        context
            .controller
            .lock()
            .put_written_machine_batch(self.head, batch, revision, now);
        let (registered, not_registered): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|(_, machine)| self.registered.contains(&machine.id));
        let numbers = |machines: Vec<(u64, UnregisteredMachine)>| {
            machines.into_iter().map(|(number, _)| number)
        };
        report(
            context,
            numbers(registered),
            RegistrationOutcome::Registered,
        );
        report(
            context,
            numbers(not_registered),
            RegistrationOutcome::NotRegistered,
        );
    }
}
