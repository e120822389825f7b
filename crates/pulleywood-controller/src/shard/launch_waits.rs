//! How long tasks waited for their launch and then for their image, for the log.

use hdrhistogram::Histogram;
use pulleywood_protocol::MonotonicTime;
use pulleywood_scheduler::shard::TaskStart;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longer waits count as this one, in ms.
const HIGHEST_MS: u64 = 86_400_000;
/// Waits are logged this often.
const LOG_EVERY: Duration = Duration::from_secs(30);

/// Waits of the tasks of one class, in ms.
struct Waits {
    /// From the task's acceptance to its launch.
    launch: Histogram<u32>,
    /// From its launch until it ran.
    image: Histogram<u32>,
}

/// Waits by class since the last log line.
pub struct LaunchWaits {
    since: MonotonicTime,
    classes: BTreeMap<String, Waits>,
}

impl LaunchWaits {
    /// No waits yet.
    pub fn new(since: MonotonicTime) -> Self {
        Self {
            since,
            classes: BTreeMap::new(),
        }
    }

    /// Counts tasks that have started to run.
    pub fn add(&mut self, started: Vec<TaskStart>) {
        for task in started {
            log::debug!(
                "{} runs, {:.1} s after its launch",
                task.task,
                task.startup_time.as_secs_f64()
            );
            let new = || Histogram::new_with_max(HIGHEST_MS, 2).ok();
            if !self.classes.contains_key(&task.class)
                && let (Some(launch), Some(image)) = (new(), new())
            {
                let waits = Waits { launch, image };
                self.classes.insert(task.class.clone(), waits);
            }
            if let Some(waits) = self.classes.get_mut(&task.class) {
                waits
                    .launch
                    .saturating_record(task.queue_time.as_millis() as u64);
                waits
                    .image
                    .saturating_record(task.startup_time.as_millis() as u64);
            }
        }
    }

    /// Logs and forgets the waits, if it is time.
    pub fn log(&mut self, now: MonotonicTime) {
        if now.since(self.since) < LOG_EVERY {
            return;
        }
        self.since = now;
        for (class, Waits { launch, image }) in std::mem::take(&mut self.classes) {
            let seconds = |h: &Histogram<u32>, q| h.value_at_quantile(q) as f64 / 1000.0;
            log::info!(
                "{class}: {} tasks started; launched after {:.1} s (p50) {:.1} s (p90), ran {:.1} s (p50) {:.1} s (p90) later",
                launch.len(),
                seconds(&launch, 0.5),
                seconds(&launch, 0.9),
                seconds(&image, 0.5),
                seconds(&image, 0.9),
            );
        }
    }
}
