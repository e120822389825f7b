//! Summary of the fleet's state in one line, for logs.

use super::{FleetSnapshot, MachineKind};
use crate::config::Config;
use crate::resources::ResourceVector;
use pulleywood_protocol::job::Rank;
use pulleywood_protocol::peer::MachineDigest;
use std::collections::BTreeMap;

/// Number of machines of one kind, and how much of them is used. A machine that does
/// not report, is idle, or is half empty costs as much as one in use.
#[derive(Debug, Default, Clone, PartialEq)]
struct KindUsage {
    machines: u32,
    /// Machines with a record whose shard's leader has not answered a heartbeat yet.
    not_reporting: u32,
    idle: u32,
    /// Sum of the dominant shares in use of all machines.
    in_use: f64,
}

impl KindUsage {
    fn add(&mut self, capacity: &ResourceVector, digest: Option<&MachineDigest>) {
        self.machines += 1;
        match digest.filter(|digest| digest.heartbeat_age_s >= 0.0) {
            None => self.not_reporting += 1,
            Some(digest) => {
                self.idle += u32::from(digest.idle_s >= 0.0);
                self.in_use += ResourceVector::free_on(digest).dominant_share_in_use(capacity);
            }
        }
    }
}

/// Returns the usage of the machines with a record, by kind.
fn usage_by_kind(
    config: &Config,
    snapshot: &FleetSnapshot<'_>,
) -> BTreeMap<MachineKind, KindUsage> {
    let digests = snapshot.machine_digests();
    let mut usage_by_kind: BTreeMap<MachineKind, KindUsage> = BTreeMap::new();
    for (id, record) in snapshot.records {
        let flavor = config.flavors.get(&record.flavor);
        let capacity = flavor.map(ResourceVector::of_flavor).unwrap_or_default();
        let kind_usage = usage_by_kind.entry(MachineKind::of(record)).or_default();
        kind_usage.add(&capacity, digests.get(id).map(|(digest, _)| *digest));
    }
    usage_by_kind
}

/// Summarizes the fleet's machines by kind, its shards, and the waiting tasks by rank,
/// in one line.
pub fn summary(config: &Config, snapshot: &FleetSnapshot<'_>) -> String {
    let mut text = String::from("observed fleet:");
    for (kind, usage) in usage_by_kind(config, snapshot) {
        let market = if kind.spot { "spot" } else { "ordinary" };
        text += &format!(
            " {} {} {market}: {} machines, {} not reporting, {} idle, {:.1} in use;",
            kind.flavor, kind.zone, usage.machines, usage.not_reporting, usage.idle, usage.in_use
        );
    }
    for shard in snapshot.shards.values() {
        let waiting: u32 = shard.demand.iter().map(|demand| demand.count).sum();
        let machines = shard.machines.len();
        text += &format!(
            " shard {}: {machines} machines, {waiting} waiting;",
            shard.shard
        );
    }
    for rank in [Rank::Production, Rank::Urgent, Rank::Standard, Rank::Idle] {
        let demand = snapshot.shards.values().flat_map(|digest| &digest.demand);
        let rank_demand = demand.filter(|demand| demand.rank == rank);
        let waiting: u32 = rank_demand.map(|demand| demand.count).sum();
        if waiting > 0 {
            text += &format!(" {rank:?} waiting: {waiting};");
        }
    }
    text
}
