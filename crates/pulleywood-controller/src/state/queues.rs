//! Queues that the threads of the interfaces fill and the writers empty.

use crate::batch_queue::BatchQueue;
use pulleywood_protocol::record::{JobRecord, MachineRecord};
use pulleywood_protocol::{FencingToken, MachineId, ShardId};
use pulleywood_transport::StoreError;

/// Machines that wait for their record.
pub type RegistrationQueue = BatchQueue<UnregisteredMachine, RegistrationOutcome>;

/// Submissions that wait for a job batch.
pub type SubmissionQueue = BatchQueue<WaitingSubmission, SubmissionOutcome>;

/// A machine without a record, to be registered with a led shard.
pub struct UnregisteredMachine {
    /// The machine.
    pub id: MachineId,
    /// The shard that it will belong to.
    pub shard: ShardId,
    /// Its record but for the fencing token.
    pub record: MachineRecord,
    /// The highest fencing token its worker has seen.
    pub highest_seen_token: FencingToken,
}

/// What became of a registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistrationOutcome {
    /// The machine's record is stored.
    Registered,
    /// Not now: its worker is to try again.
    NotRegistered,
}

/// A submission that waits for a job batch.
pub struct WaitingSubmission {
    /// The job's record.
    pub record: JobRecord,
    /// Bytes of the record within a job batch.
    pub bytes: usize,
}

/// What became of a submission.
#[derive(Debug)]
pub enum SubmissionOutcome {
    /// Accepted: the job is stored.
    Accepted,
    /// A job of this id is known already.
    AlreadyExists,
    /// Not accepted now.
    Refused(StoreError),
}
