//! Candidate machines: the machines that can accept tasks now, and their resources.

use crate::config::Config;
use crate::resources::{MAX_TASKS_PER_MACHINE, ResourceVector};
use crate::shard::ShardState;
use crate::shard::machine::{Machine, Slot, SlotState};
use pulleywood_protocol::cloud::Flavor;
use pulleywood_protocol::job::Shape;
use pulleywood_protocol::{JobId, JobSpec, MachineId, MonotonicTime, TaskId};
use std::collections::VecDeque;
use std::time::Duration;

/// A machine receives no tasks once this many heartbeat intervals, plus the margin,
/// have passed since its last heartbeat, because it may be dead.
const MAX_MISSED_HEARTBEATS: f64 = 3.0;
/// Margin for delays in the network and in busy controllers.
const HEARTBEAT_MARGIN: Duration = Duration::from_secs(1);
/// Maximum number of launches for one machine in one plan. They are sent in one
/// heartbeat response, whose size is limited.
const MAX_LAUNCHES_PER_PLAN: usize = 100;
/// Lower bound of a task's estimated run time. Shorter estimates would predict more
/// completions than heartbeats can report.
const MIN_RUN_TIME_S: f64 = 5.0;

/// A machine in one scheduling cycle, updated as tasks are planned.
pub(super) struct CandidateMachine<'a> {
    pub(super) id: &'a MachineId,
    pub(super) slots: &'a [Slot],
    pub(super) zone: &'a str,
    pub(super) flavor: &'a str,
    pub(super) spot: bool,
    /// Total resources of the machine.
    pub(super) capacity: ResourceVector,
    pub(super) free: ResourceVector,
    /// Resources held by tasks that are being stopped.
    pub(super) releasing: ResourceVector,
    /// Free resources reserved for one job, and that job.
    pub(super) reserved: Option<(&'a JobId, ResourceVector)>,
    pub(super) fetch_gb_per_s: f64,
    /// Cached images with their sizes in GB.
    pub(super) images: &'a VecDeque<(String, f64)>,
    /// Images being fetched.
    pub(super) fetching: Vec<&'a str>,
    /// Total size of those images in GB.
    pub(super) fetch_queue_gb: f64,
    /// Dominant share of the machine held by tasks that may not run on spot machines.
    pub(super) pinned_share: f64,
    /// Expected number of tasks per second that end on this machine.
    pub(super) completions_per_s: f64,
    /// Seconds until the next heartbeat, whose response can carry a launch.
    pub(super) next_heartbeat_s: f64,
    /// Number of tasks that this plan may still add.
    pub(super) launches_left: usize,
    /// Tasks that this plan launches.
    pub(super) planned: Vec<TaskId>,
    /// Indices of the slots that this plan stops, with their grace periods in seconds.
    pub(super) preemptions: Vec<(usize, f64)>,
}

impl<'a> CandidateMachine<'a> {
    fn new(
        id: &'a MachineId,
        machine: &'a Machine,
        flavor: &Flavor,
        next_heartbeat_s: f64,
    ) -> Self {
        let capacity = ResourceVector::of_flavor(flavor);
        let usage = SlotUsage::of(machine, capacity);
        CandidateMachine {
            id,
            slots: &machine.slots,
            zone: &machine.record.zone,
            flavor: &machine.record.flavor,
            spot: machine.record.spot,
            capacity,
            free: usage.free,
            releasing: usage.releasing,
            reserved: None,
            fetch_gb_per_s: flavor.fetch_gb_per_s.0,
            images: &machine.images,
            fetching: usage.fetching,
            fetch_queue_gb: usage.fetch_queue_gb,
            pinned_share: usage.pinned.dominant_share(&capacity),
            completions_per_s: usage.completions_per_s,
            next_heartbeat_s,
            launches_left: (MAX_TASKS_PER_MACHINE as usize)
                .saturating_sub(machine.slots.len())
                .min(MAX_LAUNCHES_PER_PLAN),
            planned: Vec::new(),
            preemptions: Vec::new(),
        }
    }

    /// Returns the resources available to a job's task, including those reserved for
    /// the job.
    pub(super) fn free_for(&self, spec: &JobSpec) -> ResourceVector {
        let mut free = self.free;
        if let Some((job_id, reserved)) = self.reserved
            && *job_id == spec.id
        {
            free += reserved;
        }
        free
    }

