//! Which shard runs a new job.

use crate::config::Config;
use crate::resources::ResourceVector;
use pulleywood_protocol::job::{JobSpec, Shape};
use pulleywood_protocol::peer::{MachineDigest, ShardDigest};
use pulleywood_protocol::record::{JobRecord, MachineRecord, TaskSet};
use pulleywood_protocol::{MachineId, Revision, ShardId};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How well a shard suits a job.
struct ShardScore {
    shard: ShardId,
    /// Tasks that find their image on a machine with free resources, counting what
    /// lower ranks hold.
    warm_tasks: u32,
    /// What is free beside what waits there, in machines.
    free_machines: f64,
    /// The shard to which the job's id hashes; it decides between equals.
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

/// Machines that all tasks of a job would fill.
pub fn size_in_machines(config: &Config, spec: &JobSpec) -> f64 {
    f64::from(spec.tasks) * machine_share(config, &ResourceVector::of_task(spec))
}

/// Chooses among the shards that have a leader: the one where most tasks of the job
/// find their image, then the one with the most free resources. Shards that are being
/// rebuilt are left out; if there is no other, the job's id decides. `sent`: machines'
/// worth of work that was sent to a shard since its digest.
pub fn select_shard(
    config: &Config,
    spec: &JobSpec,
    shards: &BTreeMap<ShardId, Arc<ShardDigest>>,
    machines: &BTreeMap<MachineId, (MachineRecord, Revision)>,
    sent: &BTreeMap<ShardId, f64>,
) -> ShardId {
    let by_hash = spec.id.shard(config.shards);
    let best = shards
        .values()
        .filter(|digest| !digest.rebuilding)
        .map(|digest| {
            let sent = sent.get(&digest.shard).copied().unwrap_or(0.0);
            score(config, spec, digest, machines, sent, by_hash)
        })
        .max_by(ShardScore::compare);
    best.map_or(by_hash, |score| score.shard)
}

/// Transfers half of a new job that is spread over zones to a shard of another zone
/// than its own, where the controllers' zones keep the shards' machines apart. The
/// other shard has the machines that these tasks may use, and learns of them with the
/// submission itself.
pub fn transfer_spread_tasks(
    config: &Config,
    record: &mut JobRecord,
    shards: &BTreeMap<ShardId, Arc<ShardDigest>>,
    machines: &BTreeMap<MachineId, (MachineRecord, Revision)>,
    sent: &BTreeMap<ShardId, f64>,
) {
    let spec = &record.spec;
    let own_zone = config.preferred_zone(record.shard);
    if !spec.spread || spec.tasks < 2 || spec.shape == Shape::Gang || own_zone.is_none() {
        return;
    }
    let mut others = shards.clone();
    others.retain(|shard, _| config.preferred_zone(*shard) != own_zone);
    if others.is_empty() {
        return;
    }
    let other = select_shard(config, spec, &others, machines, sent);
    if others.contains_key(&other) {
        let zone = config.preferred_zone(other).map(str::to_owned);
        let mut tasks = TaskSet::new();
        for index in spec.zone_limit()..spec.tasks {
            tasks.insert(index);
        }
        record.transfer_tasks(other, zone.as_deref(), &tasks);
    }
}

/// `sent`: machines' worth of work that was sent to the shard since its digest.
fn score(
    config: &Config,
    spec: &JobSpec,
    digest: &ShardDigest,
    machines: &BTreeMap<MachineId, (MachineRecord, Revision)>,
    sent: f64,
    by_hash: ShardId,
) -> ShardScore {
    let outdated = sent > 0.0;
    let mut free = 0.0;
    let mut warm = 0;
    for machine in &digest.machines {
        let Some((record, _)) = machines.get(&machine.machine) else {
            continue;
        };
        if record.spot && !spec.spot {
            continue;
        }
        free += machine_share(config, &ResourceVector::free_on(machine));
        // Work that was sent since has taken what the digest shows as free.
        if !outdated && is_warm(spec, machine, record) {
            warm = (warm + fitting_tasks(machine, spec)).min(spec.tasks);
        }
    }
    let demand = digest.demand.iter().filter(|d| d.rank >= spec.rank);
    let waiting: f64 = demand
        .map(|d| {
            let need = ResourceVector::of_demand(d);
            f64::from(d.count) * machine_share(config, &need)
        })
        .sum();
    ShardScore {
        shard: digest.shard,
        warm_tasks: warm,
        free_machines: free - waiting - sent,
        by_hash: digest.shard == by_hash,
    }
}

/// Whether a job's tasks may run on a machine, and find their image there.
fn is_warm(spec: &JobSpec, machine: &MachineDigest, record: &MachineRecord) -> bool {
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

/// How many tasks of a job fit on a machine, counting what lower ranks hold.
fn fitting_tasks(machine: &MachineDigest, spec: &JobSpec) -> u32 {
    let mut free = ResourceVector::free_on(machine);
    for &(rank, cpus, gpus, memory_gb) in &machine.held {
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

/// The share of a machine that resources take, on the type where it is least.
fn machine_share(config: &Config, resources: &ResourceVector) -> f64 {
    let flavors = config.flavors.values();
    let shares = flavors.map(|f| resources.dominant_share(&ResourceVector::of_flavor(f)));
    shares.fold(f64::INFINITY, f64::min)
}
