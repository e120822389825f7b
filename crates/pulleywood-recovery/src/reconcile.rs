//! Reconciliation of stored records, heartbeats and the cloud's machine list.
//!
//! Each machine and each reported attempt gets exactly one class with its reason and one
//! action, and each task of a live job is assigned to exactly one set.

use crate::evidence::{BlockedScope, Evidence, ReceivedHeartbeat, StoredJob};
use crate::machine_class::{self, MachineClass, MachineFinding};
use crate::task_class::{TaskClass, TaskFinding};
use pulleywood_protocol::worker::{Cause, TaskState, TaskStatus};
use pulleywood_protocol::{Attempt, JobId, MachineId, ShardId, TaskId};
use roaring::RoaringBitmap;
use std::collections::{BTreeMap, BTreeSet};

/// The tasks of one live job, partitioned by state.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct JobTaskSets {
    /// Recorded as done in the store.
    pub done: RoaringBitmap,
    /// Completed on a machine, and not yet recorded as done.
    pub uncommitted: RoaringBitmap,
    /// The newest attempt is running on a machine of the shard that the task is assigned to: no
    /// command is needed.
    pub running: RoaringBitmap,
    /// Running on a machine that has to stop the task, or to confirm its state by a current
    /// heartbeat, before the task is launched again.
    pub blocked: RoaringBitmap,
    /// Possibly running on a machine that has not sent a current heartbeat, or whose record is
    /// duplicated or cannot be decoded.
    pub unreported: RoaringBitmap,
    /// Not running on any machine: to be launched.
    pub missing: RoaringBitmap,
}

impl JobTaskSets {
    /// All sets with their names, in order of precedence.
    pub fn named_sets(&self) -> [(&'static str, &RoaringBitmap); 6] {
        [
            ("done", &self.done),
            ("uncommitted", &self.uncommitted),
            ("running", &self.running),
            ("blocked", &self.blocked),
            ("unreported", &self.unreported),
            ("missing", &self.missing),
        ]
    }
}

/// The result of a reconciliation.
#[derive(Debug, Clone, Default)]
pub struct Reconciliation {
    /// The finding about each machine that has a record, sent a heartbeat or is listed by the
    /// cloud.
    pub machines: BTreeMap<MachineId, MachineFinding>,
    /// The finding about each reported attempt.
    pub tasks: Vec<TaskFinding>,
    /// The task sets of each live job whose record can be decoded.
    pub jobs: BTreeMap<JobId, JobTaskSets>,
}

/// Properties that decide which tasks a machine may run. Machines that may run tasks which no
/// heartbeat lists are grouped by them.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct UnreportedMachineKind<'a> {
    shard: ShardId,
    flavor: &'a str,
    zone: &'a str,
    spot: bool,
}

/// Classifies all machines and reported attempts, and assigns the tasks of live jobs to their
/// sets.
pub fn reconcile(evidence: &Evidence<'_>) -> Reconciliation {
    let machines = classify_machines(evidence);
    let newest_attempts = newest_attempts(evidence);
    let mut reconciliation = Reconciliation::default();
    for (id, job) in &evidence.stored.jobs {
        let done = job.done.clone();
        let sets = JobTaskSets {
            done,
            ..JobTaskSets::default()
        };
        reconciliation.jobs.insert(id.clone(), sets);
    }
    for (id, received) in evidence.heartbeats {
        let is_confirmed = machines
            .get(id)
            .is_some_and(|m| m.class == MachineClass::Confirmed);
        let mut listed = BTreeSet::new();
        for task in &received.heartbeat.tasks {
            let is_first = listed.insert((&task.task, task.attempt));
            let class = if !is_first {
                TaskClass::Impossible
            } else if !is_confirmed {
                TaskClass::Unproven
            } else {
                classify_task(id, received, task, evidence, &newest_attempts)
            };
            reconciliation.add_reported_task(task, class);
            reconciliation
                .tasks
                .push(task_finding(id, task, class, evidence));
        }
    }
    reconciliation.machines = machines;
    reconciliation.assign_unreported_tasks(evidence);
    reconciliation
}

