//! A simulated worker of a virtual cluster.
//!
//! It sends heartbeats at varying intervals, fetches images at a shared rate of 1 GB per
//! second, executes commands only under the highest fencing token that it has seen, and loses
//! all tasks when its lease expires. Failing tasks, checkpoints and preemption notices are not
//! simulated.

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

/// Run time of a task of an array job unless a scenario sets another; replicas of services run until they are stopped.
const RUN_TIME: Duration = Duration::from_secs(60);

/// The response to a heartbeat, with what the worker needs to know about the launched jobs.
pub struct Answer {
    /// Fencing token and commands.
    pub body: HeartbeatResponse,
    /// By job: its image, the image's size in GB, and whether the job is a service. Empty
    /// unless the response launches a task.
    pub job_images: BTreeMap<JobId, (String, f64, bool)>,
}

impl Answer {
    /// Number of launch and stop commands in the response.
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
    /// When it completes; `None` before it runs, and for replicas of services.
    ends_at: Option<MonotonicTime>,
    running: bool,
    /// Why it exited; `None` until then.
    exit: Option<Cause>,
}

/// A machine, its worker and its tasks.
pub struct Worker {
    /// Identifier of its machine.
    pub id: MachineId,
    /// The shard that the machine's record names.
    pub shard: ShardId,
    /// Zone of its machine.
    pub zone: String,
    /// Until when messages are dropped in both directions; zero if it was never partitioned.
    pub partitioned_until: MonotonicTime,
    /// Run time of each task of an array job.
    pub run_time: Duration,
    /// Whether the machine is lost for good.
    lost: bool,
    incarnation: u64,
    seq: u64,
    /// The highest fencing token that it has seen.
    pub fencing_token: FencingToken,
    /// When it executed the last response, or its last lease expired.
    lease_renewed_at: MonotonicTime,
    next_heartbeat_at: MonotonicTime,
    /// State of the linear congruential generator that varies the heartbeat intervals.
    jitter_state: u64,
    lease: Duration,
    heartbeat_interval: Duration,
    /// By image: GB that remain to be fetched; zero or less once it is present.
    fetch_remaining_gb: BTreeMap<String, f64>,
    tasks: Vec<Task>,
    now: MonotonicTime,
}

impl Worker {
    /// Creates a worker without tasks on the machine with the number `index`.
    pub fn new(index: usize, config: &Config, rng: &mut Rng) -> Worker {
        Worker {
            id: MachineId::from(format!("vm-{index:06}").as_str()),
            shard: ShardId(index as u32 % config.shards),
            zone: config.zones[index % config.zones.len()].clone(),
            partitioned_until: MonotonicTime(0),
            run_time: RUN_TIME,
            lost: false,
            incarnation: 1,
            seq: 0,
            fencing_token: FencingToken(0),
            lease_renewed_at: START,
            next_heartbeat_at: START + Duration::from_millis(rng.u64(0..2000)),
            jitter_state: rng.u64(..),
            lease: config.lease,
            heartbeat_interval: config.heartbeat_interval,
            fetch_remaining_gb: BTreeMap::new(),
            tasks: Vec::new(),
            now: START,
        }
    }

    /// Loses the machine for good, with all its tasks.
    pub fn lose_machine(&mut self, now: MonotonicTime, events: &mut Vec<Event>) {
        if !self.lost {
            self.lost = true;
            self.lose_tasks(now, events);
        }
    }

