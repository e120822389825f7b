//! Release of machines without a request by their shards' leaders, because they are
//! dead, unreachable, or already released by their shard.
//!
//! The cloud's list may be stale. A machine that may still work is never released
//! because of a single list.

use super::{Action, FleetHistory, FleetSnapshot};
use crate::config::Config;
use pulleywood_protocol::MachineId;
use pulleywood_protocol::cloud::{Rental, RentalStatus};
use std::collections::BTreeSet;
use std::time::Duration;

/// A machine is replaced when it has been unreachable for this many leases and for
/// `MIN_UNREACHABLE`.
const UNREACHABLE_LEASES: u32 = 4;
/// Lower bound of the time after which an unreachable machine is replaced.
const MIN_UNREACHABLE: Duration = Duration::from_secs(60);
/// At most one machine per this many, plus one, is replaced per lease. If more are
/// unreachable, the cause is probably a partition, which heals; replacing them would
/// give up their capacity.
const MACHINES_PER_REPLACEMENT: usize = 100;

/// Maximum time between two heartbeats of a worker, in heartbeat intervals. The time
/// varies by up to a quarter.
const MAX_HEARTBEAT_INTERVALS: f64 = 1.25;
/// Time that a worker waits for a response before it tries another controller.
const RESPONSE_TIMEOUT_S: f64 = 4.0;
/// Machines are released early only if the fleet has at least this many machines per
/// unreachable one. Otherwise the cause is probably a partition, which heals.
const MIN_MACHINES_PER_UNREACHABLE: usize = 8;
/// A machine is released early only if that saves more than this fraction of the boot
/// time of its replacement.
const MIN_SAVED_BOOT_FRACTION: f64 = 1.0 / 2.0;

/// Assumed boot time of an unknown machine type.
const DEFAULT_BOOT_S: f64 = 60.0;
/// A machine that is still starting after this many boot times, plus the margin, is
/// considered to have failed to boot.
const FAILED_BOOT_FACTOR: f64 = 4.0;
/// Margin on the boot time after which a boot is considered failed.
const FAILED_BOOT_MARGIN_S: f64 = 30.0;

/// A machine counts as gone only if its record has existed for this long, because the
/// list may be older than the record.
const MIN_RECORD_AGE: Duration = Duration::from_secs(30);
/// A machine counts as gone only if it has been missing from the cloud's lists for this
/// long.
const MIN_UNLISTED: Duration = Duration::from_secs(20);

/// Returns the machines to release, by reason.
pub(super) fn release_dead(
    config: &Config,
    history: &mut FleetHistory,
    snapshot: &FleetSnapshot<'_>,
) -> Vec<Action> {
    let mut releases = vec![
        (released_by_shard(snapshot), "released by its shard"),
        (
            unreachable_for_long(config, history, snapshot),
            "unreachable",
        ),
        (
            unreported(config, snapshot),
            "not reported since the failover",
        ),
    ];
    if let Some(rentals) = snapshot.rentals {
        let overdue = overdue(config, snapshot);
        let gone = no_longer_listed(history, snapshot, rentals, &overdue);
        releases.extend([
            (listed_as_failed(rentals), "listed as failed"),
            (
                failed_to_boot(config, snapshot, rentals, &overdue),
                "did not finish booting",
            ),
            (gone, "missing from the cloud's list"),
        ]);
    }
    releases
        .into_iter()
        .filter(|(machines, _)| !machines.is_empty())
        .map(|(machines, reason)| Action::ReleaseDead(machines, reason))
        .collect()
}

/// Returns the machines that their shards have released.
fn released_by_shard(snapshot: &FleetSnapshot<'_>) -> Vec<MachineId> {
    snapshot
        .records
        .iter()
        .filter(|(_, record)| record.releasing)
        .map(|(id, _)| id.clone())
        .collect()
}

/// Returns machines that have had no two-way contact with their shard's leader for
/// long: their heartbeats are overdue, or they are inbound partitioned. Only a few are
/// returned per lease, those without contact for longest first.
fn unreachable_for_long(
    config: &Config,
    history: &mut FleetHistory,
    snapshot: &FleetSnapshot<'_>,
) -> Vec<MachineId> {
    let now = snapshot.now;
    if history
        .last_replacement
        .is_some_and(|at| now.since(at) < config.lease)
    {
        return Vec::new();
    }
    let min_unreachable_s = (config.lease * UNREACHABLE_LEASES)
        .max(MIN_UNREACHABLE)
        .as_secs_f64();
    let mut unreachable: Vec<(f64, &MachineId)> = snapshot
        .shards
        .values()
        .filter(|digest| !digest.rebuilding)
        .flat_map(|digest| &digest.machines)
        .filter(|machine| {
            machine.out_of_contact_s > min_unreachable_s
                && snapshot.records.contains_key(&machine.machine)
        })
        .map(|machine| (machine.out_of_contact_s, &machine.machine))
        .collect();
    unreachable.sort_by(|a, b| b.0.total_cmp(&a.0));
    unreachable.truncate(snapshot.records.len() / MACHINES_PER_REPLACEMENT + 1);
    if !unreachable.is_empty() {
        history.last_replacement = Some(now);
    }
    unreachable.into_iter().map(|(_, id)| id.clone()).collect()
}

