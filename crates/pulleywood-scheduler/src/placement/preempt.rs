//! Preemption: running tasks are stopped for a job that found no free resources.

use super::SchedulingCycle;
use super::claim::{Claim, Preemptable};
use super::filter::zone_allows;
use super::queue::{QueuedJob, add_usage};
use crate::machine_types::MachineTypes;
use crate::resources::ResourceVector;
use crate::shard::Job;
use pulleywood_protocol::JobSpec;
use pulleywood_protocol::job::Shape;
use std::collections::{BTreeMap, BTreeSet};

/// Heartbeat intervals within which tasks are transferred to free resources in
/// other shards. For so long, nothing is stopped on types that other work needs.
const TRANSFER_HEARTBEATS: f64 = 2.5;
/// Seconds that a stopped task has besides the time it needs for its checkpoint.
const STOP_MARGIN_S: f64 = 1.0;

/// A machine on which a task would fit, and the slots to stop there for it.
struct Offer {
    /// Seconds of delay and of lost work.
    cost: f64,
    /// Index of the candidate.
    at: usize,
    victims: Vec<usize>,
}

/// What one job may preempt, apart from its claim, which changes with each task.
struct PreemptionRequest<'a> {
    job: &'a Job,
    need: ResourceVector,
    /// Machine types that the job leaves to others.
    avoid: MachineTypes,
    /// Whether anything may be stopped.
    preempts: bool,
    /// Nothing is stopped on the types to avoid.
    spares_avoided: bool,
}

impl<'a> SchedulingCycle<'a> {
    /// Plans the tasks of a job that found no free resources where the least is lost
    /// by stopping tasks for them. What is being released already is used before more
    /// is stopped.
    pub(super) fn preempt(&mut self, queued: &QueuedJob<'a>) {
        let job = queued.job;
        let spec: &'a JobSpec = &job.spec;
        let mut zones = self.state.task_counts_by_zone(job);
        let planned = self.planned_tasks(queued.id, &mut zones);
        let mut usage = self.usage.clone();
        let mut claim = self.claim(spec, &usage);
        let request = self.preemption_request(job, &claim);
        let mut offers = self.offers(&request, &claim);
        for index in job.waiting.iter().filter(|i| !planned.contains(i)) {
            if offers.is_empty() || !self.quota_allows(spec, &usage) {
                return;
            }
            let chosen = self.choose_offer(&request, &claim, index, &zones, &mut offers);
            let Some(Offer { at, victims, .. }) = chosen else {
                if job.zone_bindings.is_empty() {
                    return;
                }
                // Other tasks of the job may be bound to other zones.
                continue;
            };
            self.accept_offer(queued, &request.need, index, at, victims);
            *zones
                .entry(self.candidates[at].zone.to_owned())
                .or_insert(0) += 1;
            add_usage(&mut usage, &spec.team, request.need.slots());
            let next_claim = self.claim(spec, &usage);
            if next_claim != claim {
                claim = next_claim;
                offers = self.offers(&request, &claim);
            } else {
                offers.extend(self.offer(&request, &claim, at));
            }
        }
    }

