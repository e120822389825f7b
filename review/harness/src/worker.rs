//! A worker as the protocol describes it: reports, leases, sessions, tokens and commands. It
//! also reports when something changes, at most once every half second. Images are there at
//! once.

use crate::jobs::{Jobs, Start};
use crate::record::Record;
use parking_lot::{Condvar, Mutex};
use pulleywood_protocol::cbor;
use pulleywood_protocol::worker::{
    Cause, Command, DirectCommand, Heartbeat, HeartbeatResponse, Redirect, TaskState, TaskStatus,
};
use pulleywood_protocol::{Attempt, FencingToken, MachineId, TaskId};
use pulleywood_transport::Client;
use pulleywood_transport::server::{Handler, Limits, Request, Response, serve};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Time after which a worker drops the answer to a report.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before the next node is tried.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Least time between two reports.
const MIN_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Clone)]
pub struct WorkerConfig {
    pub machine: MachineId,
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
    pub capacity: (f64, f64, f64),
    pub report: Duration,
    pub lease: Duration,
    /// Names and addresses of all controllers.
    pub controllers: Vec<(String, SocketAddr)>,
}

struct Task {
    task: TaskId,
    attempt: Attempt,
    ends_at: Option<Instant>,
    exit: Option<Cause>,
}

struct State {
    shift: u64,
    tally: u64,
    baton: FencingToken,
    tasks: Vec<Task>,
    lease_from: Instant,
    changed: bool,
}

pub struct Worker {
    config: WorkerConfig,
    jobs: Arc<Jobs>,
    record: Arc<Record>,
    state: Mutex<State>,
    wake: Condvar,
    gone: AtomicBool,
    address: Mutex<Option<SocketAddr>>,
}

struct DirectHandler(Arc<Worker>);

impl Worker {
    pub fn start(
        config: WorkerConfig,
        jobs: Arc<Jobs>,
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Worker>> {
        let worker = Arc::new(Worker {
            config,
            jobs,
            record,
            state: Mutex::new(State {
                shift: 1,
                tally: 0,
                baton: FencingToken(0),
                tasks: Vec::new(),
                lease_from: Instant::now(),
                changed: false,
            }),
            wake: Condvar::new(),
            gone: AtomicBool::new(false),
            address: Mutex::new(None),
        });
        let handler = DirectHandler(Arc::clone(&worker));
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = serve(loopback, Limits::thread_per_connection(16), handler)?;
        *worker.address.lock() = Some(server.address);
        let reporter = Arc::clone(&worker);
        std::thread::spawn(move || reporter.report_forever());
        let clock = Arc::clone(&worker);
        std::thread::spawn(move || clock.run_tasks());
        Ok(worker)
    }

    /// The cloud takes the machine away with everything on it.
    pub fn take_away(&self) {
        self.gone.store(true, Ordering::SeqCst);
        let mut state = self.state.lock();
        self.kill_all(&mut state, "machine released");
    }

    fn is_gone(&self) -> bool {
        self.gone.load(Ordering::SeqCst)
    }

    fn kill_all(&self, state: &mut State, why: &str) {
        let machine = &self.config.machine;
        for task in state.tasks.drain(..) {
            if task.exit.is_none() {
                self.record
                    .line(&format!("{machine} killed {}: {why}", task.task));
                self.jobs.note_end(&task.task, task.attempt, machine, false);
            }
        }
    }

    /// Completes tasks and ends the lease, until the machine is gone.
    fn run_tasks(&self) {
        while !self.is_gone() {
            std::thread::sleep(Duration::from_millis(20));
            let now = Instant::now();
            let mut state = self.state.lock();
            if now.duration_since(state.lease_from) > self.config.lease {
                self.kill_all(&mut state, "lease expired");
                state.shift += 1;
                state.lease_from = now;
                state.changed = true;
            }
            let machine = &self.config.machine;
            let mut changed = false;
            for task in &mut state.tasks {
                if task.exit.is_none() && task.ends_at.is_some_and(|at| now >= at) {
                    task.exit = Some(Cause::Done);
                    changed = true;
                    self.record
                        .line(&format!("{machine} completed {}", task.task));
                    self.jobs.note_end(&task.task, task.attempt, machine, true);
                }
            }
            state.changed |= changed;
            if state.changed {
                self.wake.notify_all();
            }
        }
    }

    fn heartbeat(&self, state: &mut State) -> Heartbeat {
        state.tally += 1;
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
            endpoint: self
                .address
                .lock()
                .map_or_else(String::new, |a| a.to_string()),
            flavor: self.config.flavor.clone(),
            zone: self.config.zone.clone(),
            spot: self.config.spot,
            incarnation: state.shift,
            seq: state.tally,
            fencing_token: state.baton,
            reclaim_in_s: None,
            tasks: tasks.collect(),
        }
    }

