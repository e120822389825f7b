//! Reconciliation assigns exactly one class and one action to each machine and each reported
//! attempt for any evidence; and the report of `inspect`.

mod common;

use common::*;
use pulleywood_protocol::cbor::{Amount, Value};
use pulleywood_protocol::cloud::{Rental, RentalStatus};
use pulleywood_protocol::record::{FINAL_STATE_PREFIX, FinalRecord, Slots, TaskTransfer};
use pulleywood_protocol::store::Item;
use pulleywood_protocol::worker::{Cause, Heartbeat, TaskState, TaskStatus};
use pulleywood_protocol::{Attempt, FencingToken, JobStatus, MachineId, Rank, Shape, ShardId};
use pulleywood_recovery::commands::CommandPlan;
use pulleywood_recovery::evidence::{
    BlockedScope, CloudEvidence, Evidence, ReceivedHeartbeat, StoredState,
};
use pulleywood_recovery::machine_class::{MachineAction, MachineClass};
use pulleywood_recovery::reconcile::min_launches;
use pulleywood_recovery::report::Report as RecoveryReport;
use pulleywood_recovery::task_class::{TaskAction, TaskClass};
use pulleywood_recovery::{Reconciliation, reconcile};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Stored records, heartbeats and the cloud's list, to be changed by each test.
struct Scenario {
    items: Vec<Item>,
    heartbeats: BTreeMap<MachineId, ReceivedHeartbeat>,
    expired_leases: BTreeSet<MachineId>,
    cloud: Option<CloudEvidence>,
}

impl Scenario {
    /// Job 1 has four tasks in shard 0, of which task 3 is done. Machines 0 and 1 are in
    /// shard 0, machine 2 is in shard 1. No machine has sent a heartbeat.
    fn new() -> Scenario {
        let mut items = base_items();
        let mut record = job_record(spec(1, 4));
        record.done = "3".into();
        items.push(job_item(&record));
        items.push(machine_batch_item(
            1,
            &[(0, machine(0)), (1, machine(0)), (2, machine(1))],
        ));
        Scenario {
            items,
            heartbeats: BTreeMap::new(),
            expired_leases: BTreeSet::new(),
            cloud: None,
        }
    }

    /// Adds a current heartbeat of `machine` that lists `tasks`.
    fn with_heartbeat(mut self, machine: usize, tasks: Vec<TaskStatus>) -> Scenario {
        self.add_heartbeat(heartbeat(machine, CURRENT_FENCING_TOKEN, tasks), true);
        self
    }

    fn add_heartbeat(&mut self, heartbeat: Heartbeat, is_current: bool) {
        let machine = heartbeat.machine.clone();
        let received = ReceivedHeartbeat {
            heartbeat,
            is_current,
        };
        self.heartbeats.insert(machine, received);
    }

    /// Adds current heartbeats of all machines. That of `machine` lists `tasks`, the others
    /// list none.
    fn with_all_heartbeats(self, machine: usize, tasks: Vec<TaskStatus>) -> Scenario {
        let mut scenario = self;
        for other in (0..3).filter(|m| *m != machine) {
            scenario = scenario.with_heartbeat(other, vec![]);
        }
        scenario.with_heartbeat(machine, tasks)
    }

    fn stored(&self) -> StoredState {
        StoredState::from_items(&self.items, 77, CHUNK_SIZE)
    }

