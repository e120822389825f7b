//! Recording that all machines of a led shard are accounted for.

use crate::state::{ControllerContext, decode_record};
use pulleywood_protocol::record::{PreviousLeaseHolder, previous_leader_key, shard_leader_key};
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::{FencingToken, Revision, ShardId};
use pulleywood_transport::store::Outcome;
use pulleywood_transport::{RequestPriority, StoreError};

/// The record that is ready to be written, with the leadership it belongs to.
struct PreparedRecord {
    shard: ShardId,
    fencing_token: FencingToken,
    transaction: Transaction,
}

/// Records that every machine of the shard is accounted for. The next leader then has to
/// wait only for tasks launched by this leader, not for those of leaders before it.
pub fn record_reconciled(context: &ControllerContext, shard: ShardId) -> Result<(), StoreError> {
    let Some(prepared) = prepare(context, shard)? else {
        return Ok(());
    };
    let outcome = context
        .store
        .commit(RequestPriority::ShardLeader, &prepared.transaction)?;
    if let Outcome::Applied(revision) = outcome {
        prepared.apply(context, revision);
    }
    Ok(())
}

fn prepare(
    context: &ControllerContext,
    shard: ShardId,
) -> Result<Option<PreparedRecord>, StoreError> {
    let key = previous_leader_key(shard);
    let Some(item) = context.store.get(RequestPriority::ShardLeader, &key)? else {
        return Ok(None);
    };
    let Some(stored) = decode_record::<PreviousLeaseHolder>(Some(&item.value), &key) else {
        return Ok(None);
    };
    let fencing_token = stored.holder.fencing_token;
    let shard_revision = {
        let controller = context.controller.lock();
        let led = controller.led_shards.get(&shard);
        match led.filter(|led| led.state.fencing_token == fencing_token) {
            Some(led) => led.revision,
            None => return Ok(None),
        }
    };
    let reconciled = PreviousLeaseHolder {
        reconciled: true,
        ..stored
    };
    let transaction = Transaction::default()
        .when(shard_leader_key(shard), shard_revision)
        .when(key.clone(), item.revision)
        .write(key, &reconciled);
    Ok(Some(PreparedRecord {
        shard,
        fencing_token,
        transaction,
    }))
}

impl PreparedRecord {
    fn apply(self, context: &ControllerContext, revision: Revision) {
        let mut controller = context.controller.lock();
        let led = controller.led_shards.get_mut(&self.shard);
        if let Some(led) = led.filter(|led| led.state.fencing_token == self.fencing_token) {
            led.reconciled_revision = Some(revision);
        }
    }
}
