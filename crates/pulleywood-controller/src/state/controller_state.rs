//! What one controller knows.

use super::{CachedState, LedShard, SessionLease};
use pulleywood_protocol::peer::{Digest, ShardDigest};
use pulleywood_protocol::record::JobRecord;
use pulleywood_protocol::time::{secs, surely_within};
use pulleywood_protocol::{
    FencingToken, JobId, JobSpec, MachineId, MemberId, MonotonicTime, Revision, ShardId,
};
use pulleywood_recovery::counter::Shown;
use pulleywood_scheduler::machine_types::MachineTypeDemand;
use pulleywood_scheduler::{Config, shard_selection};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Nothing is launched on a cached state older than this.
const MAX_LAUNCH_CACHE_AGE: Duration = Duration::from_secs(3);

/// Digests show work that was accepted longer ago than this.
const ACCEPTED_LATELY: Duration = Duration::from_millis(1500);

/// While no worker reaches this controller, it acquires no shard.
#[derive(Debug, Clone, Copy, Default)]
pub struct AcquireBackoff {
    /// End of the back-off.
    pub until: MonotonicTime,
    /// How often it was repeated in a row.
    pub repeats: u32,
}

/// A peer's digest, as received.
#[derive(Debug)]
pub struct ReceivedDigest {
    /// The digest.
    pub digest: Digest,
    /// When it was received.
    pub received_at: MonotonicTime,
}

impl ReceivedDigest {
    /// It was received less than this long ago.
    pub fn is_fresh(&self, now: MonotonicTime, age: Duration) -> bool {
        now.since(self.received_at) < age
    }
}

/// Digests of the led shards, kept for a short while.
#[derive(Debug, Default)]
pub(super) struct OwnDigests {
    /// When they were made.
    pub(super) made_at: MonotonicTime,
    /// One a shard.
    pub(super) digests: Vec<Arc<ShardDigest>>,
}

/// Work of a job that was accepted here lately.
struct AcceptedWork {
    at: MonotonicTime,
    shard: ShardId,
    /// As [`shard_selection::size_in_machines`] measures it.
    size: f64,
}

/// What one controller knows, behind one short lock.
pub struct ControllerState {
    /// Configuration of the decisions.
    pub config: Arc<Config>,
    /// Copy of the watched keys.
    pub cached: CachedState,
    /// The cached state has been read in full at least once.
    pub is_cached: bool,
    /// The session lease.
    pub lease: SessionLease,
    /// The cached state contains every change committed before this time.
    pub caught_up: MonotonicTime,
    /// Shards led by this controller.
    pub led_shards: BTreeMap<ShardId, LedShard>,
    /// Newest digest of each peer.
    pub digests: BTreeMap<MemberId, ReceivedDigest>,
    /// Set when leadership was given up because no worker reached this controller.
    pub acquire_backoff: AcquireBackoff,
    /// Jobs that transactions of this controller changed or ended, with the revision,
    /// until the watch brings it. Older changes of such a job are not applied to led
    /// shards: they would revive a job that has ended, or tasks that were transferred
    /// to another shard and would then run in both.
    pub own_writes: BTreeMap<JobId, Revision>,
    /// Fencing tokens above their shard's that machines of led shards showed.
    pub shown_fencing_tokens: BTreeMap<MachineId, Shown>,
    /// Machine types that waiting work of all shards could use lately.
    pub(super) choices: MachineTypeDemand,
    /// Boot numbers of peers' processes that newer ones have replaced.
    pub(super) former_boots: VecDeque<u64>,
    /// Digests of the led shards.
    pub(super) own_digests: OwnDigests,
    /// Work accepted here lately, which digests do not show yet.
    accepted_lately: Vec<AcceptedWork>,
}

impl ControllerState {
    /// A state that knows nothing yet.
    pub fn new(config: Config) -> Self {
        Self {
            config: Arc::new(config),
            cached: CachedState::default(),
            is_cached: false,
            lease: SessionLease::default(),
            caught_up: MonotonicTime::default(),
            led_shards: BTreeMap::new(),
            digests: BTreeMap::new(),
            acquire_backoff: AcquireBackoff::default(),
            own_writes: BTreeMap::new(),
            shown_fencing_tokens: BTreeMap::new(),
            choices: MachineTypeDemand::default(),
            former_boots: VecDeque::new(),
            own_digests: OwnDigests::default(),
            accepted_lately: Vec::new(),
        }
    }

    /// Length of the session lease.
    pub fn lease_ttl(&self) -> Duration {
        secs(self.config.policy.shard_lease_s)
    }

    /// The local end of the lease: counted from before the renewal was sent,
    /// less drift and margin, so that it lies before the store's.
    pub fn lease_end(&self) -> MonotonicTime {
        match self.lease.lease_id {
            Some(_) => self.lease.renewed + surely_within(self.lease_ttl()),
            None => MonotonicTime::default(),
        }
    }