    fn report_forever(&self) {
        let count = self.config.controllers.len();
        let mut node = fastrand::usize(..count);
        let mut client: Option<(usize, Client)> = None;
        while !self.is_gone() {
            let sent = Instant::now();
            let (body, shift) = {
                let mut state = self.state.lock();
                state.changed = false;
                let heartbeat = self.heartbeat(&mut state);
                (cbor::encode(&heartbeat), state.shift)
            };
            if client
                .as_ref()
                .is_none_or(|(connected, _)| *connected != node)
            {
                client = Some((node, Client::new(self.config.controllers[node].1, 1)));
            }
            let answer = client
                .as_ref()
                .map(|(_, c)| c.call("POST", "/v1/report", Some(&body), ANSWER_TIMEOUT));
            if self.is_gone() {
                return;
            }
            match answer {
                Some(Ok(response)) if response.status == 200 => {
                    if let Ok(answer) = cbor::decode::<HeartbeatResponse>(&response.body) {
                        self.obey(&answer, shift, sent, node);
                    }
                    self.wait_for_next_report(sent);
                }
                Some(Ok(response)) if response.status == 421 => {
                    let foreman = cbor::decode::<Redirect>(&response.body)
                        .ok()
                        .and_then(|redirect| redirect.leader)
                        .and_then(|name| {
                            let mut all = self.config.controllers.iter();
                            all.position(|(member, _)| **member == *name.0)
                        });
                    match foreman {
                        Some(next) if next != node => node = next,
                        _ => {
                            std::thread::sleep(RETRY_PAUSE);
                            node = (node + 1) % count;
                        }
                    }
                }
                _ => {
                    client = None;
                    std::thread::sleep(RETRY_PAUSE);
                    node = (node + 1) % count;
                }
            }
        }
    }

    /// Waits for the report interval, give or take a quarter, or for a change.
    fn wait_for_next_report(&self, sent: Instant) {
        let interval = self.config.report.mul_f64(0.75 + 0.5 * fastrand::f64());
        let mut state = self.state.lock();
        loop {
            let now = Instant::now();
            let due = if state.changed {
                sent + MIN_INTERVAL.min(interval)
            } else {
                sent + interval
            };
            if now >= due {
                return;
            }
            let _ = self.wake.wait_for(&mut state, due - now);
        }
    }

    /// Executes an answer, unless it is late, of an earlier session or under a lower token.
    fn obey(&self, answer: &HeartbeatResponse, shift: u64, sent: Instant, node: usize) {
        let mut state = self.state.lock();
        let late = sent.elapsed() > ANSWER_TIMEOUT;
        if late || shift != state.shift || answer.fencing_token < state.baton || self.is_gone() {
            return;
        }
        state.baton = answer.fencing_token;
        state.lease_from = sent;
        self.execute(&mut state, &answer.commands, sent, node);
    }

