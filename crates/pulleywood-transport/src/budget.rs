//! Token buckets that limit the requests to the state service and the cloud.
//!
//! Each controller has a share of the published rates, bursts included, so that all controllers
//! together stay within the rates without coordination.

use parking_lot::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Priority of a request, highest first. A request must leave a part of the bucket to requests of
/// higher priority; each variant leaves at least as much as the one before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// Lease renewals and failovers. A write needs only one available token and takes the
    /// others as a debt, since the shards of a restarted controller cannot wait.
    Lease,
    /// Other writes and reads of a shard's leader or the coordinator.
    ShardLeader,
    /// Batches of submitted jobs: two writes accept many jobs.
    JobBatch,
    /// Submissions of high rank, cancellations, and reads of the cloud's list of machines.
    User,
    /// Reads that answer users' status requests. Most of them wait briefly for tokens.
    UserRead,
    /// Machine records, which launches wait for. Their priority is below that of users, so that
    /// users' requests are not refused while many new machines register.
    MachineRecord,
    /// Records of jobs that are done. Their users ask for the result some seconds later.
    JobCompletion,
    /// Submissions of low rank.
    LowRankSubmission,
    /// Requests that can be delayed for as long as necessary.
    Housekeeping,
}

impl RequestPriority {
    /// Fraction of the bucket that a request of this priority must leave.
    fn reserved_fraction(self) -> f64 {
        match self {
            RequestPriority::Lease => 0.0,
            RequestPriority::ShardLeader | RequestPriority::JobBatch => 0.05,
            RequestPriority::User | RequestPriority::UserRead => 0.1,
            RequestPriority::MachineRecord => 0.2,
            RequestPriority::JobCompletion => 0.25,
            RequestPriority::LowRankSubmission => 0.3,
            RequestPriority::Housekeeping => 0.4,
        }
    }
}

/// Minimum intervals between the store requests that a controller repeats as long as it runs:
/// the watch, and the reads that answer users. They follow from the controller's share of the
/// rate, so that enough of the share is left for leases and writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollIntervals {
    /// From the end of a watch that returned events to the next one; at least 150 ms.
    pub watch: Duration,
    /// From one read for users to the next; at least 100 ms. Users who ask in between share the
    /// next read.
    pub user_read: Duration,
}

impl PollIntervals {
    /// Maximum fraction of the controller's rate that the watch takes, and that the reads for
    /// users take.
    pub const MAX_RATE_FRACTION: f64 = 0.3;

    /// Computes the intervals of a controller that may send `rps` requests per second.
    pub fn new(rps: f64) -> PollIntervals {
        let interval = Duration::from_secs_f64(1.0 / (rps * Self::MAX_RATE_FRACTION).max(0.1));
        PollIntervals {
            watch: interval.max(Duration::from_millis(150)),
            user_read: interval.max(Duration::from_millis(100)),
        }
    }
}

impl RequestPriority {
    /// How long a request of this priority waits for tokens before it fails; zero if it does
    /// not wait.
    pub fn max_wait(self) -> Duration {
        match self {
            RequestPriority::Lease
            | RequestPriority::ShardLeader
            | RequestPriority::MachineRecord => Duration::from_secs(3),
            RequestPriority::User | RequestPriority::LowRankSubmission => Duration::ZERO,
            RequestPriority::JobBatch => Duration::from_millis(600),
            // Users wait 2 s for their response.
            RequestPriority::UserRead => Duration::from_millis(900),
            RequestPriority::JobCompletion | RequestPriority::Housekeeping => {
                Duration::from_secs(1)
            }
        }
    }
}

/// Tokens reserved for a request that waits for them. Requests of the same priority and number
/// of writes share a reservation. Without reservations, requests that need one token would take
/// each as it is added, and a request that needs two would never get both.
#[derive(Debug, Clone, Copy)]
struct Reservation {
    priority: RequestPriority,
    /// Write tokens that the request needs, besides one request token.
    writes: f64,
    /// When the request first asked for tokens.
    since: Instant,
    /// When the reservation expires unless the request tries again.
    expires: Instant,
}

impl Reservation {
    /// How long a reservation is kept after the request was expected to try again. A request
    /// that has not done so by then has been given up.
    const RETRY_GRACE: Duration = Duration::from_millis(500);
    /// A request that has waited for this long precedes all others but leases and those that
    /// have waited longer, so that higher priorities do not starve it.
    const AGING_THRESHOLD: Duration = Duration::from_secs(2);

    /// Whether a request of `priority` that has waited since `since` must leave the reserved
    /// tokens.
    fn precedes(&self, priority: RequestPriority, since: Instant, now: Instant) -> bool {
        let aged = |at: Instant| now.saturating_duration_since(at) >= Self::AGING_THRESHOLD;
        match (priority, aged(self.since), aged(since)) {
            (RequestPriority::Lease, ..) => false,
            _ if self.priority == priority => false,
            (_, true, false) => true,
            (_, false, true) => false,
            (_, true, true) => self.since < since,
            (_, false, false) => self.priority < priority,
        }
    }
}

