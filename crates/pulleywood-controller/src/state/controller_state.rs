//! State of one controller that its threads read and change under a mutex.

use super::{CachedState, LedShard, SessionLease};
use pulleywood_protocol::peer::{Digest, ShardDigest};
use pulleywood_protocol::record::JobRecord;
use pulleywood_protocol::time::{remote_duration_lower_bound, secs};
use pulleywood_protocol::{
    FencingToken, JobId, JobSpec, MachineId, MemberId, MonotonicTime, Revision, ShardId,
};
use pulleywood_recovery::counter::ObservedToken;
use pulleywood_scheduler::launch_validity::{CommitTimes, SuspendedJobs, may_launch_on_state_of};
use pulleywood_scheduler::machine_types::MachineTypeDemand;
use pulleywood_scheduler::{Config, shard_selection};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Time after which accepted work shows in the digests of its shard.
const DIGEST_LAG: Duration = Duration::from_millis(1500);

/// Minimum time between two log lines about jobs that were refused for lack of memory.
const MEMORY_REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Back-off during which this controller acquires no shard, as no worker reached it.
#[derive(Debug, Clone, Copy, Default)]
pub struct AcquireBackoff {
    /// End of the back-off; in the past if none is under way.
    pub until: MonotonicTime,
    /// Number of back-offs that followed the first one within the same outage.
    pub repeats: u32,
}

/// The last digest received from a peer.
#[derive(Debug)]
pub struct ReceivedDigest {
    /// The digest as sent by the peer.
    pub digest: Digest,
    /// When this controller received the digest.
    pub received_at: MonotonicTime,
}

impl ReceivedDigest {
    /// Whether the digest was received less than `age` ago.
    pub fn is_fresh(&self, now: MonotonicTime, age: Duration) -> bool {
        now.since(self.received_at) < age
    }
}

/// Cached digests of the led shards.
#[derive(Debug, Default)]
pub(super) struct OwnDigests {
    /// When the digests were made.
    pub(super) made_at: MonotonicTime,
    /// One digest for each loaded shard, ordered by shard.
    pub(super) digests: Vec<Arc<ShardDigest>>,
}

/// Work that a job accepted by this controller adds to a shard.
struct AcceptedWork {
    accepted_at: MonotonicTime,
    shard: ShardId,
    /// Number of machines that the work would fill, as
    /// [`shard_selection::size_in_machines`] measures it.
    size: f64,
}

/// State of one controller. It is kept behind one mutex, which is held for short sections.
pub struct ControllerState {
    /// Configuration of the scheduling decisions.
    pub config: Arc<Config>,
    /// Copy of the watched keys in the store.
    pub cached: CachedState,
    /// Whether the watched keys have been read in full at least once.
    pub cache_loaded: bool,
    /// Session lease of this controller.
    pub lease: SessionLease,
    /// Time before which every committed change is contained in the cached state.
    pub cache_current_as_of: MonotonicTime,
    /// By when the last revisions of the store were committed.
    pub commit_times: CommitTimes,
    /// Jobs that are being cancelled, for shards that this controller acquires. The led shards
    /// have them too.
    pub suspended_jobs: SuspendedJobs,
    /// Shards led by this controller.
    pub led_shards: BTreeMap<ShardId, LedShard>,
    /// Last digest received from each peer.
    pub digests: BTreeMap<MemberId, ReceivedDigest>,
    /// Back-off from acquiring shards, set when a shard was given up because no worker
    /// reached this controller.
    pub acquire_backoff: AcquireBackoff,
    /// Jobs that transactions of this controller changed or ended, with the revision of the
    /// transaction. An entry is removed once the watch has reached the revision. Until then,
    /// older changes of the job are not applied to led shards: they would revive a job that
    /// has ended, or tasks that were transferred to another shard, which would then run in
    /// both.
    pub own_writes: BTreeMap<JobId, Revision>,
    /// Fencing tokens that machines of led shards have seen and that are higher than their
    /// shard's.
    pub higher_fencing_tokens: BTreeMap<MachineId, ObservedToken>,
    /// Sets of machine types that waiting work of all shards could recently use.
    pub(super) machine_type_demand: MachineTypeDemand,
    /// Boot numbers of peers' processes that have been replaced by newer ones.
    pub(super) former_boots: VecDeque<u64>,
    /// Cached digests of the led shards.
    pub(super) own_digests: OwnDigests,
    /// When it was last logged that a job was refused because of the memory that live jobs take.
    memory_refusal_logged_at: MonotonicTime,
    /// Work accepted by this controller that digests may not show yet.
    recently_accepted: Vec<AcceptedWork>,
}

