//! Tests of a recovering shard: its snapshot, the priority of image fetches, and the
//! delay of preemptions.

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
fn no_image_is_fetched_below_production_on_a_machine_that_fetches_for_a_service() {
    // (whether the gate is closed, fetches left in the zone, whether the array job has
    // the service's image, second, tasks of the array launched beside the replica)
    let cases = [
        (false, 0, false, 1.0, 2),
        (true, 9, false, 1.0, 0),
        (true, 9, true, 1.0, 2),
        (true, 9, false, 9.0, 2),
    ];
    for (closed, fetches_left, same_image, second, launched) in cases {
        let mut harness = ShardHarness::new(&["a"]);
        let mut service = spec(1, 1);
        (service.shape, service.rank) = (Shape::Service, Rank::Production);
        harness.submit(service, false);
        let mut array = spec(2, 2);
        if !same_image {
            array.image = "other".into();
        }
        harness.submit(array, false);
        harness.state.fetch_gate = closed.then(|| FetchGate {
            ends_at: at(5.0),
            remaining_by_zone: BTreeMap::from([("a".to_owned(), fetches_left)]),
        });
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        let commands = launches(&harness.heartbeat_and_answer(&heartbeat, second));
        let launched_of = |job_number| {
            commands
                .iter()
                .filter(|(t, _)| t.job == task(job_number, 0).job)
                .count()
        };
        assert_eq!(launched_of(1), 1, "the replica is launched at once");
        assert_eq!(
            launched_of(2),
            launched,
            "{closed} {fetches_left} {same_image} {second}"
        );
    }
}

#[test]
fn preemption_waits_for_machines_that_are_about_to_return() {
    // (whether preemption is delayed, seconds from the first heartbeat to the plan,
    // whether machine 1 has free resources, seconds without any heartbeat before,
    // whether a task of the array job is stopped)
    let cases: [(bool, f64, bool, f64, bool); 5] = [
        (false, 0.5, true, 9.0, true),
        (true, 0.5, true, 9.0, false),
        (true, 0.5, false, 9.0, true),
        (true, 3.6, true, 9.0, true),
        (true, 0.5, true, 1.0, true),
    ];
    for (delayed, plan_delay_s, has_free_resources, silence_s, stopped) in cases {
        let mut harness = ShardHarness::new(&["a", "a"]);
        harness.state.resumption.delays_preemption = delayed;
        let tasks = if has_free_resources { 4 } else { 8 };
        harness.submit(spec(1, tasks), false);
        let mut listed = Vec::new();
        for index in 0..2 {
            let heartbeat = harness.heartbeat(index, 1, vec![]);
            let commands = launches(&harness.heartbeat_and_answer(&heartbeat, 0.0));
            let running = commands
                .iter()
                .map(|(t, a)| status(t, *a, TaskState::Running));
            listed.push(running.collect::<Vec<_>>());
        }
        for step in 1..=5 {
            let again = harness.heartbeat(0, 1 + step, listed[0].clone());
            harness.heartbeat_and_answer(&again, step as f64);
        }
        let mut service = spec(2, 1);
        (service.shape, service.rank) = (Shape::Service, Rank::Production);
        harness.submit(service, false);
        // Machine 0 sends two heartbeats before machine 1 sends any.
        let first = harness.heartbeat(0, 7, listed[0].clone());
        harness.heartbeat_and_answer(&first, 5.0 + silence_s);
        let mut stops = 0;
        for step in 1..=plan_delay_s.ceil() as u64 {
            harness.state.invalidate_plan();
            let next = harness.heartbeat(0, 7 + step, listed[0].clone());
            let commands = harness
                .heartbeat_and_answer(&next, 5.0 + silence_s + plan_delay_s.min(step as f64));
            let stopped_tasks = commands
                .iter()
                .filter(|command| matches!(command, Command::Stop { .. }));
            stops += stopped_tasks.count();
        }
        assert_eq!(
            stops > 0,
            stopped,
            "{delayed} {plan_delay_s} {has_free_resources} {silence_s}"
        );
    }
}

#[test]
fn image_fetches_below_production_are_bounded_by_zone() {
    // (image size in GB, fetches left, tasks launched on four machines)
    for (image_gb, fetches_left, launched) in [(5.0, 0, 0), (5.0, 1, 4), (5.0, 3, 12), (0.0, 0, 16)]
    {
        let mut harness = ShardHarness::new(&["a", "a", "a", "a"]);
        let mut array = spec(1, 16);
        array.image_gb = Amount(image_gb);
        harness.submit(array, false);
        harness.state.fetch_gate = Some(FetchGate {
            ends_at: at(5.0),
            remaining_by_zone: BTreeMap::from([("a".to_owned(), fetches_left)]),
        });
        let mut launched_tasks = 0;
        for index in 0..4 {
            let heartbeat = harness.heartbeat(index, 1, vec![]);
            launched_tasks += launches(&harness.heartbeat_and_answer(&heartbeat, 1.0)).len();
        }
        // Tasks with the same image share its fetch.
        assert_eq!(launched_tasks, launched, "{image_gb} {fetches_left}");
    }
}
