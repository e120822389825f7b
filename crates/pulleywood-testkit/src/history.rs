//! The history of task events, and a check of it against the invariants of the scheduler. The
//! check does not use the controllers' state or decisions.

use pulleywood_protocol::{Attempt, JobId, MachineId, Rank, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// How a task ended on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// It completed successfully.
    Done,
    /// It was stopped by a command of a controller.
    Stopped,
    /// Its worker's lease expired, or its machine was lost.
    Lost,
}

/// An event of a task or a job. All times have the same origin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A task started on a machine.
    Start {
        /// Time of the start, in milliseconds.
        at_ms: u64,
        /// The task that started.
        task: TaskId,
        /// Attempt number of this launch; each launch of any task has its own.
        attempt: Attempt,
        /// The machine on which it started.
        machine: MachineId,
    },
    /// A task ended on a machine.
    End {
        /// Time of the end, in milliseconds.
        at_ms: u64,
        /// The task that ended.
        task: TaskId,
        /// The machine on which it ran.
        machine: MachineId,
        /// Whether it completed, was stopped or was lost.
        end: End,
    },
    /// A machine lost the result of a task that had completed there, for example because its
    /// worker's lease expired before the task was recorded as done.
    Forgotten {
        /// The completed task.
        task: TaskId,
        /// The machine on which it had completed.
        machine: MachineId,
    },
    /// A user asked to cancel the job. Its tasks may be stopped from then on.
    CancellationRequested {
        /// The job to be cancelled.
        job: JobId,
    },
    /// A user received the response that the job is cancelled.
    Cancelled {
        /// Time of the response, in milliseconds.
        at_ms: u64,
        /// The cancelled job.
        job: JobId,
    },
}

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A task started while it already ran on a machine.
    RanTwice(TaskId),
    /// A completed task started again although its machine still kept the result.
    StartedWhenDone(TaskId),
    /// A task of a job that no user asked to cancel was stopped, and no task of a higher rank started on its machine
    /// within [`Expected::preemption_window_ms`].
    NeedlessKill(TaskId),
    /// The number of starts of a task exceeded its number of ends by more than one.
    StartedTooOften(TaskId),
    /// Two launches had the same attempt number.
    AttemptReused(Attempt),
    /// A task started after the user had been told that its job is cancelled.
    StartedWhenCancelled(TaskId),
    /// A task ran for longer than [`Expected::cancel_ms`] after the cancellation of its job.
    RanCancelled(TaskId),
    /// A task in [`Expected::required_tasks`] was neither running nor done at the end, although
    /// its job was not cancelled.
    NeverRan(TaskId),
}

/// Limits and final state that a complete history is checked against.
#[derive(Debug, Clone, Default)]
pub struct Expected {
    /// Maximum time that tasks may run after the cancellation of their job, in milliseconds.
    pub cancel_ms: u64,
    /// Ranks of jobs; all jobs that are not listed have the same, lowest rank. A task may be
    /// stopped if one of a higher rank starts on its machine within `preemption_window_ms`.
    pub ranks: BTreeMap<JobId, Rank>,
    /// Maximum time from the stop of a task until the start of the task of a higher rank that
    /// preempts it, in milliseconds.
    pub preemption_window_ms: u64,
    /// Tasks that must be running or done at the end, unless their job is cancelled.
    pub required_tasks: Vec<TaskId>,
    /// Tasks that the store has recorded as done at the end, whose results no machine has to
    /// keep.
    pub recorded_as_done: BTreeSet<TaskId>,
    /// Time at which the history ends, in milliseconds.
    pub end_ms: u64,
}

/// The state of a task after the events checked so far.
#[derive(Debug, Default)]
struct TaskHistory {
    /// The machine on which it runs; `None` if it does not run.
    running_on: Option<MachineId>,
    /// The machine that keeps its result; `None` if it has not completed or the result is lost.
    done_on: Option<MachineId>,
    start_count: usize,
    end_count: usize,
}

/// Checks events, which must be in the order in which they happened. Returns the violations
/// sorted and without duplicates.
pub fn check(events: &[Event], expected: &Expected) -> Vec<Violation> {
    let mut checker = Checker {
        expected,
        tasks: BTreeMap::new(),
        cancelled: BTreeMap::new(),
        cancellation_requested: BTreeSet::new(),
        attempts: BTreeSet::new(),
        violations: Vec::new(),
    };
    for (index, event) in events.iter().enumerate() {
        checker.check_event(event, &events[index..]);
    }
    checker.check_end();
    checker.violations.sort();
    checker.violations.dedup();
    checker.violations
}

