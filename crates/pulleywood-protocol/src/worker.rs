//! Messages between workers and controllers.

use crate::cbor::Amount;
use crate::ids::{Attempt, FencingToken, MachineId, TaskId};
use serde::{Deserialize, Serialize};

/// A heartbeat of a worker, which reports the state of its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Id of the machine.
    #[serde(rename = "horse")]
    pub machine: MachineId,
    /// Address on which the worker listens for direct commands.
    pub endpoint: String,
    /// Machine type.
    #[serde(rename = "rig")]
    pub flavor: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Session number of the worker, which increases each time its lease expires.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Sequence number, which increases with every heartbeat and every reply.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Seconds until the cloud reclaims the machine; `None` if it has not announced that.
    #[serde(rename = "recall_s", default)]
    pub reclaim_in_s: Option<Amount>,
    /// All tasks on the machine.
    #[serde(rename = "legs")]
    pub tasks: Vec<TaskStatus>,
}

/// State of one task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Id of the task.
    #[serde(rename = "leg")]
    pub task: TaskId,
    /// Id of the attempt.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// State of the attempt.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why the attempt exited; `None` before that.
    #[serde(default)]
    pub cause: Option<Cause>,
    /// Whether its progress was saved when it was stopped; `None` if that is not
    /// reported.
    #[serde(rename = "stored", default)]
    pub progress_saved: Option<bool>,
}

/// State of a task attempt on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Waiting for its image to be fetched.
    Fetching,
    /// Waiting for the other tasks of its gang.
    Gathering,
    /// Running.
    Running,
    /// Saving its progress after a stop command.
    Saving,
    /// Ended; the worker keeps the entry until it is cleared.
    Exited,
}

/// Why a task attempt exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It completed.
    Done,
    /// It was stopped by a command.
    Stopped,
    /// It failed.
    Error,
    /// The machine had too few free resources.
    NoRoom,
    /// Another attempt of the task was on the machine.
    Busy,
    /// The job does not exist.
    NoSuch,
    /// A cause that this release does not know.
    #[serde(other)]
    Other,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum Command {
    /// Starts a task. Sent only in the response to a heartbeat.
    Launch {
        /// Id of the task.
        #[serde(rename = "leg")]
        task: TaskId,
        /// Id of the attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Stops a task.
    #[serde(rename = "halt")]
    Stop {
        /// Id of the task.
        #[serde(rename = "leg")]
        task: TaskId,
        /// Id of the attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Time within which the task may save its progress, in seconds.
        leeway_s: f64,
    },
    /// Removes an exited task from the worker.
    Clear {
        /// Id of the task.
        #[serde(rename = "leg")]
        task: TaskId,
        /// Id of the attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// A command that may be sent to a worker directly, without waiting for its heartbeat. It may be
/// carried out minutes late, so there is none that launches a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum ControlCommand {
    /// Stops a task, like [`Command::Stop`].
    #[serde(rename = "halt")]
    Stop {
        /// Id of the task.
        #[serde(rename = "leg")]
        task: TaskId,
        /// Id of the attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Time within which the task may save its progress, in seconds.
        leeway_s: f64,
    },
    /// Removes an exited task from the worker, like [`Command::Clear`].
    Clear {
        /// Id of the task.
        #[serde(rename = "leg")]
        task: TaskId,
        /// Id of the attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

impl From<ControlCommand> for Command {
    fn from(command: ControlCommand) -> Command {
        match command {
            ControlCommand::Stop {
                task,
                attempt,
                leeway_s,
            } => Command::Stop {
                task,
                attempt,
                leeway_s,
            },
            ControlCommand::Clear { task, attempt } => Command::Clear { task, attempt },
        }
    }
}

/// The response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The fencing token under which the commands are issued.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Commands to execute.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Response of a controller that does not lead the shard of the machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// The controller to send heartbeats to; `None` if it is not known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub leader: Option<crate::ids::MemberId>,
}

/// Commands that are sent to a worker without waiting for its heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommand {
    /// The fencing token under which the commands are issued.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// The session of the worker that the commands are meant for.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Commands to execute.
    #[serde(rename = "orders")]
    pub commands: Vec<ControlCommand>,
}
