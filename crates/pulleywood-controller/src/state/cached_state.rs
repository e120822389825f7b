//! The copy of the watched keys.

use super::Versioned;
use pulleywood_protocol::job_batch::{BatchHead, JobBatches};
use pulleywood_protocol::machine_batch::MachineBatches;
use pulleywood_protocol::record::{Layout, LeaseHolder, MachineRecord, QuotaRecord};
use pulleywood_protocol::{FencingToken, JobId, MachineId, MonotonicTime, Revision, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// A copy of the watched keys, as new as the last watch response.
#[derive(Debug, Default)]
pub struct CachedState {
    /// Revision up to which it is complete.
    pub store_revision: u64,
    /// How many shards.
    pub layout: Option<Layout>,
    /// The fencing-token counter.
    pub fencing_token: Versioned<FencingToken>,
    /// Holder of the coordinator lease.
    pub coordinator_lease: Option<Versioned<LeaseHolder>>,
    /// Leaders of the shards.
    pub shard_leaders: BTreeMap<ShardId, Versioned<LeaseHolder>>,
    /// Since when a shard has had no leader, as far as this controller knows.
    pub vacant_since: BTreeMap<ShardId, MonotonicTime>,
    /// Shards' quotas.
    pub quotas: BTreeMap<ShardId, Versioned<QuotaRecord>>,
    /// All machines.
    pub machines: BTreeMap<MachineId, (MachineRecord, Revision)>,
    /// All live jobs, and how many of their tasks are recorded as done.
    pub live_jobs: BTreeMap<JobId, u32>,
    /// Machines whose records cannot be read: no leader commands them.
    pub unreadable_machines: BTreeSet<MachineId>,
    /// Stored job batches.
    pub job_batches: JobBatches,
    /// Stored machine batches.
    pub machine_batches: MachineBatches,
    /// Head of the machine batches: the number of the newest one.
    pub machine_batch_head: Versioned<BatchHead>,
    /// Head of the job batches: the number of the newest one.
    pub job_batch_head: Versioned<BatchHead>,
    /// Jobs that left their job batches by transactions not yet applied in full: they
    /// have a record of their own, or are final.
    pub(super) removed_from_batches: Vec<(JobId, Revision)>,
    /// Live jobs that have a record of their own.
    pub(super) jobs_with_own_record: BTreeSet<JobId>,
}

impl CachedState {
    /// Number of shards, once the layout is known.
    pub fn shard_count(&self) -> Option<u32> {
        self.layout.map(|layout| layout.shards)
    }
}
