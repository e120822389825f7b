//! Tests of what a new leader may launch before all machines of the previous one have
//! reported.

use crate::common::*;
use pulleywood_protocol::worker::TaskState;
use pulleywood_protocol::{Attempt, FencingToken};

#[test]
fn a_heartbeat_from_before_the_fencing_token_allows_no_launch() {
    // The network may have delayed the heartbeat while commands of the previous leader
    // were executed.
    let mut harness = ShardHarness::after_failover(&["a"], at(60.0));
    harness.submit(spec(1, 1), true);
    let late = harness.heartbeat_under(0, 1, FencingToken(4), vec![]);
    assert!(launches(&harness.heartbeat_and_answer(&late, 1.0)).is_empty());
    let fresh = harness.heartbeat(0, 2, vec![]);
    assert_eq!(
        launches(&harness.heartbeat_and_answer(&fresh, 2.0)).len(),
        1
    );
}

#[test]
fn after_failover_inherited_jobs_wait_for_unreported_machines() {
    // (how the new leader learns what machine 1 runs, second, tasks launched)
    #[derive(Debug)]
    enum Evidence {
        Nothing,
        Heartbeat,
        Release,
        LeaseExpiry,
    }
    let cases = [
        (Evidence::Nothing, 20.0, 0),
        (Evidence::Heartbeat, 20.0, 1),
        (Evidence::Release, 20.0, 1),
        (Evidence::LeaseExpiry, 61.0, 1),
    ];
    for (evidence, second, expected) in cases {
        let mut harness = ShardHarness::after_failover(&["a", "a"], at(60.0));
        harness.submit(spec(1, 1), true);
        harness.submit(spec(2, 1), false);
        let first = harness.heartbeat(0, 1, vec![]);
        let new_job = launches(&harness.heartbeat_and_answer(&first, 1.0));
        assert_eq!(
            new_job.len(),
            1,
            "a job accepted since the failover does not wait"
        );
        assert_eq!(new_job[0].0, task(2, 0));
        match evidence {
            Evidence::Heartbeat => {
                let other = harness.heartbeat(1, 1, vec![]);
                harness.take_heartbeat(&other, second);
            }
            Evidence::Release => harness.state.remove_machine(&machine(1)),
            Evidence::Nothing | Evidence::LeaseExpiry => {}
        }
        harness.state.tick(at(second), &harness.config);
        let (new_task, new_attempt) = new_job[0].clone();
        let next = harness.heartbeat(
            0,
            2,
            vec![status(&new_task, new_attempt, TaskState::Running)],
        );
        let commands = harness.heartbeat_and_answer(&next, second);
        assert_eq!(launches(&commands).len(), expected, "{evidence:?}");
    }
}

#[test]
fn inherited_jobs_wait_only_for_machines_that_their_tasks_fit_on() {
    // (type of the machine that has not reported, processors per task, tasks launched)
    let cases = [
        ("g4", 16.0, 0),
        ("s1", 16.0, 1),
        ("s1", 4.0, 0),
        ("unknown type", 16.0, 0),
    ];
    for (flavor, cpus, expected) in cases {
        let mut harness = ShardHarness::after_failover(&["a", "a"], at(60.0));
        let mut small = harness.config.flavors["g4"].clone();
        small.label = "s1".into();
        small.cpus.0 = 4.0;
        harness.config.flavors.insert("s1".into(), small);
        let overdue = harness.state.machines.get_mut(&machine(1)).unwrap();
        overdue.record.flavor = flavor.into();
        let mut inherited = spec(1, 1);
        inherited.cpus.0 = cpus;
        harness.submit(inherited, true);
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        let launched = launches(&harness.heartbeat_and_answer(&heartbeat, 20.0)).len();
        assert_eq!(launched, expected, "{flavor} {cpus}");
    }
}

#[test]
fn a_machine_answered_after_failover_stays_unreported_for_a_whole_lease() {
    // A response to a heartbeat that has not seen the fencing token still renews the
    // worker's lease.
    let mut harness = ShardHarness::after_failover(&["a", "a"], at(20.0));
    harness.submit(spec(1, 1), true);
    let late = harness.heartbeat_under(1, 1, FencingToken(4), vec![]);
    harness.heartbeat_and_answer(&late, 19.0);
    for (second, unreported) in [(21.0, true), (29.0, true), (30.0, false)] {
        harness.state.tick(at(second), &harness.config);
        assert_eq!(
            harness.state.machines[&machine(1)].unreported,
            unreported,
            "{second}"
        );
    }
}

