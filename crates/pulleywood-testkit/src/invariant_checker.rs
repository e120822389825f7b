//! Observes the fakes and records violated invariants, independently of the controllers.
//!
//! The checker knows jobs as their users submitted them and tasks as the fake workers run them.
//! It detects tasks that run twice, tasks of cancelled jobs that are launched or run for too
//! long, and teams above their GPU limit. It does not see the store or the controllers' responses, and does not check placement.

use crate::history::{End, Event};
use parking_lot::Mutex;
use pulleywood_protocol::{Attempt, JobId, JobSpec, MachineId, Shape, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A submitted job and the state of its tasks.
#[derive(Debug, Clone)]
struct ObservedJob {
    spec: JobSpec,
    run_time: Duration,
    /// Indexes of the tasks that have completed.
    done: BTreeSet<u32>,
    /// Whether the job was cancelled and its tasks have ended, so that none may start.
    starts_forbidden: bool,
    /// When the user received the response that the job is cancelled, and the time after which
    /// no task of it may run; `None` if it was not cancelled.
    cancellation: Option<(Instant, Instant)>,
}

/// Observes jobs and tasks, and records violated invariants.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    jobs: BTreeMap<JobId, ObservedJob>,
    /// The machine on which each running task runs.
    running_on: BTreeMap<TaskId, MachineId>,
    start_counts: BTreeMap<TaskId, u32>,
    /// Maximum number of GPUs by team; teams without an entry have no limit.
    gpu_limits: BTreeMap<String, f64>,
    violations: Vec<String>,
    history: Vec<Event>,
    clock_origin: Option<Instant>,
}

impl State {
    /// Milliseconds since the first call.
    fn elapsed_ms(&mut self) -> u64 {
        let clock_origin = *self.clock_origin.get_or_insert_with(Instant::now);
        clock_origin.elapsed().as_millis() as u64
    }

    /// Records a violation if a task is on a machine after the deadline of its job's
    /// cancellation.
    fn check_cancelled(&mut self, task: &TaskId, machine: &MachineId) {
        let job = self.jobs.get(&task.job);
        if let Some((cancelled_at, deadline)) = job.and_then(|job| job.cancellation)
            && Instant::now() > deadline
        {
            let elapsed_s = cancelled_at.elapsed().as_secs_f64();
            let violation = format!(
                "ran_cancelled: {task} was on {machine} {elapsed_s:.1} s after its job's cancellation"
            );
            self.violations.push(violation);
        }
    }

    /// Records a violation if a task was launched although the user had been told that its job is
    /// cancelled. A launch in the response to an earlier heartbeat was under way at that time.
    fn check_launched_when_cancelled(
        &mut self,
        task: &TaskId,
        machine: &MachineId,
        heartbeat_sent_at: Instant,
    ) {
        let job = self.jobs.get(&task.job);
        if let Some((cancelled_at, _)) = job.and_then(|job| job.cancellation)
            && heartbeat_sent_at > cancelled_at
        {
            let elapsed_ms = heartbeat_sent_at.duration_since(cancelled_at).as_millis();
            let violation = format!(
                "launched_when_cancelled: {task} was launched on {machine} in the response to a \
                 heartbeat sent {elapsed_ms} ms after its job's cancellation"
            );
            self.violations.push(violation);
        }
    }
}

impl InvariantChecker {
    /// Registers a job that a user is about to submit, whose tasks run for `run_time`.
    pub fn expect_job(&self, spec: JobSpec, run_time: Duration) {
        let job = ObservedJob {
            run_time,
            done: BTreeSet::new(),
            starts_forbidden: false,
            cancellation: None,
            spec,
        };
        let id = job.spec.id.clone();
        self.state.lock().jobs.insert(id, job);
    }

    /// Sets the maximum number of GPUs that the tasks of a team may use at the same time.
    pub fn set_gpu_limit(&self, team: &str, gpus: f64) {
        self.state.lock().gpu_limits.insert(team.to_owned(), gpus);
    }

    /// Forbids further starts of a job's tasks, because it was cancelled and they have ended.
    pub fn forbid_starts(&self, id: &JobId) {
        if let Some(job) = self.state.lock().jobs.get_mut(id) {
            job.starts_forbidden = true;
        }
    }

    /// Records that the user received the response that the job is cancelled. None of its tasks
    /// may be launched from now on. Those that run must end within the time `within`, and none
    /// may run later. Only the first call for a job counts.
    pub fn record_cancellation(&self, id: &JobId, within: Duration) {
        let now = Instant::now();
        if let Some(job) = self.state.lock().jobs.get_mut(id) {
            job.cancellation.get_or_insert((now, now + within));
        }
    }

