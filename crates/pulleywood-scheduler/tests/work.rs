//! Work that must not grow with the fleet or with a job's size, counted rather than
//! timed: bytes of messages, writes, machines that planning examines.

mod common;

use common::*;
use pulleywood_protocol::cbor::{self, Amount};
use pulleywood_protocol::worker::{Cause, HeartbeatResponse, TaskState};
use pulleywood_protocol::{Attempt, FencingToken, Revision, TaskId};
use pulleywood_scheduler::resources::MAX_TASKS_PER_MACHINE;

/// Most bytes of a message to or from a worker.
const MESSAGE: usize = 64 * 1024;

#[test]
fn messages_of_workers_stay_small_however_small_the_tasks_are() {
    let mut harness = ShardHarness::new(&["a"]);
    let mut tiny = spec(123_456, 100_000);
    (tiny.cpus.0, tiny.gpus.0, tiny.memory_gb.0) = (0.0, 0.0, 0.0);
    harness.submit(tiny, false);
    let mut on: Vec<(TaskId, Attempt)> = vec![];
    for seq in 1..=12 {
        let tasks = on.iter().map(|(t, a)| status(t, *a, TaskState::Running));
        let heartbeat = harness.heartbeat(0, seq, tasks.collect());
        assert!(cbor::encode(&heartbeat).len() < MESSAGE);
        let commands = harness.heartbeat_and_answer(&heartbeat, seq as f64);
        on.extend(launches(&commands));
        let answer = HeartbeatResponse {
            fencing_token: FencingToken(5),
            commands,
        };
        assert!(cbor::encode(&answer).len() < MESSAGE);
    }
    assert_eq!(on.len(), MAX_TASKS_PER_MACHINE as usize);
}

#[test]
fn a_digest_of_many_machines_stays_small() {
    // A digest of hundreds of machines takes at most a tenth of a second of a slow
    // controller's network and processor. That of thousands still fits into a message
    // between controllers eight times.
    const MESSAGE: usize = 16 << 20;
    for machines in [300, 6000] {
        let mut harness = ShardHarness::new(&vec!["a"; machines]);
        for n in 1..=60 {
            harness.submit(spec(n, 100), false);
        }
        for m in 0..machines {
            let heartbeat = harness.heartbeat(m, 1, vec![]);
            harness.take_heartbeat(&heartbeat, 1.0);
        }
        for m in 0..300 {
            harness
                .state
                .response_commands(&machine(m), true, at(1.0), &harness.config);
        }
        let digest = harness.state.digest(at(1.5), &harness.config);
        assert_eq!(digest.machines.len(), machines);
        assert_eq!(
            digest.demand.len(),
            1,
            "demand is told by shape, not by job"
        );
        let bytes = cbor::encode(&digest).len();
        assert!(bytes < machines * 220, "{bytes}");
        assert!(bytes < MESSAGE / 8, "{bytes}");
    }
}

#[test]
fn the_number_of_writes_of_a_job_does_not_grow_with_its_tasks() {
    // Tasks that end one after the other over 100 s; a batch may be committed every
    // 200 ms.
    let tasks = 100;
    let mut harness = ShardHarness::new(&vec!["a"; 25]);
    harness.submit(spec(1, tasks), false);
    let mut on: Vec<Vec<(TaskId, Attempt)>> = vec![vec![]; 25];
    for (m, on) in on.iter_mut().enumerate() {
        let heartbeat = harness.heartbeat(m, 1, vec![]);
        on.extend(launches(&harness.heartbeat_and_answer(&heartbeat, 1.0)));
    }
    // The plan fills machines as they are heard.
    let mut ended = 0;
    let mut seq = 1;
    let mut writes = 0;
    for step in 0..1200 {
        let s = 2.0 + f64::from(step) * 0.2;
        if step % 5 == 0 {
            seq += 1;
            let mut end = true;
            for (m, on) in on.iter_mut().enumerate() {
                let done = if end && !on.is_empty() {
                    end = false;
                    Some(on.remove(0))
                } else {
                    None
                };
                ended += usize::from(done.is_some());
                let mut seen: Vec<_> = on
                    .iter()
                    .map(|(t, a)| status(t, *a, TaskState::Running))
                    .collect();
                seen.extend(done.iter().map(|(t, a)| exited(t, *a, Cause::Done)));
                let heartbeat = harness.heartbeat(m, seq, seen);
                on.extend(launches(&harness.heartbeat_and_answer(&heartbeat, s)));
            }
        }
        harness.state.tick(at(s), &harness.config);
        if let Some(batch) = harness.batch(Revision(1), s) {
            writes += batch.transaction.writes.len();
            harness
                .state
                .mark_batch_committed(&batch, Revision(100 + step as u64));
        }
    }
    assert_eq!(ended, tasks as usize);
    assert!(harness.state.jobs.is_empty(), "the job is over");
    assert!(writes <= 12, "{writes} writes for {tasks} tasks");
}

