//! The controller's copy of the watched keys.

use super::{LiveJobs, Versioned};
use pulleywood_protocol::job_batch::{BatchHead, JobBatches};
use pulleywood_protocol::machine_batch::MachineBatches;
use pulleywood_protocol::record::{Layout, LeaseHolder, MachineRecord, QuotaRecord};
use pulleywood_protocol::{FencingToken, JobId, MachineId, MonotonicTime, Revision, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// A copy of the watched keys, as of the last watch response, with the outcomes of this
/// controller's own newer transactions applied.
#[derive(Debug, Default)]
pub struct CachedState {
    /// Store revision up to which every change is contained.
    pub store_revision: u64,
    /// Layout of the cluster: the number of shards. `None` until it is stored.
    pub layout: Option<Layout>,
    /// Last fencing token that was allocated, with the revision of the counter.
    pub fencing_token: Versioned<FencingToken>,
    /// Holder of the coordinator lease; `None` if nobody holds it.
    pub coordinator_lease: Option<Versioned<LeaseHolder>>,
    /// Leader of each shard that has one.
    pub shard_leaders: BTreeMap<ShardId, Versioned<LeaseHolder>>,
    /// For each shard without a leader, when this controller first saw it without one.
    pub vacant_since: BTreeMap<ShardId, MonotonicTime>,
    /// Stored quotas of each shard.
    pub quotas: BTreeMap<ShardId, Versioned<QuotaRecord>>,
    /// Record and revision of each registered machine.
    pub machines: BTreeMap<MachineId, (MachineRecord, Revision)>,
    /// Jobs that have not ended.
    pub live_jobs: LiveJobs,
    /// Machines whose records cannot be decoded: no leader sends them commands.
    pub unreadable_machines: BTreeSet<MachineId>,
    /// Job batches, with the jobs in each.
    pub job_batches: JobBatches,
    /// Machine batches, with the machines in each.
    pub machine_batches: MachineBatches,
    /// Head of the machine batches, which holds the number of the last one written.
    pub machine_batch_head: Versioned<BatchHead>,
    /// Head of the job batches, which holds the number of the last one written.
    pub job_batch_head: Versioned<BatchHead>,
    /// Jobs removed from their job batch by transactions that have not been applied in
    /// full, with the revision. Each has either got a record of its own or ended.
    pub(super) removed_from_batches: Vec<(JobId, Revision)>,
    /// Live jobs that have a record of their own, outside the job batches.
    pub(super) jobs_with_own_record: BTreeSet<JobId>,
}

impl CachedState {
    /// Number of shards; `None` until the layout is known.
    pub fn shard_count(&self) -> Option<u32> {
        self.layout.map(|layout| layout.shards)
    }
}
