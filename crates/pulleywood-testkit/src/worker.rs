//! A fake of a worker, on loopback.
//!
//! It promises heartbeats with rising sequence numbers, redirects followed, launches, stops and
//! clears executed under a fencing token at least as high as any seen before, and the end of
//! all tasks and a new incarnation when its lease expires. It tells the [`InvariantChecker`] of
//! each start and end. It does not imitate image fetches, checkpoints, failing tasks,
//! preemption notices or clock drift: a launched task runs at once and completes after its run
//! time.

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

/// Settings of a worker.
#[derive(Debug, Clone)]
pub struct WorkerConfig {
    /// Its machine's name.
    pub machine: MachineId,
    /// Its machine type.
    pub flavor: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Time between two heartbeats.
    pub heartbeat_interval: Duration,
    /// How long it keeps its tasks without an accepted answer.
    pub lease: Duration,
    /// All controllers.
    pub controllers: Arc<Mutex<Vec<(MemberId, SocketAddr)>>>,
}

#[derive(Debug)]
struct Task {
    task: TaskId,
    attempt: Attempt,
    ends: Option<Instant>,
    exit: Option<Cause>,
}

#[derive(Debug)]
struct State {
    incarnation: u64,
    seq: u64,
    fencing_token: FencingToken,
    tasks: Vec<Task>,
    renewed: Instant,
}

/// A running worker.
#[derive(Debug)]
pub struct Worker {
    config: WorkerConfig,
    invariants: Arc<InvariantChecker>,
    state: Mutex<State>,
    cut: AtomicBool,
    inbound_partitioned: AtomicBool,
    /// Delay of commands and answers, in milliseconds.
    delay_ms: AtomicU64,
    reclaimed: AtomicBool,
    recent_heartbeats: Mutex<VecDeque<Vec<u8>>>,
}

/// Most heartbeats that are kept to be sent again.
const MAX_RESENT: usize = 40;

struct WorkerHandler {
    worker: Arc<Worker>,
    addr: Arc<Mutex<Option<SocketAddr>>>,
}

