//! Release of machines without their shard's consent: dead, lost, or handed back by
//! the shard already.
//!
//! One list of the cloud's alone, which may be stale, never decides over a machine
//! that may still work.

use super::{Action, FleetHistory, FleetSnapshot};
use crate::config::Config;
use pulleywood_protocol::MachineId;
use pulleywood_protocol::cloud::{Rental, RentalStatus};
use std::collections::BTreeSet;
use std::time::Duration;

/// A machine that was out of touch for this many leases, and for the minimum, is
/// replaced.
const OUT_OF_TOUCH_LEASES: u32 = 4;
const MIN_OUT_OF_TOUCH: Duration = Duration::from_secs(60);
/// One machine in so many may be replaced each lease. If more are out of touch it is
/// a partition, which heals; their capacity would be gone with them.
const REPLACED_ONE_IN: usize = 100;

/// A worker sends a heartbeat within this many intervals: they vary by a quarter.
const MAX_HEARTBEAT_INTERVALS: f64 = 1.25;
/// A worker waits this many seconds for a response before it tries another
/// controller.
const RESPONSE_TIMEOUT_S: f64 = 4.0;
/// At most one machine in so many may be unreachable for any of them to be given up
/// early. If more are, it is a partition, which heals.
const UNREACHABLE_ONE_IN: usize = 8;
/// A machine is given up early if that saves more than this part of the boot of its
/// replacement.
const WORTHWHILE_BOOT: f64 = 1.0 / 2.0;

/// Boot time, in seconds, of a machine type that is not known.
const UNKNOWN_BOOT_S: f64 = 60.0;
/// A machine that is still starting after this many boot times, and the margin,
/// never comes up.
const NEVER_UP_BOOTS: f64 = 4.0;
const NEVER_UP_MARGIN_S: f64 = 30.0;

/// A machine must have had its record for this long before it counts as gone: the
/// list may be older than the record.
const MIN_KNOWN: Duration = Duration::from_secs(30);
/// And must have been missing in the lists for this long.
const MIN_MISSED: Duration = Duration::from_secs(20);

/// Machines to release, by reason.
pub(super) fn release_dead(
    config: &Config,
    history: &mut FleetHistory,
    snapshot: &FleetSnapshot<'_>,
) -> Vec<Action> {
    let mut releases = vec![
        (retired(snapshot), "retired by its shard"),
        (out_of_touch(config, history, snapshot), "out of touch"),
        (unreported(config, snapshot), "not heard by its new leader"),
    ];
    if let Some(list) = snapshot.list {
        let overdue = overdue(config, snapshot);
        let gone = no_longer_listed(history, snapshot, list, &overdue);
        releases.extend([
            (failed(list), "failed"),
            (never_up(config, snapshot, list, &overdue), "never came up"),
            (gone, "no longer listed"),
        ]);
    }
    releases
        .into_iter()
        .filter(|(machines, _)| !machines.is_empty())
        .map(|(machines, reason)| Action::ReleaseDead(machines, reason))
        .collect()
}

/// Machines that their shards have released.
fn retired(snapshot: &FleetSnapshot<'_>) -> Vec<MachineId> {
    snapshot
        .records
        .iter()
        .filter(|(_, record)| record.retiring)
        .map(|(id, _)| id.clone())
        .collect()
}

/// Machines whose workers have long not been in touch both ways: heartbeats overdue,
/// or inbound partitioned. A few each lease, the longest first.
fn out_of_touch(
    config: &Config,
    history: &mut FleetHistory,
    snapshot: &FleetSnapshot<'_>,
) -> Vec<MachineId> {
    let now = snapshot.now;
    if history
        .replaced
        .is_some_and(|at| now.since(at) < config.lease)
    {
        return Vec::new();
    }
    let long_s = (config.lease * OUT_OF_TOUCH_LEASES)
        .max(MIN_OUT_OF_TOUCH)
        .as_secs_f64();
    let mut lost: Vec<(f64, &MachineId)> = snapshot
        .shards
        .values()
        .filter(|p| !p.rebuilding)
        .flat_map(|p| &p.machines)
        .filter(|m| m.lost_s > long_s && snapshot.records.contains_key(&m.machine))
        .map(|m| (m.lost_s, &m.machine))
        .collect();
    lost.sort_by(|a, b| b.0.total_cmp(&a.0));
    lost.truncate(snapshot.records.len() / REPLACED_ONE_IN + 1);
    if !lost.is_empty() {
        history.replaced = Some(now);
    }
    lost.into_iter().map(|(_, id)| id.clone()).collect()
}

