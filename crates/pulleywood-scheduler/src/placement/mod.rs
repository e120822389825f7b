//! Placement: assigns waiting tasks to machines and selects the running tasks to
//! preempt for them.
//!
//! Each scheduling cycle makes a plan for the whole shard. A cycle runs while a
//! heartbeat is being answered, if the shard's state has changed or the previous plan
//! has expired. Each machine receives its part of the plan in the response to its next
//! heartbeat. The stages of a cycle:
//!
//! 1. `queue` orders the waiting jobs of each team.
//! 2. `candidates` collects the machines that can accept tasks, and their free
//!    resources.
//! 3. `assign` places the tasks of one job at a time, alternating between teams, on the
//!    machines that `filter` accepts and that have the lowest cost in `score`.
//! 4. `reserve` withholds free resources from other jobs for a job that fits nowhere.
//! 5. `preempt` stops running tasks for the jobs that are still unplaced. `claim`
//!    determines which tasks may be stopped, `victims` selects the cheapest of them,
//!    and `borrowed` computes how much of a team's usage exceeds its guarantee.
//!
//! A machine is warm for a job if it has the job's image in its cache.

mod assign;
mod borrowed;
mod candidates;
mod claim;
mod filter;
mod preempt;
mod queue;
mod reserve;
mod score;
mod victims;
mod waiting_tasks;

use crate::config::Config;
use crate::placement::assign::AssignOutcome;
use crate::placement::borrowed::BorrowedUsage;
use crate::placement::candidates::CandidateMachine;
use crate::placement::queue::{QueuedJob, Queues};
use crate::resources::ResourceVector;
use crate::shard::ShardState;
use pulleywood_protocol::job::Rank;
use pulleywood_protocol::record::Slots;
use pulleywood_protocol::{MachineId, MonotonicTime, TaskId};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum age of a plan. An unchanged shard needs a new plan too, because jobs become
/// starved and heartbeats become overdue as time passes.
const MAX_PLAN_AGE: Duration = Duration::from_millis(1000);

/// A running task to be stopped.
struct Preemption {
    machine: MachineId,
    /// Index of the task's slot in the machine's slot list.
    slot: usize,
    /// Seconds that the task has to save its state and exit.
    grace_s: f64,
}

/// The result of a scheduling cycle.
#[derive(Default)]
struct Plan {
    launches: BTreeMap<MachineId, Vec<TaskId>>,
    preemptions: Vec<Preemption>,
    /// Number of (job, machine) pairs examined, a measure of the cycle's cost.
    candidates_examined: u64,
    /// Number of waiting tasks for which a machine was looked for, likewise.
    tasks_considered: u64,
}

impl ShardState {
    /// Makes a new plan if the previous one has expired. `reporter` is the machine
    /// whose heartbeat is being answered.
    pub(crate) fn replan(&mut self, reporter: &MachineId, now: MonotonicTime, config: &Config) {
        if self
            .planned_at
            .is_some_and(|at| now.since(at) < MAX_PLAN_AGE)
        {
            return;
        }
        self.planned_at = Some(now);
        let plan = self.make_plan(reporter, now, config);
        self.planned_launches = plan.launches;
        self.candidates_examined += plan.candidates_examined;
        self.tasks_considered += plan.tasks_considered;
        for preemption in plan.preemptions {
            let machine = self.machines.get_mut(&preemption.machine);
            if let Some(slot) = machine.and_then(|m| m.slots.get_mut(preemption.slot)) {
                slot.stop_grace_s = Some(preemption.grace_s);
            }
        }
    }

    /// Runs one scheduling cycle.
    fn make_plan(&self, reporter: &MachineId, now: MonotonicTime, config: &Config) -> Plan {
        let mut queues = queue::collect(self, now, config);
        // Most heartbeats of an idle fleet arrive while no job is waiting.
        if queues.is_empty() {
            return Plan::default();
        }
        let mut cycle = SchedulingCycle::new(self, reporter, now, config, &queues);
        let unplaced_jobs = cycle.assign_all(&mut queues);
        for queued in unplaced_jobs {
            cycle.preempt(&queued);
        }
        cycle.finish()
    }
}

/// The state of one scheduling cycle. The cost of a cycle is bounded by the number of
/// machines with free resources per waiting job, not by the number of all machines per
/// waiting task.
struct SchedulingCycle<'a> {
    state: &'a ShardState,
    config: &'a Config,
    now: MonotonicTime,
    /// Machines that can accept tasks. Other fields refer to them by index.
    candidates: Vec<CandidateMachine<'a>>,
    /// Indices of candidates with enough free resources for `smallest_task`.
    open_candidates: Vec<usize>,
    /// Indices of candidates with tasks that are being stopped.
    releasing_candidates: BTreeSet<usize>,
    /// Smallest amount of each resource that any waiting task needs.
    smallest_task: ResourceVector,
    /// Usage by team in this shard, including planned tasks.
    usage: BTreeMap<String, Slots>,
    /// Total capacity of the shard's machines.
    capacity: ResourceVector,
    /// Lowest rank among the tasks running on the candidates; `None` if none run.
    lowest_rank: Option<Rank>,
    /// Teams that run tasks on the candidates.
    running_teams: Vec<&'a str>,
    /// How much of each team's usage above its guarantee may still be preempted.
    borrowed: BorrowedUsage<'a>,
    /// Number of tasks left waiting for a busy machine that has their image.
    tasks_awaiting_warm_machine: u32,
    /// Whether a machine was reserved for a starved job; at most one is reserved per
    /// cycle.
    starved_job_has_reservation: bool,
    /// Teams that were already considered for a fair-share reservation.
    teams_considered_for_reservation: Vec<&'a str>,
    /// Number of (job, candidate) pairs examined.
    candidates_examined: Cell<u64>,
    /// Number of waiting tasks for which a machine was looked for.
    tasks_considered: u64,
}

