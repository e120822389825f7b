//! Token buckets for calls to the state service and the cloud.
//!
//! Each controller holds a share of the published rates, bursts included, so
//! that the sum over controllers stays within them whatever each one does.

use parking_lot::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Who asks; earlier ones may use tokens that later ones must leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Lease renewals and take-overs: whatever they need beyond one token is
    /// owed, since the parts of a restarted controller cannot wait.
    Lease,
    /// Other fences.
    Owner,
    /// Packs of submissions: two writes accept many.
    Pack,
    /// Users' requests.
    User,
    /// Machines' records, which launches wait for: a wave of new machines must
    /// not refuse the few users that come meanwhile.
    Record,
    /// Jobs that are done: their users ask for it some seconds later.
    Done,
    /// Users' submissions of work that others come before.
    Later,
    /// Everything that can wait.
    House,
}

impl Class {
    /// Share of the bucket that must remain after this class took its tokens.
    fn reserve(self) -> f64 {
        match self {
            Class::Lease => 0.0,
            Class::Owner | Class::Pack => 0.05,
            Class::User => 0.1,
            Class::Record => 0.2,
            Class::Done => 0.25,
            Class::Later => 0.3,
            Class::House => 0.4,
        }
    }
}

#[derive(Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    /// Starts three quarters full: a process that restarts often must not bring a whole
    /// burst with it each time.
    fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self {
            rate,
            burst,
            tokens: (burst * 0.75).max(1.0),
            filled: Instant::now(),
        }
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        self.filled = now;
    }

    /// Time until `n` tokens can be taken; none if they can be now. A call
    /// larger than the bucket waits until it is full and leaves a debt: if it
    /// had to wait for more than the bucket holds, it would wait for ever.
    fn lacks(&self, n: f64, reserve: f64) -> Option<Duration> {
        let need = (n + reserve * self.burst).min(self.burst);
        (self.tokens < need)
            .then(|| Duration::from_secs_f64(((need - self.tokens) / self.rate).min(60.0)))
    }
}

/// A budget of requests, and of writes among them.
#[derive(Debug)]
pub struct Budget {
    buckets: Mutex<(Bucket, Bucket)>,
    short: AtomicBool,
}

impl Budget {
    /// A share of `rps` requests and `write_rps` writes a second with bursts
    /// of `burst_s` seconds' worth.
    pub fn new(rps: f64, write_rps: f64, burst_s: f64) -> Self {
        Self {
            buckets: Mutex::new((
                Bucket::new(rps, rps * burst_s),
                Bucket::new(write_rps, write_rps * burst_s),
            )),
            short: AtomicBool::new(false),
        }
    }

    /// Whether the last call found too few tokens for its writes.
    pub fn is_short(&self) -> bool {
        self.short.load(Ordering::Relaxed)
    }

    /// Gives another controller up to half of a full bucket of write tokens,
    /// as far as there are more here than that. The sum over controllers stays
    /// what it was.
    pub fn lend_writes(&self) -> u32 {
        let mut both = self.buckets.lock();
        both.1.fill(Instant::now());
        let spare = (both.1.tokens - both.1.burst / 2.0).floor().max(0.0);
        both.1.tokens -= spare;
        spare as u32
    }

    /// Adds write tokens that another controller gave.
    pub fn add_writes(&self, tokens: u32) {
        let mut both = self.buckets.lock();
        both.1.fill(Instant::now());
        both.1.tokens = (both.1.tokens + f64::from(tokens)).min(both.1.burst);
        self.short.store(false, Ordering::Relaxed);
    }

    /// Most writes that one call should hold so that it need not wait for a
    /// full bucket.
    pub fn handy_writes(&self) -> usize {
        (self.buckets.lock().1.burst * 0.7).max(1.0) as usize
    }

    /// Leaves a single token of each kind.
    pub fn empty(&self) {
        let mut both = self.buckets.lock();
        both.0.tokens = both.0.tokens.min(1.0);
        both.1.tokens = both.1.tokens.min(1.0);
    }

    /// Takes one request with `writes` writes, or says how long to wait.
    pub fn take(&self, class: Class, writes: u32) -> Result<(), Duration> {
        self.take_at(Instant::now(), class, writes)
    }

    /// As [`Budget::take`], at a given time.
    pub fn take_at(&self, now: Instant, class: Class, writes: u32) -> Result<(), Duration> {
        let mut both = self.buckets.lock();
        both.0.fill(now);
        both.1.fill(now);
        let writes = f64::from(writes);
        let mut wait = both.0.lacks(1.0, class.reserve());
        if writes > 0.0 {
            let need = match class {
                Class::Lease => 1.0,
                _ => writes,
            };
            wait = wait.max(both.1.lacks(need, class.reserve()));
            self.short.store(wait.is_some(), Ordering::Relaxed);
        }
        if let Some(wait) = wait {
            return Err(wait);
        }
        both.0.tokens -= 1.0;
        both.1.tokens -= writes;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn classes_leave_tokens_to_those_before_them() {
        let cases = [
            (Class::House, 12),
            (Class::Later, 14),
            (Class::Done, 15),
            (Class::Record, 16),
            (Class::User, 18),
            (Class::Owner, 19),
            (Class::Lease, 20),
        ];
        for (class, expected) in cases {
            let budget = Budget::new(20.0, 20.0, 1.0);
            let full = Instant::now() + Duration::from_secs(10);
            let taken = (0..40)
                .take_while(|_| budget.take_at(full, class, 1).is_ok())
                .count();
            assert_eq!(taken, expected, "{class:?}");
        }
    }

    #[test]
    fn a_call_larger_than_the_bucket_is_served_and_paid_for() {
        // Done batches of 16 writes met a bucket of 7.5 and waited for ever: a
        // part's finished tasks were never committed.
        let start = Instant::now();
        let budget = Budget::new(60.0, 7.5, 1.0);
        let mut served = Vec::new();
        for ms in 0..20_000u64 {
            let now = start + Duration::from_millis(ms);
            if budget.take_at(now, Class::Owner, 16).is_ok() {
                served.push(ms);
            }
        }
        assert!((8..=10).contains(&served.len()), "{served:?}");
    }

    #[test]
    fn shares_of_all_controllers_stay_within_the_published_rate() {
        let start = Instant::now();
        let budgets: Vec<_> = (0..3).map(|_| Budget::new(20.0, 5.0, 1.0)).collect();
        let mut taken = 0;
        for ms in 0..10_000u64 {
            let now = start + Duration::from_millis(ms);
            for b in &budgets {
                taken += u32::from(b.take_at(now, Class::Lease, 0).is_ok());
            }
        }
        assert!(taken <= 60 * 10 + 60, "{taken}");
    }
}
