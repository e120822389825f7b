//! Decides the next leadership step of this controller, as a pure function of a snapshot.
//!
//! Every shard prefers one controller as its leader, by the shard's number and the position
//! in the sorted list of all controllers. A controller that leads no shard acquires a vacant
//! shard that prefers it at once; any other vacant shard is acquired only after a grace
//! period. A controller that leads several shards hands one over to a controller that leads
//! none.

use pulleywood_protocol::{LeaseId, Revision, ShardId};
use pulleywood_scheduler::shard::reachability::Reachability;
use std::time::Duration;

/// Time that a vacant shard is left to better suited controllers. A controller that leads no
/// shard, or that the vacant shard prefers, waits for half of it; one of which both is true
/// does not wait.
const VACANCY_GRACE: Duration = Duration::from_millis(800);

/// A step that the leadership thread carries out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadershipStep {
    /// Take no step.
    Wait,
    /// Store the layout of a new cluster.
    StoreLayout,
    /// Acquire a shard that has no leader, under this session lease.
    Acquire(ShardId, LeaseId),
    /// Hand a shard over to a controller that leads none.
    HandOver(ShardId),
    /// Give up a shard: no worker reaches this controller, but workers may reach another.
    GiveUp(ShardId),
    /// Delete the leadership key, at this revision, that a transaction of this process wrote
    /// after the process had stopped waiting for its outcome.
    ReleaseStrayKey(ShardId, Revision),
    /// Record that every machine that the shard had when it was acquired is accounted for.
    RecordReconciled(ShardId),
}

/// Status of one controller of the cluster, by its last digest.
#[derive(Debug, Clone, Copy)]
pub struct MemberStatus {
    /// Whether it is this controller.
    pub is_this_controller: bool,
    /// Whether its recent digest says that it can lead shards; false for this controller,
    /// which receives no digest of its own.
    pub fit: bool,
    /// Whether it is fit and leads no shard.
    pub idle: bool,
}

/// Holder of the leadership key of a shard.
#[derive(Debug, Clone, Copy)]
pub enum KeyHolder {
    /// The key does not exist; the shard has been vacant for this long.
    Nobody(Duration),
    /// This process, which wrote the key at this revision.
    ThisProcess(Revision),
    /// Another process, perhaps a former process of this controller.
    Another,
}

/// Status of one shard of the layout.
#[derive(Debug, Clone, Copy)]
pub struct ShardStatus {
    /// Id of the shard.
    pub shard: ShardId,
    /// Holder of the shard's leadership key, by the cached state.
    pub holder: KeyHolder,
    /// Whether this controller leads the shard.
    pub is_led_here: bool,
}

/// Status of one shard that this controller leads.
#[derive(Debug, Clone, Copy)]
pub struct LedShardStatus {
    /// Id of the shard.
    pub shard: ShardId,
    /// Whether the shard has been loaded and is not being handed over.
    pub is_stable: bool,
    /// Whether all machines of the shard are accounted for and that is not recorded yet.
    pub reconciliation_unrecorded: bool,
}

/// Everything that the decision depends on.
#[derive(Debug)]
pub struct LeadershipSnapshot {
    /// Id of this controller's session lease.
    pub lease_id: LeaseId,
    /// All controllers, sorted by id.
    pub members: Vec<MemberStatus>,
    /// All shards of the layout, sorted by id.
    pub shards: Vec<ShardStatus>,
    /// Shards that this controller leads, sorted by id.
    pub led_shards: Vec<LedShardStatus>,
    /// Whether workers reach this controller.
    pub reachability: Reachability,
    /// Whether this controller recently gave up a shard and acquires none for now.
    pub in_backoff: bool,
}

impl LeadershipSnapshot {
    /// Decides the next step.
    pub fn next_step(&self) -> LeadershipStep {
        if let Some(step) = self.shard_to_give_up() {
            return step;
        }
        if self.in_backoff {
            return LeadershipStep::Wait;
        }
        self.stray_key_to_release()
            .or_else(|| self.shard_to_acquire())
            .or_else(|| self.shard_to_hand_over())
            .or_else(|| self.reconciliation_to_record())
            .unwrap_or(LeadershipStep::Wait)
    }