impl<'a> SchedulingCycle<'a> {
    fn new(
        state: &'a ShardState,
        reporter: &MachineId,
        now: MonotonicTime,
        config: &'a Config,
        queues: &Queues<'_>,
    ) -> Self {
        let candidates = candidates::collect(state, reporter, now, config);
        let smallest_task = smallest_task(queues);
        let (lowest_rank, running_teams) = lowest_rank_and_teams(&candidates);
        let indices = || 0..candidates.len();
        let has_room_for_smallest = |index: &usize| {
            let candidate = &candidates[*index];
            candidate.launches_left > 0 && candidate.free.fits(&smallest_task)
        };
        let is_releasing =
            |index: &usize| candidates[*index].releasing != ResourceVector::default();
        SchedulingCycle {
            state,
            config,
            now,
            capacity: total_capacity(state, config),
            open_candidates: indices().filter(has_room_for_smallest).collect(),
            releasing_candidates: indices().filter(is_releasing).collect(),
            candidates,
            smallest_task,
            usage: state.usage_by_team(config),
            lowest_rank,
            running_teams,
            borrowed: BorrowedUsage::of(state, config),
            tasks_awaiting_warm_machine: 0,
            starved_job_has_reservation: false,
            teams_considered_for_reservation: Vec::new(),
            candidates_examined: Cell::new(0),
            tasks_considered: 0,
        }
    }

    /// Assigns the tasks of all queues and reserves resources for jobs that could not
    /// be placed completely. Returns the jobs for which tasks may be preempted.
    fn assign_all(&mut self, queues: &mut Queues<'a>) -> Vec<QueuedJob<'a>> {
        let mut unplaced_jobs = Vec::new();
        while let Some(team) = self.next_team(queues) {
            let Some(queue) = queues.get_mut(team) else {
                break;
            };
            let Some(queued) = queue.pop() else {
                queues.remove(team);
                continue;
            };
            if self.assign(&queued) == AssignOutcome::Complete {
                continue;
            }
            self.reserve(&queued, queues);
            if !queued.follows_starved_entry && !queued.job.health.is_broken() {
                unplaced_jobs.push(queued);
            }
        }
        unplaced_jobs
    }

    fn count_examined(&self, count: u64) {
        self.candidates_examined
            .set(self.candidates_examined.get() + count);
    }

    fn finish(self) -> Plan {
        let mut plan = Plan {
            candidates_examined: self.candidates_examined.get(),
            tasks_considered: self.tasks_considered,
            ..Plan::default()
        };
        for candidate in self.candidates {
            for (slot, grace_s) in candidate.preemptions {
                plan.preemptions.push(Preemption {
                    machine: candidate.id.clone(),
                    slot,
                    grace_s,
                });
            }
            if !candidate.planned.is_empty() {
                plan.launches
                    .insert(candidate.id.clone(), candidate.planned);
            }
        }
        plan
    }
}

/// Returns the smallest amount of each resource that any waiting task needs.
fn smallest_task(queues: &Queues<'_>) -> ResourceVector {
    let unlimited = ResourceVector {
        cpus: f64::INFINITY,
        gpus: f64::INFINITY,
        memory_gb: f64::INFINITY,
    };
    let waiting = queues.values().flatten();
    waiting.fold(unlimited, |least, queued| {
        least.component_min(&ResourceVector::of_task(&queued.job.spec))
    })
}

/// Returns the lowest rank of the tasks running on the candidates, and their teams.
fn lowest_rank_and_teams<'a>(candidates: &[CandidateMachine<'a>]) -> (Option<Rank>, Vec<&'a str>) {
    let mut lowest_rank: Option<Rank> = None;
    let mut teams: Vec<&str> = Vec::new();
    for slot in candidates.iter().flat_map(|candidate| candidate.slots) {
        if let Some(spec) = slot.spec.as_ref().filter(|_| slot.holds_resources()) {
            lowest_rank = Some(lowest_rank.map_or(spec.rank, |lowest| lowest.min(spec.rank)));
            if !teams.contains(&spec.team.as_str()) {
                teams.push(&spec.team);
            }
        }
    }
    (lowest_rank, teams)
}

/// Total capacity of the shard's machines. Machines of an unknown type are not counted.
fn total_capacity(state: &ShardState, config: &Config) -> ResourceVector {
    let mut capacity = ResourceVector::default();
    for machine in state.machines.values() {
        if let Some(flavor) = config.flavors.get(&machine.record.flavor) {
            capacity += ResourceVector::of_flavor(flavor);
        }
    }
    capacity
}
