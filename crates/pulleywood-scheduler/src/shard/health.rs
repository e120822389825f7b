//! What a job's failures show of the job: whether it is in back-off, whether it is
//! broken, and which machines it avoids.
//!
//! Invariant: a job is broken only while it has failed on several machines since it
//! last ran well anywhere; each failure of a broken job starts a new back-off.

use pulleywood_protocol::{JobId, MachineId, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A job that failed on so many machines and ran well on none is broken.
const BROKEN_AFTER_MACHINES: usize = 3;
/// Launches avoid a machine on which the job failed for this long.
const RETRY_ON_MACHINE: Duration = Duration::from_secs(60);
/// The same for a broken job. It tries other machines first, as all that it was
/// tried on may be at fault.
const RETRY_BROKEN_ON_MACHINE: Duration = Duration::from_secs(120);
/// Most machines that a broken job avoids, as there may be no others.
const MAX_AVOIDED: usize = 4;
/// The back-off doubles with each machine, up to 2 to the power of this, in seconds.
const MAX_BACK_OFF_EXPONENT: usize = 6;

/// What a job's failures show.
#[derive(Debug, Default)]
pub struct Health {
    /// Machines on which it failed, and when it last did.
    failed_on: BTreeMap<MachineId, MonotonicTime>,
    /// Machines on which it failed since it last ran well anywhere.
    failed_since_success: BTreeSet<MachineId>,
    /// The longest that a task ran before it failed.
    longest_failed_run: Duration,
    broken: bool,
    back_off_until: MonotonicTime,
}

impl Health {
    /// A task failed on a machine after running for `ran`. Returns whether the job
    /// became broken by it.
    pub(super) fn record_failure(
        &mut self,
        machine: &MachineId,
        ran: Duration,
        now: MonotonicTime,
    ) -> bool {
        self.longest_failed_run = self.longest_failed_run.max(ran);
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
        while self.failed_on.len() > MAX_AVOIDED
            && let Some((oldest, _)) = self.failed_on.iter().min_by_key(|(_, at)| **at)
        {
            let oldest = oldest.clone();
            self.failed_on.remove(&oldest);
        }
    }

    /// The job is not launched for 2 to 64 s, longer with each machine on which it
    /// failed since it last ran well.
    pub(super) fn start_back_off(&mut self, now: MonotonicTime) {
        let machines = self.failed_since_success.len();
        let seconds = 1u64 << machines.clamp(1, MAX_BACK_OFF_EXPONENT);
        self.back_off_until = now + Duration::from_secs(seconds);
    }

    /// The job ran well, so its earlier failures were the machines'. Returns whether
    /// it was broken until now.
    pub(super) fn record_success(&mut self) -> bool {
        self.failed_since_success.clear();
        self.back_off_until = MonotonicTime(0);
        std::mem::take(&mut self.broken)
    }

    /// Machines on which it failed since it last ran well anywhere.
    pub(super) fn failed_since_success(&self) -> &BTreeSet<MachineId> {
        &self.failed_since_success
    }

    /// The longest that a task ran before it failed.
    pub(super) fn longest_failed_run(&self) -> Duration {
        self.longest_failed_run
    }

    /// Whether the job is in back-off: nothing of it is launched now.
    pub fn is_backing_off(&self, now: MonotonicTime) -> bool {
        now < self.back_off_until
    }

    /// Whether the job fails wherever it is launched.
    pub fn is_broken(&self) -> bool {
        self.broken
    }

    /// Whether the job failed on this machine lately and is not launched there.
    pub fn avoids(&self, machine: &MachineId, now: MonotonicTime) -> bool {
        let retry_after = if self.broken {
            RETRY_BROKEN_ON_MACHINE
        } else {
            RETRY_ON_MACHINE
        };
        let failed = self.failed_on.get(machine);
        failed.is_some_and(|at| now.since(*at) < retry_after)
    }
}

/// What failures showed of a job or a machine, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HealthEvent {
    /// The job fails on several machines and runs well on none.
    JobBroken(JobId),
    /// A broken job runs well after all.
    JobRecovered(JobId),
    /// The machine fails jobs that run well elsewhere.
    MachineQuarantined(MachineId),
    /// A quarantined machine is used again.
    MachineRestored(MachineId),
}
