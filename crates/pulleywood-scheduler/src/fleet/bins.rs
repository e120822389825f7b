//! Machines as bins that demand is packed into.

use super::snapshot::MachineDigests;
use super::{FleetHistory, FleetSnapshot, Kind, LATE_BOOT};
use crate::config::Config;
use crate::resources::ResourceVector;
use pulleywood_protocol::cloud::Flavor;
use pulleywood_protocol::job::Rank;
use pulleywood_protocol::peer::MachineDigest;
use pulleywood_protocol::record::MachineRecord;
use pulleywood_protocol::{MachineId, ShardId};

/// A machine whose heartbeat is older than this many intervals, and the margin, does
/// not count as capacity.
const MISSED_HEARTBEATS: f64 = 4.0;
/// Allowance, in seconds, for the age of a digest.
const DIGEST_MARGIN_S: f64 = 1.0;
/// A machine has been idle for this many seconds when it counts as idle: tasks may
/// be on their way to one that has just become idle.
const MIN_IDLE_S: f64 = 1.0;

/// A machine's resources while demand is packed into them.
pub(super) struct Bin {
    /// None if it is yet to be rented.
    pub(super) machine: Option<MachineId>,
    /// None while it boots: any shard may register it.
    pub(super) shard: Option<ShardId>,
    pub(super) kind: Kind,
    /// It sends heartbeats.
    pub(super) up: bool,
    /// It is idle, or not known to be busy.
    pub(super) idle: bool,
    pub(super) free: ResourceVector,
    pub(super) capacity: ResourceVector,
    /// Tasks packed into it in this round.
    pub(super) taken: u32,
    /// The share of the runs that it has for short tasks, before another machine
    /// would be up, that is used.
    pub(super) queued: f64,
    /// Resources held by each rank.
    pub(super) held: Vec<(Rank, ResourceVector)>,
    /// Share of the machine held by tasks that may not run on spot machines.
    pub(super) pinned: f64,
}

impl Bin {
    /// A machine that is booting, or is to be rented.
    pub(super) fn booting(machine: Option<MachineId>, kind: Kind, flavor: &Flavor) -> Bin {
        let capacity = ResourceVector::of_flavor(flavor);
        Bin {
            machine,
            shard: None,
            kind,
            up: false,
            idle: false,
            free: capacity,
            capacity,
            taken: 0,
            queued: 0.0,
            held: Vec::new(),
            pinned: 0.0,
        }
    }

    /// A machine that has a record, and may have a digest.
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
            kind: Kind::of(record),
            up: digest.is_some_and(|m| m.heartbeat_age_s >= 0.0),
            idle: digest.is_none_or(|m| m.idle_s >= MIN_IDLE_S),
            free,
            capacity: ResourceVector::of_flavor(flavor),
            taken: 0,
            queued: 0.0,
            held: digest.map(held_by_rank).unwrap_or_default(),
            pinned: digest.map_or(0.0, |m| m.non_spot_share),
        }
    }

    /// Whether it is of this shard, or of none yet.
    pub(super) fn may_serve(&self, shard: ShardId) -> bool {
        self.shard.is_none_or(|p| p == shard)
    }

    /// What is free for a rank if lower ranks are preempted.
    pub(super) fn preemptable_resources(&self, rank: Rank) -> ResourceVector {
        let mut free = self.free;
        for (_, held) in self.held.iter().filter(|(r, _)| *r < rank) {
            free += *held;
        }
        free
    }

    pub(super) fn is_draining(&self, history: &FleetHistory) -> bool {
        self.machine
            .as_ref()
            .is_some_and(|m| history.draining.contains(m))
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

/// Machines that count as capacity: up and in touch, or booting. Those being emptied
/// come last, and are kept if something is packed into them.
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
        let digest = digests.get(id).map(|(m, _)| *m);
        let age_s = history.age(id, snapshot.now);
        if let Some(free) = free_resources(config, digest, flavor, age_s) {
            bins.push(Bin::recorded(id, record, digest, flavor, free));
        }
    }
    for (id, booting) in &history.booting {
        if let Some(flavor) = config.flavors.get(&booting.kind.flavor) {
            bins.push(Bin::booting(Some(id.clone()), booting.kind.clone(), flavor));
        }
    }
    bins.sort_by_key(|b| b.is_draining(history));
    bins
}

/// What is free on a recorded machine; none if it does not count as capacity.
/// `age_s`: seconds since its record was first seen.
fn free_resources(
    config: &Config,
    digest: Option<&MachineDigest>,
    flavor: &Flavor,
    age_s: f64,
) -> Option<ResourceVector> {
    let overdue_s = config.heartbeat_interval.as_secs_f64() * MISSED_HEARTBEATS + DIGEST_MARGIN_S;
    match digest {
        Some(m) if m.quarantined => None,
        Some(m) if m.heartbeat_age_s > overdue_s => None,
        Some(m) if m.heartbeat_age_s >= 0.0 => Some(ResourceVector::free_on(m)),
        _ if age_s > flavor.boot_s.0 * LATE_BOOT => None,
        _ => Some(ResourceVector::of_flavor(flavor)),
    }
}
