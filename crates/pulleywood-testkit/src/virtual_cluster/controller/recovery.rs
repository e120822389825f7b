//! Runs the real recovery subsystem in the same way as the controller process does.

use super::Controller;
use crate::virtual_cluster::store::Store;
use pulleywood_protocol::{JobId, MachineId, MonotonicTime, ShardId};
use pulleywood_recovery::RecoveryPolicy;
use pulleywood_recovery::audit::AuditedState;
use pulleywood_recovery::fetch_gate::fetch_gate;
use pulleywood_recovery::progress::Phase;
use pulleywood_scheduler::Config;

impl Controller {
    /// Updates the phase and the fetch gate of each led shard, and audits the next slice of the
    /// store when it is due.
    pub(super) fn run_recovery(
        &mut self,
        policy: &RecoveryPolicy,
        store: &mut Store,
        config: &Config,
        now: MonotonicTime,
    ) {
        for (shard, led) in &mut self.led_shards {
            let fencing_token = led.state.fencing_token;
            if self.progress.is_complete(*shard, fencing_token) {
                led.state.fetch_gate = None;
                continue;
            }
            let snapshot = led.state.snapshot(config);
            self.progress
                .update(*shard, fencing_token, Phase::of(Some(&snapshot)), now);
            let recovering_since = self.progress.recovering_since(*shard);
            led.state.fetch_gate =
                recovering_since.and_then(|since| fetch_gate(policy, &snapshot, since, now));
        }
        if policy.audit_slice_size() == 0 || now.since(self.last_audit) < policy.audit_interval() {
            return;
        }
        self.last_audit = now;
        let mut audit = std::mem::take(&mut self.audit);
        if let Some(next) = audit.next_slice(self) {
            let slice_size = policy.audit_slice_size() as usize;
            let (items, more) = store.list(next.prefix, &next.after, slice_size);
            let revision = store.revision;
            self.audit_findings += audit.compare_slice(&items, more, revision, self).len();
        }
        self.audit = audit;
    }
}

impl AuditedState for Controller {
    fn revision(&self) -> u64 {
        self.cached_revision
    }
    fn shard_count(&self) -> u32 {
        u32::MAX
    }
    fn has_loaded(&self, shard: ShardId) -> bool {
        self.led_shards.contains_key(&shard)
    }
    fn is_job_cached(&self, job: &JobId) -> bool {
        self.cached_jobs.contains(job)
    }
    fn shard_has_job(&self, shard: ShardId, job: &JobId) -> bool {
        let led = self.led_shards.get(&shard);
        led.is_some_and(|led| led.state.jobs.contains_key(job))
    }
    fn is_machine_cached(&self, machine: &MachineId) -> bool {
        self.cached_machines.contains(machine)
    }
    fn shard_has_machine(&self, shard: ShardId, machine: &MachineId) -> bool {
        let led = self.led_shards.get(&shard);
        led.is_some_and(|led| led.state.machines.contains_key(machine))
    }
}
