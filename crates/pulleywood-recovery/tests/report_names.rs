//! Names of classes, actions and phases in the JSON of `inspect`. Operators' scripts read them,
//! so they stay those of an earlier release.

use pulleywood_recovery::machine_class::{MachineAction, MachineClass};
use pulleywood_recovery::progress::Phase;
use pulleywood_recovery::task_class::{TaskAction, TaskClass};
use serde::Serialize;
use serde_json::Value;

/// The JSON names of the values, joined by spaces.
fn names<T: Serialize>(values: &[T]) -> String {
    let names = values
        .iter()
        .map(|value| match serde_json::to_value(value) {
            Ok(Value::String(name)) => name,
            other => panic!("not serialized as a string: {other:?}"),
        });
    names.collect::<Vec<_>>().join(" ")
}

#[test]
fn classes_actions_and_phases_keep_their_json_names() {
    let machines = [
        MachineClass::Confirmed,
        MachineClass::EarlierFencingToken,
        MachineClass::AboveCounter,
        MachineClass::Unrecorded,
        MachineClass::RecordedTwice,
        MachineClass::Unreported,
        MachineClass::LeaseExpired,
        MachineClass::Gone,
        MachineClass::NeverUsed,
        MachineClass::NoHeartbeat,
        MachineClass::FailedUnrecorded,
        MachineClass::Unreadable,
    ];
    assert_eq!(
        names(&machines),
        "known earlier_term above_counter unrecorded recorded_twice silent silent_lapsed gone \
         never_used never_heard failed_unrecorded unreadable"
    );
    let actions = [
        MachineAction::Keep,
        MachineAction::Announce,
        MachineAction::RaiseCounter,
        MachineAction::Register,
        MachineAction::Wait,
        MachineAction::RelaunchTasks,
        MachineAction::ConfirmRelease,
        MachineAction::Report,
    ];
    assert_eq!(
        names(&actions),
        "keep announce raise_counter register wait free_tasks confirm_release report"
    );
    let tasks = [
        TaskClass::Matched,
        TaskClass::OtherShard,
        TaskClass::OlderAttempt,
        TaskClass::DoneNotCommitted,
        TaskClass::DoneCommitted,
        TaskClass::DoneStillRunning,
        TaskClass::Ended,
        TaskClass::JobEnded,
        TaskClass::JobUnknown,
        TaskClass::JobUnreadable,
        TaskClass::Impossible,
        TaskClass::Unproven,
    ];
    assert_eq!(
        names(&tasks),
        "matched other_shard older_attempt done_not_committed done_committed \
         done_still_running ended job_over job_unknown job_unreadable impossible unproven"
    );
    let actions = [
        TaskAction::Keep,
        TaskAction::Stop,
        TaskAction::Clear,
        TaskAction::CommitThenClear,
        TaskAction::VerifyThenStop,
        TaskAction::Wait,
    ];
    assert_eq!(
        names(&actions),
        "keep halt clear commit_then_clear verify_then_halt wait"
    );
    let phases = [
        Phase::Read,
        Phase::Hear,
        Phase::Decide,
        Phase::Act,
        Phase::Complete,
    ];
    assert_eq!(names(&phases), "read hear decide act complete");
}
