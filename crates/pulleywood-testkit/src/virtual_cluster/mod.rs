//! A cold start of a whole cluster in virtual time: controllers with the real shard state and
//! the real recovery decisions, a store, workers, and faults drawn from a seed.
//!
//! It promises that the same scenario always has the same outcome. It does not imitate HTTP,
//! threads, users, peers, the coordinator or the cloud: machines and jobs are recorded at the
//! start, and lost machines are not replaced.

mod controller;
mod store;
mod worker;

use crate::history::{self, Event, Expected, Violation};
use crate::samples;
use controller::Controller;
use fastrand::Rng;
use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::time::secs;
use pulleywood_protocol::worker::HeartbeatResponse;
use pulleywood_protocol::{JobId, JobSpec, MachineId, MonotonicTime, Rank, Shape, ShardId, TaskId};
use pulleywood_recovery::RecoveryPolicy;
use pulleywood_scheduler::Config;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use store::Store;
use worker::Worker;

/// Length of a step of virtual time.
const STEP: Duration = Duration::from_millis(100);
/// When all controllers end; tasks run by then.
const COLD_START: Duration = Duration::from_secs(40);
/// Time after the last fault within which every task must run or be done.
const RECOVERY_TIME: Duration = Duration::from_secs(150);

/// The cluster and its faults.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Seed of the random generator.
    pub seed: u64,
    /// Number of machines.
    pub machines: usize,
    /// Number of controllers and of shards.
    pub controllers: usize,
    /// The recovery subsystem, if it is on.
    pub recovery: Option<RecoveryPolicy>,
    /// Share of the machines that die while all controllers are down.
    pub dying: f64,
    /// Whether further faults are drawn from the seed.
    pub troubles: bool,
}

/// Result of a run.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// Number of launches and stops sent after the cold start.
    pub commands: usize,
    /// The minimum that any recovery has to send: a launch for each task that was lost or
    /// waited.
    pub least_commands: usize,
    /// Number of requests to the store after the cold start, audit included.
    pub store_requests: usize,
    /// Heartbeat intervals from the first controller's start until all replicas run.
    pub intervals_to_services: Option<u64>,
    /// Number of service replicas lost.
    pub replicas_lost: usize,
    /// Number of findings of the audit.
    pub audit_findings: usize,
    /// Number of shards whose recovery is complete at the end.
    pub complete_shards: usize,
}

/// A decision of a controller.
pub enum Decision<'a> {
    /// The answer to a machine's heartbeat.
    Answered(&'a MachineId, &'a HeartbeatResponse),
    /// A transaction that the store applied.
    Committed(&'a Transaction),
}

