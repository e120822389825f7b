//! Queues between the threads that handle requests and the threads that write to the store.

use crate::batch_queue::BatchQueue;
use pulleywood_protocol::record::{JobRecord, MachineRecord};
use pulleywood_protocol::{FencingToken, MachineId, ShardId};
use pulleywood_transport::StoreError;

/// Machines that wait for their record to be written.
pub type RegistrationQueue = BatchQueue<UnregisteredMachine, RegistrationOutcome>;

/// Submissions that wait to be written in a job batch.
pub type SubmissionQueue = BatchQueue<WaitingSubmission, SubmissionOutcome>;

/// A machine without a stored record, which is to be registered with a led shard.
pub struct UnregisteredMachine {
    /// Id that the machine's worker sent in its heartbeat.
    pub id: MachineId,
    /// The led shard that the machine joins.
    pub shard: ShardId,
    /// The record to write; its fencing token is set when the batch is prepared.
    pub record: MachineRecord,
    /// The highest fencing token that the machine's worker has seen.
    pub highest_seen_token: FencingToken,
}

/// Outcome of a request to register a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistrationOutcome {
    /// The machine's record is stored.
    Registered,
    /// The machine's record was not stored; its worker has to try again.
    NotRegistered,
}

/// A submission that waits to be written in a job batch.
pub struct WaitingSubmission {
    /// Record of the submitted job.
    pub record: JobRecord,
    /// Encoded size of the record within a job batch.
    pub bytes: usize,
}

/// Outcome of a submission.
#[derive(Debug)]
pub enum SubmissionOutcome {
    /// The job is stored.
    Accepted,
    /// A job with this id exists already, live or ended.
    AlreadyExists,
    /// The job was not accepted, because the live jobs take as much memory as they may.
    NoMemory,
    /// The job was not accepted, or it is not known whether it was; the user may retry.
    Refused(StoreError),
}
