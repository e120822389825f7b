//! Transfers: waiting tasks that a shard offers to another.
//!
//! Invariants: an offered task is not launched here until its offer is resolved, by
//! the next revision of the job's record or because the offer surely was not stored;
//! tasks that may run unseen are never offered; no zone gets more tasks of a spread
//! job than its limit.

use crate::config::Config;
use crate::shard::{Job, ShardState};
use pulleywood_protocol::JobId;
use pulleywood_protocol::peer::Demand;
use pulleywood_protocol::record::TaskSet;
use std::collections::BTreeMap;

/// Tasks of one job on offer to another shard.
#[derive(Debug)]
pub struct TransferOffer {
    /// The job.
    pub id: JobId,
    /// The zone they are bound to.
    pub zone: Option<String>,
    /// The tasks.
    pub tasks: TaskSet,
}

/// Most ranges of tasks that one offer adds to a record, which must stay small however
/// scattered the tasks are.
const MAX_RANGES: u32 = 40;

impl ShardState {
    /// Offers waiting tasks that match a demand, to transfer them: by job, at most as
    /// many as the demand counts. The job submitted last is offered first.
    pub fn offer_tasks(&mut self, like: &Demand, config: &Config) -> Vec<TransferOffer> {
        let mut left = like.count;
        let mut jobs = self.jobs_to_offer(like, config);
        let mut offers = Vec::new();
        while left > 0
            && let Some((_, id)) = jobs.pop()
        {
            let Some(offer) = self.offer_of_job(&id, like, left) else {
                continue;
            };
            left -= offer.tasks.len();
            if let Some(job) = self.jobs.get_mut(&id) {
                job.mark_offered(offer.tasks.clone(), offer.zone.clone());
            }
            offers.push(offer);
        }
        self.invalidate_plan();
        offers
    }

    /// Jobs that match a demand and may be offered, by time of submission.
    fn jobs_to_offer(&self, like: &Demand, config: &Config) -> Vec<(u64, JobId)> {
        let mut jobs: Vec<(u64, JobId)> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.may_be_transferred()
                    && !job.waiting.is_empty()
                    && job.offered.is_empty()
                    && !job.health.is_broken()
                    && !self.may_run_on_unreported_machine(job, config)
                    && like.matches(&job.spec)
            })
            .map(|(id, job)| (job.submitted_at_ms, id.clone()))
            .collect();
        jobs.sort();
        jobs
    }

    /// At most so many waiting tasks of a job as an offer. None: it has none that fit
    /// the demand's zones.
    fn offer_of_job(&self, id: &JobId, like: &Demand, most: u32) -> Option<TransferOffer> {
        let job = self.jobs.get(id)?;
        let spread = job.spec.spread && job.spec.tasks > 1;
        let zone = match like.zones.as_slice() {
            [zone] if spread => Some(zone.clone()),
            _ if spread => return None,
            _ => None,
        };
        let most = match &zone {
            Some(zone) => most.min(self.zone_allowance(job, zone)),
            None => most,
        };
        let tasks = tasks_to_offer(job, zone.as_ref(), most);
        (!tasks.is_empty()).then(|| TransferOffer {
            id: id.clone(),
            zone,
            tasks,
        })
    }

    /// How many more tasks of a spread job its submitting shard may place in a zone.
    /// Other shards were given tasks within that limit already.
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

    /// Tasks of a job by zone: those active here, and those bound to a zone in other
    /// shards or offered to them. Empty if its tasks may run in any zones.
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
        for (zone, n) in &job.transferred_by_zone {
            *zones.entry(zone.clone()).or_insert(0) += n;
        }
        if let Some(zone) = &job.offered_zone {
            *zones.entry(zone.clone()).or_insert(0) += job.offered.len();
        }
        zones
    }

    /// An offer was surely not stored: its tasks wait again.
    pub fn withdraw_offer(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.resolve_offer();
        }
        self.invalidate_plan();
    }

    /// It is not known whether an offer was or will be stored: the job's record is
    /// rewritten, which resolves it either way.
    pub fn mark_offer_uncertain(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.needs_rewrite = true;
            self.dirty_jobs.insert(id.clone());
        }
    }
}

/// The first waiting tasks of a job that may run in the zone, up to `most` tasks and
/// [`MAX_RANGES`] ranges. A task that is bound to a zone already keeps it.
fn tasks_to_offer(job: &Job, zone: Option<&String>, most: u32) -> TaskSet {
    let fits = |index: u32| match (zone, job.zone_bindings.get(&index)) {
        (Some(zone), Some(bound)) => zone == bound,
        (None, Some(_)) => false,
        (_, None) => true,
    };
    let mut tasks = TaskSet::new();
    let mut ranges = 0;
    let mut previous = None;
    for index in job.waiting.iter().filter(|&i| fits(i)) {
        ranges += u32::from(previous != Some(index.wrapping_sub(1)));
        if tasks.len() >= most || ranges > MAX_RANGES {
            break;
        }
        previous = Some(index);
        tasks.insert(index);
    }
    tasks
}
