//! A simulated controller of a virtual cluster. It drives the real shard state and the real
//! recovery decisions in the same way as the controller process does. Of users' requests only
//! cancellations are simulated, of peers only what confirms them; the coordinator and the fleet
//! are not simulated.

mod cancellations;
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
use pulleywood_scheduler::launch_validity::{CommitTimes, SuspendedJobs, may_launch_on_state_of};
use pulleywood_scheduler::{Config, ShardState};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time between two rounds of commits and recovery.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Number of machines of a shard that are sent the fencing token in one step.
const MAX_ANNOUNCEMENTS_PER_STEP: usize = 40;

/// A shard that this controller leads.
struct LedShard {
    state: ShardState,
    /// Revision of the shard leader's key, which fences every commit.
    revision: Revision,
    /// Whether the store records that all machines of the shard have reported.
    reconciled: bool,
    /// Machines that have not been sent the fencing token yet.
    to_announce: Vec<MachineId>,
}

/// A controller process and its state in memory.
pub struct Controller {
    index: usize,
    /// When its process starts; `None` if it runs or stays stopped.
    pub start_at: Option<MonotonicTime>,
    /// When its process stops, to restart two seconds later; `None` if it keeps running.
    pub stop_at: Option<MonotonicTime>,
    /// Until when it reaches neither the store nor its peers, but its workers and users.
    pub isolated_until: MonotonicTime,
    /// By when the last revisions of the store were committed, as far as it knows.
    commit_times: CommitTimes,
    suspended_jobs: SuspendedJobs,
    running: bool,
    /// Number of process starts, which tells the processes apart in lease records.
    boot: u64,
    last_store_contact: MonotonicTime,
    /// Store revision up to which the cached state is complete.
    cached_revision: u64,
    led_shards: BTreeMap<ShardId, LedShard>,
    /// Since when each shard without a leader has been vacant.
    vacant_since: BTreeMap<ShardId, MonotonicTime>,
    cached_jobs: BTreeSet<JobId>,
    cached_machines: BTreeSet<MachineId>,
    last_round: MonotonicTime,
    progress: RecoveryProgress,
    audit: Audit,
    last_audit: MonotonicTime,
    /// Settings of the recovery subsystem; `None` if it is disabled.
    pub recovery: Option<RecoveryPolicy>,
    /// Number of records that the audit found missing since this was last reset.
    pub audit_findings: usize,
}

impl Controller {
    /// Creates a controller whose process does not run.
    pub fn new(index: usize) -> Controller {
        Controller {
            index,
            start_at: None,
            stop_at: None,
            isolated_until: MonotonicTime(0),
            commit_times: CommitTimes::default(),
            suspended_jobs: SuspendedJobs::default(),
            running: false,
            boot: 0,
            last_store_contact: MonotonicTime(0),
            cached_revision: 0,
            led_shards: BTreeMap::new(),
            vacant_since: BTreeMap::new(),
            cached_jobs: BTreeSet::new(),
            cached_machines: BTreeSet::new(),
            last_round: MonotonicTime(0),
            progress: RecoveryProgress::default(),
            audit: Audit::default(),
            last_audit: MonotonicTime(0),
            recovery: None,
            audit_findings: 0,
        }
    }

    /// Stops its process, which loses all state in memory. The boot count, the settings of the
    /// recovery and the time of the next stop are kept.
    pub fn stop(&mut self) {
        let stopped = Controller::new(self.index);
        let (boot, stop_at, recovery) = (self.boot, self.stop_at, self.recovery.take());
        let isolated_until = self.isolated_until;
        *self = stopped;
        self.isolated_until = isolated_until;
        self.recovery = recovery;
        self.boot = boot;
        self.stop_at = stop_at;
    }

    /// Its name in the store.
    pub fn name(&self) -> MemberId {
        MemberId::from(format!("c-{}", self.index).as_str())
    }

    /// Number of led shards whose recovery is complete.
    pub fn complete_shards(&self) -> usize {
        let led_shards = self.led_shards.iter();
        led_shards
            .filter(|(shard, led)| self.progress.is_complete(**shard, led.state.fencing_token))
            .count()
    }

    /// Whether it certainly still holds its lease, and may therefore launch tasks, announce
    /// fencing tokens and commit.
    fn may_act(&self, now: MonotonicTime, config: &Config) -> bool {
        let lease = remote_duration_lower_bound(secs(config.policy.shard_lease_s));
        self.running && now < self.last_store_contact + lease
    }

    /// Whether it leads the shard and may answer the shard's workers.
    pub fn serves(&self, shard: ShardId, now: MonotonicTime, config: &Config) -> bool {
        let may_answer = self.running && now < self.last_store_contact + config.response_window();
        may_answer && self.led_shards.contains_key(&shard)
    }

    /// Whether its process runs and is not isolated.
    pub fn is_connected(&self, now: MonotonicTime) -> bool {
        self.running && now >= self.isolated_until
    }

