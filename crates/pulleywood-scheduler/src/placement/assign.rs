//! Assignment: places the waiting tasks of one job on the machines with free resources
//! where they cost least.

use super::SchedulingCycle;
use super::filter::zone_allows;
use super::queue::{QueuedJob, add_usage};
use super::score::{ScoredCandidate, warm_completions_per_s};
use super::waiting_tasks::WaitingTasks;
use crate::machine_types::MachineTypes;
use crate::resources::ResourceVector;
use crate::shard::Job;
use pulleywood_protocol::job::Shape;
use pulleywood_protocol::{JobId, JobSpec};
use std::collections::{BTreeMap, BTreeSet};

/// Tasks do not wait for another machine to avoid an image fetch that is shorter than
/// this.
const MIN_FETCH_TO_AVOID_S: f64 = 1.0;
/// Typical time in which a preempted task releases its resources.
const PREEMPTION_DELAY_S: f64 = 6.0;
/// Maximum number of a job's tasks that one plan leaves to preemption. A job may have
/// very many tasks, and preemption examines each of them.
const MAX_TASKS_LEFT_TO_PREEMPTION: u32 = 64;

/// Result of assigning one queue entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AssignOutcome {
    /// More resources would not help: all tasks are planned or wait for a task that
    /// ends soon, or the quota is used up.
    Complete,
    /// Some tasks found no suitable machine.
    LacksCapacity,
}

/// Result of assigning one task.
enum TaskOutcome {
    Assigned,
    /// A machine that already has the image is expected to become free before another
    /// machine could fetch the image.
    WaitsForWarmMachine,
    /// Preemption can free a machine that already has the image before another machine
    /// could fetch the image.
    WaitsForPreemption,
    NoCandidate,
}

/// State of the assignment of one job's tasks.
struct Assignment<'a> {
    job: &'a Job,
    need: ResourceVector,
    /// Machine types that the job leaves to jobs that can use no others.
    avoided_types: MachineTypes,
    /// Number of the job's tasks by zone, including planned ones.
    tasks_by_zone: BTreeMap<String, u32>,
    scored_candidates: Vec<ScoredCandidate>,
    /// Tasks per second that end on machines with the image; computed on first use.
    warm_completions_per_s: Option<f64>,
    /// Zones where preemption would free a machine that has the image; computed on
    /// first use and again after each assignment.
    preemptable_zones: Option<BTreeSet<&'a str>>,
}

impl<'a> SchedulingCycle<'a> {
    /// Plans as many of a job's waiting tasks as fit.
    pub(super) fn assign(&mut self, queued: &QueuedJob<'a>) -> AssignOutcome {
        let job = queued.job;
        let spec: &'a JobSpec = &job.spec;
        if !self.quota_allows(spec, &self.usage) {
            return AssignOutcome::Complete;
        }
        let mut tasks_by_zone = self.state.task_counts_by_zone(job);
        let mut planned = BTreeSet::new();
        if queued.follows_starved_entry {
            planned = self.planned_tasks(queued.job_id, &mut tasks_by_zone);
        }
        let mut assignment = self.begin_assignment(job, tasks_by_zone);
        if spec.shape == Shape::Gang && !self.gang_fits(&assignment) {
            return AssignOutcome::LacksCapacity;
        }
        let mut outcome = AssignOutcome::Complete;
        let mut tasks_left_to_preemption = 0;
        let mut waiting = WaitingTasks::new(job, &planned);
        for _ in 0..queued.task_limit {
            let Some(task_index) = waiting.next() else {
                break;
            };
            if !self.quota_allows(spec, &self.usage) {
                return AssignOutcome::Complete;
            }
            self.tasks_considered += 1;
            match self.assign_task(queued.job_id, task_index, &mut assignment) {
                TaskOutcome::Assigned | TaskOutcome::WaitsForWarmMachine => {}
                TaskOutcome::WaitsForPreemption => {
                    outcome = AssignOutcome::LacksCapacity;
                    tasks_left_to_preemption += 1;
                    if tasks_left_to_preemption > MAX_TASKS_LEFT_TO_PREEMPTION {
                        return outcome;
                    }
                }
                // The job's other tasks may be bound to zones that have room.
                TaskOutcome::NoCandidate => {
                    outcome = AssignOutcome::LacksCapacity;
                    waiting.pass_over_bound_like(task_index);
                }
            }
        }
        outcome
    }

