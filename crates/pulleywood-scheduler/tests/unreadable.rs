//! Tests of job and machine records that cannot be read.

mod common;

use common::{ShardHarness, at, exited, job_record, launches, machine, spec, status, task};
use pulleywood_protocol::worker::{Cause, Command, TaskState};
use pulleywood_protocol::{Attempt, JobId, MonotonicTime, Revision};
use std::time::Duration;

fn id(number: u64) -> JobId {
    JobId::parse(&format!("j-{number}")).unwrap()
}

#[test]
fn attempts_of_an_unreadable_job_are_left_alone_until_the_job_ends() {
    let running = status(&task(1, 0), Attempt(7), TaskState::Running);
    let done = exited(&task(1, 1), Attempt(8), Cause::Done);
    let mut harness = ShardHarness::after_failover(&["a"], at(60.0));
    harness.state.mark_job_unreadable(&id(1));
    let heartbeat = harness.heartbeat(0, 1, vec![running.clone(), done.clone()]);
    assert_eq!(harness.heartbeat_and_answer(&heartbeat, 1.0), []);
    assert!(
        harness.state.machines[&machine(0)].has_unknown_attempts(),
        "the job's needs are unknown, so it counts as holding the whole machine"
    );
    // The job's record is gone: the job was cancelled, or ended in another shard.
    harness.state.remove_job(&id(1));
    let heartbeat = harness.heartbeat(0, 2, vec![running.clone(), done.clone()]);
    let commands = harness.heartbeat_and_answer(&heartbeat, 2.0);
    assert!(
        commands
            .iter()
            .any(|command| matches!(command, Command::Stop { task, .. } if *task == running.task))
    );
    let clears_done =
        |command: &Command| matches!(command, Command::Clear { task, .. } if *task == done.task);
    assert!(
        !commands.iter().any(clears_done),
        "it was seen for the first time a second ago, so a copy of its launch may arrive"
    );
    let heartbeat = harness.heartbeat(0, 3, vec![running.clone(), done.clone()]);
    let commands = harness.heartbeat_and_answer(&heartbeat, 5.3);
    assert!(commands.iter().any(clears_done));
}

#[test]
fn a_job_that_becomes_readable_keeps_its_attempts() {
    let mut harness = ShardHarness::new(&["a", "a"]);
    harness.submit(spec(1, 4), false);
    let heartbeat = harness.heartbeat(0, 1, vec![]);
    let started = launches(&harness.heartbeat_and_answer(&heartbeat, 1.0));
    assert_eq!(started.len(), 4);
    harness.state.mark_job_unreadable(&id(1));
    let seen: Vec<_> = started
        .iter()
        .map(|(t, a)| status(t, *a, TaskState::Running))
        .collect();
    let heartbeat = harness.heartbeat(0, 2, seen.clone());
    assert_eq!(
        harness.heartbeat_and_answer(&heartbeat, 2.0),
        [],
        "none is stopped"
    );
    let heartbeat = harness.heartbeat(1, 1, vec![]);
    assert_eq!(
        harness.heartbeat_and_answer(&heartbeat, 2.0),
        [],
        "none is launched on another machine"
    );
    let again = job_record(spec(1, 4));
    harness
        .state
        .put_job(&again, Revision(9), false, at(3.0), &harness.config);
    let heartbeat = harness.heartbeat(0, 3, seen);
    assert_eq!(harness.heartbeat_and_answer(&heartbeat, 3.0), []);
    assert_eq!(harness.state.jobs[&id(1)].active.len(), 4);
}

#[test]
fn an_attempt_first_seen_while_its_job_was_unreadable_is_kept() {
    let running = status(&task(1, 0), Attempt(7), TaskState::Running);
    let mut harness = ShardHarness::after_failover(&["a"], at(60.0));
    harness.state.mark_job_unreadable(&id(1));
    let heartbeat = harness.heartbeat(0, 1, vec![running.clone()]);
    assert_eq!(harness.heartbeat_and_answer(&heartbeat, 1.0), []);
    harness.submit(spec(1, 1), true);
    let heartbeat = harness.heartbeat(0, 2, vec![running]);
    assert_eq!(
        harness.heartbeat_and_answer(&heartbeat, 2.0),
        [],
        "neither stopped nor launched again"
    );
    assert!(harness.state.jobs[&id(1)].active.contains_key(&0));
}

#[test]
fn inherited_jobs_wait_while_an_unreadable_machine_may_run_them() {
    // (whether a machine record could not be read, whether a previous leader may have
    // launched the job, seconds since failover, whether its task is launched)
    let previous_launches_until: MonotonicTime = at(0.0) + Duration::from_secs(20);
    let cases = [
        (false, true, 1.0, true),
        (true, false, 1.0, true),
        (true, true, 1.0, false),
        (true, true, 19.0, false),
        (true, true, 20.5, true),
    ];
    for (unreadable, maybe_launched_before, second, launched) in cases {
        let mut harness = ShardHarness::after_failover(&["a"], previous_launches_until);
        harness.state.unreadable_machines = unreadable;
        harness.submit(spec(1, 1), maybe_launched_before);
        harness.state.tick(at(second), &harness.config);
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        let commands = launches(&harness.heartbeat_and_answer(&heartbeat, second));
        assert_eq!(
            !commands.is_empty(),
            launched,
            "{unreadable} {maybe_launched_before} {second}"
        );
    }
}
