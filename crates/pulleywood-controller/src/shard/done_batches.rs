//! Records that a leader writes with a delay, to combine many changes in one transaction:
//! tasks that are done (done batches) and the images on machines.

use super::launch_waits::LaunchWaits;
use crate::state::{ControllerContext, ControllerState, LedShard, Versioned, job_entry};
use pulleywood_protocol::machine_batch::MachineBatchUpdate;
use pulleywood_protocol::record::{job_key, shard_leader_key};
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::{JobId, MonotonicTime, Revision, ShardId};
use pulleywood_scheduler::shard::done_batch::Batch;
use pulleywood_scheduler::shard::failure_attribution::HealthEvent;
use pulleywood_transport::store::Outcome;
use pulleywood_transport::{RequestPriority, StoreError};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time between two checks of the led shards.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time between two writes of images.
const IMAGE_WRITE_INTERVAL: Duration = Duration::from_secs(5);

/// A shard whose next done batch is due, with the priority of its write.
struct DueBatch {
    shard: ShardId,
    priority: RequestPriority,
}

/// A done batch of one shard, ready to be committed.
struct PreparedDoneBatch {
    shard: ShardId,
    shard_revision: Revision,
    batch: Batch,
}

/// A transaction that records images on machines of one shard, ready to be committed.
struct PreparedImages {
    shard: ShardId,
    machine_batches: Vec<MachineBatchUpdate>,
    transaction: Transaction,
}

/// Advances the time of the led shards, and commits done batches and images; runs for the
/// life of the process.
pub fn run(context: &Arc<ControllerContext>) {
    let mut waits = LaunchWaits::new(context.clock.now());
    let mut images_written = context.clock.now();
    loop {
        std::thread::sleep(TICK_INTERVAL);
        let now = context.clock.now();
        let Some(due) = tick(context, &mut waits, now) else {
            continue;
        };
        for DueBatch { shard, priority } in due {
            write_done_batch(context, shard, priority, now);
        }
        if now.since(images_written) >= IMAGE_WRITE_INTERVAL {
            images_written = now;
            write_images(context);
        }
    }
}

/// Advances the time of the loaded shards. Returns the done batches that are due; `None` if
/// this controller may not act.
fn tick(
    context: &ControllerContext,
    waits: &mut LaunchWaits,
    now: MonotonicTime,
) -> Option<Vec<DueBatch>> {
    let mut controller = context.controller.lock();
    let config = Arc::clone(&controller.config);
    let mut health_events = Vec::new();
    for led in controller.led_shards.values_mut().filter(|led| led.loaded) {
        led.state.tick(now, &config);
        waits.add(led.state.take_task_starts());
        health_events.extend(led.state.take_health_events());
    }
    waits.log_if_due(now);
    log_health_events(health_events);
    if !controller.may_act(now) {
        return None;
    }
    let loaded = controller.led_shards.iter().filter(|(_, led)| led.loaded);
    let due = loaded.filter_map(|(shard, led)| {
        let urgent = led.state.next_batch_is_urgent(now, &config)?;
        let priority = if urgent {
            RequestPriority::JobCompletion
        } else {
            RequestPriority::Housekeeping
        };
        Some(DueBatch {
            shard: *shard,
            priority,
        })
    });
    Some(due.collect())
}

/// Logs which jobs and machines were found to be unhealthy, or healthy again.
fn log_health_events(events: Vec<HealthEvent>) {
    for event in events {
        match event {
            HealthEvent::JobBroken(id) => {
                log::info!(
                    "put job {id} in back-off: it fails on several machines and runs on none"
                );
            }
            HealthEvent::JobRecovered(id) => {
                log::info!("ended the back-off of job {id}: it runs again")
            }
            HealthEvent::MachineQuarantined(id) => {
                log::info!(
                    "quarantined machine {id}: it fails jobs that run on other machines; it is to be replaced"
                );
            }
            HealthEvent::MachineRestored(id) => log::info!(
                "ended the quarantine of machine {id}: it runs jobs that it failed before"
            ),
        }
    }
}

/// Records which images machines have, if no more urgent write needs the write tokens.
fn write_images(context: &ControllerContext) {
    for prepared in prepare_images(context) {
        match context
            .store
            .commit(RequestPriority::Housekeeping, &prepared.transaction)
        {
            Ok(Outcome::Applied(revision)) => {
                context.put_machine_batches(prepared.machine_batches, revision);
            }
            // The watch delivers what is stored, and the next interval tries again.
            other => log::debug!(
                "failed to record images of shard {}: {other:?}",
                prepared.shard
            ),
        }
    }
}

fn prepare_images(context: &ControllerContext) -> Vec<PreparedImages> {
    let controller = context.controller.lock();
    let led = controller.led_shards.iter();
    led.filter(|(_, led)| led.is_active())
        .filter_map(|(shard, led)| prepare_shard_images(&controller, *shard, led))
        .collect()
}

