//! Tests of how a controller applies the watch, its own transactions and peers' digests.

use super::*;
use pulleywood_protocol::job_batch::{BatchHead, JobBatchRecord};
use pulleywood_protocol::machine_batch::MachineBatchRecord;
use pulleywood_protocol::peer::Digest;
use pulleywood_protocol::record::{JobRecord, LAYOUT, Layout, LeaseHolder, MachineRecord, TaskSet};
use pulleywood_protocol::settings::Settings;
use pulleywood_protocol::store::Event;
use pulleywood_protocol::time::secs;
use pulleywood_protocol::{
    FencingToken, LeaseId, MachineId, MemberId, MonotonicTime, Revision, ShardId, cbor,
};
use pulleywood_scheduler::config::Policy;
use pulleywood_scheduler::{Config, ShardState};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

fn at(second: u64) -> MonotonicTime {
    MonotonicTime(1_000_000 + second * 1000)
}

fn controller() -> ControllerState {
    let settings: Settings = serde_json::from_value(serde_json::json!({
        "member": "c-0", "domain": "a",
        "serve_on": "127.0.0.1:1", "cluster_listen": "127.0.0.1:2", "seeds": [],
        "services": {"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"},
        "cluster": {
            "initial_size": 2, "zones": ["a"], "teams": [],
            "workers": {"report_s": 1.0, "lease_s": 10.0, "cancel_s": 40.0},
            "state": {"rps": 100.0, "write_rps": 20, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 2.0, "list_lag_s": 5.0},
            "resources": {"cores": 0.1, "ram_mb": 64.0, "max_sockets": 500}
        }
    }))
    .unwrap();
    let policy = Policy::defaults(&settings);
    ControllerState::new(Config::new(&settings, policy))
}

fn digest(boot: u64, seq: u64, serving: Vec<(ShardId, FencingToken)>) -> Digest {
    Digest {
        member: "c-1".into(),
        boot,
        seq,
        store_reachable: true,
        ready_to_lead: true,
        refusing_submissions: false,
        serving,
        shards: vec![],
    }
}

/// Makes the controller the leader of shard 0 since second 10, under fencing token 4. The
/// previous leader is process 7 of `c-1`, under fencing token 3.
fn lead_shard(controller: &mut ControllerState) {
    let until = at(10) + controller.config.previous_leader_window();
    let state = ShardState::new(ShardId(0), FencingToken(4), until, vec![]);
    let previous = LeaseHolder {
        member: "c-1".into(),
        boot: 7,
        fencing_token: FencingToken(3),
    };
    let led = LedShard {
        state,
        revision: Revision(40),
        loaded: true,
        deferred_changes: vec![],
        handing_over: false,
        acquired_at: at(10),
        reconciled_revision: None,
        previous_leader: Some(previous),
    };
    controller.led_shards.insert(ShardId(0), led);
}

#[test]
fn only_a_response_requested_after_acquisition_confirms_that_the_previous_leader_stopped() {
    // A digest from before the peer led the shard lists the same shards as one from after
    // it stopped, and the network may deliver it late.
    let one_lease = at(11) + controller().config.lease_expiry_bound();
    let unconfirmed = at(10) + controller().config.previous_leader_window();
    type Apply = fn(&mut ControllerState);
    let cases: [(&str, Apply, MonotonicTime); 4] = [
        (
            "a digest",
            |controller| controller.put_digest(digest(7, 1, vec![]), at(11)),
            unconfirmed,
        ),
        (
            "a response requested before the acquisition",
            |controller| controller.apply_served_shards(&"c-1".into(), at(9), at(11), &[]),
            unconfirmed,
        ),
        (
            "a response that still lists the shard",
            |controller| {
                controller.apply_served_shards(
                    &"c-1".into(),
                    at(11),
                    at(11),
                    &[(ShardId(0), FencingToken(3))],
                )
            },
            unconfirmed,
        ),
        (
            "a response that does not list the shard",
            |controller| controller.apply_served_shards(&"c-1".into(), at(11), at(11), &[]),
            one_lease,
        ),
    ];
    for (name, apply, expected) in cases {
        let mut controller = controller();
        lead_shard(&mut controller);
        apply(&mut controller);
        assert_eq!(
            controller.led_shards[&ShardId(0)]
                .state
                .previous_launches_until,
            expected,
            "{name}"
        );
    }
}

