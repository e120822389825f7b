//! What a shard's leader knows: jobs from the store, and what runs where, rebuilt
//! from workers' heartbeats.
//!
//! Invariants, with the module that keeps each:
//! - launches only in answers to heartbeats, and attempts are never reused
//!   (`launch`);
//! - a launch counts as perhaps running until a later heartbeat lacks it
//!   (`reconcile`);
//! - a heartbeat counts only if its worker had seen the present fencing token
//!   (`heartbeat`);
//! - a task whose machine is not heard waits until that worker's lease has surely
//!   expired (`lease_expiry`) or the cloud confirmed the machine's release
//!   (`machines`);
//! - a job that an earlier leader may have launched waits for the machines that may
//!   run it (`unreported`);
//! - an exited task that is done is cleared only after its batch committed
//!   (`done_batch`, `launch`).

mod batch_builder;
pub mod digest;
pub mod done_batch;
pub mod failure_attribution;
pub mod fetch_gate;
mod health;
mod heartbeat;
mod job;
mod jobs;
mod launch;
mod lease_expiry;
pub mod machine;
mod machines;
pub mod reachability;
mod reconcile;
pub mod resumption;
mod returning_machines;
pub mod snapshot;
pub mod transfer;
mod unreported;
mod usage;

pub use heartbeat::HeartbeatOutcome;
pub use job::Job;
pub use reconcile::TaskStart;

use crate::machine_types::MachineTypeDemand;
use crate::shard::fetch_gate::FetchGate;
use crate::shard::health::HealthEvent;
use crate::shard::machine::Machine;
use crate::shard::resumption::Resumption;
use pulleywood_protocol::record::{QuotaRecord, Slots};
use pulleywood_protocol::{FencingToken, JobId, MachineId, MonotonicTime, ShardId, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// What a shard's leader knows. Times are on this process's steady clock.
#[derive(Debug)]
pub struct ShardState {
    /// The shard.
    pub shard: ShardId,
    /// The fencing token under which this leader acquired it.
    pub fencing_token: FencingToken,
    /// Live jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Live jobs whose records cannot be read: what runs of them runs on, done tasks
    /// of them are kept, and nothing of them is launched.
    pub unreadable_jobs: BTreeSet<JobId>,
    /// Records of machines could not be read when the shard was acquired: any task of
    /// an earlier leader may be on one of them.
    pub unreadable_machines: bool,
    /// Machines.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Quotas of the limited teams in this shard.
    pub quotas: QuotaRecord,
    /// Until then a machine that has not reported may run tasks of the earlier leader.
    pub previous_launches_until: MonotonicTime,
    /// Slots in use in other shards as they report, by team.
    pub usage_in_other_shards: BTreeMap<String, Slots>,
    /// The cluster's zones.
    pub zones: Vec<String>,
    /// Machine types that recent work could run on, in this shard and in others.
    pub machine_type_demand: MachineTypeDemand,
    /// When heartbeats resumed after none had come for a while.
    pub resumption: Resumption,
    /// While the shard recovers: holds back image fetches below production rank.
    pub fetch_gate: Option<FetchGate>,
    /// Milliseconds to add to a time of day to get this process's time.
    pub wall_clock_offset_ms: i64,
    /// Tasks to launch on each machine in the answer to its next heartbeat.
    pub(crate) planned_launches: BTreeMap<MachineId, Vec<TaskId>>,
    /// When the plan was made. None: it must be made anew.
    pub(crate) planned_at: Option<MonotonicTime>,
    /// Jobs that may have something to commit.
    dirty_jobs: BTreeSet<JobId>,
    /// Machines examined for jobs by all plans so far: the cost of planning.
    pub candidates_examined: u64,
    /// Attempts issued under the fencing token.
    attempts_issued: u64,
    /// Tasks first seen running since this was last asked for.
    task_starts: Vec<TaskStart>,
    /// Jobs that failed and have not been seen to run well since.
    failing_jobs: BTreeSet<JobId>,
    /// What failures showed since this was last asked for.
    health_events: Vec<HealthEvent>,
}

impl ShardState {
    /// An empty state under a new fencing token.
    pub fn new(
        shard: ShardId,
        fencing_token: FencingToken,
        previous_launches_until: MonotonicTime,
        zones: Vec<String>,
    ) -> Self {
        Self {
            shard,
            fencing_token,
            jobs: BTreeMap::new(),
            unreadable_jobs: BTreeSet::new(),
            unreadable_machines: false,
            machines: BTreeMap::new(),
            quotas: QuotaRecord::default(),
            previous_launches_until,
            usage_in_other_shards: BTreeMap::new(),
            zones,
            machine_type_demand: MachineTypeDemand::default(),
            resumption: Resumption::default(),
            fetch_gate: None,
            wall_clock_offset_ms: 0,
            planned_launches: BTreeMap::new(),
            planned_at: None,
            dirty_jobs: BTreeSet::new(),
            candidates_examined: 0,
            attempts_issued: 0,
            task_starts: Vec::new(),
            failing_jobs: BTreeSet::new(),
            health_events: Vec::new(),
        }
    }

    /// Resources or work changed: the plan is made anew before the next launch.
    pub fn invalidate_plan(&mut self) {
        self.planned_at = None;
    }
}
