//! Everything the threads of one controller share.

use super::queues::{RegistrationQueue, SubmissionQueue};
use super::{ControllerState, Finals, LinearizableReads};
use crate::batch_queue::Mailbox;
use crate::clock::Clock;
use parking_lot::{Condvar, Mutex};
use pulleywood_protocol::machine_batch::MachineBatchUpdate;
use pulleywood_protocol::peer::Digest;
use pulleywood_protocol::record::LeaseHolder;
use pulleywood_protocol::settings::Settings;
use pulleywood_protocol::{FencingToken, JobId, MemberId, MonotonicTime, Revision};
use pulleywood_recovery::RecoveryPolicy;
use pulleywood_transport::peer::PeerClient;
use pulleywood_transport::{CloudClient, PollIntervals, StoreClient};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Everything the threads of one controller share.
pub struct ControllerContext {
    /// The settings file's contents.
    pub settings: Settings,
    /// Id of this controller.
    pub controller_id: MemberId,
    /// Random number of this process.
    pub boot: u64,
    /// Its clock.
    pub clock: Clock,
    /// Client of the store.
    pub store: StoreClient,
    /// Client of the cloud.
    pub cloud: CloudClient,
    /// Clients of the other controllers.
    pub peers: BTreeMap<MemberId, PeerClient>,
    /// What this controller knows. The lock is never held across I/O.
    pub controller: Mutex<ControllerState>,
    /// Notified when the leadership thread may have something to do.
    pub work_available: Condvar,
    /// Submissions that wait for a job batch.
    pub submissions: SubmissionQueue,
    /// Machines that wait for a machine batch.
    pub registrations: RegistrationQueue,
    /// Jobs being cancelled whose leaders are to be notified.
    pub cancelling: Mailbox<JobId>,
    /// Users' queries that wait for a read begun after they came.
    pub linearizable_reads: LinearizableReads,
    /// Sequence number of the last digest sent.
    pub digests_sent: AtomicU64,
    /// Pauses between requests to the store for changes.
    pub poll_intervals: PollIntervals,
    /// When a submission was last refused for lack of write tokens, in ms.
    pub refused: AtomicU64,
    /// Policy of the recovery subsystem, if it is switched on.
    pub recovery: Option<RecoveryPolicy>,
    /// Final states written or read lately, kept for later polls.
    pub finals: Mutex<Finals>,
}

impl ControllerContext {
    /// This process as the holder of a lease under a fencing token.
    pub fn lease_holder(&self, fencing_token: FencingToken) -> LeaseHolder {
        LeaseHolder {
            member: self.controller_id.clone(),
            boot: self.boot,
            fencing_token,
        }
    }

    /// The holder of a lease is this process, not a former one of this controller.
    pub fn is_this_process(&self, holder: &LeaseHolder) -> bool {
        holder.member == self.controller_id && holder.boot == self.boot
    }

    /// A submission was refused lately for lack of write tokens.
    pub fn refusing(&self, now: MonotonicTime) -> bool {
        let at = MonotonicTime(self.refused.load(Ordering::Relaxed));
        at > MonotonicTime(0) && now.since(at) < Duration::from_secs(5)
    }

    /// Holds launches of jobs back that are being cancelled, as long as this controller
    /// may launch without having heard more of them.
    pub fn hold_launches(&self, jobs: &[JobId]) {
        let mut controller = self.controller.lock();
        let until = self.clock.now() + controller.lease_ttl();
        controller.hold_launches(jobs, until);
    }

    /// Puts machine batches as a transaction of this controller wrote them.
    pub fn put_machine_batches(
        &self,
        machine_batches: Vec<MachineBatchUpdate>,
        revision: Revision,
    ) {
        let now = self.clock.now();
        let mut controller = self.controller.lock();
        controller.put_machine_batches(machine_batches, revision, now);
    }

    /// The digest this controller sends.
    pub fn digest(&self) -> Digest {
        let now = self.clock.now();
        let state_ok = self.store.answers();
        let mut controller = self.controller.lock();
        Digest {
            member: self.controller_id.clone(),
            boot: self.boot,
            seq: self.digests_sent.fetch_add(1, Ordering::Relaxed) + 1,
            store_reachable: state_ok,
            ready_to_lead: controller.is_cached
                && controller.lease.lease_id.is_some()
                && state_ok
                && now >= controller.acquire_backoff.until,
            refusing_submissions: self.refusing(now),
            serving: controller.serving(now),
            shards: controller.shard_digests(now),
        }
    }
}
