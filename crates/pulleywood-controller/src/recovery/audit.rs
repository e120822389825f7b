//! The standing audit: compares the store with what this controller knows, slice by slice,
//! and takes up what was missed.

use super::Recovery;
use crate::state::{
    ControllerContext, ControllerState, JobEntry, decode_job_batch, decode_machine_batch, job_entry,
};
use crate::watch;
use pulleywood_protocol::record::Key;
use pulleywood_protocol::store::Item;
use pulleywood_protocol::{JobId, MachineId, MonotonicTime, Revision, ShardId};
use pulleywood_recovery::audit::{AuditedState, Discrepancy, Finding};
use pulleywood_transport::{RequestPriority, StoreError};
use std::sync::Arc;
use std::time::Duration;

impl Recovery {
    /// One step of the standing audit, if tokens are to spare.
    pub(super) fn audit(&mut self, context: &Arc<ControllerContext>) -> Result<(), StoreError> {
        let now = context.clock.now();
        if self.policy.audit_slice_size() == 0
            || now.since(self.audited) < self.policy.audit_interval()
        {
            return Ok(());
        }
        self.audited = now;
        let next = {
            let controller = context.controller.lock();
            if !controller.cache_loaded || !controller.may_act(now) {
                return Ok(());
            }
            self.audit.next_slice(&*controller)
        };
        let Some(next) = next else {
            return Ok(());
        };
        let passes = self.audit.counts().passes;
        let page = context.store.list_after(
            RequestPriority::Housekeeping,
            next.prefix,
            &next.after,
            self.policy.audit_slice_size(),
        )?;
        // What the slice shows was committed before: the watch has it by then.
        watch::changes(context, RequestPriority::Housekeeping, Duration::ZERO)?;
        let findings = {
            let controller = context.controller.lock();
            self.audit
                .compare_slice(&page.items, page.more, page.store_revision, &*controller)
        };
        for finding in &findings {
            take_up(context, finding);
        }
        if self.audit.counts().passes > passes {
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
            "audit: the whole store was compared"
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
        self.cached.live_jobs.contains_key(job)
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

/// Launches of a job that was taken up are held back until it has been read once more.
const VERIFY_TIME: Duration = Duration::from_secs(3);

/// Takes up what the audit found, by the paths that the watch takes.
fn take_up(context: &ControllerContext, finding: &Finding) {
    let (discrepancy, key) = (&finding.discrepancy, &finding.item.path);
    if !discrepancy.is_repairable() {
        tracing::error!("audit: {discrepancy:?} in {key}: nobody can take this up");
        return;
    }
    tracing::error!("audit: {discrepancy:?} in {key}: taken up");
    let now = context.clock.now();
    match discrepancy {
        Discrepancy::JobNotCached(id) | Discrepancy::JobNotInShard(_, id) => {
            let mut controller = context.controller.lock();
            controller.take_up_job(id, &finding.item, now);
            controller.suspend_launches(std::slice::from_ref(id), now + VERIFY_TIME);
            drop(controller);
            verify_job(context, id, &finding.item);
        }
        Discrepancy::MachineNotCached(id) | Discrepancy::MachineNotInShard(_, id) => {
            let mut controller = context.controller.lock();
            controller.take_up_machine(id, &finding.item, now);
        }
        Discrepancy::JobInUnknownShard(..) | Discrepancy::MachineInUnknownShard(..) => {}
    }
}

/// The job may have ended while it was being taken up, and the watch does not bring that
/// again: unless its record is unchanged, the job is dropped, and the next pass of the
/// audit checks it again.
fn verify_job(context: &ControllerContext, id: &JobId, item: &Item) {
    let stored = context.store.get(RequestPriority::ShardLeader, &item.path);
    if matches!(&stored, Ok(Some(now)) if now.revision == item.revision) {
        return;
    }
    tracing::info!("audit: {id} changed meanwhile");
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
    /// A live job that was missing here. An earlier leader may have launched it.
    fn take_up_job(&mut self, id: &JobId, item: &Item, now: MonotonicTime) {
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
        self.cached.live_jobs.entry(id.clone()).or_insert(0);
        let config = Arc::clone(&self.config);
        for led in self.led_shards.values_mut().filter(|led| led.loaded) {
            led.apply_job_entry(id, &entry, item.revision, true, now, &config);
        }
    }

    /// A machine that was missing here. An earlier leader may have launched tasks on it.
    fn take_up_machine(&mut self, id: &MachineId, item: &Item, now: MonotonicTime) {
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
