//! Candidate machines: those that may be given tasks now, with their resources.

use crate::config::Config;
use crate::resources::{MAX_TASKS_PER_MACHINE, ResourceVector};
use crate::shard::ShardState;
use crate::shard::machine::{Machine, Slot, SlotState};
use pulleywood_protocol::cloud::Flavor;
use pulleywood_protocol::job::Shape;
use pulleywood_protocol::{JobId, JobSpec, MachineId, MonotonicTime, TaskId};
use std::collections::VecDeque;
use std::time::Duration;

/// A machine is given nothing once this many heartbeat intervals, and the margin,
/// have passed since its last heartbeat: it may be dead.
const MISSED_HEARTBEATS: f64 = 3.0;
/// Allowance for the network and for busy controllers.
const HEARTBEAT_MARGIN: Duration = Duration::from_secs(1);
/// Most launches for one machine in one plan: they go out in one heartbeat
/// response, whose size is limited.
const MAX_LAUNCHES: usize = 100;
/// Shortest run, in seconds, that is assumed of a task: shorter estimates would
/// promise more task ends than heartbeats can report.
const MIN_RUN_S: f64 = 5.0;

/// A machine as one scheduling cycle sees and changes it.
pub(super) struct CandidateMachine<'a> {
    pub(super) id: &'a MachineId,
    pub(super) slots: &'a [Slot],
    pub(super) zone: &'a str,
    pub(super) flavor: &'a str,
    pub(super) spot: bool,
    /// All resources of the machine.
    pub(super) capacity: ResourceVector,
    pub(super) free: ResourceVector,
    /// Resources of tasks that were told to stop.
    pub(super) releasing: ResourceVector,
    /// Free resources that only this job may use.
    pub(super) reserved: Option<(&'a JobId, ResourceVector)>,
    pub(super) fetch_gb_per_s: f64,
    /// Images present, with their size in GB.
    pub(super) images: &'a VecDeque<(String, f64)>,
    /// Images that are being fetched.
    pub(super) fetching: Vec<&'a str>,
    /// Gigabytes of those images.
    pub(super) fetch_queue_gb: f64,
    /// Share of the machine held by tasks that may not run on spot machines.
    pub(super) pinned: f64,
    /// Tasks expected to end here a second.
    pub(super) ends_per_s: f64,
    /// Seconds until its next heartbeat, in whose response a launch would go out.
    pub(super) next_heartbeat_s: f64,
    /// Tasks that one plan may still add.
    pub(super) launches_left: usize,
    /// Tasks that this plan adds.
    pub(super) planned: Vec<TaskId>,
    /// Slots that this plan stops, with their grace period in seconds.
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
            pinned: usage.pinned.dominant_share(&capacity),
            ends_per_s: usage.ends_per_s,
            next_heartbeat_s,
            launches_left: (MAX_TASKS_PER_MACHINE as usize)
                .saturating_sub(machine.slots.len())
                .min(MAX_LAUNCHES),
            planned: Vec::new(),
            preemptions: Vec::new(),
        }
    }

    /// What is free for a job's task, including what is reserved for the job.
    pub(super) fn free_for(&self, spec: &JobSpec) -> ResourceVector {
        let mut free = self.free;
        if let Some((id, reserved)) = self.reserved
            && *id == spec.id
        {
            free += reserved;
        }
        free
    }

    /// Plans a task here and takes its resources.
    pub(super) fn add_task(&mut self, id: &JobId, index: u32, spec: &'a JobSpec) {
        self.planned.push(TaskId {
            job: id.clone(),
            index,
        });
        self.launches_left = self.launches_left.saturating_sub(1);
        let need = ResourceVector::of_task(spec);
        self.free -= need;
        if !spec.spot {
            self.pinned += need.dominant_share(&self.capacity);
        }
        if spec.image_gb.0 > 0.0 && !self.has_image(spec) && !self.is_fetching(spec) {
            self.fetching.push(&spec.image);
            self.fetch_queue_gb += spec.image_gb.0;
        }
    }
}

/// What the tasks on a machine use.
struct SlotUsage<'a> {
    free: ResourceVector,
    pinned: ResourceVector,
    releasing: ResourceVector,
    fetching: Vec<&'a str>,
    fetch_queue_gb: f64,
    ends_per_s: f64,
}

impl<'a> SlotUsage<'a> {
    fn of(machine: &'a Machine, capacity: ResourceVector) -> Self {
        let mut usage = SlotUsage {
            free: capacity,
            pinned: ResourceVector::default(),
            releasing: ResourceVector::default(),
            fetching: Vec::new(),
            fetch_queue_gb: 0.0,
            ends_per_s: 0.0,
        };
        for slot in machine.slots.iter().filter(|s| s.holds_resources()) {
            if let Some(spec) = &slot.spec {
                usage.add(machine, slot, spec);
            }
        }
        usage
    }

    fn add(&mut self, machine: &Machine, slot: &Slot, spec: &'a JobSpec) {
        let held = ResourceVector::of_task(spec);
        self.free -= held;
        if !spec.spot {
            self.pinned += held;
        }
        if slot.stop_grace_s.is_some() {
            self.releasing += held;
        }
        if spec.shape != Shape::Service && slot.state == SlotState::Running {
            self.ends_per_s += 1.0 / spec.estimate_s.0.max(MIN_RUN_S);
        }
        let awaits_image = matches!(slot.state, SlotState::Sent { .. } | SlotState::Fetching);
        if awaits_image
            && !self.fetching.contains(&spec.image.as_str())
            && !machine.images.iter().any(|(name, _)| *name == spec.image)
        {
            self.fetching.push(&spec.image);
            self.fetch_queue_gb += spec.image_gb.0;
        }
    }
}

/// Whether a machine may be given tasks now, whatever they need.
fn is_schedulable(machine: &Machine, now: MonotonicTime, max_heartbeat_age: Duration) -> bool {
    let in_touch = machine
        .last_heartbeat_at
        .is_some_and(|at| now.since(at) < max_heartbeat_age);
    machine.confirmed
        && in_touch
        && machine.inbound_partitioned_since.is_none()
        && machine.remains_in_service(now)
        && !machine.has_unknown_attempts()
}

/// The machines of a shard that may be given tasks now, in the order of their ids.
/// `reporter`: the machine whose heartbeat is being answered.
pub(super) fn collect<'a>(
    state: &'a ShardState,
    reporter: &MachineId,
    now: MonotonicTime,
    config: &Config,
) -> Vec<CandidateMachine<'a>> {
    let max_heartbeat_age = config.heartbeat_interval.mul_f64(MISSED_HEARTBEATS) + HEARTBEAT_MARGIN;
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
