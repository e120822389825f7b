//! Applying the changes of stored records that the watch delivers.

use super::{
    ControllerState, JobChange, JobEntry, Versioned, decode_job_batch, decode_machine_batch,
    decode_record,
};
use pulleywood_protocol::job_batch::{BatchHead, JobBatchRecord};
use pulleywood_protocol::machine_batch::MachineBatchRecord;
use pulleywood_protocol::record::{
    FencingTokenCounter, Key, LeaseHolder, MachineRecord, QuotaRecord, TaskSet,
};
use pulleywood_protocol::store::Event;
use pulleywood_protocol::{JobId, MachineId, MonotonicTime, Revision, ShardId, cbor};
use std::sync::Arc;

/// A change of one watched key.
struct Change<'a> {
    path: &'a str,
    /// The value written; `None` if the key was deleted.
    value: Option<&'a cbor::Value>,
    revision: Revision,
    now: MonotonicTime,
}

impl Change<'_> {
    /// Decodes the written record; `None` if the key was deleted or it cannot be decoded.
    fn decode<T: serde::de::DeserializeOwned>(&self) -> Option<T> {
        decode_record(self.value, self.path)
    }

    /// Stored state of a job after its record (chunk 0) or a continuation changed; `None` if a
    /// continuation was deleted or cannot be decoded.
    fn job_entry(&self, chunk: u32) -> Option<JobEntry> {
        match (self.value, chunk) {
            (Some(value), _) => JobEntry::decode(chunk, value, self.path),
            (None, 0) => Some(JobEntry::Ended),
            (None, _) => None,
        }
    }

    /// Replaces the head of the job batches or machine batches, unless a newer one is known:
    /// this controller may have written the next batch.
    fn put_head(&self, head: &mut Versioned<BatchHead>) {
        if self.revision > head.revision {
            *head = Versioned::new(self.decode().unwrap_or_default(), self.revision);
        }
    }
}

