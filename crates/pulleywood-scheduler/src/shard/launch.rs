//! Answers to heartbeats, and direct commands.
//!
//! Invariants: a task is launched only in the answer to a heartbeat, on a machine
//! whose tasks are known, and never while another attempt of it may run; attempts
//! are never reused; a done task is cleared only after its commit. Direct commands
//! carry no launches.

use crate::config::Config;
use crate::shard::fetch_gate::FetchGate;
use crate::shard::machine::{Machine, Slot, SlotState};
use crate::shard::{Job, ShardState};
use pulleywood_protocol::job::Shape;
use pulleywood_protocol::worker::Command;
use pulleywood_protocol::{Attempt, FencingToken, JobId, MachineId, MonotonicTime, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl ShardState {
    /// Commands for a machine whose heartbeat has just been accepted. `launch`: the
    /// controller's lease surely lasts until the answer is sent.
    pub fn response_commands(
        &mut self,
        id: &MachineId,
        launch: bool,
        now: MonotonicTime,
        config: &Config,
    ) -> Vec<Command> {
        let planned = if launch {
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
        let mut commands =
            stop_and_clear_commands(&machine.slots, &self.jobs, &self.unreadable_jobs);
        if !machine.accepts_launches() {
            return commands;
        }
        let mut launcher = Launcher {
            machine_id: id,
            fencing_token: machine.fencing_token(self.fencing_token),
            machine,
            jobs: &mut self.jobs,
            fetch_gate: &mut self.fetch_gate,
            attempts: &mut self.attempts_issued,
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

    /// Stops and clears that stand for a machine: all that a direct command may
    /// carry.
    pub fn direct_commands(&self, id: &MachineId) -> Vec<Command> {
        self.machines
            .get(id)
            .map(|m| stop_and_clear_commands(&m.slots, &self.jobs, &self.unreadable_jobs))
            .unwrap_or_default()
    }
}

impl Machine {
    /// A record without the worker's address is of a machine that was never launched
    /// on; the next leader relies on that, so the address is stored first.
    fn accepts_launches(&self) -> bool {
        self.confirmed
            && self.inbound_partitioned_since.is_none()
            && !self.leaving
            && !self.record.endpoint.is_empty()
    }
}

/// What became of a planned launch.
enum LaunchOutcome {
    Command(Command),
    /// The task does not wait any more, or its image fetch yields to a service's.
    Skipped,
    /// The fencing token has used up its attempts.
    AttemptsExhausted,
}

/// Launches planned tasks on one machine.
struct Launcher<'a> {
    machine_id: &'a MachineId,
    machine: &'a mut Machine,
    fencing_token: FencingToken,
    jobs: &'a mut BTreeMap<JobId, Job>,
    fetch_gate: &'a mut Option<FetchGate>,
    /// Attempts issued under the fencing token.
    attempts: &'a mut u64,
    now: MonotonicTime,
}

impl Launcher<'_> {
    fn launch(&mut self, task: TaskId) -> LaunchOutcome {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return LaunchOutcome::Skipped;
        };
        let waits = job.waiting.contains(task.index) && self.now >= job.cancelling_until;
        if !waits || job.active.contains_key(&task.index) {
            return LaunchOutcome::Skipped;
        }
        if let Some(gate) = self.fetch_gate
            && !gate.admits(self.machine, &job.spec, self.now)
        {
            return LaunchOutcome::Skipped;
        }
        let shared = job.gang_attempt.filter(|_| job.spec.shape == Shape::Gang);
        let Some(attempt) = shared.or_else(|| next_attempt(self.fencing_token, self.attempts))
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

/// An attempt that was never used. None: the fencing token has none left.
fn next_attempt(fencing_token: FencingToken, issued: &mut u64) -> Option<Attempt> {
    let attempt = Attempt::from_parts(fencing_token, *issued)?;
    *issued += 1;
    Some(attempt)
}

/// Stops and clears for the attempts on a machine. Attempts of unreadable jobs get
/// none.
fn stop_and_clear_commands(
    slots: &[Slot],
    jobs: &BTreeMap<JobId, Job>,
    unreadable: &BTreeSet<JobId>,
) -> Vec<Command> {
    let readable = slots.iter().filter(|s| !unreadable.contains(&s.task.job));
    readable
        .filter_map(|s| stop_or_clear_command(s, jobs))
        .collect()
}

fn stop_or_clear_command(slot: &Slot, jobs: &BTreeMap<JobId, Job>) -> Option<Command> {
    let (task, attempt) = (slot.task.clone(), slot.attempt);
    match (slot.state, slot.stop_grace_s) {
        (SlotState::Exited { done }, _) => {
            let may_be_cleared = !done || has_nothing_to_commit(&task, jobs);
            may_be_cleared.then_some(Command::Clear { task, attempt })
        }
        // It saves already: only a stop without leeway tells it anything new.
        (SlotState::Saving, Some(leeway_s)) if leeway_s > 0.0 => None,
        (_, Some(leeway_s)) => Some(Command::Stop {
            task,
            attempt,
            leeway_s,
        }),
        (_, None) => None,
    }
}

/// Whether nothing about a done task is left to commit.
fn has_nothing_to_commit(task: &TaskId, jobs: &BTreeMap<JobId, Job>) -> bool {
    jobs.get(&task.job)
        .is_none_or(|job| job.spec.shape == Shape::Service || job.committed.contains(task.index))
}
