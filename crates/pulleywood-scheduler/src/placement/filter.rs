//! Filters: determines which machines are eligible for a task.

use super::SchedulingCycle;
use super::candidates::CandidateMachine;
use crate::resources::{ResourceVector, within_limit};
use crate::shard::Job;
use pulleywood_protocol::JobSpec;
use pulleywood_protocol::record::Slots;
use std::collections::BTreeMap;

impl CandidateMachine<'_> {
    /// Returns whether a job's tasks may run on this machine, regardless of its free
    /// resources.
    pub(super) fn allows(&self, spec: &JobSpec) -> bool {
        self.launches_left > 0
            && spec.allows_placement(self.zone, self.spot)
            && spec
                .types
                .as_ref()
                .is_none_or(|types| types.iter().any(|flavor| flavor == self.flavor))
    }
}

/// Returns whether one more task of a job may be placed in `zone`. `tasks_by_zone` is
/// the number of the job's tasks by zone. A transferred task that is bound to a zone is
/// placed there; its home shard has already applied the job's zone rules.
pub(super) fn zone_allows(
    job: &Job,
    tasks_by_zone: &BTreeMap<String, u32>,
    task_index: u32,
    zone: &str,
) -> bool {
    let spec = &job.spec;
    if let Some(bound_zone) = job.zone_bindings.zone_of(task_index) {
        return bound_zone == zone;
    }
    if spec.one_zone && tasks_by_zone.keys().any(|other| other != zone) {
        return false;
    }
    !spec.spread || tasks_by_zone.get(zone).copied().unwrap_or(0) < spec.zone_limit()
}

impl SchedulingCycle<'_> {
    /// Returns whether a candidate may run a job's tasks and the job has not failed
    /// there recently.
    pub(super) fn is_eligible(&self, candidate: &CandidateMachine<'_>, job: &Job) -> bool {
        candidate.allows(&job.spec) && !job.health.avoids(candidate.id, self.now)
    }

    /// Returns whether the shard's quota allows a team to run one more task of a job.
    /// `usage` is the teams' usage including planned tasks.
    pub(super) fn quota_allows(&self, spec: &JobSpec, usage: &BTreeMap<String, Slots>) -> bool {
        let Some(team) = self.config.teams.get(&spec.team) else {
            return false;
        };
        let quotas = &self.state.quotas.teams;
        let quota = quotas.get(&spec.team).copied().unwrap_or_default();
        within_limit(
            usage.get(&spec.team).copied().unwrap_or_default(),
            ResourceVector::of_task(spec).slots(),
            quota,
            team.limit,
        )
    }
}
