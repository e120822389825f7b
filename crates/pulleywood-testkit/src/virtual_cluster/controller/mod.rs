//! A controller in virtual time: the real shard state and recovery decisions, driven as the
//! controller process drives them. Users, peers, the coordinator and the fleet are left out.

mod leadership;
mod recovery;

use super::store::Store;
use super::worker::{Answer, Worker};
use pulleywood_protocol::job_batch::JobBatches;
use pulleywood_protocol::machine_batch::MachineBatchRecord;
use pulleywood_protocol::record::{JobRecord, Key, shard_leader_key};
use pulleywood_protocol::time::{remote_duration_lower_bound, secs};
use pulleywood_protocol::worker::{Heartbeat, HeartbeatResponse};
use pulleywood_protocol::{
    JobId, MachineId, MemberId, MonotonicTime, Revision, Shape, ShardId, cbor,
};
use pulleywood_recovery::RecoveryPolicy;
use pulleywood_recovery::audit::Audit;
use pulleywood_recovery::progress::RecoveryProgress;
use pulleywood_scheduler::{Config, ShardState};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// No task is launched while the cached state is older.
const MAX_LAUNCH_CACHE_AGE: Duration = Duration::from_secs(3);
/// Time between two rounds of done batches and recovery.
const ROUND: Duration = Duration::from_millis(500);
/// Machines that get a new fencing token in one step.
const MAX_ANNOUNCED: usize = 40;

/// A shard that this controller leads.
struct LedShard {
    state: ShardState,
    /// Revision of the shard leader's key.
    revision: Revision,
    /// Recorded as accounted for.
    reconciled: bool,
    to_announce: Vec<MachineId>,
}

/// One controller.
pub struct Controller {
    n: usize,
    /// When its process starts; `None` if it runs or stays down.
    pub up_at: Option<MonotonicTime>,
    /// When its process ends, to start again two seconds later.
    pub ends_at: Option<MonotonicTime>,
    up: bool,
    boot: u64,
    contact: MonotonicTime,
    revision: u64,
    held: BTreeMap<ShardId, LedShard>,
    free_since: BTreeMap<ShardId, MonotonicTime>,
    jobs: BTreeSet<JobId>,
    machines: BTreeSet<MachineId>,
    rounds: MonotonicTime,
    progress: RecoveryProgress,
    audit: Audit,
    audited: MonotonicTime,
    /// The recovery subsystem, if it is on.
    pub recovery: Option<RecoveryPolicy>,
    /// Findings of the audit since this was last reset.
    pub findings: usize,
}

impl Controller {
    /// A controller that is down.
    pub fn new(n: usize) -> Controller {
        Controller {
            n,
            up_at: None,
            ends_at: None,
            up: false,
            boot: 0,
            contact: MonotonicTime(0),
            revision: 0,
            held: BTreeMap::new(),
            free_since: BTreeMap::new(),
            jobs: BTreeSet::new(),
            machines: BTreeSet::new(),
            rounds: MonotonicTime(0),
            progress: RecoveryProgress::default(),
            audit: Audit::default(),
            audited: MonotonicTime(0),
            recovery: None,
            findings: 0,
        }
    }

    /// Ends its process: all state in memory is lost.
    pub fn end(&mut self) {
        let next = Controller::new(self.n);
        let (boot, ends_at, recovery) = (self.boot, self.ends_at, self.recovery.take());
        *self = next;
        self.recovery = recovery;
        self.boot = boot;
        self.ends_at = ends_at;
    }

    fn name(&self) -> MemberId {
        MemberId::from(format!("c-{}", self.n).as_str())
    }

    /// Number of shards whose recovery is complete.
    pub fn complete_shards(&self) -> usize {
        let held = self.held.iter();
        held.filter(|(shard, h)| self.progress.is_complete(**shard, h.state.fencing_token))
            .count()
    }

    fn may_act(&self, now: MonotonicTime, config: &Config) -> bool {
        let lease = remote_duration_lower_bound(secs(config.policy.shard_lease_s));
        self.up && now < self.contact + lease
    }

    /// Whether it answers workers of a shard.
    pub fn serves(&self, shard: ShardId, now: MonotonicTime, config: &Config) -> bool {
        let answers = self.up && now < self.contact + config.response_window();
        answers && self.held.contains_key(&shard)
    }

    /// Runs one step: lease, watch, leadership, done batches, recovery.
    pub fn step(&mut self, store: &mut Store, config: &Config, now: MonotonicTime) {
        if self.ends_at.is_some_and(|at| now >= at) {
            self.end();
            self.ends_at = None;
            self.up_at = Some(now + Duration::from_secs(2));
        }
        if self.up_at.is_some_and(|at| now >= at) && store.answers(now) {
            self.start(store, now);
        }
        if !self.up {
            return;
        }
        if store.answers(now) {
            let lease = secs(config.policy.shard_lease_s);
            // Shards whose leases expired during the outage are lost.
            self.held.retain(|shard, held| {
                let item = store.peek(&shard_leader_key(*shard));
                item.is_some_and(|i| i.revision == held.revision)
            });
            store.renew(self.n, now + lease);
            self.contact = now;
            self.watch(store, config, now);
            self.acquire_shards(store, config, now);
        }
        for held in self.held.values_mut() {
            held.state.tick(now, config);
        }
        if now.since(self.rounds) >= ROUND && self.may_act(now, config) && store.answers(now) {
            self.rounds = now;
            self.flush(store, config, now);
            self.record_reconciled(store);
            if let Some(policy) = self.recovery.clone() {
                self.recover(&policy, store, config, now);
            }
        }
    }

