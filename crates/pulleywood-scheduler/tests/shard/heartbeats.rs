//! Tests of heartbeat acceptance, inbound partitions and lease expiry.

use crate::common::*;
use pulleywood_protocol::FencingToken;
use pulleywood_protocol::worker::TaskState;
use pulleywood_scheduler::shard::HeartbeatOutcome;

#[test]
fn tasks_of_a_silent_machine_wait_until_its_lease_has_expired() {
    for (second, waiting) in [(5.0, false), (11.0, false), (11.5, true)] {
        let mut harness = ShardHarness::new(&["a"]);
        harness.submit(spec(1, 1), false);
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        assert_eq!(
            launches(&harness.heartbeat_and_answer(&heartbeat, 1.0)).len(),
            1
        );
        harness.state.tick(at(second), &harness.config);
        let job = &harness.state.jobs[&task(1, 0).job];
        assert_eq!(!job.waiting.is_empty(), waiting, "{second}");
    }
}

#[test]
fn heartbeats_that_are_not_newer_than_the_last_one_are_stale() {
    let mut harness = ShardHarness::new(&["a"]);
    let cases = [
        ((1, 5), HeartbeatOutcome::Accepted),
        ((1, 5), HeartbeatOutcome::Stale),
        ((1, 4), HeartbeatOutcome::Stale),
        ((2, 1), HeartbeatOutcome::Accepted),
        ((1, 9), HeartbeatOutcome::Stale),
    ];
    for ((incarnation, seq), expected) in cases {
        let mut heartbeat = harness.heartbeat(0, seq, vec![]);
        heartbeat.incarnation = incarnation;
        let outcome = harness.take_heartbeat(&heartbeat, 1.0);
        assert_eq!(outcome, expected, "{incarnation}/{seq}");
    }
}

#[test]
fn an_inbound_partitioned_machine_gets_no_launches_until_a_response_arrives() {
    // (what the next heartbeat shows, its incarnation and sequence number, tasks
    // launched in the response to it)
    let cases = [
        ("the worker received the response", 1, 2, 1),
        ("the worker tried other controllers in between", 1, 5, 0),
        ("the worker's lease expired in between", 2, 2, 0),
    ];
    for (name, incarnation, seq, expected) in cases {
        let mut harness = ShardHarness::new(&["a"]);
        let first = harness.heartbeat(0, 1, vec![]);
        harness.heartbeat_and_answer(&first, 1.0);
        harness.submit(spec(1, 1), false);
        let mut next = harness.heartbeat(0, seq, vec![]);
        next.incarnation = incarnation;
        assert_eq!(
            launches(&harness.heartbeat_and_answer(&next, 2.0)).len(),
            expected,
            "{name}"
        );
        if expected == 0 {
            // Launches resume once the worker has received a response.
            let mut following = harness.heartbeat(0, seq + 1, vec![]);
            following.incarnation = incarnation;
            assert_eq!(
                launches(&harness.heartbeat_and_answer(&following, 3.0)).len(),
                1,
                "{name}"
            );
        }
    }
}

#[test]
fn an_inbound_partitioned_machine_offers_no_resources_and_its_tasks_move_once_ended() {
    let mut harness = ShardHarness::new(&["a", "a"]);
    let idle = harness.heartbeat(0, 1, vec![]);
    harness.heartbeat_and_answer(&idle, 0.5);
    harness.submit(spec(1, 1), false);
    // The launch is lost with its response. The worker tries other controllers, and its
    // lease expires meanwhile.
    let second = harness.heartbeat(0, 2, vec![]);
    assert_eq!(
        launches(&harness.heartbeat_and_answer(&second, 1.0)).len(),
        1
    );
    let free =
        |harness: &ShardHarness, s| harness.state.digest(at(s), &harness.config).machines[0].gpus;
    let other = harness.heartbeat(1, 1, vec![]);
    assert!(
        launches(&harness.heartbeat_and_answer(&other, 6.0)).is_empty(),
        "the task may still be running"
    );
    let third = harness.heartbeat(0, 5, vec![]);
    assert!(launches(&harness.heartbeat_and_answer(&third, 8.0)).is_empty());
    let mut fourth = harness.heartbeat(0, 9, vec![]);
    fourth.incarnation = 2;
    assert!(launches(&harness.heartbeat_and_answer(&fourth, 14.0)).is_empty());
    assert_eq!(
        free(&harness, 14.0),
        0.0,
        "partitioned for longer than one lost response explains"
    );
    let other = harness.heartbeat(1, 2, vec![]);
    assert_eq!(
        launches(&harness.heartbeat_and_answer(&other, 15.5)).len(),
        1
    );
    let digest = harness.state.digest(at(15.5), &harness.config);
    assert!(digest.machines[0].out_of_contact_s > 12.0);
}

#[test]
fn a_heartbeat_under_a_newer_fencing_token_is_superseded_and_not_answered() {
    let mut harness = ShardHarness::new(&["a"]);
    harness.submit(spec(1, 1), false);
    let newer = harness.heartbeat_under(0, 1, FencingToken(6), vec![]);
    let outcome = harness.take_heartbeat(&newer, 1.0);
    assert_eq!(outcome, HeartbeatOutcome::Superseded);
    assert_eq!(harness.state.machines[&machine(0)].last_response_at, None);
}

#[test]
fn delayed_duplicates_of_heartbeats_neither_free_tasks_nor_extend_the_lease() {
    let mut harness = ShardHarness::new(&["a", "a"]);
    harness.submit(spec(1, 1), false);
    let first = harness.heartbeat(0, 1, vec![]);
    let (task, attempt) = launches(&harness.heartbeat_and_answer(&first, 1.0))[0].clone();
    let running = harness.heartbeat(0, 2, vec![status(&task, attempt, TaskState::Running)]);
    harness.heartbeat_and_answer(&running, 2.0);
    // Duplicates of both heartbeats arrive: one does not list the task, one does.
    for duplicate in [&first, &running] {
        let outcome = harness.take_heartbeat(duplicate, 9.0);
        assert_eq!(outcome, HeartbeatOutcome::Stale);
    }
    assert_eq!(
        harness.state.machines[&machine(0)].last_response_at,
        Some(at(2.0))
    );
    let other = harness.heartbeat(1, 1, vec![]);
    assert!(
        launches(&harness.heartbeat_and_answer(&other, 9.5)).is_empty(),
        "the task is not freed"
    );
    // The lease is counted from the last heartbeat that was answered.
    harness.state.tick(at(12.5), &harness.config);
    let other = harness.heartbeat(1, 2, vec![]);
    assert_eq!(
        launches(&harness.heartbeat_and_answer(&other, 12.6)).len(),
        1
    );
    // A duplicate does not bring back a machine that was released meanwhile.
    harness.state.remove_machine(&machine(0));
    let outcome = harness.take_heartbeat(&running, 30.0);
    assert_eq!(outcome, HeartbeatOutcome::Unknown);
}
