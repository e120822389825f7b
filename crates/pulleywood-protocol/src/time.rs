//! Types and functions for time. Code that needs the current time gets it as a parameter; the
//! monotonic clock is read in one place.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// A time on the monotonic clock of this process, in milliseconds since the process started.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonotonicTime(pub u64);

impl MonotonicTime {
    /// Time elapsed since `earlier`; zero if `earlier` is later than this time.
    pub fn since(self, earlier: MonotonicTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = MonotonicTime;
    fn add(self, duration: Duration) -> MonotonicTime {
        MonotonicTime(
            self.0
                .saturating_add(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)),
        )
    }
}

impl Sub<Duration> for MonotonicTime {
    type Output = MonotonicTime;
    fn sub(self, duration: Duration) -> MonotonicTime {
        MonotonicTime(
            self.0
                .saturating_sub(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)),
        )
    }
}

/// Converts seconds to a duration. Negative, non-finite and too large values become zero.
pub fn secs(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO)
}

/// Maximum relative drift between the monotonic clocks of two hosts, doubled for safety.
const MAX_DRIFT: f64 = 0.001;

/// Upper bound, on this host's clock, of a duration that another host measures: after it, the
/// duration has certainly elapsed on the other host.
pub fn remote_duration_upper_bound(duration: Duration) -> Duration {
    duration + duration.mul_f64(MAX_DRIFT) + Duration::from_millis(250)
}

/// Lower bound, on this host's clock, of a duration that another host measures: until then, the
/// duration has certainly not elapsed on the other host.
pub fn remote_duration_lower_bound(duration: Duration) -> Duration {
    duration.saturating_sub(duration.mul_f64(MAX_DRIFT) + Duration::from_millis(250))
}
