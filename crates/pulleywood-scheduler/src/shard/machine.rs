//! A machine of a shard, and the attempts on it.
//!
//! Invariant: an attempt that may run keeps its slot, and with it its resources, until
//! [`crate::shard`] knows that it has ended.

use crate::config::Config;
use crate::resources::ResourceVector;
use pulleywood_protocol::record::MachineRecord;
use pulleywood_protocol::{
    Attempt, FencingToken, JobId, JobSpec, MonotonicTime, Rank, Revision, TaskId,
};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// What is known of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    /// Its launch may have been sent in the answer to this heartbeat.
    Sent {
        /// The heartbeat's incarnation.
        incarnation: u64,
        /// The heartbeat's number.
        seq: u64,
    },
    /// It waits for its image or for the rest of its gang.
    Fetching,
    /// It runs.
    Running,
    /// It saves its state before it exits.
    Saving,
    /// It ended. Its slot stays until a heartbeat lacks it.
    Exited {
        /// Its task is done: it is cleared only after the commit.
        done: bool,
    },
}

impl SlotState {
    /// Whether it waits for its image, as far as is known.
    pub(super) fn is_fetching(self) -> bool {
        matches!(self, SlotState::Sent { .. } | SlotState::Fetching)
    }
}

/// One attempt on a machine.
#[derive(Debug, Clone)]
pub struct Slot {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// What is known of it.
    pub state: SlotState,
    /// Its job, which tells what resources it holds. None: it is not known or not live
    /// in this shard, and the attempt counts as holding the whole machine.
    pub spec: Option<Arc<JobSpec>>,
    /// It is told to stop, with so many seconds to save its state.
    pub stop_grace_s: Option<f64>,
    /// When it was launched or first seen.
    pub created_at: MonotonicTime,
    /// When it was first seen running.
    pub running_since: Option<MonotonicTime>,
}

impl Slot {
    /// Whether it holds resources of its machine.
    pub fn holds_resources(&self) -> bool {
        !matches!(self.state, SlotState::Exited { .. })
    }
}

/// A machine of the shard.
#[derive(Debug)]
pub struct Machine {
    /// Its record.
    pub record: MachineRecord,
    /// The record's revision.
    pub revision: Revision,
    /// A heartbeat has shown its present fencing token: what it runs is known.
    pub confirmed: bool,
    /// It may run tasks of an earlier leader that this one has not seen.
    pub unreported: bool,
    /// Incarnation and number of the newest message accepted from it.
    pub last_message: (u64, u64),
    /// When its record appeared.
    pub(super) added_at: MonotonicTime,
    /// Arrival of the last heartbeat.
    pub last_heartbeat_at: Option<MonotonicTime>,
    /// Arrival of the last heartbeat that was answered, from which its worker's lease
    /// counts.
    pub last_response_at: Option<MonotonicTime>,
    /// Incarnation and number of the last message accepted before the last answer: the
    /// next heartbeat shows whether the answer arrived.
    pub(super) unacknowledged_response: Option<(u64, u64)>,
    /// Since when it is inbound partitioned: its heartbeats come, but they show that
    /// answers do not reach its worker. It takes no launches until one shows
    /// otherwise.
    pub inbound_partitioned_since: Option<MonotonicTime>,
    /// When a heartbeat last showed that messages pass both ways.
    pub(super) last_round_trip_at: MonotonicTime,
    /// When the cloud reclaims it, if it gave notice.
    pub reclaim_at: Option<MonotonicTime>,
    /// Attempts on it.
    pub slots: Vec<Slot>,
    /// Names and sizes in GB of the images it has, most recently used last.
    pub images: VecDeque<(String, f64)>,
    /// Since when no attempt holds resources of it.
    pub idle_since: Option<MonotonicTime>,
    /// Jobs that failed here and run well elsewhere, and since when that is known. A
    /// task that was launched here later and is done clears them.
    pub(super) failed_jobs: BTreeMap<JobId, MonotonicTime>,
    /// It fails jobs that run well elsewhere, and is to be replaced.
    pub quarantined: bool,
    /// Nothing is launched until then, so that it becomes idle.
    pub drain_until: MonotonicTime,
    /// Nothing is launched: it is being moved to another shard or released.
    pub leaving: bool,
}

