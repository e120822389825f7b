//! The recovery subsystem, driven as the controller drives it.

use super::Controller;
use crate::virtual_cluster::store::Store;
use pulleywood_protocol::{JobId, MachineId, MonotonicTime, ShardId};
use pulleywood_recovery::RecoveryPolicy;
use pulleywood_recovery::audit::AuditedState;
use pulleywood_recovery::fetch_gate::fetch_gate;
use pulleywood_recovery::progress::Phase;
use pulleywood_scheduler::Config;

impl Controller {
    pub(super) fn recover(
        &mut self,
        policy: &RecoveryPolicy,
        store: &mut Store,
        config: &Config,
        now: MonotonicTime,
    ) {
        for (shard, held) in &mut self.held {
            let fencing_token = held.state.fencing_token;
            if self.progress.is_complete(*shard, fencing_token) {
                held.state.fetch_gate = None;
                continue;
            }
            let snapshot = held.state.snapshot(config);
            self.progress
                .update(*shard, fencing_token, Phase::of(Some(&snapshot)), now);
            let since = self.progress.recovering_since(*shard);
            held.state.fetch_gate =
                since.and_then(|since| fetch_gate(policy, &snapshot, since, now));
        }
        if policy.audit_slice_size() == 0 || now.since(self.audited) < policy.audit_interval() {
            return;
        }
        self.audited = now;
        let mut audit = std::mem::take(&mut self.audit);
        if let Some(next) = audit.next_slice(self) {
            let limit = policy.audit_slice_size() as usize;
            let (items, more) = store.list(next.prefix, &next.after, limit);
            let revision = store.revision;
            self.findings += audit.compare_slice(&items, more, revision, self).len();
        }
        self.audit = audit;
    }
}

impl AuditedState for Controller {
    fn revision(&self) -> u64 {
        self.revision
    }
    fn shard_count(&self) -> u32 {
        u32::MAX
    }
    fn has_loaded(&self, shard: ShardId) -> bool {
        self.held.contains_key(&shard)
    }
    fn is_job_cached(&self, job: &JobId) -> bool {
        self.jobs.contains(job)
    }
    fn shard_has_job(&self, shard: ShardId, job: &JobId) -> bool {
        let held = self.held.get(&shard);
        held.is_some_and(|h| h.state.jobs.contains_key(job))
    }
    fn is_machine_cached(&self, machine: &MachineId) -> bool {
        self.machines.contains(machine)
    }
    fn shard_has_machine(&self, shard: ShardId, machine: &MachineId) -> bool {
        let held = self.held.get(&shard);
        held.is_some_and(|h| h.state.machines.contains_key(machine))
    }
}
