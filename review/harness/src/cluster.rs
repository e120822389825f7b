//! A small deployment: three controllers as processes of their own, on loopback.

use crate::cloud::{Cloud, CloudConfig};
use crate::jobs::Jobs;
use crate::record::Record;
use crate::state::{self, TransactionLimits};
use parking_lot::Mutex;
use pulleywood_protocol::cbor::{self, Amount};
use pulleywood_protocol::cloud::Flavor;
use pulleywood_protocol::job::{JobAnswer, JobStatus};
use pulleywood_protocol::record::{JobRecord, job_key};
use pulleywood_protocol::{JobId, JobSpec, Rank, Shape};
use pulleywood_testkit::{CuttableProxy, FakeStore, Fault, StoreEndpoint};
use pulleywood_transport::Client;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a case chooses.
pub struct Options {
    /// Repository root, where the run command of the deploy file is started.
    pub root: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// `teams`, `workers`, `state`, `cloud`, `resources` and `zones` of the settings.
    pub cluster: Value,
    /// Zone of each controller.
    pub domains: Vec<&'static str>,
    pub flavor: Flavor,
    pub capacity: BTreeMap<(String, bool), usize>,
    /// Records of jobs that the state service holds at the start, with tasks that run for 1.5 s.
    pub jobs: Vec<JobRecord>,
}

pub struct Cluster {
    pub jobs: Arc<Jobs>,
    pub record: Arc<Record>,
    pub limits: Arc<Mutex<TransactionLimits>>,
    pub store: FakeStore,
    options: Options,
    endpoints: Vec<StoreEndpoint>,
    peers: Vec<(usize, usize, CuttableProxy)>,
    serve_on: Vec<SocketAddr>,
    settings: Vec<Value>,
    processes: Arc<Mutex<Vec<Option<Child>>>>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        end_all(&self.processes);
    }
}

