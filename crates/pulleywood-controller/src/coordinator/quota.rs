//! Balances the teams' quotas between shards. One shard's quota shrinks before another's
//! grows, so that the sum of a team's quotas never exceeds the team's limit.

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

/// Stored quotas of all shards.
type StoredQuotas = BTreeMap<ShardId, Versioned<QuotaRecord>>;

/// A larger quota that is ready to be committed.
struct PreparedGrowth {
    shard: ShardId,
    record: QuotaRecord,
    transaction: Transaction,
}

/// Takes one step that adapts the quotas to the shards' needs: asks a leader to shrink its
/// quota, or grows a quota.
pub fn balance(context: &Arc<ControllerContext>, lease: CoordinatorLease) {
    let Some((step, stored)) = decide(context) else {
        return;
    };
    match step {
        QuotaStep::Shrink(shard, smaller_quota) => {
            ask_leader(
                context,
                shard,
                PeerRequest::ShrinkQuota(shard, smaller_quota),
            );
        }
        QuotaStep::Grow(shard, record) => {
            commit_growth(context, prepare_growth(lease, &stored, shard, record))
        }
    }
}

/// Decides the next step, and returns it with the stored quotas that it is based on. `None`
/// if no step is needed or a quota is not yet known.
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
        .map(|(shard, digest)| (shard, team_needs(&digest)))
        .collect();
    let step = quota::balance(&controller.config, &records, &needs)?;
    Some((step, stored))
}

/// Returns each team's use and demand in a shard.
fn team_needs(digest: &ShardDigest) -> BTreeMap<String, QuotaNeed> {
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

/// Prepares the transaction that grows a quota. It compares the revisions of all shards'
/// quotas, so that it fails if their sum has changed.
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

fn commit_growth(context: &ControllerContext, prepared: PreparedGrowth) {
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
