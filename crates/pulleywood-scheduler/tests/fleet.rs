//! Fleet decisions: machines rented, moved, emptied and released; tasks transferred.

mod common;

use common::*;
use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::cloud::{Rental, RentalStatus};
use pulleywood_protocol::peer::{Demand, MachineDigest, ShardDigest};
use pulleywood_protocol::record::MachineRecord;
use pulleywood_protocol::{FencingToken, MachineId, MonotonicTime, Rank, ShardId};
use pulleywood_scheduler::fleet::{Action, FleetHistory, FleetSnapshot, Kind, decide};
use pulleywood_scheduler::{Config, ResourceVector};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const A: ShardId = ShardId(0);
const B: ShardId = ShardId(1);

fn demand(count: u32, rank: Rank, spot: bool) -> Demand {
    Demand {
        cpus: 4.0,
        gpus: 1.0,
        memory_gb: 8.0,
        types: None,
        zones: vec![],
        spot,
        rank,
        work_s: 60.0,
        count,
        free: true,
    }
}

/// A fleet of two shards as the coordinator sees it.
struct Fleet {
    config: Config,
    history: FleetHistory,
    records: BTreeMap<MachineId, MachineRecord>,
    shards: BTreeMap<ShardId, Arc<ShardDigest>>,
    list: Option<Vec<Rental>>,
    hold: bool,
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
            shards: BTreeMap::from([(A, shard(A)), (B, shard(B))]),
            list: None,
            hold: false,
        }
    }

    /// What a shard tells the coordinator.
    fn digest(&mut self, shard: ShardId) -> &mut ShardDigest {
        Arc::make_mut(self.shards.get_mut(&shard).unwrap())
    }

    fn needs(&mut self, shard: ShardId, demand: Demand) {
        self.digest(shard).demand.push(demand);
    }

    /// A machine of four GPUs, of which tasks of `rank` hold some.
    fn machine(&mut self, shard: ShardId, n: usize, held: f64, rank: Rank, idle_s: f64) {
        let record = MachineRecord {
            fencing_token: FencingToken(1),
            ..machine_record(shard)
        };
        self.records.insert(machine(n), record);
        let free = ResourceVector {
            cpus: 16.0 - 4.0 * held,
            gpus: 4.0 - held,
            memory_gb: 64.0 - 8.0 * held,
        };
        let digest = MachineDigest {
            machine: machine(n),
            cpus: free.cpus,
            gpus: free.gpus,
            memory_gb: free.memory_gb,
            idle_s,
            heartbeat_age_s: 0.5,
            lost_s: 0.5,
            unreported: false,
            quarantined: false,
            pinned: 0.0,
            held: vec![(rank, 4.0 * held, held, 8.0 * held)],
        };
        self.digest(shard).machines.push(digest);
    }

    fn decide(&mut self, now: MonotonicTime) -> Vec<Action> {
        let seen = FleetSnapshot {
            now,
            records: &self.records,
            shards: &self.shards,
            list: self.list.as_deref(),
            hold: self.hold,
        };
        decide(&self.config, &mut self.history, &seen)
    }

    fn rented(&mut self, now: MonotonicTime) -> u32 {
        let rental_requests = self.decide(now).into_iter().map(|a| match a {
            Action::ScaleOut(_, count) => count,
            _ => 0,
        });
        rental_requests.sum()
    }
}

fn kind(zone: &str, spot: bool) -> Kind {
    Kind {
        flavor: "g4".into(),
        zone: zone.into(),
        spot,
    }
}

fn rental(n: usize, status: RentalStatus, age_s: f64) -> Rental {
    Rental {
        machine: machine(n),
        endpoint: None,
        flavor: "g4".into(),
        zone: "a".into(),
        spot: false,
        status,
        age_s: Amount(age_s),
    }
}

#[test]
fn the_cheapest_machines_are_rented_for_what_does_not_fit() {
    // (tasks, may use spot, machines, spot ones)
    let cases = [(1, true, 1, true), (4, false, 1, false), (9, true, 3, true)];
    for (tasks, spot, machines, on_spot) in cases {
        let mut fleet = Fleet::new();
        fleet.needs(A, demand(tasks, Rank::Standard, spot));
        let rental_requests: Vec<_> = fleet
            .decide(at(0.0))
            .into_iter()
            .filter_map(|a| match a {
                Action::ScaleOut(kind, n) => Some((kind.spot, n)),
                _ => None,
            })
            .collect();
        assert!(
            rental_requests.iter().all(|(s, _)| *s == on_spot),
            "{rental_requests:?}"
        );
        assert_eq!(
            rental_requests.iter().map(|(_, n)| n).sum::<u32>(),
            machines
        );
    }
}

