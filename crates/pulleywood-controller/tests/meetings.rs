//! Combinations of two faults. The table in docs/design.md says which mechanism keeps the
//! rules in each.

mod cluster;

use cluster::{CONTROLLERS, LONG, SHORT, TestCluster, job, service, wait};
use pulleywood_protocol::cbor;
use pulleywood_protocol::job::{JobAnswer, JobStatus};
use pulleywood_protocol::record::JobRecord;
use pulleywood_protocol::{JobId, JobSpec};
use pulleywood_testkit::Fault;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::time::Duration;

/// What a busy machine may take in addition to `cancel_s`. A task that is not stopped runs
/// much longer.
const SLACK: Duration = Duration::from_secs(3);

fn status_of(body: &[u8]) -> JobStatus {
    cbor::decode::<JobAnswer>(body).unwrap().status
}

/// Cancels a job through any of some controllers. From then on its tasks have `cancel_s` to
/// stop.
fn cancel(cluster: &TestCluster, through: &[usize], id: &JobId) {
    let path = format!("/v2/runs/{id}/cancel");
    wait("cancelled", || {
        through.iter().any(|&n| {
            let (status, body) = cluster.call(n, "POST", &path, None);
            status == 200 && status_of(&body) == JobStatus::Cancelled
        })
    });
    cluster
        .invariants
        .record_cancellation(id, cluster.cancel + SLACK);
}

fn others(leader: usize) -> Vec<usize> {
    (0..CONTROLLERS).filter(|n| *n != leader).collect()
}

/// Submits a service of four tasks, some of which run on another shard than the job's own:
/// every machine is half full, so that none can be moved to the job's shard.
fn partly_transferred(cluster: &TestCluster, ids: &mut impl Iterator<Item = u64>) -> JobSpec {
    let small: Vec<JobSpec> = ids.take(8).map(|n| service(n, 1)).collect();
    cluster.submit_all(&small, LONG);
    let runs = |spec: &JobSpec| cluster.invariants.running_tasks(&spec.id) == 1;
    wait("all machines are full", || small.iter().all(runs));
    let mut halves = BTreeMap::new();
    for spec in &small {
        let machine = cluster.invariants.machines_of(&spec.id).pop_first();
        halves.entry(machine).or_insert(&spec.id);
    }
    for id in halves.into_values() {
        cancel(cluster, &[0, 1, 2], id);
        cluster.wait_gone(id);
    }
    let mut wide = service(ids.next().unwrap(), 4);
    cluster.submit(&wide, LONG);
    let transferred = |id: &JobId| {
        let records = cluster.store.values("c/job/");
        let mut records = records.iter().filter_map(|v| cbor::from_value(v).ok());
        records.any(|r: JobRecord| r.spec.id == *id && !r.transferred.is_empty())
    };
    // If all four machines are in the job's own shard, the next job may select another.
    wait("transferred", || {
        if cluster.invariants.running_tasks(&wide.id) == 4 && !transferred(&wide.id) {
            cancel(cluster, &[0, 1, 2], &wide.id);
            cluster.wait_gone(&wide.id);
            wide = service(ids.next().unwrap(), 4);
            cluster.submit(&wide, LONG);
        }
        cluster.invariants.running_tasks(&wide.id) == 4 && transferred(&wide.id)
    });
    wide
}

#[test]
fn cancellations_answered_during_store_outages_are_carried_out() {
    // Twice in a row, for each controller as the first one refused, with transferred tasks.
    // The outage is longer than `cancel_s`.
    let scenario = |leader: usize| {
        let cluster = TestCluster::new(0.0);
        let mut ids = 1..;
        let mut spec = partly_transferred(&cluster, &mut ids);
        for round in 0..2 {
            cluster.endpoints[leader].set_fault(Fault::Refuse);
            cancel(&cluster, &others(leader), &spec.id);
            cluster.set_all(Fault::Refuse);
            cluster.wait_gone(&spec.id);
            // No controller answers workers any longer, so their leases expire.
            wait("all leases expired", || {
                cluster.invariants.all_running_tasks() == 0
            });
            for n in 0..CONTROLLERS {
                let (status, _) = cluster.call(n, "GET", &format!("/v2/runs/{}", spec.id), None);
                assert!([200, 429, 503].contains(&status), "{status}");
            }
            cluster.store.extend_leases();
            cluster.set_all(Fault::None);
            cluster.wait_status_everywhere(&spec.id, JobStatus::Cancelled);
            if round == 0 {
                spec = service(ids.next().unwrap(), 4);
                cluster.submit_and_wait_all_running(&spec);
            }
        }
        cluster.finish();
    };
    std::thread::scope(|scope| {
        for leader in 0..CONTROLLERS {
            scope.spawn(move || scenario(leader));
        }
    });
}

