//! Ids, sets of done tasks, task transfers, job and machine batches, and the size of stored
//! values.

use pulleywood_protocol::cbor::{self, Amount, Value};
use pulleywood_protocol::job_batch::{JobBatchRecord, JobBatches};
use pulleywood_protocol::machine_batch::{MachineBatchRecord, MachineBatches};
use pulleywood_protocol::record::{
    ChunkRecord, JobRecord, Key, MachineRecord, TaskSet, chunk_tasks,
};
use pulleywood_protocol::store::{Transaction, Write};
use pulleywood_protocol::{
    Attempt, FencingToken, JobId, JobSpec, MachineId, Rank, Revision, Shape, ShardId, TaskId,
};
use std::collections::{BTreeMap, BTreeSet};

fn spec(tasks: u32) -> JobSpec {
    JobSpec {
        id: JobId::parse("j-000001").unwrap(),
        class: "class".into(),
        team: "team".into(),
        shape: Shape::Array,
        rank: Rank::Standard,
        tasks,
        cpus: Amount(1.5),
        gpus: Amount(0.0),
        memory_gb: Amount(4.0),
        image: "image-07".into(),
        image_gb: Amount(6.2),
        types: Some(vec!["a1".into(), "b2".into()]),
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: Amount(60.0),
        checkpoint_s: Amount(0.0),
        save_s: Amount(0.0),
        deadline_s: Some(Amount(900.0)),
    }
}

#[test]
fn ids_are_parsed_strictly() {
    let jobs = [
        ("j-000412", true),
        ("j-1", true),
        ("j-", false),
        ("j-12x", false),
        ("000412", false),
        ("j-1/2", false),
        ("J-1", false),
    ];
    for (text, valid) in jobs {
        assert_eq!(JobId::parse(text).is_some(), valid, "{text}");
    }
    for (text, valid) in [
        ("j-1/3", true),
        ("j-1", false),
        ("j-1/x", false),
        ("j-1/-1", false),
    ] {
        assert_eq!(TaskId::parse(text).is_some(), valid, "{text}");
    }
    for (path, known) in [
        ("c/job/2/j-7", true),
        ("c/job/2/j-7/1", true),
        ("c/part/x", false),
        ("closed/j-7", false),
    ] {
        assert_eq!(Key::parse(path).is_some(), known, "{path}");
    }
}

#[test]
fn attempts_are_unique_across_fencing_tokens_and_below_2_to_the_53() {
    let cases = [
        (1, 0, true),
        (1, (1 << 21) - 1, true),
        (1, 1 << 21, false),
        ((1 << 32) - 1, 5, true),
        (1 << 32, 0, false),
    ];
    for (fencing_token, counter, valid) in cases {
        let attempt = Attempt::from_parts(FencingToken(fencing_token), counter);
        assert_eq!(attempt.is_some(), valid, "{fencing_token} {counter}");
        if let Some(attempt) = attempt {
            assert!(attempt.0 < 1 << 53);
            assert_eq!(attempt.fencing_token(), FencingToken(fencing_token));
        }
    }
    assert_ne!(
        Attempt::from_parts(FencingToken(1), (1 << 21) - 1),
        Attempt::from_parts(FencingToken(2), 0)
    );
}

#[test]
fn any_pattern_of_done_tasks_round_trips_within_the_value_limit() {
    type Pattern = fn(u32) -> bool;
    let patterns: [(&str, Pattern); 6] = [
        ("none", |_| false),
        ("all", |_| true),
        ("every other", |i| i % 2 == 0),
        ("every third", |i| i % 3 == 1),
        ("runs", |i| i / 100 % 2 == 0),
        ("scattered", |i| i.wrapping_mul(2_654_435_761) >> 30 == 0),
    ];
    for limit_kb in [4.0, 8.0, 64.0] {
        let chunk_size = chunk_tasks(limit_kb);
        for tasks in [1, 63, 64, 65, chunk_size, chunk_size + 1, 100_000] {
            for (name, pattern) in patterns {
                let mut set = TaskSet::new();
                (0..tasks)
                    .filter(|&index| pattern(index))
                    .for_each(|index| {
                        set.insert(index);
                    });
                let mut decoded = TaskSet::new();
                for chunk in 0..tasks.div_ceil(chunk_size) {
                    let done = set.chunk_text(chunk, chunk_size);
                    assert!(
                        decoded.add_chunk(&done, chunk, chunk_size, tasks),
                        "{name} {tasks}"
                    );
                    let json = if chunk == 0 {
                        let record = JobRecord {
                            spec: spec(tasks),
                            accepted_at_ms: 1_700_000_000_000,
                            shard: ShardId(1),
                            transferred: vec![],
                            done,
                        };
                        serde_json::to_string(&record).unwrap()
                    } else {
                        serde_json::to_string(&ChunkRecord { done }).unwrap()
                    };
                    assert!(
                        json.len() as f64 <= limit_kb * 1024.0,
                        "{name} {tasks}: {}",
                        json.len()
                    );
                }
                assert!(decoded.iter().eq(set.iter()), "{name} {tasks}");
                assert_eq!(decoded.len(), set.len());
            }
        }
    }
}

