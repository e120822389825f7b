//! Tests of the fleet decisions: renting, moving, draining and releasing machines, and
//! transferring tasks.

mod common;

use common::*;
use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::cloud::{Rental, RentalStatus};
use pulleywood_protocol::peer::{Demand, MachineDigest, ShardDigest};
use pulleywood_protocol::record::MachineRecord;
use pulleywood_protocol::{FencingToken, MachineId, MonotonicTime, Rank, ShardId};
use pulleywood_scheduler::fleet::{Action, FleetHistory, FleetSnapshot, MachineKind, decide};
use pulleywood_scheduler::{Config, ResourceVector};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const SHARD_A: ShardId = ShardId(0);
const SHARD_B: ShardId = ShardId(1);

fn demand(count: u32, rank: Rank, spot: bool) -> Demand {
    Demand {
        cpus: 4.0,
        gpus: 1.0,
        memory_gb: 8.0,
        types: None,
        zones: vec![],
        spot,
        rank,
        remaining_work_s: 60.0,
        count,
        any_shard: true,
    }
}

/// The coordinator's view of a fleet of two shards.
struct Fleet {
    config: Config,
    history: FleetHistory,
    records: BTreeMap<MachineId, MachineRecord>,
    shards: BTreeMap<ShardId, Arc<ShardDigest>>,
    rentals: Option<Vec<Rental>>,
    suspend_scale_in: bool,
}

impl Fleet {
    fn new() -> Fleet {
        let shard = |shard| {
            Arc::new(ShardDigest {
                shard,
                ..ShardDigest::default()
            })
        };
        Fleet {
            config: config(),
            history: FleetHistory::default(),
            records: BTreeMap::new(),
            shards: BTreeMap::from([(SHARD_A, shard(SHARD_A)), (SHARD_B, shard(SHARD_B))]),
            rentals: None,
            suspend_scale_in: false,
        }
    }

    /// Returns a shard's digest for changes.
    fn digest(&mut self, shard: ShardId) -> &mut ShardDigest {
        Arc::make_mut(self.shards.get_mut(&shard).unwrap())
    }

    fn add_demand(&mut self, shard: ShardId, demand: Demand) {
        self.digest(shard).demand.push(demand);
    }

    /// Adds a machine with four GPUs, `held` of which are used by tasks of `rank`.
    fn add_machine(
        &mut self,
        shard: ShardId,
        machine_index: usize,
        held: f64,
        rank: Rank,
        idle_s: f64,
    ) {
        let record = MachineRecord {
            fencing_token: FencingToken(1),
            ..machine_record(shard)
        };
        self.records.insert(machine(machine_index), record);
        let free = ResourceVector {
            cpus: 16.0 - 4.0 * held,
            gpus: 4.0 - held,
            memory_gb: 64.0 - 8.0 * held,
        };
        let digest = MachineDigest {
            machine: machine(machine_index),
            cpus: free.cpus,
            gpus: free.gpus,
            memory_gb: free.memory_gb,
            idle_s,
            heartbeat_age_s: 0.5,
            out_of_contact_s: 0.5,
            unreported: false,
            quarantined: false,
            non_spot_share: 0.0,
            held_by_rank: vec![(rank, 4.0 * held, held, 8.0 * held)],
        };
        self.digest(shard).machines.push(digest);
    }

    fn decide(&mut self, now: MonotonicTime) -> Vec<Action> {
        let snapshot = FleetSnapshot {
            now,
            records: &self.records,
            shards: &self.shards,
            rentals: self.rentals.as_deref(),
            suspend_scale_in: self.suspend_scale_in,
        };
        decide(&self.config, &mut self.history, &snapshot)
    }

    fn count_rented(&mut self, now: MonotonicTime) -> u32 {
        let counts = self.decide(now).into_iter().map(|a| match a {
            Action::ScaleOut(_, count) => count,
            _ => 0,
        });
        counts.sum()
    }
}