#[test]
fn duplicate_and_late_digests_are_ignored() {
    // (boot, sequence number, stored)
    let cases = [
        (7, 5, true),
        (7, 5, false),
        (7, 4, false),
        (8, 1, true),
        (7, 9, false),
        (8, 2, true),
    ];
    let mut controller = controller();
    for (second, (boot, seq, stored)) in cases.into_iter().enumerate() {
        let now = at(second as u64);
        controller.put_digest(digest(boot, seq, vec![]), now);
        let last = &controller.digests[&MemberId::from("c-1")];
        assert_eq!(last.received_at == now, stored, "{boot}/{seq}");
    }
}

#[test]
fn an_older_watched_record_does_not_drop_an_inherited_machine() {
    // The shard read the machine's record when it was loaded; then the watch delivers a
    // record of the same machine in another shard.
    // (revision read, revision watched, whether the machine stays)
    for (read, watched, stays) in [(50, 45, true), (50, 50, true), (50, 51, false)] {
        let mut controller = controller();
        lead_shard(&mut controller);
        let id = MachineId::from("vm-1");
        let record = |shard| MachineRecord {
            shard: ShardId(shard),
            fencing_token: FencingToken(3),
            flavor: "f".into(),
            zone: "a".into(),
            spot: false,
            endpoint: "10.0.0.1:1".into(),
            releasing: false,
            images: vec![],
        };
        let state = &mut controller.led_shards.get_mut(&ShardId(0)).unwrap().state;
        state.put_machine(&id, record(0), Revision(read), true, at(10));
        let machine_batch = MachineBatchRecord {
            machines: BTreeMap::from([(id.clone(), record(1))]),
            ..Default::default()
        };
        controller.put_machine_batches(vec![(1, Some(machine_batch))], Revision(watched), at(11));
        let state = &controller.led_shards[&ShardId(0)].state;
        let unreported = state
            .machines
            .get(&id)
            .is_some_and(|machine| machine.unreported);
        assert_eq!(unreported, stays, "read at {read}, watched at {watched}");
    }
}

fn event(write: bool, path: &str, value: impl serde::Serialize, revision: u64) -> Event {
    let value = cbor::to_value(&value);
    Event {
        write: write.then(|| path.to_owned()),
        delete: (!write).then(|| path.to_owned()),
        value: write.then_some(value),
        revision: Revision(revision),
    }
}

fn job_record(number: u64) -> JobRecord {
    let spec = serde_json::json!({
        "uid": format!("j-{number:06}"), "lane": "c", "crew": "red", "shape": "service",
        "rank": "standard", "legs": 1, "vcpus": 1.0, "cards": 0.0, "mem_gb": 1.0,
        "cargo": "img", "size_gb": 0.0, "rigs": null, "yard": null,
        "same_place": false, "apart": false, "loaner": false, "haul_s": 0.0,
        "waypoint_s": 0.0, "stow_s": 0.0, "due_s": null,
    });
    JobRecord {
        spec: serde_json::from_value(spec).unwrap(),
        accepted_at_ms: 0,
        shard: ShardId(0),
        transferred: vec![],
        done: String::new(),
    }
}