    /// Reconciles, checks that each machine, attempt and task is classified exactly once, and
    /// calls `check` with the result.
    fn reconcile<T>(&self, check: impl FnOnce(&Reconciliation, &Evidence<'_>) -> T) -> T {
        let (config, stored) = (config(), self.stored());
        let evidence = Evidence {
            config: &config,
            stored: &stored,
            heartbeats: &self.heartbeats,
            expired_leases: &self.expired_leases,
            cloud: self.cloud.as_ref(),
            now: at(100),
        };
        let reconciliation = reconcile(&evidence);
        assert_all_classified_once(&reconciliation, &evidence);
        check(&reconciliation, &evidence)
    }
}

/// Asserts that each machine and each reported attempt has one finding, and that each task of
/// a live job is in exactly one set.
fn assert_all_classified_once(reconciliation: &Reconciliation, evidence: &Evidence<'_>) {
    for id in evidence
        .stored
        .machines
        .keys()
        .chain(evidence.heartbeats.keys())
    {
        assert!(reconciliation.machines.contains_key(id), "{id}");
    }
    let reported: usize = evidence
        .heartbeats
        .values()
        .map(|h| h.heartbeat.tasks.len())
        .sum();
    assert_eq!(reconciliation.tasks.len(), reported);
    for (id, job) in &evidence.stored.jobs {
        if evidence.stored.is_blocked(id) {
            continue;
        }
        let sets = &reconciliation.jobs[id];
        for task in 0..job.spec.tasks {
            let named_sets = sets.named_sets();
            let containing = named_sets.iter().filter(|(_, set)| set.contains(task));
            assert_eq!(containing.count(), 1, "{id}/{task}: {sets:?}");
        }
    }
}

/// A fencing token that was issued before the failover.
const EARLIER_FENCING_TOKEN: u64 = 5;

fn running(job: u64, index: u32) -> TaskStatus {
    reported(
        job,
        index,
        attempt(EARLIER_FENCING_TOKEN, 1),
        TaskState::Running,
    )
}

#[test]
fn each_reported_attempt_gets_one_class_and_one_action() {
    let fetching = reported(1, 0, attempt(EARLIER_FENCING_TOKEN, 1), TaskState::Fetching);
    let saving = reported(1, 0, attempt(EARLIER_FENCING_TOKEN, 1), TaskState::Saving);
    let cases: [(&str, TaskStatus, TaskClass, TaskAction); 14] = [
        (
            "running",
            running(1, 0),
            TaskClass::Matched,
            TaskAction::Keep,
        ),
        ("fetching", fetching, TaskClass::Matched, TaskAction::Keep),
        ("saving", saving, TaskClass::Matched, TaskAction::Keep),
        (
            "done and not recorded",
            exited(1, 1, attempt(EARLIER_FENCING_TOKEN, 1), Cause::Done),
            TaskClass::DoneNotCommitted,
            TaskAction::CommitThenClear,
        ),
        (
            "done and recorded",
            exited(1, 3, attempt(EARLIER_FENCING_TOKEN, 1), Cause::Done),
            TaskClass::DoneCommitted,
            TaskAction::Clear,
        ),
        (
            "recorded as done and still running",
            running(1, 3),
            TaskClass::DoneStillRunning,
            TaskAction::Stop,
        ),
        (
            "stopped",
            exited(1, 0, attempt(EARLIER_FENCING_TOKEN, 1), Cause::Stopped),
            TaskClass::Ended,
            TaskAction::Clear,
        ),
        (
            "a cause of a later release",
            exited(1, 0, attempt(EARLIER_FENCING_TOKEN, 1), Cause::Other),
            TaskClass::Ended,
            TaskAction::Clear,
        ),
        (
            "of a job without any stored record",
            running(8, 0),
            TaskClass::JobUnknown,
            TaskAction::VerifyThenStop,
        ),
        (
            "exited, of a job without any stored record",
            exited(8, 0, attempt(EARLIER_FENCING_TOKEN, 1), Cause::Done),
            TaskClass::JobUnknown,
            TaskAction::Clear,
        ),
        (
            "of a job whose cancellation was confirmed just before",
            running(7, 0),
            TaskClass::JobEnded,
            TaskAction::Stop,
        ),
        (
            "with an index beyond the last task of the job",
            running(1, 4),
            TaskClass::Impossible,
            TaskAction::Stop,
        ),
        (
            "with an attempt under a fencing token not yet issued",
            reported(
                1,
                0,
                attempt(CURRENT_FENCING_TOKEN.0 + 1, 1),
                TaskState::Running,
            ),
            TaskClass::Impossible,
            TaskAction::Stop,
        ),
        (
            "of a job whose record cannot be decoded",
            running(6, 0),
            TaskClass::JobUnreadable,
            TaskAction::Keep,
        ),
    ];
    for (name, task, class, action) in cases {
        let mut scenario = Scenario::new();
        let final_record = FinalRecord {
            status: JobStatus::Cancelled,
            done: 0,
            team: "red".into(),
            slots: Slots::default(),
        };
        scenario
            .items
            .push(item(format!("{FINAL_STATE_PREFIX}j-7"), &final_record));
        scenario
            .items
            .push(item("c/job/0/j-6".into(), &"of a later release"));
        let scenario = scenario.with_all_heartbeats(0, vec![task]);
        scenario.reconcile(|reconciliation, _| {
            let finding = &reconciliation.tasks[0];
            assert_eq!((finding.class, finding.action), (class, action), "{name}");
        });
    }
}

#[test]
fn tasks_in_an_unproven_heartbeat_are_not_launched_elsewhere() {
    // A heartbeat is unproven if it may be a delayed copy, if its fencing token is above the
    // counter, or if its machine has no record.
    // (machine, fencing token, whether the heartbeat is current, class)
    let cases = [
        (0, CURRENT_FENCING_TOKEN, true, TaskClass::Matched),
        (
            0,
            FencingToken(EARLIER_FENCING_TOKEN),
            false,
            TaskClass::Unproven,
        ),
        (
            0,
            FencingToken(CURRENT_FENCING_TOKEN.0 + 50),
            true,
            TaskClass::Unproven,
        ),
        (9, CURRENT_FENCING_TOKEN, true, TaskClass::Unproven),
    ];
    for (machine, fencing_token, is_current, class) in cases {
        let mut scenario = Scenario::new().with_all_heartbeats(0, vec![]);
        scenario.add_heartbeat(
            heartbeat(machine, fencing_token, vec![running(1, 0)]),
            is_current,
        );
        scenario.reconcile(|reconciliation, _| {
            assert_eq!(
                reconciliation.tasks[0].class, class,
                "{machine} {fencing_token} {is_current}"
            );
            let sets = &reconciliation.jobs[&job_id(1)];
            assert!(
                !sets.missing.contains(0),
                "{machine} {fencing_token}: {sets:?}"
            );
        });
    }
}

#[test]
fn each_machine_gets_one_class_and_one_action() {
    let rental = |n: usize, status| Rental {
        machine: machine_id(n),
        endpoint: None,
        flavor: "g4".into(),
        zone: "a".into(),
        spot: false,
        status,
        age_s: Amount(50.0),
    };
    let known = [machine_id(0), machine_id(1), machine_id(2)];
    // Machine 0 has been missing from every list for this many seconds.
    let missing_for = |seconds: u64| {
        let mut cloud = CloudEvidence::new(Duration::from_secs(5));
        let others = [
            rental(1, RentalStatus::Running),
            rental(2, RentalStatus::Running),
        ];
        cloud.update(&others, known.iter(), at(100 - seconds));
        Some(cloud)
    };
    let listing = |rentals: &[Rental]| {
        let mut cloud = CloudEvidence::new(Duration::from_secs(5));
        cloud.update(rentals, known.iter(), at(100));
        Some(cloud)
    };
    type Setup = fn(&mut Scenario);
    let no_change: Setup = |_| {};
    type Case = (
        &'static str,
        usize,
        Option<CloudEvidence>,
        Setup,
        MachineClass,
        MachineAction,
    );
    let cases: [Case; 14] = [
        (
            "sent a current heartbeat",
            0,
            None,
            |s| s.add_heartbeat(heartbeat(0, CURRENT_FENCING_TOKEN, vec![]), true),
            MachineClass::Confirmed,
            MachineAction::Keep,
        ),
        (
            "sent a heartbeat that may be delayed",
            0,
            None,
            |s| s.add_heartbeat(heartbeat(0, FencingToken(3), vec![]), false),
            MachineClass::EarlierFencingToken,
            MachineAction::Announce,
        ),
        (
            "has seen a fencing token above the counter",
            0,
            None,
            |s| s.add_heartbeat(heartbeat(0, FencingToken(50), vec![]), true),
            MachineClass::AboveCounter,
            MachineAction::RaiseCounter,
        ),
        (
            "sent a heartbeat, has no record",
            9,
            None,
            |s| s.add_heartbeat(heartbeat(9, FencingToken(0), vec![]), true),
            MachineClass::Unrecorded,
            MachineAction::Register,
        ),
        (
            "recorded in two machine batches",
            0,
            None,
            |s| {
                s.items.push(machine_batch_item(2, &[(0, machine(1))]));
                s.add_heartbeat(heartbeat(0, CURRENT_FENCING_TOKEN, vec![]), true);
            },
            MachineClass::RecordedTwice,
            MachineAction::Report,
        ),
        (
            "sent no heartbeat",
            0,
            None,
            no_change,
            MachineClass::Unreported,
            MachineAction::Wait,
        ),
        (
            "sent no heartbeat, lease expired",
            0,
            None,
            |s| s.expired_leases.extend([machine_id(0)]),
            MachineClass::LeaseExpired,
            MachineAction::RelaunchTasks,
        ),
        (
            "missing from one list, which may be older than the list before",
            0,
            missing_for(0),
            no_change,
            MachineClass::Unreported,
            MachineAction::Wait,
        ),
        (
            "missing for twice the lag, which is allowed for",
            0,
            missing_for(10),
            no_change,
            MachineClass::Unreported,
            MachineAction::Wait,
        ),
        (
            "missing for longer than twice the lag",
            0,
            missing_for(11),
            no_change,
            MachineClass::Gone,
            MachineAction::ConfirmRelease,
        ),
        (
            "listed as failed",
            0,
            listing(&[rental(0, RentalStatus::Failed)]),
            no_change,
            MachineClass::Gone,
            MachineAction::ConfirmRelease,
        ),
        (
            "listed as failed, has no record",
            9,
            listing(&[rental(9, RentalStatus::Failed)]),
            no_change,
            MachineClass::FailedUnrecorded,
            MachineAction::ConfirmRelease,
        ),
        (
            "listed as starting, has no record",
            9,
            listing(&[rental(9, RentalStatus::Starting)]),
            no_change,
            MachineClass::NoHeartbeat,
            MachineAction::Wait,
        ),
        (
            "recorded without a worker address",
            3,
            None,
            |s| {
                let mut record = machine(0);
                record.endpoint = String::new();
                s.items.push(machine_batch_item(2, &[(3, record)]));
            },
            MachineClass::NeverUsed,
            MachineAction::Keep,
        ),
    ];
    for (name, machine, cloud, set_up, class, action) in cases {
        let mut scenario = Scenario::new();
        scenario.cloud = cloud;
        set_up(&mut scenario);
        scenario.reconcile(|reconciliation, _| {
            let finding = &reconciliation.machines[&machine_id(machine)];
            assert_eq!((finding.class, finding.action), (class, action), "{name}");
        });
    }
}

#[test]
fn unreported_tasks_wait_for_every_machine_that_may_run_them() {
    // (machines with heartbeats, machines with expired leases, the job's zone, number of
    // missing tasks, number of unreported tasks)
    type Case<'a> = (&'a [usize], &'a [usize], Option<&'a str>, u64, u64);
    let cases: [Case<'_>; 6] = [
        (&[], &[], None, 0, 3),
        (&[0], &[], None, 0, 3),
        // Machine 2 is in another shard and runs no task of this job.
        (&[0, 1], &[], None, 3, 0),
        (&[0], &[1], None, 3, 0),
        (&[], &[0, 1], None, 3, 0),
        // No unreported machine is in the only zone that the tasks may run in.
        (&[], &[], Some("b"), 3, 0),
    ];
    for (reported, expired, zone, missing, unreported) in cases {
        let mut scenario = Scenario::new();
        if let Some(zone) = zone {
            let mut record = job_record(spec(1, 4));
            record.spec.zone = Some(zone.into());
            record.done = "3".into();
            scenario.items.retain(|i| !i.path.starts_with("c/job/"));
            scenario.items.push(job_item(&record));
        }
        scenario.expired_leases = expired.iter().map(|m| machine_id(*m)).collect();
        for machine in reported {
            scenario = scenario.with_heartbeat(*machine, vec![]);
        }
        scenario.reconcile(|reconciliation, evidence| {
            let sets = &reconciliation.jobs[&job_id(1)];
            let counts = (sets.missing.len(), sets.unreported.len());
            assert_eq!(
                counts,
                (missing, unreported),
                "{reported:?} {expired:?} {zone:?}"
            );
            assert_eq!(
                CommandPlan::new(reconciliation, evidence).launch_count() as u64,
                missing
            );
        });
    }
}

