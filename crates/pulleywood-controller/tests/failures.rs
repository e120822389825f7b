//! Single faults: controllers are killed or cut off from the store or their peers, and messages
//! are lost, delayed or repeated.

mod cluster;

use cluster::{CONTROLLERS, LONG_RUN, SHORT_RUN, TestCluster, job, service, wait_until};
use pulleywood_protocol::cbor::{self, Amount};
use pulleywood_protocol::job::{JobAnswer, JobStatus};
use pulleywood_protocol::{JobSpec, Shape};
use pulleywood_testkit::Fault;
use std::time::Duration;

#[test]
fn requests_get_the_statuses_of_the_protocol() {
    let cluster = TestCluster::new(2.0);
    let valid = job(1, 2);
    type Edit = fn(&mut JobSpec);
    let cases: [(&str, Edit, u16); 9] = [
        ("no tasks", |s| s.tasks = 0, 400),
        ("too many tasks", |s| s.tasks = 100_001, 400),
        ("not a number", |s| s.cpus = Amount(f64::NAN), 400),
        ("infinite", |s| s.gpus = Amount(f64::INFINITY), 400),
        ("negative", |s| s.memory_gb = Amount(-1.0), 400),
        ("unknown team", |s| s.team = "blue".into(), 422),
        ("unknown type", |s| s.types = Some(vec!["x".into()]), 422),
        ("too large a task", |s| s.cpus = Amount(9.0), 422),
        (
            "a service over its team's limit",
            |s| (s.shape, s.tasks) = (Shape::Service, 3),
            422,
        ),
    ];
    for (name, edit, expected) in cases {
        let mut spec = valid.clone();
        edit(&mut spec);
        let body = cbor::encode(&spec);
        let (status, _) = cluster.call(0, "POST", "/v2/runs", Some(&body));
        assert_eq!(status, expected, "{name}");
    }
    type RawRequest = (
        &'static str,
        &'static str,
        &'static str,
        Option<&'static [u8]>,
        u16,
    );
    let raw_requests: [RawRequest; 9] = [
        ("not CBOR", "POST", "/v2/runs", Some(b"\xff\xff"), 400),
        ("not a map", "POST", "/v2/runs", Some(b"\x01"), 400),
        ("an empty map", "POST", "/v2/runs", Some(b"\xa0"), 400),
        ("wrong method", "GET", "/v2/runs", None, 405),
        ("unknown path", "GET", "/v2/walks", None, 404),
        ("unknown job", "GET", "/v2/runs/j-999999", None, 404),
        ("no job id", "GET", "/v2/runs/xyz", None, 404),
        (
            "cancel an unknown job",
            "POST",
            "/v2/runs/j-999999/cancel",
            None,
            404,
        ),
        (
            "malformed heartbeat",
            "POST",
            "/v1/report",
            Some(b"\xa1"),
            400,
        ),
    ];
    for (name, method, path, body, expected) in raw_requests {
        assert_eq!(cluster.call(1, method, path, body).0, expected, "{name}");
    }
    cluster.submit_and_wait_done(&valid);
    // A repeated submission is answered with the state of the job, at any later time and by any
    // controller. A job that is done cannot be cancelled.
    let body = cbor::encode(&valid);
    for controller in 0..CONTROLLERS {
        let cancel = format!("/v2/runs/{}/cancel", valid.id);
        for (path, body) in [("/v2/runs", Some(&body[..])), (&cancel, None)] {
            let (status, body) = cluster.call(controller, "POST", path, body);
            assert_eq!(status, 200);
            let answer: JobAnswer = cbor::decode(&body).unwrap();
            assert_eq!(answer.status, JobStatus::Done);
        }
    }
    cluster.assert_invariants();
}

