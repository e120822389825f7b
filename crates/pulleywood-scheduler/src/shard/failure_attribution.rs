//! Whether a failure is the job's fault or the machine's.
//!
//! A faulty machine fails whatever is launched there; a job that was submitted with
//! a mistake fails wherever it is launched. What the job does elsewhere tells them
//! apart: evidence against a machine is a failure there of a job that runs well on
//! others. A job that fails on several machines and runs well on none is broken. It
//! is tried now and then with one task.
//!
//! Invariant: until a broken job runs well it takes nothing from others: no resources
//! are reserved, rented or freed for it, and no machine is blamed for its failures.

use crate::config::Config;
use crate::shard::machine::SlotState;
use crate::shard::{Job, ShardState};
use pulleywood_protocol::{JobId, MachineId, MonotonicTime};
use std::time::Duration;

pub use crate::shard::health::{Health, HealthEvent};

/// A task that has run for this long runs well, if that is also longer than other
/// tasks of its job took to fail.
const RUNS_WELL_AFTER: Duration = Duration::from_secs(5);

impl ShardState {
    /// A task of a job failed after running for `ran`, on a machine that is taken out
    /// of `machines` meanwhile.
    pub(super) fn record_task_failure(
        &mut self,
        id: &JobId,
        machine: &MachineId,
        ran: Duration,
        now: MonotonicTime,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        self.failing_jobs.insert(id.clone());
        if job.health.record_failure(machine, ran, now) {
            self.health_events.push(HealthEvent::JobBroken(id.clone()));
        }
    }

    /// Attributes recent failures: to the machines if the job runs well elsewhere,
    /// and quarantines machines by these. Returns whether a job or a machine can be
    /// used again or no longer.
    pub(super) fn attribute_failures(&mut self, now: MonotonicTime, config: &Config) -> bool {
        let recovered = self.attribute_failures_of_healthy_jobs(now);
        let quarantines = self.update_quarantines(config);
        recovered || quarantines
    }

    /// Returns whether a broken job runs well again.
    fn attribute_failures_of_healthy_jobs(&mut self, now: MonotonicTime) -> bool {
        let mut recovered = false;
        for id in std::mem::take(&mut self.failing_jobs) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if !self.is_running_well(&id, job, now) {
                self.failing_jobs.insert(id);
                continue;
            }
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            for machine in job.health.failed_since_success() {
                if let Some(machine) = self.machines.get_mut(machine) {
                    machine.failed_jobs.insert(id.clone(), now);
                }
            }
            if job.health.record_success() {
                self.health_events.push(HealthEvent::JobRecovered(id));
                recovered = true;
            }
        }
        recovered
    }

    /// Returns whether a machine was quarantined or is used again.
    fn update_quarantines(&mut self, config: &Config) -> bool {
        let mut changed = false;
        for (id, machine) in &mut self.machines {
            let quarantined = machine.failed_jobs.len() >= config.policy.sick_jobs as usize;
            if quarantined == machine.quarantined {
                continue;
            }
            machine.quarantined = quarantined;
            changed = true;
            self.health_events.push(if quarantined {
                HealthEvent::MachineQuarantined(id.clone())
            } else {
                HealthEvent::MachineRestored(id.clone())
            });
        }
        changed
    }

    /// Whether some task of a job is done, or has run for longer than others took to
    /// fail.
    fn is_running_well(&self, id: &JobId, job: &Job, now: MonotonicTime) -> bool {
        let long = RUNS_WELL_AFTER.max(job.health.longest_failed_run() * 2);
        let well = |(index, (machine, attempt)): (&u32, &(MachineId, _))| {
            let slots = self.machines.get(machine).map(|m| &m.slots);
            slots.into_iter().flatten().any(|s| {
                (s.task.index, s.attempt) == (*index, *attempt)
                    && s.task.job == *id
                    && s.state == SlotState::Running
                    && s.running_since.is_some_and(|at| now.since(at) >= long)
            })
        };
        !job.done.is_empty() || job.active.iter().any(well)
    }

    /// What failures showed of jobs and machines since the last call.
    pub fn take_health_events(&mut self) -> Vec<HealthEvent> {
        std::mem::take(&mut self.health_events)
    }
}
