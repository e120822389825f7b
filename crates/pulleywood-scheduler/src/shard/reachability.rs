//! Whether workers reach a leader.
//!
//! Invariant: the silence of machines counts against the leader only if no machine of
//! any of its shards has been heard lately, and enough of them should have been.

use crate::config::Config;
use crate::shard::ShardState;
use crate::shard::machine::Machine;
use pulleywood_protocol::MonotonicTime;
use std::time::Duration;

/// Fewer machines than this may all be gone by chance.
const MIN_OVERDUE_MACHINES: usize = 3;

impl ShardState {
    /// Whether its workers cannot reach this leader: some machines have been in the
    /// shard for long enough, and none of them has been heard. Were it the machines
    /// that are gone, another leader would lose nothing by them.
    pub fn is_unreachable(&self, now: MonotonicTime, config: &Config) -> bool {
        let bound =
            (config.heartbeat_interval * 2 + Duration::from_secs(1)).max(config.lease.mul_f64(0.3));
        self.heartbeats_overdue_for(bound, now, config)
    }

    /// Whether no machine was heard for this long, and for several of them it is not
    /// yet two leases, after which they are gone in any case.
    fn heartbeats_overdue_for(&self, bound: Duration, now: MonotonicTime, config: &Config) -> bool {
        let mut overdue = 0;
        for machine in self.machines.values() {
            if machine
                .last_heartbeat_at
                .is_some_and(|at| now.since(at) < bound)
            {
                return false;
            }
            // A machine that joined lately shows nothing yet. If it counted as heard,
            // machines that are moved in every few seconds would hide that no worker
            // reaches this leader.
            let silence = now.since(machine.last_heartbeat_at.unwrap_or(machine.added_at));
            overdue += usize::from(silence >= bound && silence < config.lease * 2);
        }
        overdue >= MIN_OVERDUE_MACHINES
    }
}

/// Whether workers reach a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// Some do, or there are too few machines to tell.
    Reachable,
    /// None has been heard for longer than a heartbeat interval, so it may turn out
    /// that none reaches it. Such a leader acquires no other shard, whose tasks would
    /// wait for nothing.
    Uncertain,
    /// None does.
    Unreachable,
}

/// Whether workers reach the leader of these shards. If those of one shard do, the
/// silence of another is not the leader's: that shard's machines are partitioned or
/// gone.
pub fn reachability<'a>(
    shards: impl Iterator<Item = &'a ShardState> + Clone,
    now: MonotonicTime,
    config: &Config,
) -> Reachability {
    let interval = config.heartbeat_interval.mul_f64(1.25) + Duration::from_millis(500);
    let heard = |m: &Machine| {
        m.last_heartbeat_at
            .is_some_and(|at| now.since(at) < interval)
    };
    let mut machines = shards.clone().flat_map(|s| s.machines.values());
    if machines.any(heard) {
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