    /// Whether workers that do not reach this controller may reach another that can lead.
    fn another_member_is_fit(&self) -> bool {
        self.members.iter().any(|member| member.fit)
    }

    /// Index in `members` of the controller that a shard prefers as its leader.
    fn preferred_member(&self, shard: ShardId) -> usize {
        shard.0 as usize % self.members.len()
    }

    fn shard_to_give_up(&self) -> Option<LeadershipStep> {
        if !self.another_member_is_fit() || self.reachability != Reachability::Unreachable {
            return None;
        }
        let led = self.led_shards.iter().find(|led| led.is_stable)?;
        Some(LeadershipStep::GiveUp(led.shard))
    }

    fn stray_key_to_release(&self) -> Option<LeadershipStep> {
        let not_led_here = self.shards.iter().filter(|shard| !shard.is_led_here);
        not_led_here
            .filter_map(|shard| match shard.holder {
                KeyHolder::ThisProcess(revision) => {
                    Some(LeadershipStep::ReleaseStrayKey(shard.shard, revision))
                }
                KeyHolder::Nobody(_) | KeyHolder::Another => None,
            })
            .next()
    }

    /// The first shard that may be acquired and prefers this controller, else the first that
    /// may be acquired.
    fn shard_to_acquire(&self) -> Option<LeadershipStep> {
        // Controllers that no worker reaches must not acquire each other's shards in turn.
        if self.another_member_is_fit() && self.reachability != Reachability::Reachable {
            return None;
        }
        let mut acquirable = self.shards.iter().filter(|shard| self.may_acquire(shard));
        let first = acquirable.clone().next()?;
        let preferring = acquirable
            .find(|shard| self.members[self.preferred_member(shard.shard)].is_this_controller);
        let shard = preferring.unwrap_or(first).shard;
        Some(LeadershipStep::Acquire(shard, self.lease_id))
    }

    /// Whether the shard is vacant and has been left to better suited controllers for long
    /// enough.
    fn may_acquire(&self, shard: &ShardStatus) -> bool {
        let KeyHolder::Nobody(vacant_for) = shard.holder else {
            return false;
        };
        if shard.is_led_here {
            return false;
        }
        let preferred = &self.members[self.preferred_member(shard.shard)];
        match (self.led_shards.is_empty(), preferred.is_this_controller) {
            (true, true) => true,
            // The preferred leader may be starting too.
            (true, false) => vacant_for > VACANCY_GRACE / 2 && !preferred.idle,
            (false, true) => vacant_for > VACANCY_GRACE / 2,
            (false, false) => {
                vacant_for > VACANCY_GRACE && !self.members.iter().any(|member| member.idle)
            }
        }
    }

    /// If this controller leads several shards, the one to hand over to the first idle
    /// controller: the first that prefers it, else the first that does not prefer this
    /// controller.
    fn shard_to_hand_over(&self) -> Option<LeadershipStep> {
        if self.led_shards.len() < 2 || !self.led_shards.iter().all(|led| led.is_stable) {
            return None;
        }
        let idle = self.members.iter().position(|member| member.idle)?;
        let led_shards = || self.led_shards.iter().map(|led| led.shard);
        let prefers_idle = led_shards().find(|shard| self.preferred_member(*shard) == idle);
        let prefers_another = || {
            led_shards()
                .find(|shard| !self.members[self.preferred_member(*shard)].is_this_controller)
        };
        let shard = prefers_idle.or_else(prefers_another)?;
        Some(LeadershipStep::HandOver(shard))
    }

    fn reconciliation_to_record(&self) -> Option<LeadershipStep> {
        let led = self
            .led_shards
            .iter()
            .find(|led| led.reconciliation_unrecorded)?;
        Some(LeadershipStep::RecordReconciled(led.shard))
    }
}

#[cfg(test)]
mod tests;
