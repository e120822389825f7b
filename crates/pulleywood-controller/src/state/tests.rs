//! What a controller takes from the watch, its own transactions and its peers.

use super::*;
use pulleywood_protocol::job_batch::{BatchHead, JobBatchRecord};
use pulleywood_protocol::machine_batch::MachineBatchRecord;
use pulleywood_protocol::peer::Digest;
use pulleywood_protocol::record::{JobRecord, LeaseHolder, MachineRecord, TaskSet};
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

fn at(s: u64) -> MonotonicTime {
    MonotonicTime(1_000_000 + s * 1000)
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
        state_ok: true,
        fit: true,
        refusing: false,
        serving,
        shards: vec![],
    }
}

/// Holds shard 0 since second 10, after process 7 of `c-1` under fencing token 3.
fn taken(controller: &mut ControllerState) {
    let until = at(10) + controller.config.previous_leader_window();
    let state = ShardState::new(ShardId(0), FencingToken(4), until, vec![]);
    let before = LeaseHolder {
        member: "c-1".into(),
        boot: 7,
        fencing_token: FencingToken(3),
    };
    let led = LedShard {
        state,
        revision: Revision(40),
        loaded: true,
        deferred_changes: vec![],
        leaving: false,
        acquired_at: at(10),
        reconciled_at: None,
        previous_leader: Some(before),
    };
    controller.led_shards.insert(ShardId(0), led);
}

