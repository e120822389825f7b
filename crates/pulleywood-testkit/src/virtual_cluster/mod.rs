//! Simulates the cold start of a whole cluster in virtual time. Controllers run the real shard
//! state and the real recovery decisions; the store, the workers and the faults, which are
//! drawn from a seed, are simulated.
//!
//! The same scenario always has the same outcome. HTTP, threads, users, peers, the coordinator
//! and the cloud are not simulated: machines and jobs are recorded at the start, and lost
//! machines are not replaced.

mod controller;
mod store;
mod users;
mod worker;

pub use users::Confirmation;

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
use users::PendingCancellation;
use worker::Worker;

/// Virtual time that passes in one step.
const STEP: Duration = Duration::from_millis(100);
/// Time from the start of a scenario until all controllers stop; tasks run by then.
const OUTAGE_DELAY: Duration = Duration::from_secs(40);
/// Time after the end of the last fault within which every task must run or be done.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(150);

/// Time from the start of a scenario with isolations until the first one.
const CANCELLATIONS_START: Duration = Duration::from_secs(10);
/// Time from the start of a scenario with isolations until the end of the last one begins.
const CANCELLATIONS_END: Duration = Duration::from_secs(80);
/// Run time of tasks in scenarios with isolations. Tasks are launched all the time.
const SHORT_RUN_TIME: Duration = Duration::from_secs(2);

/// Size of the cluster, and the faults that it meets.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of machines.
    pub machines: usize,
    /// Number of controllers; there are as many shards.
    pub controllers: usize,
    /// Settings of the recovery subsystem from the cold start on; `None` if it is disabled.
    pub recovery: Option<RecoveryPolicy>,
    /// Share of the machines, from 0 to 1, that are drawn to be lost while all controllers are
    /// down. A drawn machine is kept if less than half of its shard's machines would stay
    /// reachable without it.
    pub lost_machine_share: f64,
    /// Whether further faults are drawn from the seed: late controllers, partitioned machines,
    /// lost answers, a store outage, a second cold start and cancellations.
    pub random_faults: bool,
}

/// Measurements and violations of one run.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Violated invariants, sorted.
    pub violations: Vec<Violation>,
    /// Number of launch and stop commands sent after the cold start.
    pub commands: usize,
    /// Number of commands that any recovery has to send: one launch for each task that was
    /// lost, or was still waiting for its launch, at the cold start.
    pub min_commands: usize,
    /// Number of requests to the store since the controllers stopped, including those of the
    /// audit.
    pub store_requests: usize,
    /// Heartbeat intervals, rounded up, from the restart of the first controller until all
    /// service replicas run; `None` if they never all ran.
    pub intervals_until_services_run: Option<u64>,
    /// Number of service replicas that no machine held at the cold start.
    pub replicas_lost: usize,
    /// Number of stored records that the audit found missing from a controller's state.
    pub audit_findings: usize,
    /// Number of shards whose recovery is complete at the end of the run.
    pub complete_shards: usize,
}

/// A decision of a controller, as an observer sees it.
pub enum Decision<'a> {
    /// The response to the heartbeat of a machine.
    Answered(&'a MachineId, &'a HeartbeatResponse),
    /// A transaction that the store applied.
    Committed(&'a Transaction),
}