struct Checker<'a> {
    expected: &'a Expected,
    tasks: BTreeMap<&'a TaskId, TaskHistory>,
    /// Cancelled jobs, with the time in milliseconds at which their users got the response.
    cancelled: BTreeMap<&'a JobId, u64>,
    /// Jobs that their users asked to cancel.
    cancellation_requested: BTreeSet<&'a JobId>,
    attempts: BTreeSet<Attempt>,
    violations: Vec<Violation>,
}

impl<'a> Checker<'a> {
    /// Applies one event. `rest` holds this event and all later ones.
    fn check_event(&mut self, event: &'a Event, rest: &[Event]) {
        match event {
            Event::Cancelled { at_ms, job } => {
                self.cancelled.entry(job).or_insert(*at_ms);
            }
            Event::CancellationRequested { job } => {
                self.cancellation_requested.insert(job);
            }
            Event::Forgotten { task, machine } => {
                let history = self.tasks.entry(task).or_default();
                history.done_on.take_if(|on| on == machine);
            }
            Event::Start {
                task,
                attempt,
                machine,
                ..
            } => self.task_started(task, *attempt, machine),
            Event::End {
                at_ms,
                task,
                machine,
                end,
            } => self.task_ended(task, machine, *end, *at_ms, rest),
        }
    }

    fn task_started(&mut self, task: &'a TaskId, attempt: Attempt, machine: &MachineId) {
        if !self.attempts.insert(attempt) {
            self.violations.push(Violation::AttemptReused(attempt));
        }
        if self.cancelled.contains_key(&task.job) {
            let violation = Violation::StartedWhenCancelled(task.clone());
            self.violations.push(violation);
        }
        let history = self.tasks.entry(task).or_default();
        if history.running_on.is_some() {
            self.violations.push(Violation::RanTwice(task.clone()));
        }
        if history.done_on.is_some() {
            let violation = Violation::StartedWhenDone(task.clone());
            self.violations.push(violation);
        }
        history.start_count += 1;
        if history.start_count > history.end_count + 1 {
            let violation = Violation::StartedTooOften(task.clone());
            self.violations.push(violation);
        }
        history.running_on = Some(machine.clone());
    }

    fn task_ended(
        &mut self,
        task: &'a TaskId,
        machine: &MachineId,
        end: End,
        at_ms: u64,
        rest: &[Event],
    ) {
        let history = self.tasks.entry(task).or_default();
        history.end_count += 1;
        if history.running_on.as_ref() == Some(machine) {
            history.running_on = None;
        }
        if end == End::Done {
            history.done_on = Some(machine.clone());
        }
        let may_stop = self.cancelled.contains_key(&task.job)
            || self.cancellation_requested.contains(&task.job)
            || preempted(rest, task, machine, at_ms, self.expected);
        if end == End::Stopped && !may_stop {
            self.violations.push(Violation::NeedlessKill(task.clone()));
        }
        if self.exceeds_cancel_deadline(&task.job, at_ms) {
            self.violations.push(Violation::RanCancelled(task.clone()));
        }
    }

    /// Whether the job was cancelled so long before `at_ms` that none of its tasks may still run.
    fn exceeds_cancel_deadline(&self, job: &JobId, at_ms: u64) -> bool {
        let exceeds = |cancelled_at_ms: &u64| at_ms > cancelled_at_ms + self.expected.cancel_ms;
        self.cancelled.get(job).is_some_and(exceeds)
    }

    fn check_end(&mut self) {
        let running = self
            .tasks
            .iter()
            .filter(|(_, history)| history.running_on.is_some());
        let late = running
            .filter(|(task, _)| self.exceeds_cancel_deadline(&task.job, self.expected.end_ms));
        let late: Vec<Violation> = late
            .map(|(task, _)| Violation::RanCancelled((*task).clone()))
            .collect();
        self.violations.extend(late);
        for task in &self.expected.required_tasks {
            let is_served = |t: &TaskHistory| t.running_on.is_some() || t.done_on.is_some();
            let is_exempt = self.cancelled.contains_key(&task.job)
                || self.expected.recorded_as_done.contains(task);
            if !is_exempt && !self.tasks.get(task).is_some_and(is_served) {
                self.violations.push(Violation::NeverRan(task.clone()));
            }
        }
    }
}

/// Whether a task of a higher rank started on the machine within the preemption window after
/// a task was stopped. `stop_and_later` holds the stop and all events after it.
fn preempted(
    stop_and_later: &[Event],
    stopped: &TaskId,
    stopped_on: &MachineId,
    stopped_at_ms: u64,
    expected: &Expected,
) -> bool {
    let rank = |job: &JobId| expected.ranks.get(job);
    stop_and_later.iter().any(|event| match event {
        Event::Start {
            at_ms,
            task,
            machine,
            ..
        } => {
            let in_window = *at_ms <= stopped_at_ms + expected.preemption_window_ms;
            machine == stopped_on && in_window && rank(&task.job) > rank(&stopped.job)
        }
        _ => false,
    })
}