#[test]
fn only_an_answer_asked_for_since_proves_that_the_old_leader_stopped() {
    // A digest from before it held the shard says the same as one from after
    // it stopped, and the network may bring it late.
    let lapsed = at(11) + controller().config.lease_expiry_bound();
    let full = at(10) + controller().config.previous_leader_window();
    type Say = fn(&mut ControllerState);
    let cases: [(&str, Say, MonotonicTime); 4] = [
        (
            "a digest",
            |n| n.put_digest(digest(7, 1, vec![]), at(11)),
            full,
        ),
        (
            "an answer asked for before the take-over",
            |n| n.confirm(&"c-1".into(), at(9), at(11), &[]),
            full,
        ),
        (
            "it still answers workers",
            |n| {
                n.confirm(
                    &"c-1".into(),
                    at(11),
                    at(11),
                    &[(ShardId(0), FencingToken(3))],
                )
            },
            full,
        ),
        (
            "it does not",
            |n| n.confirm(&"c-1".into(), at(11), at(11), &[]),
            lapsed,
        ),
    ];
    for (name, say, expected) in cases {
        let mut controller = controller();
        taken(&mut controller);
        say(&mut controller);
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
fn late_copies_of_digests_are_dropped() {
    // (process, number, taken)
    let cases = [
        (7, 5, true),
        (7, 5, false),
        (7, 4, false),
        (8, 1, true),
        (7, 9, false),
        (8, 2, true),
    ];
    let mut controller = controller();
    for (n, (boot, seq, expected)) in cases.into_iter().enumerate() {
        let now = at(n as u64);
        controller.put_digest(digest(boot, seq, vec![]), now);
        let newest = &controller.digests[&MemberId::from("c-1")];
        assert_eq!(newest.received_at == now, expected, "{boot}/{seq}");
    }
}

#[test]
fn a_machine_that_was_read_is_not_dropped_for_an_older_record() {
    // (revision of the shard's record, of the watched one of another shard, kept)
    for (read, watched, kept) in [(50, 45, true), (50, 50, true), (50, 51, false)] {
        let mut controller = controller();
        taken(&mut controller);
        let id = MachineId::from("vm-1");
        let record = |shard| MachineRecord {
            shard: ShardId(shard),
            fencing_token: FencingToken(3),
            flavor: "f".into(),
            zone: "a".into(),
            spot: false,
            endpoint: "10.0.0.1:1".into(),
            retiring: false,
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
        let unreported = state.machines.get(&id).is_some_and(|m| m.unreported);
        assert_eq!(unreported, kept, "{read} {watched}");
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

fn record(n: u64) -> JobRecord {
    let spec = serde_json::json!({
        "uid": format!("j-{n:06}"), "lane": "c", "crew": "red", "shape": "service",
        "rank": "standard", "legs": 1, "vcpus": 1.0, "cards": 0.0, "mem_gb": 1.0,
        "cargo": "img", "size_gb": 0.0, "rigs": null, "yard": null,
        "same_place": false, "apart": false, "loaner": false, "haul_s": 0.0,
        "waypoint_s": 0.0, "stow_s": 0.0, "due_s": null,
    });
    JobRecord {
        spec: serde_json::from_value(spec).unwrap(),
        at_ms: 0,
        shard: ShardId(0),
        transferred: vec![],
        done: String::new(),
    }
}

#[test]
fn answers_to_own_transactions_bring_nothing_back_that_the_watch_has_passed() {
    // A job is accepted at revision 50 and cancelled through another
    // controller at 51. The answer to the first may come last.
    for late in [false, true] {
        let mut controller = controller();
        taken(&mut controller);
        let job = record(1);
        let id = job.spec.id.clone();
        let key = pulleywood_protocol::record::job_key(id.shard(2), &id);
        if !late {
            controller.put_job(&job, Revision(50), at(11));
            assert!(controller.is_live(&id));
        }
        controller.event(event(true, &key, &job, 50), at(11));
        controller.event(event(false, &key, 0, 51), at(11));
        controller.complete(51, at(11));
        if late {
            controller.put_job(&job, Revision(50), at(12));
            controller.own_record(&id, Revision(50));
        }
        assert!(!controller.is_live(&id), "late: {late}");
        let state = &controller.led_shards[&ShardId(0)].state;
        assert!(!state.jobs.contains_key(&id), "late: {late}");
    }
    // A job batch and a machine batch at 60, the next of another controller at 61.
    for late in [false, true] {
        let mut controller = controller();
        let (mine, next) = (BatchHead { last: 1 }, BatchHead { last: 2 });
        let pack = JobBatchRecord {
            jobs: vec![record(2)],
            ..Default::default()
        };
        let say = |controller: &mut ControllerState| {
            controller.wrote_job_batch(mine, pack.clone(), Revision(60), at(12));
            let machine_batch = (1, Some(MachineBatchRecord::default()));
            controller.wrote_machine_batch(mine, machine_batch, Revision(60), at(12));
        };
        if !late {
            say(&mut controller);
        }
        for head in [
            pulleywood_protocol::record::JOB_BATCH_HEAD,
            pulleywood_protocol::record::MACHINE_BATCH_HEAD,
        ] {
            controller.event(event(true, head, mine, 60), at(12));
            controller.event(event(true, head, next, 61), at(12));
        }
        let key = pulleywood_protocol::record::job_batch_key(1);
        controller.event(event(true, &key, &pack, 60), at(12));
        controller.event(event(false, &key, 0, 61), at(12));
        controller.complete(61, at(12));
        if late {
            say(&mut controller);
        }
        assert_eq!(
            controller.cached.job_batch_head,
            Versioned::new(next, Revision(61)),
            "late: {late}"
        );
        assert_eq!(
            controller.cached.machine_batch_head,
            Versioned::new(next, Revision(61)),
            "late: {late}"
        );
        assert!(!controller.is_live(&record(2).spec.id), "late: {late}");
    }
}

#[test]
fn an_older_change_does_not_bring_back_what_was_transferred_since() {
    // Shard 0 has a job of its own since revision 50 and transfers all of it at 55.
    // The watch, which gathers changes, brings 50 alone, and 55 later. Then it
    // ran in both shards.
    for in_batch in [false, true] {
        let mut controller = controller();
        taken(&mut controller);
        let job = record(1);
        let id = job.spec.id.clone();
        let mut transferred = job.clone();
        transferred.transfer_tasks(ShardId(1), None, &TaskSet::full(1));
        let key = pulleywood_protocol::record::job_key(id.shard(2), &id);
        let job_batch_key = pulleywood_protocol::record::job_batch_key(1);
        let pack = JobBatchRecord {
            jobs: vec![job.clone()],
            ..Default::default()
        };
        if in_batch {
            controller.wrote_job_batch(BatchHead { last: 1 }, pack.clone(), Revision(50), at(11));
        } else {
            controller.put_job(&job, Revision(50), at(11));
        }
        let waits = |controller: &ControllerState| {
            let state = &controller.led_shards[&ShardId(0)].state;
            state.jobs.get(&id).is_some_and(|j| !j.waiting.is_empty())
        };
        assert!(waits(&controller));
        controller.put_job(&transferred, Revision(55), at(12));
        if in_batch {
            controller.left_job_batches(vec![(1, None)], Revision(55), at(12));
        }
        assert!(!waits(&controller), "packed: {in_batch}");
        if in_batch {
            controller.event(event(true, &job_batch_key, &pack, 50), at(13))
        } else {
            controller.event(event(true, &key, &job, 50), at(13))
        }
        controller.complete(52, at(13));
        assert!(
            !waits(&controller),
            "packed: {in_batch}, after the older change"
        );
        controller.event(event(true, &key, &transferred, 55), at(14));
        if in_batch {
            controller.event(event(false, &job_batch_key, 0, 55), at(14));
        }
        controller.complete(56, at(14));
        assert!(!waits(&controller), "packed: {in_batch}, after its own");
        assert!(controller.is_live(&id) && controller.own_writes.is_empty());
        // Lent back by the other shard, it is this one's again.
        controller.event(event(true, &key, &job, 60), at(15));
        controller.complete(60, at(15));
        assert!(waits(&controller), "packed: {in_batch}, transferred back");
    }
}

#[test]
fn a_shard_whose_key_changed_is_no_longer_held() {
    for (revision, held) in [(39, true), (40, true), (41, false)] {
        let mut controller = controller();
        taken(&mut controller);
        let event = Event {
            write: None,
            delete: Some("c/part/0".into()),
            value: None,
            revision: Revision(revision),
        };
        controller.event(event, at(12));
        assert_eq!(
            controller.led_shards.contains_key(&ShardId(0)),
            held,
            "{revision}"
        );
    }
}

#[test]
fn workers_are_answered_only_while_a_cancellation_can_still_be_obeyed() {
    // Out of contact since second 0; a worker expires a lease after the
    // last answer, and a cancellation told elsewhere has cancel_s.
    let mut controller = controller();
    controller.is_cached = true;
    controller.lease.lease_id = Some(LeaseId(1));
    controller.lease.renewed = at(0);
    controller.caught_up = at(0);
    let (lease, cancel) = (
        controller.config.lease,
        controller.config.cancellation_limit,
    );
    let last = (0..100_000)
        .map(|ms| at(0) + Duration::from_millis(ms))
        .take_while(|&t| controller.may_answer(t))
        .last()
        .unwrap();
    assert!(last + lease < at(0) + cancel);
    assert!(
        last > at(0) + (cancel - lease) / 2,
        "tasks live through outages"
    );
    assert!(
        !controller.may_act(controller.lease_end()),
        "nothing is launched past it"
    );
    assert!(controller.lease_end() < last);
}

#[test]
fn nothing_is_launched_on_an_old_view_though_the_lease_lasts() {
    // The state service refuses this controller alone: it may not know of
    // cancellations that others told their users. (Age of the cached state in ms, launches)
    for (ms, launches) in [(0, true), (1500, true), (2900, true), (3000, false)] {
        let mut controller = controller();
        controller.is_cached = true;
        controller.lease.lease_id = Some(LeaseId(1));
        controller.lease.renewed = at(0);
        controller.caught_up = at(0);
        let now = at(0) + Duration::from_millis(ms);
        assert!(controller.may_act(now), "{ms}");
        assert_eq!(controller.may_launch(now), launches, "{ms}");
    }
}

#[test]
fn answers_end_in_time_for_every_lease_and_cancellation() {
    // (lease, cancel) in seconds, margins that do not fit included. The span is
    // counted from the older of the last renewal and the last read, whichever that
    // is; a worker expires a lease after the heartbeat that was answered last.
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
            controller.is_cached = true;
            controller.lease.lease_id = Some(LeaseId(1));
            controller.lease.renewed = at(renewed);
            controller.caught_up = at(read);
            let contact = at(100);
            let gone = contact + controller.config.cancellation_limit;
            let span = controller.config.response_window();
            let name = format!("{lease} {cancel}, renewed {renewed}, read {read}");
            assert!(!controller.may_answer(contact + span), "{name}");
            if span > Duration::ZERO {
                let last = contact + span - Duration::from_millis(1);
                assert!(controller.may_answer(last), "{name}");
                // Drift and the time that an answer takes are covered.
                let lapsed = last + controller.config.lease_expiry_bound();
                assert!(lapsed < gone, "{name}");
                // No more is given away than the margins.
                let given = gone.since(last + controller.config.lease).as_secs_f64();
                assert!(given < 1.3 + 0.001 * cancel, "{name}: {given}");
            } else {
                assert!(cancel <= lease + 1.3, "{name}");
            }
        }
    }
}
