//! Late copies of messages between a leader and its workers, swept over their moments in virtual
//! time. A copy is repeated byte for byte, within what the protocol allows: a worker executes a
//! response up to four seconds after the heartbeat that it answers, and a direct command at any
//! time, if the fencing token and the incarnation still match; a heartbeat may arrive again at any
//! time.

mod common;

use common::*;
use pulleywood_protocol::cbor;
use pulleywood_protocol::worker::{
    Cause, Command, DirectCommand, Heartbeat, HeartbeatResponse, TaskState,
};
use pulleywood_protocol::{Attempt, FencingToken, JobSpec, Rank, Revision, TaskId};
use std::collections::BTreeSet;

/// Milliseconds of one step of virtual time.
const STEP_MS: u64 = 250;
/// Milliseconds of a run, longer than a worker's lease.
const RUN_MS: u64 = 15_000;
/// Milliseconds between two heartbeats of a worker.
const HEARTBEAT_MS: u64 = 1000;
/// Milliseconds after a change of its tasks until a worker sends a heartbeat.
const CHANGE_HEARTBEAT_MS: u64 = 500;
/// Milliseconds after which a worker drops the response to a heartbeat.
const RESPONSE_VALIDITY_MS: u64 = 4000;
/// Milliseconds of a worker's lease, as in the configuration of the harness.
const LEASE_MS: u64 = 10_000;
/// Milliseconds between the moments at which a heartbeat or a direct command is repeated.
const COPY_STEP_MS: u64 = 1000;

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1000.0
}

/// How an attempt ends on its machine: after this many milliseconds, for this reason. `None`: it
/// runs on.
type Fate = Option<(u64, Cause)>;

/// What happens besides heartbeats and responses.
#[derive(Clone, Copy, PartialEq)]
enum Event {
    /// The job's user cancels it.
    Cancel,
    /// An urgent job that needs all machines is submitted.
    SubmitUrgent,
    /// The leader ends, and another one acquires the shard under the next fencing token.
    Failover,
    /// Machine 0 takes no launches any more.
    Drain,
    /// Machine 0 is cut off for longer than its lease.
    CutMachine,
}

struct Scenario {
    name: &'static str,
    /// How the first attempts of the job's task end, in order of their launch; later ones run on.
    fates: &'static [Fate],
    /// An event, with its time in milliseconds.
    event: Option<(u64, Event)>,
}

const SCENARIOS: [Scenario; 11] = [
    Scenario {
        name: "done at once",
        fates: &[Some((250, Cause::Done))],
        event: None,
    },
    Scenario {
        name: "failed",
        fates: &[Some((250, Cause::Error))],
        event: None,
    },
    Scenario {
        name: "refused",
        fates: &[Some((0, Cause::NoRoom))],
        event: None,
    },
    Scenario {
        name: "refused, then moved",
        fates: &[Some((0, Cause::NoRoom))],
        event: Some((1250, Event::Drain)),
    },
    Scenario {
        name: "failed, then moved",
        fates: &[Some((250, Cause::Error))],
        event: Some((1250, Event::Drain)),
    },
    Scenario {
        name: "job not there yet",
        fates: &[Some((0, Cause::NoSuch))],
        event: None,
    },
    Scenario {
        name: "cancelled while it runs",
        fates: &[],
        event: Some((1500, Event::Cancel)),
    },
    Scenario {
        name: "cancelled after it failed",
        fates: &[Some((250, Cause::Error)), Some((250, Cause::Error))],
        event: Some((2500, Event::Cancel)),
    },
    Scenario {
        name: "moved for an urgent job",
        fates: &[],
        event: Some((1500, Event::SubmitUrgent)),
    },
    Scenario {
        name: "new leader within a second",
        fates: &[Some((250, Cause::Error))],
        event: Some((2250, Event::Failover)),
    },
    Scenario {
        name: "machine cut off for longer than its lease",
        fates: &[],
        event: Some((2000, Event::CutMachine)),
    },
];

/// The message that is repeated, by its number in a run, and when.
#[derive(Clone, Copy)]
enum Copy {
    Response { number: usize, at_ms: u64 },
    Heartbeat { number: usize, at_ms: u64 },
    DirectCommand { number: usize, at_ms: u64 },
}

/// A message that was delivered, to be repeated.
struct Delivered {
    at_ms: u64,
    machine: usize,
    /// Incarnation of the worker that sent the heartbeat.
    incarnation: u64,
    bytes: Vec<u8>,
}

struct WorkerTask {
    task: TaskId,
    attempt: Attempt,
    ends: Option<(u64, Cause)>,
    exit: Option<Cause>,
}