/// A token bucket. Its tokens may become negative: a debt that is paid off as it refills.
#[derive(Debug)]
struct Bucket {
    /// Tokens added per second.
    rate: f64,
    /// Maximum number of tokens.
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Creates a bucket that is three quarters full: a process that restarts often must not get
    /// a whole burst each time.
    fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self {
            rate,
            burst,
            tokens: (burst * 0.75).max(1.0),
            refilled_at: Instant::now(),
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_s = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.burst);
        self.refilled_at = now;
    }

    /// Time until `count` tokens can be taken, at most 60 s; `None` if they can be taken now. The
    /// larger of the fraction `reserved_fraction` of the bucket and `reserved_tokens`, for requests
    /// that come first, must remain. A request for more tokens than the bucket holds waits until
    /// it is full and leaves a debt: otherwise it would wait forever.
    fn time_until_available(
        &self,
        count: f64,
        reserved_fraction: f64,
        reserved_tokens: f64,
    ) -> Option<Duration> {
        let needed = (count + reserved_fraction * self.burst).min(self.burst);
        let needed = needed.max(count.min(self.burst) + reserved_tokens.min(self.burst));
        (self.tokens < needed)
            .then(|| Duration::from_secs_f64(((needed - self.tokens) / self.rate).min(60.0)))
    }
}

/// Limits the rate of requests, and of the writes that they contain.
#[derive(Debug)]
pub struct Budget {
    /// (requests, writes)
    buckets: Mutex<(Bucket, Bucket)>,
    reservations: Mutex<Vec<Reservation>>,
    short_of_writes: AtomicBool,
}

impl Budget {
    /// Creates a budget of `rps` requests and `write_rps` writes per second. A burst may contain
    /// as many as `burst_s` seconds allow.
    pub fn new(rps: f64, write_rps: f64, burst_s: f64) -> Self {
        Self {
            buckets: Mutex::new((
                Bucket::new(rps, rps * burst_s),
                Bucket::new(write_rps, write_rps * burst_s),
            )),
            reservations: Mutex::default(),
            short_of_writes: AtomicBool::new(false),
        }
    }

    /// Whether the last request that contains writes found too few tokens.
    pub fn is_short_of_writes(&self) -> bool {
        self.short_of_writes.load(Ordering::Relaxed)
    }

    /// Takes the write tokens beyond half of a full bucket, to give them to another controller.
    /// Returns their number. The total over all controllers is unchanged.
    pub fn take_spare_write_tokens(&self) -> u32 {
        let mut buckets = self.buckets.lock();
        buckets.1.refill(Instant::now());
        let spare = (buckets.1.tokens - buckets.1.burst / 2.0).floor().max(0.0);
        buckets.1.tokens -= spare;
        spare as u32
    }

    /// Adds write tokens that another controller gave away, up to a full bucket.
    pub fn add_write_tokens(&self, tokens: u32) {
        let mut buckets = self.buckets.lock();
        buckets.1.refill(Instant::now());
        buckets.1.tokens = (buckets.1.tokens + f64::from(tokens)).min(buckets.1.burst);
        self.short_of_writes.store(false, Ordering::Relaxed);
    }

    /// Maximum number of writes that a request should contain, so that it need not wait for a
    /// full bucket; at least 1.
    pub fn preferred_writes(&self) -> usize {
        (self.buckets.lock().1.burst * 0.7).max(1.0) as usize
    }

    /// Removes all tokens but one of each bucket.
    pub fn drain(&self) {
        let mut buckets = self.buckets.lock();
        buckets.0.tokens = buckets.0.tokens.min(1.0);
        buckets.1.tokens = buckets.1.tokens.min(1.0);
    }

    /// Takes the tokens of one request that contains `writes` writes.
    ///
    /// # Errors
    ///
    /// Returns the time after which there may be enough tokens. If the priority waits for
    /// tokens, they are reserved until shortly after that time.
    pub fn take(&self, priority: RequestPriority, writes: u32) -> Result<(), Duration> {
        self.take_at(Instant::now(), priority, writes)
    }

    /// Like [`Budget::take`], at a given time.
    ///
    /// # Errors
    ///
    /// Like [`Budget::take`].
    pub fn take_at(
        &self,
        now: Instant,
        priority: RequestPriority,
        writes: u32,
    ) -> Result<(), Duration> {
        let mut buckets = self.buckets.lock();
        buckets.0.refill(now);
        buckets.1.refill(now);
        let writes = f64::from(writes);
        let mut reservations = self.reservations.lock();
        reservations.retain(|r| r.expires > now);
        let own = reservations
            .iter()
            .position(|r| r.priority == priority && r.writes == writes);
        let since = own.map_or(now, |index| reservations[index].since);
        let preceding = reservations
            .iter()
            .filter(|r| r.precedes(priority, since, now));
        let (reserved_requests, reserved_writes) = preceding
            .fold((0.0, 0.0), |(requests, writes), r| {
                (requests + 1.0, writes + r.writes)
            });
        let reserved_fraction =
            if now.saturating_duration_since(since) >= Reservation::AGING_THRESHOLD {
                priority
                    .reserved_fraction()
                    .min(RequestPriority::ShardLeader.reserved_fraction())
            } else {
                priority.reserved_fraction()
            };
        let mut wait = buckets
            .0
            .time_until_available(1.0, reserved_fraction, reserved_requests);
        if writes > 0.0 {
            let needed = match priority {
                RequestPriority::Lease => 1.0,
                _ => writes,
            };
            wait = wait.max(buckets.1.time_until_available(
                needed,
                reserved_fraction,
                reserved_writes,
            ));
            self.short_of_writes
                .store(wait.is_some(), Ordering::Relaxed);
        }
        if let Some(index) = own {
            reservations.swap_remove(index);
        }
        if let Some(wait) = wait {
            if !priority.max_wait().is_zero() {
                reservations.push(Reservation {
                    priority,
                    writes,
                    since,
                    expires: now + wait.min(priority.max_wait()) + Reservation::RETRY_GRACE,
                });
            }
            return Err(wait);
        }
        buckets.0.tokens -= 1.0;
        buckets.1.tokens -= writes;
        Ok(())
    }
}
