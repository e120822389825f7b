//! Ending the leadership of a shard: handing the shard over, and deleting stray leadership
//! keys.

use crate::state::{ControllerContext, ControllerState};
use pulleywood_protocol::record::shard_leader_key;
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::{MonotonicTime, Revision, ShardId};
use pulleywood_transport::store::Outcome;
use pulleywood_transport::{RequestPriority, StoreError};

/// Hands a shard over to another controller: stops launches, then deletes the shard's
/// leadership key, so that another controller can acquire it.
pub fn hand_over(context: &ControllerContext, shard: ShardId) -> Result<(), StoreError> {
    log::info!("started to hand over shard {shard}");
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
        // If the outcome is unknown, the key may have been deleted and acquired by another
        // controller. A shard without a leader is better than one with two.
        Ok(Outcome::Conflict) | Err(StoreError::OutcomeUnknown(_)) => {
            controller.led_shards.remove(&shard);
        }
        Err(_) => {
            if let Some(led) = controller.led_shards.get_mut(&shard) {
                led.handing_over = false;
            }
        }
    }
    outcome.map(|_| ())
}

/// Deletes the leadership key of a shard that names this process although it does not lead
/// the shard.
pub fn release_stray_key(
    context: &ControllerContext,
    shard: ShardId,
    revision: Revision,
) -> Result<(), StoreError> {
    log::info!("started to release shard {shard}: a transaction that timed out acquired it late");
    if let Outcome::Applied(_) = delete_key(context, shard, revision)? {
        let now = context.clock.now();
        note_vacant(&mut context.controller.lock(), shard, now);
    }
    Ok(())
}

/// Marks the shard as being handed over, which stops launches. Returns the revision of its
/// leadership key, or `None` if this controller does not lead it.
fn stop_launches(context: &ControllerContext, shard: ShardId) -> Option<Revision> {
    let mut controller = context.controller.lock();
    let led = controller.led_shards.get_mut(&shard)?;
    led.handing_over = true;
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
    controller.cached.shard_leaders.remove(&shard);
    controller.cached.vacant_since.insert(shard, now);
}
