//! Controllers that end, are cut off, or lose what they sent.

mod stage;

use pulleywood_standins::Fault;
use pulleywood_wire::cbor::{self, Amount};
use pulleywood_wire::job::{JobAnswer, JobStatus};
use pulleywood_wire::{JobSpec, Shape};
use stage::{CONTROLLERS, LONG, SHORT, Stage, job, wait};
use std::time::Duration;

#[test]
fn users_are_answered_as_the_protocol_says() {
    let stage = Stage::new(2.0);
    let good = job(1, 2);
    type Change = fn(&mut JobSpec);
    let cases: [(&str, Change, u16); 9] = [
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
    for (name, change, expected) in cases {
        let mut spec = good.clone();
        change(&mut spec);
        let body = cbor::encode(&spec);
        let (status, _) = stage.call(0, "POST", "/v2/runs", Some(&body));
        assert_eq!(status, expected, "{name}");
    }
    type Raw = (
        &'static str,
        &'static str,
        &'static str,
        Option<&'static [u8]>,
        u16,
    );
    let raw: [Raw; 9] = [
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
        ("malformed report", "POST", "/v1/report", Some(b"\xa1"), 400),
    ];
    for (name, method, path, body, expected) in raw {
        assert_eq!(stage.call(1, method, path, body).0, expected, "{name}");
    }
    stage.submit(&good, SHORT);
    stage.wait_done(&good.id);
    // A retry gets the state at any later time, from any controller, and a
    // job that is done cannot be cancelled.
    let body = cbor::encode(&good);
    for n in 0..CONTROLLERS {
        let cancel = format!("/v2/runs/{}/cancel", good.id);
        for (path, body) in [("/v2/runs", Some(&body[..])), (&cancel, None)] {
            let (status, body) = stage.call(n, "POST", path, body);
            assert_eq!(status, 200);
            let answer: JobAnswer = cbor::decode(&body).unwrap();
            assert_eq!(answer.status, JobStatus::Done);
        }
    }
    stage.finish();
}

#[test]
fn answers_lost_and_transactions_applied_late_break_nothing() {
    for fault in [Fault::LoseAnswers, Fault::Late(1700), Fault::Slow(900)] {
        let stage = Stage::new(0.0);
        let first = job(1, 4);
        stage.submit(&first, LONG);
        wait("running", || stage.world.running(&first.id) > 0);
        stage.fronts[0].set(fault);
        stage.fronts[1].set(fault);
        let second = job(2, 2);
        stage.submit(&second, SHORT);
        stage.wait_done(&second.id);
        stage.set_all(Fault::None);
        stage.wait_done(&first.id);
        stage.finish();
    }
}

#[test]
fn a_take_over_waits_for_a_silent_machine() {
    let mut stage = Stage::new(0.0);
    let spec = job(1, 8);
    stage.submit(&spec, LONG);
    wait("all run", || stage.world.running(&spec.id) == 8);
    // A worker falls silent while its tasks run on, and every owner dies.
    let machine = stage
        .world
        .machines_of(&spec.id)
        .into_iter()
        .next()
        .unwrap();
    stage.cloud.worker(&machine).unwrap().set_cut(true);
    for n in 0..CONTROLLERS {
        stage.kill(n);
    }
    for n in 0..CONTROLLERS {
        stage.start(n);
    }
    stage.wait_done(&spec.id);
    stage.finish();
}

#[test]
fn a_cut_owner_is_replaced_and_comes_back() {
    for fault in [Fault::Cut, Fault::Refuse] {
        let stage = Stage::new(0.0);
        let spec = job(1, 6);
        stage.submit(&spec, LONG);
        wait("running", || stage.world.running(&spec.id) > 0);
        stage.fronts[0].set(fault);
        stage.wait_done(&spec.id);
        stage.fronts[0].set(Fault::None);
        stage.wait_ready(0);
        let next = job(2, 2);
        stage.submit(&next, SHORT);
        stage.wait_done(&next.id);
        stage.finish();
    }
}

#[test]
fn a_job_cancelled_while_its_owner_is_cut_off_is_gone_for_good() {
    for owner in 0..CONTROLLERS {
        let stage = Stage::new(0.0);
        let mut spec = job(1, 4);
        spec.shape = Shape::Service;
        stage.submit(&spec, LONG);
        wait("all run", || stage.world.running(&spec.id) == 4);
        stage.fronts[owner].set(Fault::Cut);
        let other = (owner + 1) % CONTROLLERS;
        let path = format!("/v2/runs/{}/cancel", spec.id);
        wait("cancelled", || {
            stage.call(other, "POST", &path, None).0 == 200
        });
        wait("gone", || stage.world.running(&spec.id) == 0);
        stage.world.gone_for_good(&spec.id);
        stage.fronts[owner].set(Fault::None);
        stage.wait_ready(owner);
        let next = job(2, 2);
        stage.submit(&next, SHORT);
        stage.wait_done(&next.id);
        for n in 0..CONTROLLERS {
            wait("told", || {
                stage.status(n, &spec.id) == Some(JobStatus::Cancelled)
            });
        }
        stage.finish();
    }
}

#[test]
fn accepted_jobs_survive_a_restart_of_all_during_an_outage() {
    let mut stage = Stage::new(0.0);
    let specs: Vec<JobSpec> = (1..=3).map(|n| job(n, 3)).collect();
    for spec in &specs {
        stage.submit(spec, LONG);
    }
    stage.set_all(Fault::Refuse);
    // What can't be taken is answered at once.
    let body = cbor::encode(&job(9, 1));
    wait("refused", || {
        (0..CONTROLLERS).all(|n| {
            let (status, _) = stage.call(n, "POST", "/v2/runs", Some(&body));
            status == 503 || status == 429
        })
    });
    for n in 0..CONTROLLERS {
        stage.kill(n);
    }
    for n in 0..CONTROLLERS {
        stage.start(n);
    }
    stage.state.extend_leases();
    stage.set_all(Fault::None);
    for spec in &specs {
        stage.wait_done(&spec.id);
    }
    stage.finish();
}

#[test]
fn a_limit_holds_over_a_lapsed_part() {
    let mut stage = Stage::new(3.0);
    let specs: Vec<JobSpec> = (1..=4).map(|n| job(n, 3)).collect();
    for spec in &specs {
        stage.submit(spec, Duration::from_secs(1));
    }
    wait("running", || {
        specs.iter().any(|s| stage.world.running(&s.id) > 0)
    });
    stage.kill(0);
    stage.fronts[1].set(Fault::Cut);
    wait("another start", || {
        specs.iter().map(|s| stage.world.starts(&s.id)).sum::<u32>() > 4
    });
    stage.start(0);
    stage.fronts[1].set(Fault::None);
    for spec in &specs {
        stage.wait_done(&spec.id);
    }
    assert!(!stage.state.keys("c/grant/").is_empty());
    stage.finish();
}

#[test]
fn a_burst_is_accepted_in_packs_and_nothing_of_it_is_lost() {
    let mut stage = Stage::with(0.0, 12.0);
    let jobs: Vec<JobSpec> = (1..=24).map(|n| job(n, 1)).collect();
    let mut services: Vec<JobSpec> = (101..=106).map(|n| job(n, 1)).collect();
    for spec in &mut services {
        spec.shape = Shape::Service;
    }
    // Each user submits by itself, to one controller after the other.
    std::thread::scope(|scope| {
        for spec in jobs.iter().chain(&services) {
            let stage = &stage;
            scope.spawn(move || stage.submit(spec, SHORT));
        }
    });
    assert!(
        !stage.state.keys("c/pack/").is_empty(),
        "no pack was written"
    );
    // A retry finds a job wherever it is, and makes no second one of it.
    for spec in jobs.iter().chain(&services) {
        let body = cbor::encode(spec);
        wait("known", || {
            let (status, _) = stage.call(1, "POST", "/v2/runs", Some(&body));
            assert!(status == 200 || status == 429 || status == 503, "{status}");
            status == 200
        });
    }
    for n in 0..CONTROLLERS {
        stage.kill(n);
    }
    for n in 0..CONTROLLERS {
        stage.start(n);
    }
    for spec in &services {
        let path = format!("/v2/runs/{}/cancel", spec.id);
        wait("cancelled", || stage.call(2, "POST", &path, None).0 == 200);
    }
    for spec in &jobs {
        stage.wait_done(&spec.id);
    }
    for spec in &services {
        wait("gone", || stage.world.running(&spec.id) == 0);
        for n in 0..CONTROLLERS {
            wait("told", || {
                stage.status(n, &spec.id) == Some(JobStatus::Cancelled)
            });
        }
    }
    wait("no job is left in a pack", || {
        stage.state.keys("c/pack/").is_empty()
    });
    stage.finish();
}

#[test]
fn a_deaf_machines_tasks_start_elsewhere_once_and_it_is_used_again() {
    let stage = Stage::new(0.0);
    let mut spec = job(1, 4);
    spec.shape = Shape::Service;
    stage.submit(&spec, LONG);
    wait("all run", || stage.world.running(&spec.id) == 4);
    let on = stage.world.machines_of(&spec.id);
    let deaf = on.into_iter().next().unwrap();
    let worker = stage.cloud.worker(&deaf).unwrap();
    worker.set_deaf(true);
    wait("they run elsewhere", || {
        stage.world.running(&spec.id) == 4 && !stage.world.machines_of(&spec.id).contains(&deaf)
    });
    // It takes nothing while it is deaf, and work again when it hears.
    let more = job(2, 6);
    stage.submit(&more, SHORT);
    worker.set_deaf(false);
    stage.wait_done(&more.id);
    stage.finish();
}

#[test]
fn late_copies_of_reports_start_nothing_twice() {
    let mut stage = Stage::new(0.0);
    let spec = job(1, 6);
    stage.submit(&spec, LONG);
    wait("all run", || stage.world.running(&spec.id) == 6);
    let machines = stage.world.machines_of(&spec.id);
    let workers: Vec<_> = machines
        .iter()
        .map(|m| stage.cloud.worker(m).unwrap())
        .collect();
    // At the owners, at others, and at owners that know no numbers yet.
    for round in 0..3 {
        for worker in &workers {
            worker.repeat_reports();
        }
        if round == 1 {
            for n in 0..CONTROLLERS {
                stage.kill(n);
                stage.start(n);
            }
        }
    }
    stage.wait_done(&spec.id);
    for worker in &workers {
        worker.repeat_reports();
    }
    let next = job(2, 4);
    stage.submit(&next, SHORT);
    stage.wait_done(&next.id);
    for n in 0..CONTROLLERS {
        wait("still done", || {
            stage.status(n, &spec.id) == Some(JobStatus::Done)
        });
    }
    stage.finish();
}

#[test]
fn an_owner_with_nothing_but_its_workers_starts_nothing_and_obeys_cancellations() {
    for owner in 0..CONTROLLERS {
        let stage = Stage::new(0.0);
        let mut service = job(1, 6);
        service.shape = Shape::Service;
        stage.submit(&service, LONG);
        wait("all run", || stage.world.running(&service.id) == 6);
        stage.isolate(owner, true);
        let other = (owner + 1) % CONTROLLERS;
        let path = format!("/v2/runs/{}/cancel", service.id);
        wait("cancelled", || {
            stage.call(other, "POST", &path, None).0 == 200
        });
        wait("gone", || stage.world.running(&service.id) == 0);
        stage.world.gone_for_good(&service.id);
        // Its users are told to come back, at once.
        let body = cbor::encode(&job(9, 1));
        wait("refused", || {
            let (status, _) = stage.call(owner, "POST", "/v2/runs", Some(&body));
            status == 503 || status == 429
        });
        let next = job(2, 4);
        stage.world.add_job(next.clone(), SHORT);
        let body = cbor::encode(&next);
        wait("accepted elsewhere", || {
            let (status, _) = stage.call(other, "POST", "/v2/runs", Some(&body));
            status == 200 || status == 201
        });
        stage.wait_done(&next.id);
        stage.isolate(owner, false);
        stage.wait_ready(owner);
        wait("told", || {
            stage.status(owner, &service.id) == Some(JobStatus::Cancelled)
        });
        stage.finish();
    }
}

#[test]
fn controllers_back_at_once_own_nothing_twice() {
    // Also while transactions of their former processes are under way.
    let mut stage = Stage::new(4.0);
    let specs: Vec<JobSpec> = (1..=4).map(|n| job(n, 3)).collect();
    for spec in &specs {
        stage.submit(spec, Duration::from_secs(1));
    }
    for round in 0..6 {
        let n = round % CONTROLLERS;
        stage.fronts[n].set(Fault::Late(700));
        stage.kill(n);
        stage.start(n);
        stage.kill(n);
        stage.start(n);
        stage.fronts[n].set(Fault::None);
    }
    for spec in &specs {
        stage.wait_done(&spec.id);
    }
    for n in 0..CONTROLLERS {
        stage.wait_ready(n);
    }
    stage.finish();
}

#[test]
fn a_backlog_of_questions_costs_a_few_reads() {
    // After an outage every user asks at once, whoever is asked. A read for
    // each question used up the state service's rate, and some jobs were not
    // answered about for long.
    let mut stage = Stage::new(0.0);
    let mut specs: Vec<JobSpec> = (1..=40).map(|n| job(n, 1)).collect();
    for spec in &mut specs {
        spec.shape = Shape::Service;
        stage.submit(spec, LONG);
    }
    stage.set_all(Fault::Refuse);
    for n in 0..CONTROLLERS {
        stage.kill(n);
    }
    for n in 0..CONTROLLERS {
        stage.start(n);
    }
    stage.state.extend_leases();
    stage.set_all(Fault::None);
    for n in 0..CONTROLLERS {
        stage.wait_ready(n);
    }
    let before = stage.state.reads();
    std::thread::scope(|scope| {
        for spec in &specs {
            for n in 0..CONTROLLERS {
                let stage = &stage;
                scope.spawn(move || {
                    wait("answered", || stage.status(n, &spec.id).is_some());
                });
            }
        }
    });
    let reads = stage.state.reads() - before;
    let questions = (specs.len() * CONTROLLERS) as u64;
    assert!(
        reads < questions / 2,
        "{reads} reads for {questions} questions"
    );
    stage.finish();
}

#[test]
fn transactions_carried_out_after_newer_ones_break_nothing() {
    // Shrinks, done batches, loans, ends and take-overs that land seconds late.
    let mut stage = Stage::new(4.0);
    let specs: Vec<JobSpec> = (1..=6).map(|n| job(n, 3)).collect();
    let mut service = job(7, 2);
    service.shape = Shape::Service;
    stage.submit(&service, LONG);
    stage.set_all(Fault::SomeLate(2500));
    for spec in &specs {
        stage.submit(spec, SHORT);
    }
    stage.kill(1);
    stage.start(1);
    let path = format!("/v2/runs/{}/cancel", service.id);
    wait("cancelled", || stage.call(2, "POST", &path, None).0 == 200);
    wait("gone", || stage.world.running(&service.id) == 0);
    stage.world.gone_for_good(&service.id);
    stage.set_all(Fault::None);
    for spec in &specs {
        stage.wait_done(&spec.id);
    }
    stage.finish();
}

#[test]
fn tasks_that_end_far_apart_over_changes_of_owner_are_done_once() {
    // One after the other, as the team's limit allows, and all controllers end
    // between: done is what was committed and what workers report.
    let mut stage = Stage::new(1.0);
    let spec = job(1, 3);
    stage.submit(&spec, Duration::from_secs(2));
    for ended in 1..=2 {
        wait("the next one runs", || stage.world.starts(&spec.id) > ended);
        for n in 0..CONTROLLERS {
            stage.kill(n);
        }
        for n in 0..CONTROLLERS {
            stage.start(n);
        }
    }
    stage.wait_done(&spec.id);
    stage.finish();
}

#[test]
fn a_leader_that_ends_while_machines_are_deaf_or_held_up_starts_nothing_twice() {
    for deaf in [true, false] {
        let mut stage = Stage::new(0.0);
        let spec = job(1, 6);
        stage.submit(&spec, LONG);
        wait("all run", || stage.world.running(&spec.id) == 6);
        let machines = stage.world.machines_of(&spec.id);
        let workers: Vec<_> = machines
            .iter()
            .take(2)
            .map(|m| stage.cloud.worker(m).unwrap())
            .collect();
        let set = |on: bool| {
            for worker in &workers {
                match deaf {
                    true => worker.set_deaf(on),
                    false => worker.set_held(Duration::from_millis(if on { 1300 } else { 0 })),
                }
            }
        };
        set(true);
        for _ in 0..2 {
            for n in 0..CONTROLLERS {
                stage.kill(n);
                stage.start(n);
            }
        }
        let more = job(2, 4);
        stage.submit(&more, SHORT);
        set(false);
        stage.wait_done(&spec.id);
        stage.wait_done(&more.id);
        stage.finish();
    }
}

#[test]
fn final_states_are_read_once_by_each_controller() {
    let stage = Stage::new(0.0);
    let specs: Vec<JobSpec> = (1..=8).map(|n| job(n, 1)).collect();
    for spec in &specs {
        stage.submit(spec, SHORT);
    }
    for spec in &specs {
        stage.wait_done(&spec.id);
    }
    let ask = || {
        for spec in &specs {
            for n in 0..CONTROLLERS {
                wait("told", || {
                    stage.status(n, &spec.id) == Some(JobStatus::Done)
                });
            }
        }
    };
    ask();
    let before = stage.state.reads();
    for _ in 0..5 {
        ask();
    }
    assert_eq!(stage.state.reads(), before);
    stage.finish();
}

#[test]
fn requests_repeated_late_carry_nothing_out_twice() {
    let stage = Stage::new(0.0);
    let (ended, cancelled) = (job(1, 2), job(2, 2));
    for spec in [&ended, &cancelled] {
        stage.submit(spec, SHORT);
    }
    let cancel = |n: usize, spec: &JobSpec| {
        let path = format!("/v2/runs/{}/cancel", spec.id);
        let (status, body) = stage.call(n, "POST", &path, None);
        let told = |body: &[u8]| cbor::decode::<JobAnswer>(body).unwrap().status;
        (status == 200).then(|| told(&body))
    };
    let mut told = None;
    wait("ended one way", || {
        told = cancel(0, &cancelled);
        told.is_some()
    });
    stage.wait_done(&ended.id);
    let starts = stage.world.starts(&ended.id) + stage.world.starts(&cancelled.id);
    for n in 0..CONTROLLERS {
        for (spec, status) in [(&ended, JobStatus::Done), (&cancelled, told.unwrap())] {
            let body = cbor::encode(spec);
            wait("submitted again", || {
                let (code, body) = stage.call(n, "POST", "/v2/runs", Some(&body));
                assert_ne!(code, 201, "accepted twice");
                code == 200 && cbor::decode::<JobAnswer>(&body).unwrap().status == status
            });
            wait("cancelled again", || cancel(n, spec) == Some(status));
        }
        let unknown = stage.call(n, "GET", "/v2/runs/j-999999", None).0;
        assert_eq!(unknown, 404);
    }
    let after = stage.world.starts(&ended.id) + stage.world.starts(&cancelled.id);
    assert_eq!(after, starts);
    stage.finish();
}
