//! Preemption: stops running tasks for a job that found no free resources.

use super::SchedulingCycle;
use super::claim::{Claim, Preemptable};
use super::filter::zone_allows;
use super::queue::{QueuedJob, add_usage};
use super::waiting_tasks::WaitingTasks;
use crate::machine_types::MachineTypes;
use crate::resources::ResourceVector;
use crate::shard::Job;
use pulleywood_protocol::JobSpec;
use pulleywood_protocol::job::Shape;
use std::collections::{BTreeMap, BTreeSet};

/// Heartbeat intervals that the coordinator may need to transfer tasks to free
/// resources in other shards. Until then, nothing is stopped on machine types that
/// other jobs depend on.
const TRANSFER_HEARTBEAT_INTERVALS: f64 = 2.5;
/// Time that a stopped task has to exit, in addition to the time for its checkpoint.
const STOP_GRACE_MARGIN_S: f64 = 1.0;

/// A machine on which a task would fit, and the slots to stop there for it.
struct PlacementOption {
    /// Delay and lost work, in seconds.
    cost_s: f64,
    /// Index of the candidate.
    candidate_index: usize,
    victims: Vec<usize>,
}

/// The properties of a job that is placed by preemption. Its claim is kept separately,
/// because it changes with each task.
struct PreemptionRequest<'a> {
    job: &'a Job,
    need: ResourceVector,
    /// Machine types that the job leaves to jobs that can use no others.
    avoided_types: MachineTypes,
    /// Whether running tasks may be stopped for the job.
    may_preempt: bool,
    /// Whether tasks on machines of the avoided types are not stopped.
    protects_avoided_types: bool,
}

impl<'a> SchedulingCycle<'a> {
    /// Places the tasks of a job that found no free resources on the machines where
    /// stopping other tasks costs least. Resources that are already being released are
    /// used before more tasks are stopped.
    pub(super) fn preempt(&mut self, queued: &QueuedJob<'a>) {
        let job = queued.job;
        let spec: &'a JobSpec = &job.spec;
        let mut tasks_by_zone = self.state.task_counts_by_zone(job);
        let planned = self.planned_tasks(queued.job_id, &mut tasks_by_zone);
        let mut usage = self.usage.clone();
        let mut claim = self.claim(spec, &usage);
        let request = self.preemption_request(job, &claim);
        let mut options = self.placement_options(&request, &claim);
        let mut waiting = WaitingTasks::new(job, &planned);
        while let Some(task_index) = waiting.next() {
            if options.is_empty() || !self.quota_allows(spec, &usage) {
                return;
            }
            self.tasks_considered += 1;
            let cheapest = self.take_cheapest_option(
                &request,
                &claim,
                task_index,
                &tasks_by_zone,
                &mut options,
            );
            let Some(PlacementOption {
                candidate_index,
                victims,
                ..
            }) = cheapest
            else {
                // The job's other tasks may be bound to zones that have room.
                waiting.pass_over_bound_like(task_index);
                continue;
            };
            self.apply_option(queued, &request.need, task_index, candidate_index, victims);
            *tasks_by_zone
                .entry(self.candidates[candidate_index].zone.to_owned())
                .or_insert(0) += 1;
            add_usage(&mut usage, &spec.team, request.need.slots());
            let next_claim = self.claim(spec, &usage);
            waiting.reconsider();
            if next_claim != claim {
                claim = next_claim;
                options = self.placement_options(&request, &claim);
            } else {
                options.extend(self.placement_option(&request, &claim, candidate_index));
            }
        }
    }

