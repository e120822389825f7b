//! Loading a shard after its leadership was acquired: its machines and jobs are read in full,
//! then the new fencing token is announced to its machines.

use super::announce::{Announcement, announce_fencing_token};
use crate::state::{
    CachedState, ControllerContext, DeferredChange, JobEntry, LedShard, decode_job_batch,
    decode_machine_batch, job_entry,
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

/// All stored records that may belong to a shard.
struct StoredRecords {
    job_batches: Vec<Item>,
    /// Store revision at which the job batches were read.
    job_batches_revision: u64,
    jobs: Vec<Item>,
    machine_batches: Vec<Item>,
}

/// Loads a shard's machines and jobs, then announces the new fencing token.
/// `shard_revision`: revision of the leadership key; loading stops once this has changed.
pub fn load(
    context: &Arc<ControllerContext>,
    shard: ShardId,
    shard_revision: Revision,
) -> Result<(), StoreError> {
    let Some(records) = read_with_retries(context, shard, shard_revision) else {
        return Ok(());
    };
    if let Some(machines) = put_records(context, shard, shard_revision, records) {
        announce_fencing_token(context, shard, machines);
    }
    Ok(())
}

/// Reads the records, with retries as long as this controller leads the shard. `None` if it
/// no longer leads the shard, or if a read failed with [`StoreError::RevisionTooOld`].
fn read_with_retries(
    context: &ControllerContext,
    shard: ShardId,
    shard_revision: Revision,
) -> Option<StoredRecords> {
    loop {
        match read_records(context) {
            Ok(records) => return Some(records),
            Err(StoreError::RevisionTooOld) => return None,
            Err(e) => {
                log::debug!("failed to read the records of shard {shard}: {e}");
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

/// Reads job batches first: a job that gets a record of its own in the meantime is then found
/// among the jobs.
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

/// Adds the records to the shard's state. Returns the machines to which the fencing token is
/// to be announced, or `None` if the shard is no longer led.
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
    // The list is sorted by key, so a job's record comes before its continuations.
    for item in &records.jobs {
        if let Some((id, entry)) = job_entry(item) {
            led.apply_job_entry(&id, &entry, item.revision, true, now, &config);
        }
    }
    led.loaded = true;
    // This controller's own transactions were not applied to the shard while it was being
    // loaded. They must not count as applied, so that the watch applies them.
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
    let Some(Key::MachineBatch(number)) = Key::parse(&item.path) else {
        return;
    };
    let Some(batch) = decode_machine_batch(&item.value, &item.path) else {
        led.state.unreadable_machines = true;
        return;
    };
    // The watch may have delivered a newer batch while this one was read.
    let (batch, revision) = match cached.machine_batches.get(number) {
        Some((newer, revision)) if *revision > item.revision => (newer.clone(), *revision),
        _ => (batch, item.revision),
    };
    led.state.unreadable_machines |= !batch.unreadable.is_empty();
    let all = batch.machines.into_iter();
    for (id, record) in all.filter(|(_, record)| record.shard == shard) {
        if !record.endpoint.is_empty() {
            machines.push(Announcement {
                machine: id.clone(),
                endpoint: record.endpoint.clone(),
            });
        }
        // An event may have added the machine as not inherited; that entry is replaced.
        led.state.machines.remove(&id);
        led.state.put_machine(&id, record, revision, true, now);
    }
}

fn put_job_batch(led: &mut LedShard, item: &Item, now: MonotonicTime, config: &Config) {
    let batch = decode_job_batch(&item.value, &item.path).unwrap_or_default();
    for id in batch.unreadable_ids() {
        let entry = JobEntry::Unreadable;
        led.apply_job_entry(&id, &entry, item.revision, true, now, config);
    }
    for record in batch.jobs {
        let id = record.spec.id.clone();
        let entry = JobEntry::Batched(Box::new(record));
        led.apply_job_entry(&id, &entry, item.revision, true, now, config);
    }
}

/// Applies the changes that the watch delivered during loading and that are newer than the
/// records that were read.
fn apply_deferred_changes(
    led: &mut LedShard,
    read_revision: u64,
    now: MonotonicTime,
    config: &Config,
) {
    for change in std::mem::take(&mut led.deferred_changes) {
        let DeferredChange {
            id,
            entry,
            revision,
        } = change;
        if revision.0 > read_revision {
            led.apply_job_entry(&id, &entry, revision, false, now, config);
        }
    }
}
