//! Builds the transaction of a batch of done tasks, within the limits of a transaction.
//!
//! Invariant: the transaction is conditioned on the revision of the shard's leadership
//! record and of every key that it changes, so that a replaced leader commits nothing.

use crate::config::Config;
use crate::shard::Job;
use pulleywood_protocol::job::JobStatus;
use pulleywood_protocol::job_batch::{JobBatchRecord, JobBatches};
use pulleywood_protocol::record::{
    ChunkRecord, FinalRecord, TaskSet, chunk_key, final_key, job_key, shard_leader_key,
};
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::{JobId, Revision, ShardId};
use std::collections::BTreeSet;

/// Bytes of values in one batch after which no further job is added. A transaction may
/// hold 64 KiB in total.
const MAX_VALUE_BYTES: usize = 40 * 1024;

/// Estimated bytes of a job batch that is rewritten because a job leaves it.
const JOB_BATCH_BYTES: usize = 8192;

/// Estimated bytes of a job's record, not counting its encoded done tasks.
const JOB_RECORD_BYTES: usize = 700;

/// One transaction of done tasks, and the jobs that it affects.
#[derive(Debug)]
pub struct Batch {
    /// The transaction to apply.
    pub transaction: Transaction,
    /// Jobs whose records the transaction changes.
    pub jobs: Vec<BatchJob>,
    /// Job batches that jobs leave by this transaction, by number, with their remaining
    /// contents. `None` if the job batch is deleted.
    pub job_batches: Vec<(u64, Option<JobBatchRecord>)>,
}

/// The part of a batch that concerns one job.
#[derive(Debug)]
pub struct BatchJob {
    /// Id of the job.
    pub id: JobId,
    /// Done tasks that the batch commits.
    pub tasks: TaskSet,
    /// Numbers of the chunks of done tasks that the batch writes.
    pub chunks: BTreeSet<u32>,
    /// The job's final record, if all its tasks are done.
    pub final_record: Option<FinalRecord>,
}

/// Where a job's record is stored.
#[derive(Debug, Clone, Copy)]
enum StoredIn {
    OwnRecord,
    /// In the job batch of this number, which the job leaves with its first commit.
    JobBatch(u64),
}

/// Writes that one job adds to a batch.
pub(super) struct JobWrites<'a> {
    id: &'a JobId,
    job: &'a Job,
    stored_in: StoredIn,
    /// Done tasks that are not committed.
    tasks: TaskSet,
    /// Chunks of done tasks to write. Chunk 0 is part of the job's record.
    chunks: BTreeSet<u32>,
    /// The job's final record, if all its tasks are done. It replaces the other
    /// records.
    final_record: Option<FinalRecord>,
}

impl<'a> JobWrites<'a> {
    /// Returns `None` if the job has left its job batch; the watch will report how.
    pub(super) fn of(
        id: &'a JobId,
        job: &'a Job,
        job_batches: &JobBatches,
        config: &Config,
    ) -> Option<JobWrites<'a>> {
        let stored_in = if job.in_job_batch {
            StoredIn::JobBatch(job_batches.find(id)?)
        } else {
            StoredIn::OwnRecord
        };
        let final_record = job
            .is_complete()
            .then(|| FinalRecord::new(&job.spec, JobStatus::Done, job.done.len()));
        let tasks = job.done.difference(&job.committed);
        let mut chunks: BTreeSet<u32> = tasks
            .ranges()
            .flat_map(|range| range.start() / config.chunk_tasks..=range.end() / config.chunk_tasks)
            .collect();
        let first_own_record = matches!(stored_in, StoredIn::JobBatch(_)) && final_record.is_none();
        if job.needs_rewrite || first_own_record {
            chunks.insert(0);
        }
        Some(JobWrites {
            id,
            job,
            stored_in,
            tasks,
            chunks,
            final_record,
        })
    }

    /// Number of keys to change, not counting the job batch.
    fn operations(&self) -> usize {
        match (&self.final_record, self.stored_in) {
            (Some(_), StoredIn::JobBatch(_)) => 1,
            (Some(_), StoredIn::OwnRecord) => 2 + self.job.chunk_revisions.len(),
            (None, _) => self.chunks.len(),
        }
    }
}

