//! Memory that a shard's leader takes for jobs, counted by the allocator. The counts are of the
//! whole process, so this file has a single test.

mod common;

use common::{SHARD, ShardHarness, at, job_record, spec};
use peak_alloc::PeakAlloc;
use pulleywood_protocol::record::{JobRecord, TaskSet};
use pulleywood_protocol::{Revision, ShardId};

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Jobs in the shard, as many as in the case of the second review.
const JOBS: u64 = 20;
/// Tasks of each job, the most that the protocol allows.
const TASKS: u32 = 100_000;

/// An array job whose second half the shard receives from another one, bound to a zone or not.
fn received_job(number: u64, zone: Option<&str>) -> JobRecord {
    let mut record = job_record(spec(number, TASKS));
    record.spec.spread = true;
    record.shard = ShardId(1);
    let mut tasks = TaskSet::new();
    for index in TASKS / 2..TASKS {
        tasks.insert(index);
    }
    record.transfer_tasks(SHARD, zone, &tasks);
    record
}

/// Bytes that the shard keeps for each job, and that it takes at most beyond them while it is
/// given a newer revision of all records, describes its work to others and plans it.
fn bytes_per_job(zone: Option<&str>) -> (usize, usize) {
    let mut shard = ShardHarness::new(&["a", "b"]);
    let records: Vec<JobRecord> = (0..JOBS).map(|n| received_job(n, zone)).collect();
    let before = ALLOCATOR.current_usage();
    for record in &records {
        let (state, config) = (&mut shard.state, &shard.config);
        state.put_job(record, Revision(2), false, at(0.0), config);
    }
    let kept = ALLOCATOR.current_usage() - before;
    ALLOCATOR.reset_peak_usage();
    for record in &records {
        let (state, config) = (&mut shard.state, &shard.config);
        state.put_job(record, Revision(3), false, at(0.0), config);
    }
    drop(shard.state.digest(at(1.0), &shard.config));
    let heartbeat = shard.heartbeat(0, 1, Vec::new());
    shard.heartbeat_and_answer(&heartbeat, 1.0);
    let peak = ALLOCATOR.peak_usage() - before - kept;
    (kept / JOBS as usize, peak / JOBS as usize)
}

/// Guards against controllers that are ended for memory: 20 spread jobs of 100,000 tasks took
/// 80 MB at the controller of the second zone, which had 56 MB.
#[test]
fn zones_of_spread_tasks_take_no_memory_per_task() {
    let (unbound_kept, unbound_peak) = bytes_per_job(None);
    let (bound_kept, bound_peak) = bytes_per_job(Some("b"));
    println!("kept: {unbound_kept} {bound_kept}, peak: {unbound_peak} {bound_peak} bytes a job");
    // One set of tasks for the zone: a bit set, in a vector with as much spare capacity.
    let one_set = 2 * (TASKS as usize / 8) + 512;
    assert!(bound_kept <= unbound_kept + one_set, "{bound_kept} bytes");
    assert!(bound_peak <= unbound_peak + one_set, "{bound_peak} bytes");
}