fn kind(zone: &str, spot: bool) -> MachineKind {
    MachineKind {
        flavor: "g4".into(),
        zone: zone.into(),
        spot,
    }
}

fn rental(machine_index: usize, status: RentalStatus, age_s: f64) -> Rental {
    Rental {
        machine: machine(machine_index),
        endpoint: None,
        flavor: "g4".into(),
        zone: "a".into(),
        spot: false,
        status,
        age_s: Amount(age_s),
    }
}

#[test]
fn the_cheapest_machines_are_rented_for_demand_that_does_not_fit() {
    // (tasks, whether they may run on spot machines, rented machines, whether these are
    // spot machines)
    let cases = [(1, true, 1, true), (4, false, 1, false), (9, true, 3, true)];
    for (tasks, spot, expected_machines, expected_spot) in cases {
        let mut fleet = Fleet::new();
        fleet.add_demand(SHARD_A, demand(tasks, Rank::Standard, spot));
        let rental_requests: Vec<_> = fleet
            .decide(at(0.0))
            .into_iter()
            .filter_map(|a| match a {
                Action::ScaleOut(kind, count) => Some((kind.spot, count)),
                _ => None,
            })
            .collect();
        assert!(
            rental_requests
                .iter()
                .all(|(spot, _)| *spot == expected_spot),
            "{rental_requests:?}"
        );
        assert_eq!(
            rental_requests.iter().map(|(_, count)| count).sum::<u32>(),
            expected_machines
        );
    }
}

#[test]
fn refused_kinds_are_backed_off() {
    let mut fleet = Fleet::new();
    fleet.add_demand(SHARD_A, demand(4, Rank::Production, false));
    for zone in ["a", "b"] {
        fleet.history.record_refusal(&kind(zone, false), at(0.0));
    }
    for (now_s, expected) in [(1.0, 0), (4.9, 0), (5.0, 1)] {
        assert_eq!(fleet.count_rented(at(now_s)), expected, "{now_s}");
    }
}

#[test]
fn ordinary_machines_are_rented_for_spot_tasks_only_if_many_wait() {
    // One machine with four slots is up. Within the wait limit, `overflow` = 2 boot
    // times of 30 s, it can complete 4 * 60 s of work. (waiting tasks, whether ordinary
    // machines are rented)
    for (tasks, expected) in [(3, false), (40, true)] {
        let mut fleet = Fleet::new();
        fleet.config.policy.overflow = 2.0;
        fleet.add_machine(SHARD_A, 0, 4.0, Rank::Standard, -1.0);
        fleet.add_demand(SHARD_A, demand(tasks, Rank::Standard, true));
        for zone in ["a", "b"] {
            fleet.history.record_refusal(&kind(zone, true), at(0.0));
        }
        assert_eq!(fleet.count_rented(at(1.0)) > 0, expected, "{tasks}");
    }
}

