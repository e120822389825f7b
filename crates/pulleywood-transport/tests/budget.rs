//! Token buckets: what each request priority leaves to higher ones, and the total rate of all
//! controllers.

use pulleywood_transport::{Budget, PollIntervals, RequestPriority};
use std::time::{Duration, Instant};

#[test]
fn lower_priorities_leave_tokens_to_higher_ones() {
    let cases = [
        (RequestPriority::Housekeeping, 12),
        (RequestPriority::LowRankSubmission, 14),
        (RequestPriority::JobCompletion, 15),
        (RequestPriority::MachineRecord, 16),
        (RequestPriority::User, 18),
        (RequestPriority::ShardLeader, 19),
        (RequestPriority::Lease, 20),
    ];
    for (priority, expected) in cases {
        let budget = Budget::new(20.0, 20.0, 1.0);
        let when_full = Instant::now() + Duration::from_secs(10);
        let granted = (0..40)
            .take_while(|_| budget.take_at(when_full, priority, 1).is_ok())
            .count();
        assert_eq!(granted, expected, "{priority:?}");
    }
}

#[test]
fn a_call_larger_than_the_bucket_is_granted_and_charged() {
    // Guards against a batch of 16 writes that waits forever, because the bucket of a small share
    // of the rate never holds more than 7.5 tokens.
    let start = Instant::now();
    let budget = Budget::new(60.0, 7.5, 1.0);
    let mut granted = Vec::new();
    for ms in 0..20_000u64 {
        let now = start + Duration::from_millis(ms);
        if budget
            .take_at(now, RequestPriority::ShardLeader, 16)
            .is_ok()
        {
            granted.push(ms);
        }
    }
    assert!((8..=10).contains(&granted.len()), "{granted:?}");
}

#[test]
fn shares_of_all_controllers_stay_within_the_published_rate() {
    let start = Instant::now();
    let budgets: Vec<_> = (0..3).map(|_| Budget::new(20.0, 5.0, 1.0)).collect();
    let mut granted = 0;
    for ms in 0..10_000u64 {
        let now = start + Duration::from_millis(ms);
        for budget in &budgets {
            granted += u32::from(budget.take_at(now, RequestPriority::Lease, 0).is_ok());
        }
    }
    assert!(granted <= 60 * 10 + 60, "{granted} requests in 10 s");
}

#[test]
fn watches_and_users_never_starve_leases_leaders_or_completed_jobs() {
    // Watches always return events and users read and submit without pause, while leaders renew
    // leases, acquire shards and record completed jobs.
    // (requests per second of the store, writes per second, controllers)
    let cases = [
        (70.0, 25.0, 7),
        (70.0, 25.0, 1),
        (30.0, 10.0, 5),
        (150.0, 40.0, 3),
        (200.0, 25.0, 5),
        (600.0, 150.0, 3),
    ];
    const SECONDS: u64 = 60;
    for (rps, write_rps, controllers) in cases {
        let (request_share, write_share) = (
            rps / f64::from(controllers),
            write_rps / f64::from(controllers),
        );
        let poll_intervals = PollIntervals::new(request_share);
        let start = Instant::now();
        let budget = Budget::new(request_share, write_share, 1.0);
        // (priority, writes, interval, next due time, requests granted, longest wait); times in ms
        let millis = |interval: Duration| interval.as_millis() as u64;
        let mut request_kinds = [
            (RequestPriority::Lease, 0, 2000),
            (RequestPriority::ShardLeader, 2, 5000),
            (RequestPriority::JobCompletion, 2, 2000),
            (
                RequestPriority::ShardLeader,
                0,
                millis(poll_intervals.watch),
            ),
            (
                RequestPriority::UserRead,
                0,
                millis(poll_intervals.user_read),
            ),
            (RequestPriority::User, 1, 1),
        ]
        .map(|(priority, writes, interval)| (priority, writes, interval, 0u64, 0u64, 0u64));
        let (mut total_requests, mut total_writes) = (0, 0);
        for ms in 0..SECONDS * 1000 {
            let now = start + Duration::from_millis(ms);
            for (priority, writes, interval, due, granted, longest_wait) in &mut request_kinds {
                if ms >= *due && budget.take_at(now, *priority, *writes).is_ok() {
                    *granted += 1;
                    *longest_wait = (*longest_wait).max(ms - *due);
                    *due = ms + *interval;
                    total_requests += 1;
                    total_writes += *writes;
                }
            }
        }
        let case = format!(
            "{rps} requests/s and {write_rps} writes/s shared by {controllers} controllers"
        );
        let limit = |rate: f64| rate * (SECONDS as f64 + 1.0) + 1.0;
        assert!(
            f64::from(total_requests) <= limit(request_share),
            "{case}: {total_requests} requests"
        );
        assert!(
            f64::from(total_writes) <= limit(write_share),
            "{case}: {total_writes} writes"
        );
        // Bounds in ms. Lease renewal: a small part of the lease. Transaction of a shard leader:
        // the time in which the share allows its writes. Completed jobs: the same plus 2 s, after
        // which they have precedence over users. Watch and user reads: one interval.
        let refill_ms = (1000.0 * 3.0 / write_share) as u64;
        let bounds = [
            300,
            refill_ms.max(500),
            2000 + refill_ms,
            millis(poll_intervals.watch),
            millis(poll_intervals.user_read),
        ];
        for ((priority, writes, _, due, granted, longest_wait), bound) in
            request_kinds.iter().zip(bounds)
        {
            assert!(*granted > 0, "{case}: no request of {priority:?} granted");
            let longest_wait = (*longest_wait).max((SECONDS * 1000).saturating_sub(*due));
            assert!(
                longest_wait <= bound,
                "{case}: a request of {priority:?} with {writes} writes waited {longest_wait} ms"
            );
        }
    }
}