#[test]
fn the_newer_of_two_running_attempts_is_kept_and_no_third_is_launched() {
    let (older, newer) = (
        attempt(EARLIER_FENCING_TOKEN, 1),
        attempt(EARLIER_FENCING_TOKEN + 1, 0),
    );
    // (on machine 0, on machine 1, classes)
    let cases = [
        (older, newer, [TaskClass::OlderAttempt, TaskClass::Matched]),
        (newer, older, [TaskClass::Matched, TaskClass::OlderAttempt]),
    ];
    for (first, second, classes) in cases {
        let running_attempt = |attempt: Attempt| vec![reported(1, 0, attempt, TaskState::Running)];
        let scenario = Scenario::new()
            .with_heartbeat(0, running_attempt(first))
            .with_heartbeat(1, running_attempt(second));
        let scenario = scenario.with_heartbeat(2, vec![]);
        scenario.reconcile(|reconciliation, _| {
            let actual_classes: Vec<TaskClass> =
                reconciliation.tasks.iter().map(|f| f.class).collect();
            assert_eq!(actual_classes, classes);
            let sets = &reconciliation.jobs[&job_id(1)];
            assert!(sets.running.contains(0) && !sets.missing.contains(0));
        });
    }
    // The same attempt is listed twice in one heartbeat.
    let duplicate = vec![running(1, 0), running(1, 0)];
    Scenario::new()
        .with_all_heartbeats(0, duplicate)
        .reconcile(|reconciliation, _| {
            assert_eq!(reconciliation.tasks[1].class, TaskClass::Impossible);
        });
}

