//! Many machines that send heartbeats to one controller that leads every shard, and to seven
//! controllers. The numbers of writes, threads and sockets have to stay within their limits.

mod cluster;

use cluster::{ClusterOptions, TestCluster, wait_until};
use parking_lot::Mutex;
use pulleywood_protocol::cbor;
use pulleywood_protocol::worker::{Heartbeat, HeartbeatResponse, Redirect};
use pulleywood_protocol::{FencingToken, MachineId};
use pulleywood_transport::Client;
use std::time::Duration;

/// Environment variable with the number of machines; CI uses the smaller default.
const MACHINES_VARIABLE: &str = "PULLEYWOOD_MACHINES";
/// Concurrent heartbeats for each controller. Fewer machines at a time would be registered in
/// more transactions, each of which writes a machine batch and the head.
const CONCURRENT_HEARTBEATS: usize = 32;
/// Number of machine records that fit into a machine batch of 8 KiB.
const MACHINES_PER_BATCH: usize = 18;

/// A worker that sends heartbeats and runs no tasks.
struct IdleWorker {
    heartbeat: Heartbeat,
    clients: Vec<Client>,
    /// Index of the controller that it sends heartbeats to.
    controller: usize,
}

/// Creates the workers of `machines` machines, which initially send heartbeats to the first
/// `controllers` controllers in turn.
fn idle_workers(cluster: &TestCluster, controllers: usize, machines: usize) -> Vec<IdleWorker> {
    let worker = |number: usize| IdleWorker {
        heartbeat: Heartbeat {
            machine: MachineId::from(format!("vm-{:06}", 100_000 + number).as_str()),
            endpoint: "127.0.0.1:9".into(),
            flavor: "g2".into(),
            zone: "a".into(),
            spot: false,
            incarnation: 1,
            seq: 0,
            fencing_token: FencingToken(0),
            reclaim_in_s: None,
            tasks: vec![],
        },
        clients: cluster.serve_on[..controllers]
            .iter()
            .map(|addr| Client::new(*addr, 1))
            .collect(),
        controller: number % controllers,
    };
    (0..machines).map(worker).collect()
}

impl IdleWorker {
    /// Sends heartbeats until one is accepted. Returns whether all responses were 200 or
    /// redirects.
    fn send_heartbeat(&mut self) -> bool {
        let mut none_refused = true;
        wait_until("a heartbeat is accepted", || {
            self.heartbeat.seq += 1;
            let body = cbor::encode(&self.heartbeat);
            let timeout = Duration::from_secs(4);
            let client = &self.clients[self.controller];
            match client.call("POST", "/v1/report", Some(&body), timeout) {
                Ok(response) if response.status == 421 => {
                    let redirect: Redirect = cbor::decode(&response.body).unwrap();
                    let leader = redirect.leader.unwrap();
                    self.controller = leader.0[2..].parse().unwrap();
                    false
                }
                Ok(response) if response.status == 200 => {
                    let response: HeartbeatResponse = cbor::decode(&response.body).unwrap();
                    self.heartbeat.fencing_token =
                        self.heartbeat.fencing_token.max(response.fencing_token);
                    true
                }
                _ => {
                    none_refused = false;
                    false
                }
            }
        });
        none_refused
    }
}

/// Sends heartbeats of each worker until one is accepted. Returns the number of workers that
/// were refused at least once.
fn send_all_heartbeats(workers: &mut [IdleWorker]) -> usize {
    let controllers = workers.first().map_or(1, |worker| worker.clients.len());
    let refused = Mutex::new(0);
    let queue = Mutex::new(workers.iter_mut());
    std::thread::scope(|scope| {
        for _ in 0..CONCURRENT_HEARTBEATS * controllers {
            scope.spawn(|| {
                while let Some(worker) = { queue.lock().next() } {
                    if !worker.send_heartbeat() {
                        *refused.lock() += 1;
                    }
                }
            });
        }
    });
    refused.into_inner()
}

/// Registers the first machine, then all others. Returns the number of writes to the store for
/// the latter.
fn registration_writes(cluster: &TestCluster, workers: &mut [IdleWorker]) -> u64 {
    send_all_heartbeats(&mut workers[..1]);
    let writes_before = cluster.store.writes();
    send_all_heartbeats(workers);
    cluster.store.writes() - writes_before
}

