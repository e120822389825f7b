//! A worker in virtual time.
//!
//! It promises heartbeats at varying intervals, image fetches that share a rate of 1 GB a
//! second, commands executed under the newest fencing token, and the loss of all tasks when its
//! lease expires. It does not imitate failing tasks, checkpoints or preemption notices.

use super::START;
use crate::history::{End, Event};
use fastrand::Rng;
use pulleywood_protocol::worker::{
    Cause, Command, Heartbeat, HeartbeatResponse, TaskState, TaskStatus,
};
use pulleywood_protocol::{
    Attempt, FencingToken, JobId, MachineId, MonotonicTime, ShardId, TaskId,
};
use pulleywood_scheduler::Config;
use std::collections::BTreeMap;
use std::time::Duration;

/// Run time of an array's task.
const RUN_TIME: Duration = Duration::from_secs(60);

/// The answer to a heartbeat, with what the worker needs to know of the jobs.
pub struct Answer {
    /// Fencing token and commands.
    pub body: HeartbeatResponse,
    /// Image, its size in GB, and whether the job is a service, by job.
    pub images: BTreeMap<JobId, (String, f64, bool)>,
}

impl Answer {
    /// Number of launches and stops among the commands.
    pub fn launches_and_stops(&self) -> usize {
        let commands = self.body.commands.iter();
        commands
            .filter(|command| !matches!(command, Command::Clear { .. }))
            .count()
    }
}

struct Task {
    task: TaskId,
    attempt: Attempt,
    image: String,
    service: bool,
    /// When it ends, once it runs.
    ends: Option<MonotonicTime>,
    running: bool,
    exit: Option<Cause>,
}

/// A machine and its worker.
pub struct Worker {
    /// Its machine.
    pub id: MachineId,
    /// The shard that its record names.
    pub shard: ShardId,
    /// Its zone.
    pub zone: String,
    /// Until when it is cut off in both directions.
    pub cut_until: MonotonicTime,
    dead: bool,
    incarnation: u64,
    seq: u64,
    /// The highest fencing token it has seen.
    pub fencing_token: FencingToken,
    renewed: MonotonicTime,
    next: MonotonicTime,
    /// State of the generator that varies the heartbeat intervals.
    jitter: u64,
    lease: Duration,
    heartbeat_interval: Duration,
    /// Images present, and the GB left of those being fetched.
    images: BTreeMap<String, f64>,
    tasks: Vec<Task>,
    now: MonotonicTime,
}

impl Worker {
    /// A worker without tasks.
    pub fn new(n: usize, config: &Config, rng: &mut Rng) -> Worker {
        Worker {
            id: MachineId::from(format!("vm-{n:06}").as_str()),
            shard: ShardId(n as u32 % config.shards),
            zone: config.zones[n % config.zones.len()].clone(),
            cut_until: MonotonicTime(0),
            dead: false,
            incarnation: 1,
            seq: 0,
            fencing_token: FencingToken(0),
            renewed: START,
            next: START + Duration::from_millis(rng.u64(0..2000)),
            jitter: rng.u64(..),
            lease: config.lease,
            heartbeat_interval: config.heartbeat_interval,
            images: BTreeMap::new(),
            tasks: Vec::new(),
            now: START,
        }
    }

    /// The machine is lost with all its tasks.
    pub fn die(&mut self, now: MonotonicTime, events: &mut Vec<Event>) {
        if !self.dead {
            self.dead = true;
            self.lose_all(now, events);
        }
    }

    fn lose_all(&mut self, now: MonotonicTime, events: &mut Vec<Event>) {
        for task in self.tasks.drain(..) {
            let machine = self.id.clone();
            if task.running {
                events.push(Event::End {
                    at: now.0,
                    task: task.task,
                    machine,
                    end: End::Lost,
                });
            } else if task.exit == Some(Cause::Done) {
                let task = task.task;
                events.push(Event::Forgotten { task, machine });
            }
        }
    }

    /// Whether it has a task in a state that a recovery keeps: not exited, or done.
    pub fn holds(&self, task: &TaskId) -> bool {
        let keeps = |t: &Task| t.exit.is_none() || t.exit == Some(Cause::Done);
        self.tasks.iter().any(|t| t.task == *task && keeps(t))
    }

    /// Whether a task runs here.
    pub fn runs(&self, task: &TaskId) -> bool {
        self.tasks.iter().any(|t| t.task == *task && t.running)
    }

    /// Whether it can be reached.
    pub fn is_reachable(&self, now: MonotonicTime) -> bool {
        !self.dead && now >= self.cut_until
    }

