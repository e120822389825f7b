//! Reservations: free resources withheld from other jobs until a large task fits.
//!
//! As tasks end on such a machine, the reserved resources grow. Without them,
//! smaller tasks would take each piece as it comes free.

use super::SchedulingCycle;
use super::candidates::CandidateMachine;
use super::filter::zone_allows;
use super::queue::{QueuedJob, Queues, usage_in_all_shards};
use crate::resources::ResourceVector;
use pulleywood_protocol::job::Shape;
use pulleywood_protocol::{JobSpec, MachineId};

impl<'a> SchedulingCycle<'a> {
    /// Reserves resources for a job that found no candidate.
    pub(super) fn reserve(&mut self, queued: &QueuedJob<'a>, queues: &Queues<'a>) {
        if queued.is_starved() && !self.starved_job_has_machine {
            self.starved_job_has_machine = self.reserve_machines(queued, 1) > 0;
        }
        let queue = queues.get(queued.job.spec.team.as_str());
        let same_rank = queue
            .into_iter()
            .flatten()
            .filter(|q| q.rank == queued.rank);
        let waiting = same_rank.map(|q| q.job.waiting.len()).sum::<u32>();
        self.reserve_fair_share(queued, waiting + queued.job.waiting.len());
    }

    /// Reserves machines for a team beside another one whose smaller tasks hold
    /// more: half of the difference. Once a cycle for each team, and only if
    /// nothing may be stopped for the job; otherwise preemption makes the space.
    /// `waiting`: tasks of the team that wait, an upper limit.
    fn reserve_fair_share(&mut self, queued: &QueuedJob<'a>, waiting: u32) {
        let spec: &'a JobSpec = &queued.job.spec;
        let alone = self.running_teams.iter().all(|team| *team == spec.team);
        let reserved = self.teams_with_reservation.contains(&spec.team.as_str());
        if alone || queued.job.health.is_broken() || reserved {
            return;
        }
        self.teams_with_reservation.push(&spec.team);
        let claim = self.claim(spec, &self.usage);
        if self.may_preempt(spec, &claim) {
            return;
        }
        let load = |team: &str| {
            let usage = usage_in_all_shards(self.state, team, &self.usage);
            self.load(team, usage)
        };
        let own = load(&spec.team);
        let loads = self.running_teams.iter().map(|team| load(team));
        let lead = loads.fold(0.0, f64::max) - own;
        let task = self.load(&spec.team, ResourceVector::of_task(spec).slots());
        if lead > 0.0 && task > 0.0 {
            // Each task that one team gains the other loses.
            let due = (lead / task / 2.0).floor() as usize;
            self.reserve_machines(queued, due.min(waiting as usize));
        }
    }

    /// Reserves what is free on the fullest machines that a task of a job could
    /// use, `count` at most. Returns how many were reserved.
    fn reserve_machines(&mut self, queued: &QueuedJob<'a>, count: usize) -> usize {
        let Some(index) = queued.job.waiting.iter().next() else {
            return 0;
        };
        let chosen = self.fullest_usable(queued, index, count);
        for &at in &chosen {
            let candidate = &mut self.candidates[at];
            candidate.reserved = Some((queued.id, std::mem::take(&mut candidate.free)));
        }
        self.open.retain(|at| !chosen.contains(at));
        chosen.len()
    }

    /// The fullest candidates, `count` at most, on which a task would fit once all
    /// tasks that end by themselves have ended.
    fn fullest_usable(&self, queued: &QueuedJob<'a>, index: u32, count: usize) -> Vec<usize> {
        let job = queued.job;
        let need = ResourceVector::of_task(&job.spec);
        let zones = self.state.task_counts_by_zone(job);
        let mut usable: Vec<(f64, &MachineId, usize)> = self
            .candidates
            .iter()
            .enumerate()
            .filter(|(_, c)| {
                c.reserved.is_none()
                    && self.is_eligible(c, job)
                    && zone_allows(job, &zones, index, c.zone)
                    && capacity_without_services(c).fits(&need)
            })
            .map(|(at, c)| (c.free.dominant_share_in_use(&c.capacity), c.id, at))
            .collect();
        usable.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        usable.truncate(count);
        usable.into_iter().map(|(.., at)| at).collect()
    }
}

/// A machine's capacity less what service tasks hold: those do not end.
fn capacity_without_services(candidate: &CandidateMachine<'_>) -> ResourceVector {
    let mut capacity = candidate.capacity;
    for slot in candidate.slots.iter().filter(|s| s.holds_resources()) {
        if let Some(spec) = &slot.spec
            && spec.shape == Shape::Service
        {
            capacity -= ResourceVector::of_task(spec);
        }
    }
    capacity
}
