//! Background audit that reads the store in slices at a low rate and compares each slice
//! with the state of this controller.
//!
//! A discrepancy becomes a finding only if two reads of the same slice show it. The second
//! read waits until the cached state has reached the store revision of the first, so that a
//! record which the watch had not yet delivered is not reported.

use pulleywood_protocol::job_batch::JobBatchRecord;
use pulleywood_protocol::machine_batch::MachineBatchRecord;
use pulleywood_protocol::record::{JOB_BATCHES, JOBS, JobRecord, Key, MACHINE_BATCHES};
use pulleywood_protocol::store::Item;
use pulleywood_protocol::{JobId, MachineId, Revision, ShardId, cbor};
use std::collections::BTreeMap;

/// Key prefixes to audit, in this order.
const AUDITED_PREFIXES: [&str; 3] = [JOB_BATCHES, JOBS, MACHINE_BATCHES];

/// The part of a controller's state that the audit compares with the store.
pub trait AuditedState {
    /// The store revision up to which the cached state is complete.
    fn revision(&self) -> u64;
    /// Number of shards in the layout; 0 if the layout has not been read.
    fn shard_count(&self) -> u32;
    /// Whether this controller leads the shard and has loaded its records.
    fn has_loaded(&self, shard: ShardId) -> bool;
    /// Whether the cached state lists the job as live.
    fn is_job_cached(&self, job: &JobId) -> bool;
    /// Whether the loaded state of the shard contains the job.
    fn shard_has_job(&self, shard: ShardId, job: &JobId) -> bool;
    /// Whether the cached state contains the machine.
    fn is_machine_cached(&self, machine: &MachineId) -> bool;
    /// Whether the loaded state of the shard contains the machine.
    fn shard_has_machine(&self, shard: ShardId, machine: &MachineId) -> bool;
}

/// A difference between a stored record and the controller's state.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Discrepancy {
    /// A live job is not in the cached state, so users would get 404 for it.
    JobNotCached(JobId),
    /// A live job is not in the loaded state of a shard that runs some of its tasks.
    JobNotInShard(ShardId, JobId),
    /// The record assigns tasks of a live job to a shard that does not exist.
    JobInUnknownShard(ShardId, JobId),
    /// A machine is not in the cached state.
    MachineNotCached(MachineId),
    /// A machine is not in the loaded state of its shard.
    MachineNotInShard(ShardId, MachineId),
    /// The record assigns a machine to a shard that does not exist.
    MachineInUnknownShard(ShardId, MachineId),
}

impl Discrepancy {
    /// Whether the controller can repair it by loading the record. If not, an operator has
    /// to correct the stored record.
    pub fn is_repairable(&self) -> bool {
        !matches!(
            self,
            Discrepancy::JobInUnknownShard(..) | Discrepancy::MachineInUnknownShard(..)
        )
    }
}

/// A discrepancy that both reads of a slice showed.
#[derive(Debug, Clone)]
pub struct Finding {
    /// The discrepancy.
    pub discrepancy: Discrepancy,
    /// The stored record as of the second read.
    pub item: Item,
}

/// A slice of the store to read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SliceRequest {
    /// Key prefix to list.
    pub prefix: &'static str,
    /// Start after this key; empty for the first slice of the prefix.
    pub after: String,
    /// Whether the previous slice is read again, to confirm its discrepancies.
    pub is_second_read: bool,
}

/// Counters of the audit since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AuditCounts {
    /// Slices read, second reads included.
    pub slices: u64,
    /// Keys whose comparison is complete; those read twice count once.
    pub keys: u64,
    /// Complete passes over the audited keys.
    pub passes: u64,
    /// Discrepancies at a first read.
    pub suspects: u64,
    /// Discrepancies at both reads.
    pub findings: u64,
}

/// Position of the audit, and the discrepancies that await a second read.
#[derive(Debug, Default)]
pub struct Audit {
    /// Index into [`AUDITED_PREFIXES`].
    prefix_index: usize,
    /// Key after which the next slice begins.
    after: String,
    /// Discrepancies at the first read with the key of the record, and the revision at
    /// which the record was read.
    suspects: BTreeMap<(Discrepancy, String), Revision>,
    /// Store revision of the first read. The cached state must reach it before the second
    /// read.
    first_read_revision: u64,
    counts: AuditCounts,
}

