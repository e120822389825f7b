//! Combinations of two faults. The table in docs/design.md lists the mechanism that preserves the
//! invariants in each.

mod cluster;

use cluster::{CONTROLLERS, LONG_RUN, SHORT_RUN, TestCluster, job, service, wait_until};
use pulleywood_protocol::cbor;
use pulleywood_protocol::job::{JobAnswer, JobStatus};
use pulleywood_protocol::record::JobRecord;
use pulleywood_protocol::{JobId, JobSpec};
use pulleywood_testkit::Fault;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::time::Duration;

/// Allowance for a busy host in addition to `cancel_s`. A task that is not stopped runs much
/// longer than both together.
const CANCEL_TOLERANCE: Duration = Duration::from_secs(3);

fn status_of(body: &[u8]) -> JobStatus {
    cbor::decode::<JobAnswer>(body).unwrap().status
}

/// Cancels a job through any of the given controllers. The invariant checker then expects its
/// tasks to stop within `cancel_s` and [`CANCEL_TOLERANCE`].
fn cancel(cluster: &TestCluster, controllers: &[usize], id: &JobId) {
    let path = format!("/v2/runs/{id}/cancel");
    wait_until("the job is cancelled", || {
        controllers.iter().any(|&controller| {
            let (status, body) = cluster.call(controller, "POST", &path, None);
            status == 200 && status_of(&body) == JobStatus::Cancelled
        })
    });
    cluster
        .invariants
        .record_cancellation(id, cluster.cancel_timeout + CANCEL_TOLERANCE);
}

fn controllers_except(leader: usize) -> Vec<usize> {
    (0..CONTROLLERS).filter(|n| *n != leader).collect()
}

/// Submits a service of four tasks, some of which are transferred to another shard than the
/// job's own. Every machine is half full, so that none can be moved to the job's shard.
fn submit_partly_transferred(
    cluster: &TestCluster,
    ids: &mut impl Iterator<Item = u64>,
) -> JobSpec {
    let fillers: Vec<JobSpec> = ids.take(8).map(|n| service(n, 1)).collect();
    cluster.submit_all(&fillers, LONG_RUN);
    let runs = |spec: &JobSpec| cluster.invariants.running_tasks(&spec.id) == 1;
    wait_until("all machines are full", || fillers.iter().all(runs));
    let mut one_per_machine = BTreeMap::new();
    for spec in &fillers {
        let machine = cluster.invariants.machines_of(&spec.id).pop_first();
        one_per_machine.entry(machine).or_insert(&spec.id);
    }
    for id in one_per_machine.into_values() {
        cancel(cluster, &[0, 1, 2], id);
        cluster.wait_stopped(id);
    }
    let mut wide = service(ids.next().unwrap(), 4);
    cluster.submit(&wide, LONG_RUN);
    let transferred = |id: &JobId| {
        let records = cluster.store.values("c/job/");
        let mut records = records.iter().filter_map(|v| cbor::from_value(v).ok());
        records.any(|r: JobRecord| r.spec.id == *id && !r.transferred.is_empty())
    };
    // If all four machines are in the job's own shard, no task is transferred, and the next job
    // may belong to another shard.
    wait_until("tasks of the service are transferred", || {
        if cluster.invariants.running_tasks(&wide.id) == 4 && !transferred(&wide.id) {
            cancel(cluster, &[0, 1, 2], &wide.id);
            cluster.wait_stopped(&wide.id);
            wide = service(ids.next().unwrap(), 4);
            cluster.submit(&wide, LONG_RUN);
        }
        cluster.invariants.running_tasks(&wide.id) == 4 && transferred(&wide.id)
    });
    wide
}

#[test]
fn cancellations_answered_during_store_outages_are_carried_out() {
    // A job with transferred tasks is cancelled while the store refuses one controller, then all
    // of them for longer than `cancel_s`; each controller in turn is the first one refused. The
    // second round repeats this with a new job.
    let scenario = |leader: usize| {
        let cluster = TestCluster::new(0.0);
        let mut ids = 1..;
        let mut spec = submit_partly_transferred(&cluster, &mut ids);
        for round in 0..2 {
            cluster.store_endpoints[leader].set_fault(Fault::Refuse);
            cancel(&cluster, &controllers_except(leader), &spec.id);
            cluster.set_store_fault_everywhere(Fault::Refuse);
            cluster.wait_stopped(&spec.id);
            // No controller responds to workers any longer, so their leases expire.
            wait_until("the leases of all workers expired", || {
                cluster.invariants.all_running_tasks() == 0
            });
            for controller in 0..CONTROLLERS {
                let (status, _) =
                    cluster.call(controller, "GET", &format!("/v2/runs/{}", spec.id), None);
                assert!([200, 429, 503].contains(&status), "{status}");
            }
            cluster.store.extend_leases();
            cluster.set_store_fault_everywhere(Fault::None);
            cluster.wait_status_everywhere(&spec.id, JobStatus::Cancelled);
            if round == 0 {
                spec = service(ids.next().unwrap(), 4);
                cluster.submit_and_wait_all_running(&spec);
            }
        }
        cluster.assert_invariants();
    };
    std::thread::scope(|scope| {
        for leader in 0..CONTROLLERS {
            scope.spawn(move || scenario(leader));
        }
    });
}

