//! Simulates a small random cluster with the real scheduling decisions: placement, fleet,
//! quotas, shard selection, transfers and done batches. No invariant is checked. The purpose
//! is to reach as many branches as possible, deterministically.

mod cloud_and_fleet;
mod digests;
mod jobs;
mod random_config;
mod workers;

use crate::hasher::DecisionHasher;
use fastrand::Rng;
use pulleywood_protocol::cbor::{self, Amount};
use pulleywood_protocol::cloud::{Rental, RentalStatus};
use pulleywood_protocol::job_batch::{JobBatchRecord, JobBatches};
use pulleywood_protocol::peer::ShardDigest;
use pulleywood_protocol::record::{ChunkRecord, JobRecord, Key, MachineRecord, QuotaRecord, Slots};
use pulleywood_protocol::store::Write;
use pulleywood_protocol::worker::{Cause, Command, Heartbeat, TaskState, TaskStatus};
use pulleywood_protocol::{
    Attempt, FencingToken, JobId, JobSpec, MachineId, MonotonicTime, Rank, Revision, Shape,
    ShardId, TaskId,
};
use pulleywood_scheduler::fleet::{self, Action, FleetHistory, FleetSnapshot, MachineKind};
use pulleywood_scheduler::machine_types::{self, MachineTypeDemand};
use pulleywood_scheduler::quota::{self, QuotaNeed, QuotaStep};
use pulleywood_scheduler::shard::HeartbeatOutcome;
use pulleywood_scheduler::shard::failure_attribution::HealthEvent;
use pulleywood_scheduler::shard::reachability::{Reachability, reachability};
use pulleywood_scheduler::shard_selection;
use pulleywood_scheduler::{Config, ShardState};
use pulleywood_testkit::samples;
use random_config::random_config;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Virtual time that passes in one step, in milliseconds.
const STEP_MS: u64 = 500;
/// Number of steps in a run.
const STEPS: u64 = 500;
/// Number of different images that jobs use.
const IMAGES: u32 = 6;

/// A task on a machine.
struct RunningTask {
    task: TaskId,
    attempt: Attempt,
    state: TaskState,
    cause: Option<Cause>,
    /// When it enters its next state without a command.
    next_state_at: MonotonicTime,
}

/// A machine and its worker.
struct Worker {
    tasks: Vec<RunningTask>,
    incarnation: u64,
    seq: u64,
    fencing_token: FencingToken,
    /// When its machine has booted; it sends heartbeats from then on.
    booted_at: MonotonicTime,
    lost: bool,
    /// Whether all its tasks fail.
    fails_tasks: bool,
    /// Until when responses to its heartbeats are lost.
    inbound_partitioned_until: MonotonicTime,
    /// When it is lost to a spot preemption; `None` without a preemption notice.
    preemption_at: Option<MonotonicTime>,
}

struct Simulation {
    rng: Rng,
    now: MonotonicTime,
    config: Config,
    shards: BTreeMap<ShardId, ShardState>,
    workers: BTreeMap<MachineId, Worker>,
    /// Rented machines that have no record yet.
    unregistered: BTreeMap<MachineId, MachineKind>,
    records: BTreeMap<MachineId, (MachineRecord, Revision)>,
    jobs: BTreeMap<JobId, (JobRecord, Revision)>,
    job_batches: JobBatches,
    /// Jobs whose records are stored in a job batch.
    batched_jobs: BTreeSet<JobId>,
    job_batch_count: u64,
    quotas: BTreeMap<ShardId, QuotaRecord>,
    digests: BTreeMap<ShardId, Arc<ShardDigest>>,
    fleet_history: FleetHistory,
    machine_type_demand: MachineTypeDemand,
    /// Machines' worth of work that was sent to each shard since its last digest.
    sent_work: BTreeMap<ShardId, f64>,
    revision: u64,
    job_count: u64,
    machine_count: u64,
    launch_count: u64,
    hasher: DecisionHasher,
}