/// Collects the writes of jobs, within the limits of a transaction.
pub(super) struct BatchBuilder<'a> {
    config: &'a Config,
    transaction: Transaction,
    jobs: Vec<BatchJob>,
    /// Jobs that leave their job batches.
    leaving: BTreeSet<JobId>,
    /// Numbers of the job batches that are rewritten because jobs leave them.
    rewritten_batches: BTreeSet<u64>,
    /// Estimated bytes of all values.
    value_bytes: usize,
}

impl<'a> BatchBuilder<'a> {
    pub(super) fn new(
        shard: ShardId,
        shard_revision: Revision,
        config: &'a Config,
    ) -> BatchBuilder<'a> {
        BatchBuilder {
            config,
            transaction: Transaction::default().when(shard_leader_key(shard), shard_revision),
            jobs: Vec::new(),
            leaving: BTreeSet::new(),
            rewritten_batches: BTreeSet::new(),
            value_bytes: 0,
        }
    }

    /// Whether another job fits. The first one always does.
    pub(super) fn has_capacity_for(&self, writes: &JobWrites) -> bool {
        let rewrites_batch = match writes.stored_in {
            StoredIn::JobBatch(number) => !self.rewritten_batches.contains(&number),
            StoredIn::OwnRecord => false,
        };
        let operations = self.transaction.writes.len()
            + self.rewritten_batches.len()
            + usize::from(rewrites_batch)
            + writes.operations();
        self.jobs.is_empty()
            || operations <= self.config.max_batch_operations && self.value_bytes <= MAX_VALUE_BYTES
    }

    pub(super) fn add(&mut self, writes: JobWrites) {
        let record_revision = match writes.stored_in {
            StoredIn::OwnRecord => writes.job.revision,
            StoredIn::JobBatch(number) => {
                self.rewritten_batches.insert(number);
                self.leaving.insert(writes.id.clone());
                self.value_bytes += JOB_BATCH_BYTES;
                // The job has no record of its own yet.
                Revision(0)
            }
        };
        let key = job_key(writes.id.shard(self.config.shards), writes.id);
        let mut transaction = std::mem::take(&mut self.transaction);
        transaction = transaction.when(key.clone(), record_revision);
        self.transaction = match &writes.final_record {
            Some(final_record) => self.finish_job(transaction, key, &writes, final_record),
            None => self.record_chunks(transaction, key, &writes),
        };
        self.jobs.push(BatchJob {
            id: writes.id.clone(),
            tasks: writes.tasks,
            chunks: writes.chunks,
            final_record: writes.final_record,
        });
    }

    /// Writes the final record and deletes all others.
    fn finish_job(
        &self,
        mut transaction: Transaction,
        key: String,
        writes: &JobWrites,
        final_record: &FinalRecord,
    ) -> Transaction {
        let id = writes.id;
        if matches!(writes.stored_in, StoredIn::OwnRecord) {
            transaction = transaction.delete(key);
        }
        transaction = transaction
            .when(final_key(id), Revision(0))
            .write(final_key(id), final_record);
        for (&chunk, &revision) in &writes.job.chunk_revisions {
            let key = chunk_key(id.shard(self.config.shards), id, chunk);
            transaction = transaction.when(key.clone(), revision).delete(key);
        }
        transaction
    }

    /// Writes the chunks that changed.
    fn record_chunks(
        &mut self,
        mut transaction: Transaction,
        key: String,
        writes: &JobWrites,
    ) -> Transaction {
        let JobWrites { id, job, .. } = writes;
        for &chunk in &writes.chunks {
            let done = job.done.chunk_text(chunk, self.config.chunk_tasks);
            self.value_bytes += done.len() + JOB_RECORD_BYTES;
            if chunk == 0 {
                transaction = transaction.write(key.clone(), &job.to_record(done));
                continue;
            }
            let key = chunk_key(id.shard(self.config.shards), id, chunk);
            let revision = job.chunk_revisions.get(&chunk).copied().unwrap_or_default();
            transaction = transaction
                .when(key.clone(), revision)
                .write(key, &ChunkRecord { done });
        }
        transaction
    }

    /// Returns the batch, including the rewritten job batches. `None` if no job was
    /// added.
    pub(super) fn build(self, job_batches: &JobBatches) -> Option<Batch> {
        if self.jobs.is_empty() {
            return None;
        }
        let (transaction, job_batches) = job_batches.remove_jobs(self.transaction, &self.leaving);
        Some(Batch {
            transaction,
            jobs: self.jobs,
            job_batches,
        })
    }
}