impl Worker {
    /// Starts a worker and its heartbeats.
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
                renewed: Instant::now(),
            }),
            cut: AtomicBool::new(false),
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
        let running = Arc::clone(&worker);
        std::thread::spawn(move || running.run(addr));
        Ok(worker)
    }

    /// Cuts the worker off from the controllers in both directions, or ends that.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Lets heartbeats out, but no answer or command in; or ends that.
    pub fn set_inbound_partitioned(&self, inbound_partitioned: bool) {
        self.inbound_partitioned
            .store(inbound_partitioned, Ordering::Relaxed);
    }

    /// Delays direct commands and answers to heartbeats. Tasks run on meanwhile.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_ms
            .store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    fn delay(&self) {
        std::thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed)));
    }

    /// Sends the last 40 heartbeats again to every controller, oldest first, as a network with
    /// late copies does. Answers are ignored.
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

    /// The cloud takes the machine back: all its tasks are lost.
    pub fn reclaim(&self) {
        self.reclaimed.store(true, Ordering::Relaxed);
        let mut state = self.state.lock();
        self.kill(&mut state);
    }

    fn kill(&self, state: &mut State) {
        for task in state.tasks.drain(..) {
            match task.exit {
                None => self
                    .invariants
                    .end(&task.task, &self.config.machine, End::Lost),
                Some(Cause::Done) => self.invariants.forget(&task.task, &self.config.machine),
                Some(_) => {}
            }
        }
    }

    fn run(&self, addr: SocketAddr) {
        let mut next_controller = 0;
        while !self.reclaimed.load(Ordering::Relaxed) {
            std::thread::sleep(self.config.heartbeat_interval);
            self.pass_time();
            if self.cut.load(Ordering::Relaxed) {
                continue;
            }
            let controllers = self.config.controllers.lock().clone();
            let Some((_, to)) = controllers.get(next_controller % controllers.len().max(1)) else {
                continue;
            };
            let sent = Instant::now();
            let heartbeat = self.heartbeat(addr);
            let incarnation = heartbeat.incarnation;
            let client = Client::new(*to, 0);
            let body = cbor::encode(&heartbeat);
            {
                let mut recent_heartbeats = self.recent_heartbeats.lock();
                recent_heartbeats.push_back(body.clone());
                if recent_heartbeats.len() > MAX_RESENT {
                    recent_heartbeats.pop_front();
                }
            }
            match client.call("POST", "/v1/report", Some(&body), Duration::from_secs(4)) {
                _ if self.inbound_partitioned.load(Ordering::Relaxed) => next_controller += 1,
                Ok(a) if a.status == 200 => {
                    self.delay();
                    if let Ok(answer) = cbor::decode::<HeartbeatResponse>(&a.body) {
                        self.take_answer(&answer, incarnation, sent);
                    }
                }
                Ok(a) if a.status == 421 => {
                    let leader = cbor::decode::<Redirect>(&a.body)
                        .ok()
                        .and_then(|r| r.leader)
                        .and_then(|f| controllers.iter().position(|(m, _)| *m == f));
                    next_controller = leader.unwrap_or(next_controller + 1);
                }
                _ => next_controller += 1,
            }
        }
    }

    /// Lets the lease expire and tasks complete that are due.
    fn pass_time(&self) {
        let now = Instant::now();
        let mut state = self.state.lock();
        if now.duration_since(state.renewed) > self.config.lease {
            self.kill(&mut state);
            state.incarnation += 1;
            state.renewed = now;
        }
        for task in &mut state.tasks {
            if task.exit.is_none() && task.ends.is_some_and(|end| now >= end) {
                task.exit = Some(Cause::Done);
                self.invariants
                    .end(&task.task, &self.config.machine, End::Done);
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

    /// Executes the answer to a heartbeat that was sent at `sent` in `incarnation`, unless it
    /// is late or superseded.
    fn take_answer(&self, answer: &HeartbeatResponse, incarnation: u64, sent: Instant) {
        let mut state = self.state.lock();
        let late = sent.elapsed() > Duration::from_secs(4);
        if late || answer.fencing_token < state.fencing_token || incarnation != state.incarnation {
            return;
        }
        if self.reclaimed.load(Ordering::Relaxed) {
            return;
        }
        state.fencing_token = answer.fencing_token;
        state.renewed = sent;
        self.execute(&mut state, &answer.commands);
    }

    fn execute(&self, state: &mut State, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Launch { task, attempt } => self.launch(state, task, *attempt),
                Command::Stop { task, attempt, .. } => {
                    for running in &mut state.tasks {
                        let same = running.task == *task && running.attempt == *attempt;
                        if same && running.exit.is_none() {
                            running.exit = Some(Cause::Stopped);
                            self.invariants
                                .end(task, &self.config.machine, End::Stopped);
                        }
                    }
                }
                Command::Clear { task, attempt } => state
                    .tasks
                    .retain(|t| t.task != *task || t.attempt != *attempt || t.exit.is_none()),
            }
        }
    }

    fn launch(&self, state: &mut State, task: &TaskId, attempt: Attempt) {
        if state
            .tasks
            .iter()
            .any(|t| t.task == *task && t.attempt == attempt)
        {
            return;
        }
        let busy = state
            .tasks
            .iter()
            .any(|t| t.task == *task && t.exit.is_none());
        let mut launched = Task {
            task: task.clone(),
            attempt,
            ends: None,
            exit: None,
        };
        match self.invariants.run_time(task) {
            _ if busy => launched.exit = Some(Cause::Busy),
            None => launched.exit = Some(Cause::NoSuch),
            Some(run) => {
                launched.ends = Instant::now().checked_add(run);
                self.invariants.start(task, attempt, &self.config.machine);
            }
        }
        state.tasks.push(launched);
    }
}

impl Handler for WorkerHandler {
    fn handle(&self, request: &Request<'_>) -> Response {
        let worker = &self.worker;
        // A cut worker does not answer; a refusal has the same effect on the caller.
        let addr = *self.addr.lock();
        let unreachable = worker.cut.load(Ordering::Relaxed)
            || worker.inbound_partitioned.load(Ordering::Relaxed);
        let (Some(addr), false) = (addr, unreachable) else {
            return Response::status(503);
        };
        if worker.reclaimed.load(Ordering::Relaxed) {
            return Response::status(503);
        }
        worker.delay();
        worker.pass_time();
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
                    worker.execute(&mut state, &direct.commands);
                }
                drop(state);
                let status = if accepted { 200 } else { 409 };
                Response::cbor(status, &worker.heartbeat(addr))
            }
            _ => Response::status(404),
        }
    }
}
