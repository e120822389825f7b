//! Registering machines: their records are written, many in one transaction, before
//! anything is launched on them.

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

/// A heartbeat waits this long for the registration of its machine: a worker waits four
/// seconds for its response.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(2500);
/// Machines that come within this time share a transaction.
const GATHER: Duration = Duration::from_millis(60);
/// Attempts to write one machine batch while other controllers write theirs.
const ATTEMPTS: u32 = 4;
/// Writes in the transaction of a machine batch: its head and the batch.
const WRITES: u32 = 2;

/// Machines that wait, by their number in the queue.
type WaitingMachines = BTreeMap<u64, UnregisteredMachine>;

/// The machine batch that new machines join.
struct TargetBatch {
    number: u64,
    batch: MachineBatchRecord,
    /// Revision of its key; that of an absent key if it is new.
    revision: Revision,
    head: BatchHead,
    head_revision: Revision,
}

/// One machine batch to be written.
struct PreparedMachineBatch {
    number: u64,
    batch: MachineBatchRecord,
    head: BatchHead,
    /// Machines that it registers.
    registered: BTreeSet<MachineId>,
    transaction: Transaction,
}

/// Registers a machine with a led shard, together with others; returns once its record
/// is stored or it is clear that it will not be now.
pub fn register(
    context: &ControllerContext,
    heartbeat: &Heartbeat,
    shard: ShardId,
) -> RegistrationOutcome {
    // Registered above this fencing token, the machine would raise the counter beyond
    // what attempts can be named after, and nothing could be launched any more.
    if heartbeat.fencing_token >= FencingToken::LAST {
        log::error!(
            "refused to register {}: it shows fencing token {}",
            heartbeat.machine,
            heartbeat.fencing_token
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
        retiring: false,
        images: Vec::new(),
    };
    let unregistered = UnregisteredMachine {
        id: heartbeat.machine.clone(),
        shard,
        record,
        seen: heartbeat.fencing_token,
    };
    let registrations = &context.registrations;
    match registrations.enqueue_and_wait(unregistered, REGISTRATION_TIMEOUT, |_| true) {
        WaitOutcome::Reported(outcome) => outcome,
        WaitOutcome::Full | WaitOutcome::NotTaken | WaitOutcome::Pending => {
            RegistrationOutcome::NotRegistered
        }
    }
}

/// Registers machines; runs for the life of the process.
pub fn run(context: &Arc<ControllerContext>) {
    loop {
        context.registrations.wait_for_item();
        std::thread::sleep(GATHER);
        // Machines that come until there are tokens share the transaction.
        let tokens = context.store.take(RequestPriority::Record, WRITES);
        let most = context.controller.lock().config.machines_per_batch();
        let waiting = context.registrations.take_oldest(most);
        match tokens {
            Ok(()) => write_machine_batch(context, waiting),
            Err(e) => {
                log::debug!("postponed the records of {} machines: {e}", waiting.len());
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
    for attempt in 0..ATTEMPTS {
        refresh_machine_batches(context);
        if attempt > 0 && context.store.take(RequestPriority::Record, WRITES).is_err() {
            break;
        }
        let Ok(fresh) = fresh_fencing_token(context, &waiting) else {
            break;
        };
        let Some(prepared) = prepare(context, &mut waiting, fresh) else {
            break;
        };
        match context.store.commit_with_tokens(&prepared.transaction) {
            Ok(Ok(revision)) => return prepared.apply(context, revision, waiting),
            // Another machine batch was written meanwhile, or a shard changed its leader.
            Ok(Err(failed)) => {
                log::debug!("lost machine batch {}: {failed:?} changed", prepared.number);
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

/// Other controllers write machine batches too; a transaction that rests on an old head
/// is refused.
fn refresh_machine_batches(context: &Arc<ControllerContext>) {
    if let Err(e) = watch::read_changes(context, RequestPriority::Record, Duration::ZERO) {
        log::debug!("failed to read the machine batches: {e}");
    }
}

/// A new fencing token, and the counter's revision, for machines that have seen a token
/// as high as their shard's: each obeyed some leader before, or its heartbeat is a late
/// copy. Under a fresh token only a heartbeat that responds to this leader shows what
/// runs on the machine, and no attempt repeats. The default if there is no such machine.
fn fresh_fencing_token(
    context: &ControllerContext,
    waiting: &WaitingMachines,
) -> Result<Versioned<FencingToken>, StoreError> {
    let seen = {
        let controller = context.controller.lock();
        let ahead = |machine: &&UnregisteredMachine| {
            let led = controller.led_shards.get(&machine.shard);
            led.is_some_and(|led| machine.seen >= led.state.fencing_token)
        };
        waiting.values().filter(ahead).map(|w| w.seen).max()
    };
    let Some(seen) = seen else {
        return Ok(Versioned::default());
    };
    let counter = read_fencing_token_counter(context)?;
    let fresh = counter.value.max(seen).next();
    Ok(Versioned::new(fresh, counter.revision))
}

/// Prepares a machine batch with as many of the waiting machines as fit; none if no
/// machine can be registered now. Machines whose record is known already no longer wait.
fn prepare(
    context: &ControllerContext,
    waiting: &mut WaitingMachines,
    fresh: Versioned<FencingToken>,
) -> Option<PreparedMachineBatch> {
    let now = context.clock.now();
    let controller = context.controller.lock();
    report_known(context, &controller, waiting);
    let target = target_batch(&controller, waiting.len());
    let mut batch = target.batch;
    let mut transaction = Transaction::default()
        .when(MACHINE_BATCH_HEAD, target.head_revision)
        .write(MACHINE_BATCH_HEAD, &target.head);
    let mut registered = BTreeSet::new();
    let mut shards = BTreeSet::new();
    for machine in waiting.values() {
        let Some(record) = record_to_write(&controller, machine, fresh.value, now) else {
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
    if fresh.value > FencingToken(0) {
        let counter = FencingTokenCounter { last: fresh.value };
        transaction = counter.replace(transaction, fresh.revision);
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

fn report_known(
    context: &ControllerContext,
    controller: &ControllerState,
    waiting: &mut WaitingMachines,
) {
    let known: Vec<u64> = waiting
        .iter()
        .filter(|(_, machine)| controller.cached.machines.contains_key(&machine.id))
        .map(|(number, _)| *number)
        .collect();
    for number in &known {
        waiting.remove(number);
    }
    report(context, known, RegistrationOutcome::Registered);
}

/// Few machines come at a time in the long run: they join a machine batch of led shards
/// that has room, else a new one.
fn target_batch(controller: &ControllerState, room: usize) -> TargetBatch {
    let led_here = |m: &MachineRecord| controller.led_shards.contains_key(&m.shard);
    let most = controller.config.machines_per_batch();
    let open = controller.cached.machine_batches.open(room, most, led_here);
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

/// The record of a machine whose shard may register it now, with the revision of the
/// shard's leadership key.
fn record_to_write(
    controller: &ControllerState,
    machine: &UnregisteredMachine,
    fresh: FencingToken,
    now: MonotonicTime,
) -> Option<Versioned<MachineRecord>> {
    let led = controller.led_shards.get(&machine.shard)?;
    if !led.loaded || led.leaving || !controller.may_act(now) {
        return None;
    }
    let fencing_token = if machine.seen < led.state.fencing_token {
        led.state.fencing_token
    } else if fresh > machine.seen {
        fresh
    } else {
        // The shard changed its leader since the fresh token was drawn.
        return None;
    };
    let record = MachineRecord {
        fencing_token,
        ..machine.record.clone()
    };
    Some(Versioned::new(record, led.revision))
}

/// Removes machines until the batch fits into a value: they wait for another one.
fn remove_excess(
    batch: &mut MachineBatchRecord,
    registered: &mut BTreeSet<MachineId>,
    limit: usize,
) {
    batch.fit(limit);
    while batch.bytes() > limit
        && let Some(id) = registered.pop_last()
    {
        batch.machines.remove(&id);
    }
}

impl PreparedMachineBatch {
    /// The transaction was applied: puts the machines into the controller state, and
    /// reports to all that wait.
    fn apply(self, context: &ControllerContext, revision: Revision, waiting: WaitingMachines) {
        let now = context.clock.now();
        let names: Vec<&str> = self.registered.iter().map(|id| &*id.0).collect();
        let number = self.number;
        log::info!("registered {} in machine batch {number}", names.join(" "));
        let batch = (number, Some(self.batch));
        context
            .controller
            .lock()
            .wrote_machine_batch(self.head, batch, revision, now);
        let (registered, left): (Vec<_>, Vec<_>) = waiting
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
        report(context, numbers(left), RegistrationOutcome::NotRegistered);
    }
}
