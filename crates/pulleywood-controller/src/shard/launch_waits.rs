//! Statistics for the log: how long tasks waited for their launch, and then for their image.

use hdrhistogram::Histogram;
use pulleywood_protocol::MonotonicTime;
use pulleywood_scheduler::shard::TaskStart;
use std::collections::BTreeMap;
use std::time::Duration;

/// Largest recorded wait in milliseconds; longer waits are counted as this one.
const MAX_WAIT_MS: u64 = 86_400_000;
/// Time between two log lines of a class.
const LOG_INTERVAL: Duration = Duration::from_secs(30);

/// Waits of the tasks of one job class, in milliseconds.
struct ClassWaits {
    /// Time from when this leader first saw a task's job to the task's launch.
    launch: Histogram<u32>,
    /// Time from a task's launch until it ran, most of which is the fetch of its image.
    image: Histogram<u32>,
}

/// Waits of started tasks by job class since they were last logged.
pub struct LaunchWaits {
    since: MonotonicTime,
    classes: BTreeMap<String, ClassWaits>,
}

impl LaunchWaits {
    /// Creates empty statistics that are first logged one interval after `since`.
    pub fn new(since: MonotonicTime) -> Self {
        Self {
            since,
            classes: BTreeMap::new(),
        }
    }

    /// Adds the waits of tasks that have started to run.
    pub fn add(&mut self, started: Vec<TaskStart>) {
        for task in started {
            log::debug!(
                "task {} started to run {:.1} s after its launch",
                task.task,
                task.startup_time.as_secs_f64()
            );
            let histogram = || Histogram::new_with_max(MAX_WAIT_MS, 2).ok();
            if !self.classes.contains_key(&task.class)
                && let (Some(launch), Some(image)) = (histogram(), histogram())
            {
                let waits = ClassWaits { launch, image };
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

    /// Logs and clears the waits if [`LOG_INTERVAL`] has passed since they were last logged.
    pub fn log_if_due(&mut self, now: MonotonicTime) {
        if now.since(self.since) < LOG_INTERVAL {
            return;
        }
        self.since = now;
        for (class, ClassWaits { launch, image }) in std::mem::take(&mut self.classes) {
            let seconds = |histogram: &Histogram<u32>, quantile| {
                histogram.value_at_quantile(quantile) as f64 / 1000.0
            };
            log::info!(
                "class {class}: {} tasks started; wait for launch {:.1} s (p50) {:.1} s (p90), from launch to running {:.1} s (p50) {:.1} s (p90)",
                launch.len(),
                seconds(&launch, 0.5),
                seconds(&launch, 0.9),
                seconds(&image, 0.5),
                seconds(&image, 0.9),
            );
        }
    }
}