struct Worker {
    machine: usize,
    incarnation: u64,
    seq: u64,
    fencing_token: FencingToken,
    lease_renewed_ms: u64,
    next_heartbeat_ms: u64,
    cut_until_ms: u64,
    tasks: Vec<WorkerTask>,
}

impl Worker {
    fn new(machine: usize, fencing_token: FencingToken) -> Worker {
        Worker {
            machine,
            incarnation: 1,
            seq: 0,
            fencing_token,
            lease_renewed_ms: 0,
            next_heartbeat_ms: HEARTBEAT_MS,
            cut_until_ms: 0,
            tasks: Vec::new(),
        }
    }

    fn runs(&self, task: &TaskId) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.any(|t| t.task == *task && t.exit.is_none())
    }

    fn note_change(&mut self, now_ms: u64) {
        let soon = now_ms + CHANGE_HEARTBEAT_MS;
        self.next_heartbeat_ms = self.next_heartbeat_ms.min(soon);
    }

    fn advance(&mut self, now_ms: u64) {
        if now_ms > self.lease_renewed_ms + LEASE_MS {
            self.tasks.clear();
            self.incarnation += 1;
            self.lease_renewed_ms = now_ms;
        }
        let mut changed = false;
        for task in self.tasks.iter_mut().filter(|t| t.exit.is_none()) {
            if let Some((at_ms, cause)) = task.ends
                && now_ms >= at_ms
            {
                task.exit = Some(cause);
                changed = true;
            }
        }
        if changed {
            self.note_change(now_ms);
        }
    }

    fn heartbeat(&mut self, harness: &ShardHarness) -> Heartbeat {
        self.seq += 1;
        let tasks = self.tasks.iter().map(|t| match t.exit {
            Some(cause) => exited(&t.task, t.attempt, cause),
            None => status(&t.task, t.attempt, TaskState::Running),
        });
        let tasks = tasks.collect();
        Heartbeat {
            incarnation: self.incarnation,
            ..harness.heartbeat_under(self.machine, self.seq, self.fencing_token, tasks)
        }
    }
}

/// What a copy made happen that must not.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Violation {
    /// An attempt started once more on its machine.
    AttemptStartedAgain(Attempt),
    /// A task started on one machine while it ran on another.
    RanTwice(TaskId),
    /// A task of a cancelled job started.
    StartedAfterCancellation(TaskId),
}

struct Run<'a> {
    scenario: &'a Scenario,
    copy: Option<Copy>,
    harness: ShardHarness,
    workers: Vec<Worker>,
    responses: Vec<Delivered>,
    heartbeats: Vec<Delivered>,
    direct_commands: Vec<Delivered>,
    cancelled: bool,
    started: BTreeSet<(usize, Attempt)>,
    launches_of_job: usize,
    violations: BTreeSet<Violation>,
}

const JOB: u64 = 1;
const URGENT_JOB: u64 = 2;

