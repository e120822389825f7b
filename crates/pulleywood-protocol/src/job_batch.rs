//! Job batches: records of several jobs that were accepted together and are stored in one
//! value.
//!
//! In a burst, submissions arrive faster than the store allows writes. One transaction then
//! accepts as many jobs as fit into one value. A job leaves its batch in the transaction that
//! first writes anything about it, so it is live in one place only. The transaction that
//! writes a new batch requires that none of its jobs has its own record or a final state.
//! Transactions of batches and of single submissions also compare the revision of the batches'
//! head, so that none of them overlooks a batch that was just written.

use crate::cbor::{self, DecodeError, Value};
use crate::ids::{JobId, Revision};
use crate::record::{JobRecord, job_batch_key};
use crate::store::Transaction;
use serde::ser::SerializeStruct;
use serde::{Deserialize, Serialize, Serializer};
use std::collections::{BTreeMap, BTreeSet};

/// The head record of the job batches or of the machine batches, written with each new batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BatchHead {
    /// Number of the newest batch.
    pub last: u64,
}

/// Jobs that were accepted together and have not changed since.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
pub struct JobBatchRecord {
    /// Records of the jobs.
    pub jobs: Vec<JobRecord>,
    /// Records that this release cannot decode. They are kept unchanged whenever the job batch
    /// is written, so that none of their jobs is lost.
    #[serde(skip)]
    pub unreadable: Vec<Value>,
}

impl Serialize for JobBatchRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut record = serializer.serialize_struct("PackRecord", 1)?;
        if self.unreadable.is_empty() {
            record.serialize_field("jobs", &self.jobs)?;
        } else {
            let readable = self.jobs.iter().map(cbor::to_value);
            let all: Vec<Value> = readable.chain(self.unreadable.iter().cloned()).collect();
            record.serialize_field("jobs", &all)?;
        }
        record.end()
    }
}

impl JobBatchRecord {
    /// Decodes a stored job batch. Records that cannot be decoded are kept in `unreadable`.
    ///
    /// # Errors
    ///
    /// The value is not a job batch.
    pub fn from_value(value: &Value) -> Result<JobBatchRecord, DecodeError> {
        #[derive(Deserialize)]
        struct RawBatch {
            jobs: Vec<Value>,
        }
        if let Ok(job_batch) = cbor::from_value(value) {
            return Ok(job_batch);
        }
        let raw: RawBatch = cbor::from_value(value)?;
        let mut job_batch = JobBatchRecord::default();
        for value in raw.jobs {
            match cbor::from_value(&value) {
                Ok(job) => job_batch.jobs.push(job),
                Err(_) => job_batch.unreadable.push(value),
            }
        }
        Ok(job_batch)
    }

    /// Ids of the jobs whose records cannot be decoded, as far as the ids can.
    pub fn unreadable_ids(&self) -> impl Iterator<Item = JobId> + '_ {
        self.unreadable.iter().filter_map(unreadable_job_id)
    }

    /// Whether the batch has no records, unreadable ones included.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.unreadable.is_empty()
    }
}

/// The job id in a record that cannot be decoded as a whole; `None` if it has none.
pub fn unreadable_job_id(record: &Value) -> Option<JobId> {
    let spec = field(record, "spec")?;
    JobId::parse(field(spec, "uid")?.as_text()?)
}

fn field<'a>(map: &'a Value, name: &str) -> Option<&'a Value> {
    let fields = map.as_map()?.iter();
    let mut matching = fields.filter(|(key, _)| key.as_text() == Some(name));
    matching.next().map(|(_, value)| value)
}

/// Cached copy of all stored job batches.
#[derive(Debug, Clone, Default)]
pub struct JobBatches {
    job_batches: BTreeMap<u64, (JobBatchRecord, Revision)>,
    batch_of_job: BTreeMap<JobId, u64>,
}

impl JobBatches {
    /// Applies a write of a job batch, or its deletion if `record` is `None`. Changes older than
    /// the known revision are ignored. Returns the records that are new in the batch, and the
    /// ids of the jobs that have left it.
    pub fn put(
        &mut self,
        number: u64,
        record: Option<JobBatchRecord>,
        revision: Revision,
    ) -> (Vec<JobRecord>, Vec<JobId>) {
        let before: BTreeSet<JobId> = match self.job_batches.get(&number) {
            Some((_, known)) if *known > revision => return Default::default(),
            Some((job_batch, _)) => job_batch.jobs.iter().map(|j| j.spec.id.clone()).collect(),
            None => BTreeSet::new(),
        };
        let jobs = record.as_ref().map_or(&[][..], |r| &r.jobs);
        let current: BTreeSet<JobId> = jobs.iter().map(|j| j.spec.id.clone()).collect();
        let new = jobs.iter().filter(|j| !before.contains(&j.spec.id));
        let new: Vec<JobRecord> = new.cloned().collect();
        let left: Vec<JobId> = before.difference(&current).cloned().collect();
        for id in &left {
            self.batch_of_job.remove(id);
        }
        for id in current {
            self.batch_of_job.insert(id, number);
        }
        // A deletion is remembered too, until older changes can no longer arrive.
        self.job_batches
            .insert(number, (record.unwrap_or_default(), revision));
        (new, left)
    }

    /// Forgets job batches that were deleted at revision `up_to` or before. To be called when
    /// all changes up to this revision have been applied.
    pub fn forget_deleted(&mut self, up_to: u64) {
        self.job_batches
            .retain(|_, (job_batch, revision)| !job_batch.is_empty() || revision.0 > up_to);
    }

    /// Number of the job batch that contains a job; `None` if no batch does.
    pub fn find(&self, id: &JobId) -> Option<u64> {
        self.batch_of_job.get(id).copied()
    }

    /// The record of a job that is in a batch; `None` if no batch contains it.
    pub fn record(&self, id: &JobId) -> Option<&JobRecord> {
        let (job_batch, _) = self.job_batches.get(self.batch_of_job.get(id)?)?;
        job_batch.jobs.iter().find(|j| &j.spec.id == id)
    }

    /// Adds to a transaction that these jobs leave their job batches.
    ///
    /// Returns the transaction, and the number and new record of each changed batch (`None` if
    /// it is deleted), which are to be passed to [`JobBatches::put`] once it is applied.
    pub fn remove_jobs(
        &self,
        mut transaction: Transaction,
        ids: &BTreeSet<JobId>,
    ) -> (Transaction, Vec<(u64, Option<JobBatchRecord>)>) {
        let numbers: BTreeSet<u64> = ids.iter().filter_map(|id| self.find(id)).collect();
        let mut updates = Vec::new();
        for number in numbers {
            let Some((job_batch, revision)) = self.job_batches.get(&number) else {
                continue;
            };
            let remaining = job_batch.jobs.iter().filter(|j| !ids.contains(&j.spec.id));
            let remaining = JobBatchRecord {
                jobs: remaining.cloned().collect(),
                unreadable: job_batch.unreadable.clone(),
            };
            let key = job_batch_key(number);
            transaction = transaction.when(key.clone(), *revision);
            if remaining.is_empty() {
                transaction = transaction.delete(key);
                updates.push((number, None));
            } else {
                transaction = transaction.write(key, &remaining);
                updates.push((number, Some(remaining)));
            }
        }
        (transaction, updates)
    }
}
