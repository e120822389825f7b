//! An observer of the fakes that records broken rules, independently of the controllers.
//!
//! It knows jobs as their users submitted them and tasks as the fake workers run them. It
//! detects a task that runs twice, tasks of cancelled jobs, and teams above their GPU limit.
//! It does not see the store or the controllers' answers, and does not check placement.

use crate::history::{End, Event};
use parking_lot::Mutex;
use pulleywood_protocol::{Attempt, JobId, JobSpec, MachineId, Shape, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A submitted job.
#[derive(Debug, Clone)]
struct ObservedJob {
    spec: JobSpec,
    run: Duration,
    done: BTreeSet<u32>,
    cancelled: bool,
    /// When its user got the answer that it is cancelled, and when no task may run any more.
    cancel_answered: Option<(Instant, Instant)>,
}

/// Observes jobs and tasks and records broken rules.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    jobs: BTreeMap<JobId, ObservedJob>,
    on: BTreeMap<TaskId, MachineId>,
    starts: BTreeMap<TaskId, u32>,
    limits: BTreeMap<String, f64>,
    broken: Vec<String>,
    history: Vec<Event>,
    began: Option<Instant>,
}

impl State {
    /// Milliseconds since the first event.
    fn elapsed_ms(&mut self) -> u64 {
        let began = *self.began.get_or_insert_with(Instant::now);
        began.elapsed().as_millis() as u64
    }

    /// Records a violation if a task is on a machine too long after its job's cancellation.
    fn check_cancelled(&mut self, task: &TaskId, machine: &MachineId) {
        let job = self.jobs.get(&task.job);
        if let Some((answered, until)) = job.and_then(|j| j.cancel_answered)
            && Instant::now() > until
        {
            let after = answered.elapsed().as_secs_f64();
            let text = format!("ran_cancelled: {task} on {machine} {after:.1} s after");
            self.broken.push(text);
        }
    }
}

impl InvariantChecker {
    /// Expects a job that a user is about to submit, whose tasks run for `run`.
    pub fn expect_job(&self, spec: JobSpec, run: Duration) {
        let known = ObservedJob {
            run,
            done: BTreeSet::new(),
            cancelled: false,
            cancel_answered: None,
            spec,
        };
        let id = known.spec.id.clone();
        self.state.lock().jobs.insert(id, known);
    }

    /// Sets the most GPUs that a team may use.
    pub fn limit(&self, team: &str, gpus: f64) {
        self.state.lock().limits.insert(team.to_owned(), gpus);
    }

    /// The job is cancelled and its tasks have ended: from now on none may start.
    pub fn note_ended(&self, id: &JobId) {
        if let Some(job) = self.state.lock().jobs.get_mut(id) {
            job.cancelled = true;
        }
    }

    /// The user got the answer that the job is cancelled: its tasks must end `within` this
    /// time, and none may run later.
    pub fn note_cancelled(&self, id: &JobId, within: Duration) {
        let now = Instant::now();
        if let Some(job) = self.state.lock().jobs.get_mut(id) {
            job.cancel_answered.get_or_insert((now, now + within));
        }
    }

    /// How long a task runs; `None` if there is no such task. Replicas of services run until
    /// they are stopped, completed tasks not at all.
    pub fn run_time(&self, task: &TaskId) -> Option<Duration> {
        let state = self.state.lock();
        let job = state.jobs.get(&task.job)?;
        (task.index < job.spec.tasks).then_some(match job.spec.shape {
            Shape::Service => Duration::MAX,
            _ if job.done.contains(&task.index) => Duration::ZERO,
            _ => job.run,
        })
    }

    /// Records that a task starts on a machine.
    pub fn start(&self, task: &TaskId, attempt: Attempt, machine: &MachineId) {
        let mut state = self.state.lock();
        let event = Event::Start {
            at_ms: state.elapsed_ms(),
            task: task.clone(),
            attempt,
            machine: machine.clone(),
        };
        state.history.push(event);
        if let Some(other) = state.on.get(task) {
            let text = format!("ran_twice: {task} runs on {other}, starts on {machine}");
            state.broken.push(text);
        }
        if state.jobs.get(&task.job).is_some_and(|j| j.cancelled) {
            state.broken.push(format!("ran_cancelled: {task}"));
        }
        state.check_cancelled(task, machine);
        state.on.insert(task.clone(), machine.clone());
        *state.starts.entry(task.clone()).or_default() += 1;
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        for task in state.on.keys() {
            if let Some(job) = state.jobs.get(&task.job) {
                *used.entry(job.spec.team.clone()).or_default() += job.spec.gpus.0;
            }
        }
        for (team, gpus) in used {
            if state.limits.get(&team).is_some_and(|limit| gpus > *limit) {
                state.broken.push(format!("quota: {team} uses {gpus} GPUs"));
            }
        }
    }

    /// Records that a worker has forgotten a task that completed on its machine.
    pub fn forget(&self, task: &TaskId, machine: &MachineId) {
        self.state.lock().history.push(Event::Forgotten {
            task: task.clone(),
            machine: machine.clone(),
        });
    }

    /// Records how a task ended on a machine.
    pub fn end(&self, task: &TaskId, machine: &MachineId, end: End) {
        let mut state = self.state.lock();
        let event = Event::End {
            at_ms: state.elapsed_ms(),
            task: task.clone(),
            machine: machine.clone(),
            end,
        };
        state.history.push(event);
        state.check_cancelled(task, machine);
        if state.on.get(task) == Some(machine) {
            state.on.remove(task);
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
            .is_some_and(|j| j.done.len() as u32 == j.spec.tasks)
    }

    /// Tasks of a job that are on machines.
    pub fn running(&self, id: &JobId) -> usize {
        let state = self.state.lock();
        state.on.keys().filter(|t| &t.job == id).count()
    }

    /// Tasks of all jobs that are on machines.
    pub fn on_machines(&self) -> usize {
        self.state.lock().on.len()
    }

    /// Machines that run tasks of a job.
    pub fn machines_of(&self, id: &JobId) -> BTreeSet<MachineId> {
        let state = self.state.lock();
        let on = state.on.iter().filter(|(t, _)| &t.job == id);
        on.map(|(_, m)| m.clone()).collect()
    }

    /// Number of starts of a job's tasks, repeated ones included.
    pub fn starts(&self, id: &JobId) -> u32 {
        let state = self.state.lock();
        let starts = state.starts.iter().filter(|(t, _)| &t.job == id);
        starts.map(|(_, count)| count).sum()
    }

    /// The events so far, and the time now, in milliseconds since the first event.
    pub fn history(&self) -> (Vec<Event>, u64) {
        let mut state = self.state.lock();
        let now = state.elapsed_ms();
        (state.history.clone(), now)
    }

    /// The rules broken so far.
    pub fn broken(&self) -> Vec<String> {
        self.state.lock().broken.clone()
    }
}
