//! The state of the fleet as a line of text, for logs.

use super::{FleetSnapshot, Kind};
use crate::config::Config;
use crate::resources::ResourceVector;
use pulleywood_protocol::job::Rank;
use pulleywood_protocol::peer::MachineDigest;
use std::collections::BTreeMap;

/// Machines of one kind, and how far they are used. A machine that is not up, idle or
/// half empty costs as much as one in use.
#[derive(Debug, Default, Clone, PartialEq)]
struct Usage {
    machines: u32,
    /// With a record, but no heartbeat to the shard's leader yet.
    not_up: u32,
    idle: u32,
    /// The machines' shares in use, added up.
    in_use: f64,
}

impl Usage {
    fn add(&mut self, capacity: &ResourceVector, digest: Option<&MachineDigest>) {
        self.machines += 1;
        match digest.filter(|d| d.heartbeat_age_s >= 0.0) {
            None => self.not_up += 1,
            Some(d) => {
                self.idle += u32::from(d.idle_s >= 0.0);
                self.in_use += ResourceVector::free_on(d).dominant_share_in_use(capacity);
            }
        }
    }
}

/// Recorded machines by kind.
fn usage(config: &Config, snapshot: &FleetSnapshot<'_>) -> BTreeMap<Kind, Usage> {
    let digests = snapshot.machine_digests();
    let mut usage: BTreeMap<Kind, Usage> = BTreeMap::new();
    for (id, record) in snapshot.records {
        let flavor = config.flavors.get(&record.flavor);
        let capacity = flavor.map(ResourceVector::of_flavor).unwrap_or_default();
        let of_kind = usage.entry(Kind::of(record)).or_default();
        of_kind.add(&capacity, digests.get(id).map(|(digest, _)| *digest));
    }
    usage
}

/// The fleet's machines by kind, its shards, and waiting tasks by rank, in one line.
pub fn summary(config: &Config, snapshot: &FleetSnapshot<'_>) -> String {
    let mut text = String::from("fleet");
    for (kind, u) in usage(config, snapshot) {
        let market = if kind.spot { "spot" } else { "ordinary" };
        text += &format!(
            " {} {} {market}: {} machines, {} not up, {} idle, {:.1} in use;",
            kind.flavor, kind.zone, u.machines, u.not_up, u.idle, u.in_use
        );
    }
    for shard in snapshot.shards.values() {
        let waiting: u32 = shard.demand.iter().map(|d| d.count).sum();
        let machines = shard.machines.len();
        text += &format!(
            " shard {}: {machines} machines, {waiting} waiting;",
            shard.shard
        );
    }
    for rank in [Rank::Production, Rank::Urgent, Rank::Standard, Rank::Idle] {
        let demand = snapshot.shards.values().flat_map(|p| &p.demand);
        let of_rank = demand.filter(|d| d.rank == rank);
        let waiting: u32 = of_rank.map(|d| d.count).sum();
        if waiting > 0 {
            text += &format!(" {rank:?} waiting: {waiting};");
        }
    }
    text
}
