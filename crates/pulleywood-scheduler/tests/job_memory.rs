//! Memory that a shard's leader takes for jobs, counted by the allocator. The counts are of the
//! whole process, so this file has a single test.

mod common;

use common::{SHARD, ShardHarness, at, job_record, spec};
use peak_alloc::PeakAlloc;
use pulleywood_protocol::record::{JobRecord, TaskSet};
use pulleywood_protocol::{Revision, Shape, ShardId};
use pulleywood_scheduler::admission::job_bytes;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Jobs in the shard, as many as in the case of the second review.
const JOBS: u64 = 20;
/// Most bytes that a job may take, whatever waits of it.
const MAX_JOB_BYTES: usize = 4096;
/// Bytes by which a large job may exceed a small one: more digits, and a container more for each
/// set of its tasks.
const MAX_GROWTH_BYTES: usize = 1024;

/// Bytes of one job.
struct JobBytes {
    /// What the shard keeps.
    kept: usize,
    /// What it takes beyond that, at most, while it is given a newer revision of the record,
    /// describes its work to others, plans it and builds a batch of done tasks.
    peak: usize,
}

/// A record of a job with this number of tasks, as one of the shards that run it stores it.
type Case = (&'static str, fn(u64, u32) -> JobRecord);

const CASES: [Case; 6] = [
    ("array", |number, tasks| job_record(spec(number, tasks))),
    ("service", |number, tasks| {
        let mut record = job_record(spec(number, tasks));
        record.spec.shape = Shape::Service;
        record
    }),
    ("in one zone", |number, tasks| {
        let mut record = job_record(spec(number, tasks));
        record.spec.one_zone = true;
        record
    }),
    ("spread, submitted here", |number, tasks| {
        spread_job(number, tasks, SHARD, ShardId(1))
    }),
    ("spread, received here", |number, tasks| {
        spread_job(number, tasks, ShardId(1), SHARD)
    }),
    ("half done", |number, tasks| {
        let mut record = job_record(spec(number, tasks));
        record.done = format!("0-{}", tasks.min(1000) / 2);
        record
    }),
];

/// Jobs whose records are about as large as a stored value may be.
const LARGE_RECORDS: [Case; 3] = [
    ("many types", |number, tasks| {
        let mut record = job_record(spec(number, tasks));
        record.spec.types = Some(vec!["g4".into(); 1300]);
        record
    }),
    ("long names", |number, tasks| {
        let mut record = job_record(spec(number, tasks));
        record.spec.image = "i".repeat(400);
        record.spec.types = Some(vec!["t".repeat(1000); 7]);
        record
    }),
    ("scattered transfers", |number, tasks| {
        let mut record = job_record(spec(number, tasks));
        let scattered: Vec<String> = (0..1100).map(|i| (i * 50).to_string()).collect();
        let mut received = TaskSet::new();
        received.add_chunk(&scattered.join(","), 0, 1 << 20, tasks);
        record.shard = ShardId(1);
        record.transfer_tasks(SHARD, Some("b"), &received);
        record
    }),
];

/// A spread array job, half of which is transferred from one shard to another.
fn spread_job(number: u64, tasks: u32, from: ShardId, to: ShardId) -> JobRecord {
    let mut record = job_record(spec(number, tasks));
    record.spec.spread = true;
    record.shard = from;
    record.transfer_tasks(to, Some("b"), &TaskSet::from(tasks / 2..tasks));
    record
}

fn bytes_per_job(job: fn(u64, u32) -> JobRecord, tasks: u32) -> JobBytes {
    let mut shard = ShardHarness::new(&["a", "b"]);
    let records: Vec<JobRecord> = (0..JOBS).map(|n| job(n, tasks)).collect();
    let before = ALLOCATOR.current_usage();
    put_all(&mut shard, &records, Revision(2));
    let kept = ALLOCATOR.current_usage() - before;
    ALLOCATOR.reset_peak_usage();
    put_all(&mut shard, &records, Revision(3));
    drop(shard.state.digest(at(1.0), &shard.config));
    let heartbeat = shard.heartbeat(0, 1, Vec::new());
    shard.heartbeat_and_answer(&heartbeat, 1.0);
    drop(shard.batch(Revision(1), 100.0));
    let peak = ALLOCATOR.peak_usage() - before - kept;
    JobBytes {
        kept: kept / JOBS as usize,
        peak: peak / JOBS as usize,
    }
}

/// Checks that the bytes by which jobs are admitted are no fewer than what one takes.
fn assert_counted(name: &str, job: fn(u64, u32) -> JobRecord, tasks: u32, kept: usize) {
    let counted = job_bytes(&job(1, tasks));
    assert!(
        counted >= kept as u64,
        "{name}: {counted} bytes are counted, {kept} allocated"
    );
}

fn put_all(shard: &mut ShardHarness, records: &[JobRecord], revision: Revision) {
    for record in records {
        let (state, config) = (&mut shard.state, &shard.config);
        state.put_job(record, revision, false, at(0.0), config);
    }
}

/// Guards against controllers that are ended for memory: 20 spread jobs of 100,000 tasks took
/// 79 MB at the controller of the second zone, which had 56 MB.
#[test]
fn memory_of_a_job_does_not_grow_with_its_number_of_tasks() {
    for (name, job) in CASES {
        let small = bytes_per_job(job, 1000);
        let large = bytes_per_job(job, 100_000);
        assert_counted(name, job, 100_000, large.kept);
        for (what, small, large) in [
            ("kept", small.kept, large.kept),
            ("at the peak", small.peak, large.peak),
        ] {
            println!("{name}: {small} to {large} bytes {what}");
            assert!(large <= MAX_JOB_BYTES, "{name}: {large} bytes {what}");
            assert!(
                large <= small + MAX_GROWTH_BYTES,
                "{name}: {small} to {large} bytes {what}"
            );
        }
    }
    for (name, job) in LARGE_RECORDS {
        assert_counted(name, job, 100_000, bytes_per_job(job, 100_000).kept);
    }
}
