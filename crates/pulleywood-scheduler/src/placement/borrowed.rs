//! Borrowed usage: what teams use above their guarantees, and how much of it this
//! shard may preempt for other teams.
//!
//! Shards decide alone what they preempt, and all see the same borrowed usage. If
//! each preempted all of it, the team would fall below its guarantee: its tasks would
//! come first again, take what was released, and be preempted once more. So a shard
//! preempts no more than its share of the borrowed usage, in proportion to what it
//! runs of the team.

use crate::config::{Config, Team};
use crate::resources::{ResourceVector, add_slots};
use crate::shard::ShardState;
use pulleywood_protocol::JobSpec;
use pulleywood_protocol::record::Slots;
use std::collections::BTreeMap;

/// Amounts are compared with this tolerance, since they are summed as floats.
const TOLERANCE: f64 = 1e-6;

/// What a shard may still preempt of each team that runs tasks in it.
#[derive(Debug, Clone, Default)]
pub(crate) struct BorrowedUsage<'a> {
    by_team: BTreeMap<&'a str, TeamBorrowing>,
}

/// What may still be preempted of one team; none for a resource without a guarantee.
#[derive(Debug, Clone, Copy)]
struct TeamBorrowing {
    cpus: Option<f64>,
    gpus: Option<f64>,
}

impl TeamBorrowing {
    /// `here`: what the team runs in the shard, `everywhere`: in all shards.
    fn new(team: &Team, here: Slots, everywhere: Slots) -> Self {
        let share = |here: f64, all: f64, guaranteed: f64| {
            let borrowed = (all - guaranteed).max(0.0);
            (guaranteed > 0.0).then(|| {
                if all > 0.0 {
                    borrowed * here / all
                } else {
                    0.0
                }
            })
        };
        let guarantee = team.guarantee;
        TeamBorrowing {
            cpus: share(here.cpus.0, everywhere.cpus.0, guarantee.cpus.0),
            gpus: share(here.gpus.0, everywhere.gpus.0, guarantee.gpus.0),
        }
    }

    /// Takes a task's amounts out. Returns false, and takes nothing, if the task lies
    /// within the guarantee. A task that uses nothing guaranteed never does.
    fn take(&mut self, task: Slots) -> bool {
        let amounts = [(self.cpus, task.cpus.0), (self.gpus, task.gpus.0)];
        let mut counted = amounts
            .iter()
            .filter_map(|(left, task)| left.map(|left| (left, *task)))
            .filter(|(_, task)| *task > 0.0)
            .peekable();
        let beyond =
            counted.peek().is_none() || counted.any(|(left, task)| task <= left + TOLERANCE);
        if beyond {
            self.cpus = self.cpus.map(|left| left - task.cpus.0);
            self.gpus = self.gpus.map(|left| left - task.gpus.0);
        }
        beyond
    }
}

impl<'a> BorrowedUsage<'a> {
    /// The borrowed usage of a shard. Tasks that were told to stop are not counted:
    /// what they hold is being released already.
    pub(crate) fn of(state: &'a ShardState, config: &Config) -> Self {
        let mut here: BTreeMap<&str, Slots> = BTreeMap::new();
        for slot in state.machines.values().flat_map(|m| &m.slots) {
            if let Some(spec) = &slot.spec
                && slot.holds_resources()
                && slot.stop_grace_s.is_none()
            {
                let sum = here.entry(spec.team.as_str()).or_default();
                add_slots(sum, ResourceVector::of_task(spec).slots());
            }
        }
        let by_team = here.into_iter().filter_map(|(name, here)| {
            let team = config.teams.get(name)?;
            let mut everywhere = here;
            if let Some(elsewhere) = state.usage_in_other_shards.get(name) {
                add_slots(&mut everywhere, *elsewhere);
            }
            Some((name, TeamBorrowing::new(team, here, everywhere)))
        });
        BorrowedUsage {
            by_team: by_team.collect(),
        }
    }

    /// Takes a task that is to be preempted out of its team's borrowed usage. Returns
    /// false if it lies within the team's guarantee.
    pub(crate) fn take(&mut self, spec: &JobSpec) -> bool {
        let team = self.by_team.get_mut(spec.team.as_str());
        team.is_some_and(|team| team.take(ResourceVector::of_task(spec).slots()))
    }
}