#[test]
fn transferred_tasks_are_kept_on_their_new_shard_and_stopped_on_the_old_one() {
    let mut scenario = Scenario::new();
    let mut record = job_record(spec(1, 4));
    record.transferred = vec![TaskTransfer {
        shard: ShardId(1),
        zone: None,
        tasks: "2-3".into(),
    }];
    scenario.items.retain(|i| !i.path.starts_with("c/job/"));
    scenario.items.push(job_item(&record));
    // Task 0 runs in its job's shard, task 2 in the shard it was transferred to, and task 3
    // still in the shard it was transferred from.
    let scenario = scenario
        .with_heartbeat(0, vec![running(1, 0), running(1, 3)])
        .with_heartbeat(1, vec![])
        .with_heartbeat(2, vec![running(1, 2)]);
    scenario.reconcile(|reconciliation, _| {
        let class = |index| {
            let mut findings = reconciliation
                .tasks
                .iter()
                .filter(|f| f.task == task(1, index));
            findings.next().unwrap().class
        };
        assert_eq!(class(0), TaskClass::Matched);
        assert_eq!(class(2), TaskClass::Matched);
        assert_eq!(class(3), TaskClass::OtherShard);
        let sets = &reconciliation.jobs[&job_id(1)];
        assert!(
            sets.blocked.contains(3),
            "it must stop before it is launched in its new shard"
        );
        assert!(sets.missing.contains(1));
    });
}

