//! A cluster of real controller processes with a fake store, a fake cloud and proxies between
//! controllers, for tests with faults.
//!
//! Nothing depends on the speed of the machine: each step waits for a condition, up to a bound
//! that only a hang reaches.

// Each test file uses some of it.
#![allow(dead_code)]

use pulleywood_protocol::cbor::{self, Amount};
use pulleywood_protocol::cloud::Flavor;
use pulleywood_protocol::job::{JobAnswer, JobStatus};
use pulleywood_protocol::settings::{
    CloudLimits, Cluster, Resources, Seed, Services, Settings, StateLimits, Team, Workers,
};
use pulleywood_protocol::{JobId, JobSpec, MachineId, MemberId, Shape};
use pulleywood_testkit::cloud::ControllerAddresses;
use pulleywood_testkit::samples;
use pulleywood_testkit::{
    CuttableProxy, FakeCloud, FakeStore, Fault, InvariantChecker, StoreEndpoint,
};
use pulleywood_transport::Client;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Longest wait for a condition.
pub const BOUND: Duration = Duration::from_secs(90);
/// Controllers, and shards, of a default cluster.
pub const CONTROLLERS: usize = 3;

/// Waits until a condition holds; fails after [`BOUND`].
pub fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + BOUND;
    while !condition() {
        assert!(Instant::now() < deadline, "never came: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A free port below the ephemeral range, so that no outgoing connection takes it before the
/// controller binds it.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id() * 100 + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 12_000 + (number % 18_000) as u16;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Settings of a test cluster.
pub struct Options {
    /// Controllers, and as many shards.
    pub controllers: usize,
    /// GPUs that the team may use; 0: no limit.
    pub limit: f64,
    /// Writes a second to the store.
    pub write_rps: f64,
    /// Seconds of a worker's lease.
    pub lease_s: f64,
    /// Seconds between two heartbeats.
    pub report_s: f64,
    /// Machines that the cloud has.
    pub machines: usize,
    /// Socket limit of a controller.
    pub sockets: u32,
    /// The operators' policy scripts.
    pub policies: Vec<std::path::PathBuf>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            controllers: CONTROLLERS,
            limit: 0.0,
            write_rps: 200.0,
            lease_s: 2.0,
            report_s: 0.2,
            machines: 4,
            sockets: 400,
            policies: Vec::new(),
        }
    }
}

/// The policy script that switches the recovery subsystem on.
pub fn recovery_policy() -> std::path::PathBuf {
    let crate_dir = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    crate_dir.join("../../deploy/recovery.lua")
}

/// The controller program of this build.
pub fn program() -> std::path::PathBuf {
    env!("CARGO_BIN_EXE_pulleywood").into()
}

/// Member id of a controller.
fn name(n: usize) -> String {
    format!("c-{n}")
}

/// The only machine type: two tasks of [`job`] fit on a machine by their GPUs.
fn flavor() -> Flavor {
    Flavor {
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
    }
}

fn cluster_settings(options: &Options) -> Cluster {
    Cluster {
        initial_size: options.controllers as u32,
        zones: vec!["a".into()],
        teams: vec![Team {
            name: "red".into(),
            cpus: 0.0,
            cpus_max: 0.0,
            gpus: 0.0,
            gpus_max: options.limit,
        }],
        objectives: vec![],
        workers: Workers {
            report_s: options.report_s,
            lease_s: options.lease_s,
            cancel_s: options.lease_s + 4.0,
        },
        state: StateLimits {
            rps: 600.0,
            write_rps: options.write_rps,
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
            max_sockets: options.sockets,
        },
        clock_error_ms: 0.0,
    }
}

/// Writes settings to a new temporary file.
fn settings_file(settings: &Settings) -> std::path::PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let unique = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("pulleywood-test-{}-{unique}.json", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, serde_json::to_string(settings).unwrap()).unwrap();
    file
}