impl ControllerState {
    /// Applies one event of the watch.
    pub fn apply_event(&mut self, event: Event, now: MonotonicTime) {
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
            // Not cached: it is read when a shard is acquired.
            Key::PreviousLeader(_) => {}
            Key::Quota(shard) => self.quota_changed(shard, &change),
            Key::MachineBatchHead => change.put_head(&mut self.cached.machine_batch_head),
            Key::MachineBatch(number) => self.machine_batch_changed(number, &change),
            Key::Job(_, id, chunk) => self.job_changed(&id, chunk, &change),
            Key::JobBatchHead => change.put_head(&mut self.cached.job_batch_head),
            Key::JobBatch(number) => self.job_batch_changed(number, &change),
        }
    }

    fn layout_changed(&mut self, change: &Change<'_>) {
        self.cached.layout = change.decode();
        let shards = self.cached.shard_count().unwrap_or(0);
        Arc::make_mut(&mut self.config).shards = shards;
    }

    fn fencing_token_changed(&mut self, change: &Change<'_>) {
        if let Some(counter) = change.decode::<FencingTokenCounter>()
            && change.revision > self.cached.fencing_token.revision
        {
            self.cached.fencing_token = Versioned::new(counter.last, change.revision);
        }
    }

    fn coordinator_lease_changed(&mut self, change: &Change<'_>) {
        self.cached.coordinator_lease = change
            .decode()
            .map(|holder| Versioned::new(holder, change.revision));
    }

    fn shard_leader_changed(&mut self, shard: ShardId, change: &Change<'_>) {
        let holder = change.decode::<LeaseHolder>();
        self.remove_lost_shard(shard, change.revision);
        match holder {
            Some(holder) => {
                self.cached.vacant_since.remove(&shard);
                let holder = Versioned::new(holder, change.revision);
                self.cached.shard_leaders.insert(shard, holder);
            }
            None => {
                self.cached.shard_leaders.remove(&shard);
                self.cached.vacant_since.entry(shard).or_insert(change.now);
            }
        }
    }

    fn quota_changed(&mut self, shard: ShardId, change: &Change<'_>) {
        if let Some(record) = change.decode::<QuotaRecord>() {
            self.put_quota(shard, record, change.revision);
        }
    }

    fn machine_batch_changed(&mut self, number: u64, change: &Change<'_>) {
        match change.value {
            None => self.put_machine_batch(number, None, change.revision, change.now),
            Some(value) => {
                if let Some(record) = decode_machine_batch(value, change.path) {
                    self.put_machine_batch(number, Some(record), change.revision, change.now);
                }
            }
        }
    }

    fn job_changed(&mut self, id: &JobId, chunk: u32, change: &Change<'_>) {
        let Some(entry) = change.job_entry(chunk) else {
            return;
        };
        if !self.has_own_write_since(id, change.revision) {
            self.cache_job_entry(id, &entry);
        }
        self.apply_to_led_shards(id, &entry, change.revision, change.now);
    }

    fn cache_job_entry(&mut self, id: &JobId, entry: &JobEntry) {
        match entry {
            JobEntry::Ended => {
                self.cached.live_jobs.remove(id);
                self.cached.jobs_with_own_record.remove(id);
            }
            JobEntry::Unreadable => {
                self.cached.jobs_with_own_record.insert(id.clone());
                self.cached.live_jobs.put_unreadable(id);
            }
            JobEntry::Record(record) => {
                self.cached.jobs_with_own_record.insert(id.clone());
                let mut done = TaskSet::new();
                done.add_chunk(&record.done, 0, self.config.chunk_tasks, record.spec.tasks);
                self.cached.live_jobs.put(record, done.len());
            }
            JobEntry::Batched(_) | JobEntry::Chunk(..) => {}
        }
    }

    fn job_batch_changed(&mut self, number: u64, change: &Change<'_>) {
        match change.value {
            None => self.put_job_batch(number, None, change.revision, change.now),
            Some(value) => {
                if let Some(record) = decode_job_batch(value, change.path) {
                    self.put_job_batch(number, Some(record), change.revision, change.now);
                }
            }
        }
    }

    /// Applies a change of a job to the loaded shards, and defers it for those that are still
    /// being loaded.
    pub(super) fn apply_to_led_shards(
        &mut self,
        id: &JobId,
        entry: &JobEntry,
        revision: Revision,
        now: MonotonicTime,
    ) {
        let config = Arc::clone(&self.config);
        // This controller's own transactions are applied to loaded shards only.
        let already_applied = self.has_own_write_since(id, revision);
        for led in self.led_shards.values_mut() {
            if led.loaded && already_applied {
                continue;
            }
            if led.loaded {
                led.apply_job_entry(id, entry, revision, false, now, &config);
            } else {
                led.deferred_changes.push(JobChange {
                    id: id.clone(),
                    entry: entry.clone(),
                    revision,
                });
            }
        }
    }

    /// Applies a job batch as stored; `None` if it was deleted.
    pub(super) fn put_job_batch(
        &mut self,
        number: u64,
        record: Option<JobBatchRecord>,
        revision: Revision,
        now: MonotonicTime,
    ) {
        let unreadable: Vec<JobId> = record.iter().flat_map(|r| r.unreadable_ids()).collect();
        for id in unreadable {
            self.cached.live_jobs.put_unreadable(&id);
            self.apply_to_led_shards(&id, &JobEntry::Unreadable, revision, now);
        }
        let (added, removed) = self.cached.job_batches.put(number, record, revision);
        for record in added {
            let id = record.spec.id.clone();
            if !self.has_own_write_since(&id, revision) {
                self.cached.live_jobs.put_new(&record);
            }
            self.apply_to_led_shards(&id, &JobEntry::Batched(Box::new(record)), revision, now);
        }
        self.cached
            .removed_from_batches
            .extend(removed.into_iter().map(|id| (id, revision)));
    }

    /// Ends each job that has been removed from its job batch and has no record of its own.
    /// Call this only when all changes of a revision have been applied: the job's own record
    /// and the change of its job batch are written in one transaction, but the watch may
    /// deliver them in either order.
    pub fn end_jobs_removed_from_batches(&mut self, now: MonotonicTime) {
        for (id, revision) in std::mem::take(&mut self.cached.removed_from_batches) {
            if self.cached.jobs_with_own_record.contains(&id)
                || self.cached.job_batches.find(&id).is_some()
            {
                continue;
            }
            self.cached.live_jobs.remove(&id);
            self.apply_to_led_shards(&id, &JobEntry::Ended, revision, now);
        }
    }

    /// Removes a led shard if its leadership key has changed since this controller acquired
    /// it.
    pub(super) fn remove_lost_shard(&mut self, shard: ShardId, revision: Revision) {
        self.led_shards
            .retain(|id, led| *id != shard || led.revision >= revision);
    }

    /// Marks the cached state as complete up to this revision, and drops what was kept only
    /// until the watch reached it.
    pub fn advance_revision(&mut self, store_revision: u64, now: MonotonicTime) {
        self.end_jobs_removed_from_batches(now);
        self.commit_times.observe(Revision(store_revision), now);
        self.cached.store_revision = self.cached.store_revision.max(store_revision);
        let complete_to = self.cached.store_revision;
        self.cached.job_batches.forget_deleted(complete_to);
        self.cached.machine_batches.forget_deleted(complete_to);
        self.own_writes.retain(|_, at| at.0 > complete_to);
    }

    /// Applies the stored quotas of a shard, unless newer ones are known.
    pub fn put_quota(&mut self, shard: ShardId, record: QuotaRecord, revision: Revision) {
        if self
            .cached
            .quotas
            .get(&shard)
            .is_some_and(|known| known.revision >= revision)
        {
            return;
        }
        if let Some(led) = self.led_shards.get_mut(&shard) {
            led.state.quotas = record.clone();
            led.state.invalidate_plan();
        }
        self.cached
            .quotas
            .insert(shard, Versioned::new(record, revision));
    }

    /// Applies a machine batch as stored; `None` if it was deleted.
    pub(super) fn put_machine_batch(
        &mut self,
        number: u64,
        record: Option<MachineBatchRecord>,
        revision: Revision,
        now: MonotonicTime,
    ) {
        let Some(changed) = self.cached.machine_batches.put(number, record, revision) else {
            return;
        };
        for (id, record) in changed.present {
            self.cached.unreadable_machines.remove(&id);
            self.put_machine(&id, record, revision, now);
        }
        if let Some((machine_batch, _)) = self.cached.machine_batches.get(number) {
            let unreadable = machine_batch.unreadable.keys().cloned();
            self.cached.unreadable_machines.extend(unreadable);
        }
        for id in changed.removed {
            self.cached.unreadable_machines.remove(&id);
            self.cached.machines.remove(&id);
            for led in self.led_shards.values_mut() {
                led.state.remove_machine(&id);
            }
        }
    }

    /// Applies the stored record of a machine, unless a newer one is known.
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
            .is_some_and(|(_, known)| *known >= revision)
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
                // Only a transaction of this leader moves a machine to another shard, while
                // it is idle. A shard that was just loaded may have a newer record than the
                // watch: if an older record dropped the machine, it would be added again as
                // one on which no previous leader launched anything.
                led.state.remove_machine(id);
            }
        }
        self.cached.machines.insert(id.clone(), (record, revision));
    }
}