/// Callback that receives every decision in order.
type Observer<'a> = &'a mut dyn FnMut(Decision<'_>);

/// A simulated cluster and its virtual clock.
pub struct VirtualCluster {
    scenario: Scenario,
    rng: Rng,
    now: MonotonicTime,
    config: Config,
    store: Store,
    controllers: Vec<Controller>,
    workers: Vec<Worker>,
    events: Vec<Event>,
    submitted_tasks: Vec<TaskId>,
    ranks: BTreeMap<JobId, Rank>,
    outcome: Outcome,
    /// When the first controller restarts; `None` before the cold start.
    first_restart_at: Option<MonotonicTime>,
    pending_cancellations: Vec<PendingCancellation>,
}

/// Virtual time at which a scenario begins. It is above zero so that durations can be
/// subtracted from early times.
const START: MonotonicTime = MonotonicTime(3_600_000);

/// The settings of all scenarios, which differ only in the number of shards.
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
    /// Creates a cluster whose machines and jobs are recorded in the store, with all
    /// controllers down.
    pub fn new(scenario: Scenario) -> VirtualCluster {
        let mut cluster = VirtualCluster::without_jobs(scenario);
        cluster.submit_jobs();
        cluster
    }

    fn without_jobs(scenario: Scenario) -> VirtualCluster {
        let mut rng = Rng::with_seed(scenario.seed);
        let config = config(scenario.controllers);
        let mut store = Store::new(scenario.controllers as u32);
        let workers: Vec<Worker> = (0..scenario.machines)
            .map(|index| Worker::new(index, &config, &mut rng))
            .collect();
        store.insert_machines(&workers, &config);
        let controllers = (0..scenario.controllers).map(Controller::new).collect();
        VirtualCluster {
            rng,
            now: START,
            config,
            store,
            controllers,
            workers,
            events: Vec::new(),
            submitted_tasks: Vec::new(),
            ranks: BTreeMap::new(),
            outcome: Outcome::default(),
            first_restart_at: None,
            pending_cancellations: Vec::new(),
            scenario,
        }
    }

    /// Creates a cluster for [`VirtualCluster::run_cancellations`]: its jobs are arrays of short
    /// tasks, many more than fit on its machines.
    pub fn with_short_tasks(seed: u64) -> VirtualCluster {
        const TASKS_PER_MACHINE: usize = 80;
        let mut cluster = VirtualCluster::without_jobs(Scenario {
            seed,
            machines: 9,
            controllers: 2 + seed as usize % 3,
            recovery: None,
            lost_machine_share: 0.0,
            random_faults: false,
        });
        for worker in &mut cluster.workers {
            worker.run_time = SHORT_RUN_TIME;
        }
        let mut job_number = 1;
        for shard in 0..cluster.scenario.controllers as u32 {
            let machines = cluster
                .workers
                .iter()
                .filter(|w| w.shard.0 == shard)
                .count();
            let mut remaining_tasks = machines * TASKS_PER_MACHINE;
            while remaining_tasks > 0 {
                let tasks = (10 + cluster.rng.usize(0..60)).min(remaining_tasks);
                remaining_tasks -= tasks;
                let mut spec = cluster.random_spec(job_number, tasks as u32, false);
                (spec.rank, spec.image_gb) = (Rank::Standard, Amount(0.0));
                cluster.submit_job(spec, shard);
                job_number += 1;
            }
        }
        cluster
    }

    /// Submits jobs that fill two fifths of each shard's machines; a third of the jobs are
    /// services. Half of the machines have room for all tasks, so none has to be preempted.
    fn submit_jobs(&mut self) {
        const SLOTS: usize = 4;
        let shards = self.scenario.controllers as u32;
        let mut job_number = 1;
        for shard in 0..shards {
            let machines = self.workers.iter().filter(|w| w.shard.0 == shard).count();
            let mut remaining_tasks = machines * SLOTS * 2 / 5;
            while remaining_tasks > 0 {
                let is_service = job_number % 3 == 0;
                let tasks = (1 + self.rng.usize(0..12)).min(remaining_tasks);
                remaining_tasks -= tasks;
                let spec = self.random_spec(job_number, tasks as u32, is_service);
                self.submit_job(spec, shard);
                job_number += 1;
            }
        }
    }

    fn submit_job(&mut self, spec: JobSpec, shard: u32) {
        self.submitted_tasks
            .extend((0..spec.tasks).map(|index| TaskId {
                job: spec.id.clone(),
                index,
            }));
        self.ranks.insert(spec.id.clone(), spec.rank);
        self.store.insert_job(spec, shard);
    }

    /// Whether at least half of the shard's machines stay reachable if one more is lost.
    fn can_lose_machine(&self, shard: ShardId) -> bool {
        let shard_workers = self.workers.iter().filter(|w| w.shard == shard);
        let (mut total, mut unreachable) = (0, 0);
        for worker in shard_workers {
            total += 1;
            unreachable += usize::from(!worker.is_reachable(self.now));
        }
        (unreachable + 1) * 2 <= total
    }

    fn random_spec(&mut self, job_number: u64, tasks: u32, is_service: bool) -> JobSpec {
        let ranks = [Rank::Standard, Rank::Idle];
        let id = JobId::parse(&format!("j-{job_number:06}")).expect("job number forms a valid id");
        let mut spec = samples::spec(id, tasks);
        if is_service {
            (spec.shape, spec.rank) = (Shape::Service, Rank::Production);
        } else {
            // A task is never preempted for one of the same rank.
            spec.rank = ranks[self.rng.usize(0..ranks.len())];
        }
        spec.image = format!("img-{:02}", self.rng.u32(0..8));
        spec.image_gb = Amount(4.0);
        (spec.checkpoint_s, spec.save_s) = (Amount(0.0), Amount(0.0));
        spec
    }

    /// Runs the scenario to its end and returns what was measured.
    pub fn run(self) -> Outcome {
        self.run_observed(&mut |_| {})
    }

    /// Like [`VirtualCluster::run`], and passes every decision to `observe`.
    pub fn run_observed(mut self, observe: Observer<'_>) -> Outcome {
        let start = self.now;
        for controller in &mut self.controllers {
            controller.start_at = Some(start);
        }
        self.run_until(start + OUTAGE_DELAY, observe);
        let last_fault_end = self.stop_all_controllers();
        self.run_until(last_fault_end + MAX_RECOVERY_TIME, observe);
        self.finish()
    }

    /// Runs a cluster with many short tasks in which controllers are isolated and users cancel
    /// jobs, instead of a cold start.
    pub fn run_cancellations(mut self, confirmation: Confirmation) -> Outcome {
        let start = self.now;
        for controller in &mut self.controllers {
            controller.start_at = Some(start);
        }
        self.run_until(start + CANCELLATIONS_START, &mut |_| {});
        self.run_with_isolations(confirmation, start + CANCELLATIONS_END);
        self.run_until(self.now + MAX_RECOVERY_TIME, &mut |_| {});
        self.finish()
    }

    /// Advances the cluster step by step until `end`.
    fn run_until(&mut self, end: MonotonicTime, observe: Observer<'_>) {
        while self.now < end {
            self.now = self.now + STEP;
            self.step(observe);
            for transaction in std::mem::take(&mut self.store.applied_transactions) {
                observe(Decision::Committed(&transaction));
            }
        }
    }

    fn step(&mut self, observe: Observer<'_>) {
        let now = self.now;
        let lease = secs(self.config.policy.shard_lease_s);
        self.store.expire_leases(now, lease);
        for controller in &mut self.controllers {
            controller.step(&mut self.store, &self.config, now);
            self.outcome.audit_findings += std::mem::take(&mut controller.audit_findings);
        }
        for controller in &mut self.controllers {
            controller.announce_fencing_tokens(&mut self.workers, &self.config, now);
        }
        let has_restarted = self.first_restart_at.is_some();
        for worker in &mut self.workers {
            worker.advance_to(now, &mut self.events);
            if !worker.sends_heartbeat(now) {
                continue;
            }
            let heartbeat = worker.heartbeat();
            let shard = worker.shard;
            let mut controllers = self.controllers.iter_mut();
            let Some(leader) = controllers.find(|c| c.serves(shard, now, &self.config)) else {
                worker.retry_heartbeat(now);
                continue;
            };
            let answer = leader.answer(shard, &heartbeat, now, &self.config);
            let Some(answer) = answer else { continue };
            observe(Decision::Answered(&worker.id, &answer.body));
            if has_restarted {
                self.outcome.commands += answer.launches_and_stops();
            }
            // One answer in a hundred is lost on the network.
            if self.scenario.random_faults && self.rng.f64() < 0.01 {
                continue;
            }
            worker.execute(&answer, &heartbeat, now, &mut self.events);
        }
        self.measure_service_recovery();
    }

    /// Stops all controllers, schedules their restarts and draws the faults. Returns when the
    /// last fault is over.
    fn stop_all_controllers(&mut self) -> MonotonicTime {
        let now = self.now;
        self.store.request_count = 0;
        let lease = self.config.lease.as_secs_f64();
        let downtimes_s = [0.3, 3.0, lease * 0.6, lease * 1.5, 60.0];
        let downtime_s = if self.scenario.random_faults {
            downtimes_s[self.rng.usize(0..downtimes_s.len())]
        } else {
            3.0
        };
        let restart_at = now + Duration::from_secs_f64(downtime_s);
        self.first_restart_at = Some(restart_at);
        let mut last_fault_end = restart_at;
        if self.scenario.random_faults {
            last_fault_end = last_fault_end.max(self.draw_faults(now, restart_at));
        }
        for index in 0..self.controllers.len() {
            // Drawn for every controller, even where the delay does not apply.
            let drawn_delay = [0.0, 0.0, 0.5, 2.0, 90.0][self.rng.usize(0..5)];
            let delay = if self.scenario.random_faults && index > 0 {
                drawn_delay
            } else {
                0.0
            };
            let start_at = restart_at + Duration::from_secs_f64(delay);
            self.controllers[index].stop();
            // The recovery subsystem is disabled before the cold start, so that scenarios with
            // and without it are identical until then.
            self.controllers[index].recovery = self.scenario.recovery.clone();
            self.controllers[index].start_at = Some(start_at);
            last_fault_end = last_fault_end.max(start_at);
        }
        let lost_machines =
            (self.scenario.lost_machine_share * self.scenario.machines as f64).round() as usize;
        for _ in 0..lost_machines {
            let index = self.rng.usize(0..self.workers.len());
            if self.can_lose_machine(self.workers[index].shard) {
                self.workers[index].lose_machine(now, &mut self.events);
            }
        }
        self.count_lost_tasks();
        last_fault_end
    }

    /// Draws partitioned machines, a store outage, a second cold start and cancellations.
    /// Returns when the last of them is over.
    fn draw_faults(&mut self, now: MonotonicTime, restart_at: MonotonicTime) -> MonotonicTime {
        let mut last_fault_end = restart_at;
        let random_seconds = |rng: &mut Rng, max: f64| Duration::from_secs_f64(rng.f64() * max);
        for index in 0..self.workers.len() {
            if self.rng.f64() < 0.15 && self.can_lose_machine(self.workers[index].shard) {
                // Partitioned, possibly for longer than its lease.
                let until = now + random_seconds(&mut self.rng, 50.0);
                self.workers[index].partitioned_until = until;
                last_fault_end = last_fault_end.max(until);
            }
        }
        let rng = &mut self.rng;
        if rng.f64() < 0.3 {
            let outage_start = now + random_seconds(rng, 10.0);
            self.store.outage = Some((outage_start, outage_start + random_seconds(rng, 25.0)));
            last_fault_end = last_fault_end.max(outage_start + Duration::from_secs(25));
        }
        if rng.f64() < 0.3 {
            // A second cold start, possibly while the first recovery is still in progress.
            let second_stop_at = restart_at + random_seconds(rng, 15.0);
            for controller in &mut self.controllers {
                controller.stop_at = Some(second_stop_at);
            }
            last_fault_end = last_fault_end.max(second_stop_at);
        }
        // Jobs whose cancellation was recorded just before the cold start.
        for _ in 0..rng.usize(0..3) {
            if let Some(job) = self.store.cancel_random_job(rng) {
                self.events.push(Event::Cancelled { at_ms: now.0, job });
            }
        }
        last_fault_end
    }

    /// Counts the tasks that any recovery has to launch: those of live jobs that no machine
    /// holds and that are not recorded as done.
    fn count_lost_tasks(&mut self) {
        for task in &self.submitted_tasks {
            let is_held = self.workers.iter().any(|w| w.holds(task));
            if self.store.is_live(&task.job) && !is_held && !self.store.is_done(task) {
                self.outcome.min_commands += 1;
                self.outcome.replicas_lost += usize::from(self.store.is_service(&task.job));
            }
        }
    }

    /// Records the time since the restart once all replicas of live services run.
    fn measure_service_recovery(&mut self) {
        let Some(restarted_at) = self.first_restart_at else {
            return;
        };
        if self.outcome.intervals_until_services_run.is_some() || self.now <= restarted_at {
            return;
        }
        let services = self
            .submitted_tasks
            .iter()
            .filter(|t| self.store.is_service(&t.job));
        let mut live = services.filter(|t| self.store.is_live(&t.job));
        if live.all(|t| self.workers.iter().any(|w| w.runs(t))) {
            let passed_s = self.now.since(restarted_at).as_secs_f64();
            let intervals = (passed_s / self.config.heartbeat_interval.as_secs_f64()).ceil();
            self.outcome.intervals_until_services_run = Some(intervals as u64);
        }
    }

    /// Tasks that are recorded as done, and all tasks of jobs with a final state.
    fn tasks_recorded_as_done(&self) -> BTreeSet<TaskId> {
        let done = self
            .submitted_tasks
            .iter()
            .filter(|t| self.store.is_done(t));
        done.cloned().collect()
    }

    fn finish(mut self) -> Outcome {
        let expected = Expected {
            cancel_ms: self.config.cancellation_limit.as_millis() as u64,
            ranks: self.ranks.clone(),
            // Covers a stop, the next heartbeat, and the fetch of several images.
            preemption_window_ms: 30_000,
            recorded_as_done: self.tasks_recorded_as_done(),
            required_tasks: self.submitted_tasks.clone(),
            end_ms: self.now.0,
        };
        self.outcome.violations = history::check(&self.events, &expected);
        self.outcome.store_requests = self.store.request_count;
        let complete = self.controllers.iter().map(Controller::complete_shards);
        self.outcome.complete_shards = complete.sum();
        self.outcome
    }
}
