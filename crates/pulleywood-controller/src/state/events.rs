//! Changes of stored records that the watch brings.

use super::{
    ControllerState, DeferredChange, JobEntry, Versioned, read, read_job_batch, read_machine_batch,
};
use pulleywood_protocol::job_batch::{BatchHead, JobBatchRecord};
use pulleywood_protocol::machine_batch::MachineBatchRecord;
use pulleywood_protocol::record::{
    FencingTokenCounter, Key, LeaseHolder, MachineRecord, QuotaRecord, TaskSet,
};
use pulleywood_protocol::store::Event;
use pulleywood_protocol::{JobId, MachineId, MonotonicTime, Revision, ShardId, cbor};
use std::sync::Arc;

/// One watched change of a known key.
struct Change<'a> {
    path: &'a str,
    /// The value written; none if the key was deleted.
    value: Option<&'a cbor::Value>,
    revision: Revision,
    now: MonotonicTime,
}

impl Change<'_> {
    /// The record written, if there is one and it can be read.
    fn read<T: serde::de::DeserializeOwned>(&self) -> Option<T> {
        read(self.value, self.path)
    }

    /// The entry of a job whose record (chunk 0) or continuation changed.
    fn job_entry(&self, chunk: u32) -> Option<JobEntry> {
        match (self.value, chunk) {
            (Some(value), _) => JobEntry::read(chunk, value, self.path),
            (None, 0) => Some(JobEntry::Gone),
            (None, _) => None,
        }
    }

    /// Puts the head of job batches or machine batches, unless a newer one is known: this
    /// controller may have written the next batch.
    fn put_head(&self, head: &mut Versioned<BatchHead>) {
        if self.revision > head.revision {
            *head = Versioned::new(self.read().unwrap_or_default(), self.revision);
        }
    }
}

impl ControllerState {
    /// Applies one watched change.
    pub fn event(&mut self, event: Event, now: MonotonicTime) {
        let (path, written) = match (&event.write, &event.delete) {
            (Some(path), _) => (path.clone(), true),
            (None, Some(path)) => (path.clone(), false),
            _ => return,
        };
        let Some(key) = Key::parse(&path) else { return };
        let change = Change {
            path: &path,
            value: event.value.as_ref().filter(|_| written),
            revision: event.revision,
            now,
        };
        match key {
            Key::Layout => self.layout_changed(&change),
            Key::FencingToken => self.fencing_token_changed(&change),
            Key::CoordinatorLease => self.coordinator_lease_changed(&change),
            Key::ShardLeader(shard) => self.shard_leader_changed(shard, &change),
            // Read when a shard is acquired.
            Key::PreviousLeader(_) => {}
            Key::Quota(shard) => self.quota_changed(shard, &change),
            Key::MachineBatchHead => change.put_head(&mut self.cached.machine_batch_head),
            Key::MachineBatch(n) => self.machine_batch_changed(n, &change),
            Key::Job(_, id, chunk) => self.job_changed(&id, chunk, &change),
            Key::JobBatchHead => change.put_head(&mut self.cached.job_batch_head),
            Key::JobBatch(n) => self.job_batch_changed(n, &change),
        }
    }

    fn layout_changed(&mut self, change: &Change<'_>) {
        self.cached.layout = change.read();
        let shards = self.cached.shard_count().unwrap_or(0);
        Arc::make_mut(&mut self.config).shards = shards;
    }

    fn fencing_token_changed(&mut self, change: &Change<'_>) {
        if let Some(counter) = change.read::<FencingTokenCounter>()
            && change.revision > self.cached.fencing_token.revision
        {
            self.cached.fencing_token = Versioned::new(counter.last, change.revision);
        }
    }

    fn coordinator_lease_changed(&mut self, change: &Change<'_>) {
        self.cached.coordinator_lease = change
            .read()
            .map(|holder| Versioned::new(holder, change.revision));
    }