/// Kills and reaps all processes.
fn end_all(processes: &Mutex<Vec<Option<Child>>>) {
    for process in processes.lock().iter_mut() {
        if let Some(mut child) = process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns as many free loopback ports as asked for.
fn free_ports(count: usize) -> Result<Vec<SocketAddr>, String> {
    let mut held = Vec::new();
    let mut port = 13_000 + fastrand::u16(..15_000);
    while held.len() < count {
        port = if port >= 31_000 { 13_000 } else { port + 1 };
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            held.push(listener);
        }
    }
    held.iter()
        .map(|l| l.local_addr().map_err(|e| e.to_string()))
        .collect()
}

pub fn member(controller: usize) -> String {
    format!("werkpaard-{controller}")
}

impl Cluster {
    /// Starts the stand-ins and the controllers, and waits until all controllers are ready.
    pub fn start(
        options: Options,
        record: Arc<Record>,
        limit: Duration,
    ) -> Result<Cluster, String> {
        let text = |e: std::io::Error| e.to_string();
        let count = options.domains.len();
        let ports = free_ports(2 * count)?;
        let serve_on = ports[..count].to_vec();
        let listen = ports[count..].to_vec();
        let jobs = Arc::new(Jobs::default());
        let workers = &options.cluster["workers"];
        let seconds = |name: &str| Duration::from_secs_f64(workers[name].as_f64().unwrap_or(1.0));
        let controllers: Vec<(String, SocketAddr)> = serve_on
            .iter()
            .enumerate()
            .map(|(i, address)| (member(i), *address))
            .collect();
        let cloud = Cloud::start(
            CloudConfig {
                flavor: options.flavor.clone(),
                capacity: options.capacity.clone(),
                report: seconds("report_s"),
                lease: seconds("lease_s"),
                controllers,
            },
            Arc::clone(&jobs),
            Arc::clone(&record),
        )
        .map_err(text)?;
        let state = &options.cluster["state"];
        let limits = Arc::new(Mutex::new(TransactionLimits {
            txn_ops: state["txn_ops"].as_u64().unwrap_or(12) as usize,
            value_kb: state["value_kb"].as_f64().unwrap_or(8.0),
        }));
        let store = FakeStore::default();
        for job in &options.jobs {
            let id = &job.spec.id;
            store.put_without_event(&job_key(id.shard(count as u32), id), job);
            jobs.add(job.spec.clone(), Duration::from_millis(1500));
        }
        let mut cluster = Cluster {
            jobs,
            record,
            limits,
            store,
            endpoints: Vec::new(),
            peers: Vec::new(),
            serve_on,
            settings: Vec::new(),
            processes: Arc::new(Mutex::new((0..count).map(|_| None).collect())),
            options,
        };
        cluster.watch_time(limit);
        for controller in 0..count {
            let endpoint = cluster.store.endpoint().map_err(text)?;
            let front = state::start(
                member(controller),
                endpoint.addr,
                Arc::clone(&cluster.limits),
                Arc::clone(&cluster.record),
            )
            .map_err(text)?;
            cluster.endpoints.push(endpoint);
            let mut seeds = Vec::new();
            for peer in (0..count).filter(|peer| *peer != controller) {
                let proxy = CuttableProxy::start(listen[peer]).map_err(text)?;
                seeds.push(json!({
                    "member": member(peer),
                    "domain": cluster.options.domains[peer],
                    "endpoint": proxy.addr.to_string(),
                }));
                cluster.peers.push((controller, peer, proxy));
            }
            cluster.settings.push(json!({
                "member": member(controller),
                "domain": cluster.options.domains[controller],
                "serve_on": cluster.serve_on[controller].to_string(),
                "cluster_listen": listen[controller].to_string(),
                "seeds": seeds,
                "services": { "cloud": cloud.to_string(), "state": front.to_string() },
                "cluster": cluster.options.cluster.clone(),
            }));
        }
        for controller in 0..count {
            cluster.run(controller)?;
        }
        for controller in 0..count {
            cluster.wait("all controllers are ready", Duration::from_secs(20), || {
                cluster.call(controller, "GET", "/ready", None).0 == 200
            })?;
        }
        cluster.wait("every shard has a leader", Duration::from_secs(20), || {
            cluster.store.keys("c/part/").len() == count
        })?;
        Ok(cluster)
    }

    /// Number of controllers.
    pub fn count(&self) -> usize {
        self.serve_on.len()
    }

    /// Ends the case with status 2 if it takes longer than `limit`.
    fn watch_time(&self, limit: Duration) {
        let (processes, record) = (Arc::clone(&self.processes), Arc::clone(&self.record));
        std::thread::spawn(move || {
            std::thread::sleep(limit);
            record.line("the case took too long and was ended");
            end_all(&processes);
            std::process::exit(2);
        });
    }

    /// Starts the process of a controller with the run command of the deploy file.
    pub fn run(&self, controller: usize) -> Result<(), String> {
        let text = |e: std::io::Error| e.to_string();
        let file = self
            .options
            .folder
            .join(format!("{}.json", member(controller)));
        let settings =
            serde_json::to_vec_pretty(&self.settings[controller]).map_err(|e| e.to_string())?;
        std::fs::write(&file, settings).map_err(text)?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(
                self.options
                    .folder
                    .join(format!("{}.log", member(controller))),
            )
            .map_err(text)?;
        let mut words = run_command(&self.options.root)?;
        let program = words.remove(0);
        let child = Command::new(self.options.root.join(program))
            .args(words)
            .arg(&file)
            .current_dir(&self.options.root)
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()),
            )
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(text)?;
        let pids = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.options.folder.join("pids"));
        if let Ok(mut pids) = pids {
            let _ = writeln!(pids, "{}", child.id());
        }
        self.record.line(&format!(
            "started {} as process {}",
            member(controller),
            child.id()
        ));
        self.processes.lock()[controller] = Some(child);
        Ok(())
    }

    /// Kills the process of a controller.
    pub fn kill(&self, controller: usize) {
        if let Some(mut child) = self.processes.lock()[controller].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("killed {}", member(controller)));
        }
    }

    /// Replaces `teams` in the settings that a controller gets at its next start.
    pub fn set_teams(&mut self, controller: usize, teams: &Value) {
        self.settings[controller]["cluster"]["teams"] = teams.clone();
    }

    /// Cuts a controller off from the state service and the other controllers, in both
    /// directions, or ends that. Users and workers are not affected.
    pub fn cut(&self, controller: usize, cut: bool) {
        let fault = if cut { Fault::NoAnswer } else { Fault::None };
        self.endpoints[controller].set_fault(fault);
        for (from, to, proxy) in &self.peers {
            if *from == controller || *to == controller {
                proxy.set_cut(cut);
            }
        }
        let what = if cut { "cut" } else { "ended the cut of" };
        self.record.line(&format!(
            "{what} {} from the state service and the other controllers",
            member(controller)
        ));
    }

    /// Sends a user's request; status 0 if there is no response within `timeout`.
    fn send(
        &self,
        controller: usize,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        timeout: Duration,
    ) -> (u16, Vec<u8>) {
        let client = Client::new(self.serve_on[controller], 0);
        match client.call(method, path, body, timeout) {
            Ok(response) => (response.status, response.body),
            Err(_) => (0, Vec::new()),
        }
    }

    pub fn call(
        &self,
        controller: usize,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
    ) -> (u16, Vec<u8>) {
        self.send(controller, method, path, body, Duration::from_secs(5))
    }

    /// Submits a job to one controller after the other until it is accepted, for 60 s at most.
    pub fn submit(&self, spec: &JobSpec, run_time: Duration) -> Result<(), String> {
        self.jobs.add(spec.clone(), run_time);
        let body = cbor::encode(spec);
        let deadline = Instant::now() + Duration::from_secs(60);
        let mut controller = fastrand::usize(..self.count());
        while Instant::now() < deadline {
            let (status, _) = self.call(controller, "POST", "/v2/runs", Some(&body));
            self.record.line(&format!(
                "user submitted {} ({} tasks) to {}: {status}",
                spec.id,
                spec.tasks,
                member(controller)
            ));
            match status {
                200 | 201 => return Ok(()),
                400 | 422 => return Err(format!("{} was refused with {status}", spec.id)),
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
            controller = (controller + 1) % self.count();
        }
        Err(format!("{} was not accepted", spec.id))
    }

    /// Asks one controller for a job's state; `None` without a state in the response.
    pub fn poll(&self, controller: usize, id: &JobId) -> (u16, Option<JobAnswer>) {
        let path = format!("/v2/runs/{id}");
        let (status, body) = self.send(controller, "GET", &path, None, Duration::from_secs(2));
        let answer = (status == 200).then(|| cbor::decode::<JobAnswer>(&body).ok());
        (status, answer.flatten())
    }

    /// Cancels a job through one controller, repeating the request each second until it is
    /// answered with 200. Returns the time of that answer and the status in it.
    pub fn cancel(
        &self,
        controller: usize,
        id: &JobId,
        within: Duration,
    ) -> Result<(Instant, JobStatus), String> {
        let path = format!("/v2/runs/{id}/cancel");
        let deadline = Instant::now() + within;
        loop {
            let (status, body) = self.call(controller, "POST", &path, None);
            let heard = Instant::now();
            let answer = cbor::decode::<JobAnswer>(&body)
                .ok()
                .filter(|_| status == 200);
            self.record.line(&format!(
                "user asked {} to cancel {id}: {status} {:?}",
                member(controller),
                answer.as_ref().map(|a| a.status)
            ));
            if let Some(answer) = answer {
                return Ok((heard, answer.status));
            }
            if Instant::now() > deadline {
                return Err(format!("{id} could not be cancelled"));
            }
            std::thread::sleep(Duration::from_secs(1));
        }
    }

    /// Waits for a condition.
    pub fn wait(
        &self,
        what: &str,
        limit: Duration,
        mut condition: impl FnMut() -> bool,
    ) -> Result<(), String> {
        let deadline = Instant::now() + limit;
        while !condition() {
            if Instant::now() > deadline {
                return Err(format!("waited {limit:?} in vain until {what}"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.record.line(what);
        Ok(())
    }
}

/// The run command in the deploy file, by words.
fn run_command(root: &Path) -> Result<Vec<String>, String> {
    let text = std::fs::read_to_string(root.join("deploy/service.toml"))
        .map_err(|e| format!("deploy/service.toml: {e}"))?;
    let command = text.lines().find_map(|line| {
        let (name, value) = line.split_once('=')?;
        (name.trim() == "run").then(|| value.trim().trim_matches('"').to_owned())
    });
    let words: Vec<String> = command
        .unwrap_or_default()
        .split_whitespace()
        .map(str::to_owned)
        .collect();
    if words.is_empty() {
        return Err("deploy/service.toml has no run command".into());
    }
    Ok(words)
}

/// The machine type of the small Delta deployment, with a boot time of a second.
pub fn polder12(zones: &[&str]) -> Flavor {
    Flavor {
        label: "polder12".into(),
        cpus: Amount(12.0),
        gpus: Amount(2.0),
        memory_gb: Amount(48.0),
        cache_gb: Amount(90.0),
        fetch_gb_per_s: Amount(0.5),
        price: Amount(4.16),
        spot_price: Amount(1.01),
        boot_s: Amount(30.0),
        zones: zones.iter().map(|z| (*z).to_owned()).collect(),
    }
}

/// An array without an image or checkpoints.
pub fn array(number: u64, team: &str, tasks: u32, cpus: f64, gpus: f64, memory_gb: f64) -> JobSpec {
    JobSpec {
        id: JobId::parse(&format!("j-{number:06}")).unwrap_or_else(|| unreachable!()),
        class: "herrastering".into(),
        team: team.into(),
        shape: Shape::Array,
        rank: Rank::Idle,
        tasks,
        cpus: Amount(cpus),
        gpus: Amount(gpus),
        memory_gb: Amount(memory_gb),
        image: "img-01".into(),
        image_gb: Amount(0.0),
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: Amount(5.0),
        checkpoint_s: Amount(0.0),
        save_s: Amount(0.0),
        deadline_s: None,
    }
}