#[test]
fn malformed_task_sets_are_rejected() {
    for text in ["x", "5-3", "1-", "9", "0-9", "=!", "-1"] {
        let mut set = TaskSet::new();
        assert!(!set.add_chunk(text, 0, 64, 8), "{text}");
    }
}

#[test]
fn every_task_belongs_to_exactly_one_shard_after_any_transfers() {
    let shards = [ShardId(0), ShardId(1), ShardId(2)];
    let mut record = JobRecord {
        spec: spec(10),
        accepted_at_ms: 0,
        shard: shards[0],
        transferred: vec![],
        done: String::new(),
    };
    let task_set = |range: std::ops::Range<u32>| {
        let mut set = TaskSet::new();
        range.for_each(|index| {
            set.insert(index);
        });
        set
    };
    // (destination shard, zone, tasks, number of tasks of each shard afterwards)
    let steps = [
        (1, None, 0..4, [6, 4, 0]),
        (2, Some("a"), 2..6, [4, 2, 4]),
        (1, None, 5..6, [4, 3, 3]),
        (0, None, 0..10, [10, 0, 0]),
    ];
    for (to, zone, tasks, sizes) in steps {
        record.transfer_tasks(shards[to], zone, &task_set(tasks));
        let shares = shards.map(|shard| record.share(shard));
        assert_eq!(shares.clone().map(|s| s.len()), sizes);
        for task in 0..10 {
            let owners = shares.iter().filter(|share| share.contains(task)).count();
            assert_eq!(owners, 1, "task {task}");
        }
    }
    assert!(record.transferred.is_empty());
}

#[test]
fn bodies_are_exactly_one_item_and_amounts_may_be_integers_or_floats() {
    let valid = cbor::encode(&spec(3));
    assert!(cbor::decode::<JobSpec>(&valid).is_ok());
    let mut trailing = valid.clone();
    trailing.push(0);
    assert!(cbor::decode::<JobSpec>(&trailing).is_err());
    for length in [0, 1, valid.len() / 2, valid.len() - 1] {
        assert!(
            cbor::decode::<JobSpec>(&valid[..length]).is_err(),
            "{length}"
        );
    }
    for (bytes, value) in [(&b"\x04"[..], 4.0), (b"\xf9\x44\x00", 4.0), (b"\x20", -1.0)] {
        assert_eq!(cbor::decode::<Amount>(bytes).unwrap(), Amount(value));
    }
}

#[test]
fn a_job_is_in_one_job_batch_until_it_is_removed() {
    let record = |n: u64| {
        let mut spec = spec(2);
        spec.id = JobId::parse(&format!("j-{n}")).unwrap();
        JobRecord {
            spec,
            accepted_at_ms: 0,
            shard: ShardId(0),
            transferred: vec![],
            done: String::new(),
        }
    };
    let id = |n: u64| JobId::parse(&format!("j-{n}")).unwrap();
    let mut job_batches = JobBatches::default();
    let job_batch = JobBatchRecord {
        jobs: vec![record(1), record(2), record(3)],
        ..Default::default()
    };
    let (new, left) = job_batches.put(7, Some(job_batch.clone()), Revision(10));
    assert_eq!((new.len(), left.len()), (3, 0));
    // The same change again, as the watch delivers a change that was applied directly.
    let (new, left) = job_batches.put(7, Some(job_batch.clone()), Revision(10));
    assert_eq!((new.len(), left.len()), (0, 0));
    assert_eq!(job_batches.find(&id(2)), Some(7));
    let leaving = std::collections::BTreeSet::from([id(1), id(3), id(9)]);
    let (transaction, updates) = job_batches.remove_jobs(Transaction::default(), &leaving);
    assert!(transaction.is_compare_and_set());
    assert_eq!(
        transaction.writes.len(),
        1,
        "one write for all removed jobs"
    );
    let (number, remaining) = updates.into_iter().next().unwrap();
    let (_, left) = job_batches.put(number, remaining, Revision(20));
    assert_eq!(left, [id(1), id(3)]);
    // An older change that arrives late restores no job.
    let (new, _) = job_batches.put(7, Some(job_batch.clone()), Revision(10));
    assert!(new.is_empty());
    let (transaction, updates) = job_batches.remove_jobs(Transaction::default(), &[id(2)].into());
    assert_eq!(transaction.writes.len(), 1);
    let (number, remaining) = updates.into_iter().next().unwrap();
    assert!(
        remaining.is_none(),
        "the removal of the last job deletes the job batch"
    );
    job_batches.put(number, remaining, Revision(30));
    let (new, _) = job_batches.put(7, Some(job_batch), Revision(20));
    assert!(new.is_empty());
    job_batches.forget_deleted(30);
    assert_eq!(job_batches.find(&id(2)), None);
}

