//! Applying the outcomes of this controller's own transactions before the watch delivers
//! them.

use super::{ControllerState, Versioned};
use pulleywood_protocol::job_batch::{BatchHead, JobBatchRecord};
use pulleywood_protocol::machine_batch::MachineBatchUpdate;
use pulleywood_protocol::record::JobRecord;
use pulleywood_protocol::{JobId, MonotonicTime, Revision};
use std::sync::Arc;

impl ControllerState {
    /// Whether a transaction of this controller changed the job at this revision or later.
    pub fn has_own_write_since(&self, id: &JobId, revision: Revision) -> bool {
        self.own_writes.get(id).is_some_and(|at| *at >= revision)
    }

    /// Whether the watch has delivered every change up to this revision, and perhaps newer
    /// changes of the same keys. The outcome of a transaction of this controller at that
    /// revision is then already applied or out of date. It must not be applied again: it
    /// could bring back jobs that have been cancelled since.
    pub fn watch_reached(&self, revision: Revision) -> bool {
        self.cached.store_revision >= revision.0
    }

    /// Removes a job that a transaction of this controller ended.
    pub fn remove_ended_job(&mut self, id: &JobId, revision: Revision) {
        self.own_writes.insert(id.clone(), revision);
        self.cached.live_jobs.remove(id);
        self.cached.jobs_with_own_record.remove(id);
        for led in self.led_shards.values_mut() {
            led.state.remove_job(id);
        }
    }

    /// Applies job batches from which a transaction of this controller took jobs; a batch
    /// without a record was deleted.
    pub fn put_job_batches(
        &mut self,
        job_batches: Vec<(u64, Option<JobBatchRecord>)>,
        revision: Revision,
        now: MonotonicTime,
    ) {
        if self.watch_reached(revision) {
            return;
        }
        for (number, record) in job_batches {
            self.put_job_batch(number, record, revision, now);
        }
        self.end_jobs_removed_from_batches(now);
    }

    /// Notes that a transaction of this controller gave a job a record of its own.
    pub fn note_own_record(&mut self, id: &JobId, revision: Revision) {
        if !self.watch_reached(revision) {
            self.cached.jobs_with_own_record.insert(id.clone());
        }
    }

    /// Applies a job batch and the head of the job batches, as a transaction of this
    /// controller wrote them.
    pub fn put_written_job_batch(
        &mut self,
        head: BatchHead,
        batch: JobBatchRecord,
        revision: Revision,
        now: MonotonicTime,
    ) {
        // Another controller may have written the next batch since, and the watch may have
        // delivered its head. An older head put in its place would stay, and every
        // submission conditioned on its revision would be refused.
        if !self.watch_reached(revision) {
            self.cached.job_batch_head = Versioned::new(head, revision);
            self.put_job_batch(head.last, Some(batch), revision, now);
        }
    }

    /// Applies a machine batch and the head of the machine batches, as a transaction of this
    /// controller wrote them.
    pub fn put_written_machine_batch(
        &mut self,
        head: BatchHead,
        machine_batch: MachineBatchUpdate,
        revision: Revision,
        now: MonotonicTime,
    ) {
        if !self.watch_reached(revision) {
            self.cached.machine_batch_head = Versioned::new(head, revision);
            self.put_machine_batches(vec![machine_batch], revision, now);
        }
    }

    /// Applies machine batches as a transaction of this controller wrote them; a batch
    /// without a record was deleted.
    pub fn put_machine_batches(
        &mut self,
        machine_batches: Vec<MachineBatchUpdate>,
        revision: Revision,
        now: MonotonicTime,
    ) {
        if self.watch_reached(revision) {
            return;
        }
        for (number, record) in machine_batches {
            self.put_machine_batch(number, record, revision, now);
        }
    }

    /// Applies the record of a job that a transaction of this controller accepted or
    /// transferred, so that led shards know it without waiting for the watch.
    pub fn put_job(&mut self, record: &JobRecord, revision: Revision, now: MonotonicTime) {
        if self.watch_reached(revision) {
            return;
        }
        let config = Arc::clone(&self.config);
        let id = &record.spec.id;
        self.own_writes.insert(id.clone(), revision);
        self.cached.live_jobs.put_written(record);
        self.cached.jobs_with_own_record.insert(id.clone());
        for led in self.led_shards.values_mut().filter(|led| led.loaded) {
            led.state.put_job(record, revision, false, now, &config);
        }
    }
}
