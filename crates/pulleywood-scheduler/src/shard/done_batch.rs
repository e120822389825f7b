//! Batches of done tasks: what the leader commits before workers may forget their done
//! tasks.
//!
//! Invariant: a task counts as committed only after its batch was applied, and is not
//! cleared from its machine before that.

use crate::config::Config;
use crate::shard::batch_builder::{BatchBuilder, JobWrites};
use crate::shard::machine::SlotState;
use crate::shard::{Job, ShardState};
use pulleywood_protocol::job_batch::JobBatches;
use pulleywood_protocol::{JobId, MonotonicTime, Revision};
use std::time::Duration;

pub use crate::shard::batch_builder::{Batch, BatchJob};

/// If a machine has held no other task for this long, its done tasks are committed,
/// because the machine can be released only without them.
const IDLE_BEFORE_COMMIT: Duration = Duration::from_secs(8);

/// How urgently a job's done tasks must be committed, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CommitUrgency {
    /// The job's user waits to learn that it is done, or other shards wait for this
    /// shard's part of it.
    Immediate,
    /// The done tasks have waited for the maximum commit delay.
    Overdue,
}

impl Job {
    /// How urgently the job's done tasks must be committed. `None` if not yet.
    ///
    /// Writing a record costs the same for one done task as for all, and a task whose
    /// result is lost with its machine exits as done at once when it is launched again.
    /// Done tasks are therefore collected until the job, or this shard's part of it, is
    /// done, or the first of them has waited for [`Config::max_commit_delay`].
    fn commit_urgency(&self, now: MonotonicTime, config: &Config) -> Option<CommitUrgency> {
        if self.is_complete() || self.needs_rewrite {
            return Some(CommitUrgency::Immediate);
        }
        if !self.has_uncommitted() {
            return None;
        }
        if self.assigned.is_subset(&self.done) {
            return Some(CommitUrgency::Immediate);
        }
        let overdue = self
            .uncommitted_since
            .is_none_or(|at| now.since(at) >= config.max_commit_delay());
        overdue.then_some(CommitUrgency::Overdue)
    }

    /// Records that the job's part of a batch was stored at this revision.
    fn mark_written(&mut self, written: &BatchJob, revision: Revision) {
        self.committed.insert_all(&written.tasks);
        for &chunk in &written.chunks {
            if chunk == 0 {
                if revision > self.revision {
                    self.resolve_offer();
                }
                self.in_job_batch = false;
                self.revision = self.revision.max(revision);
            } else {
                let known = self.chunk_revisions.entry(chunk).or_default();
                *known = (*known).max(revision);
            }
        }
    }
}

impl ShardState {
    /// Returns the jobs with done tasks to commit now, most urgent first.
    fn jobs_to_commit(&self, now: MonotonicTime, config: &Config) -> Vec<(CommitUrgency, &JobId)> {
        let mut due: Vec<(CommitUrgency, &JobId)> = self
            .dirty_jobs
            .iter()
            .filter_map(|id| Some((self.jobs.get(id)?.commit_urgency(now, config)?, id)))
            .collect();
        due.sort();
        due
    }

    /// Puts the done tasks of machines that are about to be reclaimed, or that could be
    /// released, into the next batch.
    pub(super) fn expedite_done_tasks(&mut self, now: MonotonicTime) {
        for machine in self.machines.values() {
            let idle = machine
                .idle_since
                .is_some_and(|at| now.since(at) >= IDLE_BEFORE_COMMIT);
            if machine.slots.is_empty() || (machine.reclaim_at.is_none() && !idle) {
                continue;
            }
            for slot in &machine.slots {
                if slot.state == (SlotState::Exited { done: true })
                    && let Some(job) = self.jobs.get_mut(&slot.task.job)
                {
                    job.uncommitted_since = None;
                }
            }
        }
    }

    /// Builds the next batch, conditioned on the shard's revision and on the revision
    /// of every key that it changes. `None` if there is nothing to commit.
    pub fn next_batch(
        &self,
        shard_revision: Revision,
        job_batches: &JobBatches,
        now: MonotonicTime,
        config: &Config,
    ) -> Option<Batch> {
        let mut builder = BatchBuilder::new(self.shard, shard_revision, config);
        for (_, id) in self.jobs_to_commit(now, config) {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let Some(writes) = JobWrites::of(id, job, job_batches, config) else {
                continue;
            };
            if !builder.has_capacity_for(&writes) {
                break;
            }
            builder.add(writes);
        }
        builder.build(job_batches)
    }

    /// Records that a batch was committed at this revision. Its tasks may be cleared
    /// from now on.
    pub fn mark_batch_committed(&mut self, batch: &Batch, revision: Revision) {
        for written in &batch.jobs {
            if written.final_record.is_some() {
                self.remove_job(&written.id);
                continue;
            }
            let Some(job) = self.jobs.get_mut(&written.id) else {
                continue;
            };
            job.mark_written(written, revision);
            if !job.has_uncommitted() && job.done.len() < job.spec.tasks {
                self.dirty_jobs.remove(&written.id);
                job.uncommitted_since = None;
            }
        }
    }

    /// Whether the next batch is urgent because it completes a job, or this shard's
    /// part of one, that its user waits for. `None` if there is nothing to commit.
    pub fn next_batch_is_urgent(&self, now: MonotonicTime, config: &Config) -> Option<bool> {
        let due = self.jobs_to_commit(now, config);
        Some(due.first()?.0 == CommitUrgency::Immediate)
    }
}