#[test]
fn idle_machines_are_moved_and_tasks_transferred_to_other_shards() {
    type ActionCheck = fn(&Action) -> bool;
    type Case = (&'static str, f64, f64, Rank, Rank, Option<ActionCheck>);
    let cases: [Case; 4] = [
        (
            "an idle machine is moved",
            0.0,
            30.0,
            Rank::Standard,
            Rank::Standard,
            Some(|a| matches!(a, Action::Move(_, SHARD_B, SHARD_A))),
        ),
        (
            "tasks are transferred to a busy machine",
            2.0,
            -1.0,
            Rank::Standard,
            Rank::Standard,
            Some(|a| matches!(a, Action::Transfer(SHARD_A, SHARD_B, d) if d.count == 1)),
        ),
        (
            "lower ranks are preempted",
            4.0,
            -1.0,
            Rank::Idle,
            Rank::Production,
            Some(|a| matches!(a, Action::Transfer(SHARD_A, SHARD_B, d) if d.count == 1)),
        ),
        (
            "equal ranks are not preempted",
            4.0,
            -1.0,
            Rank::Production,
            Rank::Production,
            None,
        ),
    ];
    for (name, held, idle_s, running_rank, rank, expected_action) in cases {
        let mut fleet = Fleet::new();
        fleet.add_machine(SHARD_B, 0, held, running_rank, idle_s);
        fleet.add_demand(SHARD_A, demand(1, rank, false));
        let actions = fleet.decide(at(0.0));
        let rents_machines = actions.iter().any(|a| matches!(a, Action::ScaleOut(..)));
        match expected_action {
            Some(is_expected) => assert!(
                actions.iter().any(is_expected) && !rents_machines,
                "{name}: {actions:?}"
            ),
            None => assert!(rents_machines, "{name}: {actions:?}"),
        }
    }
}

#[test]
fn booting_machines_count_only_after_those_that_are_up() {
    // Replicas must not wait for a boot, or for a machine that may never come up, while
    // lower ranks can be preempted in another shard.
    let mut fleet = Fleet::new();
    fleet
        .history
        .record_rented_machines(&[machine(9)], &kind("a", false), at(0.0));
    fleet.add_machine(SHARD_B, 0, 4.0, Rank::Idle, -1.0);
    fleet.add_demand(SHARD_A, demand(1, Rank::Production, false));
    let actions = fleet.decide(at(1.0));
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::Transfer(SHARD_A, SHARD_B, _))),
        "{actions:?}"
    );
    // Booting machines still count as capacity until they exceed the maximum boot time.
    let mut fleet = Fleet::new();
    fleet
        .history
        .record_rented_machines(&[machine(9)], &kind("a", false), at(0.0));
    fleet.add_demand(SHARD_A, demand(4, Rank::Production, false));
    for (now_s, expected) in [(1.0, 0), (50.0, 0), (52.0, 1)] {
        assert_eq!(fleet.count_rented(at(now_s)), expected, "{now_s}");
    }
}

#[test]
fn listed_machines_are_released_only_when_certainly_dead() {
    let cases = [
        ("booting", RentalStatus::Starting, 40.0, false),
        (
            "did not finish booting",
            RentalStatus::Starting,
            160.0,
            true,
        ),
        ("failed", RentalStatus::Failed, 10.0, true),
        (
            "running, not registered yet",
            RentalStatus::Running,
            500.0,
            false,
        ),
    ];
    for (name, status, age_s, expected) in cases {
        let mut fleet = Fleet::new();
        fleet.rentals = Some(vec![rental(0, status, age_s)]);
        let actions = fleet.decide(at(0.0));
        let is_released = actions.iter().any(|a| matches!(a, Action::ReleaseDead(..)));
        assert_eq!(is_released, expected, "{name}");
    }
    // A machine that sends heartbeats is kept, even if the list lacks it.
    let mut fleet = Fleet::new();
    fleet.add_machine(SHARD_A, 0, 1.0, Rank::Standard, -1.0);
    fleet.rentals = Some(vec![]);
    for now_s in [0.0, 60.0, 600.0] {
        let actions = fleet.decide(at(now_s));
        assert!(!actions.iter().any(|a| matches!(a, Action::ReleaseDead(..))));
    }
}

#[test]
fn idle_machines_are_given_back_except_those_reserved_for_services() {
    for (reserve, expected) in [(None, 2), (Some(2), 1)] {
        let mut fleet = Fleet::new();
        fleet.add_machine(SHARD_A, 0, 0.0, Rank::Standard, 500.0);
        fleet.add_machine(SHARD_B, 1, 0.0, Rank::Standard, 500.0);
        if let Some(count) = reserve {
            let shard = fleet.digest(SHARD_A);
            shard.reserve.push(demand(count, Rank::Production, false));
        }
        let actions = fleet.decide(at(0.0));
        let scale_in_count = actions
            .iter()
            .filter(|a| matches!(a, Action::ScaleIn(..)))
            .count();
        assert_eq!(scale_in_count, expected, "{reserve:?}: {actions:?}");
    }
}