#[test]
fn running_tasks_are_rebuilt_from_heartbeats_after_failover() {
    let mut harness = ShardHarness::after_failover(&["a", "a"], at(60.0));
    harness.submit(spec(1, 2), true);
    let reported_task = task(1, 0);
    let running = harness.heartbeat(
        0,
        1,
        vec![status(&reported_task, Attempt(77), TaskState::Running)],
    );
    assert!(launches(&harness.heartbeat_and_answer(&running, 1.0)).is_empty());
    let other = harness.heartbeat(1, 1, vec![]);
    let mut launched = launches(&harness.heartbeat_and_answer(&other, 1.5));
    let again = harness.heartbeat(
        0,
        2,
        vec![status(&reported_task, Attempt(77), TaskState::Running)],
    );
    launched.extend(launches(&harness.heartbeat_and_answer(&again, 1.6)));
    assert_eq!(launched.len(), 1);
    assert_eq!(
        launched[0].0,
        task(1, 1),
        "only the task that no machine reported"
    );
}

#[test]
fn an_unreported_machine_counts_in_full_against_limited_teams() {
    let mut harness = ShardHarness::after_failover(&["a", "a"], at(60.0));
    harness.config.teams.get_mut("red").unwrap().limit = slots(0.0, 6.0);
    harness
        .state
        .quotas
        .teams
        .insert("red".into(), slots(0.0, 6.0));
    harness.submit(spec(1, 8), false);
    // Machine 1 has not reported and may run tasks of team red on its 4 GPUs.
    let first = harness.heartbeat(0, 1, vec![]);
    assert_eq!(
        launches(&harness.heartbeat_and_answer(&first, 1.0)).len(),
        2
    );
}

#[test]
fn a_heartbeat_from_before_failover_neither_reveals_nor_frees_tasks() {
    // The new leader knows no sequence numbers of earlier heartbeats. Whatever a
    // delayed duplicate lists, it must neither free nor reveal tasks, and no resources
    // count as free.
    let mut harness = ShardHarness::after_failover(&["a", "a"], at(60.0));
    harness.submit(spec(1, 2), true);
    let listed_task = task(1, 0);
    let duplicate = harness.heartbeat_under(
        0,
        7,
        FencingToken(4),
        vec![status(&listed_task, Attempt(9), TaskState::Running)],
    );
    assert!(launches(&harness.heartbeat_and_answer(&duplicate, 1.0)).is_empty());
    assert!(harness.state.jobs[&listed_task.job].active.is_empty());
    let other = harness.heartbeat(1, 1, vec![]);
    assert!(launches(&harness.heartbeat_and_answer(&other, 1.5)).is_empty());
    assert_eq!(
        harness.state.digest(at(1.5), &harness.config).machines[0].gpus,
        0.0
    );
}

#[test]
fn a_task_reported_before_its_job_is_known_is_not_launched_until_a_heartbeat_omits_it() {
    for (name, state) in [
        ("running", TaskState::Running),
        ("saving", TaskState::Saving),
    ] {
        let mut harness = ShardHarness::new(&["a", "a"]);
        let listed = status(&task(1, 0), Attempt(7), state);
        let heartbeat = harness.heartbeat(0, 1, vec![listed.clone()]);
        harness.heartbeat_and_answer(&heartbeat, 1.0);
        harness.submit(spec(1, 2), false);
        // Only the other task may be launched here or transferred.
        let waiting = |harness: &ShardHarness| -> Vec<u32> {
            let job = &harness.state.jobs[&task(1, 0).job];
            job.waiting.iter().collect()
        };
        assert_eq!(waiting(&harness), [1], "{name}");
        let heartbeat = harness.heartbeat(0, 2, vec![]);
        harness.take_heartbeat(&heartbeat, 2.0);
        assert_eq!(waiting(&harness), [0, 1], "{name}");
    }
}