fn idle_job() -> JobSpec {
    JobSpec {
        rank: Rank::Idle,
        ..spec(JOB, 1)
    }
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario, copy: Option<Copy>) -> Run<'a> {
        let mut harness = ShardHarness::new(&["a", "a"]);
        harness.submit(idle_job(), false);
        let workers = [0, 1].map(|machine| Worker::new(machine, harness.fencing_token));
        Run {
            scenario,
            copy,
            harness,
            workers: workers.into(),
            responses: Vec::new(),
            heartbeats: Vec::new(),
            direct_commands: Vec::new(),
            cancelled: false,
            started: BTreeSet::new(),
            launches_of_job: 0,
            violations: BTreeSet::new(),
        }
    }

    fn play(mut self) -> Run<'a> {
        for now_ms in (STEP_MS..RUN_MS).step_by(STEP_MS as usize) {
            self.apply_event(now_ms);
            for machine in 0..self.workers.len() {
                self.workers[machine].advance(now_ms);
                let worker = &self.workers[machine];
                if now_ms >= worker.next_heartbeat_ms && now_ms >= worker.cut_until_ms {
                    self.exchange_heartbeat(machine, now_ms);
                }
                self.send_direct_command(machine, now_ms);
            }
            self.deliver_copy(now_ms);
            let (state, config) = (&mut self.harness.state, &self.harness.config);
            state.tick(at(seconds(now_ms)), config);
            if let Some(batch) = self.harness.batch(Revision(9), seconds(now_ms)) {
                self.harness
                    .state
                    .mark_batch_committed(&batch, Revision(10));
            }
        }
        self
    }

    fn apply_event(&mut self, now_ms: u64) {
        let Some((at_ms, event)) = self.scenario.event else {
            return;
        };
        if at_ms != now_ms {
            return;
        }
        match event {
            Event::Cancel => {
                self.harness.state.remove_job(&job_id(JOB));
                self.cancelled = true;
            }
            Event::SubmitUrgent => {
                let urgent = JobSpec {
                    rank: Rank::Urgent,
                    ..spec(URGENT_JOB, 8)
                };
                self.harness.submit(urgent, false);
            }
            Event::Failover => {
                let next = FencingToken(self.harness.fencing_token.0 + 1);
                // Workers execute no response of the previous leader after their leases.
                let launches_until = at(seconds(now_ms + LEASE_MS + STEP_MS));
                self.harness = ShardHarness::after_failover(&["a", "a"], launches_until);
                self.harness.fencing_token = next;
                self.harness.state.fencing_token = next;
                self.harness.submit(idle_job(), true);
            }
            Event::Drain => {
                let until = at(seconds(RUN_MS));
                self.harness.state.drain(&[common::machine(0)], until);
            }
            Event::CutMachine => self.workers[0].cut_until_ms = now_ms + LEASE_MS + 1000,
        }
    }

    fn exchange_heartbeat(&mut self, machine: usize, now_ms: u64) {
        let worker = &mut self.workers[machine];
        worker.next_heartbeat_ms = now_ms + HEARTBEAT_MS;
        let heartbeat = worker.heartbeat(&self.harness);
        let delivered = |bytes| Delivered {
            at_ms: now_ms,
            machine,
            incarnation: heartbeat.incarnation,
            bytes,
        };
        self.heartbeats.push(delivered(cbor::encode(&heartbeat)));
        let commands = self
            .harness
            .heartbeat_and_answer(&heartbeat, seconds(now_ms));
        let response = HeartbeatResponse {
            fencing_token: self.harness.fencing_token,
            commands,
        };
        let bytes = cbor::encode(&response);
        self.responses.push(delivered(bytes.clone()));
        self.execute_response(machine, heartbeat.incarnation, &bytes, now_ms);
        self.workers[machine].lease_renewed_ms = now_ms;
    }

    /// Sends a machine the commands that the leader may send directly. Only copies of them arrive.
    fn send_direct_command(&mut self, machine: usize, now_ms: u64) {
        let now = at(seconds(now_ms));
        let id = common::machine(machine);
        let commands = self.harness.state.direct_commands(&id, now);
        if commands.is_empty() {
            return;
        }
        let incarnation = self.workers[machine].incarnation;
        let command = DirectCommand {
            fencing_token: self.harness.fencing_token,
            incarnation,
            commands,
        };
        self.direct_commands.push(Delivered {
            at_ms: now_ms,
            machine,
            incarnation,
            bytes: cbor::encode(&command),
        });
    }

    fn deliver_copy(&mut self, now_ms: u64) {
        match self.copy {
            Some(Copy::Response { number, at_ms }) if at_ms == now_ms => {
                let copied = &self.responses[number];
                let (machine, incarnation) = (copied.machine, copied.incarnation);
                let bytes = copied.bytes.clone();
                self.execute_response(machine, incarnation, &bytes, now_ms);
            }
            Some(Copy::Heartbeat { number, at_ms }) if at_ms == now_ms => {
                let heartbeat: Heartbeat = cbor::decode(&self.heartbeats[number].bytes).unwrap();
                // Nobody waits for the response.
                self.harness
                    .heartbeat_and_answer(&heartbeat, seconds(now_ms));
            }
            Some(Copy::DirectCommand { number, at_ms }) if at_ms == now_ms => {
                let copied = &self.direct_commands[number];
                let machine = copied.machine;
                let command: DirectCommand = cbor::decode(&copied.bytes).unwrap();
                let worker = &mut self.workers[machine];
                if command.fencing_token >= worker.fencing_token
                    && command.incarnation == worker.incarnation
                {
                    worker.fencing_token = command.fencing_token;
                    let commands = command.commands.into_iter().map(Command::from);
                    self.execute(machine, commands.collect(), now_ms);
                }
            }
            _ => {}
        }
    }

    fn execute_response(&mut self, machine: usize, incarnation: u64, bytes: &[u8], now_ms: u64) {
        let response: HeartbeatResponse = cbor::decode(bytes).unwrap();
        let worker = &mut self.workers[machine];
        if incarnation == worker.incarnation && response.fencing_token >= worker.fencing_token {
            worker.fencing_token = response.fencing_token;
            self.execute(machine, response.commands, now_ms);
        }
    }

    fn execute(&mut self, machine: usize, commands: Vec<Command>, now_ms: u64) {
        for command in commands {
            match command {
                Command::Launch { task, attempt } => self.launch(machine, task, attempt, now_ms),
                Command::Stop { task, attempt, .. } => {
                    let worker = &mut self.workers[machine];
                    let mut tasks = worker.tasks.iter_mut();
                    let stopped =
                        tasks.find(|t| t.task == task && t.attempt == attempt && t.exit.is_none());
                    if let Some(stopped) = stopped {
                        stopped.exit = Some(Cause::Stopped);
                        worker.note_change(now_ms);
                    }
                }
                Command::Clear { task, attempt } => self.workers[machine]
                    .tasks
                    .retain(|t| t.task != task || t.attempt != attempt || t.exit.is_none()),
            }
        }
    }

    fn launch(&mut self, machine: usize, task: TaskId, attempt: Attempt, now_ms: u64) {
        let known = |t: &WorkerTask| t.task == task && t.attempt == attempt;
        if self.workers[machine].tasks.iter().any(known) {
            return;
        }
        let fate = if self.workers[machine].runs(&task) {
            Some((0, Cause::Busy))
        } else {
            self.fate_of_next(&task)
        };
        let starts = fate.is_none_or(|(after_ms, _)| after_ms > 0);
        if starts {
            self.check_start(machine, &task, attempt);
        }
        let worker = &mut self.workers[machine];
        worker.tasks.push(WorkerTask {
            task,
            attempt,
            ends: fate.map(|(after_ms, cause)| (now_ms + after_ms, cause)),
            exit: fate.filter(|_| !starts).map(|(_, cause)| cause),
        });
        worker.note_change(now_ms);
    }

    fn fate_of_next(&mut self, task: &TaskId) -> Fate {
        if task.job != job_id(JOB) {
            return Some((1000, Cause::Done));
        }
        let fate = self.scenario.fates.get(self.launches_of_job);
        self.launches_of_job += 1;
        fate.copied().flatten()
    }

    fn check_start(&mut self, machine: usize, task: &TaskId, attempt: Attempt) {
        if !self.started.insert((machine, attempt)) {
            self.violations
                .insert(Violation::AttemptStartedAgain(attempt));
        }
        let mut others = self.workers.iter().filter(|w| w.machine != machine);
        if others.any(|w| w.runs(task)) {
            self.violations.insert(Violation::RanTwice(task.clone()));
        }
        if self.cancelled && task.job == job_id(JOB) {
            let violation = Violation::StartedAfterCancellation(task.clone());
            self.violations.insert(violation);
        }
    }
}

