//! The leadership thread: decides the next leadership step and carries it out, one at a time.

use super::step::{
    KeyHolder, LeadershipSnapshot, LeadershipStep, LedShardStatus, MemberStatus, ShardStatus,
};
use super::{acquire, hand_over, layout, reconciled};
use crate::state::{ControllerContext, ControllerState, LedShard, ReceivedDigest};
use pulleywood_protocol::record::Layout;
use pulleywood_protocol::{LeaseId, MemberId, MonotonicTime, ShardId};
use pulleywood_scheduler::shard::reachability;
use pulleywood_transport::StoreError;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for work after a step was carried out.
const MAX_WAIT: Duration = Duration::from_millis(200);
/// Pause before each decision, so that changes that arrive together share one.
const BATCHING_DELAY: Duration = Duration::from_millis(30);
/// Age from which a peer's digest is no longer used.
const MAX_DIGEST_AGE: Duration = Duration::from_secs(3);

/// Acquires, loads and hands over shards; runs for the life of the process.
pub fn run(context: &Arc<ControllerContext>) {
    loop {
        let step = next_step(context, &context.controller.lock());
        if let Err(e) = carry_out(context, step) {
            log::debug!("failed to carry out {step:?}: {e}");
        }
        wait_for_work(context);
    }
}

fn wait_for_work(context: &ControllerContext) {
    let mut controller = context.controller.lock();
    context.work_available.wait_for(&mut controller, MAX_WAIT);
    drop(controller);
    std::thread::sleep(BATCHING_DELAY);
}

fn carry_out(context: &Arc<ControllerContext>, step: LeadershipStep) -> Result<(), StoreError> {
    match step {
        LeadershipStep::Wait => Ok(()),
        LeadershipStep::StoreLayout => layout::store_layout(context),
        LeadershipStep::Acquire(shard, lease_id) => {
            stagger_first_start(context);
            acquire::acquire(context, shard, lease_id)
        }
        LeadershipStep::HandOver(shard) => hand_over::hand_over(context, shard),
        LeadershipStep::GiveUp(shard) => {
            log::info!("giving up shard {shard}: none of its workers reaches this controller");
            let now = context.clock.now();
            context.controller.lock().back_off_acquiring(now);
            hand_over::hand_over(context, shard)
        }
        LeadershipStep::ReleaseStrayKey(shard, revision) => {
            hand_over::release_stray_key(context, shard, revision)
        }
        LeadershipStep::RecordReconciled(shard) => reconciled::record_reconciled(context, shard),
    }
}

/// Delays the acquisition at the first start of a cluster, by this controller's position in
/// the sorted list of all. Without that, all controllers would allocate the next fencing
/// token at the same time, and all but one would be refused.
fn stagger_first_start(context: &ControllerContext) {
    const STAGGER: Duration = Duration::from_millis(40);
    if context.controller.lock().cached.shard_leaders.is_empty() {
        let peers = context.peers.keys();
        let position = peers.filter(|peer| **peer < context.controller_id).count();
        std::thread::sleep(STAGGER * position as u32);
    }
}

fn next_step(context: &ControllerContext, controller: &ControllerState) -> LeadershipStep {
    let now = context.clock.now();
    if !controller.cache_loaded || !controller.may_act(now) || controller.config.flavors.is_empty()
    {
        return LeadershipStep::Wait;
    }
    let Some(lease_id) = controller.lease.lease_id else {
        return LeadershipStep::Wait;
    };
    let Some(layout) = controller.cached.layout else {
        return LeadershipStep::StoreLayout;
    };
    snapshot(context, controller, layout, lease_id, now).next_step()
}

fn snapshot(
    context: &ControllerContext,
    controller: &ControllerState,
    layout: Layout,
    lease_id: LeaseId,
    now: MonotonicTime,
) -> LeadershipSnapshot {
    let loaded = controller.led_shards.values().filter(|led| led.loaded);
    let states = loaded.map(|led| &led.state);
    LeadershipSnapshot {
        lease_id,
        members: member_statuses(context, controller, now),
        shards: (0..layout.shards)
            .map(|number| shard_status(context, controller, ShardId(number), now))
            .collect(),
        led_shards: controller
            .led_shards
            .iter()
            .map(|(shard, led)| led_shard_status(*shard, led))
            .collect(),
        reachability: reachability::reachability(states, now, &controller.config),
        in_backoff: now < controller.acquire_backoff.until,
    }
}

fn member_statuses(
    context: &ControllerContext,
    controller: &ControllerState,
    now: MonotonicTime,
) -> Vec<MemberStatus> {
    let peers = context.peers.keys();
    let mut ids: Vec<&MemberId> = peers.chain([&context.controller_id]).collect();
    ids.sort();
    let serves_none = |received: &ReceivedDigest| {
        let digest = &received.digest;
        let fit = received.is_fresh(now, MAX_DIGEST_AGE) && digest.ready_to_lead;
        fit.then_some(digest.serving.is_empty())
    };
    ids.into_iter()
        .map(|id| {
            let serves_none = controller.digests.get(id).and_then(serves_none);
            MemberStatus {
                is_this_controller: *id == context.controller_id,
                fit: serves_none.is_some(),
                idle: serves_none == Some(true),
            }
        })
        .collect()
}

fn shard_status(
    context: &ControllerContext,
    controller: &ControllerState,
    shard: ShardId,
    now: MonotonicTime,
) -> ShardStatus {
    let cached = &controller.cached;
    let holder = match cached.shard_leaders.get(&shard) {
        Some(key) if context.is_this_process(&key.value) => KeyHolder::ThisProcess(key.revision),
        Some(_) => KeyHolder::Another,
        None => {
            let vacant_since = cached.vacant_since.get(&shard);
            KeyHolder::Nobody(vacant_since.map_or(Duration::ZERO, |since| now.since(*since)))
        }
    };
    ShardStatus {
        shard,
        holder,
        is_led_here: controller.led_shards.contains_key(&shard),
    }
}

fn led_shard_status(shard: ShardId, led: &LedShard) -> LedShardStatus {
    LedShardStatus {
        shard,
        is_stable: led.is_active(),
        reconciliation_unrecorded: led.loaded
            && led.reconciled_revision.is_none()
            && !led.state.is_rebuilding(),
    }
}
