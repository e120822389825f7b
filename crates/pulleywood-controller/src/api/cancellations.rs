//! Cancelling a job: one transaction ends it, wherever it is stored.

use crate::state::{ControllerContext, decode_record};
use pulleywood_protocol::job_batch::JobBatchRecord;
use pulleywood_protocol::record::{
    ChunkRecord, FinalRecord, JobRecord, Key, TaskSet, final_key, job_key,
};
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::{JobId, JobStatus, Revision, ShardId};
use pulleywood_transport::store::Outcome;
use pulleywood_transport::{RequestPriority, StoreError};
use std::collections::BTreeSet;

/// How an attempt to cancel a job ended.
pub enum CancelOutcome {
    /// The job is cancelled; this is its final state.
    Cancelled(FinalRecord),
    /// What is stored of it has changed meanwhile: it is to be looked up again.
    Changed,
}

/// A cancellation to be committed.
struct PreparedCancellation {
    state: FinalRecord,
    /// The job batch that the job leaves, as it is then.
    job_batches: Vec<(u64, Option<JobBatchRecord>)>,
    transaction: Transaction,
}

/// A job's record and the tasks recorded as done, with what deletes it.
struct StoredRecord {
    record: JobRecord,
    done: TaskSet,
    transaction: Transaction,
}

/// Deletes the live record with its continuations, or takes the job out of its job batch,
/// and writes the final state.
pub fn commit_cancellation(
    context: &ControllerContext,
    shard: ShardId,
    id: &JobId,
) -> Result<CancelOutcome, StoreError> {
    let Some(prepared) = prepare(context, shard, id)? else {
        return Ok(CancelOutcome::Changed);
    };
    match context
        .store
        .commit(RequestPriority::User, &prepared.transaction)?
    {
        Outcome::Applied(revision) => Ok(prepared.apply(context, id, revision)),
        Outcome::Conflict => Ok(CancelOutcome::Changed),
    }
}

fn prepare(
    context: &ControllerContext,
    shard: ShardId,
    id: &JobId,
) -> Result<Option<PreparedCancellation>, StoreError> {
    let key = job_key(shard, id);
    let transaction = Transaction::default().when(final_key(id), Revision(0));
    let (chunk, in_batch, transaction, job_batches) = {
        let controller = context.controller.lock();
        let batches = &controller.cached.job_batches;
        let (transaction, job_batches) =
            batches.remove_jobs(transaction, &BTreeSet::from([id.clone()]));
        let in_batch = batches.record(id).cloned();
        (
            controller.config.chunk_tasks,
            in_batch,
            transaction,
            job_batches,
        )
    };
    let stored = match in_batch {
        Some(record) => Some(StoredRecord {
            record,
            done: TaskSet::new(),
            transaction: transaction.when(key, Revision(0)),
        }),
        None => read_record(context, &key, chunk, transaction)?,
    };
    Ok(stored.map(|stored| stored.cancelled(id, job_batches)))
}

/// Reads a live record with its continuations, and adds to the transaction that they are
/// deleted; none if there is no record, or if it cannot be read.
fn read_record(
    context: &ControllerContext,
    key: &str,
    chunk: u32,
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
    done.add_chunk(&record.done, 0, chunk, tasks);
    let mut transaction = transaction.when(key, item.revision).delete(key);
    if tasks > chunk {
        let continuations = format!("{key}/");
        let (items, _) = context.store.list(RequestPriority::User, &continuations)?;
        for item in items {
            if let Some(Key::Job(_, _, n)) = Key::parse(&item.path)
                && let Some(more) = decode_record::<ChunkRecord>(Some(&item.value), &item.path)
            {
                done.add_chunk(&more.done, n, chunk, tasks);
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
    fn cancelled(
        self,
        id: &JobId,
        job_batches: Vec<(u64, Option<JobBatchRecord>)>,
    ) -> PreparedCancellation {
        let state = FinalRecord::new(&self.record.spec, JobStatus::Cancelled, self.done.len());
        let transaction = self.transaction.write(final_key(id), &state);
        PreparedCancellation {
            state,
            job_batches,
            transaction,
        }
    }
}

impl PreparedCancellation {
    fn apply(self, context: &ControllerContext, id: &JobId, revision: Revision) -> CancelOutcome {
        let now = context.clock.now();
        let mut controller = context.controller.lock();
        controller.remove_ended_job(id, revision);
        controller.put_job_batches(self.job_batches, revision, now);
        CancelOutcome::Cancelled(self.state)
    }
}