fn machine(number: usize) -> MachineId {
    MachineId::from(format!("vm-{number:06}").as_str())
}

fn machine_batch(machines: std::ops::Range<usize>, images: usize) -> MachineBatchRecord {
    let record = MachineRecord {
        shard: ShardId(4),
        fencing_token: FencingToken(123_456),
        flavor: "flavor-with-64".into(),
        zone: "some-zone-name".into(),
        spot: false,
        endpoint: "10.100.100.100:9000".into(),
        releasing: false,
        images: (0..images)
            .map(|n| (format!("image-{n:04}"), Amount(12.25)))
            .collect(),
    };
    let machines = machines.map(|n| (machine(n), record.clone()));
    MachineBatchRecord {
        machines: machines.collect(),
        ..Default::default()
    }
}

#[test]
fn machines_are_in_one_machine_batch_and_older_changes_are_ignored() {
    let mut machine_batches = MachineBatches::default();
    let put = |machine_batches: &mut MachineBatches,
               n,
               machine_batch: Option<MachineBatchRecord>,
               revision| {
        let changed = machine_batches.put(n, machine_batch, Revision(revision))?;
        Some((changed.present.len(), changed.removed.len()))
    };
    // (batch number, batch, revision, number of machines present and removed)
    let cases = [
        (1, Some(machine_batch(0..4, 0)), 10, Some((4, 0))),
        (1, Some(machine_batch(0..4, 0)), 10, None),
        (1, Some(machine_batch(1..3, 1)), 12, Some((2, 2))),
        (1, Some(machine_batch(0..4, 0)), 11, None),
        (2, Some(machine_batch(7..9, 0)), 13, Some((2, 0))),
        (2, None, 14, Some((0, 2))),
        (2, Some(machine_batch(7..9, 0)), 13, None),
    ];
    for (step, (number, record, revision, expected)) in cases.into_iter().enumerate() {
        assert_eq!(
            put(&mut machine_batches, number, record, revision),
            expected,
            "step {step}"
        );
    }
    assert_eq!(machine_batches.find(&machine(1)), Some(1));
    // New machines join the fullest machine batch that has room for them.
    machine_batches.put(3, Some(machine_batch(20..30, 0)), Revision(20));
    for (added, expected) in [(1, Some(3)), (2, Some(3)), (3, Some(1)), (11, None)] {
        let found = machine_batches.find_with_room(added, 12, |m| m.shard == ShardId(4));
        assert_eq!(found.map(|(number, ..)| number), expected, "{added}");
    }
    assert!(
        machine_batches
            .find_with_room(1, 12, |m| m.shard == ShardId(5))
            .is_none()
    );
    assert_eq!(machine_batches.find(&machine(0)), None);
    assert_eq!(machine_batches.find(&machine(7)), None);
}

