//! Keys of the stored records. The strings are those of the first release and never change.

use crate::ids::{JobId, ShardId};

/// Prefix of all watched keys, which are those of live records and of final states.
pub const WATCH_PREFIX: &str = "c";
/// Prefix of all records except final states.
pub const LIVE_PREFIX: &str = "c/";
/// Prefix of the final states of jobs.
pub const FINAL_STATE_PREFIX: &str = "closed/";
/// Key of the layout, which is written once and never changed.
pub const LAYOUT: &str = "c/layout";
/// Key of the shared fencing-token counter.
pub const FENCING_TOKEN: &str = "c/term";
/// Prefix of the records of live jobs.
pub const JOBS: &str = "c/job/";
/// Prefix of the job batches.
pub const JOB_BATCHES: &str = "c/pack/";
/// Key of the head of the job batches, which is written with each new batch.
pub const JOB_BATCH_HEAD: &str = "c/head";
/// Key of the head of the machine batches, which is written with each registration.
pub const MACHINE_BATCH_HEAD: &str = "c/racks";
/// Prefix of the machine batches.
pub const MACHINE_BATCHES: &str = "c/rack/";
/// Key of the coordinator lease.
pub const COORDINATOR_LEASE: &str = "c/role";

/// Prefix of the leaders of shards.
const SHARD_LEADERS: &str = "c/part/";
/// Prefix of the most recent leaders of shards.
const PREVIOUS_LEADERS: &str = "c/last/";
/// Prefix of the quotas of shards.
const QUOTAS: &str = "c/grant/";

/// Key of a shard's leader. It is attached to the leader's session lease, so the store deletes
/// it when the lease expires.
pub fn shard_leader_key(shard: ShardId) -> String {
    format!("{SHARD_LEADERS}{shard}")
}

/// Key of a shard's most recent leader. Unlike the key of the leader it outlives the lease.
pub fn previous_leader_key(shard: ShardId) -> String {
    format!("{PREVIOUS_LEADERS}{shard}")
}

/// Key of a shard's quotas.
pub fn quota_key(shard: ShardId) -> String {
    format!("{QUOTAS}{shard}")
}

/// Key of a machine batch.
pub fn machine_batch_key(number: u64) -> String {
    format!("{MACHINE_BATCHES}{number}")
}

/// Key of a live job. `shard` is the one that the job's id hashes to ([`JobId::shard`]), which
/// need not be the one that runs the job.
pub fn job_key(shard: ShardId, job: &JobId) -> String {
    format!("{JOBS}{shard}/{job}")
}

/// Key of a further chunk of a live job's done tasks. Chunk 0 is in the job's record, so `chunk`
/// starts at 1.
pub fn chunk_key(shard: ShardId, job: &JobId, chunk: u32) -> String {
    format!("{JOBS}{shard}/{job}/{chunk}")
}

/// Key of a job batch.
pub fn job_batch_key(number: u64) -> String {
    format!("{JOB_BATCHES}{number}")
}

/// Key of a job's final state.
pub fn final_key(job: &JobId) -> String {
    format!("{FINAL_STATE_PREFIX}{job}")
}

/// Start key for a list of final states in which the given job's is among the first: at most
/// nine keys, whose ids differ in the last digit, come before it.
pub fn list_start_before_final_key(job: &JobId) -> String {
    let mut key = final_key(job);
    key.pop();
    key
}

/// The job whose final state is stored under this key; `None` if it is no such key.
pub fn job_of_final_key(path: &str) -> Option<JobId> {
    JobId::parse(path.strip_prefix(FINAL_STATE_PREFIX)?)
}

/// A parsed key below [`LIVE_PREFIX`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Key {
    /// The layout.
    Layout,
    /// The fencing-token counter.
    FencingToken,
    /// The coordinator lease.
    CoordinatorLease,
    /// A shard's leader.
    ShardLeader(ShardId),
    /// A shard's most recent leader.
    PreviousLeader(ShardId),
    /// A shard's quotas.
    Quota(ShardId),
    /// The head of the machine batches, written with each registration.
    MachineBatchHead,
    /// A machine batch.
    MachineBatch(u64),
    /// The head of the job batches, written with each new batch.
    JobBatchHead,
    /// A job batch.
    JobBatch(u64),
    /// The record of a live job (chunk 0), or a further chunk of its done tasks (from 1). The
    /// shard is the one that the job's id hashes to.
    Job(ShardId, JobId, u32),
}

impl Key {
    /// Parses a key; `None` if it is unknown. A later release may write such keys.
    pub fn parse(path: &str) -> Option<Key> {
        let rest = path.strip_prefix(LIVE_PREFIX)?;
        let (kind, tail) = rest.split_once('/').unwrap_or((rest, ""));
        let shard = || tail.parse().ok().map(ShardId);
        Some(match kind {
            "layout" => Key::Layout,
            "term" => Key::FencingToken,
            "role" => Key::CoordinatorLease,
            "head" => Key::JobBatchHead,
            "pack" => Key::JobBatch(tail.parse().ok()?),
            "part" => Key::ShardLeader(shard()?),
            "last" => Key::PreviousLeader(shard()?),
            "grant" => Key::Quota(shard()?),
            "racks" => Key::MachineBatchHead,
            "rack" => Key::MachineBatch(tail.parse().ok()?),
            "job" => {
                let mut segments = tail.splitn(3, '/');
                let shard = ShardId(segments.next()?.parse().ok()?);
                let job = JobId::parse(segments.next()?)?;
                let chunk = segments.next().map_or(Some(0), |c| c.parse().ok())?;
                Key::Job(shard, job, chunk)
            }
            _ => return None,
        })
    }
}