    fn preemption_request(&self, job: &'a Job, claim: &Claim<'_>) -> PreemptionRequest<'a> {
        let spec = &job.spec;
        let age = self.now.since(self.state.submitted_at(job));
        let transfer_time = self.config.heartbeat_interval.mul_f64(TRANSFER_HEARTBEATS);
        PreemptionRequest {
            job,
            need: ResourceVector::of_task(spec),
            avoid: self
                .state
                .machine_type_demand
                .types_to_avoid_for_job(self.config, spec),
            preempts: self.may_preempt(spec, claim) && !self.capacity_may_return(spec),
            spares_avoided: age < transfer_time,
        }
    }

    /// Offers of all machines on which a task of the job would fit.
    fn offers(&self, request: &PreemptionRequest<'_>, claim: &Claim<'_>) -> Vec<Offer> {
        let offer = |at| self.offer(request, claim, at);
        if request.preempts {
            return (0..self.candidates.len()).filter_map(offer).collect();
        }
        // Only what is free or is being released anyway.
        let mut usable = self.releasing.clone();
        usable.extend(&self.open);
        usable.into_iter().filter_map(offer).collect()
    }

    /// The offer of one machine, if a task of the job would fit there.
    fn offer(
        &self,
        request: &PreemptionRequest<'_>,
        claim: &Claim<'_>,
        at: usize,
    ) -> Option<Offer> {
        let spec = &request.job.spec;
        let candidate = &self.candidates[at];
        self.count_examined(1);
        if !self.is_eligible(candidate, request.job) || !candidate.capacity.fits(&request.need) {
            return None;
        }
        let spared = request.spares_avoided && request.avoid.contains(candidate.flavor);
        let preempts = request.preempts && !spared;
        let victims = self.victims(candidate, spec, &request.need, claim, preempts)?;
        let scarce = candidate.scarcity_cost(&request.avoid);
        Some(Offer {
            cost: victims.loss + scarce + candidate.fetch_delay_s(spec),
            at,
            victims: victims.slots,
        })
    }

    /// Takes the cheapest offer for a task out of `offers`, and what it stops out of
    /// the borrowed usage.
    fn choose_offer(
        &mut self,
        request: &PreemptionRequest<'_>,
        claim: &Claim<'_>,
        index: u32,
        zones: &BTreeMap<String, u32>,
        offers: &mut Vec<Offer>,
    ) -> Option<Offer> {
        loop {
            let (nth, _) = offers
                .iter()
                .enumerate()
                .filter(|(_, offer)| {
                    zone_allows(request.job, zones, index, self.candidates[offer.at].zone)
                })
                .min_by(|(_, a), (_, b)| a.cost.total_cmp(&b.cost))?;
            let offer = offers.swap_remove(nth);
            if self.take_borrowed(&offer, &request.job.spec, claim) {
                return Some(offer);
            }
            // Less of the borrowed usage is left than when the offer was made.
            let renewed = self.offer(request, claim, offer.at);
            offers.extend(renewed.filter(|renewed| renewed.victims != offer.victims));
        }
    }

    /// Takes what an offer stops out of its teams' borrowed usage. Returns false, and
    /// takes nothing, if not as much of it is left.
    fn take_borrowed(&mut self, offer: &Offer, spec: &JobSpec, claim: &Claim<'_>) -> bool {
        let slots = self.candidates[offer.at].slots;
        let stopped = offer.victims.iter().filter_map(|v| slots[*v].spec.as_ref());
        let mut borrowed = self.borrowed.clone();
        let mut counted =
            stopped.filter(|victim| claim.preemptable(spec, victim) == Preemptable::IfBorrowed);
        let enough = counted.all(|victim| borrowed.take(victim));
        if enough {
            self.borrowed = borrowed;
        }
        enough
    }

    /// Plans a task on a machine, or stops the victims there and withholds the
    /// machine's free resources for the job. Tasks of a gang are only planned
    /// together, by `assign`.
    fn accept_offer(
        &mut self,
        queued: &QueuedJob<'a>,
        need: &ResourceVector,
        index: u32,
        at: usize,
        victims: Vec<usize>,
    ) {
        let spec: &'a JobSpec = &queued.job.spec;
        let candidate = &mut self.candidates[at];
        let alone = spec.shape != Shape::Gang;
        if victims.is_empty() && alone && candidate.free.fits(need) {
            candidate.add_task(queued.id, index, spec);
            add_usage(&mut self.usage, &spec.team, need.slots());
            return;
        }
        for victim in victims {
            if let Some(stopped) = &candidate.slots[victim].spec {
                let grace_s = stopped.save_s.0 + STOP_MARGIN_S;
                candidate.preemptions.push((victim, grace_s));
                candidate.releasing += ResourceVector::of_task(stopped);
            }
        }
        let mut rest = candidate.free_for(spec);
        rest += candidate.releasing;
        rest -= *need;
        candidate.reserved = None;
        candidate.releasing = rest;
        candidate.free = ResourceVector::default();
        self.releasing.insert(at);
    }

    /// Zones in which preempting lower ranks on a machine that has the image would
    /// make one more task fit.
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
