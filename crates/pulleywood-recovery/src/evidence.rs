//! Inputs of a reconciliation: stored records, workers' heartbeats and the cloud's machine
//! list. They are read at different times, so none is assumed to be newer than another.

use pulleywood_protocol::cloud::{Rental, RentalStatus};
use pulleywood_protocol::job_batch::JobBatchRecord;
use pulleywood_protocol::machine_batch::MachineBatchRecord;
use pulleywood_protocol::record::{
    ChunkRecord, FINAL_STATE_PREFIX, FencingTokenCounter, JobRecord, Key, Layout, LeaseHolder,
    MachineRecord, PreviousLeaseHolder, TaskSet, job_of_final_key,
};
use pulleywood_protocol::store::Item;
use pulleywood_protocol::worker::Heartbeat;
use pulleywood_protocol::{FencingToken, JobId, JobSpec, MachineId, MonotonicTime, ShardId, cbor};
use pulleywood_scheduler::Config;
use roaring::RoaringBitmap;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A decoded record of a live job.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredJob {
    /// The submission.
    pub spec: JobSpec,
    /// The tasks assigned to each shard. Shards without tasks are left out.
    pub shares: BTreeMap<ShardId, RoaringBitmap>,
    /// Tasks recorded as done.
    pub done: RoaringBitmap,
}

impl StoredJob {
    fn new(record: JobRecord, chunk_size: u32) -> StoredJob {
        let mut shares = BTreeMap::new();
        for shard in record.shards() {
            let share = RoaringBitmap::from(record.share(shard));
            if !share.is_empty() {
                shares.insert(shard, share);
            }
        }
        let mut done = TaskSet::new();
        done.add_chunk(&record.done, 0, chunk_size, record.spec.tasks);
        StoredJob {
            done: done.into(),
            shares,
            spec: record.spec,
        }
    }

    /// The shard that a task is assigned to; `None` if it is assigned to none.
    pub fn shard_of(&self, task: u32) -> Option<ShardId> {
        let mut shares = self.shares.iter();
        shares
            .find(|(_, share)| share.contains(task))
            .map(|(shard, _)| *shard)
    }
}

/// What cannot be processed because a record cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BlockedScope {
    /// A single job.
    Job(JobId),
    /// A single machine.
    Machine(MachineId),
    /// Everything in the value: all records of a batch, or the contents of an unknown key.
    WholeValue,
}

/// A stored record that cannot be decoded. It is never overwritten.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableRecord {
    /// Key of the value that contains the record.
    pub key: String,
    /// What cannot be processed because of it.
    pub blocks: BlockedScope,
}

/// The stored leadership records of a shard.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoredShard {
    /// The current leader; `None` if no controller leads the shard.
    pub leader: Option<LeaseHolder>,
    /// The most recent leader, whose record outlives its lease; `None` if the shard never had
    /// one.
    pub previous_leader: Option<PreviousLeaseHolder>,
}

impl StoredShard {
    /// The current leader, or the most recent one if there is none.
    pub fn latest_leader(&self) -> Option<&LeaseHolder> {
        let previous = self.previous_leader.as_ref().map(|record| &record.holder);
        self.leader.as_ref().or(previous)
    }
}

/// All live records, decoded, at one store revision.
#[derive(Debug, Clone, Default)]
pub struct StoredState {
    /// The store revision at which the records were read.
    pub revision: u64,
    /// Number of shards; 0 if the layout is missing or cannot be decoded.
    pub shard_count: u32,
    /// The last fencing token issued, which is the value of the counter.
    pub fencing_token: FencingToken,
    /// Leadership records of the shards that have any.
    pub shards: BTreeMap<ShardId, StoredShard>,
    /// Live jobs whose records can be decoded.
    pub jobs: BTreeMap<JobId, StoredJob>,
    /// Machines whose records can be decoded.
    pub machines: BTreeMap<MachineId, MachineRecord>,
    /// Machines that have records in more than one machine batch.
    pub recorded_twice: BTreeSet<MachineId>,
    /// Jobs whose final states were read.
    pub closed_jobs: BTreeSet<JobId>,
    /// Records that cannot be decoded.
    pub unreadable: Vec<UnreadableRecord>,
}

