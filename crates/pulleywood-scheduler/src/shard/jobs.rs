//! Updates of a shard's jobs from their records in the state service.
//!
//! Invariants: a record that is not newer than the known one changes nothing; a task
//! that a machine has reported is not launched on another one, even if it was reported
//! before the job's record arrived; attempts of a job whose record is gone or
//! unreadable hold their machine's resources until a heartbeat does not list them.

use crate::config::Config;
use crate::shard::{Job, ShardState};
use pulleywood_protocol::record::{ChunkRecord, JobRecord, TaskSet};
use pulleywood_protocol::{JobId, MonotonicTime, Revision, ShardId};
use std::sync::Arc;

impl ShardState {
    /// Applies a job's new or changed record. `maybe_launched_before`: a previous
    /// leader may have launched tasks of the job.
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
            // The record is known, for example because this leader wrote it.
            Some(job) if revision <= job.revision => return,
            Some(job) => {
                job.update(record, revision, shard, &committed_tasks(record, config));
                if job.assigned.is_empty() && job.active.is_empty() {
                    self.jobs.remove(id);
                }
            }
            // Most records belong to other shards.
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
        // The record may list all tasks as done if the last batch was split.
        self.dirty_jobs.insert(id.clone());
        self.invalidate_plan();
    }

    /// Marks tasks active that machines reported before the job's record arrived, or
    /// before its record assigned them to this shard. They stay active until a
    /// heartbeat does not list them, although they were told to stop, so that they are
    /// neither launched on another machine nor transferred.
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

    /// Applies a job that was accepted in a job batch. A job that is already known has
    /// its own record by now, or is known from this batch.
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

    /// Applies a new or changed chunk record, which continues a job's set of done
    /// tasks.
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

    /// Removes a job whose record is gone because the job is done or was cancelled. Its
    /// running attempts are stopped without a grace period and counted until a
    /// heartbeat does not list them.
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

    /// Handles a new or changed record that cannot be read. Running tasks of the job
    /// are left alone and none is launched.
    pub fn mark_job_unreadable(&mut self, id: &JobId) {
        let known = self.jobs.remove(id).is_some();
        self.unreadable_jobs.insert(id.clone());
        if !known {
            return;
        }
        // What these tasks need is no longer known, so each counts as holding its whole
        // machine.
        for machine in self.machines.values_mut() {
            for slot in machine.slots.iter_mut().filter(|s| &s.task.job == id) {
                slot.spec = None;
            }
        }
        self.dirty_jobs.remove(id);
        self.invalidate_plan();
    }

    /// Launches no task of a job until the given time, because the job's user is
    /// cancelling it. Running tasks are not stopped, since the cancellation may fail. The
    /// job need not be known: an older record may arrive later.
    pub fn suspend_launches(&mut self, id: &JobId, until: MonotonicTime, now: MonotonicTime) {
        self.suspended_jobs.suspend(id, until, now);
        if self.jobs.contains_key(id) {
            self.invalidate_plan();
        }
    }

    /// When a job was submitted, on this process's monotonic clock.
    pub(crate) fn submitted_at(&self, job: &Job) -> MonotonicTime {
        let at = i64::try_from(job.submitted_at_ms).unwrap_or(i64::MAX);
        MonotonicTime(at.saturating_add(self.wall_clock_offset_ms).max(0) as u64)
    }
}

/// Whether the shard accepted the job or received tasks of it by transfer.
fn concerns_shard(record: &JobRecord, shard: ShardId) -> bool {
    record.shard == shard || record.transferred.iter().any(|t| t.shard == shard)
}

/// Tasks that the job's record itself lists as done. An unreadable list counts as empty
/// rather than losing the job: if its tasks are launched again, they exit as done at
/// once.
fn committed_tasks(record: &JobRecord, config: &Config) -> TaskSet {
    let mut done = TaskSet::new();
    if done.add_chunk(&record.done, 0, config.chunk_tasks, record.spec.tasks) {
        done
    } else {
        TaskSet::new()
    }
}
