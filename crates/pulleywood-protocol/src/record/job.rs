//! Records of jobs: live jobs, their done tasks and their final states.

use super::{Slots, TaskSet};
use crate::ids::ShardId;
use crate::job::{JobSpec, JobStatus};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Record of a live job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The submission.
    pub spec: JobSpec,
    /// Time of acceptance, in milliseconds since the Unix epoch, on the clock of the controller
    /// that accepted the job.
    #[serde(rename = "at_ms", default)]
    pub accepted_at_ms: u64,
    /// The shard that runs the tasks, chosen by free capacity at acceptance. The shard in the
    /// key of the record only determines where the record is stored.
    #[serde(rename = "part")]
    pub shard: ShardId,
    /// Tasks transferred to other shards. All other tasks belong to `shard`.
    #[serde(default)]
    #[serde(rename = "lent")]
    pub transferred: Vec<TaskTransfer>,
    /// Done tasks of the first chunk, in the format of [`TaskSet::chunk_text`].
    #[serde(default)]
    pub done: String,
}

/// Tasks of a job that were transferred to another shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskTransfer {
    /// The shard that runs the tasks.
    #[serde(rename = "part")]
    pub shard: ShardId,
    /// The only zone that the tasks may run in; `None` if the job allows any. It keeps the tasks
    /// of a spread job spread over zones when several shards run them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The tasks, in the format of [`TaskSet::chunk_text`].
    pub tasks: String,
}

/// Chunk size that covers all tasks of any job.
const WHOLE_JOB_CHUNK: u32 = 1 << 20;

impl JobRecord {
    /// The tasks that belong to the given shard.
    pub fn share(&self, shard: ShardId) -> TaskSet {
        let mut set = TaskSet::new();
        if shard != self.shard {
            for transfer in self
                .transferred
                .iter()
                .filter(|transfer| transfer.shard == shard)
            {
                set.add_chunk(&transfer.tasks, 0, WHOLE_JOB_CHUNK, self.spec.tasks);
            }
            return set;
        }
        set = TaskSet::full(self.spec.tasks);
        for transfer in &self.transferred {
            set.remove_all(&self.transferred_tasks(transfer));
        }
        set
    }

    /// The shard of the job and all shards that tasks were transferred to.
    pub fn shards(&self) -> BTreeSet<ShardId> {
        let transferred = self.transferred.iter().map(|transfer| transfer.shard);
        transferred.chain([self.shard]).collect()
    }

    /// Decodes the tasks of a transfer.
    pub fn transferred_tasks(&self, transfer: &TaskTransfer) -> TaskSet {
        let mut set = TaskSet::new();
        set.add_chunk(&transfer.tasks, 0, WHOLE_JOB_CHUNK, self.spec.tasks);
        set
    }

    /// Transfers tasks to shard `to`, whichever shards they belong to now. If `zone` is given,
    /// they may run only there.
    pub fn transfer_tasks(&mut self, to: ShardId, zone: Option<&str>, tasks: &TaskSet) {
        let mut transfers: Vec<(ShardId, Option<String>, TaskSet)> = Vec::new();
        for transfer in &self.transferred {
            let remaining = self.transferred_tasks(transfer).difference(tasks);
            transfers.push((transfer.shard, transfer.zone.clone(), remaining));
        }
        if to != self.shard {
            let existing = transfers
                .iter_mut()
                .find(|(shard, its_zone, _)| *shard == to && its_zone.as_deref() == zone);
            match existing {
                Some((.., set)) => set.insert_all(tasks),
                None => transfers.push((to, zone.map(str::to_owned), tasks.clone())),
            }
        }
        self.transferred = transfers
            .into_iter()
            .filter(|(.., set)| !set.is_empty())
            .map(|(shard, zone, set)| TaskTransfer {
                shard,
                zone,
                tasks: set.chunk_text(0, WHOLE_JOB_CHUNK),
            })
            .collect();
    }
}

/// A further chunk of a live job's done tasks, for jobs whose set does not fit into one value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// Done tasks of this chunk, in the format of [`TaskSet::chunk_text`].
    pub done: String,
}

/// Final state of a job. It is never deleted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Final status: done or cancelled.
    pub status: JobStatus,
    /// Number of tasks done.
    pub done: u32,
    /// Team of the job.
    pub team: String,
    /// Resources that each task counted against the quota of the team.
    pub slots: Slots,
}

impl FinalRecord {
    /// Creates the final state of a job that ends with this status.
    pub fn new(spec: &JobSpec, status: JobStatus, done: u32) -> Self {
        let slots = Slots {
            cpus: spec.cpus,
            gpus: spec.gpus,
        };
        Self {
            status,
            done,
            team: spec.team.clone(),
            slots,
        }
    }
}
