//! A small random cluster driven by the pure decisions alone: placement, fleet,
//! quotas, shard selection, transfers and done batches. It takes no notice of any
//! rule; it only has to reach as many branches as it can, the same way each time.

mod cloud_and_fleet;
mod digests;
mod jobs;
mod random_config;
mod workers;

use crate::digest::Digest;
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

/// A step of virtual time.
const STEP_MS: u64 = 500;
/// Steps played.
const STEPS: u64 = 500;
/// Images that jobs use.
const IMAGES: u32 = 6;

/// A task on a machine.
struct Running {
    task: TaskId,
    attempt: Attempt,
    state: TaskState,
    cause: Option<Cause>,
    /// When its state changes by itself.
    until: MonotonicTime,
}

/// A machine and its worker.
struct Worker {
    tasks: Vec<Running>,
    incarnation: u64,
    seq: u64,
    fencing_token: FencingToken,
    up_at: MonotonicTime,
    dead: bool,
    failing: bool,
    deaf_until: MonotonicTime,
    notice: Option<MonotonicTime>,
}

struct Simulation {
    rng: Rng,
    now: MonotonicTime,
    config: Config,
    shards: BTreeMap<ShardId, ShardState>,
    workers: BTreeMap<MachineId, Worker>,
    /// Machines rented that have no record yet.
    booting: BTreeMap<MachineId, MachineKind>,
    records: BTreeMap<MachineId, (MachineRecord, Revision)>,
    jobs: BTreeMap<JobId, (JobRecord, Revision)>,
    job_batches: JobBatches,
    in_batch: BTreeSet<JobId>,
    job_batch_count: u64,
    quotas: BTreeMap<ShardId, QuotaRecord>,
    digests: BTreeMap<ShardId, Arc<ShardDigest>>,
    fleet_history: FleetHistory,
    machine_type_demand: MachineTypeDemand,
    sent: BTreeMap<ShardId, f64>,
    revision: u64,
    job_count: u64,
    machine_count: u64,
    launches: u64,
    digest: Digest,
}

/// Plays one seed: the hash of its decisions, and how many launches it saw.
pub fn play(seed: u64) -> (u64, u64) {
    let mut simulation = Simulation::new(seed);
    for step in 0..STEPS {
        simulation.now = simulation.now + Duration::from_millis(STEP_MS);
        simulation.step(step);
    }
    (simulation.digest.finish(), simulation.launches)
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = Rng::with_seed(seed ^ 0x5eed_5eed);
        let config = random_config(&mut rng);
        let mut simulation = Simulation {
            now: MonotonicTime(1_000_000),
            shards: BTreeMap::new(),
            workers: BTreeMap::new(),
            booting: BTreeMap::new(),
            records: BTreeMap::new(),
            jobs: BTreeMap::new(),
            job_batches: JobBatches::default(),
            in_batch: BTreeSet::new(),
            job_batch_count: 0,
            quotas: BTreeMap::new(),
            digests: BTreeMap::new(),
            fleet_history: FleetHistory::default(),
            machine_type_demand: MachineTypeDemand::default(),
            sent: BTreeMap::new(),
            revision: 10,
            job_count: 0,
            machine_count: 0,
            launches: 0,
            digest: Digest::default(),
            rng,
            config,
        };
        for shard in (0..simulation.config.shards).map(ShardId) {
            let first = quota::initial_quotas(&simulation.config, simulation.config.shards);
            simulation.quotas.insert(shard, first);
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

    /// A shard is led under a new token; what was launched before is unknown.
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
            if self.in_batch.contains(id) {
                state.put_batched_job(record, *revision, true, self.now, &self.config);
            } else {
                state.put_job(record, *revision, true, self.now, &self.config);
            }
        }
        self.shards.insert(shard, state);
    }

    fn step(&mut self, step: u64) {
        self.trouble();
        if self.rng.f64() < 0.2 {
            self.submit();
        }
        self.workers_report();
        for state in self.shards.values_mut() {
            state.tick(self.now, &self.config);
        }
        if step.is_multiple_of(2) {
            self.flush();
        }
        if step % 4 == 1 {
            self.exchange_digests();
            self.balance();
            self.fleet_round();
        }
    }

    fn trouble(&mut self) {
        let ids: Vec<MachineId> = self.workers.keys().cloned().collect();
        if !ids.is_empty() {
            let id = &ids[self.rng.usize(0..ids.len())];
            let draw = self.rng.f64();
            let seconds = Duration::from_secs(self.rng.u64(1..30));
            let worker = self.workers.get_mut(id).expect("a worker");
            match draw {
                x if x < 0.003 => worker.dead = true,
                x if x < 0.006 => worker.deaf_until = self.now + seconds,
                x if x < 0.009 => worker.notice = Some(self.now + seconds),
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
                    state.hold_for_cancellation(&id, until);
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