    fn shard_leader_changed(&mut self, shard: ShardId, change: &Change<'_>) {
        let holder = change.read::<LeaseHolder>();
        self.lost_since(shard, change.revision);
        match holder {
            Some(holder) => {
                self.cached.free_since.remove(&shard);
                let holder = Versioned::new(holder, change.revision);
                self.cached.shards.insert(shard, holder);
            }
            None => {
                self.cached.shards.remove(&shard);
                self.cached.free_since.entry(shard).or_insert(change.now);
            }
        }
    }

    fn quota_changed(&mut self, shard: ShardId, change: &Change<'_>) {
        if let Some(record) = change.read::<QuotaRecord>() {
            self.put_quota(shard, record, change.revision);
        }
    }

    fn machine_batch_changed(&mut self, n: u64, change: &Change<'_>) {
        match change.value {
            None => self.put_machine_batch(n, None, change.revision, change.now),
            Some(value) => {
                if let Some(record) = read_machine_batch(value, change.path) {
                    self.put_machine_batch(n, Some(record), change.revision, change.now);
                }
            }
        }
    }

    fn job_changed(&mut self, id: &JobId, chunk: u32, change: &Change<'_>) {
        let Some(entry) = change.job_entry(chunk) else {
            return;
        };
        if !self.wrote_since(id, change.revision) {
            self.cache_job_entry(id, &entry);
        }
        self.notify_shards(id, &entry, change.revision, change.now);
    }

    fn cache_job_entry(&mut self, id: &JobId, entry: &JobEntry) {
        match entry {
            JobEntry::Gone => {
                self.cached.jobs.remove(id);
                self.cached.own_records.remove(id);
            }
            JobEntry::Unreadable => {
                self.cached.own_records.insert(id.clone());
                self.cached.jobs.entry(id.clone()).or_insert(0);
            }
            JobEntry::Record(record) => {
                self.cached.own_records.insert(id.clone());
                let mut done = TaskSet::new();
                done.add_chunk(&record.done, 0, self.config.chunk_tasks, record.spec.tasks);
                self.cached.jobs.insert(id.clone(), done.len());
            }
            JobEntry::Batched(_) | JobEntry::Chunk(..) => {}
        }
    }

    fn job_batch_changed(&mut self, n: u64, change: &Change<'_>) {
        match change.value {
            None => self.put_job_batch(n, None, change.revision, change.now),
            Some(value) => {
                if let Some(record) = read_job_batch(value, change.path) {
                    self.put_job_batch(n, Some(record), change.revision, change.now);
                }
            }
        }
    }

    /// Applies a change of a job to the led shards, or defers it for those that are
    /// still being loaded.
    pub(super) fn notify_shards(
        &mut self,
        id: &JobId,
        entry: &JobEntry,
        revision: Revision,
        now: MonotonicTime,
    ) {
        let config = Arc::clone(&self.config);
        // Shards that are still being loaded do not know of own transactions.
        let known = self.wrote_since(id, revision);
        for led in self.led_shards.values_mut() {
            if led.loaded && known {
                continue;
            }
            if led.loaded {
                led.job_event(id, entry, revision, false, now, &config);
            } else {
                led.deferred_changes.push(DeferredChange {
                    id: id.clone(),
                    entry: entry.clone(),
                    revision,
                });
            }
        }
    }

    /// A job batch as stored, or its end.
    pub(super) fn put_job_batch(
        &mut self,
        n: u64,
        record: Option<JobBatchRecord>,
        revision: Revision,
        now: MonotonicTime,
    ) {
        let unreadable: Vec<JobId> = record.iter().flat_map(|r| r.unreadable_ids()).collect();
        for id in unreadable {
            self.cached.jobs.entry(id.clone()).or_insert(0);
            self.notify_shards(&id, &JobEntry::Unreadable, revision, now);
        }
        let (new, left) = self.cached.job_batches.put(n, record, revision);
        for record in new {
            let id = record.spec.id.clone();
            if !self.wrote_since(&id, revision) {
                self.cached.jobs.entry(id.clone()).or_insert(0);
            }
            self.notify_shards(&id, &JobEntry::Batched(Box::new(record)), revision, now);
        }
        self.cached
            .left_batches
            .extend(left.into_iter().map(|id| (id, revision)));
    }