#[test]
fn idle_spot_machines_drain_ordinary_ones_of_their_own_type_only() {
    // Two ordinary machines are in use and four spot machines are idle. Idle spot
    // machines of a small type, which the tasks do not fit, must not cause the large
    // ones to be drained. (type of the spot machines, drained machines)
    for (flavor, expected) in [("g4", 2), ("s1", 0)] {
        let mut fleet = with_small_machines();
        for machine_index in 0..2 {
            fleet.add_machine(SHARD_A, machine_index, 4.0, Rank::Standard, -1.0);
        }
        for machine_index in 2..6 {
            fleet.add_machine(SHARD_A, machine_index, 0.0, Rank::Standard, 1.0);
            let record = fleet.records.get_mut(&machine(machine_index)).unwrap();
            record.flavor = flavor.into();
            record.spot = true;
        }
        let actions = fleet.decide(at(0.0));
        let drained = actions.iter().map(|a| match a {
            Action::Drain(_, machines) => machines.len(),
            _ => 0,
        });
        assert_eq!(drained.sum::<usize>(), expected, "{flavor}: {actions:?}");
    }
}

#[test]
fn ordinary_headroom_is_kept_only_if_some_tasks_are_pinned_to_ordinary_machines() {
    // Twenty ordinary machines are in use and two are idle, with a headroom of one
    // tenth. If any services are pinned to ordinary machines, all ordinary machines in
    // use count for the headroom, because the services' replicas may go to any of them
    // when a machine is lost. (machines with pinned tasks, machines given back)
    for (pinned_machines, expected) in [(10, 1), (1, 1), (0, 2)] {
        let mut fleet = Fleet::new();
        for machine_index in 0..20 {
            fleet.add_machine(SHARD_A, machine_index, 4.0, Rank::Standard, -1.0);
        }
        for machine_index in 20..22 {
            fleet.add_machine(SHARD_A, machine_index, 0.0, Rank::Standard, 500.0);
        }
        let shard = fleet.digest(SHARD_A);
        for digest in shard.machines.iter_mut().take(pinned_machines) {
            digest.non_spot_share = 0.5;
        }
        let actions = fleet.decide(at(0.0));
        let given_back = actions.iter().filter(|a| matches!(a, Action::ScaleIn(..)));
        assert_eq!(
            given_back.count(),
            expected,
            "{pinned_machines}: {actions:?}"
        );
    }
}

#[test]
fn no_machine_is_given_back_while_submissions_are_refused() {
    // Machines are idle while users' submissions are refused for lack of tokens. A
    // machine given back would be rented again a minute later.
    for (suspend_scale_in, expected) in [(false, true), (true, false)] {
        let mut fleet = Fleet::new();
        fleet.suspend_scale_in = suspend_scale_in;
        for machine_index in 0..4 {
            fleet.add_machine(SHARD_A, machine_index, 0.0, Rank::Standard, 300.0);
        }
        let gives_back = fleet.decide(at(400.0)).iter().any(|a| {
            matches!(
                a,
                Action::ScaleIn(..) | Action::Drain(..) | Action::ReleaseDead(..)
            )
        });
        assert_eq!(gives_back, expected, "suspend_scale_in: {suspend_scale_in}");
    }
}

