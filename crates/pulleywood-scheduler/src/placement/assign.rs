//! Assignment: the waiting tasks of one job go to the cheapest machines with free
//! resources.

use super::SchedulingCycle;
use super::filter::zone_allows;
use super::queue::{QueuedJob, add_usage};
use super::score::{ScoredCandidate, warm_ends_per_s};
use crate::machine_types::MachineTypes;
use crate::resources::ResourceVector;
use crate::shard::Job;
use pulleywood_protocol::job::Shape;
use pulleywood_protocol::{JobId, JobSpec};
use std::collections::{BTreeMap, BTreeSet};

/// For a fetch shorter than this, in seconds, a task does not wait for another machine.
const MIN_AVOIDED_FETCH_S: f64 = 1.0;
/// A preempted task releases its resources in about this many seconds.
const PREEMPTION_S: f64 = 6.0;
/// Most tasks of a job that one plan leaves to preemption: a job may have very
/// many, and each of them is looked at.
const MAX_LEFT_TO_PREEMPTION: u32 = 64;

/// What became of a queue entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AssignOutcome {
    /// Nothing is left that other resources could help: all tasks are planned or
    /// wait for a task to end soon, or the quota is used up.
    Complete,
    /// Some tasks found no machine.
    LacksCapacity,
}

/// What became of one task.
enum TaskOutcome {
    Assigned,
    /// A machine that has the image will be free before another has fetched it.
    AwaitsWarmMachine,
    /// A machine that has the image can be freed by preemption before another has
    /// fetched it.
    AwaitsPreemption,
    NoCandidate,
}