/// Number of threads of a process.
fn threads_of(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|l| l.starts_with("Threads:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Number of open file descriptors of a process, nearly all of which are sockets.
fn sockets_of(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd"))
        .unwrap()
        .count()
}

#[test]
fn one_controller_registers_and_answers_every_machine_within_its_limits() {
    let machines: usize = std::env::var(MACHINES_VARIABLE).map_or(400, |n| n.parse().unwrap());
    let mut cluster = TestCluster::build(ClusterOptions {
        max_sockets: 2000,
        lease_s: 6.0,
        ..ClusterOptions::default()
    });
    // The other controllers are killed, so that one leads all shards.
    for controller in 1..cluster::CONTROLLERS {
        cluster.kill(controller);
    }
    let mut workers = idle_workers(&cluster, 1, machines);
    let registration_writes = registration_writes(&cluster, &mut workers);
    // Each transaction writes a machine batch and the head. Machine batches that are not full are
    // merged later, which takes further writes.
    let min_writes = 2 * machines.div_ceil(MACHINES_PER_BATCH) as u64;
    assert!(
        registration_writes <= min_writes * 2 + 40,
        "{registration_writes} writes for registrations, which take at least {min_writes}"
    );
    let refused = send_all_heartbeats(&mut workers);
    let pid = cluster.processes[0].as_ref().unwrap().id();
    let (threads, sockets) = (threads_of(pid), sockets_of(pid));
    println!(
        "{machines} machines: {registration_writes} writes for registrations, {threads} threads, \
         {sockets} sockets, {refused} workers refused at least once"
    );
    assert!(threads <= 2000, "{threads} threads");
    assert!(sockets <= 2000, "{sockets} sockets");
    wait_until("all machines are registered", || {
        let machine_batches = cluster.store.values("c/rack/");
        let recorded = machine_batches.iter().map(|machine_batch| {
            let machine_batch =
                pulleywood_protocol::machine_batch::MachineBatchRecord::from_value(machine_batch)
                    .unwrap();
            machine_batch.machines.len()
        });
        recorded.sum::<usize>() >= machines
    });
}

#[test]
fn seven_controllers_share_all_machines_within_their_limits() {
    const CONTROLLERS: usize = 7;
    let machines: usize = std::env::var(MACHINES_VARIABLE).map_or(400, |n| n.parse().unwrap());
    let cluster = TestCluster::build(ClusterOptions {
        controllers: CONTROLLERS,
        max_sockets: 2000,
        lease_s: 6.0,
        ..ClusterOptions::default()
    });
    cluster.wait_all_shards_led();
    let mut workers = idle_workers(&cluster, CONTROLLERS, machines);
    let registration_writes = registration_writes(&cluster, &mut workers);
    let min_writes = 2 * machines.div_ceil(MACHINES_PER_BATCH) as u64;
    // Each controller fills its own machine batches.
    let max_writes = min_writes * 2 + 40 * CONTROLLERS as u64;
    assert!(
        registration_writes <= max_writes,
        "{registration_writes} writes for registrations, which take at least {min_writes}"
    );
    let refused = send_all_heartbeats(&mut workers);
    let pids = cluster.processes.iter().map(|c| c.as_ref().unwrap().id());
    let usage: Vec<(usize, usize)> = pids.map(|p| (threads_of(p), sockets_of(p))).collect();
    println!(
        "{machines} machines, {CONTROLLERS} controllers: {registration_writes} writes for \
         registrations, threads and sockets {usage:?}, {refused} workers refused at least once"
    );
    assert!(usage.iter().all(|(t, s)| *t <= 2000 && *s <= 2000));
    let mut shares = [0; CONTROLLERS];
    for worker in &workers {
        shares[worker.controller] += 1;
    }
    let fair_share = machines / CONTROLLERS;
    assert!(
        shares
            .iter()
            .all(|n| *n > fair_share / 2 && *n < fair_share * 2),
        "machines per controller: {shares:?}"
    );
}
