//! Machines that have not reported since this leader acquired the shard.
//!
//! Invariant: a job that a previous leader may have launched waits while a machine that
//! has not reported may run its tasks.

use crate::config::Config;
use crate::shard::machine::Machine;
use crate::shard::{Job, ShardState};
use pulleywood_protocol::record::MachineRecord;

impl ShardState {
    /// Whether any machine may still run tasks of a previous leader that have not been
    /// reported to this one.
    pub fn is_rebuilding(&self) -> bool {
        self.unreadable_machines || self.machines.values().any(|m| m.unreported)
    }

    /// Whether any unreported machine may still run a task of this job.
    pub fn may_run_on_unreported_machine(&self, job: &Job, config: &Config) -> bool {
        let unseen = |m: &Machine| {
            let MachineRecord {
                flavor, zone, spot, ..
            } = &m.record;
            m.unreported && config.may_run_on(&job.spec, flavor, zone, *spot)
        };
        job.maybe_launched_before
            && (self.unreadable_machines || self.machines.values().any(unseen))
    }
}
