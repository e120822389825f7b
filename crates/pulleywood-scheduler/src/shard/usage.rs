//! Usage of the shard's machines: slots in use by team, and running tasks by job.
//!
//! Invariant: slots that may be in use count as in use, so that no team exceeds its
//! limit through tasks that are not known yet.

use crate::config::Config;
use crate::resources::{ResourceVector, add_slots};
use crate::shard::ShardState;
use crate::shard::machine::{Machine, Slot, SlotState};
use pulleywood_protocol::record::Slots;
use pulleywood_protocol::{JobId, MachineId};
use std::collections::{BTreeMap, BTreeSet};

impl ShardState {
    /// Slots that are or may be in use, by team. A machine with unknown tasks counts in
    /// full against every team that has a limit.
    pub fn usage_by_team(&self, config: &Config) -> BTreeMap<String, Slots> {
        // A list avoids a map lookup for each of thousands of slots; there are few
        // teams.
        let mut by_team: Vec<(&str, Slots)> = Vec::new();
        let mut unknown = Slots::default();
        for machine in self.machines.values() {
            for slot in machine.slots.iter().filter(|s| s.holds_resources()) {
                if let Some(spec) = &slot.spec {
                    let slots = ResourceVector::of_task(spec).slots();
                    match by_team.iter_mut().find(|(team, _)| *team == spec.team) {
                        Some((_, sum)) => add_slots(sum, slots),
                        None => by_team.push((&spec.team, slots)),
                    }
                }
            }
            if machine.unreported || machine.has_unknown_attempts() {
                add_slots(&mut unknown, slots_of_machine(machine, config));
            }
        }
        let by_team = by_team.into_iter();
        let mut used: BTreeMap<String, Slots> = by_team
            .map(|(team, slots)| (team.to_owned(), slots))
            .collect();
        for (name, team) in &config.teams {
            if team.has_limit() {
                add_slots(used.entry(name.clone()).or_default(), unknown);
            }
        }
        used
    }

    /// Number of running tasks of every live job with active tasks, counted in one
    /// pass.
    pub fn running_tasks_by_job(&self) -> Vec<(JobId, u32)> {
        let mut counts: BTreeMap<&JobId, u32> = BTreeMap::new();
        for slot in self.machines.values().flat_map(|m| &m.slots) {
            if is_running(slot) {
                *counts.entry(&slot.task.job).or_insert(0) += 1;
            }
        }
        counts.retain(|id, _| self.jobs.get(*id).is_some_and(|j| !j.active.is_empty()));
        counts.into_iter().map(|(id, n)| (id.clone(), n)).collect()
    }

    /// Number of running tasks of a job; 0 if the job is unknown.
    pub fn running_tasks(&self, id: &JobId) -> u32 {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let machine_ids: BTreeSet<&MachineId> = job.active.values().map(|(m, _)| m).collect();
        machine_ids
            .into_iter()
            .filter_map(|m| self.machines.get(m))
            .flat_map(|m| &m.slots)
            .filter(|s| &s.task.job == id && is_running(s))
            .count() as u32
    }
}

/// A task that is saving its state counts as running.
fn is_running(slot: &Slot) -> bool {
    matches!(slot.state, SlotState::Running | SlotState::Saving)
}

/// All slots of a machine. A machine of unknown type counts as more than any limit.
fn slots_of_machine(machine: &Machine, config: &Config) -> Slots {
    const BEYOND_ANY_LIMIT: f64 = f64::MAX / 1e6;
    config
        .flavors
        .get(&machine.record.flavor)
        .map(ResourceVector::of_flavor)
        .unwrap_or(ResourceVector {
            cpus: BEYOND_ANY_LIMIT,
            gpus: BEYOND_ANY_LIMIT,
            memory_gb: 0.0,
        })
        .slots()
}
