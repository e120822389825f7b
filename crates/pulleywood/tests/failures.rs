//! Three real controllers against the stand-ins, under failures.
//!
//! Nothing here depends on how fast the machine is: each step waits until it
//! is true, up to a bound that only a hang reaches.

use pulleywood_net::Client;
use pulleywood_standins::cloud::Controllers;
use pulleywood_standins::{Cloud, Fault, Front, Relay, StateService, World};
use pulleywood_wire::cbor::{self, Amount};
use pulleywood_wire::cloud::Flavor;
use pulleywood_wire::job::{JobAnswer, JobStatus};
use pulleywood_wire::settings::{
    CloudLimits, Cluster, Resources, Seed, Services, Settings, StateLimits, Team, Workers,
};
use pulleywood_wire::{JobId, JobSpec, MemberId, Rank, Shape};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const BOUND: Duration = Duration::from_secs(90);
const CONTROLLERS: usize = 3;

fn wait(what: &str, mut until: impl FnMut() -> bool) {
    let end = Instant::now() + BOUND;
    while !until() {
        assert!(Instant::now() < end, "never came: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A free port below those that outgoing connections are given, so that none
/// of them takes it before its controller does.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let n = std::process::id() * 100 + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 12_000 + (n % 18_000) as u16;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

struct Stage {
    world: Arc<World>,
    state: StateService,
    cloud: Cloud,
    fronts: Vec<Front>,
    /// From the first controller to the second.
    relays: Vec<(usize, usize, Relay)>,
    serve_on: Vec<SocketAddr>,
    files: Vec<std::path::PathBuf>,
    running: Vec<Option<Child>>,
}

impl Drop for Stage {
    fn drop(&mut self) {
        for n in 0..CONTROLLERS {
            self.kill(n);
        }
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
    }
}

impl Stage {
    /// Three controllers, a team limited to `limit` GPUs (0: none), and room
    /// for four machines of two GPUs each.
    fn new(limit: f64) -> Stage {
        Stage::with(limit, 200.0)
    }

    /// The same with `write_rps` writes a second to the state service.
    fn with(limit: f64, write_rps: f64) -> Stage {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let world = Arc::new(World::default());
        if limit > 0.0 {
            world.limit("red", limit);
        }
        let state = StateService::default();
        let controllers: Controllers = Controllers::default();
        let flavor = Flavor {
            label: "g2".into(),
            cpus: Amount(8.0),
            gpus: Amount(2.0),
            memory_gb: Amount(32.0),
            cache_gb: Amount(50.0),
            fetch_gb_per_s: Amount(1.0),
            price: Amount(4.0),
            spot_price: Amount(1.0),
            boot_s: Amount(1.0),
            zones: vec!["a".into()],
        };
        let (report, lease) = (Duration::from_millis(200), Duration::from_secs(2));
        let cloud = Cloud::start(flavor, 4, report, lease, controllers.clone(), world.clone());
        let cloud = cloud.unwrap();
        let serve_on: Vec<SocketAddr> = (0..CONTROLLERS).map(|_| free_port()).collect();
        let peers: Vec<SocketAddr> = (0..CONTROLLERS).map(|_| free_port()).collect();
        let name = |n: usize| format!("c-{n}");
        *controllers.lock() = serve_on
            .iter()
            .enumerate()
            .map(|(n, a)| (MemberId::from(name(n).as_str()), *a))
            .collect();
        let mut stage = Stage {
            world,
            state,
            cloud,
            fronts: Vec::new(),
            relays: Vec::new(),
            serve_on,
            files: Vec::new(),
            running: Vec::new(),
        };
        for n in 0..CONTROLLERS {
            let front = stage.state.front().unwrap();
            let others: Vec<usize> = (0..CONTROLLERS).filter(|m| *m != n).collect();
            for &m in &others {
                let relay = Relay::start(peers[m]).unwrap();
                stage.relays.push((n, m, relay));
            }
            let relay = |m: usize| {
                let way = stage.relays.iter().find(|(a, b, _)| (*a, *b) == (n, m));
                way.unwrap().2.addr
            };
            let settings = Settings {
                member: name(n),
                domain: "a".into(),
                serve_on: stage.serve_on[n].to_string(),
                cluster_listen: peers[n].to_string(),
                seeds: others
                    .iter()
                    .map(|&m| Seed {
                        member: name(m),
                        domain: "a".into(),
                        endpoint: relay(m).to_string(),
                    })
                    .collect(),
                services: Services {
                    cloud: stage.cloud.addr.to_string(),
                    state: front.addr.to_string(),
                },
                cluster: Cluster {
                    initial_size: CONTROLLERS as u32,
                    zones: vec!["a".into()],
                    teams: vec![Team {
                        name: "red".into(),
                        cpus: 0.0,
                        cpus_max: 0.0,
                        gpus: 0.0,
                        gpus_max: limit,
                    }],
                    objectives: vec![],
                    workers: Workers {
                        report_s: 0.2,
                        lease_s: 2.0,
                        cancel_s: 6.0,
                    },
                    state: StateLimits {
                        rps: 600.0,
                        write_rps,
                        value_kb: 8.0,
                        txn_ops: 16,
                    },
                    cloud: CloudLimits {
                        rps: 50.0,
                        list_lag_s: 0.5,
                    },
                    resources: Resources {
                        max_threads: 2000,
                        cores: 1.0,
                        ram_mb: 200.0,
                        max_sockets: 400,
                    },
                    clock_error_ms: 0.0,
                },
            };
            let unique = NEXT.fetch_add(1, Ordering::Relaxed);
            let file = std::env::temp_dir().join(format!(
                "pulleywood-test-{}-{unique}.json",
                std::process::id()
            ));
            std::fs::write(&file, serde_json::to_string(&settings).unwrap()).unwrap();
            stage.fronts.push(front);
            stage.files.push(file);
            stage.running.push(None);
            stage.start(n);
        }
        for n in 0..CONTROLLERS {
            stage.wait_ready(n);
        }
        stage
    }

    fn start(&mut self, n: usize) {
        let child = Command::new(env!("CARGO_BIN_EXE_pulleywood"))
            .arg("--config")
            .arg(&self.files[n])
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").as_deref().unwrap_or("error"),
            )
            .stdout(Stdio::null())
            .spawn();
        self.running[n] = Some(child.unwrap());
    }

    fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.running[n].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Cuts a controller off from the state service and its peers, not from
    /// workers and users; or ends that.
    fn isolate(&self, n: usize, cut: bool) {
        self.fronts[n].set(if cut { Fault::Cut } else { Fault::None });
        for (a, b, relay) in &self.relays {
            if *a == n || *b == n {
                relay.set_cut(cut);
            }
        }
    }

    fn set_all(&self, fault: Fault) {
        for front in &self.fronts {
            front.set(fault);
        }
    }

    fn call(&self, n: usize, method: &str, path: &str, body: Option<&[u8]>) -> (u16, Vec<u8>) {
        let client = Client::new(self.serve_on[n], 0);
        match client.call(method, path, body, Duration::from_secs(5)) {
            Ok(answer) => (answer.status, answer.body),
            Err(_) => (0, Vec::new()),
        }
    }

    fn wait_ready(&self, n: usize) {
        wait("ready", || self.call(n, "GET", "/ready", None).0 == 200);
    }

    /// Submits until it is accepted, each time to the next controller.
    fn submit(&self, spec: &JobSpec, run: Duration) {
        self.world.add_job(spec.clone(), run);
        let body = cbor::encode(spec);
        let mut n = 0;
        wait("accepted", || {
            n += 1;
            let (status, _) = self.call(n % CONTROLLERS, "POST", "/v2/runs", Some(&body));
            assert!(!(400..500).contains(&status) || status == 429, "{status}");
            status == 200 || status == 201
        });
    }

    fn status(&self, n: usize, id: &JobId) -> Option<JobStatus> {
        let (status, body) = self.call(n, "GET", &format!("/v2/runs/{id}"), None);
        assert_ne!(status, 404, "an accepted job was forgotten");
        (status == 200).then(|| cbor::decode::<JobAnswer>(&body).unwrap().status)
    }

    fn wait_done(&self, id: &JobId) {
        wait("done", || {
            (0..CONTROLLERS).any(|n| {
                let told = self.status(n, id) == Some(JobStatus::Done);
                assert!(!told || self.world.is_done(id), "told done too early");
                told
            })
        });
    }

    fn finish(&self) {
        assert_eq!(self.world.broken(), Vec::<String>::new());
    }
}

fn job(n: u64, tasks: u32) -> JobSpec {
    JobSpec {
        id: JobId::parse(&format!("j-{n:06}")).unwrap(),
        class: "c".into(),
        team: "red".into(),
        shape: Shape::Array,
        rank: Rank::Standard,
        tasks,
        cpus: Amount(2.0),
        gpus: Amount(1.0),
        memory_gb: Amount(4.0),
        image: "img".into(),
        image_gb: Amount(0.0),
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: Amount(1.0),
        checkpoint_s: Amount(0.0),
        save_s: Amount(0.0),
        deadline_s: None,
    }
}

const SHORT: Duration = Duration::from_millis(300);
const LONG: Duration = Duration::from_secs(4);

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
fn cancellations_told_while_the_state_service_refuses_one_and_then_all_are_obeyed() {
    for owner in 0..CONTROLLERS {
        let stage = Stage::new(0.0);
        let mut specs: Vec<JobSpec> = (1..=2).map(|n| job(n, 3)).collect();
        for spec in &mut specs {
            spec.shape = Shape::Service;
            stage.submit(spec, LONG);
            wait("all run", || stage.world.running(&spec.id) == 3);
        }
        stage.fronts[owner].set(Fault::Refuse);
        let other = (owner + 1) % CONTROLLERS;
        let path = format!("/v2/runs/{}/cancel", specs[0].id);
        wait("cancelled", || {
            stage.call(other, "POST", &path, None).0 == 200
        });
        stage.set_all(Fault::Refuse);
        wait("gone", || stage.world.running(&specs[0].id) == 0);
        stage.world.gone_for_good(&specs[0].id);
        // Longer than `cancel_s`: whoever still answered workers has stopped.
        wait("all lapsed", || stage.world.running(&specs[1].id) == 0);
        for n in 0..CONTROLLERS {
            let (status, _) = stage.call(n, "GET", &format!("/v2/runs/{}", specs[1].id), None);
            assert!(status == 503 || status == 429, "{status}");
        }
        stage.set_all(Fault::None);
        stage.state.extend_leases();
        wait("runs again", || stage.world.running(&specs[1].id) == 3);
        for n in 0..CONTROLLERS {
            wait("told", || {
                stage.status(n, &specs[0].id) == Some(JobStatus::Cancelled)
            });
        }
        stage.finish();
    }
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