#[test]
fn refused_kinds_are_backed_off() {
    let mut fleet = Fleet::new();
    fleet.needs(A, demand(4, Rank::Production, false));
    for zone in ["a", "b"] {
        fleet.history.refused(&kind(zone, false), at(0.0));
    }
    for (s, rented) in [(1.0, 0), (4.9, 0), (5.0, 1)] {
        assert_eq!(fleet.rented(at(s)), rented, "{s}");
    }
}

#[test]
fn ordinary_machines_are_rented_for_spot_work_only_when_much_of_it_waits() {
    // One machine of four slots runs; two boot times of work are 4 * 60 s.
    for (tasks, rental_requests) in [(3, false), (40, true)] {
        let mut fleet = Fleet::new();
        fleet.config.policy.overflow = 2.0;
        fleet.machine(A, 0, 4.0, Rank::Standard, -1.0);
        fleet.needs(A, demand(tasks, Rank::Standard, true));
        for zone in ["a", "b"] {
            fleet.history.refused(&kind(zone, true), at(0.0));
        }
        assert_eq!(fleet.rented(at(1.0)) > 0, rental_requests, "{tasks}");
    }
}

#[test]
fn idle_machines_are_moved_and_tasks_transferred_to_other_shards() {
    type Want = fn(&Action) -> bool;
    type Case = (&'static str, f64, f64, Rank, Rank, Option<Want>);
    let cases: [Case; 4] = [
        (
            "an idle machine is moved",
            0.0,
            30.0,
            Rank::Standard,
            Rank::Standard,
            Some(|a| matches!(a, Action::Move(_, B, A))),
        ),
        (
            "tasks are transferred to a busy one",
            2.0,
            -1.0,
            Rank::Standard,
            Rank::Standard,
            Some(|a| matches!(a, Action::Transfer(A, B, d) if d.count == 1)),
        ),
        (
            "lower ranks yield",
            4.0,
            -1.0,
            Rank::Idle,
            Rank::Production,
            Some(|a| matches!(a, Action::Transfer(A, B, d) if d.count == 1)),
        ),
        (
            "equal ranks do not",
            4.0,
            -1.0,
            Rank::Production,
            Rank::Production,
            None,
        ),
    ];
    for (name, held, idle_s, there, rank, want) in cases {
        let mut fleet = Fleet::new();
        fleet.machine(B, 0, held, there, idle_s);
        fleet.needs(A, demand(1, rank, false));
        let actions = fleet.decide(at(0.0));
        let rental_requests = actions.iter().any(|a| matches!(a, Action::ScaleOut(..)));
        match want {
            Some(want) => assert!(
                actions.iter().any(want) && !rental_requests,
                "{name}: {actions:?}"
            ),
            None => assert!(rental_requests, "{name}: {actions:?}"),
        }
    }
}

#[test]
fn booting_machines_count_only_after_those_that_are_up() {
    // Replicas don't wait for a boot, or for a machine that may never come, while lower
    // ranks can be preempted in another shard.
    let mut fleet = Fleet::new();
    fleet
        .history
        .rented(&[machine(9)], &kind("a", false), at(0.0));
    fleet.machine(B, 0, 4.0, Rank::Idle, -1.0);
    fleet.needs(A, demand(1, Rank::Production, false));
    let actions = fleet.decide(at(1.0));
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::Transfer(A, B, _))),
        "{actions:?}"
    );
    // They count as capacity all the same, until they are late.
    let mut fleet = Fleet::new();
    fleet
        .history
        .rented(&[machine(9)], &kind("a", false), at(0.0));
    fleet.needs(A, demand(4, Rank::Production, false));
    for (s, rented) in [(1.0, 0), (50.0, 0), (52.0, 1)] {
        assert_eq!(fleet.rented(at(s)), rented, "{s}");
    }
}

#[test]
fn listed_machines_are_released_only_when_surely_dead() {
    let cases = [
        ("booting", RentalStatus::Starting, 40.0, false),
        ("never came up", RentalStatus::Starting, 160.0, true),
        ("failed", RentalStatus::Failed, 10.0, true),
        ("running, nobody's yet", RentalStatus::Running, 500.0, false),
    ];
    for (name, status, age, released) in cases {
        let mut fleet = Fleet::new();
        fleet.list = Some(vec![rental(0, status, age)]);
        let actions = fleet.decide(at(0.0));
        let release = actions.iter().any(|a| matches!(a, Action::ReleaseDead(..)));
        assert_eq!(release, released, "{name}");
    }
    // A machine that sends heartbeats stays, even if the list lacks it.
    let mut fleet = Fleet::new();
    fleet.machine(A, 0, 1.0, Rank::Standard, -1.0);
    fleet.list = Some(vec![]);
    for s in [0.0, 60.0, 600.0] {
        let actions = fleet.decide(at(s));
        assert!(!actions.iter().any(|a| matches!(a, Action::ReleaseDead(..))));
    }
}

