//! A shard that this controller leads.

use super::JobEntry;
use pulleywood_protocol::record::LeaseHolder;
use pulleywood_protocol::{JobId, MonotonicTime, Revision};
use pulleywood_scheduler::ShardState;

/// A change of a job's key that is applied once its shard is loaded.
pub struct DeferredChange {
    /// The job.
    pub id: JobId,
    /// Its entry after the change.
    pub entry: JobEntry,
    /// Revision of the change.
    pub revision: Revision,
}

/// A shard that this controller leads.
pub struct LedShard {
    /// Its jobs and machines.
    pub state: ShardState,
    /// Revision of the shard's leadership key.
    pub revision: Revision,
    /// Read in full; until then changes of jobs are deferred.
    pub loaded: bool,
    /// Changes of jobs that the watch brought while the shard was being read.
    pub deferred_changes: Vec<DeferredChange>,
    /// Being handed over to another controller: nothing is launched.
    pub handing_over: bool,
    /// When this process acquired the leadership.
    pub acquired_at: MonotonicTime,
    /// Revision of the record that says that every machine the shard had when it was
    /// acquired is accounted for.
    pub reconciled_revision: Option<Revision>,
    /// The previous leader, while it may still answer workers.
    pub previous_leader: Option<LeaseHolder>,
}