#[test]
fn machines_unreachable_for_long_are_released_in_small_numbers() {
    // (case, unreachable machines, seconds without contact, released machines)
    let cases = [
        ("a short partition", 1, 20.0, 0),
        ("one machine stays unreachable", 1, 200.0, 1),
        (
            "a partition of unreachable machines, which heals and returns their capacity",
            20,
            200.0,
            1,
        ),
    ];
    for (name, unreachable, lost_s, expected) in cases {
        let mut fleet = Fleet::new();
        for machine_index in 0..40 {
            fleet.add_machine(SHARD_A, machine_index, 1.0, Rank::Standard, -1.0);
        }
        let digests = &mut fleet.digest(SHARD_A).machines;
        for digest in digests.iter_mut().take(unreachable) {
            digest.out_of_contact_s = lost_s;
        }
        let mut released = 0;
        for second in 0..10 {
            for action in fleet.decide(at(400.0 + f64::from(second))) {
                if let Action::ReleaseDead(machines, "unreachable") = action {
                    released += machines.len();
                }
            }
        }
        assert_eq!(released, expected, "{name}");
    }
}

#[test]
fn machines_unreported_after_a_failover_are_released_early_if_they_are_few() {
    // Of 32 machines, some have not reported since their shard's failover. Jobs
    // submitted before the failover wait for each of them, so one dead machine would
    // delay a shard by a whole lease. (worker's lease in seconds, unreported machines,
    // seconds without contact, other overdue machines, whether tasks wait, released
    // machines)
    let cases = [
        (36, 2, 13.0, 0, true, 2),
        (36, 2, 10.0, 0, true, 0),
        (36, 4, 13.0, 0, true, 4),
        // Too many, so the cause is a partition, which heals.
        (36, 5, 13.0, 0, true, 0),
        (36, 2, 13.0, 3, true, 0),
        // No job waits for them.
        (36, 2, 13.0, 0, false, 0),
        // Their leases expire soon enough.
        (20, 2, 13.0, 0, true, 0),
    ];
    for (lease_s, unreported, lost_s, overdue, tasks_wait, expected) in cases {
        let mut fleet = Fleet::new();
        fleet.config.heartbeat_interval = Duration::from_secs(6);
        fleet.config.lease = Duration::from_secs(lease_s);
        for machine_index in 0..32 {
            let shard = if machine_index % 2 == 0 {
                SHARD_A
            } else {
                SHARD_B
            };
            fleet.add_machine(shard, machine_index, 4.0, Rank::Standard, -1.0);
        }
        for (shard, count) in [(SHARD_A, unreported), (SHARD_B, overdue)] {
            let shard = fleet.digest(shard);
            for digest in shard.machines.iter_mut().take(count) {
                digest.out_of_contact_s = lost_s;
                digest.unreported = shard.shard == SHARD_A;
                digest.heartbeat_age_s = if digest.unreported { -1.0 } else { 30.0 };
            }
        }
        if tasks_wait {
            fleet.add_demand(SHARD_A, demand(1, Rank::Standard, true));
        }
        let actions = fleet.decide(at(0.0));
        let released_machines = actions.iter().map(|a| match a {
            Action::ReleaseDead(machines, _) => machines.len(),
            _ => 0,
        });
        let case = (lease_s, unreported, lost_s, overdue, tasks_wait);
        assert_eq!(
            released_machines.sum::<usize>(),
            expected,
            "{case:?}: {actions:?}"
        );
    }
}

#[test]
fn all_missing_capacity_is_rented_in_one_round_and_only_once() {
    // Tasks that wait for machines rented in an earlier round must not cause further
    // rentals, neither for themselves nor in reserve for the next service job.
    let mut fleet = Fleet::new();
    fleet.add_demand(SHARD_A, demand(400, Rank::Standard, true));
    let service = demand(4, Rank::Production, false);
    let shard = fleet.digest(SHARD_A);
    shard.reserve.push(service);
    let mut rented = 0;
    for second in 0..10 {
        let now = at(f64::from(second));
        for action in fleet.decide(now) {
            if let Action::ScaleOut(kind, count) = action {
                let machine_ids: Vec<MachineId> = (rented..rented + count as usize)
                    .map(|n| machine(1000 + n))
                    .collect();
                rented += count as usize;
                fleet
                    .history
                    .record_rented_machines(&machine_ids, &kind, now);
            }
        }
        if second == 0 {
            assert!((100..=104).contains(&rented), "{rented} in the first round");
        }
    }
    assert!((100..=104).contains(&rented), "{rented} in ten rounds");
}