/// Seconds after a failover by which the shard's new leader has heard from each
/// reachable worker.
fn unreachable_after_s(config: &Config) -> f64 {
    config.heartbeat_interval.as_secs_f64() * MAX_HEARTBEAT_INTERVALS + RESPONSE_TIMEOUT_S
}

/// Machines that have not reported since their shard's failover, while jobs wait that
/// they may run. The cloud's confirmation of their end frees those jobs a good part
/// of a worker's lease earlier. As the machine may not be dead, this is only done
/// where it saves more than half of the boot of a replacement.
fn unreported(config: &Config, snapshot: &FleetSnapshot<'_>) -> Vec<MachineId> {
    let wait_s = unreachable_after_s(config);
    let saved_s = config.lease_expiry_bound().as_secs_f64() - wait_s;
    let is_worthwhile = |id: &MachineId| {
        let record = snapshot.records.get(id);
        let flavor = record.and_then(|r| config.flavors.get(&r.flavor));
        flavor.is_some_and(|f| saved_s > f.boot_s.0 * WORTHWHILE_BOOT)
    };
    let unreachable = snapshot
        .machines()
        .filter(|m| m.unreported || m.heartbeat_age_s > wait_s);
    if unreachable.count() * UNREACHABLE_ONE_IN > snapshot.records.len() {
        return Vec::new();
    }
    let blocked = snapshot.shards.values().filter(|p| !p.demand.is_empty());
    blocked
        .flat_map(|p| &p.machines)
        .filter(|m| m.unreported && m.lost_s > wait_s && is_worthwhile(&m.machine))
        .map(|m| m.machine.clone())
        .collect()
}

/// Machines whose heartbeats are overdue, or have not come yet.
fn overdue<'a>(config: &Config, snapshot: &FleetSnapshot<'a>) -> BTreeSet<&'a MachineId> {
    let lease_s = config.lease.as_secs_f64();
    snapshot
        .machines()
        .filter(|m| m.heartbeat_age_s < 0.0 || m.heartbeat_age_s > lease_s)
        .map(|m| &m.machine)
        .collect()
}

/// Machines that the cloud lists as failed.
fn failed(list: &[Rental]) -> Vec<MachineId> {
    list.iter()
        .filter(|rental| rental.status == RentalStatus::Failed)
        .map(|rental| rental.machine.clone())
        .collect()
}

/// Machines that have been starting for very long, and send no heartbeats.
fn never_up(
    config: &Config,
    snapshot: &FleetSnapshot<'_>,
    list: &[Rental],
    overdue: &BTreeSet<&MachineId>,
) -> Vec<MachineId> {
    let is_late = |rental: &&Rental| {
        let flavor = config.flavors.get(&rental.flavor);
        let boot_s = flavor.map_or(UNKNOWN_BOOT_S, |f| f.boot_s.0);
        rental.status == RentalStatus::Starting
            && rental.age_s.0 > boot_s * NEVER_UP_BOOTS + NEVER_UP_MARGIN_S
    };
    list.iter()
        .filter(is_late)
        .map(|rental| &rental.machine)
        .filter(|id| overdue.contains(id) || !snapshot.records.contains_key(*id))
        .cloned()
        .collect()
}

/// Recorded machines that have long been missing in the lists, and whose heartbeats
/// are overdue: the cloud has taken them.
fn no_longer_listed(
    history: &mut FleetHistory,
    snapshot: &FleetSnapshot<'_>,
    list: &[Rental],
    overdue: &BTreeSet<&MachineId>,
) -> Vec<MachineId> {
    let now = snapshot.now;
    let listed: BTreeSet<&MachineId> = list.iter().map(|r| &r.machine).collect();
    history
        .missed_since
        .retain(|id, _| snapshot.records.contains_key(id) && !listed.contains(id));
    let mut gone = Vec::new();
    for id in snapshot.records.keys().filter(|id| !listed.contains(id)) {
        let since = *history.missed_since.entry(id.clone()).or_insert(now);
        let known = history
            .first_seen
            .get(id)
            .is_some_and(|at| now.since(*at) > MIN_KNOWN);
        if known && overdue.contains(id) && now.since(since) > MIN_MISSED {
            gone.push(id.clone());
        }
    }
    gone
}
