//! Claims: determines which running tasks may be preempted for a waiting task.

use super::SchedulingCycle;
use super::queue::usage_in_all_shards;
use crate::resources::{ResourceVector, add_slots};
use pulleywood_protocol::JobSpec;
use pulleywood_protocol::record::Slots;
use std::collections::{BTreeMap, BTreeSet};

/// Whether a running task may be preempted for a waiting one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Preemptable {
    Never,
    Always,
    /// Only while the running task's team uses more than its guarantee.
    IfBorrowed,
}

/// What a job's next task may preempt.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Claim<'a> {
    /// Whether the task is covered by its team's guarantee.
    guaranteed: bool,
    /// The other teams that use more than their guarantees; empty unless `guaranteed`.
    borrowing_teams: BTreeSet<&'a str>,
}

impl Claim<'_> {
    /// Returns whether a task of job `victim` may be preempted for a task of job
    /// `spec`. Tasks covered by a guarantee take precedence over all others, whatever
    /// their ranks. Otherwise the two kinds would preempt each other, and neither would
    /// make progress.
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
    /// Returns what a job's next task may preempt. `usage` is the teams' usage
    /// including planned tasks.
    pub(super) fn claim(&self, spec: &JobSpec, usage: &BTreeMap<String, Slots>) -> Claim<'a> {
        let mut own_usage = usage_in_all_shards(self.state, &spec.team, usage);
        add_slots(&mut own_usage, ResourceVector::of_task(spec).slots());
        let teams = &self.config.teams;
        if !teams
            .get(&spec.team)
            .is_some_and(|team| team.guarantee_covers(own_usage))
        {
            return Claim::default();
        }
        let others = teams.iter().filter(|(name, _)| **name != spec.team);
        let borrowing = others
            .filter(|(name, team)| {
                !team.guarantee_covers(usage_in_all_shards(self.state, name, usage))
            })
            .map(|(name, _)| name.as_str());
        Claim {
            guaranteed: true,
            borrowing_teams: borrowing.collect(),
        }
    }

    /// Returns whether any running task may be preempted for a job's task.
    pub(super) fn may_preempt_any(&self, spec: &JobSpec, claim: &Claim<'_>) -> bool {
        self.lowest_rank.is_some_and(|rank| rank < spec.rank)
            || self
                .running_teams
                .iter()
                .any(|team| claim.borrowing_teams.contains(team))
    }

    /// Returns whether machines that have not reported yet may soon offer the job free
    /// resources. Right after this leader regains contact with the workers, most
    /// heartbeats are still outstanding. Nothing is preempted for the job until then.
    pub(super) fn capacity_may_return(&self, spec: &JobSpec) -> bool {
        self.state
            .may_fit_returning_machine(spec, self.now, self.config)
    }
}