#[test]
fn jobs_finish_while_store_responses_are_lost_late_or_slow() {
    for fault in [Fault::LoseResponses, Fault::Late(1700), Fault::Slow(900)] {
        let cluster = TestCluster::new(0.0);
        let first = job(1, 4);
        cluster.submit_and_wait_running(&first);
        cluster.store_endpoints[0].set_fault(fault);
        cluster.store_endpoints[1].set_fault(fault);
        let second = job(2, 2);
        cluster.submit_and_wait_done(&second);
        cluster.set_store_fault_everywhere(Fault::None);
        cluster.wait_done(&first.id);
        cluster.assert_invariants();
    }
}

#[test]
fn failover_waits_for_an_unreachable_machine() {
    let mut cluster = TestCluster::new(0.0);
    let spec = job(1, 8);
    cluster.submit_and_wait_all_running(&spec);
    // A worker is cut off while its tasks continue to run, and all controllers are restarted.
    let machine = cluster.first_machine_of(&spec.id);
    cluster
        .cloud
        .worker(&machine)
        .unwrap()
        .set_partitioned(true);
    cluster.restart_all();
    cluster.wait_done(&spec.id);
    cluster.assert_invariants();
}

#[test]
fn a_leader_cut_off_from_the_store_is_replaced_and_rejoins() {
    for fault in [Fault::NoAnswer, Fault::Refuse] {
        let cluster = TestCluster::new(0.0);
        let spec = job(1, 6);
        cluster.submit_and_wait_running(&spec);
        cluster.store_endpoints[0].set_fault(fault);
        cluster.wait_done(&spec.id);
        cluster.restore_store_access(0);
        let next = job(2, 2);
        cluster.submit_and_wait_done(&next);
        cluster.assert_invariants();
    }
}

#[test]
fn a_job_cancelled_while_a_leader_is_cut_off_never_runs_again() {
    for leader in 0..CONTROLLERS {
        let cluster = TestCluster::new(0.0);
        let spec = service(1, 4);
        cluster.submit_and_wait_all_running(&spec);
        cluster.store_endpoints[leader].set_fault(Fault::NoAnswer);
        let other = (leader + 1) % CONTROLLERS;
        cluster.cancel(other, &spec.id);
        cluster.wait_stopped(&spec.id);
        cluster.restore_store_access(leader);
        let next = job(2, 2);
        cluster.submit_and_wait_done(&next);
        cluster.wait_status_everywhere(&spec.id, JobStatus::Cancelled);
        cluster.assert_invariants();
    }
}

#[test]
fn accepted_jobs_survive_a_restart_of_all_controllers_during_a_store_outage() {
    let mut cluster = TestCluster::new(0.0);
    let specs: Vec<JobSpec> = (1..=3).map(|n| job(n, 3)).collect();
    cluster.submit_all(&specs, LONG_RUN);
    cluster.set_store_fault_everywhere(Fault::Refuse);
    // Submissions are refused without delay.
    let refused = job(9, 1);
    wait_until("all controllers refuse submissions", || {
        (0..CONTROLLERS).all(|n| cluster.refuses(n, &refused))
    });
    cluster.restart_all();
    cluster.store.extend_leases();
    cluster.set_store_fault_everywhere(Fault::None);
    cluster.wait_all_done(&specs);
    cluster.assert_invariants();
}

#[test]
fn a_team_limit_holds_while_the_lease_of_a_shards_leader_expires() {
    let mut cluster = TestCluster::new(3.0);
    let specs: Vec<JobSpec> = (1..=4).map(|n| job(n, 3)).collect();
    cluster.submit_all(&specs, Duration::from_secs(1));
    wait_until("a task of any job runs", || {
        specs
            .iter()
            .any(|s| cluster.invariants.running_tasks(&s.id) > 0)
    });
    cluster.kill(0);
    cluster.store_endpoints[1].set_fault(Fault::NoAnswer);
    wait_until("more than four tasks have been started", || {
        specs
            .iter()
            .map(|s| cluster.invariants.start_count(&s.id))
            .sum::<u32>()
            > 4
    });
    cluster.start(0);
    cluster.store_endpoints[1].set_fault(Fault::None);
    cluster.wait_all_done(&specs);
    assert!(!cluster.store.keys("c/grant/").is_empty());
    cluster.assert_invariants();
}

