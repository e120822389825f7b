//! Sample settings, job specifications, and records of jobs and machines for tests of the
//! scheduler's decisions. A test changes the fields that matter to it.

use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::cloud::Flavor;
use pulleywood_protocol::record::{JobRecord, MachineRecord, Slots};
use pulleywood_protocol::{FencingToken, JobId, JobSpec, Rank, Shape, ShardId};
use pulleywood_scheduler::Config;
use pulleywood_scheduler::config::{Policy, Team};
use std::collections::BTreeMap;
use std::time::Duration;

/// Settings with one machine type of 16 CPUs and four GPUs in two zones, one team without
/// guarantee or limit, a heartbeat interval of one second and worker leases of ten seconds.
pub fn config(shards: u32) -> Config {
    let flavor = Flavor {
        label: "g4".into(),
        cpus: Amount(16.0),
        gpus: Amount(4.0),
        memory_gb: Amount(64.0),
        cache_gb: Amount(20.0),
        fetch_gb_per_s: Amount(1.0),
        price: Amount(4.0),
        spot_price: Amount(1.0),
        boot_s: Amount(30.0),
        zones: vec!["a".into(), "b".into()],
    };
    let team = Team {
        guarantee: Slots::default(),
        limit: Slots::default(),
        weight: 1.0,
    };
    Config {
        heartbeat_interval: Duration::from_secs(1),
        lease: Duration::from_secs(10),
        cancellation_limit: Duration::from_secs(40),
        max_batch_operations: 12,
        shards,
        value_bytes: 8192,
        controller_zones: vec![],
        job_memory_limit: 50 << 20,
        chunk_tasks: 1024,
        zones: vec!["a".into(), "b".into()],
        teams: BTreeMap::from([("red".to_owned(), team)]),
        objectives: vec![],
        flavors: BTreeMap::from([("g4".to_owned(), flavor)]),
        policy: Policy {
            weights: BTreeMap::new(),
            shard_lease_s: 5.0,
            cushion: 0.1,
            reserve_jobs: 0.5,
            overflow: 0.75,
            idle_s: 45.0,
            spot_bias_s: 30.0,
            patience_s: 60.0,
            sick_jobs: 2,
        },
    }
}

/// An array job whose tasks each need a quarter of the CPUs and GPUs of a machine of
/// [`config`].
pub fn spec(id: JobId, tasks: u32) -> JobSpec {
    JobSpec {
        id,
        class: "c".into(),
        team: "red".into(),
        shape: Shape::Array,
        rank: Rank::Standard,
        tasks,
        cpus: Amount(4.0),
        gpus: Amount(1.0),
        memory_gb: Amount(8.0),
        image: "img".into(),
        image_gb: Amount(5.0),
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: Amount(60.0),
        checkpoint_s: Amount(10.0),
        save_s: Amount(2.0),
        deadline_s: None,
    }
}

/// The record of a newly accepted job, whose tasks belong to shard 0.
pub fn job_record(spec: JobSpec) -> JobRecord {
    JobRecord {
        spec,
        accepted_at_ms: 0,
        shard: ShardId(0),
        transferred: vec![],
        done: String::new(),
    }
}

/// The record of a machine of the type in [`config`], in zone `a` and without images. Its
/// fencing token of 0 means that the token of its shard applies.
pub fn machine_record(shard: ShardId) -> MachineRecord {
    MachineRecord {
        shard,
        fencing_token: FencingToken(0),
        flavor: "g4".into(),
        zone: "a".into(),
        spot: false,
        endpoint: "10.0.0.1:1".into(),
        releasing: false,
        images: vec![],
    }
}