    /// How long a task runs when it is launched; `None` if there is no such task. It is
    /// [`Duration::MAX`] for replicas of services, which run until they are stopped, and zero
    /// for tasks that have completed before.
    pub fn run_time(&self, task: &TaskId) -> Option<Duration> {
        let state = self.state.lock();
        let job = state.jobs.get(&task.job)?;
        (task.index < job.spec.tasks).then_some(match job.spec.shape {
            Shape::Service => Duration::MAX,
            _ if job.done.contains(&task.index) => Duration::ZERO,
            _ => job.run_time,
        })
    }

    /// Records that a task started on a machine, and checks all invariants of starts. It was
    /// launched in the response to a heartbeat that was sent at `heartbeat_sent_at`.
    pub fn record_start(
        &self,
        task: &TaskId,
        attempt: Attempt,
        machine: &MachineId,
        heartbeat_sent_at: Instant,
    ) {
        let mut state = self.state.lock();
        let event = Event::Start {
            at_ms: state.elapsed_ms(),
            task: task.clone(),
            attempt,
            machine: machine.clone(),
        };
        state.history.push(event);
        if let Some(other) = state.running_on.get(task) {
            let violation =
                format!("ran_twice: {task} started on {machine} while it ran on {other}");
            state.violations.push(violation);
        }
        if state
            .jobs
            .get(&task.job)
            .is_some_and(|job| job.starts_forbidden)
        {
            let violation = format!(
                "ran_cancelled: {task} started on {machine} after its cancelled job had ended"
            );
            state.violations.push(violation);
        }
        state.check_cancelled(task, machine);
        state.check_launched_when_cancelled(task, machine, heartbeat_sent_at);
        state.running_on.insert(task.clone(), machine.clone());
        *state.start_counts.entry(task.clone()).or_default() += 1;
        let mut used_gpus_by_team: BTreeMap<String, f64> = BTreeMap::new();
        for task in state.running_on.keys() {
            if let Some(job) = state.jobs.get(&task.job) {
                *used_gpus_by_team.entry(job.spec.team.clone()).or_default() += job.spec.gpus.0;
            }
        }
        for (team, used_gpus) in used_gpus_by_team {
            if let Some(limit) = state
                .gpu_limits
                .get(&team)
                .filter(|limit| used_gpus > **limit)
            {
                let violation =
                    format!("quota: team {team} uses {used_gpus} GPUs, its limit is {limit}");
                state.violations.push(violation);
            }
        }
    }

    /// Records that a worker lost the result of a task that had completed on its machine.
    pub fn record_forgotten(&self, task: &TaskId, machine: &MachineId) {
        self.state.lock().history.push(Event::Forgotten {
            task: task.clone(),
            machine: machine.clone(),
        });
    }

    /// Records how a task ended on a machine.
    pub fn record_end(&self, task: &TaskId, machine: &MachineId, end: End) {
        let mut state = self.state.lock();
        let event = Event::End {
            at_ms: state.elapsed_ms(),
            task: task.clone(),
            machine: machine.clone(),
            end,
        };
        state.history.push(event);
        state.check_cancelled(task, machine);
        if state.running_on.get(task) == Some(machine) {
            state.running_on.remove(task);
        }
        if end == End::Done
            && let Some(job) = state.jobs.get_mut(&task.job)
        {
            job.done.insert(task.index);
        }
    }

    /// Whether all tasks of a job have completed.
    pub fn is_done(&self, id: &JobId) -> bool {
        let state = self.state.lock();
        state
            .jobs
            .get(id)
            .is_some_and(|job| job.done.len() as u32 == job.spec.tasks)
    }

    /// Number of tasks of a job that run.
    pub fn running_tasks(&self, id: &JobId) -> usize {
        let state = self.state.lock();
        state
            .running_on
            .keys()
            .filter(|task| &task.job == id)
            .count()
    }

    /// Number of tasks of all jobs that run.
    pub fn all_running_tasks(&self) -> usize {
        self.state.lock().running_on.len()
    }

    /// Machines that run tasks of a job.
    pub fn machines_of(&self, id: &JobId) -> BTreeSet<MachineId> {
        let state = self.state.lock();
        let running = state.running_on.iter().filter(|(task, _)| &task.job == id);
        running.map(|(_, machine)| machine.clone()).collect()
    }

    /// Number of starts of a job's tasks, including repeated starts of the same task.
    pub fn start_count(&self, id: &JobId) -> u32 {
        let state = self.state.lock();
        let start_counts = state
            .start_counts
            .iter()
            .filter(|(task, _)| &task.job == id);
        start_counts.map(|(_, count)| count).sum()
    }

    /// The events so far, and the current time in milliseconds on their clock.
    pub fn history(&self) -> (Vec<Event>, u64) {
        let mut state = self.state.lock();
        let now = state.elapsed_ms();
        (state.history.clone(), now)
    }

    /// Descriptions of the violations so far, in the order in which they were detected.
    pub fn violations(&self) -> Vec<String> {
        self.state.lock().violations.clone()
    }
}
