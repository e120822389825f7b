//! Classification of machines after a cold start: one class and one action for each machine.

use crate::evidence::{BlockedScope, Evidence, ReceivedHeartbeat};
use pulleywood_protocol::cloud::RentalStatus;
use pulleywood_protocol::record::MachineRecord;
use pulleywood_protocol::{FencingToken, MachineId, ShardId};
use serde::Serialize;

/// State of a machine according to the evidence. Each machine has exactly one class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineClass {
    /// Has a record, and its heartbeat is known to be current.
    #[serde(rename = "known")]
    Confirmed,
    /// Has a record, but its heartbeat may be a delayed copy: its worker has not seen the
    /// current fencing token of its shard.
    #[serde(rename = "earlier_term")]
    EarlierFencingToken,
    /// Its worker has seen a fencing token above the counter, so the store was restored from
    /// an older copy.
    AboveCounter,
    /// Sent a heartbeat, but has no record.
    Unrecorded,
    /// Has records in more than one machine batch.
    RecordedTwice,
    /// Has a record, sent no heartbeat, and may still run tasks.
    #[serde(rename = "silent")]
    Unreported,
    /// Has a record, sent no heartbeat, and its worker's lease is certain to have expired.
    #[serde(rename = "silent_lapsed")]
    LeaseExpired,
    /// Has a record, but the cloud no longer has the machine or lists it as failed.
    Gone,
    /// Has a record without a worker address, so no task was ever launched on it.
    NeverUsed,
    /// Listed by the cloud, but has no record and sent no heartbeat.
    #[serde(rename = "never_heard")]
    NoHeartbeat,
    /// Listed by the cloud as failed, and has no record.
    FailedUnrecorded,
    /// Its record cannot be decoded.
    Unreadable,
}

/// Action that follows from the class of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineAction {
    /// No action.
    Keep,
    /// Send the current fencing token to its worker, which then sends a heartbeat under it.
    Announce,
    /// Raise the fencing-token counter to its fencing token, and acquire its shard again.
    RaiseCounter,
    /// Write its record before any task is launched on it.
    Register,
    /// Wait for its heartbeat, or until its lease is certain to have expired.
    Wait,
    /// Launch its tasks on other machines.
    #[serde(rename = "free_tasks")]
    RelaunchTasks,
    /// Release it to the cloud, and delete its record once the release is confirmed.
    ConfirmRelease,
    /// Report it to the operator, and write nothing.
    Report,
}

/// Result of the classification of one machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MachineFinding {
    /// Id of the machine.
    pub machine: MachineId,
    /// The shard in its record; `None` without a record.
    pub shard: Option<ShardId>,
    /// The class of the machine.
    pub class: MachineClass,
    /// The action that follows.
    pub action: MachineAction,
    /// Reason for the class, as text for operators.
    #[serde(rename = "evidence")]
    pub reason: String,
}

/// Classifies one machine that has a record, sent a heartbeat or is listed by the cloud.
///
/// The first rule that applies decides. An unreadable record, a fencing token above the
/// counter and a duplicate record have precedence over the contents of a heartbeat.
pub fn classify(id: &MachineId, evidence: &Evidence<'_>) -> MachineFinding {
    let record = evidence.stored.machines.get(id);
    let received = evidence.heartbeats.get(id);
    let (class, action, reason) = match (record, received) {
        _ if is_unreadable(id, evidence) => (
            MachineClass::Unreadable,
            MachineAction::Report,
            "its record cannot be decoded".to_owned(),
        ),
        (_, Some(received)) if received.heartbeat.fencing_token > evidence.stored.fencing_token => {
            (
                MachineClass::AboveCounter,
                MachineAction::RaiseCounter,
                fencing_token_mismatch(
                    received.heartbeat.fencing_token,
                    "the counter's",
                    evidence.stored.fencing_token,
                ),
            )
        }
        _ if evidence.stored.recorded_twice.contains(id) => (
            MachineClass::RecordedTwice,
            MachineAction::Report,
            "it has records in more than one machine batch".to_owned(),
        ),
        (Some(_), Some(received)) => classify_reported(received),
        (None, Some(received)) => (
            MachineClass::Unrecorded,
            MachineAction::Register,
            format!(
                "sent a heartbeat from {}, has no record",
                received.heartbeat.endpoint
            ),
        ),
        (Some(record), None) => classify_unreported(id, record, evidence),
        (None, None) => classify_listed(id, evidence),
    };
    MachineFinding {
        machine: id.clone(),
        shard: record.map(|r| r.shard),
        class,
        action,
        reason,
    }
}

type Classified = (MachineClass, MachineAction, String);

fn fencing_token_mismatch(seen: FencingToken, other: &str, known: FencingToken) -> String {
    format!("its worker has seen fencing token {seen}, {other} is {known}")
}

fn is_unreadable(id: &MachineId, evidence: &Evidence<'_>) -> bool {
    let mut unreadable = evidence.stored.unreadable.iter();
    unreadable
        .any(|record| matches!(&record.blocks, BlockedScope::Machine(machine) if machine == id))
}

fn classify_reported(received: &ReceivedHeartbeat) -> Classified {
    let heartbeat = &received.heartbeat;
    let summary = format!(
        "heartbeat of incarnation {}, sequence number {}, lists {} tasks under fencing token {}",
        heartbeat.incarnation,
        heartbeat.seq,
        heartbeat.tasks.len(),
        heartbeat.fencing_token
    );
    if received.is_current {
        (MachineClass::Confirmed, MachineAction::Keep, summary)
    } else {
        (
            MachineClass::EarlierFencingToken,
            MachineAction::Announce,
            summary,
        )
    }
}

fn classify_unreported(
    id: &MachineId,
    record: &MachineRecord,
    evidence: &Evidence<'_>,
) -> Classified {
    if let Some(cloud) = evidence.cloud
        && cloud.is_gone(id, evidence.now)
    {
        let reason = match cloud.listed.get(id) {
            Some(status) => format!("the cloud lists it as {status:?}"),
            None => {
                "missing from the cloud's machine lists for longer than they may lag".to_owned()
            }
        };
        return (MachineClass::Gone, MachineAction::ConfirmRelease, reason);
    }
    if record.endpoint.is_empty() {
        let reason = "its record has no worker address".to_owned();
        return (MachineClass::NeverUsed, MachineAction::Keep, reason);
    }
    if evidence.expired_leases.contains(id) {
        (
            MachineClass::LeaseExpired,
            MachineAction::RelaunchTasks,
            "sent no heartbeat, and its lease is certain to have expired".to_owned(),
        )
    } else {
        (
            MachineClass::Unreported,
            MachineAction::Wait,
            "sent no heartbeat, and may still run its tasks".to_owned(),
        )
    }
}

fn classify_listed(id: &MachineId, evidence: &Evidence<'_>) -> Classified {
    let status = evidence.cloud.and_then(|c| c.listed.get(id));
    match status {
        Some(RentalStatus::Failed) => (
            MachineClass::FailedUnrecorded,
            MachineAction::ConfirmRelease,
            "the cloud lists it as failed".to_owned(),
        ),
        _ => (
            MachineClass::NoHeartbeat,
            MachineAction::Wait,
            format!("listed by the cloud as {status:?}, sent no heartbeat"),
        ),
    }
}