impl StoredState {
    /// Decodes listed items, in any order. `chunk_size`: number of tasks that one chunk of a
    /// job's done tasks covers.
    pub fn from_items(items: &[Item], revision: u64, chunk_size: u32) -> StoredState {
        let mut state = StoredState {
            revision,
            ..StoredState::default()
        };
        let mut chunks = Vec::new();
        for item in items {
            match Key::parse(&item.path) {
                Some(Key::Job(_, id, index)) if index > 0 => chunks.push((id, index, item)),
                Some(key) => state.add_record(key, item, chunk_size),
                None if item.path.starts_with(FINAL_STATE_PREFIX) => {
                    state.closed_jobs.extend(job_of_final_key(&item.path))
                }
                // A later release may write keys that this one does not know.
                None => state.add_unreadable(item, BlockedScope::WholeValue),
            }
        }
        for (id, index, item) in chunks {
            state.add_done_chunk(&id, index, item, chunk_size);
        }
        state
    }

    fn add_record(&mut self, key: Key, item: &Item, chunk_size: u32) {
        let value = &item.value;
        match key {
            Key::Layout => match cbor::from_value::<Layout>(value) {
                Ok(layout) => self.shard_count = layout.shards,
                Err(_) => self.add_unreadable(item, BlockedScope::WholeValue),
            },
            Key::FencingToken => match cbor::from_value::<FencingTokenCounter>(value) {
                Ok(record) => self.fencing_token = record.last,
                Err(_) => self.add_unreadable(item, BlockedScope::WholeValue),
            },
            Key::ShardLeader(shard) => match cbor::from_value(value) {
                Ok(holder) => self.shards.entry(shard).or_default().leader = Some(holder),
                Err(_) => self.add_unreadable(item, BlockedScope::WholeValue),
            },
            Key::PreviousLeader(shard) => match cbor::from_value(value) {
                Ok(record) => self.shards.entry(shard).or_default().previous_leader = Some(record),
                Err(_) => self.add_unreadable(item, BlockedScope::WholeValue),
            },
            Key::MachineBatch(_) => self.add_machine_batch(item),
            Key::JobBatch(_) => self.add_job_batch(item, chunk_size),
            Key::Job(_, id, _) => match cbor::from_value::<JobRecord>(value) {
                Ok(record) => {
                    let job = StoredJob::new(record, chunk_size);
                    self.jobs.insert(id, job);
                }
                Err(_) => self.add_unreadable(item, BlockedScope::Job(id)),
            },
            Key::CoordinatorLease | Key::Quota(_) | Key::MachineBatchHead | Key::JobBatchHead => {}
        }
    }

    fn add_machine_batch(&mut self, item: &Item) {
        let Ok(batch) = MachineBatchRecord::from_value(&item.value) else {
            self.add_unreadable(item, BlockedScope::WholeValue);
            return;
        };
        for (id, record) in batch.machines {
            if self.machines.insert(id.clone(), record).is_some() {
                self.recorded_twice.insert(id);
            }
        }
        for id in batch.unreadable.into_keys() {
            self.add_unreadable(item, BlockedScope::Machine(id));
        }
    }

    fn add_job_batch(&mut self, item: &Item, chunk_size: u32) {
        let Ok(batch) = JobBatchRecord::from_value(&item.value) else {
            self.add_unreadable(item, BlockedScope::WholeValue);
            return;
        };
        let unreadable: Vec<JobId> = batch.unreadable_ids().collect();
        for id in unreadable {
            self.add_unreadable(item, BlockedScope::Job(id));
        }
        for record in batch.jobs {
            let id = record.spec.id.clone();
            // A job's own record is newer than the one in its batch.
            let job = || StoredJob::new(record, chunk_size);
            self.jobs.entry(id).or_insert_with(job);
        }
    }