/// The newest state of a job that any answer gave. No later answer may give an older one.
struct NewestAnswer {
    /// 0: none, 1: accepted, 2: done, 3: cancelled.
    rank: AtomicU8,
    /// The test is over: users stop asking.
    stop: AtomicBool,
}

impl NewestAnswer {
    /// Checks an answer to a request that was sent when `floor` was the newest state.
    fn check(&self, floor: u8, status: u16, body: &[u8], what: &str) {
        let rank = match status {
            404 => 0,
            200 | 201 => match status_of(body) {
                JobStatus::Done => 2,
                JobStatus::Cancelled => 3,
                _ => 1,
            },
            429 | 500.. | 0 => return,
            _ => panic!("{what}: {status}"),
        };
        assert!(rank >= floor, "{what}: {rank} after {floor}");
        assert!(rank < 3 || floor != 2, "{what}: cancelled after done");
        self.rank.fetch_max(rank, Ordering::SeqCst);
    }

    fn floor(&self) -> u8 {
        self.rank.load(Ordering::SeqCst)
    }
}

#[test]
fn no_controller_answers_with_an_older_state_however_soon_users_ask() {
    // Users ask all controllers without a pause and repeat the submission, from before the job
    // is accepted until its final state. Some cancel at once, some at the end of the last task.
    for fault in [Fault::None, Fault::LoseResponses, Fault::Slow(120)] {
        let cluster = TestCluster::new(0.0);
        for n in 1..=6 {
            let spec = job(n, 2);
            cluster.invariants.expect_job(spec.clone(), SHORT);
            // One controller's connection to the store is faulty.
            cluster.endpoints[n as usize % CONTROLLERS].set_fault(fault);
            let newest = NewestAnswer {
                rank: AtomicU8::new(0),
                stop: AtomicBool::new(false),
            };
            let (cluster, newest, spec) = (&cluster, &newest, &spec);
            let poll = format!("/v2/runs/{}", spec.id);
            let cancel_path = format!("{poll}/cancel");
            let body = cbor::encode(spec);
            let ask = |n: usize, method: &str, path: &str, body: Option<&[u8]>| {
                let floor = newest.floor();
                let (status, answer) = cluster.call(n, method, path, body);
                newest.check(floor, status, &answer, &format!("{method} {path} at {n}"));
                status
            };
            std::thread::scope(|scope| {
                for controller in 0..CONTROLLERS {
                    let (ask, poll, body) = (&ask, &poll, &body);
                    scope.spawn(move || {
                        while !newest.stop.load(Ordering::Relaxed) {
                            ask(controller, "GET", poll, None);
                            if newest.floor() > 0 {
                                ask(controller, "POST", "/v2/runs", Some(body));
                            }
                        }
                    });
                }
                let controller = n as usize % CONTROLLERS;
                wait("accepted", || {
                    [200, 201].contains(&ask(controller, "POST", "/v2/runs", Some(&body)))
                });
                match n % 3 {
                    0 => {
                        wait("cancelled", || {
                            ask(controller, "POST", &cancel_path, None) == 200
                        });
                    }
                    1 => {
                        // At the end of its last task.
                        wait("ended", || cluster.invariants.is_done(&spec.id));
                        wait("cancelled", || {
                            ask(controller, "POST", &cancel_path, None) == 200
                        });
                    }
                    _ => {}
                }
                wait("final state", || newest.floor() >= 2);
                cluster.set_all(Fault::None);
                let known = |n| cluster.status(n, &spec.id);
                wait("the same final state everywhere", || {
                    let all: Vec<_> = (0..CONTROLLERS).map(known).collect();
                    all.iter().all(|s| {
                        *s == all[0] && matches!(s, Some(JobStatus::Done | JobStatus::Cancelled))
                    })
                });
                newest.stop.store(true, Ordering::Relaxed);
            });
        }
        cluster.finish();
    }
}

#[test]
fn invalid_submissions_are_rejected_during_store_faults_and_valid_ones_never() {
    let cluster = TestCluster::new(2.0);
    let valid = job(1, 2);
    cluster.submit(&valid, LONG);
    let incomplete = cbor::encode(&BTreeMap::from([("uid", "j-000002")]));
    let wide = cbor::encode(&service(3, 3));
    let valid = cbor::encode(&valid);
    for fault in [
        Fault::None,
        Fault::Refuse,
        Fault::LoseResponses,
        Fault::None,
    ] {
        cluster.set_all(fault);
        for n in 0..CONTROLLERS {
            for _ in 0..2 {
                assert_eq!(
                    cluster.call(n, "POST", "/v2/runs", Some(&incomplete)).0,
                    400
                );
                let (status, _) = cluster.call(n, "POST", "/v2/runs", Some(&wide));
                assert!([422, 429, 503].contains(&status), "{fault:?}: {status}");
                let (status, _) = cluster.call(n, "POST", "/v2/runs", Some(&valid));
                assert!([200, 429, 503].contains(&status), "{fault:?}: {status}");
            }
        }
        cluster.store.extend_leases();
    }
    cluster.wait_done(&JobId::parse("j-000001").unwrap());
    cluster.finish();
}

