//! Priority of services' image fetches while a shard recovers.

use crate::policy::RecoveryPolicy;
use pulleywood_protocol::MonotonicTime;
use pulleywood_scheduler::shard::fetch_gate::FetchGate;
use pulleywood_scheduler::shard::snapshot::ShardSnapshot;
use std::time::Duration;

/// How long a fetch gate stays closed unless it is renewed.
const GATE_DURATION: Duration = Duration::from_secs(2);

/// The fetch gate of a shard whose recovery began at `since`.
///
/// While replicas of its services are missing, and for `services_first_s` seconds at most,
/// image fetches for lower ranks are limited to `fetches_per_zone` in each zone; the gate
/// holds how many more may start. `None`: no limit.
pub fn gate(
    policy: &RecoveryPolicy,
    shard: &ShardSnapshot,
    since: MonotonicTime,
    now: MonotonicTime,
) -> Option<FetchGate> {
    if shard.waiting_replicas == 0 || now.since(since) >= policy.services_first() {
        return None;
    }
    let fetch_limit = policy.fetches_per_zone as usize;
    let zones = shard.zones.iter().map(|zone| {
        let busy = shard
            .fetches_below_production
            .get(zone)
            .copied()
            .unwrap_or(0);
        (zone.clone(), fetch_limit.saturating_sub(busy))
    });
    Some(FetchGate {
        ends_at: now + GATE_DURATION,
        remaining_by_zone: zones.collect(),
    })
}
