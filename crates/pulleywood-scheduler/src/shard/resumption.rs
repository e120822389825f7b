//! Detection of heartbeats that resume after a leader was unable to respond to its
//! workers.

use crate::config::Config;
use pulleywood_protocol::MonotonicTime;
use std::time::Duration;

/// Time after which a worker that got no response tries the next controller.
pub(super) const WORKER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Heartbeats count as interrupted if none arrived for this many heartbeat intervals.
const SILENCE_INTERVALS: u32 = 2;

/// Heartbeat intervals, in addition to [`WORKER_RETRY_DELAY`], within which a healthy
/// machine sends two heartbeats.
const TWO_HEARTBEATS_INTERVALS: f64 = 2.5;

/// When heartbeats resumed after none had arrived from any machine for a while.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resumption {
    /// Whether preemptions wait for machines that may return. If not, the other fields
    /// have no effect.
    pub delays_preemption: bool,
    last_heartbeat: Option<MonotonicTime>,
    resumed_at: Option<MonotonicTime>,
}

impl Resumption {
    /// Records that a heartbeat arrived from some machine.
    pub(super) fn record_heartbeat(&mut self, now: MonotonicTime, config: &Config) {
        let silence = config.heartbeat_interval * SILENCE_INTERVALS;
        if self.last_heartbeat.is_none_or(|at| now.since(at) > silence) {
            self.resumed_at = Some(now);
        }
        self.last_heartbeat = Some(now);
    }

    /// Whether heartbeats resumed so recently that healthy machines may not have sent
    /// two since. The first shows what a machine runs, the second that responses reach
    /// it.
    pub(super) fn is_recent(&self, now: MonotonicTime, config: &Config) -> bool {
        let window =
            config.heartbeat_interval.mul_f64(TWO_HEARTBEATS_INTERVALS) + WORKER_RETRY_DELAY;
        self.resumed_at.is_some_and(|at| now.since(at) < window)
    }
}