    /// Launches, writes and quotas are allowed.
    pub fn may_act(&self, now: MonotonicTime) -> bool {
        now < self.lease_end() && self.may_answer(now)
    }

    /// Work may be launched: the cached state is as fresh as an idle watch keeps it. An
    /// older one, as when the store refuses this controller alone, may lack
    /// cancellations that were confirmed to users.
    pub fn may_launch(&self, now: MonotonicTime) -> bool {
        self.may_act(now) && now.since(self.caught_up) < MAX_LAUNCH_CACHE_AGE
    }

    /// Workers may be answered: a cancellation confirmed elsewhere since the last
    /// contact is still obeyed in time, as workers' leases expire before then.
    pub fn may_answer(&self, now: MonotonicTime) -> bool {
        let contact = self.lease.renewed.min(self.caught_up);
        self.is_cached && now < contact + self.config.response_window()
    }

    /// Shards that workers are answered for, with their fencing tokens.
    pub fn serving(&self, now: MonotonicTime) -> Vec<(ShardId, FencingToken)> {
        if !self.may_answer(now) {
            return Vec::new();
        }
        let led = self.led_shards.iter();
        led.map(|(shard, led)| (*shard, led.state.fencing_token))
            .collect()
    }

    /// No worker reaches this controller: it acquires no shard for a while, longer
    /// each time in a row.
    pub fn back_off_acquiring(&mut self, now: MonotonicTime) {
        const SAME_OUTAGE: Duration = Duration::from_secs(120);
        let last = self.acquire_backoff;
        let repeated = now.since(last.until) < SAME_OUTAGE;
        let repeats = if repeated { last.repeats + 1 } else { 0 };
        let wait = self.config.lease * (4 << repeats.min(3));
        self.acquire_backoff = AcquireBackoff {
            until: now + wait,
            repeats,
        };
    }

    /// Holds launches of jobs back until a time.
    pub fn hold_launches(&mut self, jobs: &[JobId], until: MonotonicTime) {
        for led in self.led_shards.values_mut() {
            for id in jobs {
                led.state.hold_for_cancellation(id, until);
            }
        }
    }

    /// A machine of a led shard showed a fencing token above the shard's.
    pub fn note_fencing_token(
        &mut self,
        machine: &MachineId,
        fencing_token: FencingToken,
        now: MonotonicTime,
    ) {
        let shown = Shown {
            fencing_token,
            at: now,
        };
        self.shown_fencing_tokens.insert(machine.clone(), shown);
    }

    /// A job is live.
    pub fn is_live(&self, id: &JobId) -> bool {
        self.cached.jobs.contains_key(id)
    }

    /// The peer's digest was received less than this long ago.
    pub fn is_heard(&self, peer: &MemberId, now: MonotonicTime, age: Duration) -> bool {
        let digest = self.digests.get(peer);
        digest.is_some_and(|digest| digest.is_fresh(now, age))
    }

    /// The record of a new job, with the shards that are to run its tasks.
    pub fn new_job(&mut self, spec: JobSpec, at_ms: u64, now: MonotonicTime) -> JobRecord {
        let config = Arc::clone(&self.config);
        let accepted = self.accepted_by_shard(now);
        let mut shards = self.all_shards(now);
        shards.retain(|shard, _| self.cached.shards.contains_key(shard));
        let machines = &self.cached.machines;
        let shard = shard_selection::select_shard(&config, &spec, &shards, machines, &accepted);
        let mut record = JobRecord {
            spec,
            at_ms,
            shard,
            transferred: Vec::new(),
            done: String::new(),
        };
        shard_selection::transfer_spread_tasks(&config, &mut record, &shards, machines, &accepted);
        self.note_accepted(&config, &record, now);
        record
    }

    /// Size of the work accepted here lately, by shard.
    fn accepted_by_shard(&mut self, now: MonotonicTime) -> BTreeMap<ShardId, f64> {
        self.accepted_lately
            .retain(|work| now.since(work.at) < ACCEPTED_LATELY);
        let mut by_shard: BTreeMap<ShardId, f64> = BTreeMap::new();
        for work in &self.accepted_lately {
            *by_shard.entry(work.shard).or_default() += work.size;
        }
        by_shard
    }

    fn note_accepted(&mut self, config: &Config, record: &JobRecord, now: MonotonicTime) {
        let size = shard_selection::size_in_machines(config, &record.spec);
        let one_task = size / f64::from(record.spec.tasks.max(1));
        let mut rest = size;
        for transfer in &record.transferred {
            let tasks = record.transferred_tasks(transfer).len();
            let size = one_task * f64::from(tasks);
            rest -= size;
            self.accepted_lately.push(AcceptedWork {
                at: now,
                shard: transfer.shard,
                size,
            });
        }
        self.accepted_lately.push(AcceptedWork {
            at: now,
            shard: record.shard,
            size: rest,
        });
    }
}
