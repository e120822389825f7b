//! A machine with its worker, as PROTOCOL describes it.

use crate::store::reply;
use crate::value::*;
use crate::world::World;
use ciborium::Value;
use parking_lot::Mutex;
use pulleywood_transport::Client;
use pulleywood_transport::server::{Handler, Limits, Request, Response, serve};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Kind {
    pub rig: String,
    pub yard: String,
    pub loaner: bool,
    pub vcpus: f64,
    pub cards: f64,
    pub mem_gb: f64,
    pub pull_gb_per_s: f64,
}

#[derive(Clone, Copy)]
pub struct Timing {
    pub report_s: f64,
    pub lease_s: f64,
}

#[derive(Clone, PartialEq)]
enum Status {
    Fetching(Instant),
    Running(Option<Instant>),
    Saving(Instant),
    Exited(&'static str, bool),
}

struct Task {
    leg: String,
    attempt: u64,
    need: (f64, f64, f64),
    stow_s: f64,
    saves: bool,
    status: Status,
}

struct State {
    shift: u64,
    tally: u64,
    baton: u64,
    tasks: Vec<Task>,
    images: BTreeSet<String>,
    lease_from: Instant,
    changed: bool,
}

pub struct Worker {
    pub name: String,
    kind: Kind,
    timing: Timing,
    controllers: Arc<Vec<(String, SocketAddr)>>,
    world: Arc<World>,
    results: Arc<Mutex<BTreeSet<String>>>,
    state: Mutex<State>,
    gone: AtomicBool,
    /// Cut from everybody: reports are held back, direct commands get no answer.
    pub cut: AtomicBool,
    /// Reports arrive, answers and direct commands don't.
    pub deaf: AtomicBool,
    /// Answers to reports are taken this many milliseconds late.
    pub late_ms: std::sync::atomic::AtomicU64,
    pub endpoint: Mutex<Option<SocketAddr>>,
}

struct Direct(Arc<Worker>);

impl Worker {
    pub fn start(
        name: &str,
        kind: Kind,
        timing: Timing,
        controllers: Arc<Vec<(String, SocketAddr)>>,
        world: Arc<World>,
        results: Arc<Mutex<BTreeSet<String>>>,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            name: name.to_owned(),
            kind,
            timing,
            controllers,
            world,
            results,
            state: Mutex::new(State {
                shift: 1,
                tally: 0,
                baton: 0,
                tasks: Vec::new(),
                images: BTreeSet::new(),
                lease_from: Instant::now(),
                changed: false,
            }),
            gone: AtomicBool::new(false),
            cut: AtomicBool::new(false),
            deaf: AtomicBool::new(false),
            late_ms: std::sync::atomic::AtomicU64::new(0),
            endpoint: Mutex::new(None),
        });
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = serve(
            loopback,
            Limits::thread_per_connection(16),
            Direct(Arc::clone(&worker)),
        );
        *worker.endpoint.lock() = Some(server.expect("listen").address);
        let (ticker, reporter) = (Arc::clone(&worker), Arc::clone(&worker));
        std::thread::spawn(move || {
            while !ticker.gone.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(20));
                ticker.tick(&mut ticker.state.lock());
            }
        });
        std::thread::spawn(move || reporter.report_forever());
        worker
    }

    /// Processors and GPUs that no task holds.
    pub fn free(&self) -> (f64, f64) {
        let state = self.state.lock();
        let held = state
            .tasks
            .iter()
            .filter(|t| !matches!(t.status, Status::Exited(..)));
        held.fold((self.kind.vcpus, self.kind.cards), |f, t| {
            (f.0 - t.need.0, f.1 - t.need.1)
        })
    }

    pub fn spot(&self) -> bool {
        self.kind.loaner
    }

    /// The cloud took the machine, with all that was on it.
    pub fn take_away(&self) {
        self.gone.store(true, Ordering::Relaxed);
        let mut state = self.state.lock();
        self.kill_all(&mut state, "machine gone");
    }

    fn kill_all(&self, state: &mut State, why: &str) {
        for task in state.tasks.drain(..) {
            if matches!(task.status, Status::Running(_) | Status::Saving(_)) {
                self.world.task_ended(&task.leg, &self.name, why);
            }
        }
    }

    fn tick(&self, state: &mut State) {
        let now = Instant::now();
        if now - state.lease_from > Duration::from_secs_f64(self.timing.lease_s) {
            self.world.note(&format!(
                "machine {}: lease of session {} expired",
                self.name, state.shift
            ));
            self.kill_all(state, "lease expired");
            state.shift += 1;
            state.lease_from = now;
            state.changed = true;
        }
        for i in 0..state.tasks.len() {
            let task = &state.tasks[i];
            let next = match task.status {
                Status::Fetching(at) if now >= at => {
                    let (job, leg) = task.leg.split_once('/').unwrap_or(("", "0"));
                    let jobs = self.world.jobs.lock();
                    let Some(job) = jobs.get(job) else { continue };
                    let image = text_of(&job.spec, "cargo").unwrap_or_default();
                    let run = (job.run_s)(leg.parse().unwrap_or(0));
                    drop(jobs);
                    let leg = task.leg.clone();
                    state.images.insert(image);
                    self.world.task_started(&leg, &self.name);
                    if self.results.lock().contains(&leg) {
                        self.world.task_ended(&leg, &self.name, "done");
                        Some(Status::Exited("done", false))
                    } else {
                        Some(Status::Running(
                            run.map(|s| now + Duration::from_secs_f64(s)),
                        ))
                    }
                }
                Status::Running(Some(at)) if now >= at => {
                    self.results.lock().insert(task.leg.clone());
                    self.world.task_ended(&task.leg, &self.name, "done");
                    Some(Status::Exited("done", false))
                }
                Status::Saving(at) if now >= at => {
                    self.world
                        .task_ended(&task.leg, &self.name, "stopped, saved");
                    Some(Status::Exited("stopped", true))
                }
                _ => None,
            };
            if let Some(next) = next {
                state.tasks[i].status = next;
                state.changed = true;
            }
        }
    }

    fn report(&self, state: &mut State) -> Value {
        state.tally += 1;
        let legs = state.tasks.iter().map(|t| {
            let mut fields = vec![("leg", text(&t.leg)), ("try", int(t.attempt))];
            fields.push((
                "status",
                text(match t.status {
                    Status::Fetching(_) => "fetching",
                    Status::Running(_) => "running",
                    Status::Saving(_) => "saving",
                    Status::Exited(..) => "exited",
                }),
            ));
            if let Status::Exited(cause, stored) = t.status {
                fields.push(("cause", text(cause)));
                fields.push(("stored", Value::Bool(stored)));
            }
            map(&fields)
        });
        let legs = legs.collect();
        let endpoint = self
            .endpoint
            .lock()
            .map(|a| a.to_string())
            .unwrap_or_default();
        map(&[
            ("horse", text(&self.name)),
            ("endpoint", text(&endpoint)),
            ("rig", text(&self.kind.rig)),
            ("yard", text(&self.kind.yard)),
            ("loaner", Value::Bool(self.kind.loaner)),
            ("shift", int(state.shift)),
            ("tally", int(state.tally)),
            ("baton", int(state.baton)),
            ("recall_s", Value::Null),
            ("legs", Value::Array(legs)),
        ])
    }

    fn report_forever(&self) {
        let mut node = fastrand::usize(..self.controllers.len());
        let mut pause = Duration::ZERO;
        let mut clients: BTreeMap<usize, Client> = BTreeMap::new();
        while !self.gone.load(Ordering::Relaxed) {
            self.wait_for_next_report(pause);
            let sent_at = Instant::now();
            let (body, shift) = {
                let mut state = self.state.lock();
                self.tick(&mut state);
                state.changed = false;
                (encode(&self.report(&mut state)), state.shift)
            };
            if self.cut.load(Ordering::Relaxed) {
                // The report arrives once the cut is over; nobody waits for its answer any more.
                let (to, worker_world) = (self.controllers[node].1, Arc::clone(&self.world));
                let hold_ms = fastrand::u64(2_000..15_000);
                let name = self.name.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(hold_ms));
                    worker_world.note(&format!("machine {name}: a held report arrives"));
                    let _ = Client::new(to, 0).call(
                        "POST",
                        "/v1/report",
                        Some(&body),
                        Duration::from_secs(4),
                    );
                });
                clients.clear();
                std::thread::sleep(Duration::from_secs(4));
                node = (node + 1) % self.controllers.len();
                pause = Duration::from_secs(1);
                continue;
            }
            let client = clients
                .entry(node)
                .or_insert_with(|| Client::new(self.controllers[node].1, 1));
            let answer = client.call("POST", "/v1/report", Some(&body), Duration::from_secs(4));
            if self.gone.load(Ordering::Relaxed) {
                return;
            }
            if self.cut.load(Ordering::Relaxed) || self.deaf.load(Ordering::Relaxed) {
                clients.clear();
                let left = Duration::from_secs(4).saturating_sub(sent_at.elapsed());
                std::thread::sleep(left);
                node = (node + 1) % self.controllers.len();
                pause = Duration::from_secs(1);
                continue;
            }
            let late = Duration::from_millis(self.late_ms.load(Ordering::Relaxed));
            if !late.is_zero() {
                std::thread::sleep(late);
            }
            pause = Duration::from_secs_f64(self.timing.report_s * (0.75 + 0.5 * fastrand::f64()));
            match answer {
                Ok(r) if r.status == 200 => {
                    if let Some(answer) = decode(&r.body) {
                        self.take_answer(&answer, shift, sent_at);
                    }
                }
                Ok(r) if r.status == 421 => {
                    let named = decode(&r.body).and_then(|b| text_of(&b, "foreman"));
                    let named =
                        named.and_then(|n| self.controllers.iter().position(|(m, _)| *m == n));
                    match named.filter(|n| *n != node) {
                        Some(n) => {
                            clients.remove(&node);
                            node = n;
                            pause = Duration::from_millis(fastrand::u64(0..500));
                        }
                        None => {
                            node = (node + 1) % self.controllers.len();
                            pause = Duration::from_secs(1);
                        }
                    }
                    self.state.lock().changed = false;
                }
                _ => {
                    clients.remove(&node);
                    node = (node + 1) % self.controllers.len();
                    pause = Duration::from_secs(1);
                }
            }
        }
    }

    /// Waits for the pause, or for half a second if something has changed.
    fn wait_for_next_report(&self, pause: Duration) {
        let from = Instant::now();
        let least = pause.min(Duration::from_millis(500));
        while from.elapsed() < pause {
            if self.gone.load(Ordering::Relaxed)
                || from.elapsed() >= least && self.state.lock().changed
            {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn take_answer(&self, answer: &Value, shift: u64, sent_at: Instant) {
        let mut state = self.state.lock();
        self.tick(&mut state);
        let Some(baton) = int_of(answer, "baton") else {
            return;
        };
        if baton < state.baton || shift != state.shift || sent_at.elapsed() > Duration::from_secs(4)
        {
            return;
        }
        state.baton = baton;
        state.lease_from = state.lease_from.max(sent_at);
        self.execute(&mut state, list_of(answer, "orders"));
    }

    fn execute(&self, state: &mut State, orders: &[Value]) {
        for order in orders {
            let (Some(verb), Some(leg), Some(attempt)) = (
                text_of(order, "verb"),
                text_of(order, "leg"),
                int_of(order, "try"),
            ) else {
                continue;
            };
            self.world.note(&format!(
                "machine {}: told to {verb} {leg} try {attempt}",
                self.name
            ));
            match verb.as_str() {
                "launch" => self.launch(state, &leg, attempt),
                "halt" => self.halt(
                    state,
                    &leg,
                    attempt,
                    num_of(order, "leeway_s").unwrap_or(0.0),
                ),
                "clear" => state.tasks.retain(|t| {
                    t.leg != leg || t.attempt != attempt || !matches!(t.status, Status::Exited(..))
                }),
                _ => {}
            }
            state.changed = true;
        }
    }

    fn launch(&self, state: &mut State, leg: &str, attempt: u64) {
        if state
            .tasks
            .iter()
            .any(|t| t.leg == leg && t.attempt == attempt)
        {
            return;
        }
        let jobs = self.world.jobs.lock();
        let (job, index) = leg.split_once('/').unwrap_or((leg, "x"));
        let job = jobs.get(job).filter(|job| {
            let legs = int_of(&job.spec, "legs").unwrap_or(0);
            index.parse::<u64>().is_ok_and(|i| i < legs)
        });
        let number = |name| job.and_then(|j| num_of(&j.spec, name)).unwrap_or(0.0);
        let need = (number("vcpus"), number("cards"), number("mem_gb"));
        let held = state
            .tasks
            .iter()
            .filter(|t| !matches!(t.status, Status::Exited(..)));
        let held = held.fold((0.0, 0.0, 0.0), |s, t| {
            (s.0 + t.need.0, s.1 + t.need.1, s.2 + t.need.2)
        });
        let kind = &self.kind;
        let fits = |held: f64, need: f64, all: f64| held + need <= all + 1e-6;
        let here = |t: &Task| t.leg == leg && !matches!(t.status, Status::Exited(..));
        let status = if job.is_none() {
            Status::Exited("no_such", false)
        } else if state.tasks.iter().any(here) {
            Status::Exited("busy", false)
        } else if !(fits(held.0, need.0, kind.vcpus)
            && fits(held.1, need.1, kind.cards)
            && fits(held.2, need.2, kind.mem_gb))
        {
            Status::Exited("no_room", false)
        } else {
            let image = job
                .and_then(|j| text_of(&j.spec, "cargo"))
                .unwrap_or_default();
            let fetch_s = if state.images.contains(&image) {
                0.0
            } else {
                number("size_gb") / kind.pull_gb_per_s
            };
            Status::Fetching(Instant::now() + Duration::from_secs_f64(fetch_s))
        };
        if matches!(status, Status::Fetching(_)) {
            self.world.task_launched(leg);
        }
        let task = Task {
            leg: leg.to_owned(),
            attempt,
            need,
            stow_s: number("stow_s"),
            saves: number("waypoint_s") > 0.0,
            status,
        };
        drop(jobs);
        state.tasks.push(task);
    }

    fn halt(&self, state: &mut State, leg: &str, attempt: u64, leeway_s: f64) {
        for task in state
            .tasks
            .iter_mut()
            .filter(|t| t.leg == leg && t.attempt == attempt)
        {
            match task.status {
                Status::Running(_) if task.saves && leeway_s >= task.stow_s => {
                    task.status =
                        Status::Saving(Instant::now() + Duration::from_secs_f64(task.stow_s));
                }
                Status::Running(_) => {
                    self.world.task_ended(leg, &self.name, "stopped");
                    task.status = Status::Exited("stopped", false);
                }
                Status::Saving(_) if leeway_s == 0.0 => {
                    self.world.task_ended(leg, &self.name, "stopped");
                    task.status = Status::Exited("stopped", false);
                }
                Status::Fetching(_) => task.status = Status::Exited("stopped", false),
                _ => {}
            }
        }
    }
}

impl Handler for Direct {
    fn handle(&self, request: &Request<'_>) -> Response {
        let worker = &self.0;
        let lost = [&worker.gone, &worker.cut, &worker.deaf];
        if lost.iter().any(|l| l.load(Ordering::Relaxed)) {
            std::thread::sleep(Duration::from_secs(5));
            return Response::status(503);
        }
        let mut state = worker.state.lock();
        worker.tick(&mut state);
        match (request.method, request.path) {
            ("GET", "/show") => reply(200, &worker.report(&mut state)),
            ("POST", "/do") => {
                let body = decode(request.body);
                let number = |name| body.as_ref().and_then(|b| int_of(b, name));
                let (Some(baton), Some(shift)) = (number("baton"), number("shift")) else {
                    return Response::status(400);
                };
                let accepted = baton >= state.baton && shift == state.shift;
                if accepted {
                    state.baton = baton;
                    let orders = body.as_ref().map_or(&[][..], |b| list_of(b, "orders"));
                    worker.execute(&mut state, orders);
                }
                reply(if accepted { 200 } else { 409 }, &worker.report(&mut state))
            }
            _ => Response::status(404),
        }
    }
}