impl ControllerState {
    /// Creates the state of a controller that has neither read the store nor heard of peers.
    pub fn new(config: Config) -> Self {
        Self {
            config: Arc::new(config),
            cached: CachedState::default(),
            cache_loaded: false,
            lease: SessionLease::default(),
            cache_current_as_of: MonotonicTime::default(),
            commit_times: CommitTimes::default(),
            suspended_jobs: SuspendedJobs::default(),
            led_shards: BTreeMap::new(),
            digests: BTreeMap::new(),
            acquire_backoff: AcquireBackoff::default(),
            own_writes: BTreeMap::new(),
            higher_fencing_tokens: BTreeMap::new(),
            machine_type_demand: MachineTypeDemand::default(),
            former_boots: VecDeque::new(),
            own_digests: OwnDigests::default(),
            memory_refusal_logged_at: MonotonicTime::default(),
            recently_accepted: Vec::new(),
        }
    }

    /// Time to live of the session lease.
    pub fn lease_ttl(&self) -> Duration {
        secs(self.config.policy.shard_lease_s)
    }

    /// End of the session lease by the local clock; in the past if there is no lease. It is
    /// counted from before the renewal was sent, less clock drift and a margin, so that the
    /// lease ends here before it ends in the store.
    pub fn lease_end(&self) -> MonotonicTime {
        match self.lease.lease_id {
            Some(_) => self.lease.renewed_at + remote_duration_lower_bound(self.lease_ttl()),
            None => MonotonicTime::default(),
        }
    }

    /// Whether this controller may act as a leader, that is, launch, write and change quotas:
    /// its session lease is valid and it may answer workers.
    pub fn may_act(&self, now: MonotonicTime) -> bool {
        now < self.lease_end() && self.may_answer(now)
    }

    /// Whether tasks may be launched: the cached state must be as fresh as an idle watch
    /// keeps it. An older one, as when the store refuses only this controller, may lack
    /// cancellations that other controllers have confirmed to users. They confirm one that this
    /// controller may not have read only when its cached state has become too old to launch.
    pub fn may_launch(&self, now: MonotonicTime) -> bool {
        self.may_act(now) && may_launch_on_state_of(self.cache_current_as_of, now)
    }

    /// Whether workers may be answered. While this holds, a cancellation that another
    /// controller has confirmed since the last contact with the store is still carried out
    /// in time, because workers' leases expire before the cancellation is due.
    pub fn may_answer(&self, now: MonotonicTime) -> bool {
        let contact = self.lease.renewed_at.min(self.cache_current_as_of);
        self.cache_loaded && now < contact + self.config.response_window()
    }

    /// Shards for which this controller answers workers, with their fencing tokens.
    pub fn serving(&self, now: MonotonicTime) -> Vec<(ShardId, FencingToken)> {
        if !self.may_answer(now) {
            return Vec::new();
        }
        let led = self.led_shards.iter();
        led.map(|(shard, led)| (*shard, led.state.fencing_token))
            .collect()
    }

    /// Starts a back-off from acquiring shards, as no worker reaches this controller. Each
    /// back-off in the same outage is twice as long as the one before, up to a limit.
    pub fn back_off_acquiring(&mut self, now: MonotonicTime) {
        const SAME_OUTAGE: Duration = Duration::from_secs(120);
        let previous = self.acquire_backoff;
        let repeated = now.since(previous.until) < SAME_OUTAGE;
        let repeats = if repeated { previous.repeats + 1 } else { 0 };
        let wait = self.config.lease * (4 << repeats.min(3));
        self.acquire_backoff = AcquireBackoff {
            until: now + wait,
            repeats,
        };
    }

