//! Bins: machines with the resources that demand is packed into.

use super::snapshot::MachineDigests;
use super::{FleetHistory, FleetSnapshot, MAX_BOOT_TIME_FACTOR, MachineKind};
use crate::config::Config;
use crate::resources::ResourceVector;
use pulleywood_protocol::cloud::Flavor;
use pulleywood_protocol::job::Rank;
use pulleywood_protocol::peer::MachineDigest;
use pulleywood_protocol::record::MachineRecord;
use pulleywood_protocol::{MachineId, ShardId};

/// A machine does not count as capacity once its last heartbeat is older than this many
/// heartbeat intervals plus the margin.
const MAX_MISSED_HEARTBEATS: f64 = 4.0;
/// Margin for the age of a digest.
const DIGEST_AGE_MARGIN_S: f64 = 1.0;
/// Minimum idle time of a machine that counts as idle. Launches may still be under way
/// to a machine that became idle more recently.
const MIN_IDLE_S: f64 = 1.0;

/// A machine and its resources while demand is packed into it.
pub(super) struct Bin {
    /// Id of the machine; `None` if it has not been rented yet.
    pub(super) machine: Option<MachineId>,
    /// Shard that controls the machine; `None` while it boots, because any shard may
    /// register it.
    pub(super) shard: Option<ShardId>,
    pub(super) kind: MachineKind,
    /// Whether its shard's leader has answered a heartbeat from it.
    pub(super) is_up: bool,
    /// Whether it has no tasks, as far as known.
    pub(super) is_idle: bool,
    pub(super) free: ResourceVector,
    pub(super) capacity: ResourceVector,
    /// Number of tasks packed into it in this round.
    pub(super) packed_tasks: u32,
    /// Fraction, from 0 to 1, of its queue for short tasks that is used. The queue
    /// holds the tasks that it can run before an additional machine would be up.
    pub(super) used_queue_share: f64,
    /// Resources held by the tasks of each rank.
    pub(super) held_by_rank: Vec<(Rank, ResourceVector)>,
    /// Dominant share of the machine held by tasks that may not run on spot machines.
    pub(super) pinned_share: f64,
}

impl Bin {
    /// Returns the empty bin of a machine that is booting or will be rented.
    pub(super) fn booting(machine: Option<MachineId>, kind: MachineKind, flavor: &Flavor) -> Bin {
        let capacity = ResourceVector::of_flavor(flavor);
        Bin {
            machine,
            shard: None,
            kind,
            is_up: false,
            is_idle: false,
            free: capacity,
            capacity,
            packed_tasks: 0,
            used_queue_share: 0.0,
            held_by_rank: Vec::new(),
            pinned_share: 0.0,
        }
    }

    /// Returns the bin of a machine that has a record and possibly a digest.
    fn recorded(
        id: &MachineId,
        record: &MachineRecord,
        digest: Option<&MachineDigest>,
        flavor: &Flavor,
        free: ResourceVector,
    ) -> Bin {
        Bin {
            machine: Some(id.clone()),
            shard: Some(record.shard),
            kind: MachineKind::of(record),
            is_up: digest.is_some_and(|digest| digest.heartbeat_age_s >= 0.0),
            is_idle: digest.is_none_or(|digest| digest.idle_s >= MIN_IDLE_S),
            free,
            capacity: ResourceVector::of_flavor(flavor),
            packed_tasks: 0,
            used_queue_share: 0.0,
            held_by_rank: digest.map(held_by_rank).unwrap_or_default(),
            pinned_share: digest.map_or(0.0, |digest| digest.non_spot_share),
        }
    }

    /// Returns whether the machine belongs to this shard or to none yet.
    pub(super) fn is_available_to(&self, shard: ShardId) -> bool {
        self.shard.is_none_or(|own| own == shard)
    }

    /// Returns the resources that are free for a rank if tasks of lower ranks are
    /// preempted.
    pub(super) fn free_with_preemption(&self, rank: Rank) -> ResourceVector {
        let mut free = self.free;
        for (_, held) in self
            .held_by_rank
            .iter()
            .filter(|(holder, _)| *holder < rank)
        {
            free += *held;
        }
        free
    }

    pub(super) fn is_draining(&self, history: &FleetHistory) -> bool {
        self.machine
            .as_ref()
            .is_some_and(|machine| history.draining.contains(machine))
    }
}

fn held_by_rank(digest: &MachineDigest) -> Vec<(Rank, ResourceVector)> {
    let resources = |&(rank, cpus, gpus, memory_gb): &(Rank, f64, f64, f64)| {
        let held = ResourceVector {
            cpus,
            gpus,
            memory_gb,
        };
        (rank, held)
    };
    digest.held_by_rank.iter().map(resources).collect()
}

/// Returns the machines that count as capacity: those that are up and send heartbeats,
/// and those that are booting. Draining machines come last, so that they are used, and
/// kept, only if the others do not suffice.
pub(super) fn collect(
    config: &Config,
    history: &FleetHistory,
    snapshot: &FleetSnapshot<'_>,
    digests: &MachineDigests<'_>,
) -> Vec<Bin> {
    let mut bins = Vec::new();
    for (id, record) in snapshot.records {
        let Some(flavor) = config.flavors.get(&record.flavor) else {
            continue;
        };
        if record.releasing {
            continue;
        }
        let digest = digests.get(id).map(|(digest, _)| *digest);
        let age_s = history.age_s(id, snapshot.now);
        if let Some(free) = free_resources(config, digest, flavor, age_s) {
            bins.push(Bin::recorded(id, record, digest, flavor, free));
        }
    }
    for (id, booting) in &history.booting {
        if let Some(flavor) = config.flavors.get(&booting.kind.flavor) {
            bins.push(Bin::booting(Some(id.clone()), booting.kind.clone(), flavor));
        }
    }
    bins.sort_by_key(|bin| bin.is_draining(history));
    bins
}

/// Returns the free resources of a machine with a record; `None` if it does not count
/// as capacity. `age_s` is the time in seconds since its record was first seen.
fn free_resources(
    config: &Config,
    digest: Option<&MachineDigest>,
    flavor: &Flavor,
    age_s: f64,
) -> Option<ResourceVector> {
    let overdue_s =
        config.heartbeat_interval.as_secs_f64() * MAX_MISSED_HEARTBEATS + DIGEST_AGE_MARGIN_S;
    match digest {
        Some(digest) if digest.quarantined => None,
        Some(digest) if digest.heartbeat_age_s > overdue_s => None,
        Some(digest) if digest.heartbeat_age_s >= 0.0 => Some(ResourceVector::free_on(digest)),
        _ if age_s > flavor.boot_s.0 * MAX_BOOT_TIME_FACTOR => None,
        _ => Some(ResourceVector::of_flavor(flavor)),
    }
}