/// The newest state of a job in any response. A later response must not contain an older state.
struct NewestState {
    /// 0: unknown, 1: accepted, 2: done, 3: cancelled.
    state: AtomicU8,
    /// Whether the users have to stop sending requests.
    stop: AtomicBool,
}

impl NewestState {
    /// Checks the response to a request that was sent when `minimum` was the newest state.
    fn check(&self, minimum: u8, status: u16, body: &[u8], request: &str) {
        let state = match status {
            404 => 0,
            200 | 201 => match status_of(body) {
                JobStatus::Done => 2,
                JobStatus::Cancelled => 3,
                _ => 1,
            },
            429 | 500.. | 0 => return,
            _ => panic!("{request}: unexpected status {status}"),
        };
        assert!(state >= minimum, "{request}: state {state} after {minimum}");
        assert!(
            state < 3 || minimum != 2,
            "{request}: cancelled after it was done"
        );
        self.state.fetch_max(state, Ordering::SeqCst);
    }

    fn get(&self) -> u8 {
        self.state.load(Ordering::SeqCst)
    }
}

#[test]
fn no_controller_answers_with_an_older_state_however_soon_users_ask() {
    // Users poll all controllers and repeat the submission without a pause, from before the job is
    // accepted until its final state. A third of the jobs is cancelled right after acceptance, a
    // third when its last task has ended.
    for fault in [Fault::None, Fault::LoseResponses, Fault::Slow(120)] {
        let cluster = TestCluster::new(0.0);
        for number in 1..=6 {
            let spec = job(number, 2);
            cluster.invariants.expect_job(spec.clone(), SHORT_RUN);
            // One controller's connection to the store has the fault.
            cluster.store_endpoints[number as usize % CONTROLLERS].set_fault(fault);
            let newest = NewestState {
                state: AtomicU8::new(0),
                stop: AtomicBool::new(false),
            };
            let (cluster, newest, spec) = (&cluster, &newest, &spec);
            let poll = format!("/v2/runs/{}", spec.id);
            let cancel_path = format!("{poll}/cancel");
            let body = cbor::encode(spec);
            let ask = |controller: usize, method: &str, path: &str, body: Option<&[u8]>| {
                let minimum = newest.get();
                let (status, response) = cluster.call(controller, method, path, body);
                let request = format!("{method} {path} at controller {controller}");
                newest.check(minimum, status, &response, &request);
                status
            };
            std::thread::scope(|scope| {
                for controller in 0..CONTROLLERS {
                    let (ask, poll, body) = (&ask, &poll, &body);
                    scope.spawn(move || {
                        while !newest.stop.load(Ordering::Relaxed) {
                            ask(controller, "GET", poll, None);
                            if newest.get() > 0 {
                                ask(controller, "POST", "/v2/runs", Some(body));
                            }
                        }
                    });
                }
                let controller = number as usize % CONTROLLERS;
                wait_until("the job is accepted", || {
                    [200, 201].contains(&ask(controller, "POST", "/v2/runs", Some(&body)))
                });
                match number % 3 {
                    0 => {
                        wait_until("the cancellation is answered", || {
                            ask(controller, "POST", &cancel_path, None) == 200
                        });
                    }
                    1 => {
                        wait_until("all tasks of the job have ended", || {
                            cluster.invariants.is_done(&spec.id)
                        });
                        wait_until("the cancellation is answered", || {
                            ask(controller, "POST", &cancel_path, None) == 200
                        });
                    }
                    _ => {}
                }
                wait_until("the job has a final state", || newest.get() >= 2);
                cluster.set_store_fault_everywhere(Fault::None);
                let status_at = |controller| cluster.status(controller, &spec.id);
                wait_until("all controllers respond with the same final state", || {
                    let statuses: Vec<_> = (0..CONTROLLERS).map(status_at).collect();
                    statuses.iter().all(|s| {
                        *s == statuses[0]
                            && matches!(s, Some(JobStatus::Done | JobStatus::Cancelled))
                    })
                });
                newest.stop.store(true, Ordering::Relaxed);
            });
        }
        cluster.assert_invariants();
    }
}

