//! Counts of a shard's machines and tasks, for tracking its recovery.

use crate::config::Config;
use crate::shard::machine::Machine;
use crate::shard::{Job, ShardState};
use pulleywood_protocol::{FencingToken, Rank, Shape, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// Counts of a shard's machines and tasks at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShardSnapshot {
    /// The shard that is described.
    pub shard: ShardId,
    /// The fencing token under which the shard's leader acquired it.
    pub fencing_token: FencingToken,
    /// Number of machines of the shard.
    pub machines: usize,
    /// Machines whose heartbeats have shown the current fencing token.
    pub confirmed: usize,
    /// Machines that may run tasks of a previous leader that have not been reported to
    /// this one.
    pub unreported: usize,
    /// Whether a machine record could not be read when the shard was acquired, and
    /// tasks of a previous leader may still run on that machine.
    pub unreadable_machines: bool,
    /// Attempts that hold resources of machines.
    pub running: usize,
    /// The part of `running` that was told to stop.
    pub stopping: usize,
    /// Done tasks that are not committed.
    pub uncommitted: usize,
    /// Waiting tasks of jobs that a previous leader may have launched.
    pub inherited_waiting: usize,
    /// The part of `inherited_waiting` that may still run on a machine that has not
    /// reported, and is therefore not launched.
    pub inherited_blocked: usize,
    /// Waiting replicas of services.
    pub waiting_replicas: usize,
    /// Zones in which the shard has machines.
    pub zones: BTreeSet<String>,
    /// Attempts below production rank that are fetching their image, by zone.
    pub fetches_below_production: BTreeMap<String, usize>,
}

impl ShardState {
    /// Counts the shard's machines and tasks.
    pub fn snapshot(&self, config: &Config) -> ShardSnapshot {
        let mut snapshot = ShardSnapshot {
            shard: self.shard,
            fencing_token: self.fencing_token,
            machines: self.machines.len(),
            unreadable_machines: self.unreadable_machines,
            ..ShardSnapshot::default()
        };
        for machine in self.machines.values() {
            snapshot.count_machine(machine);
        }
        for job in self.jobs.values() {
            snapshot.count_job(job);
            let waiting = job.waiting.len() as usize;
            if job.maybe_launched_before && waiting > 0 {
                snapshot.inherited_waiting += waiting;
                if self.is_rebuilding() && self.may_run_on_unreported_machine(job, config) {
                    snapshot.inherited_blocked += waiting;
                }
            }
        }
        snapshot
    }
}

impl ShardSnapshot {
    fn count_machine(&mut self, machine: &Machine) {
        let zone = &machine.record.zone;
        if !self.zones.contains(zone) {
            self.zones.insert(zone.clone());
        }
        self.confirmed += usize::from(machine.confirmed);
        self.unreported += usize::from(machine.unreported);
        for slot in machine.slots.iter().filter(|s| s.holds_resources()) {
            self.running += 1;
            self.stopping += usize::from(slot.stop_grace_s.is_some());
            let spec = slot.spec.as_ref();
            let below_production = spec.is_some_and(|s| s.rank < Rank::Production);
            if slot.state.is_fetching() && below_production {
                *self
                    .fetches_below_production
                    .entry(zone.clone())
                    .or_default() += 1;
            }
        }
    }

    fn count_job(&mut self, job: &Job) {
        self.uncommitted += (job.done.len() - job.committed.len()) as usize;
        if job.spec.shape == Shape::Service {
            self.waiting_replicas += job.waiting.len() as usize;
        }
    }
}
