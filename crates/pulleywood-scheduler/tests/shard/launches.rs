//! Tests of the commands in heartbeat responses and of the usage that counts against
//! teams.

use crate::common::*;
use pulleywood_protocol::worker::{Cause, Command, ControlCommand, TaskState};
use pulleywood_protocol::{Revision, Shape};

#[test]
fn a_launch_counts_as_active_until_a_later_heartbeat_omits_it() {
    // (case, whether the message is a reply, its sequence number minus that of the
    // message before the answered heartbeat, whether the launch still counts)
    let cases = [
        ("a newer heartbeat omits it", false, 2, false),
        (
            "a newer reply omits it, but the response may be in flight",
            true,
            2,
            true,
        ),
        (
            "an older heartbeat omits it, but was sent before the launch",
            false,
            0,
            true,
        ),
    ];
    for (name, is_reply, seq_offset, counted) in cases {
        let mut harness = ShardHarness::new(&["a"]);
        harness.submit(spec(1, 1), false);
        let first = harness.heartbeat(0, 10, vec![]);
        assert_eq!(
            launches(&harness.heartbeat_and_answer(&first, 1.0)).len(),
            1,
            "{name}"
        );
        let next = harness.heartbeat(0, 9 + seq_offset, vec![]);
        harness
            .state
            .handle_heartbeat(&next, is_reply, at(2.0), &harness.config);
        let job = &harness.state.jobs[&task(1, 0).job];
        assert_eq!(job.waiting.is_empty(), counted, "{name}");
    }
}

#[test]
fn the_end_of_an_attempt_does_not_free_a_newer_attempt_of_the_task() {
    // A stopped task is launched again on the same machine, which then clears the first
    // attempt while the second one runs.
    let mut harness = ShardHarness::new(&["a", "a"]);
    harness.submit(spec(1, 1), false);
    let first = harness.heartbeat(0, 1, vec![]);
    let (task, first_attempt) = launches(&harness.heartbeat_and_answer(&first, 1.0))[0].clone();
    let stopped = harness.heartbeat(0, 2, vec![exited(&task, first_attempt, Cause::Stopped)]);
    let commands = harness.heartbeat_and_answer(&stopped, 2.0);
    let (_, second_attempt) = launches(&commands)[0].clone();
    assert_ne!(first_attempt, second_attempt, "attempts are never reused");
    let clear = Command::Clear {
        task: task.clone(),
        attempt: first_attempt,
    };
    assert!(
        !commands.contains(&clear),
        "a copy of the first launch may arrive for four seconds"
    );
    let both = harness.heartbeat(
        0,
        3,
        vec![
            exited(&task, first_attempt, Cause::Stopped),
            status(&task, second_attempt, TaskState::Running),
        ],
    );
    assert_eq!(harness.heartbeat_and_answer(&both, 5.3), [clear]);
    let cleared = harness.heartbeat(
        0,
        4,
        vec![status(&task, second_attempt, TaskState::Running)],
    );
    harness.heartbeat_and_answer(&cleared, 6.0);
    let other = harness.heartbeat(1, 1, vec![]);
    assert!(launches(&harness.heartbeat_and_answer(&other, 7.0)).is_empty());
}

#[test]
fn nothing_is_launched_without_a_lease_or_a_recorded_address() {
    let cases = [
        ("lease held", true, "10.0.0.1:1", 1),
        ("past the local end of the lease", false, "10.0.0.1:1", 0),
        ("record without address", true, "", 0),
    ];
    for (name, may_launch, endpoint, expected) in cases {
        let mut harness = ShardHarness::new(&["a"]);
        let machine_state = harness.state.machines.get_mut(&machine(0)).unwrap();
        machine_state.record.endpoint = endpoint.into();
        harness.submit(spec(1, 1), false);
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        harness.take_heartbeat(&heartbeat, 1.0);
        let commands =
            harness
                .state
                .response_commands(&machine(0), may_launch, at(1.0), &harness.config);
        assert_eq!(launches(&commands).len(), expected, "{name}");
    }
}

#[test]
fn attempts_of_an_ended_job_are_stopped_and_count_as_used_until_a_heartbeat_omits_them() {
    let mut harness = ShardHarness::new(&["a"]);
    harness.submit(spec(1, 1), false);
    let first = harness.heartbeat(0, 1, vec![]);
    let (task, attempt) = launches(&harness.heartbeat_and_answer(&first, 1.0))[0].clone();
    harness.state.remove_job(&task.job);
    let stop = ControlCommand::Stop {
        task: task.clone(),
        attempt,
        leeway_s: 0.0,
    };
    assert_eq!(
        harness.state.direct_commands(&machine(0), at(1.0)),
        std::slice::from_ref(&stop)
    );
    assert_eq!(
        harness.state.usage_by_team(&harness.config)["red"],
        slots(4.0, 1.0)
    );
    let running = harness.heartbeat(0, 2, vec![status(&task, attempt, TaskState::Running)]);
    assert_eq!(
        harness.heartbeat_and_answer(&running, 2.0),
        [Command::from(stop)]
    );
    let omitting = harness.heartbeat(0, 3, vec![]);
    harness.heartbeat_and_answer(&omitting, 3.0);
    assert!(
        !harness
            .state
            .usage_by_team(&harness.config)
            .contains_key("red")
    );
}

