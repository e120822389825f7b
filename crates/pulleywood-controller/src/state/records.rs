//! Decoding stored records, and applying changes of jobs to the shard that runs them.

use super::LedShard;
use pulleywood_protocol::job_batch::JobBatchRecord;
use pulleywood_protocol::machine_batch::MachineBatchRecord;
use pulleywood_protocol::record::{ChunkRecord, JobRecord, Key};
use pulleywood_protocol::store::Item;
use pulleywood_protocol::{JobId, MonotonicTime, Revision, ShardId, cbor};
use pulleywood_scheduler::Config;
use pulleywood_scheduler::shard::Job;

/// Stored state of a job's record, or of one of its continuations, after a change.
#[derive(Debug, Clone)]
pub enum JobEntry {
    /// A record of the job's own, outside the job batches.
    Record(Box<JobRecord>),
    /// The record within a job batch, as it was when the job was accepted.
    Batched(Box<JobRecord>),
    /// A continuation of the record, with its number, which is at least 1.
    Chunk(u32, ChunkRecord),
    /// A record that cannot be decoded, whether the job's own or the one in a job batch.
    Unreadable,
    /// The job has ended and has no record any more.
    Ended,
}

impl JobEntry {
    /// Decodes the record (chunk 0) or a continuation of a job; `None` if a continuation
    /// cannot be decoded.
    pub(super) fn decode(chunk: u32, value: &cbor::Value, path: &str) -> Option<JobEntry> {
        match chunk {
            0 => Some(match decode_record(Some(value), path) {
                Some(record) => JobEntry::Record(Box::new(record)),
                None => JobEntry::Unreadable,
            }),
            number => {
                decode_record(Some(value), path).map(|record| JobEntry::Chunk(number, record))
            }
        }
    }
}

impl JobEntry {
    /// Whether a change matters to a shard that does not know the job.
    pub fn concerns(&self, shard: ShardId) -> bool {
        match self {
            JobEntry::Record(record) | JobEntry::Batched(record) => {
                record.shards().contains(&shard)
            }
            JobEntry::Unreadable => true,
            JobEntry::Chunk(..) | JobEntry::Ended => false,
        }
    }
}

impl LedShard {
    /// Applies a change of a job. `inherited`: a previous leader may have launched tasks of
    /// the job.
    pub fn apply_job_entry(
        &mut self,
        id: &JobId,
        entry: &JobEntry,
        revision: Revision,
        inherited: bool,
        now: MonotonicTime,
        config: &Config,
    ) {
        match entry {
            JobEntry::Record(record) => {
                self.state.put_job(record, revision, inherited, now, config)
            }
            JobEntry::Batched(record) => self
                .state
                .put_batched_job(record, revision, inherited, now, config),
            JobEntry::Chunk(number, record) => {
                self.state.put_chunk(id, *number, record, revision, config)
            }
            JobEntry::Unreadable => self.state.mark_job_unreadable(id),
            JobEntry::Ended => {
                let blocked = self.state.unreadable_jobs.contains(id);
                let is_older = |job: &Job| job.revision < revision;
                if blocked || self.state.jobs.get(id).is_some_and(is_older) {
                    self.state.remove_job(id);
                }
            }
        }
    }
}

/// Decodes a stored record. A record that cannot be decoded is logged and left in the store;
/// `None` for it and for a missing value.
pub fn decode_record<T: serde::de::DeserializeOwned>(
    value: Option<&cbor::Value>,
    path: &str,
) -> Option<T> {
    log_unreadable(cbor::from_value(value?), path)
}

fn log_unreadable<T, E: std::fmt::Display>(record: Result<T, E>, path: &str) -> Option<T> {
    record
        .inspect_err(|e| log::error!("failed to decode record {path}: {e}"))
        .ok()
}

/// Decodes a stored job batch; logs each job in it that cannot be decoded.
pub fn decode_job_batch(value: &cbor::Value, path: &str) -> Option<JobBatchRecord> {
    let batch = log_unreadable(JobBatchRecord::from_value(value), path)?;
    for record in &batch.unreadable {
        let id = pulleywood_protocol::job_batch::unreadable_job_id(record);
        match id {
            Some(id) => log::error!("failed to decode job {id} in job batch {path}"),
            None => log::error!("failed to decode a job of unknown id in job batch {path}"),
        }
    }
    Some(batch)
}

/// Decodes a stored machine batch; logs each machine in it that cannot be decoded.
pub fn decode_machine_batch(value: &cbor::Value, path: &str) -> Option<MachineBatchRecord> {
    let batch = log_unreadable(MachineBatchRecord::from_value(value), path)?;
    for id in batch.unreadable.keys() {
        log::error!("failed to decode machine {id} in machine batch {path}");
    }
    Some(batch)
}

/// Decodes a listed item as a job's record or continuation, with the job's id; `None` if it
/// is another key or a continuation that cannot be decoded.
pub fn job_entry(item: &Item) -> Option<(JobId, JobEntry)> {
    let Key::Job(_, id, chunk) = Key::parse(&item.path)? else {
        return None;
    };
    let entry = JobEntry::decode(chunk, &item.value, &item.path)?;
    Some((id, entry))
}