    fn preemption_request(&self, job: &'a Job, claim: &Claim<'_>) -> PreemptionRequest<'a> {
        let spec = &job.spec;
        let job_age = self.now.since(self.state.submitted_at(job));
        let transfer_time = self
            .config
            .heartbeat_interval
            .mul_f64(TRANSFER_HEARTBEAT_INTERVALS);
        PreemptionRequest {
            job,
            need: ResourceVector::of_task(spec),
            avoided_types: self
                .state
                .machine_type_demand
                .types_to_avoid_for_job(self.config, spec),
            may_preempt: self.may_preempt_any(spec, claim) && !self.capacity_may_return(spec),
            protects_avoided_types: job_age < transfer_time,
        }
    }

    /// Returns all machines on which a task of the job would fit.
    fn placement_options(
        &self,
        request: &PreemptionRequest<'_>,
        claim: &Claim<'_>,
    ) -> Vec<PlacementOption> {
        let option = |candidate_index| self.placement_option(request, claim, candidate_index);
        if request.may_preempt {
            return (0..self.candidates.len()).filter_map(option).collect();
        }
        // Use only resources that are free or already being released.
        let mut usable = self.releasing_candidates.clone();
        usable.extend(&self.open_candidates);
        usable.into_iter().filter_map(option).collect()
    }

    /// Returns the placement on one machine, if a task of the job would fit there.
    fn placement_option(
        &self,
        request: &PreemptionRequest<'_>,
        claim: &Claim<'_>,
        candidate_index: usize,
    ) -> Option<PlacementOption> {
        let spec = &request.job.spec;
        let candidate = &self.candidates[candidate_index];
        self.count_examined(1);
        if !self.is_eligible(candidate, request.job) || !candidate.capacity.fits(&request.need) {
            return None;
        }
        let is_protected =
            request.protects_avoided_types && request.avoided_types.contains(candidate.flavor);
        let may_preempt = request.may_preempt && !is_protected;
        let victims = self.victims(candidate, spec, &request.need, claim, may_preempt)?;
        let scarcity_cost_s = candidate.scarcity_cost_s(&request.avoided_types);
        Some(PlacementOption {
            cost_s: victims.cost_s + scarcity_cost_s + candidate.fetch_delay_s(spec),
            candidate_index,
            victims: victims.slots,
        })
    }

    /// Removes and returns the cheapest option for a task, and subtracts its victims
    /// from the borrowed usage.
    fn take_cheapest_option(
        &mut self,
        request: &PreemptionRequest<'_>,
        claim: &Claim<'_>,
        task_index: u32,
        tasks_by_zone: &BTreeMap<String, u32>,
        options: &mut Vec<PlacementOption>,
    ) -> Option<PlacementOption> {
        loop {
            let (option_index, _) = options
                .iter()
                .enumerate()
                .filter(|(_, option)| {
                    zone_allows(
                        request.job,
                        tasks_by_zone,
                        task_index,
                        self.candidates[option.candidate_index].zone,
                    )
                })
                .min_by(|(_, a), (_, b)| a.cost_s.total_cmp(&b.cost_s))?;
            let option = options.swap_remove(option_index);
            if self.take_borrowed(&option, &request.job.spec, claim) {
                return Some(option);
            }
            // Less borrowed usage is left than when the option was computed.
            let updated = self.placement_option(request, claim, option.candidate_index);
            options.extend(updated.filter(|updated| updated.victims != option.victims));
        }
    }

    /// Subtracts an option's victims from their teams' borrowed usage. Returns false,
    /// and subtracts nothing, if too little borrowed usage is left.
    fn take_borrowed(
        &mut self,
        option: &PlacementOption,
        spec: &JobSpec,
        claim: &Claim<'_>,
    ) -> bool {
        let slots = self.candidates[option.candidate_index].slots;
        let stopped = option
            .victims
            .iter()
            .filter_map(|slot| slots[*slot].spec.as_ref());
        let mut borrowed = self.borrowed.clone();
        let mut borrowing_victims =
            stopped.filter(|victim| claim.preemptable(spec, victim) == Preemptable::IfBorrowed);
        let is_available = borrowing_victims.all(|victim| borrowed.try_take(victim));
        if is_available {
            self.borrowed = borrowed;
        }
        is_available
    }

    /// Plans a task on a machine, or stops the victims there and withholds the
    /// machine's free resources for the job. Tasks of a gang are never planned here,
    /// because `assign` plans them all together.
    fn apply_option(
        &mut self,
        queued: &QueuedJob<'a>,
        need: &ResourceVector,
        task_index: u32,
        candidate_index: usize,
        victims: Vec<usize>,
    ) {
        let spec: &'a JobSpec = &queued.job.spec;
        let candidate = &mut self.candidates[candidate_index];
        let starts_independently = spec.shape != Shape::Gang;
        if victims.is_empty() && starts_independently && candidate.free.fits(need) {
            candidate.add_task(queued.job_id, task_index, spec);
            add_usage(&mut self.usage, &spec.team, need.slots());
            return;
        }
        for victim in victims {
            if let Some(stopped) = &candidate.slots[victim].spec {
                let grace_s = stopped.save_s.0 + STOP_GRACE_MARGIN_S;
                candidate.preemptions.push((victim, grace_s));
                candidate.releasing += ResourceVector::of_task(stopped);
            }
        }
        let mut remaining = candidate.free_for(spec);
        remaining += candidate.releasing;
        remaining -= *need;
        candidate.reserved = None;
        candidate.releasing = remaining;
        candidate.free = ResourceVector::default();
        self.releasing_candidates.insert(candidate_index);
    }

    /// Returns the zones where one more task would fit on a machine that already has
    /// the image, if tasks of lower rank were preempted there.
    pub(super) fn preemptable_warm_zones(&self, job: &Job) -> BTreeSet<&'a str> {
        let spec = &job.spec;
        let need = ResourceVector::of_task(spec);
        let mut zones = BTreeSet::new();
        if self.capacity_may_return(spec) {
            return zones;
        }
        for candidate in &self.candidates {
            if zones.contains(candidate.zone)
                || candidate.fetch_delay_s(spec) > 0.0
                || !self.is_eligible(candidate, job)
            {
                continue;
            }
            let mut free = candidate.free;
            free += candidate.releasing;
            for slot in candidate.slots {
                if let Some(victim) = &slot.spec
                    && slot.stop_grace_s.is_none()
                    && slot.holds_resources()
                    && victim.rank < spec.rank
                {
                    free += ResourceVector::of_task(victim);
                }
            }
            if free.fits(&need) {
                zones.insert(candidate.zone);
            }
        }
        zones
    }
}