/// Called with every decision.
type Observer<'a> = &'a mut dyn FnMut(Decision<'_>);

/// The cluster and the time.
pub struct VirtualCluster {
    scenario: Scenario,
    rng: Rng,
    now: MonotonicTime,
    config: Config,
    store: Store,
    controllers: Vec<Controller>,
    workers: Vec<Worker>,
    events: Vec<Event>,
    served: Vec<TaskId>,
    ranks: BTreeMap<JobId, Rank>,
    outcome: Outcome,
    /// When the first controller starts again.
    first_up: Option<MonotonicTime>,
}

/// When a scenario begins: spans can be taken off early moments.
const START: MonotonicTime = MonotonicTime(3_600_000);

fn config(controllers: usize) -> Config {
    let mut config = samples::config(controllers as u32);
    config.heartbeat_interval = Duration::from_secs(2);
    config.lease = Duration::from_secs(12);
    config.cancellation_limit = Duration::from_secs(30);
    config.policy.shard_lease_s = 6.0;
    config.policy.reserve_jobs = 0.0;
    config
}

impl VirtualCluster {
    /// A cluster with recorded machines and accepted jobs.
    pub fn new(scenario: Scenario) -> VirtualCluster {
        let mut rng = Rng::with_seed(scenario.seed);
        let config = config(scenario.controllers);
        let mut store = Store::new(scenario.controllers as u32);
        let workers: Vec<Worker> = (0..scenario.machines)
            .map(|n| Worker::new(n, &config, &mut rng))
            .collect();
        store.record_machines(&workers, &config);
        let controllers = (0..scenario.controllers).map(Controller::new).collect();
        let mut cluster = VirtualCluster {
            rng,
            now: START,
            config,
            store,
            controllers,
            workers,
            events: Vec::new(),
            served: Vec::new(),
            ranks: BTreeMap::new(),
            outcome: Outcome::default(),
            first_up: None,
            scenario,
        };
        cluster.submit_jobs();
        cluster
    }

    /// Accepts jobs that fill two fifths of each shard's machines, a third of them services.
    /// Half of the machines have room for all, so that nothing has to be preempted.
    fn submit_jobs(&mut self) {
        const SLOTS: usize = 4;
        let shards = self.scenario.controllers as u32;
        let mut number = 1;
        for shard in 0..shards {
            let machines = self.workers.iter().filter(|w| w.shard.0 == shard).count();
            let mut left = machines * SLOTS * 2 / 5;
            while left > 0 {
                let service = number % 3 == 0;
                let tasks = (1 + self.rng.usize(0..12)).min(left);
                left -= tasks;
                let spec = self.spec(number, tasks as u32, service);
                self.served.extend((0..spec.tasks).map(|index| TaskId {
                    job: spec.id.clone(),
                    index,
                }));
                self.ranks.insert(spec.id.clone(), spec.rank);
                self.store.accept(spec, shard);
                number += 1;
            }
        }
    }

    /// Whether half of the shard's machines are still reachable without another one.
    fn may_lose(&self, shard: ShardId) -> bool {
        let of_shard = self.workers.iter().filter(|w| w.shard == shard);
        let (mut all, mut unreachable) = (0, 0);
        for worker in of_shard {
            all += 1;
            unreachable += usize::from(!worker.is_reachable(self.now));
        }
        (unreachable + 1) * 2 <= all
    }

    fn spec(&mut self, number: u64, tasks: u32, service: bool) -> JobSpec {
        let ranks = [Rank::Standard, Rank::Idle];
        let id = JobId::parse(&format!("j-{number:06}")).expect("a job id");
        let mut spec = samples::spec(id, tasks);
        if service {
            (spec.shape, spec.rank) = (Shape::Service, Rank::Production);
        } else {
            // Tasks are never preempted for others of the same rank.
            spec.rank = ranks[self.rng.usize(0..ranks.len())];
        }
        spec.image = format!("img-{:02}", self.rng.u32(0..8));
        spec.image_gb = Amount(4.0);
        (spec.checkpoint_s, spec.save_s) = (Amount(0.0), Amount(0.0));
        spec
    }

    /// Runs the scenario to its end.
    pub fn play(self) -> Outcome {
        self.play_observed(&mut |_| {})
    }

    /// Runs the scenario to its end and passes every decision to `observe`.
    pub fn play_observed(mut self, observe: Observer<'_>) -> Outcome {
        let start = self.now;
        for controller in &mut self.controllers {
            controller.up_at = Some(start);
        }
        self.run_until(start + COLD_START, observe);
        let faults_end = self.end_all_controllers();
        self.run_until(faults_end + RECOVERY_TIME, observe);
        self.finish()
    }

    fn run_until(&mut self, end: MonotonicTime, observe: Observer<'_>) {
        while self.now < end {
            self.now = self.now + STEP;
            self.step(observe);
            for transaction in std::mem::take(&mut self.store.committed) {
                observe(Decision::Committed(&transaction));
            }
        }
    }

    fn step(&mut self, observe: Observer<'_>) {
        let now = self.now;
        let lease = secs(self.config.policy.shard_lease_s);
        self.store.expire(now, lease);
        for controller in &mut self.controllers {
            controller.step(&mut self.store, &self.config, now);
            self.outcome.audit_findings += std::mem::take(&mut controller.findings);
        }
        for controller in &mut self.controllers {
            controller.announce(&mut self.workers, &self.config, now);
        }
        let is_after_cold_start = self.first_up.is_some();
        for worker in &mut self.workers {
            worker.pass_time(now, &mut self.events);
            if !worker.sends_heartbeat(now) {
                continue;
            }
            let heartbeat = worker.heartbeat();
            let shard = worker.shard;
            let mut serving = self.controllers.iter_mut();
            let Some(leader) = serving.find(|c| c.serves(shard, now, &self.config)) else {
                worker.unanswered(now);
                continue;
            };
            let answer = leader.answer(shard, &heartbeat, now, &self.config);
            let Some(answer) = answer else { continue };
            observe(Decision::Answered(&worker.id, &answer.body));
            if is_after_cold_start {
                self.outcome.commands += answer.launches_and_stops();
            }
            // The network loses one answer in a hundred.
            if self.scenario.troubles && self.rng.f64() < 0.01 {
                continue;
            }
            worker.execute(&answer, &heartbeat, now, &mut self.events);
        }
        self.observe_services();
    }

    /// Ends all controllers and draws the faults; returns when the last fault is over.
    fn end_all_controllers(&mut self) -> MonotonicTime {
        let now = self.now;
        self.store.requests = 0;
        let lease = self.config.lease.as_secs_f64();
        let downtimes_s = [0.3, 3.0, lease * 0.6, lease * 1.5, 60.0];
        let downtime_s = if self.scenario.troubles {
            downtimes_s[self.rng.usize(0..downtimes_s.len())]
        } else {
            3.0
        };
        let back = now + Duration::from_secs_f64(downtime_s);
        self.first_up = Some(back);
        let mut faults_end = back;
        if self.scenario.troubles {
            faults_end = faults_end.max(self.draw_faults(now, back));
        }
        for n in 0..self.controllers.len() {
            // Drawn for each controller, whether or not it is late.
            let drawn_delay = [0.0, 0.0, 0.5, 2.0, 90.0][self.rng.usize(0..5)];
            let delay = if self.scenario.troubles && n > 0 {
                drawn_delay
            } else {
                0.0
            };
            let up_at = back + Duration::from_secs_f64(delay);
            self.controllers[n].end();
            // The recovery subsystem is off before the cold start, so that scenarios with and
            // without it are the same until then.
            self.controllers[n].recovery = self.scenario.recovery.clone();
            self.controllers[n].up_at = Some(up_at);
            faults_end = faults_end.max(up_at);
        }
        let dying = (self.scenario.dying * self.scenario.machines as f64).round() as usize;
        for _ in 0..dying {
            let index = self.rng.usize(0..self.workers.len());
            if self.may_lose(self.workers[index].shard) {
                self.workers[index].die(now, &mut self.events);
            }
        }
        self.count_losses();
        faults_end
    }

    /// Draws cut-off machines, an outage of the store, a second cold start and cancellations;
    /// returns when the last of them is over.
    fn draw_faults(&mut self, now: MonotonicTime, back: MonotonicTime) -> MonotonicTime {
        let mut faults_end = back;
        let seconds = |rng: &mut Rng, max: f64| Duration::from_secs_f64(rng.f64() * max);
        for n in 0..self.workers.len() {
            if self.rng.f64() < 0.15 && self.may_lose(self.workers[n].shard) {
                // Cut off, perhaps for longer than its lease.
                let until = now + seconds(&mut self.rng, 50.0);
                self.workers[n].cut_until = until;
                faults_end = faults_end.max(until);
            }
        }
        let rng = &mut self.rng;
        if rng.f64() < 0.3 {
            let from = now + seconds(rng, 10.0);
            self.store.away = Some((from, from + seconds(rng, 25.0)));
            faults_end = faults_end.max(from + Duration::from_secs(25));
        }
        if rng.f64() < 0.3 {
            // A second cold start during the first recovery.
            let at = back + seconds(rng, 15.0);
            for controller in &mut self.controllers {
                controller.ends_at = Some(at);
            }
            faults_end = faults_end.max(at);
        }
        // Jobs cancelled just before the cold start.
        for _ in 0..rng.usize(0..3) {
            if let Some(job) = self.store.cancel_any(rng) {
                self.events.push(Event::Cancelled { at: now.0, job });
            }
        }
        faults_end
    }

    /// Counts what any recovery has to launch: tasks on no machine and not done.
    fn count_losses(&mut self) {
        for task in &self.served {
            let held = self.workers.iter().any(|w| w.holds(task));
            if self.store.is_live(&task.job) && !held && !self.store.is_done(task) {
                self.outcome.least_commands += 1;
                self.outcome.replicas_lost += usize::from(self.store.is_service(&task.job));
            }
        }
    }

    /// Notes when all replicas of live services run again.
    fn observe_services(&mut self) {
        let Some(up) = self.first_up else { return };
        if self.outcome.intervals_to_services.is_some() || self.now <= up {
            return;
        }
        let services = self.served.iter().filter(|t| self.store.is_service(&t.job));
        let mut live = services.filter(|t| self.store.is_live(&t.job));
        if live.all(|t| self.workers.iter().any(|w| w.runs(t))) {
            let passed = self.now.since(up).as_secs_f64();
            let intervals = (passed / self.config.heartbeat_interval.as_secs_f64()).ceil();
            self.outcome.intervals_to_services = Some(intervals as u64);
        }
    }

    /// Tasks recorded as done, and all tasks of jobs with a final state.
    fn recorded(&self) -> BTreeSet<TaskId> {
        let done = self.served.iter().filter(|t| self.store.is_done(t));
        done.cloned().collect()
    }

    fn finish(mut self) -> Outcome {
        let expected = Expected {
            cancel_ms: self.config.cancellation_limit.as_millis() as u64,
            ranks: self.ranks.clone(),
            // Time for a stop, the fetch of several images, and the heartbeat in between.
            yield_ms: 30_000,
            recorded: self.recorded(),
            served: self.served.clone(),
            end: self.now.0,
        };
        self.outcome.violations = history::check(&self.events, &expected);
        self.outcome.store_requests = self.store.requests;
        let complete = self.controllers.iter().map(Controller::complete_shards);
        self.outcome.complete_shards = complete.sum();
        self.outcome
    }
}
