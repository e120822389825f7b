//! Classification of reported task attempts after a cold start: one class and one action for
//! each attempt.

use pulleywood_protocol::{Attempt, MachineId, ShardId, TaskId};
use serde::Serialize;

/// State of a task attempt that a worker's heartbeat lists. Each reported attempt has exactly
/// one class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskClass {
    /// The newest attempt of its task, running on a machine of the shard that the task is
    /// assigned to.
    Matched,
    /// Running on a machine of another shard than the one that the task is assigned to: the
    /// task was transferred, or the machine moved to another shard.
    OtherShard,
    /// Running, while a newer attempt of the same task runs on another machine.
    OlderAttempt,
    /// Completed, and not yet recorded as done.
    DoneNotCommitted,
    /// Completed and recorded as done.
    DoneCommitted,
    /// Recorded as done, and still running.
    DoneStillRunning,
    /// Ended without completing.
    Ended,
    /// Its job has ended: the final state is stored.
    #[serde(rename = "job_over")]
    JobEnded,
    /// Its job has neither a live record nor a final state.
    JobUnknown,
    /// Its job has a record that cannot be decoded.
    JobUnreadable,
    /// The task index or the attempt cannot exist, or the heartbeat lists the attempt twice.
    Impossible,
    /// The heartbeat may be a delayed copy, or its machine is not of class
    /// [`Confirmed`](crate::machine_class::MachineClass::Confirmed).
    Unproven,
}

/// Action that follows from the class of a reported attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskAction {
    /// No action: let it run.
    Keep,
    /// Stop the attempt.
    #[serde(rename = "halt")]
    Stop,
    /// Tell its worker to forget the exited attempt.
    Clear,
    /// Record the task as done, then tell its worker to forget the attempt.
    CommitThenClear,
    /// Read the live record and the final state of its job again, by reads that begin after
    /// the heartbeat, and stop the attempt if there is no live record.
    #[serde(rename = "verify_then_halt")]
    VerifyThenStop,
    /// Wait for a heartbeat that is known to be current.
    Wait,
}

/// Result of the classification of one reported attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TaskFinding {
    /// Id of the task.
    pub task: TaskId,
    /// Id of the attempt.
    pub attempt: Attempt,
    /// The machine whose heartbeat lists it.
    pub machine: MachineId,
    /// The shard in the machine's record; `None` without a record.
    pub shard: Option<ShardId>,
    /// The class of the attempt.
    pub class: TaskClass,
    /// The action that follows.
    pub action: TaskAction,
    /// Reason for the class, as text for operators.
    #[serde(rename = "evidence")]
    pub reason: String,
}

impl TaskClass {
    /// Whether the class occurs in normal operation and needs no attention of an operator.
    pub fn is_healthy(self) -> bool {
        matches!(
            self,
            TaskClass::Matched
                | TaskClass::DoneNotCommitted
                | TaskClass::DoneCommitted
                | TaskClass::Ended
                | TaskClass::Unproven
        )
    }

    /// The action of the class. `has_exited`: the attempt has exited on its worker.
    pub fn action(self, has_exited: bool) -> TaskAction {
        match self {
            TaskClass::Matched | TaskClass::JobUnreadable => TaskAction::Keep,
            TaskClass::DoneNotCommitted => TaskAction::CommitThenClear,
            TaskClass::DoneCommitted | TaskClass::Ended => TaskAction::Clear,
            TaskClass::Unproven => TaskAction::Wait,
            TaskClass::JobUnknown if !has_exited => TaskAction::VerifyThenStop,
            _ if has_exited => TaskAction::Clear,
            _ => TaskAction::Stop,
        }
    }
}