/// Runs the simulation of one seed, and returns the hash of its decisions and the number of
/// launch commands executed.
pub fn run(seed: u64) -> (u64, u64) {
    let mut simulation = Simulation::new(seed);
    for step in 0..STEPS {
        simulation.now = simulation.now + Duration::from_millis(STEP_MS);
        simulation.step(step);
    }
    (simulation.hasher.finish(), simulation.launch_count)
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = Rng::with_seed(seed ^ 0x5eed_5eed);
        let config = random_config(&mut rng);
        let mut simulation = Simulation {
            now: MonotonicTime(1_000_000),
            shards: BTreeMap::new(),
            workers: BTreeMap::new(),
            unregistered: BTreeMap::new(),
            records: BTreeMap::new(),
            jobs: BTreeMap::new(),
            job_batches: JobBatches::default(),
            batched_jobs: BTreeSet::new(),
            job_batch_count: 0,
            quotas: BTreeMap::new(),
            digests: BTreeMap::new(),
            fleet_history: FleetHistory::default(),
            machine_type_demand: MachineTypeDemand::default(),
            sent_work: BTreeMap::new(),
            revision: 10,
            job_count: 0,
            machine_count: 0,
            launch_count: 0,
            hasher: DecisionHasher::default(),
            rng,
            config,
        };
        for shard in (0..simulation.config.shards).map(ShardId) {
            let initial_quota = quota::initial_quotas(&simulation.config, simulation.config.shards);
            simulation.quotas.insert(shard, initial_quota);
            simulation.lead(
                shard,
                FencingToken(5 + u64::from(shard.0)),
                MonotonicTime(0),
            );
        }
        for _ in 0..simulation.rng.usize(2..14) {
            let kind = simulation.random_kind();
            let id = simulation.rent(&kind, MonotonicTime(0));
            simulation.register(&id);
        }
        simulation
    }

    fn random_kind(&mut self) -> MachineKind {
        let names = ["g4", "c16", "m8"];
        let name = names[self.rng.usize(0..names.len())];
        let zones = &self.config.flavors[name].zones;
        MachineKind {
            flavor: name.into(),
            zone: zones[self.rng.usize(0..zones.len())].clone(),
            spot: self.rng.bool(),
        }
    }

    fn next_revision(&mut self) -> Revision {
        self.revision += 1;
        Revision(self.revision)
    }

    /// Loads a shard under a new fencing token. Tasks launched before are unknown to it.
    fn lead(
        &mut self,
        shard: ShardId,
        fencing_token: FencingToken,
        previous_launches_until: MonotonicTime,
    ) {
        let zones = self.config.zones.clone();
        let mut state = ShardState::new(shard, fencing_token, previous_launches_until, zones);
        state.quotas = self.quotas[&shard].clone();
        state.resumption.delays_preemption = self.rng.bool();
        for (id, (record, revision)) in &self.records {
            if record.shard == shard {
                state.put_machine(id, record.clone(), *revision, true, self.now);
            }
        }
        for (id, (record, revision)) in &self.jobs {
            if self.batched_jobs.contains(id) {
                state.put_batched_job(record, *revision, true, self.now, &self.config);
            } else {
                state.put_job(record, *revision, true, self.now, &self.config);
            }
        }
        self.shards.insert(shard, state);
    }

    fn step(&mut self, step: u64) {
        self.inject_faults();
        if self.rng.f64() < 0.2 {
            self.submit();
        }
        self.send_heartbeats();
        for state in self.shards.values_mut() {
            state.tick(self.now, &self.config);
        }
        if step.is_multiple_of(2) {
            self.commit_done_batches();
        }
        if step % 4 == 1 {
            self.exchange_digests();
            self.balance_quotas();
            self.run_fleet_round();
        }
    }

    /// Draws faults: a lost machine, lost responses, a preemption notice, the end or
    /// cancellation of a job, and a new leader of a shard.
    fn inject_faults(&mut self) {
        let ids: Vec<MachineId> = self.workers.keys().cloned().collect();
        if !ids.is_empty() {
            let id = &ids[self.rng.usize(0..ids.len())];
            let random = self.rng.f64();
            let duration = Duration::from_secs(self.rng.u64(1..30));
            let worker = self
                .workers
                .get_mut(id)
                .expect("listed machine has a worker");
            match random {
                x if x < 0.003 => worker.lost = true,
                x if x < 0.006 => worker.inbound_partitioned_until = self.now + duration,
                x if x < 0.009 => worker.preemption_at = Some(self.now + duration),
                _ => {}
            }
        }
        let jobs: Vec<JobId> = self.jobs.keys().cloned().collect();
        if !jobs.is_empty() && self.rng.f64() < 0.02 {
            let id = jobs[self.rng.usize(0..jobs.len())].clone();
            if self.rng.bool() {
                self.end_job(&id);
            } else {
                let until = self.now + Duration::from_secs(8);
                for state in self.shards.values_mut() {
                    state.suspend_launches(&id, until, self.now);
                }
            }
        }
        if self.rng.f64() < 0.004 {
            let shard = ShardId(self.rng.u32(0..self.config.shards));
            let fencing_token = FencingToken(self.shards[&shard].fencing_token.0 + 10);
            self.lead(shard, fencing_token, self.now + Duration::from_secs(15));
        }
    }
}
