//! When heartbeats resumed after a leader could not answer its workers for a while.

use crate::config::Config;
use pulleywood_protocol::MonotonicTime;
use std::time::Duration;

/// A worker that got no answer tries the next controller after this long.
pub(super) const WORKER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Heartbeats stopped if none came for so many heartbeat intervals.
const SILENCE_INTERVALS: u32 = 2;

/// Heartbeat intervals, besides [`NEXT_TRY`], within which a machine that is well is
/// heard twice.
const TWO_HEARTBEATS_INTERVALS: f64 = 2.5;

/// When heartbeats resumed after none had come from any machine for a while.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resumption {
    /// Preemptions wait for machines that may return. If not, nothing follows from the
    /// rest.
    pub delays_preemption: bool,
    last_heartbeat: Option<MonotonicTime>,
    resumed_at: Option<MonotonicTime>,
}

impl Resumption {
    /// A heartbeat came from any machine.
    pub(super) fn record_heartbeat(&mut self, now: MonotonicTime, config: &Config) {
        let silence = config.heartbeat_interval * SILENCE_INTERVALS;
        if self.last_heartbeat.is_none_or(|at| now.since(at) > silence) {
            self.resumed_at = Some(now);
        }
        self.last_heartbeat = Some(now);
    }

    /// Whether machines that are well may not have been heard twice since heartbeats
    /// resumed: the first one shows what they run, the next that answers reach them.
    pub(super) fn is_recent(&self, now: MonotonicTime, config: &Config) -> bool {
        let window =
            config.heartbeat_interval.mul_f64(TWO_HEARTBEATS_INTERVALS) + WORKER_RETRY_DELAY;
        self.resumed_at.is_some_and(|at| now.since(at) < window)
    }
}