impl Audit {
    /// The slice to read next; `None` while the cached state is older than the first read.
    pub fn next_slice(&self, state: &impl AuditedState) -> Option<SliceRequest> {
        let is_second_read = !self.suspects.is_empty();
        if is_second_read && state.revision() < self.first_read_revision {
            return None;
        }
        Some(SliceRequest {
            prefix: AUDITED_PREFIXES[self.prefix_index],
            after: self.after.clone(),
            is_second_read,
        })
    }

    /// The counters since the process started.
    pub fn counts(&self) -> AuditCounts {
        self.counts
    }

    /// Compares a slice with the controller's state and returns the discrepancies that both
    /// reads showed.
    ///
    /// `revision`: store revision of the read. `more`: whether further keys of the prefix
    /// follow.
    pub fn compare_slice(
        &mut self,
        items: &[Item],
        more: bool,
        revision: u64,
        state: &impl AuditedState,
    ) -> Vec<Finding> {
        self.counts.slices += 1;
        let suspects = std::mem::take(&mut self.suspects);
        let is_second_read = !suspects.is_empty();
        let mut findings = Vec::new();
        for item in items {
            for discrepancy in compare(item, state) {
                let key = (discrepancy, item.path.clone());
                // Ignores a record that changed between the two reads.
                match suspects.get(&key) {
                    Some(revision) if *revision == item.revision => findings.push(Finding {
                        discrepancy: key.0,
                        item: item.clone(),
                    }),
                    _ if is_second_read => {}
                    _ => drop(self.suspects.insert(key, item.revision)),
                }
            }
        }
        self.counts.suspects += self.suspects.len() as u64;
        self.counts.findings += findings.len() as u64;
        if self.suspects.is_empty() {
            self.counts.keys += items.len() as u64;
            self.advance(items, more);
        } else {
            self.first_read_revision = revision;
        }
        findings
    }

    fn advance(&mut self, items: &[Item], more: bool) {
        match items.last().filter(|_| more) {
            Some(last) => self.after.clone_from(&last.path),
            None => {
                self.after.clear();
                self.prefix_index += 1;
            }
        }
        if self.prefix_index == AUDITED_PREFIXES.len() {
            self.prefix_index = 0;
            self.counts.passes += 1;
        }
    }
}

fn compare(item: &Item, state: &impl AuditedState) -> Vec<Discrepancy> {
    match Key::parse(&item.path) {
        Some(Key::Job(_, _, 0)) => match cbor::from_value::<JobRecord>(&item.value) {
            Ok(record) => compare_job(&record, state),
            Err(_) => Vec::new(),
        },
        Some(Key::JobBatch(_)) => {
            let batch = JobBatchRecord::from_value(&item.value).unwrap_or_default();
            let jobs = batch.jobs.iter();
            jobs.flat_map(|record| compare_job(record, state)).collect()
        }
        Some(Key::MachineBatch(_)) => {
            let batch = MachineBatchRecord::from_value(&item.value).unwrap_or_default();
            let machines = batch.machines.iter();
            machines
                .flat_map(|(id, record)| compare_machine(id, record.shard, state))
                .collect()
        }
        _ => Vec::new(),
    }
}

fn compare_machine(id: &MachineId, shard: ShardId, state: &impl AuditedState) -> Vec<Discrepancy> {
    let mut discrepancies = Vec::new();
    if !state.is_machine_cached(id) {
        discrepancies.push(Discrepancy::MachineNotCached(id.clone()));
    }
    if shard.0 >= state.shard_count() {
        discrepancies.push(Discrepancy::MachineInUnknownShard(shard, id.clone()));
    } else if state.has_loaded(shard) && !state.shard_has_machine(shard, id) {
        discrepancies.push(Discrepancy::MachineNotInShard(shard, id.clone()));
    }
    discrepancies
}

fn compare_job(record: &JobRecord, state: &impl AuditedState) -> Vec<Discrepancy> {
    let id = &record.spec.id;
    let mut discrepancies = Vec::new();
    if !state.is_job_cached(id) {
        discrepancies.push(Discrepancy::JobNotCached(id.clone()));
    }
    for shard in record.shards() {
        if record.share(shard).is_empty() {
            continue;
        }
        if shard.0 >= state.shard_count() {
            discrepancies.push(Discrepancy::JobInUnknownShard(shard, id.clone()));
        } else if state.has_loaded(shard) && !state.shard_has_job(shard, id) {
            discrepancies.push(Discrepancy::JobNotInShard(shard, id.clone()));
        }
    }
    discrepancies
}