    fn lose_tasks(&mut self, now: MonotonicTime, events: &mut Vec<Event>) {
        for task in self.tasks.drain(..) {
            let machine = self.id.clone();
            if task.running {
                events.push(Event::End {
                    at_ms: now.0,
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

    /// Whether it has the task in a state that a recovery keeps: not exited, or done.
    pub fn holds(&self, task: &TaskId) -> bool {
        let is_kept = |t: &Task| t.exit.is_none() || t.exit == Some(Cause::Done);
        self.tasks.iter().any(|t| t.task == *task && is_kept(t))
    }

    /// Whether it runs the task.
    pub fn runs(&self, task: &TaskId) -> bool {
        self.tasks.iter().any(|t| t.task == *task && t.running)
    }

    /// The jobs whose tasks it runs, one entry for each task.
    pub fn running_jobs(&self) -> impl Iterator<Item = JobId> {
        let running = self.tasks.iter().filter(|t| t.running);
        running.map(|t| t.task.job.clone())
    }

    /// Whether messages to and from it are delivered.
    pub fn is_reachable(&self, now: MonotonicTime) -> bool {
        !self.lost && now >= self.partitioned_until
    }

    /// Advances its clock to `now`: expires the lease, fetches images, and starts and completes
    /// tasks. Appends what happened to `events`.
    pub fn advance_to(&mut self, now: MonotonicTime, events: &mut Vec<Event>) {
        if self.lost {
            return;
        }
        if now.since(self.lease_renewed_at) > self.lease {
            self.lose_tasks(now, events);
            self.fetch_remaining_gb
                .retain(|_, remaining_gb| *remaining_gb <= 0.0);
            self.incarnation += 1;
            self.lease_renewed_at = now;
        }
        let passed_s = now.since(self.now).as_secs_f64();
        self.now = now;
        // Images that are fetched at the same time share the rate of 1 GB per second.
        let fetch_count = self
            .fetch_remaining_gb
            .values()
            .filter(|remaining_gb| **remaining_gb > 0.0)
            .count();
        for remaining_gb in self
            .fetch_remaining_gb
            .values_mut()
            .filter(|remaining_gb| **remaining_gb > 0.0)
        {
            *remaining_gb -= passed_s / fetch_count as f64;
        }
        for task in self.tasks.iter_mut().filter(|t| t.exit.is_none()) {
            let is_fetched = self
                .fetch_remaining_gb
                .get(&task.image)
                .is_none_or(|remaining_gb| *remaining_gb <= 0.0);
            if !task.running && is_fetched {
                task.running = true;
                task.ends_at = (!task.service).then(|| now + self.run_time);
                events.push(Event::Start {
                    at_ms: now.0,
                    task: task.task.clone(),
                    attempt: task.attempt,
                    machine: self.id.clone(),
                });
            }
            if task.running && task.ends_at.is_some_and(|ends_at| now >= ends_at) {
                task.running = false;
                task.exit = Some(Cause::Done);
                events.push(Event::End {
                    at_ms: now.0,
                    task: task.task.clone(),
                    machine: self.id.clone(),
                    end: End::Done,
                });
            }
        }
    }

    /// Whether it sends a heartbeat now. If one is due, schedules the next one, 0.75 to 1.25
    /// intervals later.
    pub fn sends_heartbeat(&mut self, now: MonotonicTime) -> bool {
        if now < self.next_heartbeat_at {
            return false;
        }
        self.jitter_state = self
            .jitter_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let factor = 0.75 + (self.jitter_state >> 33) as f64 / (1u64 << 31) as f64 * 0.5;
        self.next_heartbeat_at = now + self.heartbeat_interval.mul_f64(factor);
        self.is_reachable(now)
    }

    /// Schedules the next heartbeat one second after `now`, because no controller answered.
    pub fn retry_heartbeat(&mut self, now: MonotonicTime) {
        self.next_heartbeat_at = now + Duration::from_secs(1);
    }

    /// Builds the next heartbeat, under a new sequence number.
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

    /// Executes a direct command without instructions, which only carries a fencing token.
    /// Returns a heartbeat; `None` if the worker is unreachable or has seen a higher token.
    pub fn execute_direct_command(
        &mut self,
        fencing_token: FencingToken,
        now: MonotonicTime,
    ) -> Option<Heartbeat> {
        if !self.is_reachable(now) || fencing_token < self.fencing_token {
            return None;
        }
        self.fencing_token = fencing_token;
        Some(self.heartbeat())
    }

    /// Executes the response to `heartbeat`, unless it carries an older fencing token or the
    /// heartbeat is of an earlier incarnation.
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
        self.lease_renewed_at = now;
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
        let is_same_attempt = |t: &Task| t.task == *task && t.attempt == attempt;
        if self.tasks.iter().any(is_same_attempt) {
            return;
        }
        let (image, image_gb, service) = answer.job_images[&task.job].clone();
        self.fetch_remaining_gb
            .entry(image.clone())
            .or_insert(image_gb);
        let runs_other_attempt = self
            .tasks
            .iter()
            .any(|t| t.task == *task && t.exit.is_none());
        self.tasks.push(Task {
            task: task.clone(),
            attempt,
            image,
            service,
            ends_at: None,
            running: false,
            exit: runs_other_attempt.then_some(Cause::Busy),
        });
    }

    fn stop(
        &mut self,
        task: &TaskId,
        attempt: Attempt,
        now: MonotonicTime,
        events: &mut Vec<Event>,
    ) {
        let is_same_attempt =
            |t: &&mut Task| t.task == *task && t.attempt == attempt && t.exit.is_none();
        for stopped in self.tasks.iter_mut().filter(is_same_attempt) {
            stopped.exit = Some(Cause::Stopped);
            if std::mem::take(&mut stopped.running) {
                events.push(Event::End {
                    at_ms: now.0,
                    task: task.clone(),
                    machine: self.id.clone(),
                    end: End::Stopped,
                });
            }
        }
    }
}
