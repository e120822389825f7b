//! A small shard to test decisions on, and builders for what it is given.
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

/// Slots of a team.
pub fn slots(cpus: f64, gpus: f64) -> Slots {
    Slots {
        cpus: Amount(cpus),
        gpus: Amount(gpus),
    }
}

/// A cluster of one shard, two zones, two teams without limits and one machine type:
/// `g4` has room for four tasks of [`spec`].
pub fn config() -> Config {
    let mut config = samples::config(1);
    let blue = config.teams["red"].clone();
    config.teams.insert("blue".to_owned(), blue);
    config.policy.reserve_jobs = 1.0;
    config.policy.overflow = 1.0;
    config.policy.idle_s = 60.0;
    config
}

/// The array job `j-n`, whose tasks take 4 processors and a GPU each.
pub fn spec(n: u64, tasks: u32) -> JobSpec {
    samples::spec(job_id(n), tasks)
}

/// The id `j-n`.
pub fn job_id(n: u64) -> JobId {
    JobId::parse(&format!("j-{n}")).unwrap()
}

/// So many seconds into the test.
pub fn at(s: f64) -> MonotonicTime {
    MonotonicTime(1_000_000 + (s * 1000.0) as u64)
}

/// A task of the job `j-n`.
pub fn task(n: u64, index: u32) -> TaskId {
    TaskId {
        job: job_id(n),
        index,
    }
}

/// A shard's state with machines `m0`, `m1`, ... and its configuration.
pub struct ShardHarness {
    pub config: Config,
    pub state: ShardState,
    pub fencing_token: FencingToken,
}

impl ShardHarness {
    /// A shard that had no earlier leader, with a machine in each of these zones.
    pub fn new(zones: &[&str]) -> ShardHarness {
        Self::acquired(zones, false, MonotonicTime(0))
    }

    /// A shard taken over from another leader, which may have launched tasks on all of
    /// its machines; the last of its launches end at `previous_launches_until`.
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
        for (n, zone) in zones.iter().enumerate() {
            let mut record = machine_record(SHARD);
            record.zone = (*zone).to_owned();
            state.put_machine(&machine(n), record, Revision(1), inherited, at(0.0));
        }
        ShardHarness {
            config,
            state,
            fencing_token,
        }
    }

    /// Puts a job at the start of the test.
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

    /// A heartbeat of machine `m` that has seen the present fencing token.
    pub fn heartbeat(&self, m: usize, seq: u64, tasks: Vec<TaskStatus>) -> Heartbeat {
        self.heartbeat_under(m, seq, self.fencing_token, tasks)
    }

    /// A heartbeat of machine `m` that has seen this fencing token.
    pub fn heartbeat_under(
        &self,
        m: usize,
        seq: u64,
        fencing_token: FencingToken,
        tasks: Vec<TaskStatus>,
    ) -> Heartbeat {
        Heartbeat {
            machine: machine(m),
            endpoint: "10.0.0.1:1".into(),
            flavor: "g4".into(),
            zone: "a".into(),
            spot: false,
            incarnation: 1,
            seq,
            fencing_token,
            notice_s: None,
            tasks,
        }
    }

    /// Takes a heartbeat without answering it.
    pub fn take_heartbeat(&mut self, heartbeat: &Heartbeat, s: f64) -> HeartbeatOutcome {
        self.state
            .handle_heartbeat(heartbeat, false, at(s), &self.config)
    }

    /// Takes a heartbeat and answers it, launches allowed.
    pub fn heartbeat_and_answer(&mut self, heartbeat: &Heartbeat, s: f64) -> Vec<Command> {
        self.take_heartbeat(heartbeat, s);
        self.state
            .response_commands(&heartbeat.machine, true, at(s), &self.config)
    }

    /// The next batch of done tasks, of a shard without job batches.
    pub fn batch(&self, shard_revision: Revision, s: f64) -> Option<Batch> {
        let job_batches = JobBatches::default();
        self.state
            .next_batch(shard_revision, &job_batches, at(s), &self.config)
    }
}

/// The machine `mn`.
pub fn machine(n: usize) -> MachineId {
    MachineId::from(format!("m{n}").as_str())
}

/// Tasks launched by commands, with their attempts.
pub fn launches(commands: &[Command]) -> Vec<(TaskId, Attempt)> {
    commands
        .iter()
        .filter_map(|command| match command {
            Command::Launch { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        })
        .collect()
}

/// An attempt as a heartbeat lists it.
pub fn status(task: &TaskId, attempt: Attempt, state: TaskState) -> TaskStatus {
    TaskStatus {
        task: task.clone(),
        attempt,
        state,
        cause: None,
        stored: None,
    }
}

/// An exited attempt as a heartbeat lists it.
pub fn exited(task: &TaskId, attempt: Attempt, cause: Cause) -> TaskStatus {
    TaskStatus {
        cause: Some(cause),
        ..status(task, attempt, TaskState::Exited)
    }
}
