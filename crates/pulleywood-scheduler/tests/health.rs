//! Attribution of failures: jobs that fail on every machine, and machines that fail
//! every job.

mod common;

use common::{ShardHarness, at, exited, machine, status};
use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::worker::{Cause, Command, TaskState};
use pulleywood_protocol::{Attempt, JobId, JobSpec, TaskId};
use pulleywood_scheduler::shard::failure_attribution::HealthEvent;
use std::collections::BTreeSet;

/// Workers that run what they are told, or fail it at once, under one leader.
struct Workers {
    harness: ShardHarness,
    seq: u64,
    /// Attempts on each machine, and how its next heartbeat lists them.
    attempts: Vec<Vec<(TaskId, Attempt, TaskState)>>,
    /// Launches: second, machine and task.
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

    /// One second, in which each machine reports once.
    fn second(&mut self, s: u64, fails: impl Fn(usize, &JobId) -> bool) {
        self.seq += 1;
        for m in 0..self.attempts.len() {
            let tasks = self.attempts[m].iter().map(|(t, a, how)| match how {
                TaskState::Exited => exited(t, *a, Cause::Error),
                how => status(t, *a, *how),
            });
            let heartbeat = self.harness.heartbeat(m, self.seq, tasks.collect());
            for command in self.harness.heartbeat_and_answer(&heartbeat, s as f64) {
                match command {
                    Command::Launch { task, attempt } => {
                        let how = if fails(m, &task.job) {
                            TaskState::Exited
                        } else {
                            TaskState::Running
                        };
                        self.launched.push((s, m, task.clone()));
                        self.attempts[m].push((task, attempt, how));
                    }
                    Command::Stop { task, attempt, .. } | Command::Clear { task, attempt } => {
                        self.attempts[m].retain(|(t, a, _)| (t, a) != (&task, &attempt));
                    }
                }
            }
        }
        self.harness
            .state
            .tick(at(s as f64 + 0.5), &self.harness.config);
        self.health_events
            .extend(self.harness.state.take_health_events());
    }

    fn launches_of(&self, job: &JobId, from: u64) -> usize {
        let of = |l: &&(u64, usize, TaskId)| l.2.job == *job && l.0 >= from;
        self.launched.iter().filter(of).count()
    }
}

/// A job whose tasks need no image.
fn spec(n: u64, tasks: u32) -> JobSpec {
    JobSpec {
        image_gb: Amount(0.0),
        ..common::spec(n, tasks)
    }
}

fn id(n: u64) -> JobId {
    JobId::parse(&format!("j-{n}")).unwrap()
}

#[test]
fn broken_jobs_quarantine_no_machine_and_take_no_resources_from_others() {
    // (tasks of each of three broken jobs). Jobs that are submitted together may all
    // fail on the same machine before any of them has failed on enough machines.
    for tasks in [1, 2, 30] {
        let mut workers = Workers::new(6);
        for n in 1..=3 {
            workers.harness.submit(spec(n, tasks), false);
        }
        let broken: BTreeSet<JobId> = (1..=3).map(id).collect();
        for s in 1..=120 {
            workers.second(s, |_, job| broken.contains(job));
            assert!(
                workers
                    .harness
                    .state
                    .machines
                    .values()
                    .all(|m| !m.quarantined),
                "{s} s"
            );
            if s >= 10 {
                // Nothing is rented, reserved or moved for them.
                let digest = workers
                    .harness
                    .state
                    .digest(at(s as f64), &workers.harness.config);
                assert!(digest.demand.is_empty(), "{s} s: {:?}", digest.demand);
            }
            if s == 60 {
                workers.harness.submit(spec(9, 20), false);
            }
        }
        // Other jobs start as if the broken ones were not there.
        assert_eq!(workers.launches_of(&id(9), 60), 20);
        assert!(
            workers
                .launched
                .iter()
                .all(|l| l.2.job != id(9) || l.0 <= 61)
        );
        for job in &broken {
            // They are tried now and then, with one task.
            let tries = workers.launches_of(job, 12);
            assert!(tries <= 10, "{tries} tries");
            let first = workers.launches_of(job, 0) - tries;
            // Before that, each task is tried on three machines at most.
            assert!(first <= tasks as usize * 3, "{first} launches at first");
            assert!(
                workers.harness.state.jobs.contains_key(job),
                "{job} is known"
            );
        }
        // A job whose fault is gone runs all its tasks again.
        for s in 121..=400 {
            workers.second(s, |_, job| broken.contains(job) && *job != id(1));
        }
        let tries: Vec<_> = workers
            .launched
            .iter()
            .filter(|l| l.2.job == id(1))
            .collect();
        assert!(
            workers
                .health_events
                .contains(&HealthEvent::JobRecovered(id(1))),
            "{tasks} tasks: {tries:?}"
        );
        let active = workers.harness.state.jobs[&id(1)].active.len();
        assert_eq!(active, (tasks as usize).min(4), "all that fit");
    }
}

#[test]
fn faulty_machines_are_quarantined_also_beside_broken_jobs() {
    // (faulty machines, tasks of a job, broken jobs)
    for (faulty, tasks, broken) in [(1, 1, 0), (1, 8, 3), (3, 8, 3), (3, 1, 2)] {
        let mut workers = Workers::new(8);
        let broken_jobs: BTreeSet<JobId> = (50..50 + broken).map(id).collect();
        for n in 50..50 + broken {
            workers.harness.submit(spec(n, 4), false);
        }
        for s in 1..=240 {
            if s % 12 == 0 {
                let mut job = spec(100 + s, tasks);
                job.gpus = Amount(0.5);
                job.cpus = Amount(0.5);
                job.memory_gb = Amount(0.1);
                workers.harness.submit(job, false);
            }
            workers.second(s, |m, job| m < faulty || broken_jobs.contains(job));
        }
        let quarantined: Vec<usize> = (0..8)
            .filter(|m| workers.harness.state.machines[&machine(*m)].quarantined)
            .collect();
        let expected: Vec<usize> = (0..faulty).collect();
        assert_eq!(quarantined, expected, "{tasks} tasks, {broken} broken");
    }
}
