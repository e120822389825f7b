//! A shard that this controller leads.

use super::JobEntry;
use pulleywood_protocol::record::LeaseHolder;
use pulleywood_protocol::{JobId, MonotonicTime, Revision};
use pulleywood_scheduler::ShardState;

/// A change of a job in the store.
pub struct JobChange {
    /// Id of the changed job.
    pub id: JobId,
    /// Stored state of the job after the change.
    pub entry: JobEntry,
    /// Store revision of the change.
    pub revision: Revision,
}

/// State that this controller keeps for a shard that it leads.
pub struct LedShard {
    /// The shard's jobs and machines, with the leader's scheduling state.
    pub state: ShardState,
    /// Revision at which this process wrote the shard's leadership key.
    pub revision: Revision,
    /// Whether the shard's records have been read in full. Until then changes of jobs are
    /// added to `deferred_changes`.
    pub loaded: bool,
    /// Changes of jobs that the watch delivered while the shard was being loaded, to apply once it
    /// is.
    pub deferred_changes: Vec<JobChange>,
    /// Whether the shard is being handed over to another controller: nothing is launched.
    pub handing_over: bool,
    /// When this process acquired the shard.
    pub acquired_at: MonotonicTime,
    /// Revision at which it was recorded that every machine that the shard had when it was
    /// acquired is accounted for; `None` until then.
    pub reconciled_revision: Option<Revision>,
    /// The previous leader, as long as it may still respond to workers.
    pub previous_leader: Option<LeaseHolder>,
}

impl LedShard {
    /// Whether the shard can be worked on: it is loaded, and it is not being handed over to a
    /// controller that may lead it already.
    pub fn is_active(&self) -> bool {
        self.loaded && !self.handing_over
    }
}
