//! Detection of a leader that its workers cannot reach.
//!
//! Invariant: missing heartbeats count against the leader only if no machine of any of
//! its shards has sent one recently and enough machines should have.

use crate::config::Config;
use crate::shard::ShardState;
use crate::shard::machine::Machine;
use pulleywood_protocol::MonotonicTime;
use std::time::Duration;

/// With fewer silent machines than this, all of them may have failed independently.
const MIN_OVERDUE_MACHINES: usize = 3;

impl ShardState {
    /// Whether the shard's workers cannot reach this leader: several machines have been
    /// in the shard for long enough, and none has sent a heartbeat. If the machines
    /// were gone instead, another leader would lose nothing by taking over.
    pub fn is_unreachable(&self, now: MonotonicTime, config: &Config) -> bool {
        let threshold =
            (config.heartbeat_interval * 2 + Duration::from_secs(1)).max(config.lease.mul_f64(0.3));
        self.heartbeats_overdue_for(threshold, now, config)
    }

    /// Whether no machine has sent a heartbeat for `threshold`, and for several of them
    /// this has lasted less than two leases, after which they are gone in any case.
    fn heartbeats_overdue_for(
        &self,
        threshold: Duration,
        now: MonotonicTime,
        config: &Config,
    ) -> bool {
        let mut overdue = 0;
        for machine in self.machines.values() {
            if machine
                .last_heartbeat_at
                .is_some_and(|at| now.since(at) < threshold)
            {
                return false;
            }
            // A machine that was added recently is no evidence yet. If its arrival counted
            // as a heartbeat, machines moved in every few seconds would hide that no
            // worker reaches this leader.
            let silence = now.since(machine.last_heartbeat_at.unwrap_or(machine.added_at));
            overdue += usize::from(silence >= threshold && silence < config.lease * 2);
        }
        overdue >= MIN_OVERDUE_MACHINES
    }
}

/// Whether workers can reach a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// Some can, or there are too few machines to tell.
    Reachable,
    /// No heartbeat has arrived for longer than a heartbeat interval, so the leader may
    /// turn out to be unreachable. It acquires no further shard, whose tasks would only
    /// wait.
    Uncertain,
    /// No worker can reach the leader.
    Unreachable,
}

/// Whether workers can reach the leader of these shards. If the workers of one shard
/// can, missing heartbeats in another are not the leader's fault: that shard's machines
/// are partitioned or gone.
pub fn reachability<'a>(
    shards: impl Iterator<Item = &'a ShardState> + Clone,
    now: MonotonicTime,
    config: &Config,
) -> Reachability {
    let interval = config.heartbeat_interval.mul_f64(1.25) + Duration::from_millis(500);
    let sent_recently = |m: &Machine| {
        m.last_heartbeat_at
            .is_some_and(|at| now.since(at) < interval)
    };
    let mut machines = shards.clone().flat_map(|s| s.machines.values());
    if machines.any(sent_recently) {
        Reachability::Reachable
    } else if shards.clone().any(|s| s.is_unreachable(now, config)) {
        Reachability::Unreachable
    } else if shards
        .clone()
        .any(|s| s.heartbeats_overdue_for(interval, now, config))
    {
        Reachability::Uncertain
    } else {
        Reachability::Reachable
    }
}
