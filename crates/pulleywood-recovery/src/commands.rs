//! Commands that result from a reconciliation, in the order in which they are sent.
//!
//! Healthy tasks get no command. Missing replicas of services are launched before all other
//! tasks; the rest is launched by descending rank.

use crate::evidence::Evidence;
use crate::reconcile::Reconciliation;
use crate::task_class::TaskAction;
use pulleywood_protocol::{JobId, MachineId, Rank, Shape, TaskId};
use std::cmp::Reverse;

/// Launches of one job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobLaunches {
    /// Id of the job.
    pub job: JobId,
    /// Priority of the job.
    pub rank: Rank,
    /// Whether the job is a service. Services are launched first.
    pub is_service: bool,
    /// Indices of the tasks to launch now, ascending.
    pub tasks: Vec<u32>,
    /// Number of tasks that cannot be launched before a machine has sent a heartbeat or its
    /// lease has expired.
    pub waiting_tasks: u64,
}

/// A command to a worker about a task that its heartbeat lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskCommand {
    /// The machine whose heartbeat lists the task.
    pub machine: MachineId,
    /// Id of the task.
    pub task: TaskId,
    /// What the worker or the leader has to do with the task.
    pub action: TaskAction,
}

/// All commands that a recovery would send now.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CommandPlan {
    /// Commands about tasks that heartbeats list.
    pub task_commands: Vec<TaskCommand>,
    /// Launches, services first, then by descending rank.
    pub launches: Vec<JobLaunches>,
}

impl CommandPlan {
    /// Derives the commands from a reconciliation and the evidence it is based on.
    pub fn new(reconciliation: &Reconciliation, evidence: &Evidence<'_>) -> CommandPlan {
        let task_commands = reconciliation
            .tasks
            .iter()
            .filter(|finding| !matches!(finding.action, TaskAction::Keep | TaskAction::Wait))
            .map(|finding| TaskCommand {
                machine: finding.machine.clone(),
                task: finding.task.clone(),
                action: finding.action,
            });
        let jobs = reconciliation.jobs.iter().filter_map(|(id, sets)| {
            let job = evidence.stored.jobs.get(id)?;
            let waiting_tasks = sets.unreported.len() + sets.blocked.len();
            (!sets.missing.is_empty() || waiting_tasks > 0).then(|| JobLaunches {
                job: id.clone(),
                rank: job.spec.rank,
                is_service: job.spec.shape == Shape::Service,
                tasks: sets.missing.iter().collect(),
                waiting_tasks,
            })
        });
        let mut launches: Vec<JobLaunches> = jobs.collect();
        launches.sort_by_key(|launch| Reverse((launch.is_service, launch.rank)));
        CommandPlan {
            task_commands: task_commands.collect(),
            launches,
        }
    }

    /// Number of tasks to launch now.
    pub fn launch_count(&self) -> usize {
        self.launches.iter().map(|l| l.tasks.len()).sum()
    }

    /// Number of commands about reported tasks with the given action.
    pub fn count(&self, action: TaskAction) -> usize {
        let commands = self.task_commands.iter();
        commands.filter(|command| command.action == action).count()
    }
}