    /// Scores the candidates for a job. `tasks_by_zone` counts its tasks in each zone.
    fn begin_assignment(
        &self,
        job: &'a Job,
        tasks_by_zone: BTreeMap<String, u32>,
    ) -> Assignment<'a> {
        let need = ResourceVector::of_task(&job.spec);
        let avoided_types = self
            .state
            .machine_type_demand
            .types_to_avoid_for_job(self.config, &job.spec);
        let scored_candidates = self.score_candidates(job, &need, &avoided_types);
        Assignment {
            job,
            need,
            avoided_types,
            tasks_by_zone,
            scored_candidates,
            warm_completions_per_s: None,
            preemptable_zones: None,
        }
    }

    /// Returns the tasks of a job that this cycle has already planned, and adds them to
    /// `tasks_by_zone`.
    pub(super) fn planned_tasks(
        &self,
        job_id: &JobId,
        tasks_by_zone: &mut BTreeMap<String, u32>,
    ) -> BTreeSet<u32> {
        let mut planned = BTreeSet::new();
        for candidate in &self.candidates {
            for task in candidate.planned.iter().filter(|task| &task.job == job_id) {
                planned.insert(task.index);
                *tasks_by_zone.entry(candidate.zone.to_owned()).or_insert(0) += 1;
            }
        }
        planned
    }

    /// Returns whether all tasks of a gang can start now. A gang is launched completely
    /// or not at all. Its tasks share an attempt number, so none is restarted before
    /// all have ended.
    fn gang_fits(&self, assignment: &Assignment<'_>) -> bool {
        let fitting_tasks: u32 = assignment
            .scored_candidates
            .iter()
            .map(|scored| {
                self.candidates[scored.candidate_index]
                    .free
                    .max_copies(&assignment.need)
            })
            .sum();
        fitting_tasks >= assignment.job.waiting.len() && !assignment.job.gang_interrupted
    }

    /// Plans one task, unless it would start earlier by waiting.
    fn assign_task(
        &mut self,
        job_id: &JobId,
        task_index: u32,
        assignment: &mut Assignment<'a>,
    ) -> TaskOutcome {
        let Some(scored_index) = self.cheapest_allowed_candidate(task_index, assignment) else {
            return TaskOutcome::NoCandidate;
        };
        let candidate_index = assignment.scored_candidates[scored_index].candidate_index;
        let delay_s = self.candidates[candidate_index].fetch_delay_s(&assignment.job.spec);
        if self.warm_machine_expected_within(delay_s, assignment) {
            self.tasks_awaiting_warm_machine += 1;
            return TaskOutcome::WaitsForWarmMachine;
        }
        if delay_s > PREEMPTION_DELAY_S
            && self.preemption_would_free_warm_machine(task_index, assignment)
        {
            return TaskOutcome::WaitsForPreemption;
        }
        self.plan_task(job_id, task_index, scored_index, assignment);
        TaskOutcome::Assigned
    }

    /// Returns the cheapest candidate in a zone where the task may run, as an index
    /// into the scored candidates.
    fn cheapest_allowed_candidate(
        &self,
        task_index: u32,
        assignment: &Assignment<'_>,
    ) -> Option<usize> {
        let (job, tasks_by_zone) = (assignment.job, &assignment.tasks_by_zone);
        assignment
            .scored_candidates
            .iter()
            .enumerate()
            .filter(|(_, scored)| {
                zone_allows(
                    job,
                    tasks_by_zone,
                    task_index,
                    self.candidates[scored.candidate_index].zone,
                )
            })
            .min_by(|(_, a), (_, b)| a.cost_s.total_cmp(&b.cost_s))
            .map(|(scored_index, _)| scored_index)
    }

    /// Returns whether a machine that has the image is expected to have room for one
    /// more task of an array before an image fetch of `delay_s` seconds would end.
    fn warm_machine_expected_within(&self, delay_s: f64, assignment: &mut Assignment<'_>) -> bool {
        let spec = &assignment.job.spec;
        if delay_s <= MIN_FETCH_TO_AVOID_S || spec.shape != Shape::Array {
            return false;
        }
        let completions_per_s = *assignment
            .warm_completions_per_s
            .get_or_insert_with(|| warm_completions_per_s(&self.candidates, spec));
        completions_per_s > 0.0
            && f64::from(self.tasks_awaiting_warm_machine + 1) / completions_per_s < delay_s
    }

    /// Returns whether preempting lower ranks would free a machine that has the image
    /// in a zone where the task may run.
    fn preemption_would_free_warm_machine(
        &self,
        task_index: u32,
        assignment: &mut Assignment<'a>,
    ) -> bool {
        let job = assignment.job;
        let preemptable_zones = assignment
            .preemptable_zones
            .get_or_insert_with(|| self.preemptable_warm_zones(job));
        preemptable_zones
            .iter()
            .any(|zone| zone_allows(job, &assignment.tasks_by_zone, task_index, zone))
    }

    /// Plans a task on the scored candidate at `scored_index`.
    fn plan_task(
        &mut self,
        job_id: &JobId,
        task_index: u32,
        scored_index: usize,
        assignment: &mut Assignment<'a>,
    ) {
        let spec: &'a JobSpec = &assignment.job.spec;
        let candidate_index = assignment.scored_candidates[scored_index].candidate_index;
        let candidate = &mut self.candidates[candidate_index];
        candidate.add_task(job_id, task_index, spec);
        assignment.preemptable_zones = None;
        *assignment
            .tasks_by_zone
            .entry(candidate.zone.to_owned())
            .or_insert(0) += 1;
        add_usage(&mut self.usage, &spec.team, assignment.need.slots());
        if candidate.launches_left > 0 && candidate.free.fits(&assignment.need) {
            assignment.scored_candidates[scored_index].cost_s =
                candidate.cost_s(spec, &assignment.avoided_types, self.config);
        } else {
            assignment.scored_candidates.swap_remove(scored_index);
        }
        if candidate.launches_left == 0 || !candidate.free.fits(&self.smallest_task) {
            self.open_candidates
                .retain(|&index| index != candidate_index);
        }
    }
}