#[test]
fn late_transaction_outcomes_do_not_undo_newer_watched_changes() {
    // A job is accepted at revision 50 and cancelled through another controller at 51. The
    // response to the first transaction may arrive after the watch delivered both.
    for late in [false, true] {
        let mut controller = controller();
        lead_shard(&mut controller);
        let job = job_record(1);
        let id = job.spec.id.clone();
        let key = pulleywood_protocol::record::job_key(id.shard(2), &id);
        if !late {
            controller.put_job(&job, Revision(50), at(11));
            assert!(controller.is_live(&id));
        }
        controller.apply_event(event(true, &key, &job, 50), at(11));
        controller.apply_event(event(false, &key, 0, 51), at(11));
        controller.advance_revision(51, at(11));
        if late {
            controller.put_job(&job, Revision(50), at(12));
            controller.note_own_record(&id, Revision(50));
        }
        assert!(!controller.is_live(&id), "late: {late}");
        let state = &controller.led_shards[&ShardId(0)].state;
        assert!(!state.jobs.contains_key(&id), "late: {late}");
    }
    // This controller writes a job batch and a machine batch at 60; another controller
    // writes the next ones at 61.
    for late in [false, true] {
        let mut controller = controller();
        let (own_head, next_head) = (BatchHead { last: 1 }, BatchHead { last: 2 });
        let batch = JobBatchRecord {
            jobs: vec![job_record(2)],
            ..Default::default()
        };
        let apply_outcomes = |controller: &mut ControllerState| {
            controller.put_written_job_batch(own_head, batch.clone(), Revision(60), at(12));
            let machine_batch = (1, Some(MachineBatchRecord::default()));
            controller.put_written_machine_batch(own_head, machine_batch, Revision(60), at(12));
        };
        if !late {
            apply_outcomes(&mut controller);
        }
        for head in [
            pulleywood_protocol::record::JOB_BATCH_HEAD,
            pulleywood_protocol::record::MACHINE_BATCH_HEAD,
        ] {
            controller.apply_event(event(true, head, own_head, 60), at(12));
            controller.apply_event(event(true, head, next_head, 61), at(12));
        }
        let key = pulleywood_protocol::record::job_batch_key(1);
        controller.apply_event(event(true, &key, &batch, 60), at(12));
        controller.apply_event(event(false, &key, 0, 61), at(12));
        controller.advance_revision(61, at(12));
        if late {
            apply_outcomes(&mut controller);
        }
        assert_eq!(
            controller.cached.job_batch_head,
            Versioned::new(next_head, Revision(61)),
            "late: {late}"
        );
        assert_eq!(
            controller.cached.machine_batch_head,
            Versioned::new(next_head, Revision(61)),
            "late: {late}"
        );
        assert!(!controller.is_live(&job_record(2).spec.id), "late: {late}");
    }
}

#[test]
fn an_older_watched_change_does_not_restore_transferred_tasks() {
    // Shard 0 has a job since revision 50 and transfers all its tasks at 55. The watch
    // delivers 50 first and 55 later. If the change at 50 restored the tasks, they would
    // run in both shards.
    for in_batch in [false, true] {
        let mut controller = controller();
        lead_shard(&mut controller);
        let job = job_record(1);
        let id = job.spec.id.clone();
        let mut transferred = job.clone();
        transferred.transfer_tasks(ShardId(1), None, &TaskSet::full(1));
        let key = pulleywood_protocol::record::job_key(id.shard(2), &id);
        let job_batch_key = pulleywood_protocol::record::job_batch_key(1);
        let batch = JobBatchRecord {
            jobs: vec![job.clone()],
            ..Default::default()
        };
        if in_batch {
            controller.put_written_job_batch(
                BatchHead { last: 1 },
                batch.clone(),
                Revision(50),
                at(11),
            );
        } else {
            controller.put_job(&job, Revision(50), at(11));
        }
        let has_waiting_tasks = |controller: &ControllerState| {
            let state = &controller.led_shards[&ShardId(0)].state;
            state
                .jobs
                .get(&id)
                .is_some_and(|job| !job.waiting.is_empty())
        };
        assert!(has_waiting_tasks(&controller));
        controller.put_job(&transferred, Revision(55), at(12));
        if in_batch {
            controller.put_job_batches(vec![(1, None)], Revision(55), at(12));
        }
        assert!(
            !has_waiting_tasks(&controller),
            "in a job batch: {in_batch}"
        );
        if in_batch {
            controller.apply_event(event(true, &job_batch_key, &batch, 50), at(13))
        } else {
            controller.apply_event(event(true, &key, &job, 50), at(13))
        }
        controller.advance_revision(52, at(13));
        assert!(
            !has_waiting_tasks(&controller),
            "in a job batch: {in_batch}, after the older change"
        );
        controller.apply_event(event(true, &key, &transferred, 55), at(14));
        if in_batch {
            controller.apply_event(event(false, &job_batch_key, 0, 55), at(14));
        }
        controller.advance_revision(56, at(14));
        assert!(
            !has_waiting_tasks(&controller),
            "in a job batch: {in_batch}, after the transfer itself"
        );
        assert!(controller.is_live(&id) && controller.own_writes.is_empty());
        // The other shard transfers the tasks back.
        controller.apply_event(event(true, &key, &job, 60), at(15));
        controller.advance_revision(60, at(15));
        assert!(
            has_waiting_tasks(&controller),
            "in a job batch: {in_batch}, transferred back"
        );
    }
}

