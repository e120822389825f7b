//! Reconciles the known attempts on a machine with the task list of its worker's
//! heartbeat.
//!
//! Invariants: a launched task counts as possibly running until a heartbeat that was
//! sent after the launch does not list it; an attempt that this leader did not launch
//! is kept if its task is assigned to this shard and has no other attempt, and stopped
//! otherwise, unless its job's record cannot be read.

use crate::config::Config;
use crate::shard::ShardState;
use crate::shard::machine::{Machine, Slot, SlotState};
use pulleywood_protocol::worker::{Cause, Heartbeat, TaskState, TaskStatus};
use pulleywood_protocol::{Attempt, MachineId, MonotonicTime, TaskId};
use std::sync::Arc;
use std::time::Duration;

/// Start of a task, reported when it is first seen running.
#[derive(Debug, Clone)]
pub struct TaskStart {
    /// The task that started.
    pub task: TaskId,
    /// Class of the task's job.
    pub class: String,
    /// Time from when this leader first saw the job to the launch.
    pub queue_time: Duration,
    /// Time from the launch until the task was running; mostly spent fetching its
    /// image.
    pub startup_time: Duration,
}

/// Attempts that a heartbeat no longer lists.
struct EndedAttempts {
    attempts: Vec<(TaskId, Attempt)>,
    /// Whether any of them held resources until now.
    freed_resources: bool,
}

impl ShardState {
    /// Updates the attempts on a machine from a trusted heartbeat. `is_reply`: the
    /// message is the reply to a direct command.
    pub(super) fn reconcile(
        &mut self,
        heartbeat: &Heartbeat,
        is_reply: bool,
        now: MonotonicTime,
        config: &Config,
    ) {
        let id = &heartbeat.machine;
        let Some(mut machine) = self.machines.remove(id) else {
            return;
        };
        let cache_gb = config
            .flavors
            .get(&machine.record.flavor)
            .map_or(0.0, |f| f.cache_gb.0);
        let mut changed = false;
        for reported in &heartbeat.tasks {
            let known = machine.slot_index(&reported.task, reported.attempt);
            changed |= known.is_none();
            let slot_index = known.unwrap_or_else(|| {
                machine
                    .slots
                    .push(self.register_unknown_attempt(id, reported, now));
                machine.slots.len() - 1
            });
            changed |= self.update_slot(id, &mut machine, slot_index, reported, now, cache_gb);
        }
        let ended = machine.remove_unlisted(heartbeat, is_reply);
        changed |= ended.freed_resources;
        for (task, attempt) in ended.attempts {
            self.end_attempt(&task, attempt);
        }
        machine.update_idle_since(now);
        self.machines.insert(id.clone(), machine);
        if changed {
            self.invalidate_plan();
        }
    }

    /// Creates the slot of an attempt that this leader did not launch: a previous
    /// leader did, or the attempt's job has ended. The attempt is stopped unless it
    /// becomes its task's active attempt or its job's record cannot be read.
    fn register_unknown_attempt(
        &mut self,
        machine: &MachineId,
        reported: &TaskStatus,
        now: MonotonicTime,
    ) -> Slot {
        let unreadable = self.unreadable_jobs.contains(&reported.task.job);
        let mut slot = Slot {
            task: reported.task.clone(),
            attempt: reported.attempt,
            state: SlotState::Fetching,
            spec: None,
            stop_grace_s: (!unreadable).then_some(0.0),
            created_at: now,
            running_since: None,
        };
        let index = reported.task.index;
        if let Some(job) = self.jobs.get_mut(&reported.task.job)
            && job.assigned.contains(index)
        {
            slot.spec = Some(Arc::clone(&job.spec));
            let needed = !job.done.contains(index) && !job.active.contains_key(&index);
            if reported.state != TaskState::Exited && needed {
                job.mark_active(index, machine.clone(), reported.attempt);
                slot.stop_grace_s = None;
            }
        }
        slot
    }

    /// Updates one slot from the reported status. Returns whether resources were freed
    /// or the work to place changed.
    fn update_slot(
        &mut self,
        id: &MachineId,
        machine: &mut Machine,
        slot_index: usize,
        reported: &TaskStatus,
        now: MonotonicTime,
        cache_gb: f64,
    ) -> bool {
        let slot = &mut machine.slots[slot_index];
        let state = reported_state(reported);
        if slot.state == state {
            return false;
        }
        slot.state = state;
        if state == SlotState::Running && slot.running_since.is_none() {
            slot.running_since = Some(now);
            self.record_task_start(slot, now);
        }
        let slot = slot.clone();
        if let Some(spec) = &slot.spec
            && matches!(state, SlotState::Running | SlotState::Exited { done: true })
        {
            machine.mark_image_used(&spec.image, spec.image_gb.0, cache_gb);
        }
        if !matches!(state, SlotState::Exited { .. }) {
            return false;
        }
        self.handle_exit(id, machine, &slot, reported.cause, now);
        true
    }

