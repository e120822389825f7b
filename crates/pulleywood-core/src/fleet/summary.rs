//! The state of the fleet as a line of text.

use super::Seen;
use crate::config::Config;
use crate::room::Room;
use pulleywood_wire::MachineId;
use pulleywood_wire::job::Rank;
use pulleywood_wire::peer::MachineDigest;
use std::collections::BTreeMap;

/// The fleet in one line, for logs.
pub fn summary(config: &Config, seen: &Seen<'_>) -> String {
    let mut text = String::from("fleet");
    let digests: BTreeMap<&MachineId, &MachineDigest> = seen
        .parts
        .values()
        .flat_map(|p| &p.machines)
        .map(|m| (&m.machine, m))
        .collect();
    for spot in [false, true] {
        let (mut all, mut booting, mut idle, mut busy) = (0, 0, 0, 0.0);
        for (id, record) in seen.records.iter().filter(|(_, r)| r.spot == spot) {
            all += 1;
            let digest = digests.get(id);
            let whole = config
                .flavors
                .get(&record.flavor)
                .map(Room::of_flavor)
                .unwrap_or_default();
            match digest {
                Some(d) if d.silent_s >= 0.0 => {
                    idle += u32::from(d.idle_s >= 0.0);
                    let free = Room {
                        cpus: d.cpus,
                        gpus: d.gpus,
                        memory_gb: d.memory_gb,
                    };
                    busy += free.used_of(&whole);
                }
                _ => booting += 1,
            }
        }
        let kind = if spot { "spot" } else { "ordinary" };
        text += &format!(" {kind}: {all} machines, {booting} not up, {idle} idle, {busy:.1} busy;");
    }
    for part in seen.parts.values() {
        let free: f64 = part.machines.iter().map(|m| m.gpus).sum();
        let waiting: u32 = part.demand.iter().map(|d| d.count).sum();
        text += &format!(
            " part {}: {} machines, {free} GPUs free, {waiting} waiting;",
            part.part,
            part.machines.len()
        );
    }
    for rank in [Rank::Production, Rank::Urgent, Rank::Standard, Rank::Idle] {
        let waiting: u32 = seen
            .parts
            .values()
            .flat_map(|p| &p.demand)
            .filter(|d| d.rank == rank)
            .map(|d| d.count)
            .sum();
        if waiting > 0 {
            text += &format!(" {rank:?} waiting: {waiting};");
        }
    }
    text
}
