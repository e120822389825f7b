//! Messages between controllers, encoded as MessagePack.
//!
//! Structs are encoded as arrays, so the order of fields is part of the format.

use crate::ids::{FencingToken, JobId, MachineId, MemberId, ShardId};
use crate::job::JobSpec;
use crate::record::Slots;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A request to another controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Reports the state and the needs of the sender.
    Digest(Box<Digest>),
    /// Moves idle machines to the given shard.
    #[serde(rename = "Move")]
    MoveMachines(Vec<MachineId>, ShardId),
    /// Stops launching on these machines for a while, so that they become idle.
    #[serde(rename = "Drain")]
    DrainMachines(Vec<MachineId>),
    /// Releases idle machines to the cloud.
    #[serde(rename = "Retire")]
    ReleaseMachines(Vec<MachineId>),
    /// Transfers waiting tasks that match a demand from the first shard to the second, at most
    /// as many as its `count`.
    #[serde(rename = "Lend")]
    TransferTasks(ShardId, ShardId, Box<Demand>),
    /// Reduces the shard's quotas of these teams to the given slots, as far as they are unused.
    #[serde(rename = "Shrink")]
    ShrinkQuota(ShardId, BTreeMap<String, Slots>),
    /// Announces jobs that are being cancelled, so that none of their tasks is launched for a
    /// while.
    #[serde(rename = "Cancelling")]
    NoteCancellations(Vec<JobId>),
    /// Asks for some of the receiver's tokens for writes to the state service.
    #[serde(rename = "Tokens")]
    BorrowWriteTokens,
}

/// The response to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The request was accepted.
    #[serde(rename = "Ok")]
    Accepted,
    /// The request cannot be fulfilled now.
    #[serde(rename = "No")]
    Refused,
    /// Number of write tokens handed over to the requester.
    #[serde(rename = "Tokens")]
    WriteTokens(u32),
    /// Response to a digest: the shards whose workers the responder still answers, with their
    /// fencing tokens. Unlike a digest, which the network may have delayed, it is certain to
    /// be newer than the request.
    Serving(Vec<(ShardId, FencingToken)>),
}

/// The state of one controller, which it sends to the others about once a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Name of the controller.
    pub member: MemberId,
    /// Random number that identifies the process of the controller.
    pub boot: u64,
    /// Sequence number within the process. A digest may arrive after a later one.
    pub seq: u64,
    /// Whether the state service has answered recently.
    #[serde(rename = "state_ok")]
    pub store_reachable: bool,
    /// Whether the controller is ready to take over shards.
    #[serde(rename = "fit")]
    pub ready_to_lead: bool,
    /// Whether submissions were recently refused for lack of tokens, so that there is more work
    /// than the shards' demand shows.
    #[serde(rename = "refusing")]
    pub refusing_submissions: bool,
    /// Shards whose workers the controller still answers, with their fencing tokens.
    pub serving: Vec<(ShardId, FencingToken)>,
    /// State of the shards that the controller leads.
    pub shards: Vec<Arc<ShardDigest>>,
}

/// Resources and demand of one shard.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ShardDigest {
    /// Id of the shard.
    pub shard: ShardId,
    /// Whether the leader is still rebuilding the state of the shard.
    pub rebuilding: bool,
    /// Waiting tasks, grouped by shape.
    pub demand: Vec<Demand>,
    /// Tasks of array jobs that occupy machines of types which the jobs should leave to work with
    /// fewer allowed types.
    #[serde(rename = "displaced", default)]
    pub displaced_demand: Vec<Demand>,
    /// Room to keep free for the next service job: the largest one of each class.
    pub reserve: Vec<Demand>,
    /// Machines of the shard.
    pub machines: Vec<MachineDigest>,
    /// Slots in use by each team, including tasks whose state is unknown.
    pub used: BTreeMap<String, Slots>,
    /// Slots that the waiting tasks of each limited team would take.
    pub wanted: BTreeMap<String, Slots>,
    /// Limited teams of which no waiting task fits into the unused part of the shard's quota.
    #[serde(rename = "stuck", default)]
    pub quota_blocked_teams: BTreeSet<String>,
    /// Number of running tasks of each job, for display.
    pub running: Vec<(JobId, u32)>,
}

/// Tasks of one shape.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Processors per task.
    pub cpus: f64,
    /// GPUs per task.
    pub gpus: f64,
    /// Memory per task, in GB.
    pub memory_gb: f64,
    /// Allowed machine types; `None` allows any.
    pub types: Option<Vec<String>>,
    /// Allowed zones; empty allows any.
    pub zones: Vec<String>,
    /// Whether the tasks may run on spot machines.
    pub spot: bool,
    /// Priority of the tasks.
    pub rank: crate::job::Rank,
    /// Estimated seconds of work left per task; 0 if the tasks run without end.
    #[serde(rename = "work_s")]
    pub remaining_work_s: f64,
    /// Number of tasks.
    pub count: u32,
    /// Whether each task may run in any shard.
    #[serde(rename = "free")]
    pub any_shard: bool,
}

impl Demand {
    /// Whether the tasks of a job have this shape: the same resources, machine types, use of
    /// spot machines and rank.
    pub fn matches(&self, spec: &JobSpec) -> bool {
        (self.cpus, self.gpus, self.memory_gb) == (spec.cpus.0, spec.gpus.0, spec.memory_gb.0)
            && self.types == spec.types
            && (self.spot, self.rank) == (spec.spot, spec.rank)
    }
}

/// State of one machine, as the coordinator sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineDigest {
    /// Name of the machine.
    pub machine: MachineId,
    /// Free processors.
    pub cpus: f64,
    /// Free GPUs.
    pub gpus: f64,
    /// Free memory in GB.
    pub memory_gb: f64,
    /// Seconds since the machine became idle; negative while it has tasks.
    pub idle_s: f64,
    /// Seconds since its last heartbeat that was answered; negative before the first.
    pub heartbeat_age_s: f64,
    /// Seconds since contact with its worker was last confirmed in both directions.
    #[serde(rename = "lost_s")]
    pub out_of_contact_s: f64,
    /// Whether the machine may run tasks of an earlier leader: its shard was taken over, and
    /// its worker has not sent a heartbeat since. Jobs from before the failover wait for it.
    #[serde(default)]
    pub unreported: bool,
    /// Whether the machine is unhealthy and should be replaced.
    pub quarantined: bool,
    /// Share of the machine, from 0 to 1, in use by tasks that may not run on spot machines.
    #[serde(rename = "pinned")]
    pub non_spot_share: f64,
    /// Processors, GPUs and GB of memory in use by tasks of each rank, lowest rank first. Tasks
    /// of higher ranks may preempt them.
    #[serde(rename = "held")]
    pub held_by_rank: Vec<(crate::job::Rank, f64, f64, f64)>,
}
