//! A cluster of real controller processes with a fake store, a fake cloud, and proxies between
//! the controllers that inject faults.
//!
//! Tests do not depend on the speed of the host: each step waits for a condition, with a
//! time-out that is reached only if the cluster makes no progress.

// Each test file uses only a part of this module.
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
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
/// Number of controllers, and of shards, in a default cluster.
pub const CONTROLLERS: usize = 3;

/// Waits until a condition holds. Panics after [`WAIT_TIMEOUT`].
pub fn wait_until(expectation: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "waited longer than {WAIT_TIMEOUT:?} until {expectation}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns a free local port below the ephemeral range, so that no outgoing connection takes it
/// before the controller binds it.
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

/// Parameters of a test cluster.
pub struct ClusterOptions {
    /// Number of controllers, and of shards.
    pub controllers: usize,
    /// GPUs that the team may use; 0 for no limit.
    pub gpu_limit: f64,
    /// Write rate of the store, in writes per second.
    pub write_rps: f64,
    /// Duration of a worker's lease, in seconds.
    pub lease_s: f64,
    /// Time between two heartbeats of a worker, in seconds.
    pub report_s: f64,
    /// Number of machines that the cloud can rent out.
    pub machines: usize,
    /// Socket limit of each controller.
    pub max_sockets: u32,
    /// Memory of each controller, in MB. Nothing enforces it.
    pub ram_mb: f64,
    /// Teams. The GPU limit applies to each.
    pub teams: Vec<&'static str>,
    /// Policy scripts that the controllers run, in this order.
    pub policies: Vec<std::path::PathBuf>,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        ClusterOptions {
            controllers: CONTROLLERS,
            gpu_limit: 0.0,
            write_rps: 200.0,
            lease_s: 2.0,
            report_s: 0.2,
            machines: 4,
            max_sockets: 400,
            ram_mb: 200.0,
            teams: vec!["red"],
            policies: Vec::new(),
        }
    }
}

/// Path of the policy script that switches the recovery subsystem on.
pub fn recovery_policy() -> std::path::PathBuf {
    let crate_dir = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    crate_dir.join("../../deploy/recovery.lua")
}

/// Path of the controller executable of this build.
pub fn program() -> std::path::PathBuf {
    env!("CARGO_BIN_EXE_pulleywood").into()
}

/// Member id of a controller.
fn member_id(controller: usize) -> String {
    format!("c-{controller}")
}

/// The only machine type. Its GPUs suffice for two tasks of [`job`].
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

fn team(name: &str, options: &ClusterOptions) -> Team {
    Team {
        name: name.into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max: options.gpu_limit,
    }
}

