//! A live job as its shard's leader knows it.
//!
//! Invariant: `waiting` holds only tasks that this shard runs and that are neither
//! active, done nor offered. The methods of [`Job`] keep it; other modules change the
//! sets only through them.

use crate::shard::health::Health;
use pulleywood_protocol::job::Shape;
use pulleywood_protocol::record::{JobRecord, TaskSet, TaskTransfer};
use pulleywood_protocol::{Attempt, JobSpec, MachineId, MonotonicTime, Revision, ShardId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A live job.
#[derive(Debug)]
pub struct Job {
    /// The job as it was submitted.
    pub spec: Arc<JobSpec>,
    /// When it was submitted, in milliseconds of the accepting controller's time of day.
    pub submitted_at_ms: u64,
    /// Revision of its record, or of the job batch it was accepted in.
    pub revision: Revision,
    /// It is still stored in that job batch and has no record of its own.
    pub in_job_batch: bool,
    /// Revisions of the chunk records that continue its set of done tasks, by chunk.
    pub(super) chunk_revisions: BTreeMap<u32, Revision>,
    /// The shard that accepted it.
    pub(super) submitting_shard: ShardId,
    /// Its transfers between shards, as stored.
    pub(super) transferred: Vec<TaskTransfer>,
    /// Tasks that this shard runs.
    pub(super) assigned: TaskSet,
    /// Tasks offered to another shard under the record's present revision. They are
    /// not launched until that revision has changed, which resolves the offer.
    pub(super) offered: TaskSet,
    /// The zone that the offered tasks are bound to.
    pub(super) offered_zone: Option<String>,
    /// Zones that tasks transferred to this shard are bound to, by task.
    pub zone_bindings: BTreeMap<u32, String>,
    /// How many tasks transferred to other shards are bound to each zone.
    pub(super) transferred_by_zone: BTreeMap<String, u32>,
    /// The record must be rewritten unchanged, to resolve an offer whose outcome
    /// is not known.
    pub(super) needs_rewrite: bool,
    /// Done tasks, committed or not.
    pub done: TaskSet,
    /// Done tasks as committed to the store.
    pub committed: TaskSet,
    /// Since when a done task waits for its commit. None: it is committed with
    /// the next batch.
    pub(super) uncommitted_since: Option<MonotonicTime>,
    /// Tasks to launch.
    pub waiting: TaskSet,
    /// Tasks that run or may run, with their machine and attempt.
    pub active: BTreeMap<u32, (MachineId, Attempt)>,
    /// The attempt that all tasks of a gang share while any of them is active.
    pub(super) gang_attempt: Option<Attempt>,
    /// A task of the gang's present attempt ended without being done: the others
    /// end too, and none is launched until they have.
    pub gang_interrupted: bool,
    /// An earlier leader may have launched tasks of it.
    pub(super) maybe_launched_before: bool,
    /// Its user is cancelling it: nothing of it is launched until then. Only its
    /// record tells whether it was cancelled.
    pub cancelling_until: MonotonicTime,
    /// What its failures show.
    pub health: Health,
    /// When this leader first saw it.
    pub(super) first_seen_at: MonotonicTime,
}

impl Job {
    /// A job that this shard has not known so far, of which it runs `assigned`; no
    /// task is waiting or committed yet.
    pub(super) fn new(
        record: &JobRecord,
        revision: Revision,
        shard: ShardId,
        assigned: TaskSet,
        maybe_launched_before: bool,
        now: MonotonicTime,
    ) -> Job {
        let zones = ZoneBindings::of(record, shard);
        Job {
            spec: Arc::new(record.spec.clone()),
            submitted_at_ms: record.at_ms,
            revision,
            in_job_batch: false,
            chunk_revisions: BTreeMap::new(),
            submitting_shard: record.shard,
            transferred: record.transferred.clone(),
            assigned,
            offered: TaskSet::new(),
            offered_zone: None,
            zone_bindings: zones.bound_here,
            transferred_by_zone: zones.transferred_by_zone,
            needs_rewrite: false,
            done: TaskSet::new(),
            committed: TaskSet::new(),
            uncommitted_since: None,
            waiting: TaskSet::new(),
            active: BTreeMap::new(),
            gang_attempt: None,
            gang_interrupted: false,
            maybe_launched_before,
            cancelling_until: MonotonicTime(0),
            health: Health::default(),
            first_seen_at: now,
        }
    }

    /// Takes over a newer revision of its record, with the tasks that it holds as done.
    /// This also resolves an offer.
    pub(super) fn update(
        &mut self,
        record: &JobRecord,
        revision: Revision,
        shard: ShardId,
        committed: &TaskSet,
    ) {
        let zones = ZoneBindings::of(record, shard);
        self.in_job_batch = false;
        self.revision = revision;
        self.transferred.clone_from(&record.transferred);
        self.assigned = record.share(shard);
        self.zone_bindings = zones.bound_here;
        self.transferred_by_zone = zones.transferred_by_zone;
        self.mark_committed(committed);
        self.resolve_offer();
    }

    /// Whether a task can be launched: it is this shard's, and neither active, done nor
    /// offered.
    fn is_launchable(&self, index: u32) -> bool {
        self.assigned.contains(index)
            && !self.done.contains(index)
            && !self.offered.contains(index)
            && !self.active.contains_key(&index)
    }

    /// Puts a task into `waiting`, or takes it out, by whether it can be launched.
    fn update_waiting_task(&mut self, index: u32) {
        if self.is_launchable(index) {
            self.waiting.insert(index);
        } else {
            self.waiting.remove(index);
        }
    }

    /// Computes `waiting` anew from the other sets.
    pub(super) fn update_waiting(&mut self) {
        let mut waiting = TaskSet::new();
        for index in self.assigned.iter().filter(|i| self.is_launchable(*i)) {
            waiting.insert(index);
        }
        self.waiting = waiting;
    }

    /// These tasks are offered to another shard, bound to a zone or to none.
    pub(super) fn mark_offered(&mut self, tasks: TaskSet, zone: Option<String>) {
        self.offered = tasks;
        self.offered_zone = zone;
        self.update_waiting();
    }

    /// The offer has ended: the offered tasks are transferred, or were not and wait again.
    pub(super) fn resolve_offer(&mut self) {
        self.needs_rewrite = false;
        self.offered = TaskSet::new();
        self.update_waiting();
    }

    /// These tasks are stored as done.
    pub(super) fn mark_committed(&mut self, tasks: &TaskSet) {
        for index in tasks.iter() {
            self.committed.insert(index);
            self.done.insert(index);
            self.waiting.remove(index);
        }
    }

    /// A task exited as done. Returns whether that was not known before. Tasks of a
    /// service never are: a replica that ends by itself is started again.
    pub(super) fn mark_done(&mut self, index: u32, now: MonotonicTime) -> bool {
        if !self.spec.shape.completes() || index >= self.spec.tasks {
            return false;
        }
        self.waiting.remove(index);
        if !self.has_uncommitted() {
            self.uncommitted_since = Some(now);
        }
        self.done.insert(index)
    }

    /// An attempt of a task runs or may run on a machine.
    pub(super) fn mark_active(&mut self, index: u32, machine: MachineId, attempt: Attempt) {
        self.active.insert(index, (machine, attempt));
        self.gang_attempt.get_or_insert(attempt);
        self.waiting.remove(index);
    }

    /// An attempt has surely ended: its task waits again unless it is done. Only
    /// the attempt counts, not the machine: an older attempt that ended there says
    /// nothing of a newer one.
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

    /// Whether all its tasks are done, which ends it. A service never ends so.
    pub(super) fn is_complete(&self) -> bool {
        self.spec.shape.completes() && self.done.len() >= self.spec.tasks
    }

    /// Whether some done task is not committed.
    pub(super) fn has_uncommitted(&self) -> bool {
        self.done.len() != self.committed.len()
    }

    /// The record to store, with `done` as the text of its first chunk of done tasks.
    pub fn to_record(&self, done: String) -> JobRecord {
        JobRecord {
            spec: (*self.spec).clone(),
            at_ms: self.submitted_at_ms,
            shard: self.submitting_shard,
            transferred: self.transferred.clone(),
            done,
        }
    }

    /// Whether its tasks may run in different shards: none of them depends on
    /// where the others run.
    pub fn may_be_transferred(&self) -> bool {
        let spec = &self.spec;
        spec.shape != Shape::Gang && (spec.tasks == 1 || !spec.one_zone)
    }
}

/// Zones that the transfers of a job's record bind its tasks to.
struct ZoneBindings {
    /// Tasks transferred to this shard that are bound to a zone.
    bound_here: BTreeMap<u32, String>,
    /// Counts of such tasks of other shards.
    transferred_by_zone: BTreeMap<String, u32>,
}

impl ZoneBindings {
    fn of(record: &JobRecord, shard: ShardId) -> ZoneBindings {
        let mut bound_here = BTreeMap::new();
        let mut transferred_by_zone = BTreeMap::new();
        for transfer in &record.transferred {
            let Some(zone) = &transfer.zone else { continue };
            let tasks = record.transferred_tasks(transfer);
            if transfer.shard == shard {
                bound_here.extend(tasks.iter().map(|index| (index, zone.clone())));
            } else {
                *transferred_by_zone.entry(zone.clone()).or_insert(0) += tasks.len();
            }
        }
        ZoneBindings {
            bound_here,
            transferred_by_zone,
        }
    }
}
