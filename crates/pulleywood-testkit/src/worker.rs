//! A fake of a worker that listens on loopback.
//!
//! It sends heartbeats with rising sequence numbers and follows redirects. It executes launch,
//! stop and clear commands whose fencing token is at least as high as any that it has seen.
//! When its lease expires, it loses all tasks and begins a new incarnation. It reports each
//! start and end of a task to the [`InvariantChecker`]. Image fetches, checkpoints, failing
//! tasks, preemption notices and clock drift are not simulated: a launched task runs at once
//! and completes after its run time.

use crate::history::End;
use crate::invariant_checker::InvariantChecker;
use crate::loopback;
use parking_lot::Mutex;
use pulleywood_protocol::cbor;
use pulleywood_protocol::worker::{
    Cause, Command, DirectCommand, Heartbeat, HeartbeatResponse, Redirect, TaskState, TaskStatus,
};
use pulleywood_protocol::{Attempt, FencingToken, MachineId, MemberId, TaskId};
use pulleywood_transport::Client;
use pulleywood_transport::server::{Handler, Limits, Request, Response, serve};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Settings of a fake worker.
#[derive(Debug, Clone)]
pub struct WorkerConfig {
    /// Identifier of its machine.
    pub machine: MachineId,
    /// Name of its machine's type.
    pub flavor: String,
    /// Zone of its machine.
    pub zone: String,
    /// Whether its machine is a spot machine.
    pub spot: bool,
    /// Time between a response, or a failed attempt, and the next heartbeat.
    pub heartbeat_interval: Duration,
    /// Time without an accepted response after which it loses its tasks.
    pub lease: Duration,
    /// Names and addresses of all controllers. The list may change while the worker runs.
    pub controllers: Arc<Mutex<Vec<(MemberId, SocketAddr)>>>,
}

#[derive(Debug)]
struct Task {
    task: TaskId,
    attempt: Attempt,
    /// When it completes; `None` for replicas of services and for tasks that never ran.
    ends_at: Option<Instant>,
    /// Why it exited; `None` until then.
    exit: Option<Cause>,
}

#[derive(Debug)]
struct State {
    incarnation: u64,
    seq: u64,
    fencing_token: FencingToken,
    tasks: Vec<Task>,
    /// When the last heartbeat with an accepted response was sent, or the last lease expired.
    lease_renewed_at: Instant,
}

/// A running fake worker, with faults that a test can switch on.
#[derive(Debug)]
pub struct Worker {
    config: WorkerConfig,
    invariants: Arc<InvariantChecker>,
    state: Mutex<State>,
    partitioned: AtomicBool,
    inbound_partitioned: AtomicBool,
    /// Delay of direct commands and heartbeat responses, in milliseconds.
    delay_ms: AtomicU64,
    reclaimed: AtomicBool,
    recent_heartbeats: Mutex<VecDeque<Vec<u8>>>,
}

/// Number of recent heartbeats that are kept for [`Worker::resend_heartbeats`].
const MAX_RECENT_HEARTBEATS: usize = 40;

struct WorkerHandler {
    worker: Arc<Worker>,
    addr: Arc<Mutex<Option<SocketAddr>>>,
}

impl Worker {
    /// Starts a worker, which begins to send heartbeats.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened.
    pub fn start(
        config: WorkerConfig,
        invariants: Arc<InvariantChecker>,
    ) -> std::io::Result<Arc<Worker>> {
        let worker = Arc::new(Worker {
            config,
            invariants,
            state: Mutex::new(State {
                incarnation: 1,
                seq: 0,
                fencing_token: FencingToken(0),
                tasks: Vec::new(),
                lease_renewed_at: Instant::now(),
            }),
            partitioned: AtomicBool::new(false),
            inbound_partitioned: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            recent_heartbeats: Mutex::new(VecDeque::new()),
            reclaimed: AtomicBool::new(false),
        });
        let own_address = Arc::new(Mutex::new(None));
        let handler = WorkerHandler {
            worker: Arc::clone(&worker),
            addr: Arc::clone(&own_address),
        };
        let addr = serve(loopback(), Limits::thread_per_connection(16), handler)?.address;
        *own_address.lock() = Some(addr);
        let sender = Arc::clone(&worker);
        std::thread::spawn(move || sender.send_heartbeats(addr));
        Ok(worker)
    }

