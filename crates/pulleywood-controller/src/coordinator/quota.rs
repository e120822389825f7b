//! Balancing the teams' quotas between shards. One shard shrinks before another grows, so
//! that the sum never exceeds what a team may use.

use super::lease::CoordinatorLease;
use super::requests::ask_leader;
use crate::state::{ControllerContext, Versioned};
use pulleywood_protocol::ShardId;
use pulleywood_protocol::peer::{PeerRequest, ShardDigest};
use pulleywood_protocol::record::{COORDINATOR_LEASE, QuotaRecord, quota_key};
use pulleywood_protocol::store::Transaction;
use pulleywood_scheduler::quota::{self, QuotaNeed, QuotaStep};
use pulleywood_transport::RequestPriority;
use pulleywood_transport::store::Outcome;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Quotas of all shards as stored.
type StoredQuotas = BTreeMap<ShardId, Versioned<QuotaRecord>>;

/// A larger quota to be written.
struct PreparedGrowth {
    shard: ShardId,
    record: QuotaRecord,
    transaction: Transaction,
}

/// Takes one step towards the shards' needs: asks a leader to shrink its quota, or grows
/// a quota itself.
pub fn balance(context: &Arc<ControllerContext>, lease: CoordinatorLease) {
    let Some((step, stored)) = decide(context) else {
        return;
    };
    match step {
        QuotaStep::Shrink(shard, to) => {
            ask_leader(context, shard, PeerRequest::ShrinkQuota(shard, to));
        }
        QuotaStep::Grow(shard, record) => {
            grow(context, prepare_growth(lease, &stored, shard, record))
        }
    }
}

/// The step that is due, and the stored quotas that it rests on.
fn decide(context: &ControllerContext) -> Option<(QuotaStep, StoredQuotas)> {
    let now = context.clock.now();
    let mut controller = context.controller.lock();
    let shards = controller.cached.shard_count().unwrap_or(0);
    if controller.cached.quotas.len() < shards as usize || shards == 0 {
        return None;
    }
    let stored = controller.cached.quotas.clone();
    let records = stored
        .iter()
        .map(|(shard, quota)| (*shard, quota.value.clone()))
        .collect();
    let digests = controller.fresh_shard_digests(now).into_iter();
    let needs = digests
        .map(|(shard, digest)| (shard, needs(&digest)))
        .collect();
    let step = quota::balance(&controller.config, &records, &needs)?;
    Some((step, stored))
}

/// What each team uses and wants in a shard.
fn needs(digest: &ShardDigest) -> BTreeMap<String, QuotaNeed> {
    let mut teams: BTreeMap<String, QuotaNeed> = BTreeMap::new();
    for (team, used) in &digest.used {
        teams.entry(team.clone()).or_default().used = *used;
    }
    for (team, wanted) in &digest.wanted {
        teams.entry(team.clone()).or_default().wanted = *wanted;
    }
    for team in &digest.quota_blocked_teams {
        teams.entry(team.clone()).or_default().stuck = true;
    }
    teams
}

/// Compares every shard's record, so that the sum it rests on still holds.
fn prepare_growth(
    lease: CoordinatorLease,
    stored: &StoredQuotas,
    shard: ShardId,
    record: QuotaRecord,
) -> PreparedGrowth {
    let mut transaction = Transaction::default().when(COORDINATOR_LEASE, lease.revision);
    for (shard, quota) in stored {
        transaction = transaction.when(quota_key(*shard), quota.revision);
    }
    PreparedGrowth {
        shard,
        transaction: transaction.write(quota_key(shard), &record),
        record,
    }
}

fn grow(context: &ControllerContext, prepared: PreparedGrowth) {
    let PreparedGrowth {
        shard,
        record,
        transaction,
    } = prepared;
    match context
        .store
        .commit(RequestPriority::ShardLeader, &transaction)
    {
        Ok(Outcome::Applied(revision)) => {
            log::debug!("grew the quota of shard {shard} to {record:?}");
            context.controller.lock().put_quota(shard, record, revision);
        }
        Ok(Outcome::Conflict) => {}
        Err(e) => log::debug!("failed to grow the quota of shard {shard}: {e}"),
    }
}