#[test]
fn idle_machines_are_given_back_except_those_reserved_for_services() {
    for (reserve, scaled_in) in [(None, 2), (Some(2), 1)] {
        let mut fleet = Fleet::new();
        fleet.machine(A, 0, 0.0, Rank::Standard, 500.0);
        fleet.machine(B, 1, 0.0, Rank::Standard, 500.0);
        if let Some(count) = reserve {
            let shard = fleet.digest(A);
            shard.reserve.push(demand(count, Rank::Production, false));
        }
        let actions = fleet.decide(at(0.0));
        let n = actions
            .iter()
            .filter(|a| matches!(a, Action::ScaleIn(..)))
            .count();
        assert_eq!(n, scaled_in, "{reserve:?}: {actions:?}");
    }
}

#[test]
fn idle_spot_machines_drain_ordinary_ones_of_their_own_type_only() {
    // Two ordinary machines in use, four idle spot ones. Those of a small type, which
    // the work does not fit, are no reason to empty the large ones.
    for (flavor, emptied) in [("g4", 2), ("s1", 0)] {
        let mut fleet = with_small_machines();
        for n in 0..2 {
            fleet.machine(A, n, 4.0, Rank::Standard, -1.0);
        }
        for n in 2..6 {
            fleet.machine(A, n, 0.0, Rank::Standard, 1.0);
            let record = fleet.records.get_mut(&machine(n)).unwrap();
            record.flavor = flavor.into();
            record.spot = true;
        }
        let actions = fleet.decide(at(0.0));
        let drained = actions.iter().map(|a| match a {
            Action::Drain(_, machines) => machines.len(),
            _ => 0,
        });
        assert_eq!(drained.sum::<usize>(), emptied, "{flavor}: {actions:?}");
    }
}

#[test]
fn ordinary_headroom_is_kept_only_if_some_work_is_bound_to_ordinary_machines() {
    // Twenty ordinary machines in use and two idle ones, at a headroom of a tenth. Where
    // services are bound to some, all in use count: their replicas go to any of them
    // when a machine is lost. (Machines with bound work, given back)
    for (bound, returned) in [(10, 1), (1, 1), (0, 2)] {
        let mut fleet = Fleet::new();
        for n in 0..20 {
            fleet.machine(A, n, 4.0, Rank::Standard, -1.0);
        }
        for n in 20..22 {
            fleet.machine(A, n, 0.0, Rank::Standard, 500.0);
        }
        let shard = fleet.digest(A);
        for digest in shard.machines.iter_mut().take(bound) {
            digest.pinned = 0.5;
        }
        let actions = fleet.decide(at(0.0));
        let given_back = actions.iter().filter(|a| matches!(a, Action::ScaleIn(..)));
        assert_eq!(given_back.count(), returned, "{bound}: {actions:?}");
    }
}

#[test]
fn nothing_is_given_back_while_users_wait_to_submit() {
    // Machines idle while users are refused for want of tokens: what is given back
    // would be rented again a minute later.
    for (hold, expected) in [(false, true), (true, false)] {
        let mut fleet = Fleet::new();
        fleet.hold = hold;
        for n in 0..4 {
            fleet.machine(A, n, 0.0, Rank::Standard, 300.0);
        }
        let given = fleet.decide(at(400.0)).iter().any(|a| {
            matches!(
                a,
                Action::ScaleIn(..) | Action::Drain(..) | Action::ReleaseDead(..)
            )
        });
        assert_eq!(given, expected, "hold: {hold}");
    }
}

#[test]
fn machines_out_of_touch_for_long_are_released_a_few_at_a_time() {
    // (case, machines out of touch, seconds, machines released)
    let cases = [
        ("a short partition", 1, 20.0, 0),
        ("one stays so", 1, 200.0, 1),
        (
            "a partition of many heals, and their capacity is needed then",
            20,
            200.0,
            1,
        ),
    ];
    for (name, many, lost_s, expected) in cases {
        let mut fleet = Fleet::new();
        for n in 0..40 {
            fleet.machine(A, n, 1.0, Rank::Standard, -1.0);
        }
        let digests = &mut fleet.digest(A).machines;
        for m in digests.iter_mut().take(many) {
            m.lost_s = lost_s;
        }
        let mut released = 0;
        for s in 0..10 {
            for action in fleet.decide(at(400.0 + f64::from(s))) {
                if let Action::ReleaseDead(machines, "out of touch") = action {
                    released += machines.len();
                }
            }
        }
        assert_eq!(released, expected, "{name}");
    }
}

