//! Transfers: waiting tasks that a shard offers to another one.
//!
//! Invariants: an offered task is not launched here until its offer is resolved, either
//! by the next revision of the job's record or because the offer was certainly not
//! stored; tasks that may run on an unreported machine are never offered; no zone gets
//! more tasks of a spread job than its limit.

use crate::config::Config;
use crate::shard::{Job, ShardState};
use pulleywood_protocol::JobId;
use pulleywood_protocol::peer::Demand;
use pulleywood_protocol::record::TaskSet;
use std::collections::BTreeMap;

/// Tasks of one job that are offered to another shard.
#[derive(Debug)]
pub struct TransferOffer {
    /// Id of the job.
    pub id: JobId,
    /// The zone that the tasks are bound to, if any.
    pub zone: Option<String>,
    /// The offered tasks.
    pub tasks: TaskSet,
}

/// Maximum number of task ranges that one offer adds to a job's record, which must stay
/// small even if the tasks are scattered.
const MAX_RANGES: u32 = 40;

impl ShardState {
    /// Offers waiting tasks that match a demand to another shard: at most as many as
    /// the demand counts, starting with the job submitted last. Returns one offer per
    /// job.
    pub fn offer_tasks(&mut self, demand: &Demand, config: &Config) -> Vec<TransferOffer> {
        let mut remaining = demand.count;
        let mut jobs = self.jobs_to_offer(demand, config);
        let mut offers = Vec::new();
        while remaining > 0
            && let Some((_, id)) = jobs.pop()
        {
            let Some(offer) = self.offer_of_job(&id, demand, remaining) else {
                continue;
            };
            remaining -= offer.tasks.len();
            if let Some(job) = self.jobs.get_mut(&id) {
                job.mark_offered(offer.tasks.clone(), offer.zone.clone());
            }
            offers.push(offer);
        }
        self.invalidate_plan();
        offers
    }

    /// Returns the jobs that match a demand and may be offered, in order of submission.
    fn jobs_to_offer(&self, demand: &Demand, config: &Config) -> Vec<(u64, JobId)> {
        let mut jobs: Vec<(u64, JobId)> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.may_be_transferred()
                    && !job.waiting.is_empty()
                    && job.offered.is_empty()
                    && !job.health.is_broken()
                    && !self.may_run_on_unreported_machine(job, config)
                    && demand.matches(&job.spec)
            })
            .map(|(id, job)| (job.submitted_at_ms, id.clone()))
            .collect();
        jobs.sort();
        jobs
    }

    /// Returns an offer of at most `max_tasks` waiting tasks of a job. `None` if
    /// no task fits the demand's zones.
    fn offer_of_job(&self, id: &JobId, demand: &Demand, max_tasks: u32) -> Option<TransferOffer> {
        let job = self.jobs.get(id)?;
        let spread = job.spec.spread && job.spec.tasks > 1;
        let zone = match demand.zones.as_slice() {
            [zone] if spread => Some(zone.clone()),
            _ if spread => return None,
            _ => None,
        };
        let max_tasks = match &zone {
            Some(zone) => max_tasks.min(self.zone_allowance(job, zone)),
            None => max_tasks,
        };
        let tasks = tasks_to_offer(job, zone.as_ref(), max_tasks);
        (!tasks.is_empty()).then(|| TransferOffer {
            id: id.clone(),
            zone,
            tasks,
        })
    }

    /// How many more tasks of a spread job may be placed in a zone. Only the submitting
    /// shard is restricted: other shards received their tasks within the limit.
    fn zone_allowance(&self, job: &Job, zone: &String) -> u32 {
        if job.submitting_shard != self.shard {
            return u32::MAX;
        }
        let placed = self
            .task_counts_by_zone(job)
            .get(zone)
            .copied()
            .unwrap_or(0);
        job.spec.zone_limit().saturating_sub(placed)
    }

    /// Number of a job's tasks by zone: those active here, and those that are bound to
    /// a zone and were transferred or offered to other shards. Empty if the job's tasks
    /// may run in any zones.
    pub(crate) fn task_counts_by_zone(&self, job: &Job) -> BTreeMap<String, u32> {
        let mut zones = BTreeMap::new();
        if !job.spec.one_zone && !job.spec.spread {
            return zones;
        }
        for (id, _) in job.active.values() {
            if let Some(machine) = self.machines.get(id) {
                *zones.entry(machine.record.zone.clone()).or_insert(0) += 1;
            }
        }
        for (zone, count) in job.zone_bindings.transferred() {
            *zones.entry(zone.clone()).or_insert(0) += count;
        }
        if let Some(zone) = &job.offered_zone {
            *zones.entry(zone.clone()).or_insert(0) += job.offered.len();
        }
        zones
    }

    /// Ends an offer that was certainly not stored. Its tasks wait again.
    pub fn withdraw_offer(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.resolve_offer();
        }
        self.invalidate_plan();
    }

    /// Marks an offer whose outcome is unknown: it may have been, or may yet be,
    /// stored. The job's record is rewritten, which resolves the offer in either case.
    pub fn mark_offer_uncertain(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.needs_rewrite = true;
            self.dirty_jobs.insert(id.clone());
        }
    }
}

/// Returns the first waiting tasks of a job that may run in the zone, up to `max_tasks`
/// tasks and [`MAX_RANGES`] ranges. A task that is already bound to a zone stays bound
/// to it.
fn tasks_to_offer(job: &Job, zone: Option<&String>, max_tasks: u32) -> TaskSet {
    let fits = |index: u32| match (zone, job.zone_bindings.zone_of(index)) {
        (Some(zone), Some(bound)) => zone == bound,
        (None, Some(_)) => false,
        (_, None) => true,
    };
    let mut tasks = TaskSet::new();
    let mut ranges = 0;
    let mut previous = None;
    for index in job.waiting.iter().filter(|&i| fits(i)) {
        ranges += u32::from(previous != Some(index.wrapping_sub(1)));
        if tasks.len() >= max_tasks || ranges > MAX_RANGES {
            break;
        }
        previous = Some(index);
        tasks.insert(index);
    }
    tasks
}
