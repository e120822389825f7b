//! A shard that recovers: its snapshot, whose images are fetched first, and when tasks
//! are preempted.

mod common;

use common::{ShardHarness, at, launches, spec, status, task};
use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::worker::{Command, TaskState};
use pulleywood_protocol::{Attempt, Rank, Shape};
use pulleywood_scheduler::shard::fetch_gate::FetchGate;
use std::collections::BTreeMap;

#[test]
fn the_snapshot_follows_heartbeats_after_failover() {
    let mut harness = ShardHarness::after_failover(&["a", "b"], at(60.0));
    harness.submit(spec(1, 3), true);
    let mut service = spec(2, 2);
    service.shape = Shape::Service;
    harness.submit(service, true);
    let first = harness.state.snapshot(&harness.config);
    assert_eq!(
        (first.machines, first.confirmed, first.unreported),
        (2, 0, 2)
    );
    assert_eq!((first.inherited_waiting, first.inherited_blocked), (5, 5));
    assert_eq!(first.waiting_replicas, 2);
    assert_eq!(first.zones.len(), 2);
    let running = status(&task(1, 0), Attempt(7), TaskState::Running);
    let heartbeat = harness.heartbeat(0, 1, vec![running]);
    harness.take_heartbeat(&heartbeat, 1.0);
    let second = harness.state.snapshot(&harness.config);
    assert_eq!(
        (second.confirmed, second.unreported, second.running),
        (1, 1, 1)
    );
    assert_eq!((second.inherited_waiting, second.inherited_blocked), (4, 4));
    let heartbeat = harness.heartbeat(1, 1, vec![]);
    harness.take_heartbeat(&heartbeat, 1.0);
    let third = harness.state.snapshot(&harness.config);
    assert_eq!((third.unreported, third.inherited_blocked), (0, 0));
    assert_eq!(third.inherited_waiting, 4);
}

#[test]
fn no_image_is_fetched_below_production_where_a_service_fetches_its_own() {
    // (the gate is shut, fetches left in the zone, the array's image is the
    // service's, seconds, tasks of the array launched beside the replica)
    let cases = [
        (false, 0, false, 1.0, 2),
        (true, 9, false, 1.0, 0),
        (true, 9, true, 1.0, 2),
        (true, 9, false, 9.0, 2),
    ];
    for (shut, left, same, s, launched) in cases {
        let mut harness = ShardHarness::new(&["a"]);
        let mut service = spec(1, 1);
        (service.shape, service.rank) = (Shape::Service, Rank::Production);
        harness.submit(service, false);
        let mut array = spec(2, 2);
        if !same {
            array.image = "other".into();
        }
        harness.submit(array, false);
        harness.state.fetch_gate = shut.then(|| FetchGate {
            ends_at: at(5.0),
            remaining_by_zone: BTreeMap::from([("a".to_owned(), left)]),
        });
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        let commands = launches(&harness.heartbeat_and_answer(&heartbeat, s));
        let of = |n| {
            commands
                .iter()
                .filter(|(t, _)| t.job == task(n, 0).job)
                .count()
        };
        assert_eq!(of(1), 1, "the replica is launched at once");
        assert_eq!(of(2), launched, "{shut} {left} {same} {s}");
    }
}

#[test]
fn preemption_waits_for_machines_that_are_about_to_return() {
    // (preemption waits, seconds from the first heartbeat to the plan, machine 1 has free
    // resources, seconds without any heartbeat before; a task of the array is stopped)
    let cases: [(bool, f64, bool, f64, bool); 5] = [
        (false, 0.5, true, 9.0, true),
        (true, 0.5, true, 9.0, false),
        (true, 0.5, false, 9.0, true),
        (true, 3.6, true, 9.0, true),
        (true, 0.5, true, 1.0, true),
    ];
    for (waits, s, room, silence, stopped) in cases {
        let mut harness = ShardHarness::new(&["a", "a"]);
        harness.state.resumption.delays_preemption = waits;
        let tasks = if room { 4 } else { 8 };
        harness.submit(spec(1, tasks), false);
        let mut shown = Vec::new();
        for m in 0..2 {
            let heartbeat = harness.heartbeat(m, 1, vec![]);
            let commands = launches(&harness.heartbeat_and_answer(&heartbeat, 0.0));
            let running = commands
                .iter()
                .map(|(t, a)| status(t, *a, TaskState::Running));
            shown.push(running.collect::<Vec<_>>());
        }
        for n in 1..=5 {
            let again = harness.heartbeat(0, 1 + n, shown[0].clone());
            harness.heartbeat_and_answer(&again, n as f64);
        }
        let mut service = spec(2, 1);
        (service.shape, service.rank) = (Shape::Service, Rank::Production);
        harness.submit(service, false);
        // Machine 0 is heard first, twice; machine 1 not yet.
        let first = harness.heartbeat(0, 7, shown[0].clone());
        harness.heartbeat_and_answer(&first, 5.0 + silence);
        let mut stops = 0;
        for n in 1..=s.ceil() as u64 {
            harness.state.invalidate_plan();
            let next = harness.heartbeat(0, 7 + n, shown[0].clone());
            let commands = harness.heartbeat_and_answer(&next, 5.0 + silence + s.min(n as f64));
            let stopped_tasks = commands
                .iter()
                .filter(|o| matches!(o, Command::Stop { .. }));
            stops += stopped_tasks.count();
        }
        assert_eq!(stops > 0, stopped, "{waits} {s} {room} {silence}");
    }
}

#[test]
fn image_fetches_below_production_are_bounded_by_zone() {
    // (image of so many GB, fetches left, tasks launched on four machines)
    for (gb, left, launched) in [(5.0, 0, 0), (5.0, 1, 4), (5.0, 3, 12), (0.0, 0, 16)] {
        let mut harness = ShardHarness::new(&["a", "a", "a", "a"]);
        let mut array = spec(1, 16);
        array.image_gb = Amount(gb);
        harness.submit(array, false);
        harness.state.fetch_gate = Some(FetchGate {
            ends_at: at(5.0),
            remaining_by_zone: BTreeMap::from([("a".to_owned(), left)]),
        });
        let mut all = 0;
        for m in 0..4 {
            let heartbeat = harness.heartbeat(m, 1, vec![]);
            all += launches(&harness.heartbeat_and_answer(&heartbeat, 1.0)).len();
        }
        // Tasks of one image share its fetch.
        assert_eq!(all, launched, "{gb} {left}");
    }
}