#[test]
fn a_team_limit_holds_while_cancelled_tasks_are_unreachable() {
    // Its machines are cut off, its job is cancelled, and shards change their leaders. Tasks
    // that may still run count against the limit until they surely do not, also for later
    // jobs, which do not have to wait for earlier ones otherwise. The lease is long enough to
    // rent other machines while the tasks still run.
    for keep_leaders in [true, false] {
        let mut cluster = TestCluster::with_lease(4.0, 10.0);
        let spec = service(1, 4);
        cluster.submit_and_wait_all_running(&spec);
        for machine in cluster.invariants.machines_of(&spec.id) {
            cluster
                .cloud
                .worker(&machine)
                .unwrap()
                .set_partitioned(true);
        }
        cancel(&cluster, &[0, 1, 2], &spec.id);
        if !keep_leaders {
            cluster.restart_one_by_one();
        }
        let next = job(2, 4);
        cluster.submit(&next, SHORT);
        cluster.wait_gone(&spec.id);
        cluster.wait_done(&next.id);
        cluster.finish();
    }
}

#[test]
fn jobs_cancelled_during_a_failover_never_run_again() {
    let mut cluster = TestCluster::new(0.0);
    let specs: Vec<JobSpec> = (1..=6).map(|n| service(n, 1)).collect();
    cluster.submit_all(&specs, LONG);
    wait("all run", || {
        let run = |s: &JobSpec| cluster.invariants.running_tasks(&s.id) == 1;
        specs.iter().all(run)
    });
    for (round, spec) in specs.iter().enumerate() {
        let leader = round % CONTROLLERS;
        // The leader restarts, or loses its shard for want of the store.
        if round % 2 == 0 {
            cluster.restart(leader);
        } else {
            cluster.endpoints[leader].set_fault(Fault::Refuse);
        }
        cancel(&cluster, &others(leader), &spec.id);
        cluster.endpoints[leader].set_fault(Fault::None);
    }
    for spec in &specs {
        cluster.wait_gone(&spec.id);
    }
    let next = job(7, 8);
    cluster.submit_and_wait_done(&next);
    cluster.finish();
}

#[test]
fn machines_registered_by_delayed_writes_are_known_to_the_next_leader() {
    // Tasks are launched on new machines while transactions are applied late. Then the
    // controllers restart and a machine with tasks is cut off. The lease is long enough to rent
    // another machine while the tasks still run.
    let mut cluster = TestCluster::with_lease(0.0, 6.0);
    cluster.set_all(Fault::EverySecondLate(600));
    let spec = job(1, 4);
    cluster.submit(&spec, Duration::from_secs(8));
    wait("running", || cluster.invariants.running_tasks(&spec.id) > 0);
    let machine = cluster.first_machine_of(&spec.id);
    cluster
        .cloud
        .worker(&machine)
        .unwrap()
        .set_partitioned(true);
    cluster.restart_one_by_one();
    cluster.set_all(Fault::None);
    cluster.wait_done(&spec.id);
    cluster.finish();
}

#[test]
fn a_stream_of_one_task_jobs_takes_three_writes_each() {
    // One write accepts a job, two end it: its live record is deleted and its final state is
    // written. A quarter of the jobs is cancelled.
    const JOBS: u64 = 48;
    let cluster = TestCluster::new(0.0);
    let first = job(1000, 8);
    cluster.submit_and_wait_done(&first);
    let before = cluster.store.writes();
    for n in 1..=JOBS {
        let spec = match n % 4 {
            0 => service(n, 1),
            _ => job(n, 1),
        };
        cluster.submit(&spec, SHORT);
        if n % 4 == 0 {
            cancel(&cluster, &[(n / 4) as usize % CONTROLLERS], &spec.id);
        }
    }
    for n in 1..=JOBS {
        let id = job(n, 1).id;
        match n % 4 {
            0 => cluster.wait_gone(&id),
            _ => cluster.wait_done(&id),
        }
    }
    let writes = cluster.store.writes() - before;
    // A few further writes: machines that change shards, their images, quotas.
    assert!(writes <= 3 * JOBS + JOBS / 2, "{writes} writes");
    assert!(cluster.store.keys("c/job/").is_empty());
    cluster.finish();
}