fn cluster_settings(options: &ClusterOptions) -> Cluster {
    Cluster {
        initial_size: options.controllers as u32,
        zones: vec!["a".into()],
        teams: options
            .teams
            .iter()
            .map(|name| team(name, options))
            .collect(),
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
            ram_mb: options.ram_mb,
            max_sockets: options.max_sockets,
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

/// Controllers as child processes, with the fake store and the fake cloud that they use.
pub struct TestCluster {
    /// Policy scripts that the controllers run, in this order.
    pub policies: Vec<std::path::PathBuf>,
    /// Checks the invariants of tasks while the test runs.
    pub invariants: Arc<InvariantChecker>,
    pub store: FakeStore,
    pub cloud: FakeCloud,
    /// Each controller's endpoint of the store, where faults are injected.
    pub store_endpoints: Vec<StoreEndpoint>,
    /// Proxies of the connections between controllers: from, to, proxy.
    pub proxies: Vec<(usize, usize, CuttableProxy)>,
    /// Addresses that users and workers connect to.
    pub serve_on: Vec<SocketAddr>,
    /// Settings file of each controller.
    pub settings_files: Vec<std::path::PathBuf>,
    /// The executable that each controller runs from its next start on.
    pub programs: Vec<std::path::PathBuf>,
    /// Process of each controller; `None` if it does not run.
    pub processes: Vec<Option<Child>>,
    /// How long tasks of a cancelled job may still run (`cancel_s` in the settings).
    pub cancel_timeout: Duration,
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        self.kill_all();
        for file in &self.settings_files {
            let _ = std::fs::remove_file(file);
        }
    }
}

impl TestCluster {
    /// Starts three controllers, a team limited to `gpu_limit` GPUs (0 for no limit), and a
    /// cloud with four machines of two GPUs each.
    pub fn new(gpu_limit: f64) -> TestCluster {
        TestCluster::build(ClusterOptions {
            gpu_limit,
            ..ClusterOptions::default()
        })
    }

    /// Like [`TestCluster::new`], with a write rate of the store of `write_rps` per second.
    pub fn with_write_rate(gpu_limit: f64, write_rps: f64) -> TestCluster {
        TestCluster::build(ClusterOptions {
            gpu_limit,
            write_rps,
            ..ClusterOptions::default()
        })
    }

    /// Like [`TestCluster::new`], with workers' leases of `lease_s` seconds.
    pub fn with_lease(gpu_limit: f64, lease_s: f64) -> TestCluster {
        TestCluster::build(ClusterOptions {
            gpu_limit,
            lease_s,
            ..ClusterOptions::default()
        })
    }

    /// Starts a cluster with these options and waits until all controllers are ready.
    pub fn build(options: ClusterOptions) -> TestCluster {
        let invariants = Arc::new(InvariantChecker::default());
        if options.gpu_limit > 0.0 {
            invariants.set_gpu_limit("red", options.gpu_limit);
        }
        let count = options.controllers;
        let serve_on: Vec<SocketAddr> = (0..count).map(|_| free_port()).collect();
        let peer_addresses: Vec<SocketAddr> = (0..count).map(|_| free_port()).collect();
        let controllers: ControllerAddresses = ControllerAddresses::default();
        *controllers.lock() = serve_on
            .iter()
            .enumerate()
            .map(|(controller, address)| (MemberId::from(member_id(controller).as_str()), *address))
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
            store_endpoints: Vec::new(),
            proxies: Vec::new(),
            serve_on,
            settings_files: Vec::new(),
            programs: vec![program(); count],
            processes: Vec::new(),
            cancel_timeout: Duration::from_secs_f64(options.lease_s + 4.0),
            policies: options.policies.clone(),
        };
        for controller in 0..count {
            cluster.add_controller(controller, &peer_addresses, &options);
        }
        cluster.wait_all_ready();
        cluster
    }

    /// Starts a controller with its own endpoint of the store and a proxy to each peer.
    fn add_controller(
        &mut self,
        controller: usize,
        peer_addresses: &[SocketAddr],
        options: &ClusterOptions,
    ) {
        let endpoint = self.store.endpoint().unwrap();
        let mut seeds = Vec::new();
        for peer in (0..peer_addresses.len()).filter(|peer| *peer != controller) {
            let proxy = CuttableProxy::start(peer_addresses[peer]).unwrap();
            seeds.push(Seed {
                member: member_id(peer),
                domain: "a".into(),
                endpoint: proxy.addr.to_string(),
            });
            self.proxies.push((controller, peer, proxy));
        }
        let settings = Settings {
            member: member_id(controller),
            domain: "a".into(),
            serve_on: self.serve_on[controller].to_string(),
            cluster_listen: peer_addresses[controller].to_string(),
            seeds,
            services: Services {
                cloud: self.cloud.addr.to_string(),
                state: endpoint.addr.to_string(),
            },
            cluster: cluster_settings(options),
        };
        self.settings_files.push(settings_file(&settings));
        self.store_endpoints.push(endpoint);
        self.processes.push(None);
        self.start(controller);
    }

    /// Starts the process of a controller.
    pub fn start(&mut self, controller: usize) {
        let child = Command::new(&self.programs[controller])
            .arg("--config")
            .arg(&self.settings_files[controller])
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
        self.processes[controller] = Some(child.unwrap());
    }

    /// Kills the process of a controller, if it runs, and waits until it has ended.
    pub fn kill(&mut self, controller: usize) {
        if let Some(mut child) = self.processes[controller].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills all controllers.
    pub fn kill_all(&mut self) {
        for controller in 0..self.processes.len() {
            self.kill(controller);
        }
    }

    /// Starts all controllers.
    pub fn start_all(&mut self) {
        for controller in 0..self.processes.len() {
            self.start(controller);
        }
    }

    /// Kills a controller and starts it again without a pause.
    pub fn restart(&mut self, controller: usize) {
        self.kill(controller);
        self.start(controller);
    }

    /// Kills all controllers, then starts all again.
    pub fn restart_all(&mut self) {
        self.kill_all();
        self.start_all();
    }

    /// Restarts the controllers one after the other, without waiting until each is ready.
    pub fn restart_one_by_one(&mut self) {
        for controller in 0..self.processes.len() {
            self.restart(controller);
        }
    }

    /// Cuts a controller off from the store and its peers, but not from workers and users.
    pub fn isolate(&self, controller: usize) {
        self.store_endpoints[controller].set_fault(Fault::NoAnswer);
        self.set_peers_cut(controller, true);
    }

    /// Ends [`TestCluster::isolate`].
    pub fn end_isolation(&self, controller: usize) {
        self.store_endpoints[controller].set_fault(Fault::None);
        self.set_peers_cut(controller, false);
    }

    fn set_peers_cut(&self, controller: usize, cut: bool) {
        for (from, to, proxy) in &self.proxies {
            if *from == controller || *to == controller {
                proxy.set_cut(cut);
            }
        }
    }

    /// Removes the fault between a controller and the store, and waits until the controller is
    /// ready.
    pub fn restore_store_access(&self, controller: usize) {
        self.store_endpoints[controller].set_fault(Fault::None);
        self.wait_ready(controller);
    }

    /// Sets a fault between every controller and the store.
    pub fn set_store_fault_everywhere(&self, fault: Fault) {
        for endpoint in &self.store_endpoints {
            endpoint.set_fault(fault);
        }
    }

    /// Memory that the process of a controller holds, in MB: what is resident and not backed by
    /// a file. `None` if it does not run.
    pub fn memory_mb(&self, controller: usize) -> Option<f64> {
        let id = self.processes[controller].as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        let kb: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1024.0)
    }

    /// Sends a request to a controller. Returns the status and the body of the response, or
    /// status 0 if there is none.
    pub fn call(
        &self,
        controller: usize,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
    ) -> (u16, Vec<u8>) {
        let client = Client::new(self.serve_on[controller], 0);
        match client.call(method, path, body, Duration::from_secs(5)) {
            Ok(response) => (response.status, response.body),
            Err(_) => (0, Vec::new()),
        }
    }

    /// Waits until every controller is ready.
    pub fn wait_all_ready(&self) {
        for controller in 0..self.processes.len() {
            self.wait_ready(controller);
        }
    }

    /// Waits until every shard has a leader.
    pub fn wait_all_shards_led(&self) {
        wait_until("every shard has a leader", || {
            self.store.keys("c/part/").len() == self.processes.len()
        });
    }

    /// Waits until a controller is ready.
    pub fn wait_ready(&self, controller: usize) {
        wait_until("the controller is ready", || {
            self.call(controller, "GET", "/ready", None).0 == 200
        });
    }

    /// Submits a job whose tasks run for `run_time`, to one controller after the other, until it
    /// is accepted.
    pub fn submit(&self, spec: &JobSpec, run_time: Duration) {
        self.invariants.expect_job(spec.clone(), run_time);
        let body = cbor::encode(spec);
        let mut attempt = 0;
        wait_until("the job is accepted", || {
            attempt += 1;
            let (status, _) = self.call(
                attempt % self.processes.len(),
                "POST",
                "/v2/runs",
                Some(&body),
            );
            assert!(!(400..500).contains(&status) || status == 429, "{status}");
            status == 200 || status == 201
        });
    }

    /// Submits jobs one after the other.
    pub fn submit_all(&self, specs: &[JobSpec], run_time: Duration) {
        for spec in specs {
            self.submit(spec, run_time);
        }
    }

    /// Whether a controller refuses a submission temporarily, with 429 or 503.
    pub fn refuses(&self, controller: usize, spec: &JobSpec) -> bool {
        let body = cbor::encode(spec);
        let (status, _) = self.call(controller, "POST", "/v2/runs", Some(&body));
        status == 503 || status == 429
    }

    /// Cancels a job through one controller, and repeats the request until the response is 200.
    pub fn cancel(&self, controller: usize, id: &JobId) {
        let path = format!("/v2/runs/{id}/cancel");
        wait_until("the job is cancelled", || {
            self.call(controller, "POST", &path, None).0 == 200
        });
    }

    /// Waits until no task of a job runs. From then on, a launch of one violates an invariant.
    pub fn wait_stopped(&self, id: &JobId) {
        wait_until("no task of the job runs", || {
            self.invariants.running_tasks(id) == 0
        });
        self.invariants.forbid_starts(id);
    }

    /// Waits until a controller responds with this status of a job.
    pub fn wait_status(&self, controller: usize, id: &JobId, status: JobStatus) {
        wait_until("the job has the expected status", || {
            self.status(controller, id) == Some(status)
        });
    }

    /// Waits until each controller has responded with this status of a job.
    pub fn wait_status_everywhere(&self, id: &JobId, status: JobStatus) {
        for controller in 0..self.processes.len() {
            self.wait_status(controller, id, status);
        }
    }

    /// The first machine, by id, that runs tasks of a job.
    pub fn first_machine_of(&self, id: &JobId) -> MachineId {
        let machines = self.invariants.machines_of(id);
        machines.into_iter().next().unwrap()
    }

    /// The status of an accepted job according to a controller, or `None` if its response is an
    /// error or is missing.
    pub fn status(&self, controller: usize, id: &JobId) -> Option<JobStatus> {
        let (status, body) = self.call(controller, "GET", &format!("/v2/runs/{id}"), None);
        assert_ne!(status, 404, "an accepted job is unknown");
        (status == 200).then(|| cbor::decode::<JobAnswer>(&body).unwrap().status)
    }

    /// Waits until all these jobs are done.
    pub fn wait_all_done(&self, specs: &[JobSpec]) {
        for spec in specs {
            self.wait_done(&spec.id);
        }
    }

    /// Waits until a controller responds that a job is done, and checks that all its tasks are.
    pub fn wait_done(&self, id: &JobId) {
        wait_until("the job is done", || {
            (0..self.processes.len()).any(|controller| {
                let reported_done = self.status(controller, id) == Some(JobStatus::Done);
                assert!(
                    !reported_done || self.invariants.is_done(id),
                    "a controller reported the job as done before its tasks were"
                );
                reported_done
            })
        });
    }

    /// Submits a job of long tasks and waits until at least one of them runs.
    pub fn submit_and_wait_running(&self, spec: &JobSpec) {
        self.submit(spec, LONG_RUN);
        wait_until("a task of the job runs", || {
            self.invariants.running_tasks(&spec.id) > 0
        });
    }

    /// Submits a job of long tasks and waits until all its tasks run.
    pub fn submit_and_wait_all_running(&self, spec: &JobSpec) {
        self.submit(spec, LONG_RUN);
        let tasks = spec.tasks as usize;
        wait_until("all tasks of the job run", || {
            self.invariants.running_tasks(&spec.id) == tasks
        });
    }

    /// Submits a job of short tasks and waits until it is done.
    pub fn submit_and_wait_done(&self, spec: &JobSpec) {
        self.submit(spec, SHORT_RUN);
        self.wait_done(&spec.id);
    }

    /// Panics if an invariant was violated.
    pub fn assert_invariants(&self) {
        assert_eq!(self.invariants.violations(), Vec::<String>::new());
    }
}

/// An array job with small tasks, two of which fit on a machine.
pub fn job(number: u64, tasks: u32) -> JobSpec {
    let id = JobId::parse(&format!("j-{number:06}")).unwrap();
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

/// A service with this number of replicas, two of which fit on a machine.
pub fn service(number: u64, tasks: u32) -> JobSpec {
    JobSpec {
        shape: Shape::Service,
        ..job(number, tasks)
    }
}

/// Run time of short tasks.
pub const SHORT_RUN: Duration = Duration::from_millis(300);
/// Run time of long tasks.
pub const LONG_RUN: Duration = Duration::from_secs(4);
