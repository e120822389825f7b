//! Tests of failure attribution: jobs that fail on every machine, and machines that
//! fail every job.

mod common;

use common::{ShardHarness, at, exited, machine, status};
use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::worker::{Cause, Command, TaskState};
use pulleywood_protocol::{Attempt, JobId, JobSpec, TaskId};
use pulleywood_scheduler::shard::failure_attribution::HealthEvent;
use std::collections::BTreeSet;

/// Simulated workers under one leader that run each launched task or fail it at once.
struct Workers {
    harness: ShardHarness,
    seq: u64,
    /// Attempts on each machine, with the state that its next heartbeat lists.
    attempts: Vec<Vec<(TaskId, Attempt, TaskState)>>,
    /// Launches, as (second, machine, task).
    launched: Vec<(u64, usize, TaskId)>,
    health_events: Vec<HealthEvent>,
}

impl Workers {
    fn new(machines: usize) -> Workers {
        Workers {
            harness: ShardHarness::new(&vec!["a"; machines]),
            seq: 0,
            attempts: vec![Vec::new(); machines],
            launched: Vec::new(),
            health_events: Vec::new(),
        }
    }

    /// Simulates one second, in which each machine sends one heartbeat.
    fn run_second(&mut self, second: u64, fails: impl Fn(usize, &JobId) -> bool) {
        self.seq += 1;
        for machine_index in 0..self.attempts.len() {
            let tasks = self.attempts[machine_index]
                .iter()
                .map(|(t, a, state)| match state {
                    TaskState::Exited => exited(t, *a, Cause::Error),
                    state => status(t, *a, *state),
                });
            let heartbeat = self
                .harness
                .heartbeat(machine_index, self.seq, tasks.collect());
            for command in self.harness.heartbeat_and_answer(&heartbeat, second as f64) {
                match command {
                    Command::Launch { task, attempt } => {
                        let state = if fails(machine_index, &task.job) {
                            TaskState::Exited
                        } else {
                            TaskState::Running
                        };
                        self.launched.push((second, machine_index, task.clone()));
                        self.attempts[machine_index].push((task, attempt, state));
                    }
                    Command::Stop { task, attempt, .. } | Command::Clear { task, attempt } => {
                        self.attempts[machine_index]
                            .retain(|(t, a, _)| (t, a) != (&task, &attempt));
                    }
                }
            }
        }
        self.harness
            .state
            .tick(at(second as f64 + 0.5), &self.harness.config);
        self.health_events
            .extend(self.harness.state.take_health_events());
    }

    fn launches_of(&self, job: &JobId, from: u64) -> usize {
        let counts = |launch: &&(u64, usize, TaskId)| launch.2.job == *job && launch.0 >= from;
        self.launched.iter().filter(counts).count()
    }
}

/// A job whose tasks need no image.
fn spec(number: u64, tasks: u32) -> JobSpec {
    JobSpec {
        image_gb: Amount(0.0),
        ..common::spec(number, tasks)
    }
}

fn id(number: u64) -> JobId {
    JobId::parse(&format!("j-{number}")).unwrap()
}

#[test]
fn broken_jobs_quarantine_no_machine_and_take_no_resources_from_others() {
    // Number of tasks of each of three broken jobs. Jobs that are submitted together
    // may all fail on the same machine before any of them has failed on enough
    // machines.
    for tasks in [1, 2, 30] {
        let mut workers = Workers::new(6);
        for job_number in 1..=3 {
            workers.harness.submit(spec(job_number, tasks), false);
        }
        let broken: BTreeSet<JobId> = (1..=3).map(id).collect();
        for second in 1..=120 {
            workers.run_second(second, |_, job| broken.contains(job));
            assert!(
                workers
                    .harness
                    .state
                    .machines
                    .values()
                    .all(|m| !m.quarantined),
                "{second} s"
            );
            if second >= 10 {
                // Nothing is rented, reserved or moved for broken jobs.
                let digest = workers
                    .harness
                    .state
                    .digest(at(second as f64), &workers.harness.config);
                assert!(digest.demand.is_empty(), "{second} s: {:?}", digest.demand);
            }
            if second == 60 {
                workers.harness.submit(spec(9, 20), false);
            }
        }
        // Other jobs start as if the broken ones did not exist.
        assert_eq!(workers.launches_of(&id(9), 60), 20);
        assert!(
            workers
                .launched
                .iter()
                .all(|l| l.2.job != id(9) || l.0 <= 61)
        );
        for job in &broken {
            // Broken jobs are retried at intervals, with one task.
            let retries = workers.launches_of(job, 12);
            assert!(retries <= 10, "{retries} retries");
            let first = workers.launches_of(job, 0) - retries;
            // Until a job counts as broken, each task is tried on at most three
            // machines.
            assert!(
                first <= tasks as usize * 3,
                "{first} launches before the job was broken"
            );
            assert!(
                workers.harness.state.jobs.contains_key(job),
                "{job} is still known"
            );
        }
        // Once its fault is gone, the job runs all its tasks again.
        for second in 121..=400 {
            workers.run_second(second, |_, job| broken.contains(job) && *job != id(1));
        }
        let launched: Vec<_> = workers
            .launched
            .iter()
            .filter(|l| l.2.job == id(1))
            .collect();
        assert!(
            workers
                .health_events
                .contains(&HealthEvent::JobRecovered(id(1))),
            "{tasks} tasks: {launched:?}"
        );
        let active = workers.harness.state.jobs[&id(1)].active.len();
        assert_eq!(active, (tasks as usize).min(4), "all that fit");
    }
}

#[test]
fn faulty_machines_are_quarantined_even_with_broken_jobs_around() {
    // (number of faulty machines, tasks per job, number of broken jobs)
    for (faulty, tasks, broken) in [(1, 1, 0), (1, 8, 3), (3, 8, 3), (3, 1, 2)] {
        let mut workers = Workers::new(8);
        let broken_jobs: BTreeSet<JobId> = (50..50 + broken).map(id).collect();
        for job_number in 50..50 + broken {
            workers.harness.submit(spec(job_number, 4), false);
        }
        for second in 1..=240 {
            if second % 12 == 0 {
                let mut job = spec(100 + second, tasks);
                job.gpus = Amount(0.5);
                job.cpus = Amount(0.5);
                job.memory_gb = Amount(0.1);
                workers.harness.submit(job, false);
            }
            workers.run_second(second, |index, job| {
                index < faulty || broken_jobs.contains(job)
            });
        }
        let quarantined: Vec<usize> = (0..8)
            .filter(|index| workers.harness.state.machines[&machine(*index)].quarantined)
            .collect();
        let expected: Vec<usize> = (0..faulty).collect();
        assert_eq!(quarantined, expected, "{tasks} tasks, {broken} broken");
    }
}