#[test]
fn live_jobs_count_the_same_memory_whether_written_here_or_watched() {
    // Guards against controllers that accept different numbers of jobs: a transfer counted only
    // at the controllers that had not made it.
    let job = job_record(1);
    let id = job.spec.id.clone();
    let mut transferred = job.clone();
    transferred.transfer_tasks(ShardId(1), Some("b"), &TaskSet::full(1));
    let key = pulleywood_protocol::record::job_key(id.shard(2), &id);
    let (mut writer, mut watcher) = (controller(), controller());
    let mut totals = Vec::new();
    for (record, revision) in [(&job, 50), (&transferred, 55)] {
        writer.put_job(record, Revision(revision), at(11));
        watcher.apply_event(event(true, &key, record, revision), at(11));
        let [written, watched] = [&writer, &watcher].map(|c| c.cached.live_jobs.memory().total());
        assert_eq!(written, watched, "revision {revision}");
        totals.push(written);
    }
    assert!(totals[0] < totals[1], "{totals:?}");
    writer.remove_ended_job(&id, Revision(60));
    watcher.apply_event(event(false, &key, 0, 60), at(12));
    for controller in [&writer, &watcher] {
        assert_eq!(controller.cached.live_jobs.memory().total(), 0);
    }
}

#[test]
fn a_shard_is_removed_when_its_leadership_key_changes_after_acquisition() {
    // The shard was acquired at revision 40. (revision of the change, whether it stays led)
    for (revision, led) in [(39, true), (40, true), (41, false)] {
        let mut controller = controller();
        lead_shard(&mut controller);
        let event = Event {
            write: None,
            delete: Some("c/part/0".into()),
            value: None,
            revision: Revision(revision),
        };
        controller.apply_event(event, at(12));
        assert_eq!(
            controller.led_shards.contains_key(&ShardId(0)),
            led,
            "{revision}"
        );
    }
}

#[test]
fn workers_are_answered_only_while_cancellations_take_effect_in_time() {
    // The controller is out of contact with the store since second 0. Another controller
    // may confirm a cancellation right after that, which must take effect within cancel_s.
    // A worker kills its tasks one lease after the last heartbeat that was answered.
    let mut controller = controller();
    controller.cache_loaded = true;
    controller.lease.lease_id = Some(LeaseId(1));
    controller.lease.renewed_at = at(0);
    controller.cache_current_as_of = at(0);
    let (lease, cancel) = (
        controller.config.lease,
        controller.config.cancellation_limit,
    );
    let last = (0..100_000)
        .map(|ms| at(0) + Duration::from_millis(ms))
        .take_while(|&time| controller.may_answer(time))
        .last()
        .unwrap();
    assert!(last + lease < at(0) + cancel);
    assert!(
        last > at(0) + (cancel - lease) / 2,
        "workers are answered for most of the time allowed, so that tasks survive outages"
    );
    assert!(
        !controller.may_act(controller.lease_end()),
        "nothing is launched after the session lease has ended"
    );
    assert!(controller.lease_end() < last);
}