#[test]
fn a_burst_of_submissions_is_accepted_in_job_batches_without_loss() {
    let mut cluster = TestCluster::with_write_rate(0.0, 12.0);
    let jobs: Vec<JobSpec> = (1..=24).map(|n| job(n, 1)).collect();
    let services: Vec<JobSpec> = (101..=106).map(|n| service(n, 1)).collect();
    // Users submit concurrently, each to one controller after the other until one accepts.
    std::thread::scope(|scope| {
        for spec in jobs.iter().chain(&services) {
            let cluster = &cluster;
            scope.spawn(move || cluster.submit(spec, SHORT_RUN));
        }
    });
    assert!(
        !cluster.store.keys("c/pack/").is_empty(),
        "no job batch was written"
    );
    // A repeated submission finds the job in its batch or its own record and is not accepted a
    // second time.
    for spec in jobs.iter().chain(&services) {
        let body = cbor::encode(spec);
        wait_until("the job is known", || {
            let (status, _) = cluster.call(1, "POST", "/v2/runs", Some(&body));
            assert!(status == 200 || status == 429 || status == 503, "{status}");
            status == 200
        });
    }
    cluster.restart_all();
    for spec in &services {
        cluster.cancel(2, &spec.id);
    }
    cluster.wait_all_done(&jobs);
    for spec in &services {
        wait_until("no task of the service runs", || {
            cluster.invariants.running_tasks(&spec.id) == 0
        });
        cluster.wait_status_everywhere(&spec.id, JobStatus::Cancelled);
    }
    wait_until("no job batch is left", || {
        cluster.store.keys("c/pack/").is_empty()
    });
    cluster.assert_invariants();
}

#[test]
fn tasks_of_an_inbound_partitioned_machine_are_replaced_and_it_is_used_again() {
    let cluster = TestCluster::new(0.0);
    let spec = service(1, 4);
    cluster.submit_and_wait_all_running(&spec);
    let partitioned = cluster.first_machine_of(&spec.id);
    let worker = cluster.cloud.worker(&partitioned).unwrap();
    worker.set_inbound_partitioned(true);
    wait_until("all tasks run on other machines", || {
        cluster.invariants.running_tasks(&spec.id) == 4
            && !cluster
                .invariants
                .machines_of(&spec.id)
                .contains(&partitioned)
    });
    // The machine gets no launches while it is partitioned, and is used again afterwards.
    let next = job(2, 6);
    cluster.submit(&next, SHORT_RUN);
    worker.set_inbound_partitioned(false);
    cluster.wait_done(&next.id);
    cluster.assert_invariants();
}

#[test]
fn late_copies_of_heartbeats_launch_nothing_twice() {
    let mut cluster = TestCluster::new(0.0);
    let spec = job(1, 6);
    cluster.submit_and_wait_all_running(&spec);
    let machines = cluster.invariants.machines_of(&spec.id);
    let workers: Vec<_> = machines
        .iter()
        .map(|m| cluster.cloud.worker(m).unwrap())
        .collect();
    // The copies reach leaders, other controllers, and new leaders that know no sequence numbers
    // yet.
    for round in 0..3 {
        for worker in &workers {
            worker.resend_heartbeats();
        }
        if round == 1 {
            cluster.restart_one_by_one();
        }
    }
    cluster.wait_done(&spec.id);
    for worker in &workers {
        worker.resend_heartbeats();
    }
    let next = job(2, 4);
    cluster.submit_and_wait_done(&next);
    cluster.wait_status_everywhere(&spec.id, JobStatus::Done);
    cluster.assert_invariants();
}

