//! Priority of services' image fetches over those below production rank while a shard recovers.

use crate::policy::RecoveryPolicy;
use pulleywood_protocol::MonotonicTime;
use pulleywood_scheduler::shard::fetch_gate::FetchGate;
use pulleywood_scheduler::shard::snapshot::ShardSnapshot;
use std::time::Duration;

/// How long a fetch gate applies unless it is renewed.
const GATE_DURATION: Duration = Duration::from_secs(2);

/// Returns the fetch gate of a shard whose recovery began at `recovery_began`, or `None` if
/// fetches are not limited.
///
/// While replicas of the shard's services are missing, and for at most `services_first_s`
/// seconds, image fetches for ranks below production are limited to `fetches_per_zone` in each
/// zone. The gate states how many more of them may start.
pub fn fetch_gate(
    policy: &RecoveryPolicy,
    shard: &ShardSnapshot,
    recovery_began: MonotonicTime,
    now: MonotonicTime,
) -> Option<FetchGate> {
    if shard.waiting_replicas == 0
        || now.since(recovery_began) >= policy.service_priority_duration()
    {
        return None;
    }
    let fetch_limit = policy.fetches_per_zone as usize;
    let zones = shard.zones.iter().map(|zone| {
        let active = shard
            .fetches_below_production
            .get(zone)
            .copied()
            .unwrap_or(0);
        (zone.clone(), fetch_limit.saturating_sub(active))
    });
    Some(FetchGate {
        ends_at: now + GATE_DURATION,
        remaining_by_zone: zones.collect(),
    })
}