    /// All changes of some revisions have been applied: a job that left its job batch
    /// and has no record of its own is final. Its record may come before or after the
    /// job batch's change, though both are of one transaction.
    pub fn apply_job_batches(&mut self, now: MonotonicTime) {
        for (id, revision) in std::mem::take(&mut self.cached.left_batches) {
            if self.cached.own_records.contains(&id) || self.cached.job_batches.find(&id).is_some()
            {
                continue;
            }
            self.cached.jobs.remove(&id);
            self.notify_shards(&id, &JobEntry::Gone, revision, now);
        }
    }

    /// A shard's leadership key changed after it was acquired here: it is no longer led.
    pub(super) fn lost_since(&mut self, shard: ShardId, revision: Revision) {
        self.led_shards
            .retain(|p, led| *p != shard || led.revision >= revision);
    }

    /// The cached state is complete up to this revision.
    pub fn complete(&mut self, store_revision: u64, now: MonotonicTime) {
        self.apply_job_batches(now);
        self.cached.store_revision = self.cached.store_revision.max(store_revision);
        let upto = self.cached.store_revision;
        self.cached.job_batches.forget(upto);
        self.cached.machine_batches.forget(upto);
        self.own_writes.retain(|_, at| at.0 > upto);
    }

    /// A shard's quotas as stored.
    pub fn put_quota(&mut self, p: ShardId, record: QuotaRecord, revision: Revision) {
        if self
            .cached
            .quotas
            .get(&p)
            .is_some_and(|known| known.revision >= revision)
        {
            return;
        }
        if let Some(led) = self.led_shards.get_mut(&p) {
            led.state.quotas = record.clone();
            led.state.invalidate_plan();
        }
        self.cached
            .quotas
            .insert(p, Versioned::new(record, revision));
    }

    /// A machine batch as stored, or its end.
    pub(super) fn put_machine_batch(
        &mut self,
        n: u64,
        record: Option<MachineBatchRecord>,
        revision: Revision,
        now: MonotonicTime,
    ) {
        let Some(changed) = self.cached.machine_batches.put(n, record, revision) else {
            return;
        };
        for (id, record) in changed.held {
            self.cached.unreadable_machines.remove(&id);
            self.put_machine(&id, record, revision, now);
        }
        if let Some((machine_batch, _)) = self.cached.machine_batches.get(n) {
            let unreadable = machine_batch.unreadable.keys().cloned();
            self.cached.unreadable_machines.extend(unreadable);
        }
        for id in changed.gone {
            self.cached.unreadable_machines.remove(&id);
            self.cached.machines.remove(&id);
            for led in self.led_shards.values_mut() {
                led.state.remove_machine(&id);
            }
        }
    }

    /// A machine's record as stored.
    pub(super) fn put_machine(
        &mut self,
        id: &MachineId,
        record: MachineRecord,
        revision: Revision,
        now: MonotonicTime,
    ) {
        if self
            .cached
            .machines
            .get(id)
            .is_some_and(|(_, s)| *s >= revision)
        {
            return;
        }
        for (shard, led) in &mut self.led_shards {
            if *shard == record.shard {
                led.state
                    .put_machine(id, record.clone(), revision, false, now);
            } else if led
                .state
                .machines
                .get(id)
                .is_some_and(|m| m.revision < revision)
            {
                // Only this leader's own transaction moves it away, while idle. A shard
                // that was just loaded may know a newer record than the watch: dropped
                // for an older one, the machine would come back as one on which no
                // previous leader launched anything.
                led.state.remove_machine(id);
            }
        }
        self.cached.machines.insert(id.clone(), (record, revision));
    }
}