/// Controllers as child processes and the fakes they talk to.
pub struct TestCluster {
    pub policies: Vec<std::path::PathBuf>,
    /// Watches tasks for broken rules.
    pub invariants: Arc<InvariantChecker>,
    pub store: FakeStore,
    pub cloud: FakeCloud,
    /// The store endpoint of each controller, where faults are set.
    pub endpoints: Vec<StoreEndpoint>,
    /// Proxies from the first controller to the second.
    pub proxies: Vec<(usize, usize, CuttableProxy)>,
    /// Addresses for users and workers.
    pub serve_on: Vec<SocketAddr>,
    /// Settings files.
    pub files: Vec<std::path::PathBuf>,
    /// The program of each controller, run at its next start.
    pub programs: Vec<std::path::PathBuf>,
    /// The controllers that run.
    pub processes: Vec<Option<Child>>,
    /// `cancel_s`: how long tasks of a cancelled job may still run.
    pub cancel: Duration,
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        self.kill_all();
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
    }
}

impl TestCluster {
    /// Three controllers, a team limited to `limit` GPUs (0: no limit), and a cloud with four
    /// machines of two GPUs each.
    pub fn new(limit: f64) -> TestCluster {
        TestCluster::build(Options {
            limit,
            ..Options::default()
        })
    }

    /// The same with `write_rps` writes a second to the store.
    pub fn with_write_rate(limit: f64, write_rps: f64) -> TestCluster {
        TestCluster::build(Options {
            limit,
            write_rps,
            ..Options::default()
        })
    }

    /// The same with workers' leases of `lease_s` seconds.
    pub fn with_lease(limit: f64, lease_s: f64) -> TestCluster {
        TestCluster::build(Options {
            limit,
            lease_s,
            ..Options::default()
        })
    }

    /// Starts a cluster with these settings and waits until all controllers are ready.
    pub fn build(options: Options) -> TestCluster {
        let invariants = Arc::new(InvariantChecker::default());
        if options.limit > 0.0 {
            invariants.set_gpu_limit("red", options.limit);
        }
        let count = options.controllers;
        let serve_on: Vec<SocketAddr> = (0..count).map(|_| free_port()).collect();
        let peers: Vec<SocketAddr> = (0..count).map(|_| free_port()).collect();
        let controllers: ControllerAddresses = ControllerAddresses::default();
        *controllers.lock() = serve_on
            .iter()
            .enumerate()
            .map(|(n, address)| (MemberId::from(name(n).as_str()), *address))
            .collect();
        let cloud = FakeCloud::start(
            flavor(),
            options.machines,
            Duration::from_secs_f64(options.report_s),
            Duration::from_secs_f64(options.lease_s),
            controllers,
            invariants.clone(),
        );
        let mut cluster = TestCluster {
            invariants,
            store: FakeStore::default(),
            cloud: cloud.unwrap(),
            endpoints: Vec::new(),
            proxies: Vec::new(),
            serve_on,
            files: Vec::new(),
            programs: vec![program(); count],
            processes: Vec::new(),
            cancel: Duration::from_secs_f64(options.lease_s + 4.0),
            policies: options.policies.clone(),
        };
        for n in 0..count {
            cluster.add_controller(n, &peers, &options);
        }
        cluster.wait_all_ready();
        cluster
    }

    /// Starts a controller with an endpoint of the store and a proxy to each peer.
    fn add_controller(&mut self, n: usize, peers: &[SocketAddr], options: &Options) {
        let endpoint = self.store.endpoint().unwrap();
        let mut seeds = Vec::new();
        for m in (0..peers.len()).filter(|m| *m != n) {
            let proxy = CuttableProxy::start(peers[m]).unwrap();
            seeds.push(Seed {
                member: name(m),
                domain: "a".into(),
                endpoint: proxy.addr.to_string(),
            });
            self.proxies.push((n, m, proxy));
        }
        let settings = Settings {
            member: name(n),
            domain: "a".into(),
            serve_on: self.serve_on[n].to_string(),
            cluster_listen: peers[n].to_string(),
            seeds,
            services: Services {
                cloud: self.cloud.addr.to_string(),
                state: endpoint.addr.to_string(),
            },
            cluster: cluster_settings(options),
        };
        self.files.push(settings_file(&settings));
        self.endpoints.push(endpoint);
        self.processes.push(None);
        self.start(n);
    }

