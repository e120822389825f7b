//! Harness with a small shard for tests of scheduling decisions, and builders of its
//! inputs.
#![allow(dead_code, reason = "each test file uses some of it")]

use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::job_batch::JobBatches;
use pulleywood_protocol::record::Slots;
use pulleywood_protocol::worker::{Cause, Command, Heartbeat, TaskState, TaskStatus};
use pulleywood_protocol::{
    Attempt, FencingToken, JobId, JobSpec, MachineId, MonotonicTime, Revision, ShardId, TaskId,
};
use pulleywood_scheduler::shard::HeartbeatOutcome;
use pulleywood_scheduler::shard::done_batch::Batch;
use pulleywood_scheduler::{Config, ShardState};
use pulleywood_testkit::samples;
pub use pulleywood_testkit::samples::{job_record, machine_record};

/// The shard under test.
pub const SHARD: ShardId = ShardId(0);

/// Slots of a team, as numbers of processors and GPUs.
pub fn slots(cpus: f64, gpus: f64) -> Slots {
    Slots {
        cpus: Amount(cpus),
        gpus: Amount(gpus),
    }
}

/// A cluster of one shard, two zones, two teams without limits and one machine type,
/// `g4`, which has room for four tasks of [`spec`].
pub fn config() -> Config {
    let mut config = samples::config(1);
    let blue = config.teams["red"].clone();
    config.teams.insert("blue".to_owned(), blue);
    config.policy.reserve_jobs = 1.0;
    config.policy.overflow = 1.0;
    config.policy.idle_s = 60.0;
    config
}

/// The array job `j-N` of this number, whose tasks need 4 processors and 1 GPU each.
pub fn spec(job_number: u64, tasks: u32) -> JobSpec {
    samples::spec(job_id(job_number), tasks)
}

/// The job id `j-N` of this number.
pub fn job_id(number: u64) -> JobId {
    JobId::parse(&format!("j-{number}")).unwrap()
}

/// The time this many seconds after the start of the test.
pub fn at(seconds: f64) -> MonotonicTime {
    MonotonicTime(1_000_000 + (seconds * 1000.0) as u64)
}

/// The id of a task of the job `j-N` of this number.
pub fn task(job_number: u64, index: u32) -> TaskId {
    TaskId {
        job: job_id(job_number),
        index,
    }
}

/// State of a shard with the machines `m0`, `m1` and so on, and its configuration.
pub struct ShardHarness {
    pub config: Config,
    pub state: ShardState,
    pub fencing_token: FencingToken,
}

impl ShardHarness {
    /// A shard without a previous leader, with one machine in each of `zones`.
    pub fn new(zones: &[&str]) -> ShardHarness {
        Self::acquired(zones, false, MonotonicTime(0))
    }

    /// A shard taken over from another leader, which may have launched tasks on all its
    /// machines. The last of these launches have ended by `previous_launches_until`.
    pub fn after_failover(zones: &[&str], previous_launches_until: MonotonicTime) -> ShardHarness {
        Self::acquired(zones, true, previous_launches_until)
    }

    fn acquired(
        zones: &[&str],
        inherited: bool,
        previous_launches_until: MonotonicTime,
    ) -> ShardHarness {
        let config = config();
        let fencing_token = FencingToken(5);
        let mut state = ShardState::new(
            SHARD,
            fencing_token,
            previous_launches_until,
            config.zones.clone(),
        );
        for (index, zone) in zones.iter().enumerate() {
            let mut record = machine_record(SHARD);
            record.zone = (*zone).to_owned();
            state.put_machine(&machine(index), record, Revision(1), inherited, at(0.0));
        }
        ShardHarness {
            config,
            state,
            fencing_token,
        }
    }

    /// Adds a job at the start of the test. `maybe_launched_before`: a previous leader
    /// may have launched tasks of it.
    pub fn submit(&mut self, spec: JobSpec, maybe_launched_before: bool) {
        let record = job_record(spec);
        self.state.put_job(
            &record,
            Revision(2),
            maybe_launched_before,
            at(0.0),
            &self.config,
        );
    }

    /// A heartbeat of machine `machine_index` whose worker has seen the current fencing
    /// token.
    pub fn heartbeat(&self, machine_index: usize, seq: u64, tasks: Vec<TaskStatus>) -> Heartbeat {
        self.heartbeat_under(machine_index, seq, self.fencing_token, tasks)
    }

    /// A heartbeat of machine `machine_index` whose worker has seen this fencing token.
    pub fn heartbeat_under(
        &self,
        machine_index: usize,
        seq: u64,
        fencing_token: FencingToken,
        tasks: Vec<TaskStatus>,
    ) -> Heartbeat {
        Heartbeat {
            machine: machine(machine_index),
            endpoint: "10.0.0.1:1".into(),
            flavor: "g4".into(),
            zone: "a".into(),
            spot: false,
            incarnation: 1,
            seq,
            fencing_token,
            reclaim_in_s: None,
            tasks,
        }
    }

    /// Handles a heartbeat without responding to it.
    pub fn take_heartbeat(&mut self, heartbeat: &Heartbeat, seconds: f64) -> HeartbeatOutcome {
        self.state
            .handle_heartbeat(heartbeat, false, at(seconds), &self.config)
    }

    /// Handles a heartbeat and returns the commands of the response, which may include
    /// launches.
    pub fn heartbeat_and_answer(&mut self, heartbeat: &Heartbeat, seconds: f64) -> Vec<Command> {
        self.take_heartbeat(heartbeat, seconds);
        self.state
            .response_commands(&heartbeat.machine, true, at(seconds), &self.config)
    }

    /// Builds the next batch of done tasks of a shard that has no job batches.
    pub fn batch(&self, shard_revision: Revision, seconds: f64) -> Option<Batch> {
        let job_batches = JobBatches::default();
        self.state
            .next_batch(shard_revision, &job_batches, at(seconds), &self.config)
    }
}

/// The id of the machine of this index: `m0`, `m1` and so on.
pub fn machine(index: usize) -> MachineId {
    MachineId::from(format!("m{index}").as_str())
}

/// The tasks that the commands launch, with their attempts.
pub fn launches(commands: &[Command]) -> Vec<(TaskId, Attempt)> {
    commands
        .iter()
        .filter_map(|command| match command {
            Command::Launch { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        })
        .collect()
}

/// The status of an attempt as a heartbeat lists it.
pub fn status(task: &TaskId, attempt: Attempt, state: TaskState) -> TaskStatus {
    TaskStatus {
        task: task.clone(),
        attempt,
        state,
        cause: None,
        progress_saved: None,
    }
}

/// The status of an exited attempt as a heartbeat lists it.
pub fn exited(task: &TaskId, attempt: Attempt, cause: Cause) -> TaskStatus {
    TaskStatus {
        cause: Some(cause),
        ..status(task, attempt, TaskState::Exited)
    }
}
