//! Bounds on work that must not grow with the fleet or with the size of a job. They are
//! counted rather than timed: bytes of messages, writes, and machines examined by
//! planning.

mod common;

use common::*;
use pulleywood_protocol::cbor::{self, Amount};
use pulleywood_protocol::record::TaskSet;
use pulleywood_protocol::worker::{Cause, HeartbeatResponse, TaskState};
use pulleywood_protocol::{Attempt, FencingToken, Revision, ShardId, TaskId};
use pulleywood_scheduler::resources::MAX_TASKS_PER_MACHINE;

/// Maximum bytes of a message to or from a worker.
const MAX_MESSAGE_BYTES: usize = 64 * 1024;

#[test]
fn messages_of_workers_stay_small_however_small_the_tasks_are() {
    let mut harness = ShardHarness::new(&["a"]);
    let mut tiny = spec(123_456, 100_000);
    (tiny.cpus.0, tiny.gpus.0, tiny.memory_gb.0) = (0.0, 0.0, 0.0);
    harness.submit(tiny, false);
    let mut running: Vec<(TaskId, Attempt)> = vec![];
    for seq in 1..=12 {
        let tasks = running
            .iter()
            .map(|(t, a)| status(t, *a, TaskState::Running));
        let heartbeat = harness.heartbeat(0, seq, tasks.collect());
        assert!(cbor::encode(&heartbeat).len() < MAX_MESSAGE_BYTES);
        let commands = harness.heartbeat_and_answer(&heartbeat, seq as f64);
        running.extend(launches(&commands));
        let response = HeartbeatResponse {
            fencing_token: FencingToken(5),
            commands,
        };
        assert!(cbor::encode(&response).len() < MAX_MESSAGE_BYTES);
    }
    assert_eq!(running.len(), MAX_TASKS_PER_MACHINE as usize);
}

#[test]
fn a_digest_of_many_machines_stays_small() {
    // A digest of hundreds of machines must take at most a tenth of a second of a slow
    // controller's network and processor time. A message between controllers must have
    // room for eight digests of thousands of machines.
    const MAX_MESSAGE_BYTES: usize = 16 << 20;
    for machines in [300, 6000] {
        let mut harness = ShardHarness::new(&vec!["a"; machines]);
        for job_number in 1..=60 {
            harness.submit(spec(job_number, 100), false);
        }
        for index in 0..machines {
            let heartbeat = harness.heartbeat(index, 1, vec![]);
            harness.take_heartbeat(&heartbeat, 1.0);
        }
        for index in 0..300 {
            harness
                .state
                .response_commands(&machine(index), true, at(1.0), &harness.config);
        }
        let digest = harness.state.digest(at(1.5), &harness.config);
        assert_eq!(digest.machines.len(), machines);
        assert_eq!(
            digest.demand.len(),
            1,
            "demand is grouped by shape, not by job"
        );
        let bytes = cbor::encode(&digest).len();
        assert!(bytes < machines * 220, "{bytes}");
        assert!(bytes < MAX_MESSAGE_BYTES / 8, "{bytes}");
    }
}

#[test]
fn the_number_of_writes_of_a_job_does_not_grow_with_its_tasks() {
    // The tasks end one after the other over 100 s. A batch may be committed every 200
    // ms.
    let tasks = 100;
    let mut harness = ShardHarness::new(&vec!["a"; 25]);
    harness.submit(spec(1, tasks), false);
    let mut running: Vec<Vec<(TaskId, Attempt)>> = vec![vec![]; 25];
    for (index, running) in running.iter_mut().enumerate() {
        let heartbeat = harness.heartbeat(index, 1, vec![]);
        running.extend(launches(&harness.heartbeat_and_answer(&heartbeat, 1.0)));
    }
    // Machines are filled by the plan as their heartbeats arrive.
    let mut ended = 0;
    let mut seq = 1;
    let mut writes = 0;
    for step in 0..1200 {
        let second = 2.0 + f64::from(step) * 0.2;
        if step % 5 == 0 {
            seq += 1;
            let mut end = true;
            for (index, running) in running.iter_mut().enumerate() {
                let done = if end && !running.is_empty() {
                    end = false;
                    Some(running.remove(0))
                } else {
                    None
                };
                ended += usize::from(done.is_some());
                let mut statuses: Vec<_> = running
                    .iter()
                    .map(|(t, a)| status(t, *a, TaskState::Running))
                    .collect();
                statuses.extend(done.iter().map(|(t, a)| exited(t, *a, Cause::Done)));
                let heartbeat = harness.heartbeat(index, seq, statuses);
                running.extend(launches(&harness.heartbeat_and_answer(&heartbeat, second)));
            }
        }
        harness.state.tick(at(second), &harness.config);
        if let Some(batch) = harness.batch(Revision(1), second) {
            writes += batch.transaction.writes.len();
            harness
                .state
                .mark_batch_committed(&batch, Revision(100 + step as u64));
        }
    }
    assert_eq!(ended, tasks as usize);
    assert!(harness.state.jobs.is_empty(), "the job is complete");
    assert!(writes <= 12, "{writes} writes for {tasks} tasks");
}

