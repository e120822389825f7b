//! Reading stored records, and applying a job's entries to the shard that runs it.

use super::LedShard;
use pulleywood_protocol::job_batch::JobBatchRecord;
use pulleywood_protocol::machine_batch::MachineBatchRecord;
use pulleywood_protocol::record::{ChunkRecord, JobRecord, Key};
use pulleywood_protocol::store::Item;
use pulleywood_protocol::{JobId, MonotonicTime, Revision, cbor};
use pulleywood_scheduler::Config;
use pulleywood_scheduler::shard::Job;

/// What a job's key holds after a change.
#[derive(Debug, Clone)]
pub enum JobEntry {
    /// The live record.
    Record(Box<JobRecord>),
    /// As it was accepted, in a job batch.
    Batched(Box<JobRecord>),
    /// A continuation.
    Chunk(u32, ChunkRecord),
    /// The live record, or the one in a job batch, cannot be read.
    Unreadable,
    /// The job has ended.
    Gone,
}

impl JobEntry {
    /// What the record (chunk 0) or continuation of a job holds; none if a continuation
    /// cannot be read.
    pub(super) fn read(chunk: u32, value: &cbor::Value, path: &str) -> Option<JobEntry> {
        match chunk {
            0 => Some(match read(Some(value), path) {
                Some(record) => JobEntry::Record(Box::new(record)),
                None => JobEntry::Unreadable,
            }),
            n => read(Some(value), path).map(|record| JobEntry::Chunk(n, record)),
        }
    }
}

impl LedShard {
    /// A job's key changed. `old`: an earlier leader may have launched the job.
    pub fn job_event(
        &mut self,
        id: &JobId,
        entry: &JobEntry,
        revision: Revision,
        old: bool,
        now: MonotonicTime,
        config: &Config,
    ) {
        match entry {
            JobEntry::Record(record) => self.state.put_job(record, revision, old, now, config),
            JobEntry::Batched(record) => self
                .state
                .put_batched_job(record, revision, old, now, config),
            JobEntry::Chunk(n, record) => self.state.put_chunk(id, *n, record, revision, config),
            JobEntry::Unreadable => self.state.mark_job_unreadable(id),
            JobEntry::Gone => {
                let blocked = self.state.unreadable_jobs.contains(id);
                let older = |j: &Job| j.revision < revision;
                if blocked || self.state.jobs.get(id).is_some_and(older) {
                    self.state.remove_job(id);
                }
            }
        }
    }
}

/// Reads a stored record; one that cannot be read is logged and left alone.
pub fn read<T: serde::de::DeserializeOwned>(value: Option<&cbor::Value>, path: &str) -> Option<T> {
    logged(cbor::from_value(value?), path)
}

fn logged<T, E: std::fmt::Display>(record: Result<T, E>, path: &str) -> Option<T> {
    record
        .inspect_err(|e| log::error!("record {path} cannot be read: {e}"))
        .ok()
}

/// Reads a stored job batch; jobs in it that cannot be read are logged.
pub fn read_job_batch(value: &cbor::Value, path: &str) -> Option<JobBatchRecord> {
    let batch = logged(JobBatchRecord::from_value(value), path)?;
    for record in &batch.unreadable {
        let id = pulleywood_protocol::job_batch::job_id(record);
        let name = id.map_or("one".to_owned(), |id| id.to_string());
        log::error!("record {path}: job {name} cannot be read");
    }
    Some(batch)
}

/// Reads a stored machine batch; machines in it that cannot be read are logged.
pub fn read_machine_batch(value: &cbor::Value, path: &str) -> Option<MachineBatchRecord> {
    let batch = logged(MachineBatchRecord::from_value(value), path)?;
    for id in batch.unreadable.keys() {
        log::error!("record {path}: machine {id} cannot be read");
    }
    Some(batch)
}

/// A job's record or continuation, as listed.
pub fn job_entry(item: &Item) -> Option<(JobId, JobEntry)> {
    let Key::Job(_, id, chunk) = Key::parse(&item.path)? else {
        return None;
    };
    let entry = JobEntry::read(chunk, &item.value, &item.path)?;
    Some((id, entry))
}
