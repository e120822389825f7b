//! Messages between users and controllers: submissions and job status.

use crate::cbor::Amount;
use crate::ids::JobId;
use serde::{Deserialize, Serialize};

/// Kind of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// Independent tasks that each run to completion.
    Array,
    /// Tasks that run to completion together. The published protocol does not describe this
    /// kind; see the open questions of the project.
    #[serde(rename = "ensemble")]
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

impl Shape {
    /// Whether the tasks run to completion.
    pub fn runs_to_completion(self) -> bool {
        self != Shape::Service
    }
}

/// Priority of a job. Later variants have precedence when resources are scarce.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rank {
    /// Lowest priority.
    Idle,
    /// Default priority.
    Standard,
    /// Has precedence over `Standard`.
    Urgent,
    /// Highest priority.
    Production,
}

/// A job as submitted by its user.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id of the job, chosen by the user.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// Class of the job, which service-level objectives refer to.
    #[serde(rename = "lane")]
    pub class: String,
    /// Team whose quota the job counts against.
    #[serde(rename = "crew")]
    pub team: String,
    /// Kind of the job.
    pub shape: Shape,
    /// Priority of the job.
    pub rank: Rank,
    /// Number of tasks, from 1 to [`MAX_TASKS`].
    #[serde(rename = "legs")]
    pub tasks: u32,
    /// Processors per task.
    #[serde(rename = "vcpus")]
    pub cpus: Amount,
    /// GPUs per task.
    #[serde(rename = "cards")]
    pub gpus: Amount,
    /// Memory per task, in GB.
    #[serde(rename = "mem_gb")]
    pub memory_gb: Amount,
    /// Image that a machine has to fetch before it starts a task.
    #[serde(rename = "cargo")]
    pub image: String,
    /// Size of the image, in GB.
    #[serde(rename = "size_gb")]
    pub image_gb: Amount,
    /// Allowed machine types; `None` allows any.
    #[serde(rename = "rigs", default)]
    pub types: Option<Vec<String>>,
    /// The only allowed zone; `None` allows any.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// Whether all tasks have to run in the same zone.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in one zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Whether tasks may run on spot machines.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// The user's estimate of the run time of a task, in seconds.
    #[serde(rename = "haul_s")]
    pub estimate_s: Amount,
    /// Interval between checkpoints, in seconds; 0 if tasks save no checkpoints.
    #[serde(rename = "waypoint_s")]
    pub checkpoint_s: Amount,
    /// Time that a stopped task needs to save its progress, in seconds.
    #[serde(rename = "stow_s")]
    pub save_s: Amount,
    /// Deadline, in seconds from the submission; `None` if there is none.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<Amount>,
}

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;

impl JobSpec {
    /// Whether tasks may run in this zone, on spot machines if `spot` is set.
    pub fn allows_placement(&self, zone: &str, spot: bool) -> bool {
        (self.spot || !spot) && self.zone.as_ref().is_none_or(|z| z == zone)
    }

    /// Returns the wire name of the first field with an invalid value.
    pub fn invalid_field(&self) -> Option<&'static str> {
        let is_invalid = |amount: Amount| !amount.0.is_finite() || amount.0 < 0.0;
        let checks = [
            ("legs", self.tasks == 0 || self.tasks > MAX_TASKS),
            ("vcpus", is_invalid(self.cpus)),
            ("cards", is_invalid(self.gpus)),
            ("mem_gb", is_invalid(self.memory_gb)),
            ("size_gb", is_invalid(self.image_gb)),
            ("haul_s", is_invalid(self.estimate_s)),
            ("waypoint_s", is_invalid(self.checkpoint_s)),
            ("stow_s", is_invalid(self.save_s)),
            ("due_s", self.deadline_s.is_some_and(is_invalid)),
            ("lane", self.class.len() > 200),
            ("crew", self.team.len() > 200),
            ("cargo", self.image.len() > 400),
        ];
        checks
            .iter()
            .find(|(_, invalid)| *invalid)
            .map(|(name, _)| *name)
    }

    /// Maximum number of tasks in one zone.
    pub fn zone_limit(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }
}

/// State of a job as reported to its user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// No task is running.
    Queued,
    /// At least one task is running.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled by its user.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// Response to a submission, a cancellation or a status request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobAnswer {
    /// Id of the job.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// State of the job.
    pub status: JobStatus,
    /// Number of tasks done, for display.
    #[serde(default)]
    pub done: u32,
    /// Number of running tasks, for display.
    #[serde(default)]
    pub running: u32,
}