fn classify_machines(evidence: &Evidence<'_>) -> BTreeMap<MachineId, MachineFinding> {
    let stored = evidence.stored;
    let unreadable = stored.unreadable.iter().filter_map(|u| match &u.blocks {
        BlockedScope::Machine(id) => Some(id),
        _ => None,
    });
    let listed = evidence.cloud.iter().flat_map(|c| c.listed.keys());
    let all: BTreeSet<&MachineId> = stored
        .machines
        .keys()
        .chain(evidence.heartbeats.keys())
        .chain(listed)
        .chain(unreadable)
        .collect();
    let ids = all.into_iter();
    ids.map(|id| (id.clone(), machine_class::classify(id, evidence)))
        .collect()
}

/// The newest attempt of each task that has not exited, according to current heartbeats.
fn newest_attempts<'a>(evidence: &Evidence<'a>) -> BTreeMap<&'a TaskId, Attempt> {
    let mut newest: BTreeMap<&TaskId, Attempt> = BTreeMap::new();
    let current = evidence.heartbeats.values().filter(|h| h.is_current);
    for task in current.flat_map(|h| &h.heartbeat.tasks) {
        if task.state != TaskState::Exited {
            let newest_attempt = newest.entry(&task.task).or_insert(task.attempt);
            *newest_attempt = (*newest_attempt).max(task.attempt);
        }
    }
    newest
}

fn classify_task(
    machine: &MachineId,
    received: &ReceivedHeartbeat,
    status: &TaskStatus,
    evidence: &Evidence<'_>,
    newest_attempts: &BTreeMap<&TaskId, Attempt>,
) -> TaskClass {
    let (stored, id) = (evidence.stored, &status.task.job);
    // A worker receives an attempt together with a fencing token that is at least as high.
    if status.attempt.fencing_token() > received.heartbeat.fencing_token {
        return TaskClass::Impossible;
    }
    if stored.is_blocked(id) {
        return TaskClass::JobUnreadable;
    }
    let Some(job) = stored.jobs.get(id) else {
        return if stored.closed_jobs.contains(id) {
            TaskClass::JobEnded
        } else {
            TaskClass::JobUnknown
        };
    };
    if status.task.index >= job.spec.tasks {
        return TaskClass::Impossible;
    }
    let recorded = job.done.contains(status.task.index);
    if status.state == TaskState::Exited {
        // Replicas of services that exit are launched again, so they are never done.
        let done = status.cause == Some(Cause::Done) && job.spec.shape.runs_to_completion();
        return match (done, recorded) {
            (true, false) => TaskClass::DoneNotCommitted,
            (true, true) => TaskClass::DoneCommitted,
            (false, _) => TaskClass::Ended,
        };
    }
    if recorded {
        return TaskClass::DoneStillRunning;
    }
    let shard = stored.machines.get(machine).map(|m| m.shard);
    if job.shard_of(status.task.index) != shard {
        return TaskClass::OtherShard;
    }
    match newest_attempts.get(&status.task) {
        Some(newest) if *newest > status.attempt => TaskClass::OlderAttempt,
        _ => TaskClass::Matched,
    }
}

fn task_finding(
    machine: &MachineId,
    status: &TaskStatus,
    class: TaskClass,
    evidence: &Evidence<'_>,
) -> TaskFinding {
    let has_exited = status.state == TaskState::Exited;
    let state = match status.cause {
        Some(cause) => format!("{:?}, {cause:?}", status.state),
        None => format!("{:?}", status.state),
    };
    TaskFinding {
        task: status.task.clone(),
        attempt: status.attempt,
        machine: machine.clone(),
        shard: evidence.stored.machines.get(machine).map(|m| m.shard),
        class,
        action: class.action(has_exited),
        reason: format!(
            "reported as {state}, attempt issued under fencing token {}",
            status.attempt.fencing_token()
        ),
    }
}

impl Reconciliation {
    /// Adds a reported task of a live job to the set that its class implies.
    fn add_reported_task(&mut self, status: &TaskStatus, class: TaskClass) {
        let Some(sets) = self.jobs.get_mut(&status.task.job) else {
            return;
        };
        let set = match class {
            TaskClass::Matched => &mut sets.running,
            TaskClass::DoneNotCommitted => &mut sets.uncommitted,
            TaskClass::Unproven if status.state == TaskState::Exited => return,
            TaskClass::Unproven | TaskClass::OtherShard | TaskClass::OlderAttempt => {
                &mut sets.blocked
            }
            _ => return,
        };
        set.insert(status.task.index);
    }

