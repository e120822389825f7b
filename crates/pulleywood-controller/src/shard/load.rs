//! Loading a shard after its leadership was acquired: its machines and jobs are read in
//! full, then the new fencing token is announced to the machines.

use super::announce::{Announcement, announce_fencing_token};
use crate::state::{
    CachedState, ControllerContext, DeferredChange, JobEntry, LedShard, job_entry, read_job_batch,
    read_machine_batch,
};
use pulleywood_protocol::record::{JOB_BATCHES, JOBS, Key, MACHINE_BATCHES};
use pulleywood_protocol::store::Item;
use pulleywood_protocol::{MonotonicTime, Revision, ShardId};
use pulleywood_scheduler::Config;
use pulleywood_transport::{RequestPriority, StoreError};
use std::sync::Arc;
use std::time::Duration;

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Everything stored that a shard may consist of.
struct StoredRecords {
    job_batches: Vec<Item>,
    /// Store revision that the job batches were read at.
    job_batches_revision: u64,
    jobs: Vec<Item>,
    machine_batches: Vec<Item>,
}

/// Reads a shard's machines and jobs, then announces the new fencing token.
/// `shard_revision`: revision of the leadership key; nothing is done once it has changed.
pub fn load(
    context: &Arc<ControllerContext>,
    shard: ShardId,
    shard_revision: Revision,
) -> Result<(), StoreError> {
    let Some(records) = read_until_answered(context, shard, shard_revision) else {
        return Ok(());
    };
    if let Some(machines) = put_records(context, shard, shard_revision, records) {
        announce_fencing_token(context, shard, machines);
    }
    Ok(())
}

/// Retries while this controller leads the shard; none once it does not, or if what it
/// reads is too old.
fn read_until_answered(
    context: &ControllerContext,
    shard: ShardId,
    shard_revision: Revision,
) -> Option<StoredRecords> {
    loop {
        match read_records(context) {
            Ok(records) => return Some(records),
            Err(StoreError::RevisionTooOld) => return None,
            Err(e) => {
                log::debug!("failed to read shard {shard}: {e}");
                std::thread::sleep(RETRY_PAUSE);
                let controller = context.controller.lock();
                let led = controller.led_shards.get(&shard);
                if led.is_none_or(|led| led.revision != shard_revision) {
                    return None;
                }
            }
        }
    }
}

/// Job batches are read first: a job that leaves its job batch meanwhile is found in
/// the rest.
fn read_records(context: &ControllerContext) -> Result<StoredRecords, StoreError> {
    let list = |prefix| context.store.list(RequestPriority::ShardLeader, prefix);
    let (job_batches, job_batches_revision) = list(JOB_BATCHES)?;
    let (jobs, _) = list(JOBS)?;
    let (machine_batches, _) = list(MACHINE_BATCHES)?;
    Ok(StoredRecords {
        job_batches,
        job_batches_revision,
        jobs,
        machine_batches,
    })
}

/// Puts everything into the shard's state; the machines that the fencing token is to be
/// announced to, or none if the shard is no longer led.
fn put_records(
    context: &ControllerContext,
    shard: ShardId,
    shard_revision: Revision,
    records: StoredRecords,
) -> Option<Vec<Announcement>> {
    let now = context.clock.now();
    let mut guard = context.controller.lock();
    let controller = &mut *guard;
    let config = Arc::clone(&controller.config);
    let led = controller.led_shards.get_mut(&shard);
    let led = led.filter(|led| led.revision == shard_revision)?;
    let mut machines = Vec::new();
    for item in &records.machine_batches {
        put_machine_batch(shard, led, &controller.cached, item, &mut machines, now);
    }
    for item in &records.job_batches {
        put_job_batch(led, item, now, &config);
    }
    // Continuations sort after their job's record.
    for item in &records.jobs {
        if let Some((id, entry)) = job_entry(item) {
            led.job_event(&id, &entry, item.revision, true, now, &config);
        }
    }
    led.loaded = true;
    // While it was loaded, this controller's own changes were not applied to the shard:
    // the watch must bring them, so they must not count as known.
    controller.own_writes.clear();
    apply_deferred_changes(led, records.job_batches_revision, now, &config);
    log::info!(
        "loaded shard {shard}: {} jobs, {} machines",
        led.state.jobs.len(),
        machines.len()
    );
    Some(machines)
}

fn put_machine_batch(
    shard: ShardId,
    led: &mut LedShard,
    cached: &CachedState,
    item: &Item,
    machines: &mut Vec<Announcement>,
    now: MonotonicTime,
) {
    let Some(Key::MachineBatch(n)) = Key::parse(&item.path) else {
        return;
    };
    let Some(batch) = read_machine_batch(&item.value, &item.path) else {
        led.state.unreadable_machines = true;
        return;
    };
    // The watch may have brought a newer one while this was read.
    let (batch, revision) = match cached.machine_batches.get(n) {
        Some((newer, revision)) if *revision > item.revision => (newer.clone(), *revision),
        _ => (batch, item.revision),
    };
    led.state.unreadable_machines |= !batch.unreadable.is_empty();
    let ours = batch.machines.into_iter();
    for (id, record) in ours.filter(|(_, record)| record.shard == shard) {
        if !record.endpoint.is_empty() {
            machines.push(Announcement {
                machine: id.clone(),
                endpoint: record.endpoint.clone(),
            });
        }
        // Also replaces what an event may have brought as not inherited.
        led.state.machines.remove(&id);
        led.state.put_machine(&id, record, revision, true, now);
    }
}

fn put_job_batch(led: &mut LedShard, item: &Item, now: MonotonicTime, config: &Config) {
    let batch = read_job_batch(&item.value, &item.path).unwrap_or_default();
    for id in batch.unreadable_ids() {
        let entry = JobEntry::Unreadable;
        led.job_event(&id, &entry, item.revision, true, now, config);
    }
    for record in batch.jobs {
        let id = record.spec.id.clone();
        let entry = JobEntry::Batched(Box::new(record));
        led.job_event(&id, &entry, item.revision, true, now, config);
    }
}

/// Changes that the watch brought meanwhile and that are newer than what was read.
fn apply_deferred_changes(led: &mut LedShard, read_at: u64, now: MonotonicTime, config: &Config) {
    for change in std::mem::take(&mut led.deferred_changes) {
        let DeferredChange {
            id,
            entry,
            revision,
        } = change;
        if revision.0 > read_at {
            led.job_event(&id, &entry, revision, false, now, config);
        }
    }
}