#[test]
fn machines_unreported_after_a_failover_are_released_early_if_they_are_few() {
    // Of 32 machines some have not reported since their shard's failover. Jobs from
    // before wait for each of them: one dead machine would hold up a shard for a lease.
    // (the worker's lease, unreported, for how long, others overdue, tasks wait,
    // released)
    let cases = [
        (36, 2, 13.0, 0, true, 2),
        (36, 2, 10.0, 0, true, 0),
        (36, 4, 13.0, 0, true, 4),
        // Too many: a partition, which heals.
        (36, 5, 13.0, 0, true, 0),
        (36, 2, 13.0, 3, true, 0),
        // Nothing waits for them.
        (36, 2, 13.0, 0, false, 0),
        // Their leases expire soon enough.
        (20, 2, 13.0, 0, true, 0),
    ];
    for (lease_s, unreported, lost_s, overdue, waits, released) in cases {
        let mut fleet = Fleet::new();
        fleet.config.heartbeat_interval = Duration::from_secs(6);
        fleet.config.lease = Duration::from_secs(lease_s);
        for n in 0..32 {
            let shard = if n % 2 == 0 { A } else { B };
            fleet.machine(shard, n, 4.0, Rank::Standard, -1.0);
        }
        for (shard, count) in [(A, unreported), (B, overdue)] {
            let shard = fleet.digest(shard);
            for m in shard.machines.iter_mut().take(count) {
                m.lost_s = lost_s;
                m.unreported = shard.shard == A;
                m.heartbeat_age_s = if m.unreported { -1.0 } else { 30.0 };
            }
        }
        if waits {
            fleet.needs(A, demand(1, Rank::Standard, true));
        }
        let actions = fleet.decide(at(0.0));
        let given_up = actions.iter().map(|a| match a {
            Action::ReleaseDead(machines, _) => machines.len(),
            _ => 0,
        });
        let case = (lease_s, unreported, lost_s, overdue, waits);
        assert_eq!(given_up.sum::<usize>(), released, "{case:?}: {actions:?}");
    }
}

#[test]
fn all_missing_capacity_is_rented_in_one_round_and_only_once() {
    // Work that waits for the rented machines is no reason to rent more in the next
    // round, neither for itself nor in reserve for the next service job.
    let mut fleet = Fleet::new();
    fleet.needs(A, demand(400, Rank::Standard, true));
    let service = demand(4, Rank::Production, false);
    let shard = fleet.digest(A);
    shard.reserve.push(service);
    let mut rented = 0;
    for s in 0..10 {
        let now = at(f64::from(s));
        for action in fleet.decide(now) {
            if let Action::ScaleOut(kind, count) = action {
                let names: Vec<MachineId> = (rented..rented + count as usize)
                    .map(|n| machine(1000 + n))
                    .collect();
                rented += count as usize;
                fleet.history.rented(&names, &kind, now);
            }
        }
        if s == 0 {
            assert!((100..=104).contains(&rented), "{rented} in the first round");
        }
    }
    assert!((100..=104).contains(&rented), "{rented} in ten rounds");
}

#[test]
fn idle_machines_are_moved_within_their_zone_and_get_transfers_from_others() {
    // Shard A's machines are in zone b, shard B's idle one is in zone a.
    // (zones of the controllers, tasks may be transferred, moves, transfers)
    let homes = ["b".to_owned(), "a".to_owned()];
    let cases = [
        (&homes[..], true, 0, 1),
        (&homes[..], false, 1, 0),
        (&[], true, 1, 0),
    ];
    for (homes, free, moves, transfers) in cases {
        let mut fleet = Fleet::new();
        fleet.config.controller_zones = homes.to_vec();
        fleet.machine(B, 1, 0.0, Rank::Idle, 5.0);
        let demand = demand(1, Rank::Standard, true);
        fleet.needs(A, Demand { free, ..demand });
        let actions = fleet.decide(at(100.0));
        let moved = actions.iter().filter(|a| matches!(a, Action::Move(..)));
        let transferred = actions.iter().filter(|a| matches!(a, Action::Transfer(..)));
        assert_eq!(
            (moved.count(), transferred.count()),
            (moves, transfers),
            "{free}: {actions:?}"
        );
    }
}

