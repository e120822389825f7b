//! A live job as its shard's leader knows it.
//!
//! Invariant: `waiting` holds only tasks that are assigned to this shard and are
//! neither active, done nor offered to another shard. The methods of [`Job`] maintain
//! it; other modules change the sets only through them.

use crate::shard::health::Health;
use crate::shard::zone_bindings::ZoneBindings;
use pulleywood_protocol::job::Shape;
use pulleywood_protocol::record::{JobRecord, TaskSet, TaskTransfer};
use pulleywood_protocol::{Attempt, JobSpec, MachineId, MonotonicTime, Revision, ShardId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A job that is neither done nor cancelled, with the state of the tasks that this
/// shard runs.
#[derive(Debug)]
pub struct Job {
    /// The job as it was submitted.
    pub spec: Arc<JobSpec>,
    /// Time of submission, in milliseconds of the accepting controller's time of day.
    pub submitted_at_ms: u64,
    /// Revision of the job's record, or of the job batch that contains it.
    pub revision: Revision,
    /// Whether the job is still stored in a job batch and has no record of its own.
    pub in_job_batch: bool,
    /// Revisions of the chunk records that continue the set of done tasks, by chunk
    /// number.
    pub(super) chunk_revisions: BTreeMap<u32, Revision>,
    /// The shard that accepted the job.
    pub(super) submitting_shard: ShardId,
    /// Transfers of the job's tasks between shards, as stored in its record.
    pub(super) transferred: Vec<TaskTransfer>,
    /// Tasks that this shard runs.
    pub(super) assigned: TaskSet,
    /// Tasks offered to another shard under the record's current revision. They are not
    /// launched until the record has a newer revision, which resolves the offer.
    pub(super) offered: TaskSet,
    /// The zone that the offered tasks are bound to, if any.
    pub(super) offered_zone: Option<String>,
    /// Zones that transferred tasks are bound to.
    pub zone_bindings: ZoneBindings,
    /// Whether the record must be rewritten unchanged, to resolve an offer whose
    /// outcome is unknown.
    pub(super) needs_rewrite: bool,
    /// Done tasks, committed or not.
    pub done: TaskSet,
    /// Done tasks that are committed to the state service.
    pub committed: TaskSet,
    /// Since when a done task has been waiting for its commit. `None` if uncommitted
    /// tasks are to go into the next batch.
    pub(super) uncommitted_since: Option<MonotonicTime>,
    /// Tasks that can be launched.
    pub waiting: TaskSet,
    /// Tasks that run or may run, with their machine and attempt, by task index.
    pub active: BTreeMap<u32, (MachineId, Attempt)>,
    /// The attempt that all tasks of a gang share while any of them is active.
    pub(super) gang_attempt: Option<Attempt>,
    /// Whether a task of the gang's current attempt ended without being done. The other
    /// tasks end too, and none is launched until all of them have ended.
    pub gang_interrupted: bool,
    /// Whether a previous leader may have launched tasks of the job.
    pub(super) maybe_launched_before: bool,
    /// Failures of the job and what follows from them.
    pub health: Health,
    /// When this leader first saw the job.
    pub(super) first_seen_at: MonotonicTime,
}

impl Job {
    /// Creates a job that is new to this shard, with `assigned` as the tasks that it
    /// runs. No task is waiting or committed yet.
    pub(super) fn new(
        record: &JobRecord,
        revision: Revision,
        shard: ShardId,
        assigned: TaskSet,
        maybe_launched_before: bool,
        now: MonotonicTime,
    ) -> Job {
        Job {
            spec: Arc::new(record.spec.clone()),
            submitted_at_ms: record.accepted_at_ms,
            revision,
            in_job_batch: false,
            chunk_revisions: BTreeMap::new(),
            submitting_shard: record.shard,
            transferred: record.transferred.clone(),
            assigned,
            offered: TaskSet::new(),
            offered_zone: None,
            zone_bindings: ZoneBindings::of(record, shard),
            needs_rewrite: false,
            done: TaskSet::new(),
            committed: TaskSet::new(),
            uncommitted_since: None,
            waiting: TaskSet::new(),
            active: BTreeMap::new(),
            gang_attempt: None,
            gang_interrupted: false,
            maybe_launched_before,
            health: Health::default(),
            first_seen_at: now,
        }
    }

    /// Applies a newer revision of the job's record. `committed` holds the tasks that
    /// the record lists as done. The new revision also resolves an offer.
    pub(super) fn update(
        &mut self,
        record: &JobRecord,
        revision: Revision,
        shard: ShardId,
        committed: &TaskSet,
    ) {
        self.in_job_batch = false;
        self.revision = revision;
        self.transferred.clone_from(&record.transferred);
        self.assigned = record.share(shard);
        self.zone_bindings = ZoneBindings::of(record, shard);
        self.mark_committed(committed);
        self.resolve_offer();
    }

    /// Whether a task can be launched: it is assigned to this shard and neither active,
    /// done nor offered.
    fn is_launchable(&self, index: u32) -> bool {
        self.assigned.contains(index)
            && !self.done.contains(index)
            && !self.offered.contains(index)
            && !self.active.contains_key(&index)
    }

    /// Adds a task to `waiting` if it can be launched, and removes it otherwise.
    fn update_waiting_task(&mut self, index: u32) {
        if self.is_launchable(index) {
            self.waiting.insert(index);
        } else {
            self.waiting.remove(index);
        }
    }

    /// Recomputes `waiting` from the other sets.
    pub(super) fn update_waiting(&mut self) {
        let mut waiting = self.assigned.difference(&self.done);
        waiting.remove_all(&self.offered);
        for index in self.active.keys() {
            waiting.remove(*index);
        }
        self.waiting = waiting;
    }

    /// Marks tasks as offered to another shard. `zone` is the zone they are bound to,
    /// if any.
    pub(super) fn mark_offered(&mut self, tasks: TaskSet, zone: Option<String>) {
        self.offered = tasks;
        self.offered_zone = zone;
        self.update_waiting();
    }

    /// Ends an offer. Tasks that were not transferred wait again.
    pub(super) fn resolve_offer(&mut self) {
        self.needs_rewrite = false;
        self.offered = TaskSet::new();
        self.update_waiting();
    }

    /// Marks tasks as done and committed.
    pub(super) fn mark_committed(&mut self, tasks: &TaskSet) {
        self.committed.insert_all(tasks);
        self.done.insert_all(tasks);
        self.waiting.remove_all(tasks);
    }

    /// Marks a task as done and returns whether it was not done before. Replicas of a
    /// service are never done: one that exits is launched again.
    pub(super) fn mark_done(&mut self, index: u32, now: MonotonicTime) -> bool {
        if !self.spec.shape.runs_to_completion() || index >= self.spec.tasks {
            return false;
        }
        self.waiting.remove(index);
        if !self.has_uncommitted() {
            self.uncommitted_since = Some(now);
        }
        self.done.insert(index)
    }

    /// Records that an attempt of a task runs or may run on a machine.
    pub(super) fn mark_active(&mut self, index: u32, machine: MachineId, attempt: Attempt) {
        self.active.insert(index, (machine, attempt));
        self.gang_attempt.get_or_insert(attempt);
        self.waiting.remove(index);
    }

    /// Records that an attempt has certainly ended. Its task waits again unless it is
    /// done.
    ///
    /// Attempts are compared rather than machines: the end of an older attempt says
    /// nothing about a newer one on the same machine.
    pub(super) fn end_attempt(&mut self, index: u32, attempt: Attempt) {
        if self.active.get(&index).is_none_or(|(_, a)| *a != attempt) {
            return;
        }
        self.active.remove(&index);
        self.gang_interrupted =
            !self.active.is_empty() && (self.gang_interrupted || !self.done.contains(index));
        if self.active.is_empty() {
            self.gang_attempt = None;
        }
        self.update_waiting_task(index);
    }

    /// Whether all tasks are done, which ends the job. A service is never complete.
    pub(super) fn is_complete(&self) -> bool {
        self.spec.shape.runs_to_completion() && self.done.len() >= self.spec.tasks
    }

    /// Whether any done task is not committed.
    pub(super) fn has_uncommitted(&self) -> bool {
        self.done.len() != self.committed.len()
    }

    /// Returns the job's record as it is to be stored. `done` is the encoded first
    /// chunk of done tasks.
    pub fn to_record(&self, done: String) -> JobRecord {
        JobRecord {
            spec: (*self.spec).clone(),
            accepted_at_ms: self.submitted_at_ms,
            shard: self.submitting_shard,
            transferred: self.transferred.clone(),
            done,
        }
    }

    /// Whether the job's tasks may run in different shards: no task depends on where
    /// the others run.
    pub fn may_be_transferred(&self) -> bool {
        let spec = &self.spec;
        spec.shape != Shape::Gang && (spec.tasks == 1 || !spec.one_zone)
    }
}
