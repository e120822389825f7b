//! Digest of a shard, which its leader sends to the other controllers.
//!
//! Invariant: the size of a digest grows with the number of machines, teams and task
//! shapes, but not with the number of jobs or tasks, except for the list of running
//! jobs.

use crate::config::Config;
use crate::machine_types::MachineTypes;
use crate::resources::{ResourceVector, add_slots, within_limit};
use crate::shard::machine::Machine;
use crate::shard::{Job, ShardState};
use pulleywood_protocol::job::Shape;
use pulleywood_protocol::peer::{Demand, MachineDigest, ShardDigest};
use pulleywood_protocol::record::Slots;
use pulleywood_protocol::{JobId, MachineId, MonotonicTime};
use std::collections::BTreeMap;

/// Maximum number of waiting tasks per job that count towards what its team wants.
const MAX_WANTED_TASKS: u32 = 1000;

/// Value of a duration that is unknown.
const UNKNOWN_S: f64 = -1.0;

/// Requirements of waiting jobs, by team and by task shape.
#[derive(Default)]
struct WaitingWork<'a> {
    /// Slots that waiting tasks need, for teams that have a limit.
    wanted: BTreeMap<String, Slots>,
    /// Teams that have a limit and waiting jobs, and whether their quotas in this shard
    /// admit no task of any of those jobs.
    quota_blocks_all: BTreeMap<&'a str, bool>,
    /// Waiting tasks of jobs that are not held back, by shape.
    demand: Vec<Demand>,
}

impl ShardState {
    /// Builds the shard's digest.
    pub fn digest(&self, now: MonotonicTime, config: &Config) -> ShardDigest {
        let used = self.usage_by_team(config);
        let waiting = self.waiting_work(&used, now, config);
        let stuck = waiting.quota_blocks_all.into_iter().filter(|(_, all)| *all);
        ShardDigest {
            shard: self.shard,
            rebuilding: self.is_rebuilding(),
            demand: waiting.demand,
            displaced_demand: self.displaced_demand(config),
            reserve: self.service_reservations(),
            machines: self.machine_digests(now, config),
            used,
            wanted: waiting.wanted,
            quota_blocked_teams: stuck.map(|(team, _)| team.to_owned()).collect(),
            running: self.running_tasks_by_job(),
        }
    }

