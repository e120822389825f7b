//! Shrinking the quota of a led shard, at the coordinator's request.

use super::RequestOutcome;
use crate::state::ControllerContext;
use pulleywood_protocol::record::{QuotaRecord, Slots, quota_key, shard_leader_key};
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::{Revision, ShardId};
use pulleywood_scheduler::quota;
use pulleywood_transport::RequestPriority;
use pulleywood_transport::store::Outcome;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A smaller quota that is ready to be committed.
struct PreparedShrink {
    shard: ShardId,
    record: QuotaRecord,
    transaction: Transaction,
}

/// Commits a smaller quota of a led shard. `limits`: the new quota by team, which is not
/// lowered below what the team uses.
pub fn shrink_quota(
    context: &ControllerContext,
    shard: ShardId,
    limits: &BTreeMap<String, Slots>,
) -> RequestOutcome {
    let Some(prepared) = prepare(context, shard, limits) else {
        return RequestOutcome::Refused;
    };
    let outcome = context
        .store
        .commit(RequestPriority::ShardLeader, &prepared.transaction);
    match outcome {
        Ok(Outcome::Applied(revision)) => prepared.apply(context, revision),
        // The smaller quota stays in force here until the watch delivers another.
        Ok(Outcome::Conflict) | Err(_) => RequestOutcome::Refused,
    }
}

/// Puts the smaller quota in force here, and prepares its transaction. The order matters: if
/// it were committed first, other shards could be given slots that this leader still fills.
fn prepare(
    context: &ControllerContext,
    shard: ShardId,
    limits: &BTreeMap<String, Slots>,
) -> Option<PreparedShrink> {
    let now = context.clock.now();
    let mut controller = context.controller.lock();
    if !controller.may_act(now) {
        return None;
    }
    let config = Arc::clone(&controller.config);
    let stored = controller.cached.quotas.get(&shard).cloned();
    let led = controller.led_shards.get_mut(&shard);
    let led = led.filter(|led| led.loaded)?;
    let stored = stored?;
    let used = led.state.usage_by_team(&config);
    let record = quota::shrunk_record(&stored.value, limits, &used)?;
    led.state.quotas = record.clone();
    led.state.invalidate_plan();
    let key = quota_key(shard);
    let transaction = Transaction::default()
        .when(key.clone(), stored.revision)
        .when(shard_leader_key(shard), led.revision)
        .write(key, &record);
    Some(PreparedShrink {
        shard,
        record,
        transaction,
    })
}

impl PreparedShrink {
    fn apply(self, context: &ControllerContext, revision: Revision) -> RequestOutcome {
        let mut controller = context.controller.lock();
        controller.put_quota(self.shard, self.record, revision);
        RequestOutcome::Accepted
    }
}
