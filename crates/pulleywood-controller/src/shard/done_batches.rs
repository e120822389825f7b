//! Done batches and images: records that a leader writes a little later than it learns
//! of what they say.

use super::launch_waits::LaunchWaits;
use crate::state::{ControllerContext, ControllerState, LedShard, job_entry};
use pulleywood_protocol::machine_batch::MachineBatchAfter;
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

/// How often shards are looked at.
const ROUND: Duration = Duration::from_millis(200);
/// How often images are written.
const IMAGES_EVERY: Duration = Duration::from_secs(5);

/// A done batch that is due.
struct DueBatch {
    shard: ShardId,
    priority: RequestPriority,
}

/// A done batch of one shard.
struct PreparedDoneBatch {
    shard: ShardId,
    shard_revision: Revision,
    batch: Batch,
}

/// The images of one shard's machines.
struct PreparedImages {
    shard: ShardId,
    machine_batches: Vec<MachineBatchAfter>,
    transaction: Transaction,
}

/// Lets time pass in the shards' states and commits done batches; runs for the life of
/// the process.
pub fn run(context: &Arc<ControllerContext>) {
    let mut waits = LaunchWaits::new(context.clock.now());
    let mut images_written = context.clock.now();
    loop {
        std::thread::sleep(ROUND);
        let now = context.clock.now();
        let Some(due) = tick(context, &mut waits, now) else {
            continue;
        };
        for DueBatch { shard, priority } in due {
            write_done_batch(context, shard, priority, now);
        }
        if now.since(images_written) >= IMAGES_EVERY {
            images_written = now;
            write_images(context);
        }
    }
}

/// Lets time pass in the shards' states. Returns the done batches that are due; none at
/// all while this controller may not act.
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
    waits.log(now);
    log_health_events(health_events);
    if !controller.may_act(now) {
        return None;
    }
    let loaded = controller.led_shards.iter().filter(|(_, led)| led.loaded);
    let due = loaded.filter_map(|(shard, led)| {
        let urgent = led.state.next_batch_is_urgent(now, &config)?;
        let priority = if urgent {
            RequestPriority::Done
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

/// Logs what was learnt of jobs and machines.
fn log_health_events(events: Vec<HealthEvent>) {
    for event in events {
        match event {
            HealthEvent::JobBroken(id) => {
                log::info!("held {id} back: it fails on several machines and runs on none");
            }
            HealthEvent::JobRecovered(id) => {
                log::info!("no longer held {id} back: it runs after all")
            }
            HealthEvent::MachineQuarantined(id) => {
                log::info!("quarantined {id}, to be replaced: it fails jobs that run elsewhere");
            }
            HealthEvent::MachineRestored(id) => {
                log::info!("kept {id}: it runs again what it failed")
            }
        }
    }
}

/// Writes which images machines have, when nothing more urgent needs the tokens.
fn write_images(context: &ControllerContext) {
    for prepared in prepare_images(context) {
        match context
            .store
            .commit(RequestPriority::Housekeeping, &prepared.transaction)
        {
            Ok(Outcome::Applied(revision)) => {
                context.put_machine_batches(prepared.machine_batches, revision);
            }
            // The watch brings what is stored; the next round tries again.
            other => log::debug!(
                "failed to write images of shard {}: {other:?}",
                prepared.shard
            ),
        }
    }
}

fn prepare_images(context: &ControllerContext) -> Vec<PreparedImages> {
    let controller = context.controller.lock();
    let led = controller.led_shards.iter();
    led.filter(|(_, led)| led.loaded && !led.leaving)
        .filter_map(|(shard, led)| prepare_shard_images(&controller, *shard, led))
        .collect()
}

/// The images of as many machines as half a transaction's machine batches hold.
fn prepare_shard_images(
    controller: &ControllerState,
    shard: ShardId,
    led: &LedShard,
) -> Option<PreparedImages> {
    let batches = &controller.cached.machine_batches;
    let most = controller.config.max_batch_operations / 2;
    let mut records = BTreeMap::new();
    let mut touched = BTreeSet::new();
    for (id, record) in led.state.outdated_image_records() {
        let Some(number) = batches.find(&id) else {
            continue;
        };
        if touched.len() <= most || touched.contains(&number) {
            touched.insert(number);
            records.insert(id, Some(record));
        }
    }
    let transaction = Transaction::default().when(shard_leader_key(shard), led.revision);
    let limit = controller.config.machine_batch_bytes();
    let (transaction, machine_batches) = batches.change(transaction, &records, limit);
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
        Ok(Outcome::Conflict) | Err(StoreError::Unknown(_)) => prepared.refresh_jobs(context),
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
    /// The transaction was applied: its tasks are recorded as done.
    fn apply(self, context: &ControllerContext, revision: Revision, now: MonotonicTime) {
        let batch = self.batch;
        let mut controller = context.controller.lock();
        let led = controller.led_shards.get_mut(&self.shard);
        if let Some(led) = led.filter(|led| led.revision == self.shard_revision) {
            led.state.mark_batch_committed(&batch, revision);
        }
        for job in &batch.jobs {
            match job.final_record {
                Some(_) => controller.end_job(&job.id, revision),
                None => controller.own_record(&job.id, revision),
            }
        }
        controller.left_job_batches(batch.job_batches, revision, now);
        drop(controller);
        for job in &batch.jobs {
            let (shard, id, tasks) = (self.shard, &job.id, job.tasks.len());
            match &job.final_record {
                Some(state) => {
                    // Its user asks next; the answer needs no read.
                    context.finals.lock().put(id, state.clone());
                    log::debug!("recorded {tasks} tasks of {id} in shard {shard}, all of them");
                }
                None => log::debug!("recorded {tasks} tasks of {id} in shard {shard}"),
            }
        }
    }

    /// A conflict, or no answer: what is stored decides, not what was sent.
    fn refresh_jobs(&self, context: &ControllerContext) {
        log::debug!(
            "read jobs of shard {} again: done batch not confirmed",
            self.shard
        );
        for job in &self.batch.jobs {
            if is_in_batch(context, self.shard, &job.id) {
                // The watch brings what is in a job batch.
                continue;
            }
            if let Err(e) = refresh_job(context, self.shard, self.shard_revision, &job.id) {
                log::debug!("failed to read {}: {e}", job.id);
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

/// Brings one job's record up to what is stored.
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
    // The watch may have brought its end while it was read.
    let known = controller.cached.jobs.contains_key(id);
    let led = controller.led_shards.get_mut(&shard);
    let Some(led) = led.filter(|led| led.revision == shard_revision) else {
        return Ok(());
    };
    let mut live = false;
    for item in &items {
        if let Some((job, entry)) = job_entry(item)
            && job == *id
            && known
        {
            live = true;
            led.job_event(id, &entry, item.revision, false, now, &config);
        }
    }
    if !live {
        led.state.remove_job(id);
    }
    Ok(())
}