#[test]
fn planning_examines_only_machines_with_free_resources_and_not_for_each_task() {
    // Examining each full machine for each waiting task of each job would take a
    // third of a controller's processor at 350 machines.
    // (machines, of which full, waiting jobs, tasks of each, most machines examined)
    let cases: [(usize, usize, u64, u32, u64); 5] = [
        (50, 50, 40, 100, 0),
        (400, 400, 40, 100, 0),
        (400, 390, 40, 100, 40 * 10),
        (400, 0, 1, 100, 800),
        (1500, 1490, 40, 100, 40 * 10),
    ];
    for (machines, full, jobs, tasks, most) in cases {
        let mut harness = ShardHarness::new(&vec!["a"; machines]);
        if full > 0 {
            harness.submit(spec(1, full as u32 * 4), false);
        }
        let mut on_first = vec![];
        for m in 0..full {
            let heartbeat = harness.heartbeat(m, 1, vec![]);
            let commands = harness.heartbeat_and_answer(&heartbeat, 1.0);
            if m == 0 {
                on_first = launches(&commands);
            }
        }
        let running = on_first.iter();
        let on_first = running.map(|(t, a)| status(t, *a, TaskState::Running));
        let on_first: Vec<_> = on_first.collect();
        for n in 2..2 + jobs {
            harness.submit(spec(n, tasks), false);
        }
        // These are heard, and nothing is planned yet.
        for m in full..machines {
            let heartbeat = harness.heartbeat(m, 1, vec![]);
            harness.take_heartbeat(&heartbeat, 2.0);
        }
        harness.state.candidates_examined = 0;
        harness.state.invalidate_plan();
        let heartbeat = harness.heartbeat(0, 2, on_first);
        harness.heartbeat_and_answer(&heartbeat, 2.0);
        let candidates_examined = harness.state.candidates_examined;
        assert!(
            candidates_examined <= most,
            "{candidates_examined} examined, {machines} machines, {full} full"
        );
    }
}

#[test]
fn one_value_holds_the_records_of_many_machines() {
    // With a write for each, the last of 600 new machines would wait for 15 s.
    // (bytes of a value, fewest machines that share one)
    for (bytes, fewest) in [(4096, 8), (8192, 16), (65_536, 140)] {
        let mut config = config();
        config.value_bytes = bytes;
        let machines = config.machines_per_batch();
        assert!(machines >= fewest, "{bytes}: {machines}");
        assert!(config.machine_batch_bytes() < bytes);
    }
}

#[test]
fn images_that_a_machine_batch_could_not_hold_are_not_written_again() {
    // (images of the machine, oldest first; of its record; written)
    let cases = [
        (0..3, 0..3, false),
        (0..3, 0..2, true),
        (0..12, 4..12, false),
        (0..12, 5..12, true),
        (0..12, 3..11, true),
        (4..12, 0..12, true),
    ];
    for (has, record, written) in cases {
        let mut harness = ShardHarness::new(&["a"]);
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        harness.heartbeat_and_answer(&heartbeat, 1.0);
        let m = harness.state.machines.get_mut(&machine(0)).unwrap();
        m.images = has.clone().map(|n| (format!("i{n}"), 1.0)).collect();
        let named = record.clone().map(|n| (format!("i{n}"), Amount(1.0)));
        m.record.images = named.collect();
        let new = harness.state.outdated_image_records();
        assert_eq!(!new.is_empty(), written, "{has:?} {record:?}");
    }
}

#[test]
fn plans_are_made_anew_for_freed_resources_and_work_but_not_for_each_heartbeat() {
    // (what heartbeats show of the one task; whether the last one makes a plan)
    let cases: [(&str, &[Option<TaskState>], bool); 5] = [
        ("fetches", &[Some(TaskState::Fetching)], false),
        ("runs at once", &[Some(TaskState::Running)], false),
        ("is lost", &[None], true),
        (
            "is done",
            &[Some(TaskState::Running), Some(TaskState::Exited)],
            true,
        ),
        ("is cleared", &[Some(TaskState::Exited), None], false),
    ];
    for (name, heartbeats, plans) in cases {
        let mut harness = ShardHarness::new(&["a"]);
        harness.submit(spec(1, 1), false);
        // It waits for another zone: each plan examines machines for it.
        let mut other = spec(2, 1);
        other.zone = Some("b".into());
        harness.submit(other, false);
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        let (task, attempt) = launches(&harness.heartbeat_and_answer(&heartbeat, 1.0)).remove(0);
        for (n, seen) in heartbeats.iter().enumerate() {
            let tasks = seen.iter().map(|seen| match seen {
                TaskState::Exited => exited(&task, attempt, Cause::Done),
                seen => status(&task, attempt, *seen),
            });
            let heartbeat = harness.heartbeat(0, 2 + n as u64, tasks.collect());
            harness.state.candidates_examined = 0;
            harness.heartbeat_and_answer(&heartbeat, 1.1 + 0.1 * n as f64);
        }
        assert_eq!(harness.state.candidates_examined > 0, plans, "{name}");
    }
}