    /// Advances to `now`: the lease may expire, images are fetched, tasks start and complete.
    pub fn pass_time(&mut self, now: MonotonicTime, events: &mut Vec<Event>) {
        if self.dead {
            return;
        }
        if now.since(self.renewed) > self.lease {
            self.lose_all(now, events);
            self.images.retain(|_, left| *left <= 0.0);
            self.incarnation += 1;
            self.renewed = now;
        }
        let passed = now.since(self.now).as_secs_f64();
        self.now = now;
        // Images fetched at the same time share the rate of 1 GB a second.
        let fetching = self.images.values().filter(|left| **left > 0.0).count();
        for left in self.images.values_mut().filter(|left| **left > 0.0) {
            *left -= passed / fetching as f64;
        }
        for task in self.tasks.iter_mut().filter(|t| t.exit.is_none()) {
            let fetched = self.images.get(&task.image).is_none_or(|left| *left <= 0.0);
            if !task.running && fetched {
                task.running = true;
                task.ends = (!task.service).then(|| now + RUN_TIME);
                events.push(Event::Start {
                    at: now.0,
                    task: task.task.clone(),
                    attempt: task.attempt,
                    machine: self.id.clone(),
                });
            }
            if task.running && task.ends.is_some_and(|end| now >= end) {
                task.running = false;
                task.exit = Some(Cause::Done);
                events.push(Event::End {
                    at: now.0,
                    task: task.task.clone(),
                    machine: self.id.clone(),
                    end: End::Done,
                });
            }
        }
    }

    /// Whether it sends a heartbeat now; if one is due, draws when the next one is.
    pub fn sends_heartbeat(&mut self, now: MonotonicTime) -> bool {
        if now < self.next {
            return false;
        }
        self.jitter = self
            .jitter
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let spread = 0.75 + (self.jitter >> 33) as f64 / (1u64 << 31) as f64 * 0.5;
        self.next = now + self.heartbeat_interval.mul_f64(spread);
        self.is_reachable(now)
    }

    /// No controller answered: the next heartbeat follows a second later.
    pub fn unanswered(&mut self, now: MonotonicTime) {
        self.next = now + Duration::from_secs(1);
    }

    /// Makes the next heartbeat.
    pub fn heartbeat(&mut self) -> Heartbeat {
        self.seq += 1;
        let tasks = self.tasks.iter().map(|t| TaskStatus {
            task: t.task.clone(),
            attempt: t.attempt,
            state: match (t.exit, t.running) {
                (Some(_), _) => TaskState::Exited,
                (None, true) => TaskState::Running,
                (None, false) => TaskState::Fetching,
            },
            cause: t.exit,
            progress_saved: None,
        });
        Heartbeat {
            machine: self.id.clone(),
            endpoint: "10.0.0.1:1".into(),
            flavor: "g4".into(),
            zone: self.zone.clone(),
            spot: false,
            incarnation: self.incarnation,
            seq: self.seq,
            fencing_token: self.fencing_token,
            reclaim_in_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Executes an empty direct command; the reply is a heartbeat, `None` if it was refused.
    pub fn direct(&mut self, fencing_token: FencingToken, now: MonotonicTime) -> Option<Heartbeat> {
        if !self.is_reachable(now) || fencing_token < self.fencing_token {
            return None;
        }
        self.fencing_token = fencing_token;
        Some(self.heartbeat())
    }

    /// Executes the answer to a heartbeat.
    pub fn execute(
        &mut self,
        answer: &Answer,
        heartbeat: &Heartbeat,
        now: MonotonicTime,
        events: &mut Vec<Event>,
    ) {
        if answer.body.fencing_token < self.fencing_token
            || heartbeat.incarnation != self.incarnation
        {
            return;
        }
        self.fencing_token = answer.body.fencing_token;
        self.renewed = now;
        for command in &answer.body.commands {
            match command {
                Command::Launch { task, attempt } => self.launch(task, *attempt, answer),
                Command::Stop { task, attempt, .. } => self.stop(task, *attempt, now, events),
                Command::Clear { task, attempt } => self
                    .tasks
                    .retain(|t| t.task != *task || t.attempt != *attempt || t.exit.is_none()),
            }
        }
    }

    fn launch(&mut self, task: &TaskId, attempt: Attempt, answer: &Answer) {
        let known = |t: &Task| t.task == *task && t.attempt == attempt;
        if self.tasks.iter().any(known) {
            return;
        }
        let (image, gb, service) = answer.images[&task.job].clone();
        self.images.entry(image.clone()).or_insert(gb);
        let busy = self
            .tasks
            .iter()
            .any(|t| t.task == *task && t.exit.is_none());
        self.tasks.push(Task {
            task: task.clone(),
            attempt,
            image,
            service,
            ends: None,
            running: false,
            exit: busy.then_some(Cause::Busy),
        });
    }

    fn stop(
        &mut self,
        task: &TaskId,
        attempt: Attempt,
        now: MonotonicTime,
        events: &mut Vec<Event>,
    ) {
        let same = |t: &&mut Task| t.task == *task && t.attempt == attempt && t.exit.is_none();
        for found in self.tasks.iter_mut().filter(same) {
            found.exit = Some(Cause::Stopped);
            if std::mem::take(&mut found.running) {
                events.push(Event::End {
                    at: now.0,
                    task: task.clone(),
                    machine: self.id.clone(),
                    end: End::Stopped,
                });
            }
        }
    }
}