#[test]
fn quotas_bound_launches_and_a_limit_of_zero_means_no_limit() {
    let cases = [
        ("no limit, no quota", slots(0.0, 0.0), None, 4),
        ("limited, without a quota", slots(0.0, 2.0), None, 0),
        ("limited by GPUs", slots(0.0, 9.0), Some(slots(0.0, 3.0)), 3),
        (
            "limited by processors",
            slots(9.0, 0.0),
            Some(slots(8.0, 0.0)),
            2,
        ),
    ];
    for (name, limit, quota, expected) in cases {
        let mut harness = ShardHarness::new(&["a"]);
        harness.config.teams.get_mut("red").unwrap().limit = limit;
        if let Some(quota) = quota {
            harness.state.quotas.teams.insert("red".into(), quota);
        }
        harness.submit(spec(1, 10), false);
        let first = harness.heartbeat(0, 1, vec![]);
        assert_eq!(
            launches(&harness.heartbeat_and_answer(&first, 1.0)).len(),
            expected,
            "{name}"
        );
    }
}

#[test]
fn a_service_replica_that_ends_is_launched_again() {
    let mut harness = ShardHarness::new(&["a"]);
    let mut service = spec(1, 1);
    service.shape = Shape::Service;
    harness.submit(service, false);
    let first = harness.heartbeat(0, 1, vec![]);
    let (task, attempt) = launches(&harness.heartbeat_and_answer(&first, 1.0))[0].clone();
    let ended = harness.heartbeat(0, 2, vec![exited(&task, attempt, Cause::Done)]);
    let commands = harness.heartbeat_and_answer(&ended, 2.0);
    assert_eq!(launches(&commands).len(), 1);
    assert!(harness.batch(Revision(1), 60.0).is_none());
}

#[test]
fn nothing_of_a_job_is_launched_whose_record_arrives_while_it_is_being_cancelled() {
    // Guards against launches after a confirmed cancellation by a leader that suspends jobs it
    // knows, and then reads an older record that assigns it the job or brings it back.
    for known_before in [false, true] {
        let mut harness = ShardHarness::new(&["a"]);
        let id = spec(1, 1).id;
        if known_before {
            harness.submit(spec(1, 1), false);
        }
        harness.state.suspend_launches(&id, at(7.0), at(1.0));
        harness.state.remove_job(&id);
        harness.submit(spec(1, 1), false);
        let suspended = harness.heartbeat(0, 1, vec![]);
        let commands = harness.heartbeat_and_answer(&suspended, 2.0);
        assert_eq!(launches(&commands).len(), 0, "known before: {known_before}");
        let resumed = harness.heartbeat(0, 2, vec![]);
        let commands = harness.heartbeat_and_answer(&resumed, 7.1);
        assert_eq!(launches(&commands).len(), 1, "known before: {known_before}");
    }
}

#[test]
fn nothing_of_a_job_is_launched_while_it_is_being_cancelled() {
    // (whether a cancellation is announced, second of the machine's heartbeat,
    // launches). The announcement only delays launches and ends nothing, because the
    // cancellation may fail.
    let cases = [
        (false, 2.0, 1),
        (true, 2.0, 0),
        (true, 6.9, 0),
        (true, 7.1, 1),
    ];
    for (announced, second, expected) in cases {
        for planned_before in [false, true] {
            let mut harness = ShardHarness::new(&["a", "a"]);
            harness.submit(spec(1, 1), false);
            if planned_before {
                // The plan assigns the task to a machine that has not sent its next
                // heartbeat yet.
                let other = harness.heartbeat(1, 1, vec![]);
                harness.take_heartbeat(&other, 1.0);
                harness
                    .state
                    .response_commands(&machine(0), true, at(1.0), &harness.config);
            }
            if announced {
                let id = spec(1, 1).id;
                harness.state.suspend_launches(&id, at(7.0), at(1.0));
            }
            let heartbeat = harness.heartbeat(1, 2, vec![]);
            let commands = harness.heartbeat_and_answer(&heartbeat, second);
            assert_eq!(
                launches(&commands).len(),
                expected,
                "{announced} at {second}"
            );
            assert!(harness.state.jobs.contains_key(&spec(1, 1).id));
        }
    }
}
