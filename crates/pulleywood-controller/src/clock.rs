//! The only module that reads the system clocks.

use pulleywood_protocol::MonotonicTime;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The monotonic clock of this process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock whose time starts at one hour, so that durations can be subtracted from
    /// early times without underflow.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The current time since one hour before the clock was created, in milliseconds.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(3_600_000 + self.start.elapsed().as_millis() as u64)
    }
}

/// The wall-clock time in milliseconds since the Unix epoch. It may be wrong by up to the
/// setting `clock_error_ms`.
pub fn time_of_day_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}
