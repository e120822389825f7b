//! Sample records, heartbeats and settings for the tests of this crate.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use pulleywood_protocol::cbor::{self};
use pulleywood_protocol::machine_batch::MachineBatchRecord;
use pulleywood_protocol::record::{
    FENCING_TOKEN, FencingTokenCounter, JobRecord, LAYOUT, Layout, LeaseHolder, MachineRecord,
    PreviousLeaseHolder, job_key, machine_batch_key, previous_leader_key, shard_leader_key,
};
use pulleywood_protocol::store::Item;
use pulleywood_protocol::worker::{Cause, Heartbeat, TaskState, TaskStatus};
use pulleywood_protocol::{
    Attempt, FencingToken, JobId, JobSpec, MachineId, MonotonicTime, Revision, ShardId, TaskId,
};
use pulleywood_scheduler::Config;
use pulleywood_testkit::samples;
pub use pulleywood_testkit::samples::job_record;

/// The last fencing token issued, under which each shard is led.
pub const CURRENT_FENCING_TOKEN: FencingToken = FencingToken(9);
pub const SHARDS: u32 = 2;
pub const CHUNK_SIZE: u32 = 1024;

pub fn config() -> Config {
    samples::config(SHARDS)
}

pub fn job_id(number: u64) -> JobId {
    JobId::parse(&format!("j-{number}")).unwrap()
}

pub fn machine_id(number: usize) -> MachineId {
    MachineId::from(format!("vm-{number:06}").as_str())
}

pub fn spec(job: u64, tasks: u32) -> JobSpec {
    samples::spec(job_id(job), tasks)
}

pub fn machine(shard: u32) -> MachineRecord {
    samples::machine_record(ShardId(shard))
}

pub fn item<T: serde::Serialize>(path: String, value: &T) -> Item {
    Item {
        path,
        value: cbor::to_value(value),
        revision: Revision(5),
        lease_id: None,
    }
}

pub fn job_item(record: &JobRecord) -> Item {
    let id = &record.spec.id;
    item(job_key(id.shard(SHARDS), id), record)
}

pub fn machine_batch_item(number: u64, machines: &[(usize, MachineRecord)]) -> Item {
    let machines = machines.iter().map(|(n, m)| (machine_id(*n), m.clone()));
    let machine_batch = MachineBatchRecord {
        machines: machines.collect(),
        ..Default::default()
    };
    item(machine_batch_key(number), &machine_batch)
}

/// The layout, the fencing-token counter, and the current and previous leader of each shard.
pub fn base_items() -> Vec<Item> {
    let mut items = vec![
        item(LAYOUT.into(), &Layout { shards: SHARDS }),
        item(
            FENCING_TOKEN.into(),
            &FencingTokenCounter {
                last: CURRENT_FENCING_TOKEN,
            },
        ),
    ];
    for shard in (0..SHARDS).map(ShardId) {
        let holder = LeaseHolder {
            member: "c-0".into(),
            boot: 1,
            fencing_token: CURRENT_FENCING_TOKEN,
        };
        items.push(item(shard_leader_key(shard), &holder));
        let reconciled = true;
        items.push(item(
            previous_leader_key(shard),
            &PreviousLeaseHolder { holder, reconciled },
        ));
    }
    items
}

pub fn task(job: u64, index: u32) -> TaskId {
    let job = job_id(job);
    TaskId { job, index }
}

pub fn attempt(fencing_token: u64, counter: u64) -> Attempt {
    Attempt::from_parts(FencingToken(fencing_token), counter).unwrap()
}

pub fn reported(job: u64, index: u32, attempt: Attempt, state: TaskState) -> TaskStatus {
    TaskStatus {
        task: task(job, index),
        attempt,
        state,
        cause: None,
        progress_saved: None,
    }
}

pub fn exited(job: u64, index: u32, attempt: Attempt, cause: Cause) -> TaskStatus {
    TaskStatus {
        cause: Some(cause),
        ..reported(job, index, attempt, TaskState::Exited)
    }
}

pub fn heartbeat(machine: usize, fencing_token: FencingToken, tasks: Vec<TaskStatus>) -> Heartbeat {
    Heartbeat {
        machine: machine_id(machine),
        endpoint: "10.0.0.1:1".into(),
        flavor: "g4".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        seq: 1,
        fencing_token,
        reclaim_in_s: None,
        tasks,
    }
}

/// A time this many seconds after an arbitrary start.
pub fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime(3_600_000 + seconds * 1000)
}
