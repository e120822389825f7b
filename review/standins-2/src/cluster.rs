//! Controller processes on loopback, started with the command of the deploy file, and users.

use crate::cloud::{Cloud, Flavor, Options};
use crate::proxy::{Link, Proxy};
use crate::store::{Rates, Store};
use crate::value::*;
use crate::world::{Job, World};
use ciborium::Value;
use parking_lot::Mutex;
use pulleywood_transport::Client;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

/// Processes that were started and not ended yet.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that this program started, when a case takes too long.
pub fn end_all() {
    for id in RUNNING.lock().drain(..) {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    }
}

pub struct Team {
    pub name: &'static str,
    pub gpus: f64,
    pub gpus_max: f64,
}

/// The size and the limits of a deployment, as its site file has them.
pub struct Site {
    pub zones: Vec<&'static str>,
    /// Zone of each controller.
    pub controllers: Vec<&'static str>,
    pub teams: Vec<Team>,
    pub rates: Rates,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub cores: f64,
    pub ram_mb: f64,
    pub max_sockets: u32,
}

pub struct Node {
    pub member: String,
    pub settings: PathBuf,
    process: Option<Child>,
}

pub struct Cluster {
    pub world: Arc<World>,
    pub store: Arc<Store>,
    pub cloud: Arc<Cloud>,
    pub nodes: Mutex<Vec<Node>>,
    pub addresses: Vec<SocketAddr>,
    /// The link of each controller to the state service.
    pub state_links: Vec<Proxy>,
    /// The links between controllers: from, to.
    pub peer_links: Vec<(usize, usize, Proxy)>,
    folder: PathBuf,
    root: PathBuf,
}