    /// Plans a task on this machine and allocates its resources.
    pub(super) fn add_task(&mut self, job_id: &JobId, task_index: u32, spec: &'a JobSpec) {
        self.planned.push(TaskId {
            job: job_id.clone(),
            index: task_index,
        });
        self.launches_left = self.launches_left.saturating_sub(1);
        let need = ResourceVector::of_task(spec);
        self.free -= need;
        if !spec.spot {
            self.pinned_share += need.dominant_share(&self.capacity);
        }
        if spec.image_gb.0 > 0.0 && !self.has_image(spec) && !self.is_fetching(spec) {
            self.fetching.push(&spec.image);
            self.fetch_queue_gb += spec.image_gb.0;
        }
    }
}

/// Resources used by the tasks on a machine.
struct SlotUsage<'a> {
    free: ResourceVector,
    pinned: ResourceVector,
    releasing: ResourceVector,
    fetching: Vec<&'a str>,
    fetch_queue_gb: f64,
    completions_per_s: f64,
}

impl<'a> SlotUsage<'a> {
    fn of(machine: &'a Machine, capacity: ResourceVector) -> Self {
        let mut usage = SlotUsage {
            free: capacity,
            pinned: ResourceVector::default(),
            releasing: ResourceVector::default(),
            fetching: Vec::new(),
            fetch_queue_gb: 0.0,
            completions_per_s: 0.0,
        };
        for slot in machine.slots.iter().filter(|slot| slot.holds_resources()) {
            if let Some(spec) = &slot.spec {
                usage.add(machine, slot, spec);
            }
        }
        usage
    }

    fn add(&mut self, machine: &Machine, slot: &Slot, spec: &'a JobSpec) {
        let held_resources = ResourceVector::of_task(spec);
        self.free -= held_resources;
        if !spec.spot {
            self.pinned += held_resources;
        }
        if slot.stop_grace_s.is_some() {
            self.releasing += held_resources;
        }
        if spec.shape != Shape::Service && slot.state == SlotState::Running {
            self.completions_per_s += 1.0 / spec.estimate_s.0.max(MIN_RUN_TIME_S);
        }
        let waits_for_image = matches!(slot.state, SlotState::Sent { .. } | SlotState::Fetching);
        if waits_for_image
            && !self.fetching.contains(&spec.image.as_str())
            && !machine.images.iter().any(|(name, _)| *name == spec.image)
        {
            self.fetching.push(&spec.image);
            self.fetch_queue_gb += spec.image_gb.0;
        }
    }
}

/// Returns whether a machine can accept tasks now, whatever they need.
fn is_schedulable(machine: &Machine, now: MonotonicTime, max_heartbeat_age: Duration) -> bool {
    let heartbeat_is_recent = machine
        .last_heartbeat_at
        .is_some_and(|at| now.since(at) < max_heartbeat_age);
    machine.confirmed
        && heartbeat_is_recent
        && machine.inbound_partitioned_since.is_none()
        && machine.remains_in_service(now)
        && !machine.has_unknown_attempts()
}

/// Returns the machines of a shard that can accept tasks now, in the order of their
/// ids. `reporter` is the machine whose heartbeat is being answered.
pub(super) fn collect<'a>(
    state: &'a ShardState,
    reporter: &MachineId,
    now: MonotonicTime,
    config: &Config,
) -> Vec<CandidateMachine<'a>> {
    let max_heartbeat_age =
        config.heartbeat_interval.mul_f64(MAX_MISSED_HEARTBEATS) + HEARTBEAT_MARGIN;
    let mut candidates = Vec::with_capacity(state.machines.len());
    for (id, machine) in &state.machines {
        if !is_schedulable(machine, now, max_heartbeat_age) {
            continue;
        }
        let Some(flavor) = config.flavors.get(&machine.record.flavor) else {
            continue;
        };
        let next_heartbeat_s = match machine.last_heartbeat_at {
            Some(at) if id != reporter => config
                .heartbeat_interval
                .saturating_sub(now.since(at))
                .as_secs_f64(),
            _ => 0.0,
        };
        candidates.push(CandidateMachine::new(id, machine, flavor, next_heartbeat_s));
    }
    candidates
}
