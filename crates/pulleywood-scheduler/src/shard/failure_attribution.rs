//! Attribution of task failures to the job or to the machine.
//!
//! A faulty machine fails every job that is launched on it; a job that was submitted
//! with a mistake fails on every machine. How the job does on other machines tells the
//! two apart: a failure counts against a machine if the job runs well on others. A job
//! that fails on several machines and runs well on none is broken. It is retried at
//! intervals with a single task.
//!
//! Invariant: until a broken job runs well, it takes nothing from others: no resources
//! are reserved, rented or freed for it, and its failures count against no machine.

use crate::config::Config;
use crate::shard::machine::SlotState;
use crate::shard::{Job, ShardState};
use pulleywood_protocol::{JobId, MachineId, MonotonicTime};
use std::time::Duration;

pub use crate::shard::health::{Health, HealthEvent};

/// A task that has run for this long is running well, provided that this is also longer
/// than tasks of its job took to fail.
const MIN_SUCCESSFUL_RUN: Duration = Duration::from_secs(5);

impl ShardState {
    /// Records that a task of a job failed after running for `run_time`. The machine is
    /// not in `machines` during this call.
    pub(super) fn record_task_failure(
        &mut self,
        id: &JobId,
        machine: &MachineId,
        run_time: Duration,
        now: MonotonicTime,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        self.failing_jobs.insert(id.clone());
        if job.health.record_failure(machine, run_time, now) {
            self.health_events.push(HealthEvent::JobBroken(id.clone()));
        }
    }

    /// Attributes recent failures to machines where the job runs well on others, and
    /// quarantines machines accordingly. Returns whether a job or machine became usable
    /// or unusable.
    pub(super) fn attribute_failures(&mut self, now: MonotonicTime, config: &Config) -> bool {
        let recovered = self.attribute_failures_of_healthy_jobs(now);
        let quarantines = self.update_quarantines(config);
        recovered || quarantines
    }

    /// Counts failures of jobs that run well against the machines on which they
    /// happened. Returns whether a broken job runs well again.
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

    /// Quarantines and restores machines by the number of jobs that failed on them.
    /// Returns whether any machine changed.
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

    /// Whether some task of a job is done, or has been running for longer than others
    /// took to fail.
    fn is_running_well(&self, id: &JobId, job: &Job, now: MonotonicTime) -> bool {
        let min_run = MIN_SUCCESSFUL_RUN.max(job.health.longest_failed_run() * 2);
        let has_run_well = |(index, (machine, attempt)): (&u32, &(MachineId, _))| {
            let slots = self.machines.get(machine).map(|m| &m.slots);
            slots.into_iter().flatten().any(|s| {
                (s.task.index, s.attempt) == (*index, *attempt)
                    && s.task.job == *id
                    && s.state == SlotState::Running
                    && s.running_since.is_some_and(|at| now.since(at) >= min_run)
            })
        };
        !job.done.is_empty() || job.active.iter().any(has_run_well)
    }

    /// Returns the health changes of jobs and machines since the last call.
    pub fn take_health_events(&mut self) -> Vec<HealthEvent> {
        std::mem::take(&mut self.health_events)
    }
}
