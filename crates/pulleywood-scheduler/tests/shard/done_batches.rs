//! Tests of when done tasks are committed and cleared.

use crate::common::*;
use pulleywood_protocol::Revision;
use pulleywood_protocol::worker::{Cause, Command, TaskState};

#[test]
fn done_tasks_are_cleared_only_after_their_batch_committed() {
    let mut harness = ShardHarness::new(&["a"]);
    harness.submit(spec(1, 2), false);
    let first = harness.heartbeat(0, 1, vec![]);
    let launched = launches(&harness.heartbeat_and_answer(&first, 1.0));
    let (done_task, done_attempt) = launched[0].clone();
    let (running_task, running_attempt) = launched[1].clone();
    let clear = Command::Clear {
        task: done_task.clone(),
        attempt: done_attempt,
    };
    let both_listed = |seq, harness: &mut ShardHarness| {
        harness.heartbeat(
            0,
            seq,
            vec![
                exited(&done_task, done_attempt, Cause::Done),
                status(&running_task, running_attempt, TaskState::Running),
            ],
        )
    };
    let heartbeat = both_listed(2, &mut harness);
    assert!(
        !harness
            .heartbeat_and_answer(&heartbeat, 2.0)
            .contains(&clear)
    );
    assert!(
        harness
            .state
            .direct_commands(&machine(0), at(2.0))
            .is_empty()
    );
    let batch = harness.batch(Revision(9), 60.0).unwrap();
    assert!(batch.transaction.is_compare_and_set());
    assert!(
        batch
            .transaction
            .compares
            .iter()
            .any(|c| c.path == "c/part/0" && c.revision == Revision(9)),
        "a leader's writes are conditioned on its shard's revision"
    );
    harness.state.mark_batch_committed(&batch, Revision(10));
    let heartbeat = both_listed(3, &mut harness);
    assert!(
        !harness
            .heartbeat_and_answer(&heartbeat, 4.9)
            .contains(&clear),
        "a copy of the launch of second 1 may arrive for four seconds"
    );
    let heartbeat = both_listed(4, &mut harness);
    assert!(
        harness
            .heartbeat_and_answer(&heartbeat, 5.3)
            .contains(&clear)
    );
    assert!(harness.batch(Revision(9), 60.0).is_none());
}

#[test]
fn done_tasks_are_collected_until_their_commit_is_urgent() {
    // A commit per done task would use up the state service's write rate: users would
    // be refused, and commits that complete a job would wait behind the rest.
    // (case, done tasks out of 4, seconds since they were done, whether the cloud
    // announced a reclaim, whether a batch is committed)
    let cases = [
        ("one of four", 1, 1.0, false, false),
        (
            "one of four, for longer than the maximum commit delay",
            1,
            25.0,
            false,
            true,
        ),
        (
            "one of four, its machine is about to be reclaimed",
            1,
            1.0,
            true,
            true,
        ),
        ("all", 4, 0.1, false, true),
    ];
    for (name, done, seconds, reclaim_notice, committed) in cases {
        let mut harness = ShardHarness::new(&["a"]);
        harness.submit(spec(1, 4), false);
        let first = harness.heartbeat(0, 1, vec![]);
        let launched = launches(&harness.heartbeat_and_answer(&first, 1.0));
        let tasks = launched
            .iter()
            .enumerate()
            .map(|(position, (task, attempt))| {
                if position < done {
                    exited(task, *attempt, Cause::Done)
                } else {
                    status(task, *attempt, TaskState::Running)
                }
            });
        let mut heartbeat = harness.heartbeat(0, 2, tasks.collect());
        heartbeat.reclaim_in_s = reclaim_notice.then_some(pulleywood_protocol::cbor::Amount(20.0));
        harness.heartbeat_and_answer(&heartbeat, 10.0);
        harness.state.tick(at(10.0), &harness.config);
        let batch = harness.batch(Revision(9), 10.0 + seconds);
        assert_eq!(batch.is_some(), committed, "{name}");
    }
}
