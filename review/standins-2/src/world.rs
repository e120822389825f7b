//! What users have submitted, what runs on which machine, and the record of it all.

use ciborium::Value;
use parking_lot::Mutex;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::sync::Arc;
use std::time::Instant;

/// How long a task of a job really runs, in seconds; `None`: until it is stopped.
type RunTime = Box<dyn Fn(u32) -> Option<f64> + Send + Sync>;

pub struct Job {
    pub spec: Value,
    pub run_s: RunTime,
}

/// A start of a task that breaks a rule.
#[derive(Default)]
pub struct Observed {
    /// Tasks on machines now: task, then machine.
    pub on: BTreeMap<String, BTreeSet<String>>,
    /// When each task first started.
    pub first_start: BTreeMap<String, f64>,
    /// When each task was first launched, by a command that a machine took.
    pub launched: BTreeMap<String, f64>,
    /// When each task completed.
    pub completed: BTreeMap<String, f64>,
    pub broken: Vec<String>,
}

pub struct World {
    started: Instant,
    pub jobs: Mutex<BTreeMap<String, Job>>,
    pub observed: Mutex<Observed>,
    record: Mutex<std::fs::File>,
}

impl World {
    pub fn new(record: &std::path::Path) -> Arc<World> {
        let file = std::fs::File::create(record).expect("record.txt");
        Arc::new(World {
            started: Instant::now(),
            jobs: Mutex::default(),
            observed: Mutex::default(),
            record: Mutex::new(file),
        })
    }

    /// Seconds since the case began.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn note(&self, line: &str) {
        let _ = writeln!(self.record.lock(), "{:8.3} {line}", self.now());
    }

    /// Both to the record and to the caller's screen.
    pub fn say(&self, line: &str) {
        self.note(line);
        println!("{:8.3} {line}", self.now());
    }

    pub fn task_started(&self, task: &str, machine: &str) {
        let now = self.now();
        self.note(&format!("machine {machine}: {task} started"));
        let mut observed = self.observed.lock();
        let others = observed.on.entry(task.to_owned()).or_default();
        let elsewhere: Vec<String> = others.iter().filter(|m| *m != machine).cloned().collect();
        others.insert(machine.to_owned());
        observed.first_start.entry(task.to_owned()).or_insert(now);
        if !elsewhere.is_empty() {
            let line = format!("ran_twice: {task} started on {machine} while on {elsewhere:?}");
            observed.broken.push(line.clone());
            drop(observed);
            self.say(&line);
        }
    }

    pub fn task_ended(&self, task: &str, machine: &str, why: &str) {
        self.note(&format!("machine {machine}: {task} ended: {why}"));
        let now = self.now();
        let mut observed = self.observed.lock();
        if let Some(machines) = observed.on.get_mut(task) {
            machines.remove(machine);
        }
        if why == "done" {
            observed.completed.entry(task.to_owned()).or_insert(now);
        }
    }

    pub fn task_launched(&self, task: &str) {
        let now = self.now();
        self.observed
            .lock()
            .launched
            .entry(task.to_owned())
            .or_insert(now);
    }

    pub fn launched_at(&self, task: &str) -> Option<f64> {
        self.observed.lock().launched.get(task).copied()
    }

    /// Number of a job's tasks that are on machines.
    pub fn tasks_on(&self, job: &str) -> usize {
        let prefix = format!("{job}/");
        let observed = self.observed.lock();
        observed
            .on
            .iter()
            .filter(|(t, m)| t.starts_with(&prefix) && !m.is_empty())
            .count()
    }

    /// When the last of a job's tasks completed; `None` until all have.
    pub fn completed_at(&self, job: &str, tasks: u32) -> Option<f64> {
        let observed = self.observed.lock();
        let times = (0..tasks).map(|i| observed.completed.get(&format!("{job}/{i}")).copied());
        times
            .collect::<Option<Vec<f64>>>()
            .map(|t| t.into_iter().fold(0.0, f64::max))
    }
}