    fn waiting_work(
        &self,
        used: &BTreeMap<String, Slots>,
        now: MonotonicTime,
        config: &Config,
    ) -> WaitingWork<'_> {
        let mut work = WaitingWork::default();
        for job in self.jobs.values().filter(|j| !j.waiting.is_empty()) {
            let Some(team) = config.teams.get(&job.spec.team) else {
                continue;
            };
            // For a broken job nothing is rented, moved or transferred, except for the
            // single task that it is retried with if there is no machine at all.
            let broken = job.health.is_broken();
            let count = if broken { 1 } else { job.waiting.len() };
            if team.has_limit() {
                self.add_wanted(&mut work, job, count, used, team.limit);
            }
            if job.health.is_backing_off(now) || (broken && !self.machines.is_empty()) {
                continue;
            }
            let max_tasks = if broken { 1 } else { u32::MAX };
            self.add_job_demand(&mut work.demand, job, max_tasks);
        }
        work
    }

    /// Adds what `count` waiting tasks of a job need, for a team that has a limit.
    fn add_wanted<'a>(
        &'a self,
        work: &mut WaitingWork<'a>,
        job: &'a Job,
        count: u32,
        used: &BTreeMap<String, Slots>,
        limit: Slots,
    ) {
        let team = &job.spec.team;
        let task = ResourceVector::of_task(&job.spec).slots();
        let team_used = used.get(team).copied().unwrap_or_default();
        let quota = self.quotas.teams.get(team).copied().unwrap_or_default();
        let blocks_all = work.quota_blocks_all.entry(team).or_insert(true);
        *blocks_all &= !within_limit(team_used, task, quota, limit);
        let wanted = work.wanted.entry(team.clone()).or_default();
        for _ in 0..count.min(MAX_WANTED_TASKS) {
            add_slots(wanted, task);
        }
    }

    fn displaced_demand(&self, config: &Config) -> Vec<Demand> {
        let mut displaced = Vec::new();
        for (id, count) in self.displaced_task_counts(config) {
            if let Some(job) = self.jobs.get(id) {
                add_demand(&mut displaced, demand_of(job, Vec::new(), count));
            }
        }
        displaced
    }

    /// Number of tasks by array job that run on machine types which the job should
    /// leave to work with fewer types to choose from.
    fn displaced_task_counts(&self, config: &Config) -> BTreeMap<&JobId, u32> {
        let mut counts = BTreeMap::new();
        if config.flavors.len() <= 1 {
            return counts;
        }
        let mut avoided_by_job: BTreeMap<&JobId, MachineTypes> = BTreeMap::new();
        for machine in self.machines.values() {
            for slot in machine.slots.iter().filter(|s| s.holds_resources()) {
                let Some(spec) = &slot.spec else { continue };
                if spec.shape != Shape::Array {
                    continue;
                }
                let id = &slot.task.job;
                let avoided = avoided_by_job.entry(id).or_insert_with(|| {
                    self.machine_type_demand
                        .types_to_avoid_for_job(config, spec)
                });
                if avoided.contains(&machine.record.flavor) {
                    *counts.entry(id).or_insert(0) += 1;
                }
            }
        }
        counts
    }

    /// Resources to keep free for the next service job: those of the largest service
    /// job of each class. For a job that is spread over zones, this is as much in each
    /// zone as it may use there.
    fn service_reservations(&self) -> Vec<Demand> {
        let mut reserve = Vec::new();
        for job in self.largest_services() {
            let spec = &job.spec;
            let in_zone = |zone: &String, count| demand_of(job, vec![zone.clone()], count);
            match &spec.zone {
                Some(zone) => reserve.push(in_zone(zone, spec.tasks)),
                None if spec.spread && spec.tasks > 1 => {
                    let limit = spec.zone_limit();
                    reserve.extend(self.zones.iter().map(|zone| in_zone(zone, limit)));
                }
                None => reserve.push(demand_of(job, Vec::new(), spec.tasks)),
            }
        }
        reserve
    }

    /// The service job with the most tasks of each class, in order of class. Broken
    /// jobs are ignored.
    fn largest_services(&self) -> impl Iterator<Item = &Job> {
        let mut largest: BTreeMap<&str, &Job> = BTreeMap::new();
        for job in self.jobs.values() {
            if job.spec.shape != Shape::Service || job.health.is_broken() {
                continue;
            }
            let of_class = largest.entry(&job.spec.class).or_insert(job);
            if job.spec.tasks > of_class.spec.tasks {
                *of_class = job;
            }
        }
        largest.into_values()
    }

    /// Adds up to `max_tasks` waiting tasks of a job.
    fn add_job_demand(&self, demand: &mut Vec<Demand>, job: &Job, mut max_tasks: u32) {
        for (zones, count) in self.zones_of_waiting_tasks(job) {
            let count = count.min(max_tasks);
            max_tasks -= count;
            if count > 0 {
                add_demand(demand, demand_of(job, zones, count));
            }
        }
    }

    /// Returns the zones in which a job's waiting tasks may run, with task counts. An
    /// empty list of zones means any zone.
    fn zones_of_waiting_tasks(&self, job: &Job) -> Vec<(Vec<String>, u32)> {
        let spec = &job.spec;
        let waiting = job.waiting.len();
        if let Some(zone) = &spec.zone {
            return vec![(vec![zone.clone()], waiting)];
        }
        if spec.tasks == 1 || (!spec.one_zone && !spec.spread) {
            return vec![(Vec::new(), waiting)];
        }
        let placed = self.task_counts_by_zone(job);
        if spec.one_zone {
            return vec![(placed.into_keys().collect(), waiting)];
        }
        let counts = self.spread_task_counts(job, &placed).into_iter();
        counts.map(|(zone, n)| (vec![zone], n)).collect()
    }

    /// Number of a spread job's waiting tasks by zone. Bound tasks count in their
    /// zones, the others where most are still allowed besides those already `placed`.
    /// Tasks beyond all zone limits are left out.
    fn spread_task_counts(
        &self,
        job: &Job,
        placed: &BTreeMap<String, u32>,
    ) -> BTreeMap<String, u32> {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        let mut unbound = job.waiting.len();
        for (zone, bound) in job.zone_bindings.bound_here() {
            let count = job.waiting.common_count(bound);
            if count > 0 {
                counts.insert(zone.to_owned(), count);
                unbound -= count;
            }
        }
        let limit = job.spec.zone_limit();
        let allowed = |zone: &String| limit.saturating_sub(placed.get(zone).copied().unwrap_or(0));
        let mut zones: Vec<(&String, u32)> = self.zones.iter().map(|z| (z, allowed(z))).collect();
        zones.sort_by_key(|(_, allowed)| std::cmp::Reverse(*allowed));
        for (zone, allowed) in zones {
            let count = allowed.min(unbound);
            if count > 0 {
                *counts.entry(zone.clone()).or_insert(0) += count;
                unbound -= count;
            }
        }
        counts
    }

    fn machine_digests(&self, now: MonotonicTime, config: &Config) -> Vec<MachineDigest> {
        self.machines
            .iter()
            .map(|(id, machine)| machine_digest(id, machine, now, config))
            .collect()
    }
}

