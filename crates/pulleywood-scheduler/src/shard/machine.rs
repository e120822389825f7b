//! A machine of a shard and the task attempts on it.
//!
//! Invariant: an attempt that may be running keeps its slot, and so its resources,
//! until the leader knows that it has ended.

use crate::config::Config;
use crate::resources::ResourceVector;
use pulleywood_protocol::record::MachineRecord;
use pulleywood_protocol::time::remote_duration_upper_bound;
use pulleywood_protocol::{
    Attempt, FencingToken, JobId, JobSpec, MonotonicTime, Rank, Revision, TaskId,
};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Last known state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    /// The launch command may have been sent in the response to this heartbeat. No
    /// heartbeat has listed the attempt yet.
    Sent {
        /// Incarnation of the worker that sent the heartbeat.
        incarnation: u64,
        /// Sequence number of the heartbeat.
        seq: u64,
    },
    /// The attempt waits for its image or for the rest of its gang.
    Fetching,
    /// The attempt is running.
    Running,
    /// The attempt is saving its state before it exits.
    Saving,
    /// The attempt ended. Its slot remains until a heartbeat does not list it.
    Exited {
        /// Whether the task is done. If so, it is cleared only after its commit.
        done: bool,
    },
}

impl SlotState {
    /// Whether the attempt is, or may be, waiting for its image.
    pub(super) fn is_fetching(self) -> bool {
        matches!(self, SlotState::Sent { .. } | SlotState::Fetching)
    }
}

/// One attempt on a machine.
#[derive(Debug, Clone)]
pub struct Slot {
    /// The task that the attempt belongs to.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Last known state of the attempt.
    pub state: SlotState,
    /// Specification of the attempt's job, which defines the resources that it holds.
    /// `None` if the job is unknown or not live in this shard; the attempt then counts
    /// as holding the whole machine.
    pub spec: Option<Arc<JobSpec>>,
    /// Seconds that the task has to save its state after it is told to stop. `None` if
    /// it is not told to stop.
    pub stop_grace_s: Option<f64>,
    /// When the attempt was launched by this leader or first reported.
    pub created_at: MonotonicTime,
    /// When the attempt was first reported as running.
    pub running_since: Option<MonotonicTime>,
}

/// Time after which a worker drops the response to a heartbeat that it sent.
const RESPONSE_VALIDITY: Duration = Duration::from_secs(4);

impl Slot {
    /// Whether the worker certainly drops every copy of the response that launched the attempt.
    /// After a clear, the worker would carry out such a copy as a new launch.
    pub(super) fn launch_certainly_expired(&self, now: MonotonicTime) -> bool {
        now >= self.created_at + remote_duration_upper_bound(RESPONSE_VALIDITY)
    }

    /// Whether the attempt holds resources of its machine.
    pub fn holds_resources(&self) -> bool {
        !matches!(self.state, SlotState::Exited { .. })
    }
}

/// A machine that the shard commands.
#[derive(Debug)]
pub struct Machine {
    /// The machine's stored record.
    pub record: MachineRecord,
    /// Revision of the record.
    pub revision: Revision,
    /// Whether a heartbeat has shown the current fencing token, so that the tasks on
    /// the machine are known.
    pub confirmed: bool,
    /// Whether the machine may run tasks of a previous leader that have not been
    /// reported to this leader.
    pub unreported: bool,
    /// Incarnation and sequence number of the newest message accepted from the worker.
    pub last_message: (u64, u64),
    /// When the machine's record appeared in this shard.
    pub(super) added_at: MonotonicTime,
    /// Arrival of the last heartbeat.
    pub last_heartbeat_at: Option<MonotonicTime>,
    /// Arrival of the last heartbeat that was answered. The worker's lease is counted
    /// from it.
    pub last_response_at: Option<MonotonicTime>,
    /// Incarnation and sequence number of the last message accepted before the last
    /// response. The next heartbeat shows whether the worker received that response.
    pub(super) unacknowledged_response: Option<(u64, u64)>,
    /// Since when the machine has been inbound partitioned: its heartbeats arrive, but
    /// show that responses do not reach the worker. No task is launched until a
    /// heartbeat shows otherwise.
    pub inbound_partitioned_since: Option<MonotonicTime>,
    /// When a heartbeat last showed that messages pass in both directions.
    pub(super) last_round_trip_at: MonotonicTime,
    /// When the cloud will reclaim the machine, if it gave notice.
    pub reclaim_at: Option<MonotonicTime>,
    /// Attempts on the machine.
    pub slots: Vec<Slot>,
    /// Names and sizes in GB of the images in the machine's cache, most recently used
    /// last.
    pub images: VecDeque<(String, f64)>,
    /// Since when no attempt has held resources of the machine. `None` if one does.
    pub idle_since: Option<MonotonicTime>,
    /// Jobs that failed on this machine and run well on others, with the time when that
    /// was found. A task that is launched here later and completes clears them.
    pub(super) failed_jobs: BTreeMap<JobId, MonotonicTime>,
    /// Whether the machine is to be replaced because it fails jobs that run well on
    /// others.
    pub quarantined: bool,
    /// Until this time no task is launched, so that the machine becomes idle.
    pub drain_until: MonotonicTime,
    /// Whether the machine is being moved to another shard or released. No task is
    /// launched on it.
    pub leaving: bool,
}