/// State of the assignment of one job's tasks.
struct Assignment<'a> {
    job: &'a Job,
    need: ResourceVector,
    /// Machine types that the job leaves to others.
    avoid: MachineTypes,
    /// Tasks by zone, with what is planned.
    zones: BTreeMap<String, u32>,
    candidates: Vec<ScoredCandidate>,
    /// Tasks a second that end on machines with the image; found when first needed.
    warm_ends_per_s: Option<f64>,
    /// Zones where preemption would free a machine with the image; found when
    /// needed, and again after each assignment.
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
        let mut zones = self.state.task_counts_by_zone(job);
        let mut planned = BTreeSet::new();
        if queued.follows_starved_entry {
            planned = self.planned_tasks(queued.id, &mut zones);
        }
        let mut assignment = self.begin_assignment(job, zones);
        if spec.shape == Shape::Gang && !self.gang_fits(&assignment) {
            return AssignOutcome::LacksCapacity;
        }
        let mut outcome = AssignOutcome::Complete;
        let mut left_to_preemption = 0;
        let waiting = job.waiting.iter().filter(|i| !planned.contains(i));
        for index in waiting.take(queued.task_limit as usize) {
            if !self.quota_allows(spec, &self.usage) {
                return AssignOutcome::Complete;
            }
            match self.assign_task(queued.id, index, &mut assignment) {
                TaskOutcome::Assigned | TaskOutcome::AwaitsWarmMachine => {}
                TaskOutcome::AwaitsPreemption => {
                    outcome = AssignOutcome::LacksCapacity;
                    left_to_preemption += 1;
                    if left_to_preemption > MAX_LEFT_TO_PREEMPTION {
                        return outcome;
                    }
                }
                // Other tasks of the job may be bound to other zones.
                TaskOutcome::NoCandidate if !job.zone_bindings.is_empty() => {
                    outcome = AssignOutcome::LacksCapacity;
                }
                TaskOutcome::NoCandidate => return AssignOutcome::LacksCapacity,
            }
        }
        outcome
    }

    /// Scores the candidates for a job. `zones`: its tasks by zone.
    fn begin_assignment(&self, job: &'a Job, zones: BTreeMap<String, u32>) -> Assignment<'a> {
        let need = ResourceVector::of_task(&job.spec);
        let avoid = self
            .state
            .machine_type_demand
            .types_to_avoid_for_job(self.config, &job.spec);
        let candidates = self.score_candidates(job, &need, &avoid);
        Assignment {
            job,
            need,
            avoid,
            zones,
            candidates,
            warm_ends_per_s: None,
            preemptable_zones: None,
        }
    }

    /// Tasks of a job that this cycle has planned; adds them to its tasks by zone.
    pub(super) fn planned_tasks(
        &self,
        id: &JobId,
        zones: &mut BTreeMap<String, u32>,
    ) -> BTreeSet<u32> {
        let mut planned = BTreeSet::new();
        for candidate in &self.candidates {
            for task in candidate.planned.iter().filter(|t| &t.job == id) {
                planned.insert(task.index);
                *zones.entry(candidate.zone.to_owned()).or_insert(0) += 1;
            }
        }
        planned
    }

    /// Whether all tasks of a gang can start: it is launched whole or not at all.
    /// Its tasks share an attempt, so none is restarted before all have ended.
    fn gang_fits(&self, assignment: &Assignment<'_>) -> bool {
        let fitting: u32 = assignment
            .candidates
            .iter()
            .map(|c| self.candidates[c.at].free.max_copies(&assignment.need))
            .sum();
        fitting >= assignment.job.waiting.len() && !assignment.job.gang_interrupted
    }

    /// Plans one task, unless it is better off waiting.
    fn assign_task(
        &mut self,
        id: &JobId,
        index: u32,
        assignment: &mut Assignment<'a>,
    ) -> TaskOutcome {
        let Some(nth) = self.cheapest_allowed(index, assignment) else {
            return TaskOutcome::NoCandidate;
        };
        let at = assignment.candidates[nth].at;
        let delay_s = self.candidates[at].fetch_delay_s(&assignment.job.spec);
        if self.warm_machine_is_free_within(delay_s, assignment) {
            self.awaiting_warm_machines += 1;
            return TaskOutcome::AwaitsWarmMachine;
        }
        if delay_s > PREEMPTION_S && self.preemption_frees_warm_machine(index, assignment) {
            return TaskOutcome::AwaitsPreemption;
        }
        self.commit_task(id, index, nth, assignment);
        TaskOutcome::Assigned
    }

    /// The cheapest candidate in a zone that a task may go to, by its position
    /// among the scored ones.
    fn cheapest_allowed(&self, index: u32, assignment: &Assignment<'_>) -> Option<usize> {
        let (job, zones) = (assignment.job, &assignment.zones);
        assignment
            .candidates
            .iter()
            .enumerate()
            .filter(|(_, c)| zone_allows(job, zones, index, self.candidates[c.at].zone))
            .min_by(|(_, a), (_, b)| a.cost.total_cmp(&b.cost))
            .map(|(nth, _)| nth)
    }

    /// Whether a machine with the image is expected to have free resources for one
    /// more task of an array before a fetch of `delay_s` ends.
    fn warm_machine_is_free_within(&self, delay_s: f64, assignment: &mut Assignment<'_>) -> bool {
        let spec = &assignment.job.spec;
        if delay_s <= MIN_AVOIDED_FETCH_S || spec.shape != Shape::Array {
            return false;
        }
        let rate = *assignment
            .warm_ends_per_s
            .get_or_insert_with(|| warm_ends_per_s(&self.candidates, spec));
        rate > 0.0 && f64::from(self.awaiting_warm_machines + 1) / rate < delay_s
    }

    /// Whether preempting lower ranks would free a machine with the image in a zone
    /// that the task may go to.
    fn preemption_frees_warm_machine(&self, index: u32, assignment: &mut Assignment<'a>) -> bool {
        let job = assignment.job;
        let preemptable_zones = assignment
            .preemptable_zones
            .get_or_insert_with(|| self.preemptable_warm_zones(job));
        preemptable_zones
            .iter()
            .any(|zone| zone_allows(job, &assignment.zones, index, zone))
    }

    /// Plans a task on the `nth` scored candidate.
    fn commit_task(&mut self, id: &JobId, index: u32, nth: usize, assignment: &mut Assignment<'a>) {
        let spec: &'a JobSpec = &assignment.job.spec;
        let at = assignment.candidates[nth].at;
        let candidate = &mut self.candidates[at];
        candidate.add_task(id, index, spec);
        assignment.preemptable_zones = None;
        *assignment
            .zones
            .entry(candidate.zone.to_owned())
            .or_insert(0) += 1;
        add_usage(&mut self.usage, &spec.team, assignment.need.slots());
        if candidate.launches_left > 0 && candidate.free.fits(&assignment.need) {
            assignment.candidates[nth].cost = candidate.cost(spec, &assignment.avoid, self.config);
        } else {
            assignment.candidates.swap_remove(nth);
        }
        if candidate.launches_left == 0 || !candidate.free.fits(&self.smallest_task) {
            self.open.retain(|&open| open != at);
        }
    }
}
