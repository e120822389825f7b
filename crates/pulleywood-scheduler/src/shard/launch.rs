//! Commands to workers: heartbeat responses and direct commands.
//!
//! Invariants: a task is launched only in a heartbeat response, on a machine whose
//! tasks are known, and never while another attempt of it may run; attempts are never
//! reused; a done task is cleared only after its commit, and no attempt while a copy of its
//! launch may still be carried out. Direct commands contain no launches.

use crate::config::Config;
use crate::launch_validity::SuspendedJobs;
use crate::shard::fetch_gate::FetchGate;
use crate::shard::machine::{Machine, Slot, SlotState};
use crate::shard::{Job, ShardState};
use pulleywood_protocol::job::Shape;
use pulleywood_protocol::worker::{Command, ControlCommand};
use pulleywood_protocol::{Attempt, FencingToken, JobId, MachineId, MonotonicTime, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl ShardState {
    /// Returns the commands for a machine whose heartbeat has just been accepted.
    /// `may_launch`: the controller's lease certainly lasts until the response is sent,
    /// so tasks may be launched.
    pub fn response_commands(
        &mut self,
        id: &MachineId,
        may_launch: bool,
        now: MonotonicTime,
        config: &Config,
    ) -> Vec<Command> {
        let planned = if may_launch {
            self.replan(id, now, config);
            self.planned_launches.remove(id).unwrap_or_default()
        } else {
            Vec::new()
        };
        let Some(machine) = self.machines.get_mut(id) else {
            return Vec::new();
        };
        machine.last_response_at = machine.last_response_at.max(Some(now));
        machine.unacknowledged_response = Some(machine.last_message);
        let mut commands: Vec<Command> =
            stop_and_clear_commands(&machine.slots, &self.jobs, &self.unreadable_jobs, now)
                .into_iter()
                .map(Command::from)
                .collect();
        if !machine.accepts_launches() {
            return commands;
        }
        let mut launcher = Launcher {
            machine_id: id,
            fencing_token: machine.fencing_token(self.fencing_token),
            machine,
            jobs: &mut self.jobs,
            suspended_jobs: &self.suspended_jobs,
            fetch_gate: &mut self.fetch_gate,
            attempts_issued: &mut self.attempts_issued,
            now,
        };
        for task in planned {
            match launcher.launch(task) {
                LaunchOutcome::Command(command) => commands.push(command),
                LaunchOutcome::Skipped => {}
                LaunchOutcome::AttemptsExhausted => break,
            }
        }
        commands
    }

    /// Returns the stop and clear commands due on a machine, the only ones that a
    /// direct command may carry.
    pub fn direct_commands(&self, id: &MachineId, now: MonotonicTime) -> Vec<ControlCommand> {
        self.machines
            .get(id)
            .map(|m| stop_and_clear_commands(&m.slots, &self.jobs, &self.unreadable_jobs, now))
            .unwrap_or_default()
    }
}

impl Machine {
    /// Whether tasks may be launched on the machine now. The next leader assumes that
    /// nothing was ever launched on a machine whose record lacks the worker's address,
    /// so the address is stored first.
    fn accepts_launches(&self) -> bool {
        self.confirmed
            && self.inbound_partitioned_since.is_none()
            && !self.leaving
            && !self.record.endpoint.is_empty()
    }
}

/// Result of launching a planned task.
enum LaunchOutcome {
    Command(Command),
    /// The task no longer waits, or its image fetch is held back by the fetch gate.
    Skipped,
    /// All attempts of the fencing token have been issued.
    AttemptsExhausted,
}

/// Launches planned tasks on one machine.
struct Launcher<'a> {
    machine_id: &'a MachineId,
    machine: &'a mut Machine,
    fencing_token: FencingToken,
    jobs: &'a mut BTreeMap<JobId, Job>,
    suspended_jobs: &'a SuspendedJobs,
    fetch_gate: &'a mut Option<FetchGate>,
    /// Number of attempts issued under the fencing token.
    attempts_issued: &'a mut u64,
    now: MonotonicTime,
}

impl Launcher<'_> {
    fn launch(&mut self, task: TaskId) -> LaunchOutcome {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return LaunchOutcome::Skipped;
        };
        let is_suspended = self.suspended_jobs.contains(&task.job, self.now);
        if is_suspended || !job.waiting.contains(task.index) || job.active.contains_key(&task.index)
        {
            return LaunchOutcome::Skipped;
        }
        if let Some(gate) = self.fetch_gate
            && !gate.admits(self.machine, &job.spec, self.now)
        {
            return LaunchOutcome::Skipped;
        }
        let gang_attempt = job.gang_attempt.filter(|_| job.spec.shape == Shape::Gang);
        let Some(attempt) =
            gang_attempt.or_else(|| next_attempt(self.fencing_token, self.attempts_issued))
        else {
            return LaunchOutcome::AttemptsExhausted;
        };
        job.mark_active(task.index, self.machine_id.clone(), attempt);
        let (incarnation, seq) = self.machine.last_message;
        self.machine.slots.push(Slot {
            task: task.clone(),
            attempt,
            state: SlotState::Sent { incarnation, seq },
            spec: Some(Arc::clone(&job.spec)),
            stop_grace_s: None,
            created_at: self.now,
            running_since: None,
        });
        self.machine.idle_since = None;
        LaunchOutcome::Command(Command::Launch { task, attempt })
    }
}

/// Issues a new attempt. `None` if the fencing token has none left.
fn next_attempt(fencing_token: FencingToken, issued: &mut u64) -> Option<Attempt> {
    let attempt = Attempt::from_parts(fencing_token, *issued)?;
    *issued += 1;
    Some(attempt)
}

/// Returns the stop and clear commands due for a machine's attempts. Attempts of
/// unreadable jobs get none.
fn stop_and_clear_commands(
    slots: &[Slot],
    jobs: &BTreeMap<JobId, Job>,
    unreadable_jobs: &BTreeSet<JobId>,
    now: MonotonicTime,
) -> Vec<ControlCommand> {
    let readable = slots
        .iter()
        .filter(|s| !unreadable_jobs.contains(&s.task.job));
    readable
        .filter_map(|s| stop_or_clear_command(s, jobs, now))
        .collect()
}

fn stop_or_clear_command(
    slot: &Slot,
    jobs: &BTreeMap<JobId, Job>,
    now: MonotonicTime,
) -> Option<ControlCommand> {
    let (task, attempt) = (slot.task.clone(), slot.attempt);
    match (slot.state, slot.stop_grace_s) {
        (SlotState::Exited { done }, _) => {
            let may_be_cleared = !done || has_nothing_to_commit(&task, jobs);
            let may_be_cleared = may_be_cleared && slot.launch_certainly_expired(now);
            may_be_cleared.then_some(ControlCommand::Clear { task, attempt })
        }
        // The attempt is already saving its state; only a stop without a grace period
        // changes anything.
        (SlotState::Saving, Some(grace_s)) if grace_s > 0.0 => None,
        (_, Some(grace_s)) => Some(ControlCommand::Stop {
            task,
            attempt,
            leeway_s: grace_s,
        }),
        (_, None) => None,
    }
}

/// Whether nothing about a done task remains to be committed.
fn has_nothing_to_commit(task: &TaskId, jobs: &BTreeMap<JobId, Job>) -> bool {
    jobs.get(&task.job)
        .is_none_or(|job| job.spec.shape == Shape::Service || job.committed.contains(task.index))
}