    /// Starts or ends a network partition from all controllers, in both directions.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.partitioned.store(partitioned, Ordering::Relaxed);
    }

    /// Starts or ends an inbound network partition: heartbeats are delivered, but responses and
    /// commands are lost.
    pub fn set_inbound_partitioned(&self, inbound_partitioned: bool) {
        self.inbound_partitioned
            .store(inbound_partitioned, Ordering::Relaxed);
    }

    /// Delays direct commands and responses to heartbeats. Tasks run on in the meantime.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_ms
            .store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    fn sleep_for_delay(&self) {
        std::thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed)));
    }

    /// Sends the last 40 heartbeats to every controller once more, oldest first, as a network
    /// that delivers late duplicates does. Responses are ignored.
    pub fn resend_heartbeats(&self) {
        let heartbeats: Vec<Vec<u8>> = self.recent_heartbeats.lock().iter().cloned().collect();
        let controllers = self.config.controllers.lock().clone();
        for body in &heartbeats {
            for (_, to) in &controllers {
                let client = Client::new(*to, 0);
                let timeout = Duration::from_secs(1);
                let _ = client.call("POST", "/v1/report", Some(body), timeout);
            }
        }
    }

    /// Takes the machine away, as the cloud does: all its tasks are lost, and the worker sends
    /// no more heartbeats and refuses all requests with status 503.
    pub fn reclaim(&self) {
        self.reclaimed.store(true, Ordering::Relaxed);
        let mut state = self.state.lock();
        self.lose_tasks(&mut state);
    }

    fn lose_tasks(&self, state: &mut State) {
        for task in state.tasks.drain(..) {
            match task.exit {
                None => self
                    .invariants
                    .record_end(&task.task, &self.config.machine, End::Lost),
                Some(Cause::Done) => self
                    .invariants
                    .record_forgotten(&task.task, &self.config.machine),
                Some(_) => {}
            }
        }
    }

    fn send_heartbeats(&self, addr: SocketAddr) {
        let mut next_controller = 0;
        while !self.reclaimed.load(Ordering::Relaxed) {
            std::thread::sleep(self.config.heartbeat_interval);
            self.expire_and_complete();
            if self.partitioned.load(Ordering::Relaxed) {
                continue;
            }
            let controllers = self.config.controllers.lock().clone();
            let Some((_, to)) = controllers.get(next_controller % controllers.len().max(1)) else {
                continue;
            };
            let sent_at = Instant::now();
            let heartbeat = self.heartbeat(addr);
            let incarnation = heartbeat.incarnation;
            let client = Client::new(*to, 0);
            let body = cbor::encode(&heartbeat);
            {
                let mut recent_heartbeats = self.recent_heartbeats.lock();
                recent_heartbeats.push_back(body.clone());
                if recent_heartbeats.len() > MAX_RECENT_HEARTBEATS {
                    recent_heartbeats.pop_front();
                }
            }
            match client.call("POST", "/v1/report", Some(&body), Duration::from_secs(4)) {
                _ if self.inbound_partitioned.load(Ordering::Relaxed) => next_controller += 1,
                Ok(response) if response.status == 200 => {
                    self.sleep_for_delay();
                    if let Ok(answer) = cbor::decode::<HeartbeatResponse>(&response.body) {
                        self.execute_answer(&answer, incarnation, sent_at);
                    }
                }
                Ok(response) if response.status == 421 => {
                    let leader = cbor::decode::<Redirect>(&response.body)
                        .ok()
                        .and_then(|redirect| redirect.leader)
                        .and_then(|leader| {
                            controllers.iter().position(|(member, _)| *member == leader)
                        });
                    next_controller = leader.unwrap_or(next_controller + 1);
                }
                _ => next_controller += 1,
            }
        }
    }

    /// Expires the lease if it is due, and completes the tasks whose run time has passed.
    fn expire_and_complete(&self) {
        let now = Instant::now();
        let mut state = self.state.lock();
        if now.duration_since(state.lease_renewed_at) > self.config.lease {
            self.lose_tasks(&mut state);
            state.incarnation += 1;
            state.lease_renewed_at = now;
        }
        for task in &mut state.tasks {
            if task.exit.is_none() && task.ends_at.is_some_and(|ends_at| now >= ends_at) {
                task.exit = Some(Cause::Done);
                self.invariants
                    .record_end(&task.task, &self.config.machine, End::Done);
            }
        }
    }

    fn heartbeat(&self, addr: SocketAddr) -> Heartbeat {
        let mut state = self.state.lock();
        state.seq += 1;
        let tasks = state.tasks.iter().map(|t| TaskStatus {
            task: t.task.clone(),
            attempt: t.attempt,
            state: match t.exit {
                Some(_) => TaskState::Exited,
                None => TaskState::Running,
            },
            cause: t.exit,
            progress_saved: None,
        });
        Heartbeat {
            machine: self.config.machine.clone(),
            endpoint: addr.to_string(),
            flavor: self.config.flavor.clone(),
            zone: self.config.zone.clone(),
            spot: self.config.spot,
            incarnation: state.incarnation,
            seq: state.seq,
            fencing_token: state.fencing_token,
            reclaim_in_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Executes the response to a heartbeat that was sent at `sent_at` in `incarnation`, unless
    /// it is late, of an earlier incarnation, or carries an older fencing token.
    fn execute_answer(&self, answer: &HeartbeatResponse, incarnation: u64, sent_at: Instant) {
        let mut state = self.state.lock();
        let is_late = sent_at.elapsed() > Duration::from_secs(4);
        if is_late || answer.fencing_token < state.fencing_token || incarnation != state.incarnation
        {
            return;
        }
        if self.reclaimed.load(Ordering::Relaxed) {
            return;
        }
        state.fencing_token = answer.fencing_token;
        state.lease_renewed_at = sent_at;
        self.execute(&mut state, &answer.commands, sent_at);
    }

    /// Executes commands. `sent_at`: when the heartbeat that they answer was sent, or when a
    /// direct command arrived.
    fn execute(&self, state: &mut State, commands: &[Command], sent_at: Instant) {
        for command in commands {
            match command {
                Command::Launch { task, attempt } => self.launch(state, task, *attempt, sent_at),
                Command::Stop { task, attempt, .. } => {
                    for running in &mut state.tasks {
                        let is_same_attempt = running.task == *task && running.attempt == *attempt;
                        if is_same_attempt && running.exit.is_none() {
                            running.exit = Some(Cause::Stopped);
                            self.invariants
                                .record_end(task, &self.config.machine, End::Stopped);
                        }
                    }
                }
                Command::Clear { task, attempt } => state
                    .tasks
                    .retain(|t| t.task != *task || t.attempt != *attempt || t.exit.is_none()),
            }
        }
    }

    fn launch(&self, state: &mut State, task: &TaskId, attempt: Attempt, sent_at: Instant) {
        if state
            .tasks
            .iter()
            .any(|t| t.task == *task && t.attempt == attempt)
        {
            return;
        }
        let runs_other_attempt = state
            .tasks
            .iter()
            .any(|t| t.task == *task && t.exit.is_none());
        let mut launched = Task {
            task: task.clone(),
            attempt,
            ends_at: None,
            exit: None,
        };
        match self.invariants.run_time(task) {
            _ if runs_other_attempt => launched.exit = Some(Cause::Busy),
            None => launched.exit = Some(Cause::NoSuch),
            Some(run_time) => {
                launched.ends_at = Instant::now().checked_add(run_time);
                self.invariants
                    .record_start(task, attempt, &self.config.machine, sent_at);
            }
        }
        state.tasks.push(launched);
    }
}

impl Handler for WorkerHandler {
    fn handle(&self, request: &Request<'_>) -> Response {
        let worker = &self.worker;
        // A partitioned worker would not answer. Status 503 has the same effect on the caller.
        let addr = *self.addr.lock();
        let unreachable = worker.partitioned.load(Ordering::Relaxed)
            || worker.inbound_partitioned.load(Ordering::Relaxed);
        let (Some(addr), false) = (addr, unreachable) else {
            return Response::status(503);
        };
        if worker.reclaimed.load(Ordering::Relaxed) {
            return Response::status(503);
        }
        worker.sleep_for_delay();
        worker.expire_and_complete();
        match (request.method, request.path) {
            ("GET", "/show") => Response::cbor(200, &worker.heartbeat(addr)),
            ("POST", "/do") => {
                let Ok(direct) = cbor::decode::<DirectCommand>(request.body) else {
                    return Response::status(400);
                };
                let mut state = worker.state.lock();
                let accepted = direct.fencing_token >= state.fencing_token
                    && direct.incarnation == state.incarnation;
                if accepted {
                    state.fencing_token = direct.fencing_token;
                    let commands = direct.commands.into_iter().map(Command::from);
                    let commands: Vec<Command> = commands.collect();
                    worker.execute(&mut state, &commands, Instant::now());
                }
                drop(state);
                let status = if accepted { 200 } else { 409 };
                Response::cbor(status, &worker.heartbeat(addr))
            }
            _ => Response::status(404),
        }
    }
}