    /// Suspends launches of jobs until a time, in all led shards and those that are acquired
    /// meanwhile.
    pub fn suspend_launches(&mut self, jobs: &[JobId], until: MonotonicTime, now: MonotonicTime) {
        for id in jobs {
            self.suspended_jobs.suspend(id, until, now);
            for led in self.led_shards.values_mut() {
                led.state.suspend_launches(id, until, now);
            }
        }
    }

    /// Notes that a machine of a led shard has seen a fencing token higher than the shard's.
    pub fn note_higher_fencing_token(
        &mut self,
        machine: &MachineId,
        fencing_token: FencingToken,
        now: MonotonicTime,
    ) {
        let observed = ObservedToken {
            fencing_token,
            received_at: now,
        };
        self.higher_fencing_tokens.insert(machine.clone(), observed);
    }

    /// Whether a job has been accepted and has not ended, as far as the cached state shows.
    pub fn is_live(&self, id: &JobId) -> bool {
        self.cached.live_jobs.contains(id)
    }

    /// Whether the live jobs leave memory for another one.
    pub fn admits_job(&mut self, spec: &JobSpec, now: MonotonicTime) -> bool {
        let memory = self.cached.live_jobs.memory();
        let admitted = self.config.admits_job(memory, spec);
        if !admitted && now.since(self.memory_refusal_logged_at) >= MEMORY_REFUSAL_LOG_INTERVAL {
            self.memory_refusal_logged_at = now;
            log::warn!(
                "refused job {}: live jobs take {} bytes of memory, {} of them of team {}; limit {}",
                spec.id,
                memory.total(),
                memory.of_team(&spec.team),
                spec.team,
                self.config.job_memory_limit
            );
        }
        admitted
    }

    /// Whether a digest of the peer was received less than `age` ago.
    pub fn has_recent_digest(&self, peer: &MemberId, now: MonotonicTime, age: Duration) -> bool {
        let digest = self.digests.get(peer);
        digest.is_some_and(|digest| digest.is_fresh(now, age))
    }

    /// Makes the record of a new job and chooses the shards that run its tasks. `at_ms`: time
    /// of submission, in milliseconds of the time of day.
    pub fn new_job_record(&mut self, spec: JobSpec, at_ms: u64, now: MonotonicTime) -> JobRecord {
        let config = Arc::clone(&self.config);
        let accepted = self.recently_accepted_by_shard(now);
        let mut shards = self.fresh_shard_digests(now);
        shards.retain(|shard, _| self.cached.shard_leaders.contains_key(shard));
        let machines = &self.cached.machines;
        let shard = shard_selection::select_shard(&config, &spec, &shards, machines, &accepted);
        let mut record = JobRecord {
            spec,
            accepted_at_ms: at_ms,
            shard,
            transferred: Vec::new(),
            done: String::new(),
        };
        shard_selection::transfer_spread_tasks(&config, &mut record, &shards, machines, &accepted);
        self.note_accepted_job(&config, &record, now);
        record
    }

    /// Size of the recently accepted work of each shard, in machines.
    fn recently_accepted_by_shard(&mut self, now: MonotonicTime) -> BTreeMap<ShardId, f64> {
        self.recently_accepted
            .retain(|work| now.since(work.accepted_at) < DIGEST_LAG);
        let mut by_shard: BTreeMap<ShardId, f64> = BTreeMap::new();
        for work in &self.recently_accepted {
            *by_shard.entry(work.shard).or_default() += work.size;
        }
        by_shard
    }

    fn note_accepted_job(&mut self, config: &Config, record: &JobRecord, now: MonotonicTime) {
        let size = shard_selection::size_in_machines(config, &record.spec);
        let task_size = size / f64::from(record.spec.tasks.max(1));
        let mut remaining = size;
        for transfer in &record.transferred {
            let tasks = record.transferred_tasks(transfer).len();
            let size = task_size * f64::from(tasks);
            remaining -= size;
            self.recently_accepted.push(AcceptedWork {
                accepted_at: now,
                shard: transfer.shard,
                size,
            });
        }
        self.recently_accepted.push(AcceptedWork {
            accepted_at: now,
            shard: record.shard,
            size: remaining,
        });
    }
}
