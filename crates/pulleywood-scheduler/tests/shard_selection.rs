//! Which shard runs a new job.

mod common;

use common::*;
use pulleywood_protocol::peer::{Demand, MachineDigest, ShardDigest};
use pulleywood_protocol::record::MachineRecord;
use pulleywood_protocol::{FencingToken, MachineId, Rank, Revision, ShardId};
use pulleywood_scheduler::shard_selection;
use std::collections::BTreeMap;

/// A shard with one machine: GPUs free, GPUs that idle work holds, an image.
fn shard(n: u32, free: f64, idle: f64, image: &str) -> (ShardDigest, MachineId, MachineRecord) {
    let machine = MachineId::from(format!("m{n}").as_str());
    let digest = MachineDigest {
        machine: machine.clone(),
        cpus: free * 4.0,
        gpus: free,
        memory_gb: free * 8.0,
        idle_s: -1.0,
        heartbeat_age_s: 0.5,
        lost_s: 0.5,
        unreported: false,
        quarantined: false,
        pinned: 0.0,
        held: vec![(Rank::Idle, idle * 4.0, idle, idle * 8.0)],
    };
    let record = MachineRecord {
        fencing_token: FencingToken(1),
        images: vec![(image.into(), pulleywood_protocol::cbor::Amount(5.0))],
        ..machine_record(ShardId(n))
    };
    let shard = ShardDigest {
        shard: ShardId(n),
        machines: vec![digest],
        ..ShardDigest::default()
    };
    (shard, machine, record)
}

#[test]
fn the_shard_where_a_job_can_start_soonest_is_chosen() {
    // (shard 0 and shard 1 as free GPUs, GPUs held by idle work, image; machines'
    // worth sent to shard 1 just now, tasks waiting there; chosen)
    type Shard = (f64, f64, &'static str);
    let cases: [(&str, Shard, Shard, f64, u32, u32); 6] = [
        ("more is free", (1.0, 0.0, "x"), (3.0, 0.0, "x"), 0.0, 0, 1),
        ("its image", (3.0, 0.0, "x"), (2.0, 0.0, "img"), 0.0, 0, 1),
        (
            "its image where idle work can be preempted",
            (3.0, 0.0, "x"),
            (0.0, 2.0, "img"),
            0.0,
            0,
            1,
        ),
        (
            "its image, but nothing is free",
            (3.0, 0.0, "x"),
            (0.0, 0.0, "img"),
            0.0,
            0,
            0,
        ),
        (
            "its image, but others were sent there",
            (3.0, 0.0, "x"),
            (2.0, 0.0, "img"),
            1.0,
            0,
            0,
        ),
        (
            "more is free, but more waits",
            (1.0, 0.0, "x"),
            (3.0, 0.0, "x"),
            0.0,
            12,
            0,
        ),
    ];
    for (name, zero, one, sent, waiting, expected) in cases {
        let mut shards = BTreeMap::new();
        let mut machines = BTreeMap::new();
        for (n, (free, idle, image)) in [zero, one].into_iter().enumerate() {
            let (mut digest, id, record) = shard(n as u32, free, idle, image);
            if n == 1 && waiting > 0 {
                digest.demand.push(Demand {
                    cpus: 4.0,
                    gpus: 1.0,
                    memory_gb: 8.0,
                    types: None,
                    zones: vec![],
                    spot: true,
                    rank: Rank::Standard,
                    work_s: 60.0,
                    count: waiting,
                    free: true,
                });
            }
            machines.insert(id, (record, Revision(1)));
            shards.insert(ShardId(n as u32), std::sync::Arc::new(digest));
        }
        let sent = BTreeMap::from([(ShardId(1), sent)]);
        let mut config = config();
        config.shards = 2;
        let chosen = shard_selection::select_shard(&config, &spec(1, 2), &shards, &machines, &sent);
        assert_eq!(chosen, ShardId(expected), "{name}");
    }
}

/// Three controllers, the second in zone b.
fn zoned() -> pulleywood_scheduler::Config {
    let mut config = config();
    config.shards = 3;
    config.controller_zones = vec!["a".into(), "b".into(), "a".into()];
    config
}

#[test]
fn new_machines_are_registered_by_a_shard_of_their_zone() {
    // Workers of a partitioned zone are answered by the leader inside it.
    let config = zoned();
    for (zone, shards) in [("a", &[0, 2][..]), ("b", &[1]), ("c", &[0, 1, 2])] {
        let mut seen = std::collections::BTreeSet::new();
        for n in 0..100 {
            seen.insert(config.registering_shard(&machine(n), zone).0);
        }
        assert!(seen.iter().eq(shards), "{zone}: {seen:?}");
    }
}

#[test]
fn half_of_a_spread_job_is_transferred_on_submission() {
    // (spread, tasks, zones of the controllers, shard, transferred to)
    let apart = zoned().controller_zones;
    let cases = [
        (true, 6, &apart[..], 0, Some((1, 3))),
        (true, 5, &apart[..], 1, Some((0, 2))),
        (true, 1, &apart[..], 0, None),
        (false, 6, &apart[..], 0, None),
        (true, 6, &[], 0, None),
    ];
    for (spread, tasks, homes, from, expected) in cases {
        let mut config = zoned();
        config.controller_zones = homes.to_vec();
        let mut shards = BTreeMap::new();
        let mut machines = BTreeMap::new();
        for n in 0..2 {
            let (digest, id, record) = shard(n, 4.0, 1.0, "img");
            machines.insert(id, (record, Revision(1)));
            shards.insert(ShardId(n), std::sync::Arc::new(digest));
        }
        let mut record = job_record(spec(1, tasks));
        record.spec.spread = spread;
        record.shard = ShardId(from);
        shard_selection::transfer_spread_tasks(
            &config,
            &mut record,
            &shards,
            &machines,
            &BTreeMap::new(),
        );
        let transferred = record
            .transferred
            .first()
            .map(|l| (l.shard.0, record.transferred_tasks(l).len()));
        assert_eq!(transferred, expected, "{spread}, {tasks} tasks");
        if let Some((to, n)) = transferred {
            assert_eq!(
                record.transferred[0].zone.as_deref(),
                config.preferred_zone(ShardId(to))
            );
            assert_eq!(record.share(ShardId(from)).len(), tasks - n);
        }
    }
}