    /// Assigns the tasks that no heartbeat lists: to `unreported` if they may run on a machine
    /// whose tasks are not known for certain, else to `missing`. A task in several sets stays
    /// only in the set with the highest precedence.
    fn assign_unreported_tasks(&mut self, evidence: &Evidence<'_>) {
        let unreported_kinds = self.unreported_kinds(evidence);
        let unknown_machines = has_unknown_machines(evidence);
        for (id, job) in &evidence.stored.jobs {
            let Some(sets) = self.jobs.get_mut(id) else {
                continue;
            };
            if evidence.stored.is_blocked(id) {
                continue;
            }
            sets.uncommitted -= &sets.done;
            sets.running -= &sets.uncommitted;
            sets.blocked -= &sets.running;
            sets.blocked -= &sets.uncommitted;
            for (shard, share) in &job.shares {
                let mut unassigned = share - &sets.done;
                for set in [&sets.uncommitted, &sets.running, &sets.blocked] {
                    unassigned -= set;
                }
                let may_run = |kind: &UnreportedMachineKind<'_>| {
                    let config = evidence.config;
                    kind.shard == *shard
                        && config.may_run_on(&job.spec, kind.flavor, kind.zone, kind.spot)
                };
                if unknown_machines || unreported_kinds.iter().any(may_run) {
                    sets.unreported |= unassigned
                } else {
                    sets.missing |= unassigned
                }
            }
        }
    }

    /// The kinds of the machines that may run tasks which no heartbeat lists.
    fn unreported_kinds<'a>(&self, evidence: &Evidence<'a>) -> BTreeSet<UnreportedMachineKind<'a>> {
        let classes = [
            MachineClass::Unreported,
            MachineClass::EarlierFencingToken,
            MachineClass::AboveCounter,
            MachineClass::RecordedTwice,
        ];
        let machines = evidence.stored.machines.iter();
        let unreported = machines.filter(|(id, _)| {
            let finding = self.machines.get(*id);
            finding.is_some_and(|f| classes.contains(&f.class))
        });
        unreported
            .map(|(_, record)| UnreportedMachineKind {
                shard: record.shard,
                flavor: &record.flavor,
                zone: &record.zone,
                spot: record.spot,
            })
            .collect()
    }

    /// Number of machines in each class.
    pub fn machine_counts(&self) -> BTreeMap<MachineClass, usize> {
        let mut counts = BTreeMap::new();
        for finding in self.machines.values() {
            *counts.entry(finding.class).or_insert(0) += 1;
        }
        counts
    }

    /// Number of reported attempts in each class.
    pub fn task_counts(&self) -> BTreeMap<TaskClass, usize> {
        let mut counts = BTreeMap::new();
        for finding in &self.tasks {
            *counts.entry(finding.class).or_insert(0) += 1;
        }
        counts
    }
}

/// Whether a machine batch cannot be decoded, or the record of a machine whose lease may still
/// be valid. Any task from before the failover may run on such a machine.
fn has_unknown_machines(evidence: &Evidence<'_>) -> bool {
    let mut unreadable = evidence.stored.unreadable.iter();
    unreadable.any(|record| match &record.blocks {
        BlockedScope::Machine(id) => !evidence.expired_leases.contains(id),
        BlockedScope::WholeValue => record
            .key
            .starts_with(pulleywood_protocol::record::MACHINE_BATCHES),
        BlockedScope::Job(_) => false,
    })
}

/// Number of tasks of a job that are neither done, completed nor running. A recovery launches
/// at least as many, once no machine can still be running them.
pub fn min_launches(job: &StoredJob, sets: &JobTaskSets) -> u64 {
    let total = u64::from(job.spec.tasks);
    let accounted_for = [&sets.done, &sets.uncommitted, &sets.running];
    total - accounted_for.iter().map(|set| set.len()).sum::<u64>()
}
