//! State that the coordinator keeps about the fleet between its rounds. None of it is
//! persisted: a new coordinator rebuilds it from its own observations.

use super::{FleetSnapshot, MAX_BOOT_TIME_FACTOR, MachineKind};
use crate::config::Config;
use crate::machine_types::MachineTypeDemand;
use pulleywood_protocol::cloud::RentalStatus;
use pulleywood_protocol::time::secs;
use pulleywood_protocol::{MachineId, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A machine is not moved again for this long after a move, because its new shard needs
/// some heartbeats to use it.
const MOVE_COOLDOWN: Duration = Duration::from_secs(10);
/// Back-off after the first refusal of a rental. It doubles with each further refusal.
const INITIAL_BACKOFF_S: u64 = 5;
/// Maximum number of times that the back-off doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Refused rentals of one kind of machine.
#[derive(Debug)]
struct Refusals {
    /// Number of consecutive refusals.
    count: u32,
    retry_at: MonotonicTime,
}

/// A machine that was rented and has no record yet.
#[derive(Debug)]
pub(super) struct BootingMachine {
    pub(super) kind: MachineKind,
    started_at: MonotonicTime,
}

/// State that the coordinator keeps between rounds.
#[derive(Debug, Default)]
pub struct FleetHistory {
    refusals: BTreeMap<MachineKind, Refusals>,
    /// Time at which a machine's record was first seen.
    pub(super) first_seen: BTreeMap<MachineId, MonotonicTime>,
    /// Time since which a machine with a record is missing from the cloud's list.
    pub(super) unlisted_since: BTreeMap<MachineId, MonotonicTime>,
    /// Rented machines without a record that still count as capacity.
    pub(super) booting: BTreeMap<MachineId, BootingMachine>,
    /// Time of each recent move of a machine to another shard.
    pub(super) moved_at: BTreeMap<MachineId, MonotonicTime>,
    /// Machines that receive no more tasks so that they become idle.
    pub(super) draining: BTreeSet<MachineId>,
    /// Time at which unreachable machines were last replaced.
    pub(super) last_replacement: Option<MonotonicTime>,
    /// Sets of machine types that recent demand could choose from.
    pub(super) type_demand: MachineTypeDemand,
}

impl FleetHistory {
    /// Removes a machine from the recent moves, because its move was not carried out.
    /// It may then be moved again at once.
    pub fn cancel_move(&mut self, id: &MachineId) {
        self.moved_at.remove(id);
    }

    /// Records that a rental was refused, completely or in part. The kind is not rented
    /// again until its back-off has elapsed.
    pub fn record_refusal(&mut self, kind: &MachineKind, now: MonotonicTime) {
        let count = self.refusals.get(kind).map_or(0, |refusals| refusals.count);
        let backoff = Duration::from_secs(INITIAL_BACKOFF_S << count.min(MAX_BACKOFF_DOUBLINGS));
        let refusals = Refusals {
            count: count + 1,
            retry_at: now + backoff,
        };
        self.refusals.insert(kind.clone(), refusals);
    }

    /// Records that a rental was filled, which resets the kind's back-off.
    pub fn record_filled_rental(&mut self, kind: &MachineKind) {
        self.refusals.remove(kind);
    }

    /// Records rented machines, which count as capacity from now on.
    pub fn record_rented_machines(
        &mut self,
        machines: &[MachineId],
        kind: &MachineKind,
        now: MonotonicTime,
    ) {
        for id in machines {
            let booting = BootingMachine {
                kind: kind.clone(),
                started_at: now,
            };
            self.booting.insert(id.clone(), booting);
        }
    }

    /// Removes booting machines that have a record or take too long to boot, and adds
    /// those that another coordinator has rented, from the cloud's list.
    pub(super) fn update_booting(&mut self, config: &Config, snapshot: &FleetSnapshot<'_>) {
        for rental in snapshot.rentals.unwrap_or_default() {
            if rental.status == RentalStatus::Starting {
                let kind = MachineKind {
                    flavor: rental.flavor.clone(),
                    zone: rental.zone.clone(),
                    spot: rental.spot,
                };
                self.booting
                    .entry(rental.machine.clone())
                    .or_insert_with(|| BootingMachine {
                        kind,
                        started_at: snapshot.now - secs(rental.age_s.0),
                    });
            }
        }
        self.booting.retain(|id, booting| {
            let flavor = config.flavors.get(&booting.kind.flavor);
            let boot_s = flavor.map_or(0.0, |flavor| flavor.boot_s.0);
            !snapshot.records.contains_key(id)
                && snapshot.now.since(booting.started_at) < secs(boot_s * MAX_BOOT_TIME_FACTOR)
        });
    }

    /// Updates when each machine's record was first seen, and removes old moves.
    pub(super) fn update_records(&mut self, snapshot: &FleetSnapshot<'_>) {
        let now = snapshot.now;
        self.first_seen
            .retain(|id, _| snapshot.records.contains_key(id));
        for id in snapshot.records.keys() {
            self.first_seen.entry(id.clone()).or_insert(now);
        }
        self.moved_at.retain(|_, at| now.since(*at) < MOVE_COOLDOWN);
    }

    /// Returns the seconds since a machine's record was first seen; 0 if it has not
    /// been seen.
    pub(super) fn age_s(&self, id: &MachineId, now: MonotonicTime) -> f64 {
        let first_seen = self.first_seen.get(id);
        first_seen.map_or(0.0, |at| now.since(*at).as_secs_f64())
    }

    /// Returns whether machines of this kind may be rented: false during the back-off
    /// after a refusal.
    pub fn is_rentable(&self, kind: &MachineKind, now: MonotonicTime) -> bool {
        self.refusals
            .get(kind)
            .is_none_or(|refusals| now >= refusals.retry_at)
    }
}