    /// Records how long a task took to start, for [`ShardState::take_task_starts`].
    fn record_task_start(&mut self, slot: &Slot, now: MonotonicTime) {
        if let Some(job) = self.jobs.get(&slot.task.job) {
            self.task_starts.push(TaskStart {
                task: slot.task.clone(),
                class: job.spec.class.clone(),
                queue_time: slot.created_at.since(job.first_seen_at),
                startup_time: now.since(slot.created_at),
            });
        }
    }

    /// Handles an attempt that was first seen exited: acts on the cause, and lets its
    /// task wait again unless it is done.
    fn handle_exit(
        &mut self,
        id: &MachineId,
        machine: &mut Machine,
        slot: &Slot,
        cause: Option<Cause>,
        now: MonotonicTime,
    ) {
        let (task, launched_at) = (&slot.task, slot.created_at);
        match cause {
            Some(Cause::Done) => {
                machine.failed_jobs.retain(|_, at| *at > launched_at);
                if let Some(job) = self.jobs.get_mut(&task.job)
                    && job.mark_done(task.index, now)
                {
                    self.dirty_jobs.insert(task.job.clone());
                }
            }
            Some(Cause::Error) => {
                let run_time = slot.running_since.map(|at| now.since(at));
                self.record_task_failure(&task.job, id, run_time.unwrap_or_default(), now);
            }
            Some(Cause::NoSuch) => {
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.health.start_back_off(now);
                }
            }
            _ => {}
        }
        self.end_attempt(task, slot.attempt);
    }

    /// Records that an attempt has certainly ended. Its task waits again unless it is
    /// done.
    pub(super) fn end_attempt(&mut self, task: &TaskId, attempt: Attempt) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.end_attempt(task.index, attempt);
        }
    }

    /// Returns the tasks that were first seen running since the last call.
    pub fn take_task_starts(&mut self) -> Vec<TaskStart> {
        std::mem::take(&mut self.task_starts)
    }
}

impl Machine {
    fn slot_index(&self, task: &TaskId, attempt: Attempt) -> Option<usize> {
        let same = |s: &Slot| s.task == *task && s.attempt == attempt;
        self.slots.iter().position(same)
    }

    /// Removes the slots that a heartbeat does not list, except launches that may still
    /// be in flight. These are launches in the response to this message or a later one
    /// and, if the message is a reply, all launches to the same incarnation, because
    /// the reply may have overtaken their responses.
    fn remove_unlisted(&mut self, heartbeat: &Heartbeat, is_reply: bool) -> EndedAttempts {
        let mut ended = EndedAttempts {
            attempts: Vec::new(),
            freed_resources: false,
        };
        self.slots.retain(|slot| {
            let mut listed = heartbeat.tasks.iter();
            let keep = listed.any(|t| t.task == slot.task && t.attempt == slot.attempt)
                || may_be_in_flight(slot.state, heartbeat, is_reply);
            if !keep {
                // An exited attempt no longer held any.
                ended.freed_resources |= slot.holds_resources();
                ended.attempts.push((slot.task.clone(), slot.attempt));
            }
            keep
        });
        ended
    }

    fn update_idle_since(&mut self, now: MonotonicTime) {
        if self.slots.iter().any(Slot::holds_resources) {
            self.idle_since = None;
        } else {
            self.idle_since.get_or_insert(now);
        }
    }
}

/// Whether a launch may reach the worker after it sent this message.
fn may_be_in_flight(state: SlotState, heartbeat: &Heartbeat, is_reply: bool) -> bool {
    let SlotState::Sent { incarnation, seq } = state else {
        return false;
    };
    is_reply && incarnation == heartbeat.incarnation
        || (heartbeat.incarnation, heartbeat.seq) <= (incarnation, seq)
}

fn reported_state(status: &TaskStatus) -> SlotState {
    match status.state {
        TaskState::Fetching | TaskState::Gathering => SlotState::Fetching,
        TaskState::Running => SlotState::Running,
        TaskState::Saving => SlotState::Saving,
        TaskState::Exited => SlotState::Exited {
            done: status.cause == Some(Cause::Done),
        },
    }
}
