//! Health of a job, from its task failures: whether it is in back-off, whether it is
//! broken, and which machines it avoids.
//!
//! Invariant: a job is broken only while it has failed on several machines since it last
//! ran well anywhere; each failure of a broken job starts a new back-off.

use pulleywood_protocol::{JobId, MachineId, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of machines on which a job must fail, without running well on any, to be
/// broken.
const BROKEN_AFTER_MACHINES: usize = 3;
/// How long a job avoids a machine on which it failed.
const MACHINE_RETRY_DELAY: Duration = Duration::from_secs(60);
/// How long a broken job avoids such a machine. It tries others first, because all the
/// machines that it was tried on may be faulty.
const BROKEN_JOB_MACHINE_RETRY_DELAY: Duration = Duration::from_secs(120);
/// Number of machines that a broken job avoids at most, as there may be no others.
const MAX_AVOIDED_MACHINES: usize = 4;
/// The back-off is 2 to the power of the number of machines, in seconds, up to this
/// power.
const MAX_BACK_OFF_EXPONENT: usize = 6;

/// Record of a job's failures and the restrictions that follow from them.
#[derive(Debug, Default)]
pub struct Health {
    /// Machines on which the job failed, with the time of the last failure.
    failed_on: BTreeMap<MachineId, MonotonicTime>,
    /// Machines on which the job failed since it last ran well anywhere.
    failed_since_success: BTreeSet<MachineId>,
    /// The longest time that a task ran before it failed.
    longest_failed_run: Duration,
    broken: bool,
    back_off_until: MonotonicTime,
}

impl Health {
    /// Records that a task failed on a machine after running for `run_time`. Returns
    /// whether this made the job broken.
    pub(super) fn record_failure(
        &mut self,
        machine: &MachineId,
        run_time: Duration,
        now: MonotonicTime,
    ) -> bool {
        self.longest_failed_run = self.longest_failed_run.max(run_time);
        self.failed_on.insert(machine.clone(), now);
        self.failed_since_success.insert(machine.clone());
        if self.failed_since_success.len() < BROKEN_AFTER_MACHINES && !self.broken {
            return false;
        }
        self.start_back_off(now);
        self.forget_oldest_failures();
        !std::mem::replace(&mut self.broken, true)
    }

    fn forget_oldest_failures(&mut self) {
        while self.failed_on.len() > MAX_AVOIDED_MACHINES
            && let Some((oldest, _)) = self.failed_on.iter().min_by_key(|(_, at)| **at)
        {
            let oldest = oldest.clone();
            self.failed_on.remove(&oldest);
        }
    }

    /// Launches no task of the job for 2 to 64 s, longer with each machine on which it
    /// failed since it last ran well.
    pub(super) fn start_back_off(&mut self, now: MonotonicTime) {
        let machines = self.failed_since_success.len();
        let seconds = 1u64 << machines.clamp(1, MAX_BACK_OFF_EXPONENT);
        self.back_off_until = now + Duration::from_secs(seconds);
    }

    /// Records that the job runs well, which attributes its earlier failures to the
    /// machines. Returns whether the job was broken until now.
    pub(super) fn record_success(&mut self) -> bool {
        self.failed_since_success.clear();
        self.back_off_until = MonotonicTime(0);
        std::mem::take(&mut self.broken)
    }

    /// Machines on which the job failed since it last ran well anywhere.
    pub(super) fn failed_since_success(&self) -> &BTreeSet<MachineId> {
        &self.failed_since_success
    }

    /// The longest time that a task ran before it failed.
    pub(super) fn longest_failed_run(&self) -> Duration {
        self.longest_failed_run
    }

    /// Whether the job is in back-off, during which none of its tasks is launched.
    pub fn is_backing_off(&self, now: MonotonicTime) -> bool {
        now < self.back_off_until
    }

    /// Whether the job fails on every machine that it is launched on.
    pub fn is_broken(&self) -> bool {
        self.broken
    }

    /// Whether the job failed on this machine recently and is not launched there.
    pub fn avoids(&self, machine: &MachineId, now: MonotonicTime) -> bool {
        let retry_after = if self.broken {
            BROKEN_JOB_MACHINE_RETRY_DELAY
        } else {
            MACHINE_RETRY_DELAY
        };
        let failed = self.failed_on.get(machine);
        failed.is_some_and(|at| now.since(*at) < retry_after)
    }
}

/// A change in the health of a job or machine, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HealthEvent {
    /// The job fails on several machines and runs well on none.
    JobBroken(JobId),
    /// A broken job runs well again.
    JobRecovered(JobId),
    /// The machine fails jobs that run well on others.
    MachineQuarantined(MachineId),
    /// A quarantined machine is in use again.
    MachineRestored(MachineId),
}