    /// Runs one step: renews the lease, applies watch events, acquires shards, commits done
    /// batches and runs the recovery.
    pub fn step(&mut self, store: &mut Store, config: &Config, now: MonotonicTime) {
        if self.stop_at.is_some_and(|at| now >= at) {
            self.stop();
            self.stop_at = None;
            self.start_at = Some(now + Duration::from_secs(2));
        }
        let reaches_store = store.is_available(now) && now >= self.isolated_until;
        if self.start_at.is_some_and(|at| now >= at) && reaches_store {
            self.start(store, now);
        }
        if !self.running {
            return;
        }
        if reaches_store {
            let lease = secs(config.policy.shard_lease_s);
            // Drops shards whose leader keys have changed or expired during an outage.
            self.led_shards.retain(|shard, led| {
                let item = store.peek(&shard_leader_key(*shard));
                item.is_some_and(|i| i.revision == led.revision)
            });
            store.renew_leases(self.index, now + lease);
            self.last_store_contact = now;
            self.apply_watch_events(store, config, now);
            self.commit_times.observe(Revision(store.revision), now);
            self.acquire_shards(store, config, now);
        }
        for led in self.led_shards.values_mut() {
            led.state.tick(now, config);
        }
        if now.since(self.last_round) >= ROUND_INTERVAL
            && self.may_act(now, config)
            && reaches_store
        {
            self.last_round = now;
            self.commit_done_batches(store, config, now);
            self.record_reconciled(store);
            if let Some(policy) = self.recovery.clone() {
                self.run_recovery(&policy, store, config, now);
            }
        }
    }

    fn start(&mut self, store: &mut Store, now: MonotonicTime) {
        self.start_at = None;
        self.running = true;
        self.boot += 1;
        self.last_store_contact = now;
        self.cached_revision = 0;
        // The previous process no longer runs, so its leases can end at once.
        store.end_leases(self.index);
    }

    /// Applies the changes in the store since the last step to the cached state.
    fn apply_watch_events(&mut self, store: &mut Store, config: &Config, now: MonotonicTime) {
        let first_new = store
            .log
            .partition_point(|(at, _)| *at <= self.cached_revision);
        if first_new == store.log.len() {
            return;
        }
        store.request_count += 1;
        let changed_keys: BTreeSet<String> = store.log[first_new..]
            .iter()
            .map(|(_, k)| k.clone())
            .collect();
        self.cached_revision = store.revision;
        for key in changed_keys {
            match (Key::parse(&key), store.peek(&key)) {
                (Some(Key::Job(_, id, 0)), Some(item)) => {
                    self.cached_jobs.insert(id);
                    let Ok(record) = cbor::from_value::<JobRecord>(&item.value) else {
                        continue;
                    };
                    for led in self.led_shards.values_mut() {
                        led.state
                            .put_job(&record, item.revision, false, now, config);
                    }
                }
                (Some(Key::Job(_, id, 0)), None) => {
                    self.cached_jobs.remove(&id);
                    for led in self.led_shards.values_mut() {
                        led.state.remove_job(&id);
                    }
                }
                (Some(Key::MachineBatch(_)), Some(item)) => {
                    let batch = MachineBatchRecord::from_value(&item.value).unwrap_or_default();
                    self.cached_machines.extend(batch.machines.into_keys());
                }
                _ => {}
            }
        }
    }

    /// Sends the fencing token of each led shard to machines that have not reported, at most
    /// [`MAX_ANNOUNCEMENTS_PER_STEP`] of a shard in one step.
    pub fn announce_fencing_tokens(
        &mut self,
        workers: &mut [Worker],
        config: &Config,
        now: MonotonicTime,
    ) {
        if !self.may_act(now, config) {
            return;
        }
        for led in self.led_shards.values_mut() {
            for _ in 0..MAX_ANNOUNCEMENTS_PER_STEP {
                let Some(id) = led.to_announce.pop() else {
                    break;
                };
                let Some(machine) = led.state.machines.get(&id).filter(|m| !m.confirmed) else {
                    continue;
                };
                let fencing_token = machine.fencing_token(led.state.fencing_token);
                // The number in a machine's identifier is the index of its worker.
                let index: usize = id.0[3..].parse().unwrap_or(usize::MAX);
                if let Some(reply) = workers
                    .get_mut(index)
                    .and_then(|w| w.execute_direct_command(fencing_token, now))
                {
                    led.state.handle_heartbeat(&reply, true, now, config);
                }
            }
        }
    }

    /// Answers a heartbeat; `None` if the shard is not led here, the machine is unknown, or the
    /// heartbeat is stale or superseded.
    pub fn answer(
        &mut self,
        shard: ShardId,
        heartbeat: &Heartbeat,
        now: MonotonicTime,
        config: &Config,
    ) -> Option<Answer> {
        let may_launch =
            self.may_act(now, config) && may_launch_on_state_of(self.last_store_contact, now);
        let led = self.led_shards.get_mut(&shard)?;
        let outcome = led.state.handle_heartbeat(heartbeat, false, now, config);
        if outcome != pulleywood_scheduler::shard::HeartbeatOutcome::Accepted {
            return None;
        }
        let commands = led
            .state
            .response_commands(&heartbeat.machine, may_launch, now, config);
        let machine = led.state.machines.get(&heartbeat.machine)?;
        let fencing_token = machine.fencing_token(led.state.fencing_token);
        let jobs = led.state.jobs.iter();
        let images = jobs.map(|(id, job)| {
            let service = job.spec.shape == Shape::Service;
            let image = job.spec.image.clone();
            (id.clone(), (image, job.spec.image_gb.0, service))
        });
        let launches_task = commands
            .iter()
            .any(|command| matches!(command, pulleywood_protocol::worker::Command::Launch { .. }));
        Some(Answer {
            job_images: if launches_task {
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

    /// Commits done batches until none is due or a commit fails.
    fn commit_done_batches(&mut self, store: &mut Store, config: &Config, now: MonotonicTime) {
        let job_batches = JobBatches::default();
        for led in self.led_shards.values_mut() {
            while let Some(batch) = led
                .state
                .next_batch(led.revision, &job_batches, now, config)
            {
                let Some(revision) = store.commit(&batch.transaction) else {
                    break;
                };
                led.state.mark_batch_committed(&batch, revision);
            }
        }
    }
}