#[test]
fn an_isolated_leader_launches_nothing_and_obeys_cancellations() {
    for leader in 0..CONTROLLERS {
        let cluster = TestCluster::new(0.0);
        let service = service(1, 6);
        cluster.submit_and_wait_all_running(&service);
        cluster.isolate(leader);
        let other = (leader + 1) % CONTROLLERS;
        cluster.cancel(other, &service.id);
        cluster.wait_stopped(&service.id);
        // The isolated controller tells users without delay to retry.
        let refused = job(9, 1);
        wait_until("the isolated controller refuses submissions", || {
            cluster.refuses(leader, &refused)
        });
        let next = job(2, 4);
        cluster.invariants.expect_job(next.clone(), SHORT_RUN);
        let body = cbor::encode(&next);
        wait_until("another controller accepts the job", || {
            let (status, _) = cluster.call(other, "POST", "/v2/runs", Some(&body));
            status == 200 || status == 201
        });
        cluster.wait_done(&next.id);
        cluster.end_isolation(leader);
        cluster.wait_ready(leader);
        cluster.wait_status(leader, &service.id, JobStatus::Cancelled);
        cluster.assert_invariants();
    }
}

#[test]
fn immediately_restarted_controllers_lead_no_shard_twice() {
    // Transactions of the killed processes may still be applied after the restart.
    let mut cluster = TestCluster::new(4.0);
    let specs: Vec<JobSpec> = (1..=4).map(|n| job(n, 3)).collect();
    cluster.submit_all(&specs, Duration::from_secs(1));
    for round in 0..6 {
        let controller = round % CONTROLLERS;
        cluster.store_endpoints[controller].set_fault(Fault::Late(700));
        cluster.restart(controller);
        cluster.restart(controller);
        cluster.store_endpoints[controller].set_fault(Fault::None);
    }
    cluster.wait_all_done(&specs);
    cluster.wait_all_ready();
    cluster.assert_invariants();
}

#[test]
fn many_status_requests_share_few_store_reads() {
    // After an outage all users poll all controllers at the same time. One read per request would
    // exhaust the controllers' shares of the store's rate.
    let mut cluster = TestCluster::new(0.0);
    let specs: Vec<JobSpec> = (1..=40).map(|n| service(n, 1)).collect();
    cluster.submit_all(&specs, LONG_RUN);
    cluster.set_store_fault_everywhere(Fault::Refuse);
    cluster.restart_all();
    cluster.store.extend_leases();
    cluster.set_store_fault_everywhere(Fault::None);
    cluster.wait_all_ready();
    let reads_before = cluster.store.user_reads();
    std::thread::scope(|scope| {
        for spec in &specs {
            for controller in 0..CONTROLLERS {
                let cluster = &cluster;
                scope.spawn(move || {
                    wait_until("the controller responds with a status", || {
                        cluster.status(controller, &spec.id).is_some()
                    });
                });
            }
        }
    });
    let reads = cluster.store.user_reads() - reads_before;
    let requests = (specs.len() * CONTROLLERS) as u64;
    assert!(
        reads < requests / 2,
        "{reads} reads for {requests} requests"
    );
    cluster.assert_invariants();
}

#[test]
fn transactions_applied_after_newer_ones_violate_no_invariant() {
    // Every second transaction is applied 2.5 s late, after newer ones: quota changes, done batches,
    // transfers, final states and failovers.
    let mut cluster = TestCluster::new(4.0);
    let specs: Vec<JobSpec> = (1..=6).map(|n| job(n, 3)).collect();
    let service = service(7, 2);
    cluster.submit(&service, LONG_RUN);
    cluster.set_store_fault_everywhere(Fault::EverySecondLate(2500));
    cluster.submit_all(&specs, SHORT_RUN);
    cluster.restart(1);
    cluster.cancel(2, &service.id);
    cluster.wait_stopped(&service.id);
    cluster.set_store_fault_everywhere(Fault::None);
    cluster.wait_all_done(&specs);
    cluster.assert_invariants();
}

#[test]
fn tasks_that_end_across_failovers_are_counted_once() {
    // The team's limit allows one running task at a time, and all controllers restart once the
    // second and once the third task has been started. Done tasks are known from committed records
    // and from workers' heartbeats.
    let mut cluster = TestCluster::new(1.0);
    let spec = job(1, 3);
    cluster.submit(&spec, Duration::from_secs(2));
    for ended in 1..=2 {
        wait_until("the next task has been started", || {
            cluster.invariants.start_count(&spec.id) > ended
        });
        cluster.restart_all();
    }
    cluster.wait_done(&spec.id);
    cluster.assert_invariants();
}

