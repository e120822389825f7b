//! Many machines against one controller that leads every shard, and against seven: writes,
//! threads and sockets stay within their limits.

mod cluster;

use cluster::{Options, TestCluster, wait};
use parking_lot::Mutex;
use pulleywood_protocol::cbor;
use pulleywood_protocol::worker::{Heartbeat, HeartbeatResponse, Redirect};
use pulleywood_protocol::{FencingToken, MachineId};
use pulleywood_transport::Client;
use std::time::Duration;

/// Environment variable with the number of machines; CI runs the smaller default.
const MACHINES: &str = "PULLEYWOOD_MACHINES";
/// Concurrent heartbeats for each controller. Machines that come one by one are registered a
/// few at a time, which costs a write of a machine batch and one of its head each time.
const CONCURRENT_HEARTBEATS: usize = 32;
/// Machine records in a batch of 8 KiB.
const MACHINES_PER_BATCH: usize = 18;

/// A worker that sends heartbeats and runs no tasks.
struct Reporter {
    heartbeat: Heartbeat,
    clients: Vec<Client>,
    /// The controller that it sends heartbeats to.
    controller: usize,
}

/// Workers of `machines` machines, spread over the first `controllers` controllers.
fn reporters(cluster: &TestCluster, controllers: usize, machines: usize) -> Vec<Reporter> {
    let reporter = |n: usize| Reporter {
        heartbeat: Heartbeat {
            machine: MachineId::from(format!("vm-{:06}", 100_000 + n).as_str()),
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
        controller: n % controllers,
    };
    (0..machines).map(reporter).collect()
}

impl Reporter {
    /// Sends heartbeats until one is accepted. Returns whether no other answer than 200 or a
    /// redirect came before.
    fn send_heartbeat(&mut self) -> bool {
        let mut at_once = true;
        wait("answered", || {
            self.heartbeat.seq += 1;
            let body = cbor::encode(&self.heartbeat);
            let time = Duration::from_secs(4);
            let client = &self.clients[self.controller];
            match client.call("POST", "/v1/report", Some(&body), time) {
                Ok(answer) if answer.status == 421 => {
                    let redirect: Redirect = cbor::decode(&answer.body).unwrap();
                    let leader = redirect.leader.unwrap();
                    self.controller = leader.0[2..].parse().unwrap();
                    false
                }
                Ok(answer) if answer.status == 200 => {
                    let answer: HeartbeatResponse = cbor::decode(&answer.body).unwrap();
                    self.heartbeat.fencing_token =
                        self.heartbeat.fencing_token.max(answer.fencing_token);
                    true
                }
                _ => {
                    at_once = false;
                    false
                }
            }
        });
        at_once
    }
}

/// Each worker sends heartbeats until one is accepted. Returns how many were refused first.
fn send_all_heartbeats(reporters: &mut [Reporter]) -> usize {
    let controllers = reporters.first().map_or(1, |r| r.clients.len());
    let late = Mutex::new(0);
    let queue = Mutex::new(reporters.iter_mut());
    std::thread::scope(|scope| {
        for _ in 0..CONCURRENT_HEARTBEATS * controllers {
            scope.spawn(|| {
                while let Some(reporter) = { queue.lock().next() } {
                    if !reporter.send_heartbeat() {
                        *late.lock() += 1;
                    }
                }
            });
        }
    });
    late.into_inner()
}

/// Sends a first heartbeat of one machine, then one of all. Returns the writes to the store
/// of the latter.
fn registration_writes(cluster: &TestCluster, reporters: &mut [Reporter]) -> u64 {
    send_all_heartbeats(&mut reporters[..1]);
    let writes = cluster.store.writes();
    send_all_heartbeats(reporters);
    cluster.store.writes() - writes
}

/// Threads of a process.
fn threads_of(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|l| l.starts_with("Threads:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Open file descriptors of a process, nearly all of them sockets.
fn sockets_of(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd"))
        .unwrap()
        .count()
}

#[test]
fn one_controller_registers_and_answers_every_machine_within_its_limits() {
    let machines: usize = std::env::var(MACHINES).map_or(400, |n| n.parse().unwrap());
    let mut cluster = TestCluster::build(Options {
        sockets: 2000,
        lease_s: 6.0,
        ..Options::default()
    });
    // The others are killed: one leads all shards.
    for n in 1..cluster::CONTROLLERS {
        cluster.kill(n);
    }
    let mut reporters = reporters(&cluster, 1, machines);
    let registration_writes = registration_writes(&cluster, &mut reporters);
    // Each transaction writes a machine batch and the head. Batches that were not full are
    // merged later.
    let min_writes = 2 * machines.div_ceil(MACHINES_PER_BATCH) as u64;
    assert!(
        registration_writes <= min_writes * 2 + 40,
        "{registration_writes} writes, {min_writes} at the least"
    );
    let late = send_all_heartbeats(&mut reporters);
    let pid = cluster.processes[0].as_ref().unwrap().id();
    let (threads, sockets) = (threads_of(pid), sockets_of(pid));
    println!(
        "{machines} machines: {registration_writes} writes to take them in, {threads} threads, {sockets} \
         sockets, {late} not answered at once"
    );
    assert!(threads <= 2000, "{threads} threads");
    assert!(sockets <= 2000, "{sockets} sockets");
    // All machines are registered.
    wait("registered", || {
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
    let machines: usize = std::env::var(MACHINES).map_or(400, |n| n.parse().unwrap());
    let cluster = TestCluster::build(Options {
        controllers: CONTROLLERS,
        sockets: 2000,
        lease_s: 6.0,
        ..Options::default()
    });
    cluster.wait_all_shards_led();
    let mut reporters = reporters(&cluster, CONTROLLERS, machines);
    let registration_writes = registration_writes(&cluster, &mut reporters);
    let min_writes = 2 * machines.div_ceil(MACHINES_PER_BATCH) as u64;
    // Each controller fills batches of its own.
    let max_writes = min_writes * 2 + 40 * CONTROLLERS as u64;
    assert!(
        registration_writes <= max_writes,
        "{registration_writes} writes, {min_writes} at the least"
    );
    let late = send_all_heartbeats(&mut reporters);
    let pids = cluster.processes.iter().map(|c| c.as_ref().unwrap().id());
    let usage: Vec<(usize, usize)> = pids.map(|p| (threads_of(p), sockets_of(p))).collect();
    println!(
        "{machines} machines, {CONTROLLERS} controllers: {registration_writes} writes to take them in, \
         threads and sockets {usage:?}, {late} not answered at once"
    );
    assert!(usage.iter().all(|(t, s)| *t <= 2000 && *s <= 2000));
    let mut shares = [0; CONTROLLERS];
    for reporter in &reporters {
        shares[reporter.controller] += 1;
    }
    let fair_share = machines / CONTROLLERS;
    assert!(
        shares
            .iter()
            .all(|n| *n > fair_share / 2 && *n < fair_share * 2),
        "{shares:?}"
    );
}
