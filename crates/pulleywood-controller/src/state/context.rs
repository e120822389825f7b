//! State and clients that the threads of one controller share.

use super::queues::{RegistrationQueue, SubmissionQueue};
use super::{ControllerState, FinalStateCache, LinearizableReads, SuspensionRequests};
use crate::clock::Clock;
use parking_lot::{Condvar, Mutex};
use pulleywood_protocol::machine_batch::MachineBatchUpdate;
use pulleywood_protocol::peer::Digest;
use pulleywood_protocol::record::LeaseHolder;
use pulleywood_protocol::settings::Settings;
use pulleywood_protocol::{FencingToken, JobId, MemberId, MonotonicTime, Revision};
use pulleywood_recovery::RecoveryPolicy;
use pulleywood_scheduler::launch_validity::LAUNCH_SUSPENSION;
use pulleywood_transport::peer::PeerClient;
use pulleywood_transport::{CloudClient, PollIntervals, StoreClient};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// State and clients that the threads of one controller share.
pub struct ControllerContext {
    /// Contents of the settings file.
    pub settings: Settings,
    /// Id of this controller.
    pub controller_id: MemberId,
    /// Random number drawn at start, which tells this process from former processes of the
    /// same controller.
    pub boot: u64,
    /// Steady clock of this process.
    pub clock: Clock,
    /// Client of the state service.
    pub store: StoreClient,
    /// Client of the cloud service.
    pub cloud: CloudClient,
    /// Clients of the other controllers, by their ids.
    pub peers: BTreeMap<MemberId, PeerClient>,
    /// State of this controller. The lock is never held across I/O.
    pub controller: Mutex<ControllerState>,
    /// Notified when the leadership thread may have a step to carry out.
    pub work_available: Condvar,
    /// Submissions that wait to be written in a job batch.
    pub submissions: SubmissionQueue,
    /// Machines that wait to be written in a machine batch.
    pub registrations: RegistrationQueue,
    /// Requests to peers to suspend launches of jobs that are being cancelled.
    pub suspension_requests: SuspensionRequests,
    /// Users' queries that wait for a read that starts after they arrived.
    pub linearizable_reads: LinearizableReads,
    /// Sequence number of the last digest made; 0 before the first.
    pub last_digest_seq: AtomicU64,
    /// Pauses between requests for changes to the state service.
    pub poll_intervals: PollIntervals,
    /// When a submission was last refused for lack of write tokens, in milliseconds on
    /// `clock`; 0 if none was.
    pub last_refusal_ms: AtomicU64,
    /// Policy of the recovery subsystem; `None` if recovery is disabled.
    pub recovery: Option<RecoveryPolicy>,
    /// Final states written or read recently, which answer users' polls without a read.
    pub final_states: Mutex<FinalStateCache>,
}

impl ControllerContext {
    /// Returns this process as the holder of a lease under a fencing token.
    pub fn lease_holder(&self, fencing_token: FencingToken) -> LeaseHolder {
        LeaseHolder {
            member: self.controller_id.clone(),
            boot: self.boot,
            fencing_token,
        }
    }

    /// Whether the holder of a lease is this process, not a former process of this
    /// controller.
    pub fn is_this_process(&self, holder: &LeaseHolder) -> bool {
        holder.member == self.controller_id && holder.boot == self.boot
    }

    /// Whether a submission was refused for lack of write tokens in the last 5 s.
    pub fn refused_recently(&self, now: MonotonicTime) -> bool {
        let refused_at = MonotonicTime(self.last_refusal_ms.load(Ordering::Relaxed));
        refused_at > MonotonicTime(0) && now.since(refused_at) < Duration::from_secs(5)
    }

    /// Suspends launches of jobs that are being cancelled, for [`LAUNCH_SUSPENSION`].
    pub fn suspend_launches(&self, jobs: &[JobId]) {
        let mut controller = self.controller.lock();
        let now = self.clock.now();
        controller.suspend_launches(jobs, now + LAUNCH_SUSPENSION, now);
    }

    /// Applies machine batches that a transaction of this controller wrote, or that were
    /// read at this revision.
    pub fn put_machine_batches(
        &self,
        machine_batches: Vec<MachineBatchUpdate>,
        revision: Revision,
    ) {
        let now = self.clock.now();
        let mut controller = self.controller.lock();
        controller.put_machine_batches(machine_batches, revision, now);
    }

    /// Makes the next digest that this controller sends to its peers.
    pub fn digest(&self) -> Digest {
        let now = self.clock.now();
        let store_reachable = self.store.is_available();
        let mut controller = self.controller.lock();
        Digest {
            member: self.controller_id.clone(),
            boot: self.boot,
            seq: self.last_digest_seq.fetch_add(1, Ordering::Relaxed) + 1,
            store_reachable,
            ready_to_lead: controller.cache_loaded
                && controller.lease.lease_id.is_some()
                && store_reachable
                && now >= controller.acquire_backoff.until,
            refusing_submissions: self.refused_recently(now),
            serving: controller.serving(now),
            shards: controller.led_shard_digests(now),
        }
    }
}