fn machine_digest(
    id: &MachineId,
    machine: &Machine,
    now: MonotonicTime,
    config: &Config,
) -> MachineDigest {
    let capacity = config
        .flavors
        .get(&machine.record.flavor)
        .map(ResourceVector::of_flavor)
        .unwrap_or_default();
    let usable = machine.confirmed
        && !machine.is_inbound_partitioned(now, config)
        && machine.remains_in_service(now);
    let free = if usable && !machine.has_unknown_attempts() {
        machine.free_resources(capacity)
    } else {
        ResourceVector::default()
    };
    let seconds_since = |at: MonotonicTime| now.since(at).as_secs_f64();
    let idle_since = machine.idle_since.filter(|_| machine.confirmed);
    MachineDigest {
        machine: id.clone(),
        cpus: free.cpus,
        gpus: free.gpus,
        memory_gb: free.memory_gb,
        idle_s: idle_since.map_or(UNKNOWN_S, seconds_since),
        heartbeat_age_s: machine.last_response_at.map_or(UNKNOWN_S, seconds_since),
        out_of_contact_s: seconds_since(machine.last_round_trip_at),
        unreported: machine.unreported,
        quarantined: machine.quarantined || machine.reclaim_at.is_some(),
        non_spot_share: machine.pinned_resources().dominant_share(&capacity),
        held_by_rank: machine.resources_by_rank(),
    }
}

/// Adds tasks to the entry of the same shape, or as a new entry.
fn add_demand(demand: &mut Vec<Demand>, item: Demand) {
    let Some(existing) = demand.iter_mut().find(|d| same_shape(d, &item)) else {
        demand.push(item);
        return;
    };
    let (before, more) = (f64::from(existing.count), f64::from(item.count));
    existing.remaining_work_s =
        (existing.remaining_work_s * before + item.remaining_work_s * more) / (before + more);
    existing.count = existing.count.saturating_add(item.count);
}

/// Whether two demands differ only in task count and work.
fn same_shape(a: &Demand, b: &Demand) -> bool {
    (a.cpus, a.gpus, a.memory_gb) == (b.cpus, b.gpus, b.memory_gb)
        && a.types == b.types
        && a.zones == b.zones
        && (a.spot, a.rank, a.any_shard) == (b.spot, b.rank, b.any_shard)
}

/// Describes `count` tasks of a job as demand for machines in `zones`, or in any zone
/// if the list is empty.
fn demand_of(job: &Job, zones: Vec<String>, count: u32) -> Demand {
    let spec = &job.spec;
    Demand {
        cpus: spec.cpus.0,
        gpus: spec.gpus.0,
        memory_gb: spec.memory_gb.0,
        types: spec.types.clone(),
        zones,
        spot: spec.spot,
        rank: spec.rank,
        remaining_work_s: match spec.shape {
            Shape::Array | Shape::Gang => spec.estimate_s.0,
            Shape::Service => 0.0,
        },
        count,
        any_shard: job.may_be_transferred(),
    }
}