impl Machine {
    /// A machine that has sent no heartbeat to this leader. `unreported`: an earlier
    /// leader may have launched tasks on it.
    pub(super) fn new(
        record: MachineRecord,
        revision: Revision,
        unreported: bool,
        now: MonotonicTime,
    ) -> Machine {
        let images = record.images.iter();
        Machine {
            images: images.map(|(n, gb)| (n.clone(), gb.0)).collect(),
            leaving: record.retiring,
            record,
            revision,
            confirmed: false,
            unreported,
            last_message: (0, 0),
            added_at: now,
            last_heartbeat_at: None,
            last_response_at: None,
            unacknowledged_response: None,
            inbound_partitioned_since: None,
            last_round_trip_at: now,
            reclaim_at: None,
            slots: Vec::new(),
            idle_since: None,
            failed_jobs: BTreeMap::new(),
            quarantined: false,
            drain_until: MonotonicTime(0),
        }
    }

    /// Takes over its record unless that is older than the known one. Under a new
    /// fencing token it has to report again before anything is launched.
    pub(super) fn update(&mut self, record: MachineRecord, revision: Revision) {
        if revision < self.revision {
            return;
        }
        if self.record.fencing_token != record.fencing_token {
            self.confirmed = false;
        }
        self.leaving = record.retiring;
        self.record = record;
        self.revision = revision;
    }

    /// The fencing token its commands carry: that of the shard, or a newer one that the
    /// machine has seen.
    pub fn fencing_token(&self, shard: FencingToken) -> FencingToken {
        self.record.fencing_token.max(shard)
    }

    /// Whether attempts of jobs that are not known here hold resources of it.
    pub fn has_unknown_attempts(&self) -> bool {
        self.slots
            .iter()
            .any(|s| s.spec.is_none() && s.holds_resources())
    }

    /// What all attempts that hold or may hold resources leave of `whole`.
    pub fn free_resources(&self, whole: ResourceVector) -> ResourceVector {
        let mut free = whole;
        for slot in self.slots.iter().filter(|s| s.holds_resources()) {
            if let Some(spec) = &slot.spec {
                free -= ResourceVector::of_task(spec);
            }
        }
        free
    }

    /// Whether answers have not reached it for longer than one lost answer explains.
    pub fn is_inbound_partitioned(&self, now: MonotonicTime, config: &Config) -> bool {
        let bound = config.heartbeat_interval.mul_f64(2.5) + Duration::from_secs(1);
        self.inbound_partitioned_since
            .is_some_and(|at| now.since(at) > bound)
    }

    /// Whether it is neither leaving, quarantined, being drained nor about to be reclaimed.
    pub fn remains_in_service(&self, now: MonotonicTime) -> bool {
        let drains = now < self.drain_until;
        !(self.leaving || self.quarantined || drains) && self.reclaim_at.is_none()
    }

    /// Resources held by tasks that may not run on spot machines.
    pub fn pinned_resources(&self) -> ResourceVector {
        let mut sum = ResourceVector::default();
        for slot in self.slots.iter().filter(|s| s.holds_resources()) {
            if let Some(spec) = slot.spec.as_ref().filter(|s| !s.spot) {
                sum += ResourceVector::of_task(spec);
            }
        }
        sum
    }

    /// Processors, GPUs and GB of memory held by each rank, lowest rank first.
    pub fn resources_by_rank(&self) -> Vec<(Rank, f64, f64, f64)> {
        let mut held: BTreeMap<Rank, ResourceVector> = BTreeMap::new();
        for slot in self.slots.iter().filter(|s| s.holds_resources()) {
            if let Some(spec) = &slot.spec {
                *held.entry(spec.rank).or_default() += ResourceVector::of_task(spec);
            }
        }
        held.into_iter()
            .map(|(rank, r)| (rank, r.cpus, r.gpus, r.memory_gb))
            .collect()
    }

    /// An image was used: it is the last to be evicted from the machine's cache of
    /// `cache_gb`, as far as is known of the worker's cache.
    pub(super) fn mark_image_used(&mut self, name: &str, gb: f64, cache_gb: f64) {
        self.images.retain(|(n, _)| n != name);
        self.images.push_back((name.to_owned(), gb));
        while self.images.len() > 1 && self.images.iter().map(|(_, gb)| gb).sum::<f64>() > cache_gb
        {
            self.images.pop_front();
        }
    }
}