#[test]
fn edits_of_one_machine_batch_are_one_write_within_the_value_limit() {
    let max_bytes = 8192;
    let mut machine_batches = MachineBatches::default();
    machine_batches.put(1, Some(machine_batch(0..18, 0)), Revision(5));
    machine_batches.put(2, Some(machine_batch(18..36, 0)), Revision(6));
    // (images of each machine after the edit, machines removed)
    for (images, removed) in [(0, 0), (5, 1), (60, 0), (60, 17), (3, 18)] {
        let mut edits = std::collections::BTreeMap::new();
        for (position, (id, record)) in machine_batch(0..18, images)
            .machines
            .into_iter()
            .enumerate()
        {
            edits.insert(id, (position >= removed).then_some(record));
        }
        let (transaction, updates) =
            machine_batches.update_records(Transaction::default(), &edits, max_bytes);
        assert!(transaction.is_compare_and_set());
        let writes = usize::from(images > 0 || removed > 0);
        let counts = (transaction.writes.len(), updates.len());
        assert_eq!(counts, (writes, writes), "{images}, {removed}");
        if writes == 0 {
            continue;
        }
        assert_eq!(transaction.compares[0].revision, Revision(5));
        let (number, next) = &updates[0];
        assert_eq!(*number, 1);
        assert_eq!(next.is_none(), removed == 18);
        if let Some(next) = next {
            assert_eq!(next.machines.len(), 18 - removed);
            assert!(
                next.size_bytes() <= max_bytes,
                "{images} images: {}",
                next.size_bytes()
            );
            // The least recently used images are removed first.
            let last = next.machines[&machine(17)].images.last();
            let newest = images.checked_sub(1).map(|n| format!("image-{n:04}"));
            assert_eq!(last.map(|(name, _)| name.clone()), newest);
        }
    }
}

/// A stored batch with one more record, in a format that this release cannot decode.
fn with_unreadable_record<T: serde::Serialize>(batch: &T, list: &str, key: &str) -> Value {
    let Value::Map(mut fields) = cbor::to_value(batch) else {
        panic!("batch is not a map");
    };
    let text = |text: &str| Value::Text(text.to_owned());
    let spec = vec![
        (text("uid"), text("j-77")),
        (text("legs"), text("a new kind of number")),
    ];
    let unreadable = Value::Map(vec![(text("spec"), Value::Map(spec))]);
    let records = fields
        .iter_mut()
        .find(|(name, _)| name.as_text() == Some(list));
    match &mut records.unwrap().1 {
        Value::Array(records) => records.push(unreadable),
        Value::Map(records) => records.push((text(key), unreadable)),
        _ => panic!("records are neither an array nor a map"),
    }
    Value::Map(fields)
}

#[test]
fn unreadable_records_in_a_batch_are_kept_and_block_only_themselves() {
    let job_batch = JobBatchRecord {
        jobs: vec![JobRecord {
            spec: spec(3),
            accepted_at_ms: 0,
            shard: ShardId(0),
            transferred: vec![],
            done: String::new(),
        }],
        ..Default::default()
    };
    let stored = with_unreadable_record(&job_batch, "jobs", "");
    let read = JobBatchRecord::from_value(&stored).unwrap();
    assert_eq!(read.jobs, job_batch.jobs);
    let ids: Vec<JobId> = read.unreadable_ids().collect();
    assert_eq!(ids, [JobId::parse("j-77").unwrap()]);
    assert_eq!(cbor::to_value(&read), stored);
    // When the last readable job is removed, the unreadable record stays stored.
    let mut job_batches = JobBatches::default();
    job_batches.put(1, Some(read), Revision(5));
    let leaving = BTreeSet::from([job_batch.jobs[0].spec.id.clone()]);
    let (transaction, updates) = job_batches.remove_jobs(Transaction::default(), &leaving);
    assert!(updates[0].1.as_ref().is_some_and(|batch| !batch.is_empty()));
    assert_eq!(transaction.writes.len(), 1);
    assert!(matches!(transaction.writes[0], Write::Put { .. }));

    let machines = machine_batch(0..3, 0);
    let stored = with_unreadable_record(&machines, "machines", "vm-9");
    let read = MachineBatchRecord::from_value(&stored).unwrap();
    assert_eq!(read.machines, machines.machines);
    assert_eq!(read.unreadable.len(), 1);
    let again = MachineBatchRecord::from_value(&cbor::to_value(&read)).unwrap();
    assert_eq!(again, read);
    let mut machine_batches = MachineBatches::default();
    machine_batches.put(1, Some(read), Revision(5));
    let deletions: BTreeMap<MachineId, Option<MachineRecord>> = machines
        .machines
        .keys()
        .map(|id| (id.clone(), None))
        .collect();
    let (_, updates) = machine_batches.update_records(Transaction::default(), &deletions, 8192);
    assert!(updates[0].1.as_ref().is_some_and(|batch| !batch.is_empty()));

    for invalid in [Value::Null, Value::Text("x".into()), Value::Array(vec![])] {
        assert!(JobBatchRecord::from_value(&invalid).is_err());
        assert!(MachineBatchRecord::from_value(&invalid).is_err());
    }
}
