//! Selection of the shard that runs a new job.

use crate::config::Config;
use crate::resources::ResourceVector;
use pulleywood_protocol::job::{JobSpec, Shape};
use pulleywood_protocol::peer::{MachineDigest, ShardDigest};
use pulleywood_protocol::record::{JobRecord, MachineRecord, TaskSet};
use pulleywood_protocol::{MachineId, Revision, ShardId};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How well a shard suits a job. Fields are compared in their order.
struct ShardScore {
    shard: ShardId,
    /// Number of the job's tasks that fit on machines with their image, counting
    /// resources held by lower ranks as free.
    warm_tasks: u32,
    /// Free resources minus the demand already waiting in the shard, in machines.
    free_machines: f64,
    /// Whether the job's id hashes to this shard, which decides between equals.
    by_hash: bool,
}

impl ShardScore {
    fn compare(&self, other: &ShardScore) -> Ordering {
        self.warm_tasks
            .cmp(&other.warm_tasks)
            .then(self.free_machines.total_cmp(&other.free_machines))
            .then(self.by_hash.cmp(&other.by_hash))
    }
}

/// Returns how many machines the tasks of a job fill.
pub fn size_in_machines(config: &Config, spec: &JobSpec) -> f64 {
    f64::from(spec.tasks) * machine_share(config, &ResourceVector::of_task(spec))
}

/// Selects the shard for a new job among those that have a leader: the one where most
/// of the job's tasks find their image, then the one with the most free resources.
/// Shards that are being rebuilt are skipped; if no other is left, the hash of the
/// job's id decides. `sent_work` is the work sent to each shard since its digest, in
/// machines.
pub fn select_shard(
    config: &Config,
    spec: &JobSpec,
    shards: &BTreeMap<ShardId, Arc<ShardDigest>>,
    machines: &BTreeMap<MachineId, (MachineRecord, Revision)>,
    sent_work: &BTreeMap<ShardId, f64>,
) -> ShardId {
    let by_hash = spec.id.shard(config.shards);
    let best = shards
        .values()
        .filter(|digest| !digest.rebuilding)
        .map(|digest| {
            let sent_work = sent_work.get(&digest.shard).copied().unwrap_or(0.0);
            score(config, spec, digest, machines, sent_work, by_hash)
        })
        .max_by(ShardScore::compare);
    best.map_or(by_hash, |score| score.shard)
}

/// Transfers half of a new job that is spread over zones to a shard of another zone, if
/// the controllers' zones separate the shards' machines. That shard has the machines
/// that these tasks may use, and learns of the tasks from the submission itself.
pub fn transfer_spread_tasks(
    config: &Config,
    record: &mut JobRecord,
    shards: &BTreeMap<ShardId, Arc<ShardDigest>>,
    machines: &BTreeMap<MachineId, (MachineRecord, Revision)>,
    sent_work: &BTreeMap<ShardId, f64>,
) {
    let spec = &record.spec;
    let own_zone = config.preferred_zone(record.shard);
    if !spec.spread || spec.tasks < 2 || spec.shape == Shape::Gang || own_zone.is_none() {
        return;
    }
    let mut candidates = shards.clone();
    candidates.retain(|shard, _| config.preferred_zone(*shard) != own_zone);
    if candidates.is_empty() {
        return;
    }
    let target = select_shard(config, spec, &candidates, machines, sent_work);
    if candidates.contains_key(&target) {
        let zone = config.preferred_zone(target).map(str::to_owned);
        let tasks = TaskSet::from(spec.zone_limit()..spec.tasks);
        record.transfer_tasks(target, zone.as_deref(), &tasks);
    }
}

/// Scores a shard. `sent_work` is the work sent to it since its digest, in machines.
fn score(
    config: &Config,
    spec: &JobSpec,
    digest: &ShardDigest,
    machines: &BTreeMap<MachineId, (MachineRecord, Revision)>,
    sent_work: f64,
    by_hash: ShardId,
) -> ShardScore {
    let digest_outdated = sent_work > 0.0;
    let mut free_machines = 0.0;
    let mut warm_tasks = 0;
    for machine in &digest.machines {
        let Some((record, _)) = machines.get(&machine.machine) else {
            continue;
        };
        if record.spot && !spec.spot {
            continue;
        }
        free_machines += machine_share(config, &ResourceVector::free_on(machine));
        // Work that was sent since the digest occupies what the digest shows as free.
        if !digest_outdated && has_usable_image(spec, machine, record) {
            warm_tasks = (warm_tasks + fitting_tasks(machine, spec)).min(spec.tasks);
        }
    }
    let demand = digest.demand.iter().filter(|d| d.rank >= spec.rank);
    let waiting_machines: f64 = demand
        .map(|d| {
            let need = ResourceVector::of_demand(d);
            f64::from(d.count) * machine_share(config, &need)
        })
        .sum();
    ShardScore {
        shard: digest.shard,
        warm_tasks,
        free_machines: free_machines - waiting_machines - sent_work,
        by_hash: digest.shard == by_hash,
    }
}

/// Whether a job's tasks may run on a machine and find their image there.
fn has_usable_image(spec: &JobSpec, machine: &MachineDigest, record: &MachineRecord) -> bool {
    if machine.quarantined || spec.image_gb.0 <= 0.0 {
        return false;
    }
    let in_zone = spec.zone.as_ref().is_none_or(|zone| *zone == record.zone);
    let of_type = spec
        .types
        .as_ref()
        .is_none_or(|types| types.contains(&record.flavor));
    in_zone && of_type && record.images.iter().any(|(name, _)| *name == spec.image)
}

/// How many tasks of a job fit on a machine, counting resources held by lower ranks as
/// free.
fn fitting_tasks(machine: &MachineDigest, spec: &JobSpec) -> u32 {
    let mut free = ResourceVector::free_on(machine);
    for &(rank, cpus, gpus, memory_gb) in &machine.held_by_rank {
        if rank < spec.rank {
            free += ResourceVector {
                cpus,
                gpus,
                memory_gb,
            };
        }
    }
    free.max_copies(&ResourceVector::of_task(spec))
}

/// The fraction of a machine that the resources take, on the type where it is smallest.
fn machine_share(config: &Config, resources: &ResourceVector) -> f64 {
    let flavors = config.flavors.values();
    let shares = flavors.map(|f| resources.dominant_share(&ResourceVector::of_flavor(f)));
    shares.fold(f64::INFINITY, f64::min)
}