#[test]
fn an_unreadable_record_blocks_only_its_own_job_or_machine() {
    let mut scenario = Scenario::new();
    scenario
        .items
        .push(item("c/job/0/j-6".into(), &"of a later release"));
    scenario.items.push(item("c/something/new".into(), &1));
    let machine_batch = scenario
        .items
        .iter_mut()
        .find(|i| i.path == "c/rack/1")
        .unwrap();
    let Value::Map(fields) = &mut machine_batch.value else {
        panic!("machine batch is not a map");
    };
    let Value::Map(machines) = &mut fields[0].1 else {
        panic!("machines are not a map");
    };
    machines.push((Value::Text("vm-000044".into()), Value::Text("new".into())));
    let scenario = scenario.with_all_heartbeats(0, vec![running(1, 0), running(6, 0)]);
    let stored = scenario.stored();
    let blocks: Vec<&BlockedScope> = stored.unreadable.iter().map(|u| &u.blocks).collect();
    assert!(blocks.contains(&&BlockedScope::Job(job_id(6))));
    assert!(blocks.contains(&&BlockedScope::Machine(machine_id(44))));
    assert!(blocks.contains(&&BlockedScope::WholeValue));
    scenario.reconcile(|reconciliation, evidence| {
        let finding = &reconciliation.machines[&machine_id(44)];
        assert_eq!(finding.class, MachineClass::Unreadable);
        assert_eq!(reconciliation.tasks[0].class, TaskClass::Matched);
        assert_eq!(reconciliation.tasks[1].action, TaskAction::Keep);
        // The machine whose record cannot be decoded may run any task that no heartbeat lists.
        assert_eq!(reconciliation.jobs[&job_id(1)].missing.len(), 0);
        let report = RecoveryReport::new(reconciliation, evidence, true);
        assert!(report.has_findings());
        for key in ["c/job/0/j-6", "c/rack/1", "c/something/new"] {
            assert!(report.to_text().contains(key), "{key}");
        }
    });
}

