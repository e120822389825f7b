//! What the workers run: the jobs that users submitted, and a log of starts and ends.

use parking_lot::Mutex;
use pulleywood_protocol::{Attempt, JobId, JobSpec, MachineId, TaskId};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A start of a task on a machine.
#[derive(Clone)]
pub struct Start {
    pub task: TaskId,
    pub attempt: Attempt,
    pub machine: MachineId,
    /// When the report was sent whose answer held the launch command.
    pub report_sent: Instant,
    /// The controller that answered the report.
    pub controller: usize,
    pub at: Instant,
    pub ended: Option<Instant>,
    pub done: bool,
}

struct Submitted {
    spec: JobSpec,
    run_time: Duration,
}

/// All submitted jobs and all starts of their tasks.
#[derive(Default)]
pub struct Jobs {
    submitted: Mutex<BTreeMap<JobId, Submitted>>,
    starts: Mutex<Vec<Start>>,
}

impl Jobs {
    pub fn add(&self, spec: JobSpec, run_time: Duration) {
        let id = spec.id.clone();
        self.submitted
            .lock()
            .insert(id, Submitted { spec, run_time });
    }

    /// How long the task runs; `None` if there is no such task.
    pub fn run_time(&self, task: &TaskId) -> Option<Duration> {
        let submitted = self.submitted.lock();
        let job = submitted.get(&task.job)?;
        (task.index < job.spec.tasks).then(|| {
            if self.was_done(task) {
                Duration::ZERO
            } else {
                // Tasks of a job take from a half to one and a half of its run time.
                let spread = u64::from(task.index).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 54;
                job.run_time.mul_f64(0.5 + spread as f64 / 1024.0)
            }
        })
    }

    /// What one task takes, as (processors, GPUs, GB of memory).
    pub fn need(&self, task: &TaskId) -> (f64, f64, f64) {
        let submitted = self.submitted.lock();
        submitted.get(&task.job).map_or((0.0, 0.0, 0.0), |job| {
            (job.spec.cpus.0, job.spec.gpus.0, job.spec.memory_gb.0)
        })
    }

    fn was_done(&self, task: &TaskId) -> bool {
        let starts = self.starts.lock();
        starts.iter().any(|s| s.task == *task && s.done)
    }

    pub fn note_start(&self, start: Start) {
        self.starts.lock().push(start);
    }

    pub fn note_end(&self, task: &TaskId, attempt: Attempt, machine: &MachineId, done: bool) {
        let mut starts = self.starts.lock();
        let running = starts.iter_mut().rev().find(|s| {
            s.task == *task && s.attempt == attempt && s.machine == *machine && s.ended.is_none()
        });
        if let Some(start) = running {
            start.ended = Some(Instant::now());
            start.done = done;
        }
    }

    /// The starts of a job's tasks.
    pub fn starts_of(&self, id: &JobId) -> Vec<Start> {
        let starts = self.starts.lock();
        starts
            .iter()
            .filter(|s| s.task.job == *id)
            .cloned()
            .collect()
    }

    /// Number of different tasks of a job that have completed.
    pub fn done_tasks(&self, id: &JobId) -> usize {
        let starts = self.starts_of(id);
        let done: std::collections::BTreeSet<u32> = starts
            .iter()
            .filter(|s| s.done)
            .map(|s| s.task.index)
            .collect();
        done.len()
    }

    /// How long ago the first task of a job completed; `None` if none has.
    pub fn done_since(&self, id: &JobId) -> Option<Duration> {
        let starts = self.starts_of(id);
        let done = starts.iter().find(|s| s.done)?;
        Some(done.ended?.elapsed())
    }

    /// GPUs that the running tasks of a team use now.
    pub fn gpus_in_use(&self, team: &str) -> f64 {
        let submitted = self.submitted.lock();
        let starts = self.starts.lock();
        let running = starts.iter().filter(|s| s.ended.is_none());
        running
            .filter_map(|s| submitted.get(&s.task.job))
            .filter(|job| job.spec.team == team)
            .map(|job| job.spec.gpus.0)
            .sum()
    }
}