#[test]
fn invalid_submissions_are_rejected_during_store_faults_and_valid_ones_never() {
    let cluster = TestCluster::new(2.0);
    let valid = job(1, 2);
    cluster.submit(&valid, LONG_RUN);
    let incomplete = cbor::encode(&BTreeMap::from([("uid", "j-000002")]));
    let wide = cbor::encode(&service(3, 3));
    let valid = cbor::encode(&valid);
    for fault in [
        Fault::None,
        Fault::Refuse,
        Fault::LoseResponses,
        Fault::None,
    ] {
        cluster.set_store_fault_everywhere(fault);
        for controller in 0..CONTROLLERS {
            for _ in 0..2 {
                assert_eq!(
                    cluster
                        .call(controller, "POST", "/v2/runs", Some(&incomplete))
                        .0,
                    400
                );
                let (status, _) = cluster.call(controller, "POST", "/v2/runs", Some(&wide));
                assert!([422, 429, 503].contains(&status), "{fault:?}: {status}");
                let (status, _) = cluster.call(controller, "POST", "/v2/runs", Some(&valid));
                assert!([200, 429, 503].contains(&status), "{fault:?}: {status}");
            }
        }
        cluster.store.extend_leases();
    }
    cluster.wait_done(&JobId::parse("j-000001").unwrap());
    cluster.assert_invariants();
}

#[test]
fn a_team_limit_holds_while_cancelled_tasks_are_unreachable() {
    // A job's machines are cut off, the job is cancelled, and in one variant all shards change
    // their leaders. Tasks that may still run count against the limit until their workers' leases
    // have certainly expired, also for later jobs, which otherwise do not wait for earlier ones.
    // The lease is long enough to rent other machines while the tasks still run.
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
        cluster.submit(&next, SHORT_RUN);
        cluster.wait_stopped(&spec.id);
        cluster.wait_done(&next.id);
        cluster.assert_invariants();
    }
}

#[test]
fn jobs_cancelled_during_a_failover_never_run_again() {
    let mut cluster = TestCluster::new(0.0);
    let specs: Vec<JobSpec> = (1..=6).map(|n| service(n, 1)).collect();
    cluster.submit_all(&specs, LONG_RUN);
    wait_until("all services run", || {
        let runs = |s: &JobSpec| cluster.invariants.running_tasks(&s.id) == 1;
        specs.iter().all(runs)
    });
    for (round, spec) in specs.iter().enumerate() {
        let leader = round % CONTROLLERS;
        // The leader restarts, or loses its shard because the store refuses its requests.
        if round % 2 == 0 {
            cluster.restart(leader);
        } else {
            cluster.store_endpoints[leader].set_fault(Fault::Refuse);
        }
        cancel(&cluster, &controllers_except(leader), &spec.id);
        cluster.store_endpoints[leader].set_fault(Fault::None);
    }
    for spec in &specs {
        cluster.wait_stopped(&spec.id);
    }
    let next = job(7, 8);
    cluster.submit_and_wait_done(&next);
    cluster.assert_invariants();
}

#[test]
fn machines_registered_by_delayed_writes_are_known_to_the_next_leader() {
    // Tasks are launched on new machines while transactions are applied late. Then a machine with
    // tasks is cut off and the controllers restart. The lease is long enough to rent another
    // machine while the tasks still run.
    let mut cluster = TestCluster::with_lease(0.0, 6.0);
    cluster.set_store_fault_everywhere(Fault::EverySecondLate(600));
    let spec = job(1, 4);
    cluster.submit(&spec, Duration::from_secs(8));
    wait_until("a task of the job runs", || {
        cluster.invariants.running_tasks(&spec.id) > 0
    });
    let machine = cluster.first_machine_of(&spec.id);
    cluster
        .cloud
        .worker(&machine)
        .unwrap()
        .set_partitioned(true);
    cluster.restart_one_by_one();
    cluster.set_store_fault_everywhere(Fault::None);
    cluster.wait_done(&spec.id);
    cluster.assert_invariants();
}

#[test]
fn a_stream_of_one_task_jobs_takes_three_writes_each() {
    // One write accepts a job, and two end it: the live record is deleted and the final state is
    // written. A quarter of the jobs is cancelled.
    const JOBS: u64 = 48;
    let cluster = TestCluster::new(0.0);
    let first = job(1000, 8);
    cluster.submit_and_wait_done(&first);
    let writes_before = cluster.store.writes();
    for number in 1..=JOBS {
        let spec = match number % 4 {
            0 => service(number, 1),
            _ => job(number, 1),
        };
        cluster.submit(&spec, SHORT_RUN);
        if number % 4 == 0 {
            cancel(&cluster, &[(number / 4) as usize % CONTROLLERS], &spec.id);
        }
    }
    for number in 1..=JOBS {
        let id = job(number, 1).id;
        match number % 4 {
            0 => cluster.wait_stopped(&id),
            _ => cluster.wait_done(&id),
        }
    }
    let writes = cluster.store.writes() - writes_before;
    // The tolerance covers writes for machines that change shards, their images, and quotas.
    assert!(writes <= 3 * JOBS + JOBS / 2, "{writes} writes");
    assert!(cluster.store.keys("c/job/").is_empty());
    cluster.assert_invariants();
}