impl Machine {
    /// Creates a machine that has sent no heartbeat to this leader. `unreported`: a
    /// previous leader may have launched tasks on it.
    pub(super) fn new(
        record: MachineRecord,
        revision: Revision,
        unreported: bool,
        now: MonotonicTime,
    ) -> Machine {
        let images = record.images.iter();
        Machine {
            images: images.map(|(n, gb)| (n.clone(), gb.0)).collect(),
            leaving: record.releasing,
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

    /// Applies the machine's record unless a newer one is known. After a change of
    /// fencing token, the machine must report again before tasks are launched on it.
    pub(super) fn update(&mut self, record: MachineRecord, revision: Revision) {
        if revision < self.revision {
            return;
        }
        if self.record.fencing_token != record.fencing_token {
            self.confirmed = false;
        }
        self.leaving = record.releasing;
        self.record = record;
        self.revision = revision;
    }

    /// The fencing token for commands to the machine: the shard's, or a newer one that
    /// is recorded for the machine.
    pub fn fencing_token(&self, shard: FencingToken) -> FencingToken {
        self.record.fencing_token.max(shard)
    }

    /// Whether attempts of jobs that this shard does not know hold resources of the
    /// machine.
    pub fn has_unknown_attempts(&self) -> bool {
        self.slots
            .iter()
            .any(|s| s.spec.is_none() && s.holds_resources())
    }

    /// Resources of a machine of this capacity that no attempt of a known job holds or
    /// may hold. Attempts of unknown jobs are not subtracted; see
    /// [`Machine::has_unknown_attempts`].
    pub fn free_resources(&self, capacity: ResourceVector) -> ResourceVector {
        let mut free = capacity;
        for slot in self.slots.iter().filter(|s| s.holds_resources()) {
            if let Some(spec) = &slot.spec {
                free -= ResourceVector::of_task(spec);
            }
        }
        free
    }

    /// Whether responses have failed to reach the machine for longer than one lost
    /// response explains.
    pub fn is_inbound_partitioned(&self, now: MonotonicTime, config: &Config) -> bool {
        let threshold = config.heartbeat_interval.mul_f64(2.5) + Duration::from_secs(1);
        self.inbound_partitioned_since
            .is_some_and(|at| now.since(at) > threshold)
    }

    /// Whether the machine is neither leaving, quarantined, being drained nor about to
    /// be reclaimed.
    pub fn remains_in_service(&self, now: MonotonicTime) -> bool {
        let is_draining = now < self.drain_until;
        !(self.leaving || self.quarantined || is_draining) && self.reclaim_at.is_none()
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

    /// Resources held by each rank, as (rank, processors, GPUs, GB of memory), lowest
    /// rank first.
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

    /// Marks an image as most recently used and evicts others while the images exceed
    /// `cache_gb`. This models the worker's cache, which is not observed.
    pub(super) fn mark_image_used(&mut self, name: &str, gb: f64, cache_gb: f64) {
        self.images.retain(|(n, _)| n != name);
        self.images.push_back((name.to_owned(), gb));
        while self.images.len() > 1 && self.images.iter().map(|(_, gb)| gb).sum::<f64>() > cache_gb
        {
            self.images.pop_front();
        }
    }
}
