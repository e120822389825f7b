//! Placement: which waiting task goes to which machine, and which running task is
//! stopped for it.
//!
//! A scheduling cycle makes a plan for the whole shard. It runs when a heartbeat is
//! answered and something has changed, or the last plan is out of date. A machine is
//! told its part of the plan in the response to its next heartbeat. The stages:
//!
//! 1. `queue` orders the waiting jobs of each team.
//! 2. `candidates` collects the machines that may be given tasks, and their resources.
//! 3. `assign` gives the tasks of one job after the other, team by team, to the
//!    machines that `filter` allows and for which `score` is lowest.
//! 4. `reserve` withholds free resources from other jobs for one that fits nowhere.
//! 5. `preempt` stops running tasks for the jobs that are left. `claim` says which
//!    tasks may be stopped, `victims` which of them are the cheapest, and `borrowed`
//!    how much of a team's usage lies above its guarantee.

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

/// A plan is made anew after this long even if nothing changed: jobs become
/// starved, and heartbeats overdue, as time passes.
const PLAN_AGE: Duration = Duration::from_millis(1000);

/// A slot of a machine whose task is to be stopped.
struct Preemption {
    machine: MachineId,
    /// Position of the slot.
    slot: usize,
    /// Seconds that the task has to stop by itself.
    grace_s: f64,
}

/// The result of a scheduling cycle.
#[derive(Default)]
struct Plan {
    launches: BTreeMap<MachineId, Vec<TaskId>>,
    preemptions: Vec<Preemption>,
    /// How many times a machine was examined for a job: the cycle's cost.
    candidates_examined: u64,
}

impl ShardState {
    /// Makes a new plan if the last one is out of date.
    /// `reporter`: the machine whose heartbeat is being answered.
    pub(crate) fn replan(&mut self, reporter: &MachineId, now: MonotonicTime, config: &Config) {
        if self.planned_at.is_some_and(|at| now.since(at) < PLAN_AGE) {
            return;
        }
        self.planned_at = Some(now);
        let plan = self.make_plan(reporter, now, config);
        self.planned_launches = plan.launches;
        self.candidates_examined += plan.candidates_examined;
        for preemption in plan.preemptions {
            let machine = self.machines.get_mut(&preemption.machine);
            if let Some(slot) = machine.and_then(|m| m.slots.get_mut(preemption.slot)) {
                slot.stop_grace_s = Some(preemption.grace_s);
            }
        }
    }

    /// One scheduling cycle.
    fn make_plan(&self, reporter: &MachineId, now: MonotonicTime, config: &Config) -> Plan {
        let mut queues = queue::collect(self, now, config);
        // Most heartbeats of a quiet fleet find nothing that waits.
        if queues.is_empty() {
            return Plan::default();
        }
        let mut cycle = SchedulingCycle::new(self, reporter, now, config, &queues);
        let unplaced = cycle.assign_all(&mut queues);
        for queued in unplaced {
            cycle.preempt(&queued);
        }
        cycle.finish()
    }
}

/// One scheduling cycle. Its work is bounded by the machines with free resources
/// for each waiting job, not by all machines for each waiting task.
struct SchedulingCycle<'a> {
    state: &'a ShardState,
    config: &'a Config,
    now: MonotonicTime,
    /// Machines that may be given tasks; other fields refer to them by index.
    candidates: Vec<CandidateMachine<'a>>,
    /// Candidates with free resources for the smallest task that waits.
    open: Vec<usize>,
    /// Candidates on which tasks were told to stop.
    releasing: BTreeSet<usize>,
    /// The least of each resource that any waiting task needs.
    smallest_task: ResourceVector,
    /// Teams' usage in this shard, with what is planned.
    usage: BTreeMap<String, Slots>,
    /// All resources of the shard's machines.
    capacity: ResourceVector,
    /// The lowest rank among the tasks on the candidates.
    lowest_rank: Option<Rank>,
    /// Teams with tasks on the candidates.
    running_teams: Vec<&'a str>,
    /// What may still be preempted of teams' usage above their guarantees.
    borrowed: BorrowedUsage<'a>,
    /// Tasks that wait for a machine with their image to become free.
    awaiting_warm_machines: u32,
    /// A machine was reserved for a starved job; one a cycle is enough.
    starved_job_has_machine: bool,
    /// Teams for which resources were, or need not be, reserved.
    teams_with_reservation: Vec<&'a str>,
    /// How many times a candidate was examined for a job.
    candidates_examined: Cell<u64>,
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
        let (lowest_rank, running_teams) = running(&candidates);
        let indices = || 0..candidates.len();
        let is_open = |at: &usize| {
            let candidate = &candidates[*at];
            candidate.launches_left > 0 && candidate.free.fits(&smallest_task)
        };
        let is_releasing = |at: &usize| candidates[*at].releasing != ResourceVector::default();
        SchedulingCycle {
            state,
            config,
            now,
            capacity: capacity(state, config),
            open: indices().filter(is_open).collect(),
            releasing: indices().filter(is_releasing).collect(),
            candidates,
            smallest_task,
            usage: state.usage_by_team(config),
            lowest_rank,
            running_teams,
            borrowed: BorrowedUsage::of(state, config),
            awaiting_warm_machines: 0,
            starved_job_has_machine: false,
            teams_with_reservation: Vec::new(),
            candidates_examined: Cell::new(0),
        }
    }

    /// Assigns the tasks of all queues, and reserves resources for jobs that found
    /// too few. Returns the jobs for which tasks may be preempted.
    fn assign_all(&mut self, queues: &mut Queues<'a>) -> Vec<QueuedJob<'a>> {
        let mut unplaced = Vec::new();
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
                unplaced.push(queued);
            }
        }
        unplaced
    }

    fn count_examined(&self, count: u64) {
        self.candidates_examined
            .set(self.candidates_examined.get() + count);
    }

    fn finish(self) -> Plan {
        let mut plan = Plan {
            candidates_examined: self.candidates_examined.get(),
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

/// The least of each resource that any waiting task needs.
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

/// The lowest rank of the tasks on the candidates, and their teams.
fn running<'a>(candidates: &[CandidateMachine<'a>]) -> (Option<Rank>, Vec<&'a str>) {
    let mut lowest_rank: Option<Rank> = None;
    let mut teams: Vec<&str> = Vec::new();
    for slot in candidates.iter().flat_map(|c| c.slots) {
        if let Some(spec) = slot.spec.as_ref().filter(|_| slot.holds_resources()) {
            lowest_rank = Some(lowest_rank.map_or(spec.rank, |l| l.min(spec.rank)));
            if !teams.contains(&spec.team.as_str()) {
                teams.push(&spec.team);
            }
        }
    }
    (lowest_rank, teams)
}

/// All resources of a shard's machines.
fn capacity(state: &ShardState, config: &Config) -> ResourceVector {
    let mut capacity = ResourceVector::default();
    for machine in state.machines.values() {
        if let Some(flavor) = config.flavors.get(&machine.record.flavor) {
            capacity += ResourceVector::of_flavor(flavor);
        }
    }
    capacity
}
