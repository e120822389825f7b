//! Claims: which tasks may be preempted for which.

use super::SchedulingCycle;
use super::queue::usage_in_all_shards;
use crate::resources::{ResourceVector, add_slots};
use pulleywood_protocol::JobSpec;
use pulleywood_protocol::record::Slots;
use std::collections::{BTreeMap, BTreeSet};

/// Whether a task may be preempted for another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Preemptable {
    Never,
    Always,
    /// As long as its team uses more than its guarantee.
    IfBorrowed,
}

/// What a job's next task may preempt.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Claim<'a> {
    /// The task lies within its team's guarantee.
    guaranteed: bool,
    /// If so, the other teams whose use is not within a guarantee.
    borrowing_teams: BTreeSet<&'a str>,
}

impl Claim<'_> {
    /// Whether a task of `victim` may be preempted for one of `spec`. Work within a
    /// guarantee comes before all that is not, whatever the rank: otherwise the two
    /// would preempt each other, and neither would make progress.
    pub(super) fn preemptable(&self, spec: &JobSpec, victim: &JobSpec) -> Preemptable {
        let other_team = victim.team != spec.team;
        if victim.rank < spec.rank && (self.guaranteed || !other_team) {
            return Preemptable::Always;
        }
        let borrowed = other_team && self.borrowing_teams.contains(victim.team.as_str());
        if victim.rank < spec.rank || borrowed {
            Preemptable::IfBorrowed
        } else {
            Preemptable::Never
        }
    }
}

impl<'a> SchedulingCycle<'a> {
    /// What a job's next task may preempt. `usage`: the teams' usage with what is
    /// planned.
    pub(super) fn claim(&self, spec: &JobSpec, usage: &BTreeMap<String, Slots>) -> Claim<'a> {
        let mut own = usage_in_all_shards(self.state, &spec.team, usage);
        add_slots(&mut own, ResourceVector::of_task(spec).slots());
        let teams = &self.config.teams;
        if !teams
            .get(&spec.team)
            .is_some_and(|t| t.guarantee_covers(own))
        {
            return Claim::default();
        }
        let others = teams.iter().filter(|(name, _)| **name != spec.team);
        let borrowing = others
            .filter(|(name, t)| !t.guarantee_covers(usage_in_all_shards(self.state, name, usage)))
            .map(|(name, _)| name.as_str());
        Claim {
            guaranteed: true,
            borrowing_teams: borrowing.collect(),
        }
    }

    /// Whether any running task may be preempted for a job's task.
    pub(super) fn may_preempt(&self, spec: &JobSpec, claim: &Claim<'_>) -> bool {
        self.lowest_rank.is_some_and(|rank| rank < spec.rank)
            || self
                .running_teams
                .iter()
                .any(|team| claim.borrowing_teams.contains(team))
    }

    /// Whether machines are missing on which the job may find free resources soon:
    /// right after this leader could answer workers again, most heartbeats are yet
    /// to come. Nothing is preempted until then.
    pub(super) fn capacity_may_return(&self, spec: &JobSpec) -> bool {
        self.state
            .may_fit_returning_machine(spec, self.now, self.config)
    }
}
