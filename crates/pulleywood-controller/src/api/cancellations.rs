//! Cancels jobs. One transaction deletes a job's live record, or removes the job from its
//! job batch, and writes its final state.

use crate::state::{ControllerContext, Versioned, decode_record};
use pulleywood_protocol::job_batch::JobBatchRecord;
use pulleywood_protocol::record::{
    ChunkRecord, FinalRecord, JobRecord, Key, TaskSet, final_key, job_key,
};
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::{JobId, JobStatus, Revision, ShardId};
use pulleywood_transport::store::Outcome;
use pulleywood_transport::{RequestPriority, StoreError};
use std::collections::BTreeSet;

/// Result of an attempt to cancel a job.
pub enum CancelOutcome {
    /// The job is cancelled and has this final state.
    Cancelled(Versioned<FinalRecord>),
    /// The stored job changed concurrently, or its record cannot be read: the caller looks
    /// the job up again.
    Conflict,
}

/// A cancellation that is ready to be committed.
struct PreparedCancellation {
    final_state: FinalRecord,
    /// Shards that run the job's tasks.
    shards: BTreeSet<ShardId>,
    /// Number and new content of the job batch that the job is removed from; `None` as the
    /// content deletes the batch. Empty if the job has a record of its own.
    job_batches: Vec<(u64, Option<JobBatchRecord>)>,
    transaction: Transaction,
}

/// A job's record, its tasks that are recorded as done, and the transaction that deletes the
/// record.
struct StoredRecord {
    record: JobRecord,
    done: TaskSet,
    transaction: Transaction,
}

/// Deletes the live record and its continuation records, or removes the job from its job
/// batch, and writes the final state.
pub fn commit_cancellation(
    context: &ControllerContext,
    shard: ShardId,
    id: &JobId,
) -> Result<CancelOutcome, StoreError> {
    let Some(prepared) = prepare(context, shard, id)? else {
        return Ok(CancelOutcome::Conflict);
    };
    match context
        .store
        .commit(RequestPriority::User, &prepared.transaction)?
    {
        Outcome::Applied(revision) => Ok(prepared.apply(context, id, revision)),
        Outcome::Conflict => Ok(CancelOutcome::Conflict),
    }
}

fn prepare(
    context: &ControllerContext,
    shard: ShardId,
    id: &JobId,
) -> Result<Option<PreparedCancellation>, StoreError> {
    let key = job_key(shard, id);
    let transaction = Transaction::default().when(final_key(id), Revision(0));
    let (chunk_size, batched_record, transaction, job_batches) = {
        let controller = context.controller.lock();
        let batches = &controller.cached.job_batches;
        let (transaction, job_batches) =
            batches.remove_jobs(transaction, &BTreeSet::from([id.clone()]));
        let batched_record = batches.record(id).cloned();
        (
            controller.config.chunk_tasks,
            batched_record,
            transaction,
            job_batches,
        )
    };
    let stored = match batched_record {
        Some(record) => Some(StoredRecord {
            record,
            done: TaskSet::new(),
            transaction: transaction.when(key, Revision(0)),
        }),
        None => read_record(context, &key, chunk_size, transaction)?,
    };
    Ok(stored.map(|stored| stored.into_cancellation(id, job_batches)))
}

/// Reads a live record and its continuation records, and adds their deletion to the
/// transaction. Returns `None` if the record does not exist or cannot be read.
fn read_record(
    context: &ControllerContext,
    key: &str,
    chunk_size: u32,
    transaction: Transaction,
) -> Result<Option<StoredRecord>, StoreError> {
    let Some(item) = context.store.get(RequestPriority::User, key)? else {
        return Ok(None);
    };
    let Some(record) = decode_record::<JobRecord>(Some(&item.value), key) else {
        return Ok(None);
    };
    let tasks = record.spec.tasks;
    let mut done = TaskSet::new();
    done.add_chunk(&record.done, 0, chunk_size, tasks);
    let mut transaction = transaction.when(key, item.revision).delete(key);
    if tasks > chunk_size {
        let continuation_prefix = format!("{key}/");
        let (items, _) = context
            .store
            .list(RequestPriority::User, &continuation_prefix)?;
        for item in items {
            if let Some(Key::Job(_, _, chunk_index)) = Key::parse(&item.path)
                && let Some(continuation) =
                    decode_record::<ChunkRecord>(Some(&item.value), &item.path)
            {
                done.add_chunk(&continuation.done, chunk_index, chunk_size, tasks);
                transaction = transaction
                    .when(item.path.clone(), item.revision)
                    .delete(item.path);
            }
        }
    }
    Ok(Some(StoredRecord {
        record,
        done,
        transaction,
    }))
}

impl StoredRecord {
    fn into_cancellation(
        self,
        id: &JobId,
        job_batches: Vec<(u64, Option<JobBatchRecord>)>,
    ) -> PreparedCancellation {
        let final_state =
            FinalRecord::new(&self.record.spec, JobStatus::Cancelled, self.done.len());
        let transaction = self.transaction.write(final_key(id), &final_state);
        let transferred = self.record.transferred.iter();
        let shards = transferred.map(|transfer| transfer.shard);
        PreparedCancellation {
            final_state,
            shards: shards.chain([self.record.shard]).collect(),
            job_batches,
            transaction,
        }
    }
}

impl PreparedCancellation {
    fn apply(self, context: &ControllerContext, id: &JobId, revision: Revision) -> CancelOutcome {
        let now = context.clock.now();
        let mut controller = context.controller.lock();
        controller.commit_times.observe(revision, now);
        controller.remove_ended_job(id, revision);
        controller.put_job_batches(self.job_batches, revision, now);
        drop(controller);
        context.suspension_requests.note_shards(id, self.shards);
        CancelOutcome::Cancelled(Versioned::new(self.final_state, revision))
    }
}