#[test]
fn a_stale_cached_state_stops_launches_while_the_session_lease_is_valid() {
    // If the state service refuses only this controller, it may not know of cancellations
    // that other controllers confirmed to their users.
    // (age of the cached state in milliseconds, whether launches are allowed)
    for (ms, launches) in [(0, true), (1500, true), (2900, true), (3000, false)] {
        let mut controller = controller();
        controller.cache_loaded = true;
        controller.lease.lease_id = Some(LeaseId(1));
        controller.lease.renewed_at = at(0);
        controller.cache_current_as_of = at(0);
        let now = at(0) + Duration::from_millis(ms);
        assert!(controller.may_act(now), "{ms}");
        assert_eq!(controller.may_launch(now), launches, "{ms}");
    }
}

#[test]
fn answering_stops_in_time_for_every_worker_lease_and_cancellation_limit() {
    // (worker's lease, limit of cancellations) in seconds, including pairs that leave no
    // room for the margins. The span is counted from the older of the last renewal and the
    // last read. A worker kills its tasks one lease after the last heartbeat that was
    // answered.
    let cases = [
        (10.0, 40.0),
        (16.0, 36.0),
        (17.5, 47.5),
        (26.5, 46.5),
        (36.0, 66.0),
        (36.0, 36.5),
        (36.0, 36.0),
        (36.0, 20.0),
        (1.0, 3600.0),
    ];
    for (lease, cancel) in cases {
        for (renewed, read) in [(100, 100), (100, 107), (107, 100)] {
            let mut controller = controller();
            let config = Arc::make_mut(&mut controller.config);
            config.lease = secs(lease);
            config.cancellation_limit = secs(cancel);
            controller.cache_loaded = true;
            controller.lease.lease_id = Some(LeaseId(1));
            controller.lease.renewed_at = at(renewed);
            controller.cache_current_as_of = at(read);
            let contact = at(100);
            let cancelled_by = contact + controller.config.cancellation_limit;
            let span = controller.config.response_window();
            let name = format!("lease {lease}, cancel {cancel}, renewed {renewed}, read {read}");
            assert!(!controller.may_answer(contact + span), "{name}");
            if span > Duration::ZERO {
                let last = contact + span - Duration::from_millis(1);
                assert!(controller.may_answer(last), "{name}");
                // Clock drift and the time that a response takes are covered.
                let killed_by = last + controller.config.lease_expiry_bound();
                assert!(killed_by < cancelled_by, "{name}");
                // The span is shorter than the limit allows by no more than the margins.
                let unused_s = cancelled_by
                    .since(last + controller.config.lease)
                    .as_secs_f64();
                assert!(unused_s < 1.3 + 0.001 * cancel, "{name}: {unused_s}");
            } else {
                assert!(cancel <= lease + 1.3, "{name}");
            }
        }
    }
}

#[test]
fn a_shard_that_never_had_a_leader_is_vacant_since_the_layout_is_known() {
    // Without that, only the controller that it prefers acquires it, which may not run.
    let mut controller = controller();
    let layout = Event {
        write: Some(LAYOUT.into()),
        delete: None,
        value: Some(cbor::to_value(&Layout { shards: 2 })),
        revision: Revision(1),
    };
    controller.apply_event(layout, at(5));
    let expected = BTreeMap::from([(ShardId(0), at(5)), (ShardId(1), at(5))]);
    assert_eq!(controller.cached.vacant_since, expected);
}