#[test]
fn idle_machines_are_moved_within_their_zone_and_get_transfers_from_others() {
    // Shard A's machines are in zone b, shard B's idle one is in zone a. (zones of the
    // controllers, whether the tasks are transferable, moves, transfers)
    let homes = ["b".to_owned(), "a".to_owned()];
    let cases = [
        (&homes[..], true, 0, 1),
        (&homes[..], false, 1, 0),
        (&[], true, 1, 0),
    ];
    for (homes, transferable, moves, transfers) in cases {
        let mut fleet = Fleet::new();
        fleet.config.controller_zones = homes.to_vec();
        fleet.add_machine(SHARD_B, 1, 0.0, Rank::Idle, 5.0);
        let demand = demand(1, Rank::Standard, true);
        fleet.add_demand(
            SHARD_A,
            Demand {
                any_shard: transferable,
                ..demand
            },
        );
        let actions = fleet.decide(at(100.0));
        let moved = actions.iter().filter(|a| matches!(a, Action::Move(..)));
        let transferred = actions.iter().filter(|a| matches!(a, Action::Transfer(..)));
        assert_eq!(
            (moved.count(), transferred.count()),
            (moves, transfers),
            "{transferable}: {actions:?}"
        );
    }
}

/// Returns a fleet with the additional machine type `s1`, which is small and cheap but
/// more expensive per small task than `g4`.
fn with_small_machines() -> Fleet {
    let mut fleet = Fleet::new();
    let mut small = fleet.config.flavors["g4"].clone();
    small.label = "s1".into();
    (small.cpus, small.gpus) = (Amount(4.0), Amount(1.0));
    small.memory_gb = Amount(8.0);
    (small.price, small.spot_price) = (Amount(1.5), Amount(0.4));
    fleet.config.flavors.insert("s1".into(), small);
    fleet
}

fn rental_requests(fleet: &mut Fleet, now: MonotonicTime) -> Vec<(String, bool, u32)> {
    let rental_requests = fleet.decide(now).into_iter().filter_map(|a| match a {
        Action::ScaleOut(kind, count) => Some((kind.flavor, kind.spot, count)),
        _ => None,
    });
    let mut by_kind: BTreeMap<(String, bool), u32> = BTreeMap::new();
    for (flavor, spot, count) in rental_requests {
        *by_kind.entry((flavor, spot)).or_default() += count;
    }
    let counts_by_kind = by_kind
        .into_iter()
        .map(|((flavor, spot), count)| (flavor, spot, count));
    counts_by_kind.collect()
}