/// Prepares the images of as many machines as fit into half of the machine batches that one
/// transaction may change; `None` if there is nothing to record.
fn prepare_shard_images(
    controller: &ControllerState,
    shard: ShardId,
    led: &LedShard,
) -> Option<PreparedImages> {
    let batches = &controller.cached.machine_batches;
    let max_batches = controller.config.max_batch_operations / 2;
    let mut records = BTreeMap::new();
    let mut changed_batches = BTreeSet::new();
    for (id, record) in led.state.outdated_image_records() {
        let Some(number) = batches.find(&id) else {
            continue;
        };
        if changed_batches.len() <= max_batches || changed_batches.contains(&number) {
            changed_batches.insert(number);
            records.insert(id, Some(record));
        }
    }
    let transaction = Transaction::default().when(shard_leader_key(shard), led.revision);
    let limit = controller.config.machine_batch_bytes();
    let (transaction, machine_batches) = batches.update_records(transaction, &records, limit);
    (!machine_batches.is_empty()).then_some(PreparedImages {
        shard,
        machine_batches,
        transaction,
    })
}

fn write_done_batch(
    context: &ControllerContext,
    shard: ShardId,
    priority: RequestPriority,
    now: MonotonicTime,
) {
    let Some(prepared) = prepare_done_batch(context, shard, now) else {
        return;
    };
    match context.store.commit(priority, &prepared.batch.transaction) {
        Ok(Outcome::Applied(revision)) => prepared.apply(context, revision, now),
        Ok(Outcome::Conflict) | Err(StoreError::OutcomeUnknown(_)) => {
            prepared.refresh_jobs(context)
        }
        Err(e) => log::debug!("failed to write a done batch of shard {shard}: {e}"),
    }
}

fn prepare_done_batch(
    context: &ControllerContext,
    shard: ShardId,
    now: MonotonicTime,
) -> Option<PreparedDoneBatch> {
    let controller = context.controller.lock();
    let led = controller.led_shards.get(&shard);
    let led = led.filter(|_| controller.may_act(now))?;
    let job_batches = &controller.cached.job_batches;
    let batch = led
        .state
        .next_batch(led.revision, job_batches, now, &controller.config)?;
    Some(PreparedDoneBatch {
        shard,
        shard_revision: led.revision,
        batch,
    })
}

impl PreparedDoneBatch {
    /// Applies the committed batch: its tasks are recorded as done.
    fn apply(self, context: &ControllerContext, revision: Revision, now: MonotonicTime) {
        let batch = self.batch;
        let mut controller = context.controller.lock();
        let led = controller.led_shards.get_mut(&self.shard);
        if let Some(led) = led.filter(|led| led.revision == self.shard_revision) {
            led.state.mark_batch_committed(&batch, revision);
        }
        for job in &batch.jobs {
            match job.final_record {
                Some(_) => controller.remove_ended_job(&job.id, revision),
                None => controller.note_own_record(&job.id, revision),
            }
        }
        controller.put_job_batches(batch.job_batches, revision, now);
        drop(controller);
        for job in &batch.jobs {
            let (shard, id, tasks) = (self.shard, &job.id, job.tasks.len());
            match &job.final_record {
                Some(state) => {
                    // The user's next query can then be answered without a read.
                    let state = Versioned::new(state.clone(), revision);
                    context.final_states.lock().insert(id, state);
                    log::debug!(
                        "recorded {tasks} tasks of job {id} in shard {shard} as done: the job ended"
                    );
                }
                None => log::debug!("recorded {tasks} tasks of job {id} in shard {shard} as done"),
            }
        }
    }

    /// Reads the jobs of the batch again after a conflict or an unknown outcome: what is
    /// stored counts, not what was sent.
    fn refresh_jobs(&self, context: &ControllerContext) {
        log::debug!(
            "started to read jobs of shard {} again: its done batch was not confirmed",
            self.shard
        );
        for job in &self.batch.jobs {
            if is_in_batch(context, self.shard, &job.id) {
                // The watch delivers changes of job batches.
                continue;
            }
            if let Err(e) = refresh_job(context, self.shard, self.shard_revision, &job.id) {
                log::debug!("failed to read job {} again: {e}", job.id);
            }
        }
    }
}

fn is_in_batch(context: &ControllerContext, shard: ShardId, id: &JobId) -> bool {
    let controller = context.controller.lock();
    let led = controller.led_shards.get(&shard);
    let job = led.and_then(|led| led.state.jobs.get(id));
    job.is_some_and(|job| job.in_job_batch)
}

/// Reads the stored records of one job and applies them to the shard.
fn refresh_job(
    context: &ControllerContext,
    shard: ShardId,
    shard_revision: Revision,
    id: &JobId,
) -> Result<(), StoreError> {
    let shards = context.controller.lock().config.shards;
    let key = job_key(id.shard(shards), id);
    let (items, _) = context.store.list(RequestPriority::ShardLeader, &key)?;
    let now = context.clock.now();
    let mut controller = context.controller.lock();
    let config = Arc::clone(&controller.config);
    // The watch may have delivered the job's end while it was read.
    let is_live = controller.is_live(id);
    let led = controller.led_shards.get_mut(&shard);
    let Some(led) = led.filter(|led| led.revision == shard_revision) else {
        return Ok(());
    };
    let mut is_stored = false;
    for item in &items {
        if let Some((job, entry)) = job_entry(item)
            && job == *id
            && is_live
        {
            is_stored = true;
            led.apply_job_entry(id, &entry, item.revision, false, now, &config);
        }
    }
    if !is_stored {
        led.state.remove_job(id);
    }
    Ok(())
}
