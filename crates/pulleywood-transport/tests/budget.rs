//! Token buckets: request priorities, and the combined rate of all controllers.

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
        let full = Instant::now() + Duration::from_secs(10);
        let granted = (0..40)
            .take_while(|_| budget.take_at(full, priority, 1).is_ok())
            .count();
        assert_eq!(granted, expected, "{priority:?}");
    }
}

#[test]
fn a_call_larger_than_the_bucket_is_granted_and_charged() {
    // Otherwise a done batch of 16 writes would wait forever for a bucket of 7.5.
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
    assert!(granted <= 60 * 10 + 60, "{granted}");
}

#[test]
fn watches_and_users_never_starve_leases_leaders_or_done_batches() {
    // (requests and writes a second of the store, controllers). Watches always have events,
    // users ask and submit without a pause, and leaders renew leases, acquire shards and write
    // done batches at the same time.
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
        let (share, writes) = (
            rps / f64::from(controllers),
            write_rps / f64::from(controllers),
        );
        let poll_intervals = PollIntervals::new(share);
        let start = Instant::now();
        let budget = Budget::new(share, writes, 1.0);
        // (priority, writes, interval, next due, calls granted, longest wait), in ms
        let millis = |gap: Duration| gap.as_millis() as u64;
        let mut kinds = [
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
        .map(|(priority, call_writes, interval)| {
            (priority, call_writes, interval, 0u64, 0u64, 0u64)
        });
        let (mut requests, mut written) = (0, 0);
        for ms in 0..SECONDS * 1000 {
            let now = start + Duration::from_millis(ms);
            for (priority, call_writes, interval, due, granted, longest) in &mut kinds {
                if ms >= *due && budget.take_at(now, *priority, *call_writes).is_ok() {
                    *granted += 1;
                    *longest = (*longest).max(ms - *due);
                    *due = ms + *interval;
                    requests += 1;
                    written += *call_writes;
                }
            }
        }
        let name = format!("{rps} and {write_rps} over {controllers}");
        let limit = |rate: f64| rate * (SECONDS as f64 + 1.0) + 1.0;
        assert!(f64::from(requests) <= limit(share), "{name}: {requests}");
        assert!(f64::from(written) <= limit(writes), "{name}: {written}");
        // Bounds in ms: a renewal a small part of its lease; a leader's transaction the time
        // that its writes take of the share; a done batch two seconds more, after which it
        // comes before users; watches and questions one interval.
        let full = (1000.0 * 3.0 / writes) as u64;
        let bounds = [
            300,
            full.max(500),
            2000 + full,
            millis(poll_intervals.watch),
            millis(poll_intervals.user_read),
        ];
        for ((priority, call_writes, _, due, granted, longest), bound) in kinds.iter().zip(bounds) {
            assert!(*granted > 0, "{name}: no {priority:?}");
            let longest = (*longest).max((SECONDS * 1000).saturating_sub(*due));
            assert!(
                longest <= bound,
                "{name}: {priority:?} of {call_writes} waited {longest} ms"
            );
        }
    }
}
