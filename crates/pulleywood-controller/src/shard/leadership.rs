//! The leadership thread: carries out the step that is due, one at a time.

use super::step::{KeyHolder, LeadershipSnapshot, LeadershipStep, Led, Member, ShardKey};
use super::{acquire, hand_over, layout, reconciled};
use crate::state::{ControllerContext, ControllerState, LedShard, ReceivedDigest};
use pulleywood_protocol::record::Layout;
use pulleywood_protocol::{LeaseId, MemberId, MonotonicTime, ShardId};
use pulleywood_scheduler::shard::reachability;
use pulleywood_transport::StoreError;
use std::sync::Arc;
use std::time::Duration;

/// Longest time between two decisions.
const DECIDE_EVERY: Duration = Duration::from_millis(200);
/// Shortest time between two decisions: changes that come together share one.
const GATHER: Duration = Duration::from_millis(30);
/// A digest is believed for this long.
const FRESH_DIGEST: Duration = Duration::from_secs(3);

/// Acquires, loads and hands over shards; runs for the life of the process.
pub fn run(context: &Arc<ControllerContext>) {
    loop {
        let step = due_step(context, &context.controller.lock());
        if let Err(e) = carry_out(context, step) {
            log::debug!("failed to carry out {step:?}: {e}");
        }
        wait_for_work(context);
    }
}

fn wait_for_work(context: &ControllerContext) {
    let mut controller = context.controller.lock();
    context
        .work_available
        .wait_for(&mut controller, DECIDE_EVERY);
    drop(controller);
    std::thread::sleep(GATHER);
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
            log::info!("gave up shard {shard}: no worker of it reaches this controller");
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

/// At the first start all controllers acquire their shards at once, each with the next
/// fencing token: all but one would be refused. They go one after the other.
fn stagger_first_start(context: &ControllerContext) {
    const TURN: Duration = Duration::from_millis(40);
    if context.controller.lock().cached.shards.is_empty() {
        let peers = context.peers.keys();
        let earlier = peers.filter(|peer| **peer < context.controller_id).count();
        std::thread::sleep(TURN * earlier as u32);
    }
}

fn due_step(context: &ControllerContext, controller: &ControllerState) -> LeadershipStep {
    let now = context.clock.now();
    if !controller.is_cached || !controller.may_act(now) || controller.config.flavors.is_empty() {
        return LeadershipStep::Wait;
    }
    let Some(lease_id) = controller.lease.lease_id else {
        return LeadershipStep::Wait;
    };
    let Some(layout) = controller.cached.layout else {
        return LeadershipStep::StoreLayout;
    };
    snapshot(context, controller, layout, lease_id, now).due_step()
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
        members: members(context, controller, now),
        shards: (0..layout.shards)
            .map(|n| shard_key(context, controller, ShardId(n), now))
            .collect(),
        led: controller
            .led_shards
            .iter()
            .map(|(shard, led)| led_here(*shard, led))
            .collect(),
        reachability: reachability::reachability(states, now, &controller.config),
        in_backoff: now < controller.acquire_backoff.until,
    }
}

fn members(
    context: &ControllerContext,
    controller: &ControllerState,
    now: MonotonicTime,
) -> Vec<Member> {
    let peers = context.peers.keys();
    let mut ids: Vec<&MemberId> = peers.chain([&context.controller_id]).collect();
    ids.sort();
    let serves_none = |received: &ReceivedDigest| {
        let digest = &received.digest;
        let fit = received.is_fresh(now, FRESH_DIGEST) && digest.fit;
        fit.then_some(digest.serving.is_empty())
    };
    ids.into_iter()
        .map(|id| {
            let serves_none = controller.digests.get(id).and_then(serves_none);
            Member {
                is_this: *id == context.controller_id,
                fit: serves_none.is_some(),
                idle: serves_none == Some(true),
            }
        })
        .collect()
}

fn shard_key(
    context: &ControllerContext,
    controller: &ControllerState,
    shard: ShardId,
    now: MonotonicTime,
) -> ShardKey {
    let cached = &controller.cached;
    let holder = match cached.shards.get(&shard) {
        Some(key) if context.is_this_process(&key.value) => KeyHolder::ThisProcess(key.revision),
        Some(_) => KeyHolder::Another,
        None => {
            let since = cached.free_since.get(&shard);
            KeyHolder::Nobody(since.map_or(Duration::ZERO, |at| now.since(*at)))
        }
    };
    ShardKey {
        shard,
        holder,
        led_here: controller.led_shards.contains_key(&shard),
    }
}

fn led_here(shard: ShardId, led: &LedShard) -> Led {
    Led {
        shard,
        stays: led.loaded && !led.leaving,
        unrecorded: led.loaded && led.reconciled_at.is_none() && !led.state.is_rebuilding(),
    }
}