#[test]
fn planning_examines_only_machines_with_free_resources_and_not_for_each_task() {
    // At 350 machines, examining each full machine for each waiting task of each job
    // would take a third of a controller's processor time.
    // (machines, full machines among them, waiting jobs, tasks of each, maximum number
    // of machines examined)
    let cases: [(usize, usize, u64, u32, u64); 5] = [
        (50, 50, 40, 100, 0),
        (400, 400, 40, 100, 0),
        (400, 390, 40, 100, 40 * 10),
        (400, 0, 1, 100, 800),
        (1500, 1490, 40, 100, 40 * 10),
    ];
    for (machines, full, jobs, tasks, max_examined) in cases {
        let mut harness = ShardHarness::new(&vec!["a"; machines]);
        if full > 0 {
            harness.submit(spec(1, full as u32 * 4), false);
        }
        let mut on_first = vec![];
        for index in 0..full {
            let heartbeat = harness.heartbeat(index, 1, vec![]);
            let commands = harness.heartbeat_and_answer(&heartbeat, 1.0);
            if index == 0 {
                on_first = launches(&commands);
            }
        }
        let running = on_first.iter();
        let on_first = running.map(|(t, a)| status(t, *a, TaskState::Running));
        let on_first: Vec<_> = on_first.collect();
        for job_number in 2..2 + jobs {
            harness.submit(spec(job_number, tasks), false);
        }
        // These machines have reported, but nothing is planned for them yet.
        for index in full..machines {
            let heartbeat = harness.heartbeat(index, 1, vec![]);
            harness.take_heartbeat(&heartbeat, 2.0);
        }
        harness.state.candidates_examined = 0;
        harness.state.invalidate_plan();
        let heartbeat = harness.heartbeat(0, 2, on_first);
        harness.heartbeat_and_answer(&heartbeat, 2.0);
        let candidates_examined = harness.state.candidates_examined;
        assert!(
            candidates_examined <= max_examined,
            "{candidates_examined} examined, {machines} machines, {full} full"
        );
    }
}

#[test]
fn one_stored_value_holds_the_records_of_many_machines() {
    // With one write per machine, the last of 600 new machines would wait for 15 s.
    // (bytes of a value, minimum number of machines that share one)
    for (bytes, min_machines) in [(4096, 8), (8192, 16), (65_536, 140)] {
        let mut config = config();
        config.value_bytes = bytes;
        let machines = config.machines_per_batch();
        assert!(machines >= min_machines, "{bytes}: {machines}");
        assert!(config.machine_batch_bytes() < bytes);
    }
}

#[test]
fn images_that_did_not_fit_into_a_machine_batch_are_not_written_again() {
    // (images on the machine, oldest first; images in its record; whether the record is
    // written)
    let cases = [
        (0..3, 0..3, false),
        (0..3, 0..2, true),
        (0..12, 4..12, false),
        (0..12, 5..12, true),
        (0..12, 3..11, true),
        (4..12, 0..12, true),
    ];
    for (cached, recorded, written) in cases {
        let mut harness = ShardHarness::new(&["a"]);
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        harness.heartbeat_and_answer(&heartbeat, 1.0);
        let machine_state = harness.state.machines.get_mut(&machine(0)).unwrap();
        machine_state.images = cached.clone().map(|n| (format!("i{n}"), 1.0)).collect();
        let named = recorded.clone().map(|n| (format!("i{n}"), Amount(1.0)));
        machine_state.record.images = named.collect();
        let outdated = harness.state.outdated_image_records();
        assert_eq!(!outdated.is_empty(), written, "{cached:?} {recorded:?}");
    }
}

#[test]
fn a_new_plan_is_made_for_freed_resources_and_new_work_but_not_for_each_heartbeat() {
    // (case, states of the task in successive heartbeats, whether the last one triggers
    // a plan)
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
    for (name, heartbeats, expects_plan) in cases {
        let mut harness = ShardHarness::new(&["a"]);
        harness.submit(spec(1, 1), false);
        // This job waits for another zone, so every plan examines machines for it.
        let mut other = spec(2, 1);
        other.zone = Some("b".into());
        harness.submit(other, false);
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        let (task, attempt) = launches(&harness.heartbeat_and_answer(&heartbeat, 1.0)).remove(0);
        for (position, states) in heartbeats.iter().enumerate() {
            let tasks = states.iter().map(|state| match state {
                TaskState::Exited => exited(&task, attempt, Cause::Done),
                state => status(&task, attempt, *state),
            });
            let heartbeat = harness.heartbeat(0, 2 + position as u64, tasks.collect());
            harness.state.candidates_examined = 0;
            harness.heartbeat_and_answer(&heartbeat, 1.1 + 0.1 * position as f64);
        }
        assert_eq!(
            harness.state.candidates_examined > 0,
            expects_plan,
            "{name}"
        );
    }
}

/// Guards against controllers that answer nothing while they plan: each plan looked for a machine
/// for each of 50,000 tasks that were bound to a zone without room.
#[test]
fn tasks_bound_to_a_full_zone_are_passed_over_together() {
    const MAX_CONSIDERED: u64 = 100;
    for tasks in [1_000, 100_000] {
        let mut harness = ShardHarness::new(&["a", "b"]);
        let mut record = job_record(spec(1, tasks));
        record.spec.spread = true;
        record.shard = ShardId(1);
        let received = TaskSet::from(tasks / 2..tasks);
        record.transfer_tasks(SHARD, Some("b"), &received);
        let (state, config) = (&mut harness.state, &harness.config);
        state.put_job(&record, Revision(2), false, at(0.0), config);
        let mut launched = 0;
        for (machine, seq) in [(1, 1), (0, 1), (0, 2)] {
            let heartbeat = harness.heartbeat(machine, seq, vec![]);
            let commands = harness.heartbeat_and_answer(&heartbeat, seq as f64);
            launched += launches(&commands).len();
        }
        assert_eq!(
            launched, 4,
            "{tasks} tasks: all that the machine in zone b has room for"
        );
        let considered = harness.state.tasks_considered;
        assert!(
            considered <= MAX_CONSIDERED,
            "{tasks} tasks: {considered} considered"
        );
    }
}
