//! The continuous audit: compares the store with this controller's state, slice by slice, and
//! loads records that are missing from that state.

use super::Recovery;
use crate::state::{
    ControllerContext, ControllerState, JobEntry, decode_job_batch, decode_machine_batch, job_entry,
};
use crate::watch;
use pulleywood_protocol::record::Key;
use pulleywood_protocol::store::Item;
use pulleywood_protocol::{JobId, MachineId, MonotonicTime, Revision, ShardId};
use pulleywood_recovery::audit::{AuditedState, Discrepancy, Finding};
use pulleywood_scheduler::launch_validity::LAUNCH_SUSPENSION;
use pulleywood_transport::{RequestPriority, StoreError};
use std::sync::Arc;
use std::time::Duration;

impl Recovery {
    /// Reads and compares the next slice of the store, if the audit is due and the budget has
    /// tokens for it.
    pub(super) fn audit(&mut self, context: &Arc<ControllerContext>) -> Result<(), StoreError> {
        let now = context.clock.now();
        if self.policy.audit_slice_size() == 0
            || now.since(self.last_audit) < self.policy.audit_interval()
        {
            return Ok(());
        }
        self.last_audit = now;
        let next_read = {
            let controller = context.controller.lock();
            if !controller.cache_loaded || !controller.may_act(now) {
                return Ok(());
            }
            self.audit.next_slice(&*controller)
        };
        let Some(next_read) = next_read else {
            return Ok(());
        };
        let passes_before = self.audit.counts().passes;
        let page = context.store.list_after(
            RequestPriority::Housekeeping,
            next_read.prefix,
            &next_read.after,
            self.policy.audit_slice_size(),
        )?;
        // The slice contains only earlier commits, so this read of changes covers all of them.
        watch::read_changes(context, RequestPriority::Housekeeping, Duration::ZERO)?;
        let findings = {
            let controller = context.controller.lock();
            self.audit
                .compare_slice(&page.items, page.more, page.store_revision, &*controller)
        };
        for finding in &findings {
            load_missing(context, finding);
        }
        if self.audit.counts().passes > passes_before {
            self.log_pass();
        }
        Ok(())
    }

    fn log_pass(&self) {
        let counts = self.audit.counts();
        tracing::debug!(
            passes = counts.passes,
            slices = counts.slices,
            keys = counts.keys,
            suspects = counts.suspects,
            findings = counts.findings,
            "audit compared the whole store"
        );
    }
}

impl AuditedState for ControllerState {
    fn revision(&self) -> u64 {
        self.cached.store_revision
    }

    fn shard_count(&self) -> u32 {
        self.cached.shard_count().unwrap_or(0)
    }

    fn has_loaded(&self, shard: ShardId) -> bool {
        self.led_shards.get(&shard).is_some_and(|led| led.loaded)
    }

    fn is_job_cached(&self, job: &JobId) -> bool {
        self.is_live(job)
    }

    fn shard_has_job(&self, shard: ShardId, job: &JobId) -> bool {
        let led = self.led_shards.get(&shard);
        led.is_some_and(|led| {
            led.state.jobs.contains_key(job) || led.state.unreadable_jobs.contains(job)
        })
    }

    fn is_machine_cached(&self, machine: &MachineId) -> bool {
        self.cached.machines.contains_key(machine)
    }

    fn shard_has_machine(&self, shard: ShardId, machine: &MachineId) -> bool {
        let led = self.led_shards.get(&shard);
        led.is_some_and(|led| led.state.machines.contains_key(machine))
    }
}

