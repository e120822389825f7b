//! Jobs of a shard: they follow the records in the store.
//!
//! Invariants: a record that is not newer than the known one changes nothing; a
//! task that a machine has shown is not launched elsewhere, also if it was seen
//! before the job's record; what runs of a job whose record is gone or unreadable
//! holds its machine's resources until a heartbeat lacks it.

use crate::config::Config;
use crate::shard::{Job, ShardState};
use pulleywood_protocol::record::{ChunkRecord, JobRecord, TaskSet};
use pulleywood_protocol::{JobId, MonotonicTime, Revision, ShardId};
use std::sync::Arc;

impl ShardState {
    /// A job's record appeared or changed. `maybe_launched_before`: an earlier
    /// leader may have launched tasks of it.
    pub fn put_job(
        &mut self,
        record: &JobRecord,
        revision: Revision,
        maybe_launched_before: bool,
        now: MonotonicTime,
        config: &Config,
    ) {
        let id = &record.spec.id;
        self.unreadable_jobs.remove(id);
        let shard = self.shard;
        match self.jobs.get_mut(id) {
            // Nothing new, as after a batch of this leader's own.
            Some(job) if revision <= job.revision => return,
            Some(job) => {
                job.update(record, revision, shard, &committed_tasks(record, config));
                if job.assigned.is_empty() && job.active.is_empty() {
                    self.jobs.remove(id);
                }
            }
            // Most records are of other shards.
            None if !concerns_shard(record, shard) => return,
            None => {
                let assigned = record.share(shard);
                if assigned.is_empty() {
                    return;
                }
                let launched = maybe_launched_before;
                let mut job = Job::new(record, revision, shard, assigned, launched, now);
                job.mark_committed(&committed_tasks(record, config));
                job.update_waiting();
                self.jobs.insert(id.clone(), job);
            }
        }
        self.attach_seen_attempts(id);
        // A record may hold all tasks as done if its last batch was split.
        self.dirty_jobs.insert(id.clone());
        self.invalidate_plan();
    }

    /// Machines may have shown tasks of a job before its record came, or before its
    /// record gave them to this shard. These tasks are active until a heartbeat
    /// lacks them, though they were told to stop: they are neither launched
    /// elsewhere nor transferred.
    fn attach_seen_attempts(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for (machine_id, machine) in &mut self.machines {
            for slot in machine.slots.iter_mut().filter(|s| s.task.job == *id) {
                let index = slot.task.index;
                let unfinished = job.assigned.contains(index) && !job.done.contains(index);
                if slot.holds_resources() && unfinished && !job.active.contains_key(&index) {
                    job.mark_active(index, machine_id.clone(), slot.attempt);
                    slot.spec = Some(Arc::clone(&job.spec));
                }
            }
        }
    }

    /// A job was accepted in a job batch. One that is known already has a record of
    /// its own by now, or is known from this job batch.
    pub fn put_batched_job(
        &mut self,
        record: &JobRecord,
        revision: Revision,
        maybe_launched_before: bool,
        now: MonotonicTime,
        config: &Config,
    ) {
        let id = &record.spec.id;
        if self.jobs.contains_key(id) {
            return;
        }
        self.put_job(record, revision, maybe_launched_before, now, config);
        if let Some(job) = self.jobs.get_mut(id) {
            job.in_job_batch = true;
        }
    }

    /// A chunk record that continues a job's set of done tasks appeared or changed.
    pub fn put_chunk(
        &mut self,
        id: &JobId,
        chunk: u32,
        record: &ChunkRecord,
        revision: Revision,
        config: &Config,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let known = job.chunk_revisions.get(&chunk);
        if known.is_some_and(|&known| known > revision) {
            return;
        }
        job.chunk_revisions.insert(chunk, revision);
        let mut done = TaskSet::new();
        if done.add_chunk(&record.done, chunk, config.chunk_tasks, job.spec.tasks) {
            job.mark_committed(&done);
        }
        self.dirty_jobs.insert(id.clone());
    }

    /// A job's record is gone: it is done or cancelled. What still runs of it is
    /// stopped without leeway, and counts until a heartbeat lacks it.
    pub fn remove_job(&mut self, id: &JobId) {
        let known = self.jobs.remove(id).is_some();
        if !self.unreadable_jobs.remove(id) && !known {
            return;
        }
        for machine in self.machines.values_mut() {
            for slot in machine.slots.iter_mut().filter(|s| &s.task.job == id) {
                slot.stop_grace_s = Some(0.0);
            }
        }
        self.dirty_jobs.remove(id);
        self.invalidate_plan();
    }

    /// A job's record appeared or changed and cannot be read: what runs of it is
    /// left alone, and nothing of it is launched.
    pub fn mark_job_unreadable(&mut self, id: &JobId) {
        let known = self.jobs.remove(id).is_some();
        self.unreadable_jobs.insert(id.clone());
        if !known {
            return;
        }
        // Its tasks hold all of their machines' resources: what they need is not
        // known any more.
        for machine in self.machines.values_mut() {
            for slot in machine.slots.iter_mut().filter(|s| &s.task.job == id) {
                slot.spec = None;
            }
        }
        self.dirty_jobs.remove(id);
        self.invalidate_plan();
    }

    /// A job's user is cancelling it: nothing of it is launched until its record
    /// changes or this time has come. It ends nothing, as the cancellation may fail.
    pub fn hold_for_cancellation(&mut self, id: &JobId, until: MonotonicTime) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancelling_until = job.cancelling_until.max(until);
            self.invalidate_plan();
        }
    }

    /// When a job was submitted, on this process's clock.
    pub(crate) fn submitted_at(&self, job: &Job) -> MonotonicTime {
        let at = i64::try_from(job.submitted_at_ms).unwrap_or(i64::MAX);
        MonotonicTime(at.saturating_add(self.wall_clock_offset_ms).max(0) as u64)
    }
}

/// Whether the shard accepted the job or was given tasks of it.
fn concerns_shard(record: &JobRecord, shard: ShardId) -> bool {
    record.shard == shard || record.transferred.iter().any(|t| t.shard == shard)
}

/// Tasks that a job's record itself holds as done. A text that cannot be read
/// counts as none, rather than losing the job: its tasks exit as done at once if
/// they are launched again.
fn committed_tasks(record: &JobRecord, config: &Config) -> TaskSet {
    let mut done = TaskSet::new();
    if done.add_chunk(&record.done, 0, config.chunk_tasks, record.spec.tasks) {
        done
    } else {
        TaskSet::new()
    }
}
