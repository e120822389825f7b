//! Jobs that have been accepted and have not ended, as far as the cached state shows.
//!
//! Invariant: the counted memory is the sum over the jobs that are contained.

use pulleywood_protocol::JobId;
use pulleywood_protocol::record::JobRecord;
use pulleywood_scheduler::admission::{JobMemory, job_bytes};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A live job.
#[derive(Debug)]
struct LiveJob {
    /// Number of tasks recorded as done.
    done: u32,
    /// Bytes of memory that the job counts.
    bytes: u64,
    /// The job's team; empty if its record cannot be decoded.
    team: Arc<str>,
}

/// Live jobs, and the memory that they take.
#[derive(Debug, Default)]
pub struct LiveJobs {
    jobs: BTreeMap<JobId, LiveJob>,
    memory: JobMemory,
}

impl LiveJobs {
    /// Whether the job is live.
    pub fn contains(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    /// Number of tasks of a live job that are recorded as done; `None` if it is not live.
    pub fn done(&self, id: &JobId) -> Option<u32> {
        self.jobs.get(id).map(|job| job.done)
    }

    /// Memory that the jobs take.
    pub fn memory(&self) -> &JobMemory {
        &self.memory
    }

    /// Adds a job, or replaces what is known of it.
    pub fn put(&mut self, record: &JobRecord, done: u32) {
        self.remove(&record.spec.id);
        let bytes = job_bytes(record);
        let team = self.memory.add(&record.spec.team, bytes);
        let job = LiveJob { done, bytes, team };
        self.jobs.insert(record.spec.id.clone(), job);
    }

    /// Adds a job, or replaces its record. The number of done tasks stays as it is known.
    pub fn put_written(&mut self, record: &JobRecord) {
        let done = self.done(&record.spec.id).unwrap_or(0);
        self.put(record, done);
    }

    /// Adds a job unless it is known already. No task of it is recorded as done.
    pub fn put_new(&mut self, record: &JobRecord) {
        if !self.contains(&record.spec.id) {
            self.put(record, 0);
        }
    }

    /// Adds a job whose record cannot be decoded, unless it is known already.
    pub fn put_unreadable(&mut self, id: &JobId) {
        let memory = &mut self.memory;
        self.jobs.entry(id.clone()).or_insert_with(|| LiveJob {
            done: 0,
            bytes: 0,
            team: memory.add("", 0),
        });
    }

    /// Removes a job that has ended.
    pub fn remove(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.remove(id) {
            self.memory.remove(&job.team, job.bytes);
        }
    }
}
