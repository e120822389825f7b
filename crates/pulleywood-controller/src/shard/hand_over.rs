//! Ending the leadership of a shard: handing it over, and releasing a stray key.

use crate::state::{ControllerContext, ControllerState};
use pulleywood_protocol::record::shard_leader_key;
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::{MonotonicTime, Revision, ShardId};
use pulleywood_transport::store::Outcome;
use pulleywood_transport::{RequestPriority, StoreError};

/// Hands a shard over to another controller: launches stop, then the shard's leadership
/// key is deleted.
pub fn hand_over(context: &ControllerContext, shard: ShardId) -> Result<(), StoreError> {
    log::info!("began to hand over shard {shard}");
    let Some(revision) = stop_launches(context, shard) else {
        return Ok(());
    };
    let outcome = delete_key(context, shard, revision);
    let now = context.clock.now();
    let mut controller = context.controller.lock();
    match outcome {
        Ok(Outcome::Applied(_)) => {
            controller.led_shards.remove(&shard);
            note_vacant(&mut controller, shard, now);
        }
        // Without an answer the key may be gone: a shard without a leader is better than
        // one with two.
        Ok(Outcome::Conflict) | Err(StoreError::OutcomeUnknown(_)) => {
            controller.led_shards.remove(&shard);
        }
        Err(_) => {
            if let Some(led) = controller.led_shards.get_mut(&shard) {
                led.leaving = false;
            }
        }
    }
    outcome.map(|_| ())
}

/// Releases a shard whose leadership key names this process though it does not lead it.
pub fn release_stray_key(
    context: &ControllerContext,
    shard: ShardId,
    revision: Revision,
) -> Result<(), StoreError> {
    log::info!("found shard {shard} acquired by a late transaction: releasing it");
    if let Outcome::Applied(_) = delete_key(context, shard, revision)? {
        let now = context.clock.now();
        note_vacant(&mut context.controller.lock(), shard, now);
    }
    Ok(())
}

/// Marks the shard as leaving; the revision of its leadership key, if it is led.
fn stop_launches(context: &ControllerContext, shard: ShardId) -> Option<Revision> {
    let mut controller = context.controller.lock();
    let led = controller.led_shards.get_mut(&shard)?;
    led.leaving = true;
    Some(led.revision)
}

fn delete_key(
    context: &ControllerContext,
    shard: ShardId,
    revision: Revision,
) -> Result<Outcome, StoreError> {
    let transaction = Transaction::default()
        .when(shard_leader_key(shard), revision)
        .delete(shard_leader_key(shard));
    context
        .store
        .commit(RequestPriority::ShardLeader, &transaction)
}

fn note_vacant(controller: &mut ControllerState, shard: ShardId, now: MonotonicTime) {
    controller.cached.shards.remove(&shard);
    controller.cached.free_since.insert(shard, now);
}
