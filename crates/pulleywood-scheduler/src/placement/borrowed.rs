//! Borrowed usage: what teams use above their guarantees, and how much of it this shard
//! may preempt for other teams.
//!
//! Each shard decides independently what it preempts, but all shards see the same
//! borrowed usage. If each of them preempted all of it, the team would fall below its
//! guarantee: its tasks would regain priority, take the released resources, and be
//! preempted again. Therefore a shard preempts at most a part of the borrowed usage
//! that is proportional to its part of the team's total usage.

use crate::config::{Config, Team};
use crate::resources::{ResourceVector, add_slots};
use crate::shard::ShardState;
use pulleywood_protocol::JobSpec;
use pulleywood_protocol::record::Slots;
use std::collections::BTreeMap;

/// Tolerance for comparing amounts, which are sums of floating-point numbers.
const TOLERANCE: f64 = 1e-6;

/// How much the shard may still preempt of each team that runs tasks in it.
#[derive(Debug, Clone, Default)]
pub(crate) struct BorrowedUsage<'a> {
    by_team: BTreeMap<&'a str, PreemptableUsage>,
}

/// How much may still be preempted of one team; `None` for a resource that the team has
/// no guarantee for.
#[derive(Debug, Clone, Copy)]
struct PreemptableUsage {
    cpus: Option<f64>,
    gpus: Option<f64>,
}

impl PreemptableUsage {
    /// Computes the shard's part of the team's borrowed usage. `shard_usage` is what
    /// the team uses in this shard, `total_usage` what it uses in all shards.
    fn new(team: &Team, shard_usage: Slots, total_usage: Slots) -> Self {
        let share = |in_shard: f64, total: f64, guaranteed: f64| {
            let borrowed = (total - guaranteed).max(0.0);
            (guaranteed > 0.0).then(|| {
                if total > 0.0 {
                    borrowed * in_shard / total
                } else {
                    0.0
                }
            })
        };
        let guarantee = team.guarantee;
        PreemptableUsage {
            cpus: share(shard_usage.cpus.0, total_usage.cpus.0, guarantee.cpus.0),
            gpus: share(shard_usage.gpus.0, total_usage.gpus.0, guarantee.gpus.0),
        }
    }

    /// Subtracts a task's amounts. Returns false, and subtracts nothing, if the task is
    /// covered by the guarantee. A task that uses no guaranteed resource is never
    /// covered.
    fn try_take(&mut self, task: Slots) -> bool {
        let amounts = [(self.cpus, task.cpus.0), (self.gpus, task.gpus.0)];
        let mut guaranteed_amounts = amounts
            .iter()
            .filter_map(|(left, task)| left.map(|left| (left, *task)))
            .filter(|(_, task)| *task > 0.0)
            .peekable();
        let is_borrowed = guaranteed_amounts.peek().is_none()
            || guaranteed_amounts.any(|(left, task)| task <= left + TOLERANCE);
        if is_borrowed {
            self.cpus = self.cpus.map(|left| left - task.cpus.0);
            self.gpus = self.gpus.map(|left| left - task.gpus.0);
        }
        is_borrowed
    }
}

impl<'a> BorrowedUsage<'a> {
    /// Computes the borrowed usage of a shard. Tasks that are being stopped are not
    /// counted, because their resources are already being released.
    pub(crate) fn of(state: &'a ShardState, config: &Config) -> Self {
        let mut usage_by_team: BTreeMap<&str, Slots> = BTreeMap::new();
        for slot in state.machines.values().flat_map(|m| &m.slots) {
            if let Some(spec) = &slot.spec
                && slot.holds_resources()
                && slot.stop_grace_s.is_none()
            {
                let sum = usage_by_team.entry(spec.team.as_str()).or_default();
                add_slots(sum, ResourceVector::of_task(spec).slots());
            }
        }
        let by_team = usage_by_team.into_iter().filter_map(|(name, shard_usage)| {
            let team = config.teams.get(name)?;
            let mut total_usage = shard_usage;
            if let Some(elsewhere) = state.usage_in_other_shards.get(name) {
                add_slots(&mut total_usage, *elsewhere);
            }
            Some((name, PreemptableUsage::new(team, shard_usage, total_usage)))
        });
        BorrowedUsage {
            by_team: by_team.collect(),
        }
    }

    /// Subtracts a task that is to be preempted from its team's borrowed usage. Returns
    /// false if the task is covered by the team's guarantee.
    pub(crate) fn try_take(&mut self, spec: &JobSpec) -> bool {
        let team = self.by_team.get_mut(spec.team.as_str());
        team.is_some_and(|team| team.try_take(ResourceVector::of_task(spec).slots()))
    }
}