#[test]
fn failover_with_inbound_partitioned_or_delayed_machines_launches_nothing_twice() {
    for partitioned in [true, false] {
        let mut cluster = TestCluster::new(0.0);
        let spec = job(1, 6);
        cluster.submit_and_wait_all_running(&spec);
        let machines = cluster.invariants.machines_of(&spec.id);
        let workers: Vec<_> = machines
            .iter()
            .take(2)
            .map(|m| cluster.cloud.worker(m).unwrap())
            .collect();
        let set_fault = |on: bool| {
            for worker in &workers {
                if partitioned {
                    worker.set_inbound_partitioned(on)
                } else {
                    worker.set_delay(Duration::from_millis(if on { 1300 } else { 0 }))
                }
            }
        };
        set_fault(true);
        for _ in 0..2 {
            cluster.restart_one_by_one();
        }
        let next = job(2, 4);
        cluster.submit(&next, SHORT_RUN);
        set_fault(false);
        cluster.wait_done(&spec.id);
        cluster.wait_done(&next.id);
        cluster.assert_invariants();
    }
}

#[test]
fn final_states_are_read_once_by_each_controller() {
    let cluster = TestCluster::new(0.0);
    let specs: Vec<JobSpec> = (1..=8).map(|n| job(n, 1)).collect();
    cluster.submit_all(&specs, SHORT_RUN);
    cluster.wait_all_done(&specs);
    let read_all_statuses = || {
        for spec in &specs {
            cluster.wait_status_everywhere(&spec.id, JobStatus::Done);
        }
    };
    read_all_statuses();
    let reads_before = cluster.store.user_reads();
    for _ in 0..5 {
        read_all_statuses();
    }
    assert_eq!(cluster.store.user_reads(), reads_before);
    cluster.assert_invariants();
}

#[test]
fn late_repeated_requests_have_no_second_effect() {
    let cluster = TestCluster::new(0.0);
    let (ended, cancelled) = (job(1, 2), job(2, 2));
    for spec in [&ended, &cancelled] {
        cluster.submit(spec, SHORT_RUN);
    }
    let cancel = |controller: usize, spec: &JobSpec| {
        let path = format!("/v2/runs/{}/cancel", spec.id);
        let (status, body) = cluster.call(controller, "POST", &path, None);
        (status == 200).then(|| cbor::decode::<JobAnswer>(&body).unwrap().status)
    };
    let mut final_status = None;
    wait_until("the job is cancelled or done", || {
        final_status = cancel(0, &cancelled);
        final_status.is_some()
    });
    cluster.wait_done(&ended.id);
    let starts =
        cluster.invariants.start_count(&ended.id) + cluster.invariants.start_count(&cancelled.id);
    for controller in 0..CONTROLLERS {
        for (spec, status) in [
            (&ended, JobStatus::Done),
            (&cancelled, final_status.unwrap()),
        ] {
            let body = cbor::encode(spec);
            wait_until("the repeated submission gets the final status", || {
                let (code, body) = cluster.call(controller, "POST", "/v2/runs", Some(&body));
                assert_ne!(code, 201, "the job was accepted twice");
                code == 200 && cbor::decode::<JobAnswer>(&body).unwrap().status == status
            });
            wait_until("the repeated cancellation gets the final status", || {
                cancel(controller, spec) == Some(status)
            });
        }
        let unknown = cluster.call(controller, "GET", "/v2/runs/j-999999", None).0;
        assert_eq!(unknown, 404);
    }
    let starts_after =
        cluster.invariants.start_count(&ended.id) + cluster.invariants.start_count(&cancelled.id);
    assert_eq!(starts_after, starts);
    cluster.assert_invariants();
}