#[test]
fn small_machines_are_rented_for_small_tasks_if_large_tasks_need_the_large_ones() {
    let large = |count| Demand {
        cpus: 16.0,
        gpus: 4.0,
        memory_gb: 64.0,
        ..demand(count, Rank::Standard, true)
    };
    let small = |count| demand(count, Rank::Urgent, true);
    let rental_request = |flavor: &str, n| (flavor.to_owned(), true, n);
    // (large tasks, small tasks, rented machines)
    let cases = [
        (0, 8, vec![rental_request("g4", 2)]),
        (2, 0, vec![rental_request("g4", 2)]),
        (2, 8, vec![rental_request("g4", 2), rental_request("s1", 8)]),
    ];
    for (large_tasks, small_tasks, expected) in cases {
        let mut fleet = with_small_machines();
        if large_tasks > 0 {
            fleet.add_demand(SHARD_B, large(large_tasks));
        }
        if small_tasks > 0 {
            fleet.add_demand(SHARD_A, small(small_tasks));
        }
        assert_eq!(
            rental_requests(&mut fleet, at(0.0)),
            expected,
            "{large_tasks} large, {small_tasks} small"
        );
    }
    // Small tasks that run on a large machine get small machines once large tasks wait
    // for the large one.
    for tasks_wait in [false, true] {
        let mut fleet = with_small_machines();
        fleet.add_demand(SHARD_B, large(1));
        fleet.decide(at(0.0));
        let mut fleet = Fleet {
            history: fleet.history,
            ..with_small_machines()
        };
        fleet.add_machine(SHARD_A, 0, 4.0, Rank::Urgent, -1.0);
        let shard = fleet.digest(SHARD_A);
        shard.displaced_demand.push(small(4));
        if tasks_wait {
            fleet.history.record_refusal(&kind("a", true), at(1.0));
            fleet.history.record_refusal(&kind("b", true), at(1.0));
            fleet.add_demand(SHARD_B, large(1));
        }
        let rented = rental_requests(&mut fleet, at(1.0));
        let small_rentals = rented.iter().filter(|(flavor, ..)| flavor == "s1");
        let small_count: u32 = small_rentals.map(|(.., count)| count).sum();
        assert_eq!(small_count, if tasks_wait { 4 } else { 0 }, "{rented:?}");
    }
}

#[test]
fn short_tasks_queue_on_machines_that_are_up_instead_of_renting() {
    // Two machines with four slots each are full, and a boot takes 30 s. (seconds that
    // a task runs, waiting tasks, rented machines)
    let cases = [
        (60.0, 8, 2),
        (30.0, 8, 2),
        (15.0, 8, 0),
        (15.0, 16, 1),
        (10.0, 16, 0),
    ];
    for (work_s, waiting_tasks, expected) in cases {
        let mut fleet = Fleet::new();
        for machine_index in 0..2 {
            fleet.add_machine(SHARD_A, machine_index, 4.0, Rank::Standard, -1.0);
        }
        let mut demand = demand(waiting_tasks, Rank::Standard, true);
        demand.remaining_work_s = work_s;
        fleet.add_demand(SHARD_A, demand);
        assert_eq!(
            fleet.count_rented(at(0.0)),
            expected,
            "{work_s} {waiting_tasks}"
        );
    }
}

#[test]
fn a_large_array_is_transferred_to_all_shards_with_one_request_each() {
    // Seven shards have ten machines each, half of whose slots are in use. (tasks
    // waiting in the first shard, rented machines)
    const SHARDS: u32 = 7;
    for (tasks, expected) in [(20, 0), (100, 0), (140, 0), (148, 2)] {
        let mut fleet = Fleet::new();
        for shard in (0..SHARDS).map(ShardId) {
            let digest = ShardDigest {
                shard,
                ..ShardDigest::default()
            };
            fleet.shards.insert(shard, Arc::new(digest));
            for index_in_shard in 0..10 {
                let machine_index = shard.0 as usize * 10 + index_in_shard;
                fleet.add_machine(shard, machine_index, 2.0, Rank::Standard, -1.0);
            }
        }
        fleet.add_demand(SHARD_A, demand(tasks, Rank::Standard, true));
        let actions = fleet.decide(at(0.0));
        let (mut transferred, mut leader_requests, mut rented) = (0, 0, 0);
        for action in &actions {
            match action {
                Action::Transfer(SHARD_A, _, demand) => transferred += demand.count,
                Action::ScaleOut(_, count) => rented += count,
                // Surplus machines are drained.
                Action::Drain(..) => {}
                other => panic!("{other:?}"),
            }
            leader_requests += u32::from(matches!(action, Action::Transfer(..)));
        }
        assert_eq!(transferred, (tasks - 20).min(120), "{tasks}");
        assert!(
            leader_requests < SHARDS,
            "{tasks}: {leader_requests} requests"
        );
        assert_eq!(rented, expected, "{tasks}");
    }
}