    fn execute(&self, state: &mut State, commands: &[Command], sent: Instant, node: usize) {
        let machine = &self.config.machine;
        for command in commands {
            match command {
                Command::Launch { task, attempt } => self.launch(state, task, *attempt, sent, node),
                Command::Stop { task, attempt, .. } => {
                    let mut changed = false;
                    for running in &mut state.tasks {
                        let same = running.task == *task && running.attempt == *attempt;
                        if same && running.exit.is_none() {
                            running.exit = Some(Cause::Stopped);
                            changed = true;
                            self.record
                                .line(&format!("{machine} stopped {task} on command"));
                            self.jobs.note_end(task, *attempt, machine, false);
                        }
                    }
                    state.changed |= changed;
                }
                Command::Clear { task, attempt } => state
                    .tasks
                    .retain(|t| t.task != *task || t.attempt != *attempt || t.exit.is_none()),
            }
        }
    }

    fn launch(
        &self,
        state: &mut State,
        task: &TaskId,
        attempt: Attempt,
        sent: Instant,
        node: usize,
    ) {
        if state
            .tasks
            .iter()
            .any(|t| t.task == *task && t.attempt == attempt)
        {
            return;
        }
        let machine = &self.config.machine;
        let mut used = self.jobs.need(task);
        for other in state.tasks.iter().filter(|t| t.exit.is_none()) {
            let need = self.jobs.need(&other.task);
            used = (used.0 + need.0, used.1 + need.1, used.2 + need.2);
        }
        let all = self.config.capacity;
        let fits = used.0 <= all.0 + 1e-6 && used.1 <= all.1 + 1e-6 && used.2 <= all.2 + 1e-6;
        let other_attempt = state
            .tasks
            .iter()
            .any(|t| t.task == *task && t.exit.is_none());
        let mut launched = Task {
            task: task.clone(),
            attempt,
            ends_at: None,
            exit: None,
        };
        let controller = &self.config.controllers[node].0;
        match self.jobs.run_time(task) {
            None => launched.exit = Some(Cause::NoSuch),
            Some(_) if other_attempt => launched.exit = Some(Cause::Busy),
            Some(_) if !fits => launched.exit = Some(Cause::NoRoom),
            Some(run_time) => {
                launched.ends_at = Instant::now().checked_add(run_time);
                self.record.line(&format!(
                    "{machine} started {task} try {attempt}: launch in the answer of {controller} \
                     to a report sent {} ms ago",
                    sent.elapsed().as_millis()
                ));
                self.jobs.note_start(Start {
                    task: task.clone(),
                    attempt,
                    machine: machine.clone(),
                    report_sent: sent,
                    controller: node,
                    at: Instant::now(),
                    ended: None,
                    done: false,
                });
            }
        }
        if let Some(cause) = launched.exit {
            self.record
                .line(&format!("{machine} refused {task}: {cause:?}"));
        }
        state.tasks.push(launched);
        state.changed = true;
    }
}

impl Handler for DirectHandler {
    fn handle(&self, request: &Request<'_>) -> Response {
        let worker = &self.0;
        if worker.is_gone() {
            return Response::status(503);
        }
        let mut state = worker.state.lock();
        match (request.method, request.path) {
            ("GET", "/show") => Response::cbor(200, &worker.heartbeat(&mut state)),
            ("POST", "/do") => {
                let Ok(direct) = cbor::decode::<DirectCommand>(request.body) else {
                    return Response::status(400);
                };
                let accepted =
                    direct.fencing_token >= state.baton && direct.incarnation == state.shift;
                if accepted {
                    state.changed |= direct.fencing_token > state.baton;
                    state.baton = direct.fencing_token;
                    worker.execute(&mut state, &direct.commands, Instant::now(), 0);
                }
                let status = if accepted { 200 } else { 409 };
                let reply = Response::cbor(status, &worker.heartbeat(&mut state));
                drop(state);
                worker.wake.notify_all();
                reply
            }
            _ => Response::status(404),
        }
    }
}
