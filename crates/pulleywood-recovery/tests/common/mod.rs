//! Stored records, reports and settings to try decisions on.
#![allow(dead_code, reason = "each test file uses its share")]

use pulleywood_core::Config;
use pulleywood_core::config::{Policy, Team};
use pulleywood_wire::cbor::{self, Amount};
use pulleywood_wire::cloud::Flavor;
use pulleywood_wire::rack::RackRecord;
use pulleywood_wire::record::{
    Holder, JobRecord, LAYOUT, LastHolder, Layout, MachineRecord, Slots, TERM, TermRecord, job_key,
    last_key, part_key, rack_key,
};
use pulleywood_wire::state::Item;
use pulleywood_wire::worker::{Cause, Report, TaskReport, TaskState};
use pulleywood_wire::{
    Attempt, JobId, JobSpec, MachineId, Moment, PartId, Rank, Shape, Stamp, TaskId, Term,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// The term counter, and the term of each shard's holder.
pub const TERM_NOW: Term = Term(9);
pub const SHARDS: u32 = 2;
pub const CHUNK: u32 = 1024;

pub fn config() -> Config {
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
        report: Duration::from_secs(1),
        lease: Duration::from_secs(10),
        cancel: Duration::from_secs(40),
        batch_ops: 12,
        parts: SHARDS,
        value_bytes: 8192,
        homes: vec![],
        chunk: CHUNK,
        zones: vec!["a".into(), "b".into()],
        teams: BTreeMap::from([("red".to_owned(), team)]),
        objectives: vec![],
        flavors: BTreeMap::from([("g4".to_owned(), flavor)]),
        policy: Policy {
            weights: BTreeMap::new(),
            part_lease_s: 5.0,
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

pub fn job_id(n: u64) -> JobId {
    JobId::parse(&format!("j-{n}")).unwrap()
}

pub fn machine_id(n: usize) -> MachineId {
    MachineId::from(format!("vm-{n:06}").as_str())
}

pub fn spec(n: u64, tasks: u32) -> JobSpec {
    JobSpec {
        id: job_id(n),
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

pub fn job(spec: JobSpec) -> JobRecord {
    JobRecord {
        spec,
        at_ms: 0,
        part: PartId(0),
        lent: vec![],
        done: String::new(),
    }
}

pub fn machine(shard: u32) -> MachineRecord {
    MachineRecord {
        part: PartId(shard),
        term: Term(0),
        flavor: "g4".into(),
        zone: "a".into(),
        spot: false,
        endpoint: "10.0.0.1:1".into(),
        retiring: false,
        images: vec![],
    }
}

pub fn item<T: serde::Serialize>(path: String, value: &T) -> Item {
    Item {
        path,
        value: cbor::to_value(value),
        stamp: Stamp(5),
        permit: None,
    }
}

pub fn job_item(record: &JobRecord) -> Item {
    let id = &record.spec.id;
    item(job_key(id.part(SHARDS), id), record)
}

pub fn rack_item(n: u64, machines: &[(usize, MachineRecord)]) -> Item {
    let machines = machines.iter().map(|(n, m)| (machine_id(*n), m.clone()));
    let rack = RackRecord {
        machines: machines.collect(),
        ..Default::default()
    };
    item(rack_key(n), &rack)
}

/// The layout, the counter and each shard's holder.
pub fn base_items() -> Vec<Item> {
    let mut items = vec![
        item(LAYOUT.into(), &Layout { parts: SHARDS }),
        item(TERM.into(), &TermRecord { last: TERM_NOW }),
    ];
    for shard in (0..SHARDS).map(PartId) {
        let holder = Holder {
            member: "c-0".into(),
            boot: 1,
            term: TERM_NOW,
        };
        items.push(item(part_key(shard), &holder));
        let settled = true;
        items.push(item(last_key(shard), &LastHolder { holder, settled }));
    }
    items
}

pub fn task(n: u64, index: u32) -> TaskId {
    let job = job_id(n);
    TaskId { job, index }
}

pub fn attempt(term: u64, counter: u64) -> Attempt {
    Attempt::pack(Term(term), counter).unwrap()
}

pub fn seen(n: u64, index: u32, attempt: Attempt, state: TaskState) -> TaskReport {
    TaskReport {
        task: task(n, index),
        attempt,
        state,
        cause: None,
        stored: None,
    }
}

pub fn exited(n: u64, index: u32, attempt: Attempt, cause: Cause) -> TaskReport {
    TaskReport {
        cause: Some(cause),
        ..seen(n, index, attempt, TaskState::Exited)
    }
}

pub fn report(machine: usize, term: Term, tasks: Vec<TaskReport>) -> Report {
    Report {
        machine: machine_id(machine),
        endpoint: "10.0.0.1:1".into(),
        flavor: "g4".into(),
        zone: "a".into(),
        spot: false,
        session: 1,
        seq: 1,
        term,
        notice_s: None,
        tasks,
    }
}

pub fn at(s: u64) -> Moment {
    Moment(3_600_000 + s * 1000)
}