    fn add_done_chunk(&mut self, id: &JobId, index: u32, item: &Item, chunk_size: u32) {
        let record = cbor::from_value::<ChunkRecord>(&item.value);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let mut done = TaskSet::new();
        let is_valid =
            record.is_ok_and(|r| done.add_chunk(&r.done, index, chunk_size, job.spec.tasks));
        if is_valid {
            job.done |= RoaringBitmap::from(done)
        } else {
            self.add_unreadable(item, BlockedScope::Job(id.clone()))
        }
    }

    fn add_unreadable(&mut self, item: &Item, blocks: BlockedScope) {
        let key = item.path.clone();
        self.unreadable.push(UnreadableRecord { key, blocks });
    }

    /// Whether the job has a record that cannot be decoded.
    pub fn is_blocked(&self, id: &JobId) -> bool {
        let blocks_job = |record: &UnreadableRecord| matches!(&record.blocks, BlockedScope::Job(job) if job == id);
        self.unreadable.iter().any(blocks_job)
    }
}

/// The cloud's machine list.
///
/// Lists are eventually consistent, and one may be older than the one before it. A machine
/// therefore counts as gone only after it has been missing from every list for longer than
/// twice the nominal lag.
#[derive(Debug, Clone, Default)]
pub struct CloudEvidence {
    /// Machines in the most recent list.
    pub listed: BTreeMap<MachineId, RentalStatus>,
    /// The time since which each known machine has been missing from every list.
    pub missing_since: BTreeMap<MachineId, MonotonicTime>,
    /// How long a machine has to be missing before it counts as gone.
    pub gone_after: Duration,
}

impl CloudEvidence {
    /// Creates the state before the first list is read. `lag`: nominal lag of lists, of which
    /// twice as much is allowed for.
    pub fn new(lag: Duration) -> CloudEvidence {
        CloudEvidence {
            gone_after: lag * 2,
            ..CloudEvidence::default()
        }
    }

    /// Adds a list that was read at `now`. `known`: machines that have records.
    pub fn update<'a>(
        &mut self,
        list: &[Rental],
        known: impl Iterator<Item = &'a MachineId>,
        now: MonotonicTime,
    ) {
        let listed: BTreeMap<MachineId, RentalStatus> =
            list.iter().map(|r| (r.machine.clone(), r.status)).collect();
        let mut known: BTreeSet<MachineId> = known.cloned().collect();
        known.extend(self.listed.keys().cloned());
        let missing: BTreeSet<MachineId> = known
            .into_iter()
            .filter(|id| !listed.contains_key(id))
            .collect();
        self.missing_since.retain(|id, _| missing.contains(id));
        for id in missing {
            self.missing_since.entry(id).or_insert(now);
        }
        self.listed = listed;
    }

    /// Whether the cloud lists the machine as failed, or it has been missing from every list
    /// for long enough to be certain that it is gone.
    pub fn is_gone(&self, id: &MachineId, now: MonotonicTime) -> bool {
        if self.listed.get(id) == Some(&RentalStatus::Failed) {
            return true;
        }
        let missing = self.missing_since.get(id);
        missing.is_some_and(|since| now.since(*since) > self.gone_after)
    }
}

/// A worker's heartbeat, and whether it is known to be current.
#[derive(Debug, Clone)]
pub struct ReceivedHeartbeat {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// Whether it was sent under the current fencing token of its shard, or in response to a
    /// command under that token. Otherwise it may be a delayed copy.
    pub is_current: bool,
}

/// All inputs of a reconciliation.
#[derive(Debug)]
pub struct Evidence<'a> {
    /// Machine types and durations.
    pub config: &'a Config,
    /// Decoded stored records.
    pub stored: &'a StoredState,
    /// The most recent heartbeat of each machine that sent one.
    pub heartbeats: &'a BTreeMap<MachineId, ReceivedHeartbeat>,
    /// Machines whose workers' leases are certain to have expired, so that they run no task
    /// of an earlier leader.
    pub expired_leases: &'a BTreeSet<MachineId>,
    /// The cloud's machine list; `None` if it was not read.
    pub cloud: Option<&'a CloudEvidence>,
    /// The current time.
    pub now: MonotonicTime,
}