    fn start(&mut self, store: &mut Store, now: MonotonicTime) {
        self.up_at = None;
        self.up = true;
        self.boot += 1;
        self.contact = now;
        self.revision = 0;
        // The previous process is dead: its leases end at once.
        store.end_leases(self.n);
    }

    /// Applies the changes since the last step to the cached state.
    fn watch(&mut self, store: &mut Store, config: &Config, now: MonotonicTime) {
        let from = store.log.partition_point(|(at, _)| *at <= self.revision);
        if from == store.log.len() {
            return;
        }
        store.requests += 1;
        let changed: BTreeSet<String> = store.log[from..].iter().map(|(_, k)| k.clone()).collect();
        self.revision = store.revision;
        for key in changed {
            match (Key::parse(&key), store.peek(&key)) {
                (Some(Key::Job(_, id, 0)), Some(item)) => {
                    self.jobs.insert(id);
                    let Ok(record) = cbor::from_value::<JobRecord>(&item.value) else {
                        continue;
                    };
                    for held in self.held.values_mut() {
                        held.state
                            .put_job(&record, item.revision, false, now, config);
                    }
                }
                (Some(Key::Job(_, id, 0)), None) => {
                    self.jobs.remove(&id);
                    for held in self.held.values_mut() {
                        held.state.remove_job(&id);
                    }
                }
                (Some(Key::MachineBatch(_)), Some(item)) => {
                    let batch = MachineBatchRecord::from_value(&item.value).unwrap_or_default();
                    self.machines.extend(batch.machines.into_keys());
                }
                _ => {}
            }
        }
    }

    /// Sends the fencing token to unreported machines, a bounded number in each step.
    pub fn announce(&mut self, workers: &mut [Worker], config: &Config, now: MonotonicTime) {
        if !self.may_act(now, config) {
            return;
        }
        for held in self.held.values_mut() {
            for _ in 0..MAX_ANNOUNCED {
                let Some(id) = held.to_announce.pop() else {
                    break;
                };
                let Some(machine) = held.state.machines.get(&id).filter(|m| !m.confirmed) else {
                    continue;
                };
                let fencing_token = machine.fencing_token(held.state.fencing_token);
                // The number in its name is its index.
                let index: usize = id.0[3..].parse().unwrap_or(usize::MAX);
                if let Some(reply) = workers
                    .get_mut(index)
                    .and_then(|w| w.direct(fencing_token, now))
                {
                    held.state.handle_heartbeat(&reply, true, now, config);
                }
            }
        }
    }

    /// Answers a heartbeat; `None` unless it is a fresh one of a known machine.
    pub fn answer(
        &mut self,
        shard: ShardId,
        heartbeat: &Heartbeat,
        now: MonotonicTime,
        config: &Config,
    ) -> Option<Answer> {
        let launch = self.may_act(now, config) && now.since(self.contact) < MAX_LAUNCH_CACHE_AGE;
        let held = self.held.get_mut(&shard)?;
        let outcome = held.state.handle_heartbeat(heartbeat, false, now, config);
        if outcome != pulleywood_scheduler::shard::HeartbeatOutcome::Accepted {
            return None;
        }
        let commands = held
            .state
            .response_commands(&heartbeat.machine, launch, now, config);
        let machine = held.state.machines.get(&heartbeat.machine)?;
        let fencing_token = machine.fencing_token(held.state.fencing_token);
        let jobs = held.state.jobs.iter();
        let images = jobs.map(|(id, job)| {
            let service = job.spec.shape == Shape::Service;
            let image = job.spec.image.clone();
            (id.clone(), (image, job.spec.image_gb.0, service))
        });
        let launched = commands
            .iter()
            .any(|command| matches!(command, pulleywood_protocol::worker::Command::Launch { .. }));
        Some(Answer {
            images: if launched {
                images.collect()
            } else {
                BTreeMap::new()
            },
            body: HeartbeatResponse {
                fencing_token,
                commands,
            },
        })
    }

    /// Commits done batches.
    fn flush(&mut self, store: &mut Store, config: &Config, now: MonotonicTime) {
        let job_batches = JobBatches::default();
        for held in self.held.values_mut() {
            while let Some(batch) = held
                .state
                .next_batch(held.revision, &job_batches, now, config)
            {
                let Some(revision) = store.commit(&batch.transaction) else {
                    break;
                };
                held.state.mark_batch_committed(&batch, revision);
            }
        }
    }
}