/// Loads a record that the audit found missing, in the same way as the watch would.
fn load_missing(context: &ControllerContext, finding: &Finding) {
    let (discrepancy, key) = (&finding.discrepancy, &finding.item.path);
    if !discrepancy.is_repairable() {
        tracing::error!(
            "audit did not load record {key}, which is missing from the controller state \
             ({discrepancy:?}): its shard does not exist"
        );
        return;
    }
    tracing::error!(
        "audit started to load record {key}, which is missing from the controller state: {discrepancy:?}"
    );
    let now = context.clock.now();
    match discrepancy {
        Discrepancy::JobNotCached(id) | Discrepancy::JobNotInShard(_, id) => {
            let mut controller = context.controller.lock();
            // The job may have been cancelled since its record was read. The suspension lasts for
            // longer than reading the record once more.
            controller.load_missing_job(id, &finding.item, now);
            controller.suspend_launches(std::slice::from_ref(id), now + LAUNCH_SUSPENSION, now);
            drop(controller);
            drop_if_changed(context, id, &finding.item);
        }
        Discrepancy::MachineNotCached(id) | Discrepancy::MachineNotInShard(_, id) => {
            let mut controller = context.controller.lock();
            controller.load_missing_machine(id, &finding.item, now);
        }
        Discrepancy::JobInUnknownShard(..) | Discrepancy::MachineInUnknownShard(..) => {}
    }
}

/// Drops a loaded job unless its record is unchanged. The job may have ended while it was
/// being loaded, and the watch does not deliver that end again. The next pass of the audit
/// checks the job again.
fn drop_if_changed(context: &ControllerContext, id: &JobId, item: &Item) {
    let stored = context.store.get(RequestPriority::ShardLeader, &item.path);
    if matches!(&stored, Ok(Some(current)) if current.revision == item.revision) {
        return;
    }
    tracing::info!("audit dropped job {id}: its record changed or could not be read again");
    let now = context.clock.now();
    let mut controller = context.controller.lock();
    controller.cached.live_jobs.remove(id);
    let after = Revision(item.revision.0.max(controller.cached.store_revision) + 1);
    let config = Arc::clone(&controller.config);
    for led in controller.led_shards.values_mut().filter(|led| led.loaded) {
        led.apply_job_entry(id, &JobEntry::Ended, after, false, now, &config);
    }
}

impl ControllerState {
    /// Adds a live job that was missing from the cached state or from a led shard. A previous
    /// leader may have launched tasks of it.
    fn load_missing_job(&mut self, id: &JobId, item: &Item, now: MonotonicTime) {
        let entry = match Key::parse(&item.path) {
            Some(Key::JobBatch(_)) => {
                let batch = decode_job_batch(&item.value, &item.path);
                let record = batch.and_then(|b| b.jobs.into_iter().find(|j| j.spec.id == *id));
                record.map(|r| JobEntry::Batched(Box::new(r)))
            }
            _ => job_entry(item).map(|(_, entry)| entry),
        };
        let Some(entry) = entry else { return };
        if self.has_own_write_since(id, item.revision) {
            return;
        }
        match &entry {
            JobEntry::Record(record) | JobEntry::Batched(record) => {
                self.cached.live_jobs.put_new(record);
            }
            _ => self.cached.live_jobs.put_unreadable(id),
        }
        let config = Arc::clone(&self.config);
        for led in self.led_shards.values_mut().filter(|led| led.loaded) {
            led.apply_job_entry(id, &entry, item.revision, true, now, &config);
        }
    }

    /// Adds a machine that was missing from the cached state or from its shard. A previous
    /// leader may have launched tasks on it.
    fn load_missing_machine(&mut self, id: &MachineId, item: &Item, now: MonotonicTime) {
        let Some(batch) = decode_machine_batch(&item.value, &item.path) else {
            return;
        };
        let Some(record) = batch.machines.get(id) else {
            return;
        };
        for (shard, led) in &mut self.led_shards {
            if led.loaded && *shard == record.shard {
                let record = record.clone();
                led.state.put_machine(id, record, item.revision, true, now);
            }
        }
        let known = (record.clone(), item.revision);
        self.cached.machines.insert(id.clone(), known);
    }
}

#[cfg(test)]
mod tests;
