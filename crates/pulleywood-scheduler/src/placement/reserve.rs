//! Reservations: withholds free resources from other jobs until a large task fits.
//!
//! As tasks on a reserved machine end, the reserved resources grow. Without
//! reservations, smaller tasks would take each resource as soon as it became free.

use super::SchedulingCycle;
use super::candidates::CandidateMachine;
use super::filter::zone_allows;
use super::queue::{QueuedJob, Queues, usage_in_all_shards};
use crate::resources::ResourceVector;
use pulleywood_protocol::job::Shape;
use pulleywood_protocol::{JobSpec, MachineId};

impl<'a> SchedulingCycle<'a> {
    /// Reserves resources for a job that could not be placed completely.
    pub(super) fn reserve(&mut self, queued: &QueuedJob<'a>, queues: &Queues<'a>) {
        if queued.is_starved() && !self.starved_job_has_reservation {
            self.starved_job_has_reservation = self.reserve_machines(queued, 1) > 0;
        }
        self.reserve_fair_share(queued, queues);
    }

    /// Reserves machines for a team whose large tasks cannot start because another
    /// team's smaller tasks hold more than their fair share. It reserves half of the
    /// difference between the shares, once per cycle and team. Nothing is reserved if
    /// tasks may be preempted for the job, since preemption then frees the resources.
    fn reserve_fair_share(&mut self, queued: &QueuedJob<'a>, queues: &Queues<'a>) {
        let spec: &'a JobSpec = &queued.job.spec;
        let is_only_running_team = self.running_teams.iter().all(|team| *team == spec.team);
        let was_considered = self
            .teams_considered_for_reservation
            .contains(&spec.team.as_str());
        if is_only_running_team || queued.job.health.is_broken() || was_considered {
            return;
        }
        self.teams_considered_for_reservation.push(&spec.team);
        let claim = self.claim(spec, &self.usage);
        if self.may_preempt_any(spec, &claim) {
            return;
        }
        let weighted_share = |team: &str| {
            let usage = usage_in_all_shards(self.state, team, &self.usage);
            self.weighted_share(team, usage)
        };
        let own_share = weighted_share(&spec.team);
        let shares = self.running_teams.iter().map(|team| weighted_share(team));
        let share_gap = shares.fold(0.0, f64::max) - own_share;
        let share_per_task = self.weighted_share(&spec.team, ResourceVector::of_task(spec).slots());
        if share_gap > 0.0 && share_per_task > 0.0 {
            // Each task that one team gains is a task that the other team loses.
            let machine_count = (share_gap / share_per_task / 2.0).floor() as usize;
            self.reserve_machines(queued, machine_count.min(waiting_tasks(queued, queues)));
        }
    }

    /// Reserves the free resources of the fullest machines, `count` at most, that could
    /// run a task of the job. Returns the number of reserved machines.
    fn reserve_machines(&mut self, queued: &QueuedJob<'a>, count: usize) -> usize {
        let Some(task_index) = queued.job.waiting.iter().next() else {
            return 0;
        };
        let chosen = self.fullest_usable_candidates(queued, task_index, count);
        for &candidate_index in &chosen {
            let candidate = &mut self.candidates[candidate_index];
            candidate.reserved = Some((queued.job_id, std::mem::take(&mut candidate.free)));
        }
        self.open_candidates
            .retain(|candidate_index| !chosen.contains(candidate_index));
        chosen.len()
    }

    /// Returns the fullest candidates, `count` at most, on which a task would fit once
    /// all tasks that end by themselves have ended.
    fn fullest_usable_candidates(
        &self,
        queued: &QueuedJob<'a>,
        task_index: u32,
        count: usize,
    ) -> Vec<usize> {
        let job = queued.job;
        let need = ResourceVector::of_task(&job.spec);
        let tasks_by_zone = self.state.task_counts_by_zone(job);
        let mut usable: Vec<(f64, &MachineId, usize)> = self
            .candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| {
                candidate.reserved.is_none()
                    && self.is_eligible(candidate, job)
                    && zone_allows(job, &tasks_by_zone, task_index, candidate.zone)
                    && capacity_without_services(candidate).fits(&need)
            })
            .map(|(candidate_index, candidate)| {
                (
                    candidate.free.dominant_share_in_use(&candidate.capacity),
                    candidate.id,
                    candidate_index,
                )
            })
            .collect();
        usable.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        usable.truncate(count);
        usable
            .into_iter()
            .map(|(.., candidate_index)| candidate_index)
            .collect()
    }
}

/// Returns an upper bound of the waiting tasks of an entry's team and rank, of which the entry
/// has been taken from its queue.
fn waiting_tasks(queued: &QueuedJob<'_>, queues: &Queues<'_>) -> usize {
    let queue = queues.get(queued.job.spec.team.as_str());
    let same_rank = queue
        .into_iter()
        .flatten()
        .filter(|other| other.rank == queued.rank);
    same_rank
        .chain([queued])
        .map(|entry| entry.job.waiting.len() as usize)
        .sum()
}

/// Returns a machine's capacity without the resources of service tasks, which do not
/// end by themselves.
fn capacity_without_services(candidate: &CandidateMachine<'_>) -> ResourceVector {
    let mut capacity = candidate.capacity;
    for slot in candidate.slots.iter().filter(|slot| slot.holds_resources()) {
        if let Some(spec) = &slot.spec
            && spec.shape == Shape::Service
        {
            capacity -= ResourceVector::of_task(spec);
        }
    }
    capacity
}