/// A second type, small and cheap, but dearer for a small task.
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
        Action::ScaleOut(kind, n) => Some((kind.flavor, kind.spot, n)),
        _ => None,
    });
    let mut by_kind: BTreeMap<(String, bool), u32> = BTreeMap::new();
    for (flavor, spot, n) in rental_requests {
        *by_kind.entry((flavor, spot)).or_default() += n;
    }
    let flat = by_kind.into_iter().map(|((f, s), n)| (f, s, n));
    flat.collect()
}

#[test]
fn small_machines_are_rented_for_small_tasks_while_large_tasks_need_the_large_ones() {
    let large = |count| Demand {
        cpus: 16.0,
        gpus: 4.0,
        memory_gb: 64.0,
        ..demand(count, Rank::Standard, true)
    };
    let small = |count| demand(count, Rank::Urgent, true);
    let rental_request = |flavor: &str, n| (flavor.to_owned(), true, n);
    // (large, small tasks; what is rented)
    let cases = [
        (0, 8, vec![rental_request("g4", 2)]),
        (2, 0, vec![rental_request("g4", 2)]),
        (2, 8, vec![rental_request("g4", 2), rental_request("s1", 8)]),
    ];
    for (n, m, expected) in cases {
        let mut fleet = with_small_machines();
        if n > 0 {
            fleet.needs(B, large(n));
        }
        if m > 0 {
            fleet.needs(A, small(m));
        }
        assert_eq!(rental_requests(&mut fleet, at(0.0)), expected, "{n} {m}");
    }
    // Small tasks that hold a large machine get small ones once large ones wait for it.
    for waits in [false, true] {
        let mut fleet = with_small_machines();
        fleet.needs(B, large(1));
        fleet.decide(at(0.0));
        let mut fleet = Fleet {
            history: fleet.history,
            ..with_small_machines()
        };
        fleet.machine(A, 0, 4.0, Rank::Urgent, -1.0);
        let shard = fleet.digest(A);
        shard.displaced.push(small(4));
        if waits {
            fleet.history.refused(&kind("a", true), at(1.0));
            fleet.history.refused(&kind("b", true), at(1.0));
            fleet.needs(B, large(1));
        }
        let rented = rental_requests(&mut fleet, at(1.0));
        let of_small = rented.iter().filter(|(f, ..)| f == "s1");
        let n: u32 = of_small.map(|(.., n)| n).sum();
        assert_eq!(n, if waits { 4 } else { 0 }, "{rented:?}");
    }
}

#[test]
fn short_tasks_queue_on_machines_that_are_up_instead_of_renting() {
    // Two machines of four slots, full; a boot takes 30 s. (Seconds a task runs,
    // waiting, machines rented)
    let cases = [
        (60.0, 8, 2),
        (30.0, 8, 2),
        (15.0, 8, 0),
        (15.0, 16, 1),
        (10.0, 16, 0),
    ];
    for (work_s, waiting, expected) in cases {
        let mut fleet = Fleet::new();
        for n in 0..2 {
            fleet.machine(A, n, 4.0, Rank::Standard, -1.0);
        }
        let mut demand = demand(waiting, Rank::Standard, true);
        demand.work_s = work_s;
        fleet.needs(A, demand);
        assert_eq!(fleet.rented(at(0.0)), expected, "{work_s} {waiting}");
    }
}

#[test]
fn a_large_array_is_transferred_to_all_shards_with_one_request_each() {
    // Seven shards with ten machines each, half of each of them in use. (Tasks in the
    // first shard, machines rented)
    const SHARDS: u32 = 7;
    for (tasks, expected) in [(20, 0), (100, 0), (140, 0), (148, 2)] {
        let mut fleet = Fleet::new();
        for shard in (0..SHARDS).map(ShardId) {
            let digest = ShardDigest {
                shard,
                ..ShardDigest::default()
            };
            fleet.shards.insert(shard, Arc::new(digest));
            for n in 0..10 {
                let n = shard.0 as usize * 10 + n;
                fleet.machine(shard, n, 2.0, Rank::Standard, -1.0);
            }
        }
        fleet.needs(A, demand(tasks, Rank::Standard, true));
        let actions = fleet.decide(at(0.0));
        let (mut transferred, mut leader_requests, mut rented) = (0, 0, 0);
        for action in &actions {
            match action {
                Action::Transfer(A, _, like) => transferred += like.count,
                Action::ScaleOut(_, n) => rented += n,
                // What is beyond the need falls idle.
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