/// A free port below those that the system gives to outgoing connections. Cases that run at the
/// same time look at different ports.
fn free_port() -> SocketAddr {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    loop {
        let next = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let port = 11_000 + (std::process::id() * 16 + next) % 20_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Cluster {
    pub fn new(
        root: &Path,
        world: Arc<World>,
        site: Site,
        flavors: Vec<Flavor>,
        mut options: Options,
    ) -> Arc<Cluster> {
        options.rps = site.cloud_rps;
        options.list_lag_s = site.list_lag_s;
        options.timing.report_s = site.report_s;
        options.timing.lease_s = site.lease_s;
        let names: Vec<String> = (0..site.controllers.len())
            .map(|i| format!("werkpaard-{i}"))
            .collect();
        let serve_on: Vec<SocketAddr> = names.iter().map(|_| free_port()).collect();
        let peers: Vec<SocketAddr> = names.iter().map(|_| free_port()).collect();
        let controllers = names
            .iter()
            .cloned()
            .zip(serve_on.iter().copied())
            .collect();
        let (cloud, cloud_address) =
            Cloud::start(flavors, options, Arc::new(controllers), Arc::clone(&world));
        let number = |x: f64| serde_json::Value::from(x);
        let teams: Vec<serde_json::Value> = site
            .teams
            .iter()
            .map(|t| serde_json::json!({"name": t.name, "cpus": 0.0, "cpus_max": 0.0, "gpus": t.gpus, "gpus_max": t.gpus_max}))
            .collect();
        let cluster = serde_json::json!({
            "initial_size": names.len(),
            "zones": site.zones,
            "teams": teams,
            "objectives": [],
            "workers": {"report_s": site.report_s, "lease_s": site.lease_s, "gang_wait_s": 45.0, "gang_peer_s": 6.0, "cancel_s": site.cancel_s},
            "state": {"rps": site.rates.rps, "write_rps": site.rates.write_rps, "value_kb": site.rates.value_kb, "txn_ops": site.rates.txn_ops},
            "cloud": {"rps": site.cloud_rps, "list_lag_s": site.list_lag_s},
            "resources": {"cores": number(site.cores), "ram_mb": site.ram_mb, "max_sockets": site.max_sockets},
            "clock_error_ms": 1000.0
        });
        let folder = std::env::temp_dir().join(format!("pulleywood-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("temporary folder");
        let store = Store::start(site.rates);
        let state_links: Vec<Proxy> = names
            .iter()
            .map(|_| Proxy::start(store.endpoint()))
            .collect();
        let mut peer_links = Vec::new();
        for from in 0..names.len() {
            for to in (0..names.len()).filter(|to| *to != from) {
                peer_links.push((from, to, Proxy::start(peers[to])));
            }
        }
        let link = |from: usize, to: usize| {
            let found = peer_links.iter().find(|(f, t, _)| (*f, *t) == (from, to));
            found
                .map(|(.., p)| p.address.to_string())
                .unwrap_or_default()
        };
        let nodes = names.iter().enumerate().map(|(i, member)| {
            let seeds: Vec<serde_json::Value> = (0..names.len())
                .filter(|p| *p != i)
                .map(|p| serde_json::json!({"member": names[p], "domain": site.controllers[p], "endpoint": link(i, p)}))
                .collect();
            let settings = serde_json::json!({
                "member": member,
                "domain": site.controllers[i],
                "serve_on": serve_on[i].to_string(),
                "cluster_listen": peers[i].to_string(),
                "seeds": seeds,
                "services": {"cloud": cloud_address.to_string(), "state": state_links[i].address.to_string()},
                "cluster": cluster
            });
            let file = folder.join(format!("{member}.json"));
            std::fs::write(&file, settings.to_string()).expect("settings file");
            Node { member: member.clone(), settings: file, process: None }
        });
        let nodes: Vec<Node> = nodes.collect();
        Arc::new(Cluster {
            world,
            store,
            cloud,
            nodes: Mutex::new(nodes),
            addresses: serve_on,
            state_links,
            peer_links,
            folder,
            root: root.to_owned(),
        })
    }

    /// The program and its arguments from `run` in the deploy file.
    fn run_command(&self) -> Vec<String> {
        let deploy = std::fs::read_to_string(self.root.join("deploy/service.toml"))
            .expect("deploy/service.toml");
        let line = deploy
            .lines()
            .find_map(|l| l.strip_prefix("run"))
            .expect("run");
        let command = line
            .trim_start()
            .trim_start_matches('=')
            .trim()
            .trim_matches('"');
        command.split_whitespace().map(str::to_owned).collect()
    }

    pub fn start(&self, node: usize) {
        let command = self.run_command();
        let mut nodes = self.nodes.lock();
        let node = &mut nodes[node];
        if node
            .process
            .as_mut()
            .is_some_and(|p| p.try_wait().is_ok_and(|s| s.is_none()))
        {
            return;
        }
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", node.member)));
        let child = Command::new(self.root.join(&command[0]))
            .args(&command[1..])
            .arg(&node.settings)
            .current_dir(&self.root)
            .env(
                "LOG_LEVEL",
                std::env::var("REVIEW_LOG").as_deref().unwrap_or("error"),
            )
            .stdout(Stdio::null())
            .stderr(log.map_or_else(|_| Stdio::null(), Stdio::from))
            .spawn()
            .expect("start a controller");
        self.world.note(&format!(
            "started {} as process {}",
            node.member,
            child.id()
        ));
        RUNNING.lock().push(child.id());
        node.process = Some(child);
    }

    pub fn start_all(&self) {
        let count = self.nodes.lock().len();
        (0..count).for_each(|n| self.start(n));
    }

    pub fn kill(&self, node: usize) {
        let mut nodes = self.nodes.lock();
        if let Some(mut child) = nodes[node].process.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().retain(|id| *id != child.id());
            self.world.note(&format!("killed {}", nodes[node].member));
        }
    }

    /// Stops or continues a controller's process.
    pub fn signal(&self, node: usize, signal: &str) {
        let id = self.nodes.lock()[node].process.as_ref().map(Child::id);
        if let Some(id) = id {
            let _ = Command::new("kill")
                .args([signal, &id.to_string()])
                .status();
            self.world.note(&format!("sent {signal} to node {node}"));
        }
    }

    pub fn set_peer_links(&self, node: usize, link: Link) {
        for (from, to, proxy) in &self.peer_links {
            if *from == node || *to == node {
                proxy.set(link);
            }
        }
    }

    pub fn end(&self) {
        let count = self.nodes.lock().len();
        (0..count).for_each(|n| self.kill(n));
        if std::env::var("REVIEW_KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }

    /// Memory that a controller holds, in MB: what is resident of its process.
    pub fn memory_mb(&self, node: usize) -> Option<f64> {
        let id = self.nodes.lock()[node].process.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let kb = |name: &str| {
            let line = status.lines().find(|l| l.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<f64>().ok()
        };
        Some(kb("RssAnon:")? / 1024.0)
    }

    /// Sends a request; the status is 0 without an answer.
    pub fn call(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        wait_s: f64,
    ) -> (u16, Option<Value>) {
        let client = Client::new(self.addresses[node], 0);
        match client.call(method, path, body, Duration::from_secs_f64(wait_s)) {
            Ok(r) => (r.status, decode(&r.body)),
            Err(_) => (0, None),
        }
    }

    /// Whether the controller is ready within this time.
    pub fn wait_ready(&self, node: usize, seconds: f64) -> bool {
        let until = self.world.now() + seconds;
        while self.world.now() < until {
            if self.call(node, "GET", "/ready", None, 1.0).0 == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Submits a job as a user does, retrying for up to 60 s. Returns the status that ended it.
    pub fn submit(
        &self,
        spec: &Value,
        run_s: impl Fn(u32) -> Option<f64> + Send + Sync + 'static,
    ) -> u16 {
        let uid = text_of(spec, "uid").unwrap_or_default();
        let job = Job {
            spec: spec.clone(),
            run_s: Box::new(run_s),
        };
        self.world.jobs.lock().insert(uid.clone(), job);
        let body = encode(spec);
        self.world
            .note(&format!("user: the submission is {}", json(spec)));
        let until = self.world.now() + 60.0;
        let mut node = fastrand::usize(..self.addresses.len());
        loop {
            let (status, _) = self.call(node, "POST", "/v2/runs", Some(&body), 5.0);
            self.world.note(&format!(
                "user: submit {uid} to node {node}, {} bytes: {status}",
                body.len()
            ));
            if matches!(status, 200 | 201 | 400 | 422) || self.world.now() > until {
                return status;
            }
            std::thread::sleep(Duration::from_secs(1));
            node = (node + 1) % self.addresses.len();
        }
    }

    /// Asks about a job at one node: HTTP status and the job's status.
    pub fn poll(&self, node: usize, uid: &str) -> (u16, String) {
        let (status, body) = self.call(node, "GET", &format!("/v2/runs/{uid}"), None, 2.0);
        let job = body.and_then(|b| text_of(&b, "status")).unwrap_or_default();
        self.world
            .note(&format!("user: poll {uid} at node {node}: {status} {job}"));
        (status, job)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.end();
    }
}