/// Returns the time, in seconds after a failover, by which the shard's new leader has
/// received a heartbeat from every reachable worker.
fn first_report_deadline_s(config: &Config) -> f64 {
    config.heartbeat_interval.as_secs_f64() * MAX_HEARTBEAT_INTERVALS + RESPONSE_TIMEOUT_S
}

/// Returns machines that have not reported since their shard's failover, if jobs wait
/// that may run on them. The cloud's confirmation that a machine has ended frees those
/// jobs well before the expiry of the worker's lease. As the machine may still be
/// alive, it is only released if that saves more than half of the boot time of a
/// replacement.
fn unreported(config: &Config, snapshot: &FleetSnapshot<'_>) -> Vec<MachineId> {
    let report_deadline_s = first_report_deadline_s(config);
    let saved_s = config.lease_expiry_bound().as_secs_f64() - report_deadline_s;
    let is_worthwhile = |id: &MachineId| {
        let record = snapshot.records.get(id);
        let flavor = record.and_then(|record| config.flavors.get(&record.flavor));
        flavor.is_some_and(|flavor| saved_s > flavor.boot_s.0 * MIN_SAVED_BOOT_FRACTION)
    };
    let unreachable = snapshot
        .machines()
        .filter(|machine| machine.unreported || machine.heartbeat_age_s > report_deadline_s);
    if unreachable.count() * MIN_MACHINES_PER_UNREACHABLE > snapshot.records.len() {
        return Vec::new();
    }
    let waiting_shards = snapshot
        .shards
        .values()
        .filter(|digest| !digest.demand.is_empty());
    waiting_shards
        .flat_map(|digest| &digest.machines)
        .filter(|machine| {
            machine.unreported
                && machine.out_of_contact_s > report_deadline_s
                && is_worthwhile(&machine.machine)
        })
        .map(|machine| machine.machine.clone())
        .collect()
}

/// Returns the machines whose heartbeats are overdue or that have not sent any yet.
fn overdue<'a>(config: &Config, snapshot: &FleetSnapshot<'a>) -> BTreeSet<&'a MachineId> {
    let lease_s = config.lease.as_secs_f64();
    snapshot
        .machines()
        .filter(|machine| machine.heartbeat_age_s < 0.0 || machine.heartbeat_age_s > lease_s)
        .map(|machine| &machine.machine)
        .collect()
}

/// Returns the machines that the cloud lists as failed.
fn listed_as_failed(rentals: &[Rental]) -> Vec<MachineId> {
    rentals
        .iter()
        .filter(|rental| rental.status == RentalStatus::Failed)
        .map(|rental| rental.machine.clone())
        .collect()
}

/// Returns machines that have been starting for far longer than a boot takes and send
/// no heartbeats.
fn failed_to_boot(
    config: &Config,
    snapshot: &FleetSnapshot<'_>,
    rentals: &[Rental],
    overdue: &BTreeSet<&MachineId>,
) -> Vec<MachineId> {
    let is_late = |rental: &&Rental| {
        let flavor = config.flavors.get(&rental.flavor);
        let boot_s = flavor.map_or(DEFAULT_BOOT_S, |flavor| flavor.boot_s.0);
        rental.status == RentalStatus::Starting
            && rental.age_s.0 > boot_s * FAILED_BOOT_FACTOR + FAILED_BOOT_MARGIN_S
    };
    rentals
        .iter()
        .filter(is_late)
        .map(|rental| &rental.machine)
        .filter(|id| overdue.contains(id) || !snapshot.records.contains_key(*id))
        .cloned()
        .collect()
}

/// Returns machines with a record that have been missing from the cloud's lists for
/// long and whose heartbeats are overdue: the cloud has reclaimed them.
fn no_longer_listed(
    history: &mut FleetHistory,
    snapshot: &FleetSnapshot<'_>,
    rentals: &[Rental],
    overdue: &BTreeSet<&MachineId>,
) -> Vec<MachineId> {
    let now = snapshot.now;
    let listed: BTreeSet<&MachineId> = rentals.iter().map(|rental| &rental.machine).collect();
    history
        .unlisted_since
        .retain(|id, _| snapshot.records.contains_key(id) && !listed.contains(id));
    let mut gone = Vec::new();
    for id in snapshot.records.keys().filter(|id| !listed.contains(id)) {
        let unlisted_since = *history.unlisted_since.entry(id.clone()).or_insert(now);
        let record_is_old_enough = history
            .first_seen
            .get(id)
            .is_some_and(|at| now.since(*at) > MIN_RECORD_AGE);
        if record_is_old_enough && overdue.contains(id) && now.since(unlisted_since) > MIN_UNLISTED
        {
            gone.push(id.clone());
        }
    }
    gone
}