    /// Starts a controller.
    pub fn start(&mut self, n: usize) {
        let child = Command::new(&self.programs[n])
            .arg("--config")
            .arg(&self.files[n])
            .args(
                self.policies
                    .iter()
                    .flat_map(|p| ["--policy".as_ref(), p.as_os_str()]),
            )
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").as_deref().unwrap_or("error"),
            )
            .stdout(Stdio::null())
            .spawn();
        self.processes[n] = Some(child.unwrap());
    }

    /// Kills a controller, if it runs, and waits for its end.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.processes[n].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills all controllers.
    pub fn kill_all(&mut self) {
        for n in 0..self.processes.len() {
            self.kill(n);
        }
    }

    /// Starts all controllers.
    pub fn start_all(&mut self) {
        for n in 0..self.processes.len() {
            self.start(n);
        }
    }

    /// Kills a controller and starts it again at once.
    pub fn restart(&mut self, n: usize) {
        self.kill(n);
        self.start(n);
    }

    /// Kills all controllers, then starts all again.
    pub fn restart_all(&mut self) {
        self.kill_all();
        self.start_all();
    }

    /// Restarts one controller after the other, without waiting until it is ready.
    pub fn restart_one_by_one(&mut self) {
        for n in 0..self.processes.len() {
            self.restart(n);
        }
    }

    /// Cuts a controller off from the store and its peers, not from workers and users.
    pub fn isolate(&self, n: usize) {
        self.endpoints[n].set_fault(Fault::NoAnswer);
        self.set_peers_cut(n, true);
    }

    /// Ends [`TestCluster::isolate`].
    pub fn end_isolation(&self, n: usize) {
        self.endpoints[n].set_fault(Fault::None);
        self.set_peers_cut(n, false);
    }

    fn set_peers_cut(&self, n: usize, cut: bool) {
        for (from, to, proxy) in &self.proxies {
            if *from == n || *to == n {
                proxy.set_cut(cut);
            }
        }
    }

    /// Ends the fault between a controller and the store, and waits until it is ready.
    pub fn restore_store_access(&self, n: usize) {
        self.endpoints[n].set_fault(Fault::None);
        self.wait_ready(n);
    }

    /// Sets a fault between every controller and the store.
    pub fn set_all(&self, fault: Fault) {
        for endpoint in &self.endpoints {
            endpoint.set_fault(fault);
        }
    }

    /// Sends a request to a controller; returns status and body, status 0 without an answer.
    pub fn call(&self, n: usize, method: &str, path: &str, body: Option<&[u8]>) -> (u16, Vec<u8>) {
        let client = Client::new(self.serve_on[n], 0);
        match client.call(method, path, body, Duration::from_secs(5)) {
            Ok(answer) => (answer.status, answer.body),
            Err(_) => (0, Vec::new()),
        }
    }

    /// Waits until every controller is ready.
    pub fn wait_all_ready(&self) {
        for n in 0..self.processes.len() {
            self.wait_ready(n);
        }
    }

    /// Waits until every shard has a leader.
    pub fn wait_all_shards_led(&self) {
        wait("every shard has a leader", || {
            self.store.keys("c/part/").len() == self.processes.len()
        });
    }

    /// Waits until a controller is ready.
    pub fn wait_ready(&self, n: usize) {
        wait("ready", || self.call(n, "GET", "/ready", None).0 == 200);
    }

    /// Submits a job, whose tasks run for `run`, until it is accepted, each time to the next
    /// controller.
    pub fn submit(&self, spec: &JobSpec, run: Duration) {
        self.invariants.expect_job(spec.clone(), run);
        let body = cbor::encode(spec);
        let mut n = 0;
        wait("accepted", || {
            n += 1;
            let (status, _) = self.call(n % self.processes.len(), "POST", "/v2/runs", Some(&body));
            assert!(!(400..500).contains(&status) || status == 429, "{status}");
            status == 200 || status == 201
        });
    }

    /// Submits jobs one after the other.
    pub fn submit_all(&self, specs: &[JobSpec], run: Duration) {
        for spec in specs {
            self.submit(spec, run);
        }
    }

    /// Whether a controller refuses a submission for now, with 429 or 503.
    pub fn refuses(&self, n: usize, spec: &JobSpec) -> bool {
        let body = cbor::encode(spec);
        let (status, _) = self.call(n, "POST", "/v2/runs", Some(&body));
        status == 503 || status == 429
    }

    /// Cancels a job through one controller, repeating until it answers 200.
    pub fn cancel(&self, n: usize, id: &JobId) {
        let path = format!("/v2/runs/{id}/cancel");
        wait("cancelled", || self.call(n, "POST", &path, None).0 == 200);
    }

    /// Waits until no task of a job runs; from then on none may be launched.
    pub fn wait_gone(&self, id: &JobId) {
        wait("gone", || self.invariants.running_tasks(id) == 0);
        self.invariants.forbid_starts(id);
    }

    /// Waits until a controller answers with this status of a job.
    pub fn wait_status(&self, n: usize, id: &JobId, status: JobStatus) {
        wait("status", || self.status(n, id) == Some(status));
    }

    /// Waits until each controller has answered with this status of a job.
    pub fn wait_status_everywhere(&self, id: &JobId, status: JobStatus) {
        for n in 0..self.processes.len() {
            self.wait_status(n, id, status);
        }
    }

    /// The first machine that runs tasks of a job.
    pub fn first_machine_of(&self, id: &JobId) -> MachineId {
        let machines = self.invariants.machines_of(id);
        machines.into_iter().next().unwrap()
    }

    /// The status of an accepted job as a controller answers it; `None` if it answers with an
    /// error or not at all.
    pub fn status(&self, n: usize, id: &JobId) -> Option<JobStatus> {
        let (status, body) = self.call(n, "GET", &format!("/v2/runs/{id}"), None);
        assert_ne!(status, 404, "an accepted job was forgotten");
        (status == 200).then(|| cbor::decode::<JobAnswer>(&body).unwrap().status)
    }

    /// Waits until all these jobs are done.
    pub fn wait_all_done(&self, specs: &[JobSpec]) {
        for spec in specs {
            self.wait_done(&spec.id);
        }
    }

    /// Waits until a controller answers that a job is done, and checks that it is.
    pub fn wait_done(&self, id: &JobId) {
        wait("done", || {
            (0..self.processes.len()).any(|n| {
                let answered_done = self.status(n, id) == Some(JobStatus::Done);
                assert!(
                    !answered_done || self.invariants.is_done(id),
                    "answered as done too early"
                );
                answered_done
            })
        });
    }

    /// Submits a job of long tasks and waits until some task of it runs.
    pub fn submit_and_wait_running(&self, spec: &JobSpec) {
        self.submit(spec, LONG);
        wait("running", || self.invariants.running_tasks(&spec.id) > 0);
    }

    /// Submits a job of long tasks and waits until all its tasks run.
    pub fn submit_and_wait_all_running(&self, spec: &JobSpec) {
        self.submit(spec, LONG);
        let tasks = spec.tasks as usize;
        wait("all run", || {
            self.invariants.running_tasks(&spec.id) == tasks
        });
    }

    /// Submits a job of short tasks and waits until it is done.
    pub fn submit_and_wait_done(&self, spec: &JobSpec) {
        self.submit(spec, SHORT);
        self.wait_done(&spec.id);
    }

    /// Fails if the invariant checker saw a broken rule.
    pub fn finish(&self) {
        assert_eq!(self.invariants.violations(), Vec::<String>::new());
    }
}

/// An array job, of whose tasks two fit on a machine.
pub fn job(n: u64, tasks: u32) -> JobSpec {
    let id = JobId::parse(&format!("j-{n:06}")).unwrap();
    JobSpec {
        cpus: Amount(2.0),
        memory_gb: Amount(4.0),
        image_gb: Amount(0.0),
        spot: false,
        estimate_s: Amount(1.0),
        checkpoint_s: Amount(0.0),
        save_s: Amount(0.0),
        ..samples::spec(id, tasks)
    }
}

/// A service with these replicas, of which two fit on a machine.
pub fn service(n: u64, tasks: u32) -> JobSpec {
    JobSpec {
        shape: Shape::Service,
        ..job(n, tasks)
    }
}

/// Run time of short tasks.
pub const SHORT: Duration = Duration::from_millis(300);
/// Run time of long tasks.
pub const LONG: Duration = Duration::from_secs(4);