/// All copies of the messages of a run: each response at each step while it is valid, each
/// heartbeat and each direct command now and then until the run ends.
fn copies_of(run: &Run<'_>) -> Vec<Copy> {
    let mut copies = Vec::new();
    for (number, response) in run.responses.iter().enumerate() {
        let last = (response.at_ms + RESPONSE_VALIDITY_MS).min(RUN_MS - STEP_MS);
        let moments = (response.at_ms..=last).step_by(STEP_MS as usize);
        copies.extend(moments.map(|at_ms| Copy::Response { number, at_ms }));
    }
    let later = |at_ms: u64| (at_ms..RUN_MS).step_by(COPY_STEP_MS as usize);
    for (number, heartbeat) in run.heartbeats.iter().enumerate() {
        copies.extend(later(heartbeat.at_ms).map(|at_ms| Copy::Heartbeat { number, at_ms }));
    }
    for (number, command) in run.direct_commands.iter().enumerate() {
        copies.extend(later(command.at_ms).map(|at_ms| Copy::DirectCommand { number, at_ms }));
    }
    copies
}

/// Guards against tasks that run on two machines at once, and cancelled tasks that run again,
/// because a start command that was carried out and answered reaches its machine once more.
#[test]
fn no_late_copy_of_a_message_starts_an_attempt_again() {
    let mut failures: Vec<String> = Vec::new();
    for scenario in &SCENARIOS {
        let undisturbed = Run::new(scenario, None).play();
        assert_eq!(undisturbed.violations, BTreeSet::new(), "{}", scenario.name);
        assert!(undisturbed.launches_of_job > 0, "{}", scenario.name);
        let copies = copies_of(&undisturbed);
        let mut violating = 0;
        let mut violations = BTreeSet::new();
        for copy in &copies {
            let run = Run::new(scenario, Some(*copy)).play();
            violating += usize::from(!run.violations.is_empty());
            violations.extend(run.violations);
        }
        println!(
            "{}: {violating} of {} copies did harm",
            scenario.name,
            copies.len()
        );
        if violating > 0 {
            failures.push(format!(
                "{}: {violating} copies, {violations:?}",
                scenario.name
            ));
        }
    }
    assert_eq!(failures, Vec::<String>::new());
}
