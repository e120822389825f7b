//! State of a shard as its leader knows it: jobs from the state service, and running
//! tasks, rebuilt from workers' heartbeats.
//!
//! Invariants, with the module that maintains each:
//! - Tasks are launched only in heartbeat responses, and attempts are never reused
//!   (`launch`).
//! - A launched task counts as possibly running until a later heartbeat does not list
//!   it (`reconcile`).
//! - The task list of a heartbeat counts only if its worker had seen the current
//!   fencing token (`heartbeat`).
//! - A task on a machine that stopped sending heartbeats is not launched again until
//!   the worker's lease has certainly expired, clock drift included (`lease_expiry`),
//!   or the cloud has confirmed the machine's release (`machines`).
//! - A job that a previous leader may have launched waits for the machines that may
//!   still run it (`unreported`).
//! - A done task is cleared from its worker only after its batch was committed
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
mod zone_bindings;

pub use heartbeat::HeartbeatOutcome;
pub use job::Job;
pub use reconcile::TaskStart;
pub use zone_bindings::ZoneBindings;

use crate::launch_validity::SuspendedJobs;
use crate::machine_types::MachineTypeDemand;
use crate::shard::fetch_gate::FetchGate;
use crate::shard::health::HealthEvent;
use crate::shard::machine::Machine;
use crate::shard::resumption::Resumption;
use pulleywood_protocol::record::{QuotaRecord, Slots};
use pulleywood_protocol::{FencingToken, JobId, MachineId, MonotonicTime, ShardId, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// State of one shard, held by its leader. Times are on this process's monotonic clock.
#[derive(Debug)]
pub struct ShardState {
    /// The shard that this state describes.
    pub shard: ShardId,
    /// The fencing token under which this leader acquired the shard.
    pub fencing_token: FencingToken,
    /// Jobs that are neither done nor cancelled and of which this shard runs tasks.
    pub jobs: BTreeMap<JobId, Job>,
    /// Live jobs whose records cannot be read. Their running tasks keep running, their
    /// done tasks are not cleared, and none of their tasks is launched.
    pub unreadable_jobs: BTreeSet<JobId>,
    /// Whether a machine record could not be read when the shard was acquired. Until
    /// [`ShardState::previous_launches_until`], tasks of a previous leader may run on
    /// that machine.
    pub unreadable_machines: bool,
    /// Machines that the shard commands.
    pub machines: BTreeMap<MachineId, Machine>,
    /// This shard's quotas, for the teams that have a limit.
    pub quotas: QuotaRecord,
    /// Until this time, a machine that has not reported may run tasks that a previous
    /// leader launched.
    pub previous_launches_until: MonotonicTime,
    /// Slots in use in all other shards, by team, as their digests report.
    pub usage_in_other_shards: BTreeMap<String, Slots>,
    /// All zones of the cluster.
    pub zones: Vec<String>,
    /// Sets of machine types that recently waiting work could use, in this and other
    /// shards.
    pub machine_type_demand: MachineTypeDemand,
    /// When heartbeats resumed after an interruption.
    pub resumption: Resumption,
    /// Limits image fetches below production rank while the shard recovers. `None` when
    /// there is no such limit.
    pub fetch_gate: Option<FetchGate>,
    /// Milliseconds to add to the time of day to get this process's monotonic time.
    pub wall_clock_offset_ms: i64,
    /// Jobs that are being cancelled, of which no task is launched.
    pub suspended_jobs: SuspendedJobs,
    /// Tasks to launch in the response to each machine's next heartbeat.
    pub(crate) planned_launches: BTreeMap<MachineId, Vec<TaskId>>,
    /// When the current plan was made. `None` if a new plan is needed.
    pub(crate) planned_at: Option<MonotonicTime>,
    /// Jobs that may have done tasks to commit.
    dirty_jobs: BTreeSet<JobId>,
    /// How many times a machine was examined for a job, over all plans: the cost of
    /// planning.
    pub candidates_examined: u64,
    /// For how many waiting tasks a machine was looked for, over all plans, likewise.
    pub tasks_considered: u64,
    /// Number of attempts issued under the current fencing token.
    attempts_issued: u64,
    /// Tasks first seen running since the last [`ShardState::take_task_starts`].
    task_starts: Vec<TaskStart>,
    /// Jobs with a failed task that have not been seen running well since.
    failing_jobs: BTreeSet<JobId>,
    /// Health changes since the last [`ShardState::take_health_events`].
    health_events: Vec<HealthEvent>,
}

impl ShardState {
    /// Creates the state of a shard that has just been acquired, without jobs or
    /// machines.
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
            suspended_jobs: SuspendedJobs::default(),
            planned_launches: BTreeMap::new(),
            planned_at: None,
            dirty_jobs: BTreeSet::new(),
            candidates_examined: 0,
            tasks_considered: 0,
            attempts_issued: 0,
            task_starts: Vec::new(),
            failing_jobs: BTreeSet::new(),
            health_events: Vec::new(),
        }
    }

    /// Discards the current plan because resources or waiting work changed. A new plan
    /// is made before the next launch.
    pub fn invalidate_plan(&mut self) {
        self.planned_at = None;
    }
}
