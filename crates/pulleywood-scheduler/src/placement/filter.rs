//! Filters: which machines may run a task at all.

use super::SchedulingCycle;
use super::candidates::CandidateMachine;
use crate::resources::{ResourceVector, within_limit};
use crate::shard::Job;
use pulleywood_protocol::JobSpec;
use pulleywood_protocol::record::Slots;
use std::collections::BTreeMap;

impl CandidateMachine<'_> {
    /// Whether a job's tasks may run here, whatever is free.
    pub(super) fn allows(&self, spec: &JobSpec) -> bool {
        self.launches_left > 0
            && spec.allows_place(self.zone, self.spot)
            && spec
                .types
                .as_ref()
                .is_none_or(|types| types.iter().any(|t| t == self.flavor))
    }
}

/// Whether one more task of a job may go to `zone`. `zones`: the job's tasks by
/// zone. A transferred task that is bound to a zone goes there: its home shard has
/// checked the job's rule.
pub(super) fn zone_allows(
    job: &Job,
    zones: &BTreeMap<String, u32>,
    index: u32,
    zone: &str,
) -> bool {
    let spec = &job.spec;
    if let Some(bound) = job.zone_bindings.get(&index) {
        return bound == zone;
    }
    if spec.one_zone && zones.keys().any(|z| z != zone) {
        return false;
    }
    !spec.spread || zones.get(zone).copied().unwrap_or(0) < spec.zone_limit()
}

impl SchedulingCycle<'_> {
    /// Whether a candidate may run a job's tasks and the job has not failed there
    /// lately.
    pub(super) fn is_eligible(&self, candidate: &CandidateMachine<'_>, job: &Job) -> bool {
        candidate.allows(&job.spec) && !job.health.avoids(candidate.id, self.now)
    }

    /// Whether the shard's quota lets a team run one more task of a job.
    /// `usage`: the teams' usage with what is planned.
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