#[test]
fn missing_service_replicas_are_launched_before_all_other_tasks() {
    let mut scenario = Scenario::new();
    for (job, rank, shape) in [
        (11, Rank::Urgent, Shape::Array),
        (12, Rank::Idle, Shape::Array),
        (13, Rank::Production, Shape::Service),
        (14, Rank::Production, Shape::Array),
    ] {
        let mut record = job_record(spec(job, 2));
        (record.spec.rank, record.spec.shape) = (rank, shape);
        scenario.items.push(job_item(&record));
    }
    let replica = reported(13, 0, attempt(EARLIER_FENCING_TOKEN, 4), TaskState::Running);
    let ended = exited(13, 1, attempt(EARLIER_FENCING_TOKEN, 4), Cause::Done);
    let scenario = scenario.with_all_heartbeats(0, vec![replica, ended]);
    scenario.reconcile(|reconciliation, evidence| {
        let plan = CommandPlan::new(reconciliation, evidence);
        let order: Vec<String> = plan.launches.iter().map(|l| l.job.to_string()).collect();
        assert_eq!(order, ["j-13", "j-14", "j-11", "j-1", "j-12"]);
        assert_eq!(plan.launches[0].tasks, [1], "only the missing replica");
        let sets = &reconciliation.jobs[&job_id(13)];
        let minimum = min_launches(&evidence.stored.jobs[&job_id(13)], sets);
        assert_eq!(minimum, 1);
    });
}

#[test]
fn the_report_states_actions_and_reasons_in_text_and_json() {
    let scenario = Scenario::new().with_heartbeat(0, vec![running(1, 0), running(8, 1)]);
    scenario.reconcile(|reconciliation, evidence| {
        let report = RecoveryReport::new(reconciliation, evidence, true);
        let text = report.to_text();
        for line in [
            "store at revision 77, fencing-token counter 9, 1 live jobs",
            "shard 0: leader c-0, fencing token 9, 2 machines, 1 jobs",
            "machine vm-000001: silent -> wait",
            "task j-8/1 on vm-000000: job unknown -> verify then halt",
            "would now launch 0 tasks",
            "2 wait for machines",
        ] {
            assert!(text.contains(line), "{line:?} in {text}");
        }
        let json: serde_json::Value = serde_json::from_str(&report.to_json()).unwrap();
        assert_eq!(json["machines"]["silent"], 2);
        assert_eq!(json["tasks"]["matched"], 1);
        assert_eq!(json["task_findings"][0]["action"], "verify_then_halt");
        assert!(report.has_findings());
    });
    // A healthy cluster has no findings, also if workers were not asked.
    for workers_asked in [true, false] {
        let mut scenario = Scenario::new();
        if workers_asked {
            scenario = scenario.with_all_heartbeats(0, vec![running(1, 0)]);
        }
        scenario.reconcile(|reconciliation, evidence| {
            assert!(
                !RecoveryReport::new(reconciliation, evidence, workers_asked).has_findings(),
                "{workers_asked}"
            );
        });
    }
    // A shard without a leader is a finding.
    let mut scenario = Scenario::new();
    scenario.items.retain(|i| i.path != "c/part/1");
    scenario.reconcile(|reconciliation, evidence| {
        assert!(RecoveryReport::new(reconciliation, evidence, false).has_findings());
    });
}

/// The keys of a JSON object, in order, joined by spaces. Operators' scripts read the keys of
/// the report.
fn keys(value: &serde_json::Value) -> String {
    let keys = value.as_object().expect("not a JSON object").keys();
    keys.cloned().collect::<Vec<_>>().join(" ")
}

#[test]
fn the_report_keeps_its_json_keys() {
    let mut scenario = Scenario::new().with_heartbeat(0, vec![running(1, 0), running(8, 1)]);
    scenario.items.retain(|item| item.path != "c/part/1");
    let mut unreadable = job_item(&job_record(spec(3, 1)));
    unreadable.value = Value::Null;
    scenario.items.push(unreadable);
    scenario.reconcile(|reconciliation, evidence| {
        let report = RecoveryReport::new(reconciliation, evidence, true);
        let json: serde_json::Value =
            serde_json::from_str(&report.to_json()).expect("invalid JSON");
        assert_eq!(
            keys(&json),
            "jobs machine_findings machines orders revision shards task_findings tasks term \
             unreadable workers_asked"
        );
        assert_eq!(
            keys(&json["shards"][0]),
            "holder jobs machines settled shard term"
        );
        assert_eq!(
            keys(&json["orders"]),
            "clears commits halts launches service_launches verifications waiting"
        );
        assert_eq!(keys(&json["unreadable"][0]), "blocks key");
        assert_eq!(
            keys(&json["machine_findings"][0]),
            "action class evidence machine shard"
        );
        assert_eq!(
            keys(&json["task_findings"][0]),
            "action attempt class evidence machine shard task"
        );
    });
}
