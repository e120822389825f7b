//! Loading a shard after its leadership was acquired: its machines and jobs are read in full,
//! then the new fencing token is announced to its machines.

use super::announce::{Announcement, announce_fencing_token};
use crate::state::{
    CachedState, ControllerContext, JobChange, JobEntry, LedShard, decode_job_batch,
    decode_machine_batch, job_entry,
};
use pulleywood_protocol::record::{JOB_BATCHES, JOBS, Key, MACHINE_BATCHES};
use pulleywood_protocol::store::Item;
use pulleywood_protocol::{JobId, MonotonicTime, Revision, ShardId};
use pulleywood_scheduler::Config;
use pulleywood_transport::{RequestPriority, StoreError};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Stored records that belong to a shard.
struct StoredRecords {
    /// Jobs in job batches, then jobs with a record of their own, each before its
    /// continuations.
    jobs: Vec<JobChange>,
    /// Store revision at which the job batches were read.
    job_batches_revision: u64,
    /// All machine batches.
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
        match read_records(context, shard) {
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
/// among the jobs. Jobs of other shards are dropped page by page, as all of them may take more
/// memory than there is.
fn read_records(context: &ControllerContext, shard: ShardId) -> Result<StoredRecords, StoreError> {
    let priority = RequestPriority::ShardLeader;
    let mut jobs = ShardJobs::new(shard);
    let job_batches_revision = context.store.for_each_item(priority, JOB_BATCHES, |item| {
        for change in jobs_in_batch(item) {
            jobs.add(change);
        }
    })?;
    // The list is sorted by key, so a job's record comes before its continuations.
    context.store.for_each_item(priority, JOBS, |item| {
        if let Some((id, entry)) = job_entry(&item) {
            let revision = item.revision;
            jobs.add(JobChange {
                id,
                entry,
                revision,
            });
        }
    })?;
    let (machine_batches, _) = context.store.list(priority, MACHINE_BATCHES)?;
    Ok(StoredRecords {
        jobs: jobs.changes,
        job_batches_revision,
        machine_batches,
    })
}

/// Jobs of one shard, as they are read from the store.
struct ShardJobs {
    shard: ShardId,
    known: BTreeSet<JobId>,
    changes: Vec<JobChange>,
}

impl ShardJobs {
    fn new(shard: ShardId) -> ShardJobs {
        ShardJobs {
            shard,
            known: BTreeSet::new(),
            changes: Vec::new(),
        }
    }

    /// Adds a job if it concerns the shard. A record of a job that is known from its job batch
    /// is added in any case: all its tasks may have been transferred to other shards since.
    fn add(&mut self, change: JobChange) {
        if self.known.contains(&change.id) {
            self.changes.push(change);
        } else if change.entry.concerns(self.shard) {
            self.known.insert(change.id.clone());
            self.changes.push(change);
        }
    }
}

/// The jobs in a stored job batch.
fn jobs_in_batch(item: Item) -> Vec<JobChange> {
    let batch = decode_job_batch(&item.value, &item.path).unwrap_or_default();
    let unreadable = batch.unreadable_ids().map(|id| (id, JobEntry::Unreadable));
    let mut entries: Vec<(JobId, JobEntry)> = unreadable.collect();
    entries.extend(batch.jobs.into_iter().map(|record| {
        let id = record.spec.id.clone();
        (id, JobEntry::Batched(Box::new(record)))
    }));
    let change = |(id, entry)| JobChange {
        id,
        entry,
        revision: item.revision,
    };
    entries.into_iter().map(change).collect()
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
    for change in records.jobs {
        led.apply_job_entry(
            &change.id,
            &change.entry,
            change.revision,
            true,
            now,
            &config,
        );
    }
    led.loaded = true;
    // This controller's own transactions were not applied to the shard while it was being
    // loaded. They must not count as applied, so that the watch applies them.
    controller.own_writes.clear();
    apply_deferred_changes(led, records.job_batches_revision, now, &config);
    log::info!(
        "loaded shard {shard}: {} jobs, {} machines; live jobs of all shards take {} bytes, limit {}",
        led.state.jobs.len(),
        machines.len(),
        controller.cached.live_jobs.memory().total(),
        config.job_memory_limit
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

/// Applies the changes that the watch delivered during loading and that are newer than the
/// records that were read.
fn apply_deferred_changes(
    led: &mut LedShard,
    read_revision: u64,
    now: MonotonicTime,
    config: &Config,
) {
    for change in std::mem::take(&mut led.deferred_changes) {
        if change.revision.0 > read_revision {
            led.apply_job_entry(
                &change.id,
                &change.entry,
                change.revision,
                false,
                now,
                config,
            );
        }
    }
}
