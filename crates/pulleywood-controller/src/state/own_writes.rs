//! Outcomes of this controller's own transactions, applied before the watch brings them.

use super::{ControllerState, Versioned};
use pulleywood_protocol::job_batch::{BatchHead, JobBatchRecord};
use pulleywood_protocol::machine_batch::MachineBatchAfter;
use pulleywood_protocol::record::JobRecord;
use pulleywood_protocol::{JobId, MonotonicTime, Revision};
use std::sync::Arc;

impl ControllerState {
    /// A transaction of this controller changed the job at this revision or later.
    pub fn wrote_since(&self, id: &JobId, revision: Revision) -> bool {
        self.own_writes.get(id).is_some_and(|at| *at >= revision)
    }

    /// The watch has brought every change up to this revision, and perhaps newer
    /// ones of the same keys. The outcome of a transaction of this controller at that
    /// revision is then known already, or out of date, and must not be applied: it could
    /// bring back jobs that have been cancelled since.
    pub fn passed(&self, revision: Revision) -> bool {
        self.cached.store_revision >= revision.0
    }

    /// A transaction of this controller ended a job.
    pub fn end_job(&mut self, id: &JobId, revision: Revision) {
        self.own_writes.insert(id.clone(), revision);
        self.cached.jobs.remove(id);
        self.cached.own_records.remove(id);
        for led in self.led_shards.values_mut() {
            led.state.remove_job(id);
        }
    }

    /// A transaction of this controller took jobs out of job batches.
    pub fn left_job_batches(
        &mut self,
        job_batches: Vec<(u64, Option<JobBatchRecord>)>,
        revision: Revision,
        now: MonotonicTime,
    ) {
        if self.passed(revision) {
            return;
        }
        for (n, record) in job_batches {
            self.put_job_batch(n, record, revision, now);
        }
        self.apply_job_batches(now);
    }

    /// A transaction of this controller gave a job a record of its own.
    pub fn own_record(&mut self, id: &JobId, revision: Revision) {
        if !self.passed(revision) {
            self.cached.own_records.insert(id.clone());
        }
    }

    /// A transaction of this controller wrote a job batch, and the job batches' head.
    pub fn wrote_job_batch(
        &mut self,
        head: BatchHead,
        batch: JobBatchRecord,
        revision: Revision,
        now: MonotonicTime,
    ) {
        // Another controller may have written the next one meanwhile. The watch has
        // brought its head then: an older one would stay, and every submission that
        // rests on it would be refused.
        if !self.passed(revision) {
            self.cached.job_batch_head = Versioned::new(head, revision);
            self.put_job_batch(head.last, Some(batch), revision, now);
        }
    }

    /// A transaction of this controller wrote a machine batch, and the machine batches' head.
    pub fn wrote_machine_batch(
        &mut self,
        head: BatchHead,
        machine_batch: MachineBatchAfter,
        revision: Revision,
        now: MonotonicTime,
    ) {
        if !self.passed(revision) {
            self.cached.machine_batch_head = Versioned::new(head, revision);
            self.put_machine_batches(vec![machine_batch], revision, now);
        }
    }

    /// A transaction of this controller changed machine batches.
    pub fn put_machine_batches(
        &mut self,
        machine_batches: Vec<MachineBatchAfter>,
        revision: Revision,
        now: MonotonicTime,
    ) {
        if self.passed(revision) {
            return;
        }
        for (n, record) in machine_batches {
            self.put_machine_batch(n, record, revision, now);
        }
    }

    /// A job accepted or transferred by a transaction of this controller: led shards know
    /// it at once.
    pub fn put_job(&mut self, record: &JobRecord, revision: Revision, now: MonotonicTime) {
        if self.passed(revision) {
            return;
        }
        let config = Arc::clone(&self.config);
        let id = &record.spec.id;
        self.own_writes.insert(id.clone(), revision);
        self.cached.jobs.entry(id.clone()).or_insert(0);
        self.cached.own_records.insert(id.clone());
        for led in self.led_shards.values_mut().filter(|led| led.loaded) {
            led.state.put_job(record, revision, false, now, &config);
        }
    }
}
