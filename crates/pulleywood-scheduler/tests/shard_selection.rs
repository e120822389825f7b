//! Tests of the selection of the shard for a new job.

mod common;

use common::*;
use pulleywood_protocol::peer::{Demand, MachineDigest, ShardDigest};
use pulleywood_protocol::record::MachineRecord;
use pulleywood_protocol::{FencingToken, MachineId, Rank, Revision, ShardId};
use pulleywood_scheduler::shard_selection;
use std::collections::BTreeMap;

/// Digest of a shard with one machine, which has free GPUs, GPUs held by idle rank, and
/// an image.
fn shard(
    index: u32,
    free_gpus: f64,
    idle_gpus: f64,
    image: &str,
) -> (ShardDigest, MachineId, MachineRecord) {
    let machine = MachineId::from(format!("m{index}").as_str());
    let digest = MachineDigest {
        machine: machine.clone(),
        cpus: free_gpus * 4.0,
        gpus: free_gpus,
        memory_gb: free_gpus * 8.0,
        idle_s: -1.0,
        heartbeat_age_s: 0.5,
        out_of_contact_s: 0.5,
        unreported: false,
        quarantined: false,
        non_spot_share: 0.0,
        held_by_rank: vec![(Rank::Idle, idle_gpus * 4.0, idle_gpus, idle_gpus * 8.0)],
    };
    let record = MachineRecord {
        fencing_token: FencingToken(1),
        images: vec![(image.into(), pulleywood_protocol::cbor::Amount(5.0))],
        ..machine_record(ShardId(index))
    };
    let shard = ShardDigest {
        shard: ShardId(index),
        machines: vec![digest],
        ..ShardDigest::default()
    };
    (shard, machine, record)
}

#[test]
fn the_shard_where_a_job_can_start_soonest_is_selected() {
    // (case; shard 0 and shard 1 as free GPUs, GPUs held by idle rank, and image; work
    // just sent to shard 1, in machines; tasks waiting in shard 1; selected shard)
    type Shard = (f64, f64, &'static str);
    let cases: [(&str, Shard, Shard, f64, u32, u32); 6] = [
        (
            "more resources are free",
            (1.0, 0.0, "x"),
            (3.0, 0.0, "x"),
            0.0,
            0,
            1,
        ),
        (
            "its image is present",
            (3.0, 0.0, "x"),
            (2.0, 0.0, "img"),
            0.0,
            0,
            1,
        ),
        (
            "its image is present where idle work can be preempted",
            (3.0, 0.0, "x"),
            (0.0, 2.0, "img"),
            0.0,
            0,
            1,
        ),
        (
            "its image is present, but nothing is free",
            (3.0, 0.0, "x"),
            (0.0, 0.0, "img"),
            0.0,
            0,
            0,
        ),
        (
            "its image is present, but other work was just sent there",
            (3.0, 0.0, "x"),
            (2.0, 0.0, "img"),
            1.0,
            0,
            0,
        ),
        (
            "more resources are free, but more tasks wait",
            (1.0, 0.0, "x"),
            (3.0, 0.0, "x"),
            0.0,
            12,
            0,
        ),
    ];
    for (name, shard_0, shard_1, sent_work, waiting, expected) in cases {
        let mut shards = BTreeMap::new();
        let mut machines = BTreeMap::new();
        for (index, (free, idle_gpus, image)) in [shard_0, shard_1].into_iter().enumerate() {
            let (mut digest, id, record) = shard(index as u32, free, idle_gpus, image);
            if index == 1 && waiting > 0 {
                digest.demand.push(Demand {
                    cpus: 4.0,
                    gpus: 1.0,
                    memory_gb: 8.0,
                    types: None,
                    zones: vec![],
                    spot: true,
                    rank: Rank::Standard,
                    remaining_work_s: 60.0,
                    count: waiting,
                    any_shard: true,
                });
            }
            machines.insert(id, (record, Revision(1)));
            shards.insert(ShardId(index as u32), std::sync::Arc::new(digest));
        }
        let sent_work = BTreeMap::from([(ShardId(1), sent_work)]);
        let mut config = config();
        config.shards = 2;
        let selected =
            shard_selection::select_shard(&config, &spec(1, 2), &shards, &machines, &sent_work);
        assert_eq!(selected, ShardId(expected), "{name}");
    }
}

/// A cluster with three controllers, the second of them in zone b.
fn config_with_two_zones() -> pulleywood_scheduler::Config {
    let mut config = config();
    config.shards = 3;
    config.controller_zones = vec!["a".into(), "b".into(), "a".into()];
    config
}

#[test]
fn new_machines_are_registered_by_a_shard_of_their_zone() {
    // The workers of a partitioned zone can then still reach the leader inside it.
    let config = config_with_two_zones();
    for (zone, shards) in [("a", &[0, 2][..]), ("b", &[1]), ("c", &[0, 1, 2])] {
        let mut seen = std::collections::BTreeSet::new();
        for index in 0..100 {
            seen.insert(config.registering_shard(&machine(index), zone).0);
        }
        assert!(seen.iter().eq(shards), "{zone}: {seen:?}");
    }
}

#[test]
fn half_of_a_spread_job_is_transferred_on_submission() {
    // (whether the job is spread, tasks, zones of the controllers, submitting shard,
    // shard and number of tasks transferred)
    let separate_zones = config_with_two_zones().controller_zones;
    let cases = [
        (true, 6, &separate_zones[..], 0, Some((1, 3))),
        (true, 5, &separate_zones[..], 1, Some((0, 2))),
        (true, 1, &separate_zones[..], 0, None),
        (false, 6, &separate_zones[..], 0, None),
        (true, 6, &[], 0, None),
    ];
    for (spread, tasks, controller_zones, from, expected) in cases {
        let mut config = config_with_two_zones();
        config.controller_zones = controller_zones.to_vec();
        let mut shards = BTreeMap::new();
        let mut machines = BTreeMap::new();
        for index in 0..2 {
            let (digest, id, record) = shard(index, 4.0, 1.0, "img");
            machines.insert(id, (record, Revision(1)));
            shards.insert(ShardId(index), std::sync::Arc::new(digest));
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
        if let Some((to, count)) = transferred {
            assert_eq!(
                record.transferred[0].zone.as_deref(),
                config.preferred_zone(ShardId(to))
            );
            assert_eq!(record.share(ShardId(from)).len(), tasks - count);
        }
    }
}
