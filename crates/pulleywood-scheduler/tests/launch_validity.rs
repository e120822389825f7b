//! How long leaders may launch on what they have read, and what confirms a cancellation.

use pulleywood_protocol::time::remote_duration_lower_bound;
use pulleywood_protocol::{JobId, MonotonicTime, Revision};
use pulleywood_scheduler::launch_validity::{
    CommitTimes, LAUNCH_SUSPENSION, MAX_LAUNCH_CACHE_AGE, SuspendedJobs, acknowledgement_covers,
    launch_expiry_bound, may_launch_on_state_of, time_until_launches_expire,
};
use std::time::Duration;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(1_000_000 + ms)
}

#[test]
fn a_cancellation_counts_as_read_only_after_every_launch_on_older_state() {
    // The leader's clock may run slower than the one that waits. (milliseconds since the commit,
    // whether the leader launches on a state from just before it, whether the wait is over)
    let cases = [
        (0, true, false),
        (2999, true, false),
        (3000, false, false),
        (3252, false, false),
        (3253, false, true),
    ];
    for (ms, launches, is_over) in cases {
        assert_eq!(may_launch_on_state_of(at(0), at(ms)), launches, "{ms}");
        let remaining = time_until_launches_expire(at(0), at(ms));
        assert_eq!(remaining.is_none(), is_over, "{ms}: {remaining:?}");
    }
    assert!(
        remote_duration_lower_bound(launch_expiry_bound())
            >= MAX_LAUNCH_CACHE_AGE - Duration::from_millis(5)
    );
}

#[test]
fn only_a_suspension_requested_after_the_commit_outlasts_every_launch_on_older_state() {
    // Guards against launches after a confirmed cancellation by a leader that acknowledged a
    // suspension, was restarted, and read the job before the commit.
    for (requested, committed, covers) in
        [(0, 0, true), (1, 0, true), (5000, 0, true), (0, 1, false)]
    {
        assert_eq!(
            acknowledgement_covers(at(requested), at(committed)),
            covers,
            "{requested}, {committed}"
        );
    }
    assert!(remote_duration_lower_bound(LAUNCH_SUSPENSION) > launch_expiry_bound());
}

#[test]
fn the_commit_time_of_a_revision_is_the_first_observation_of_it_or_a_later_one() {
    let mut times = CommitTimes::default();
    // (observed at, revision, commit time that is known for it)
    let cases = [
        (0, 10, 0),
        (100, 10, 0),
        (200, 15, 200),
        (300, 12, 200),
        (400, 9, 0),
        (500, 16, 500),
        (9000, 11, 200),
        (9000, 16, 500),
        (9100, 17, 9100),
        // Observations that are older than every launch are dropped. A later one then counts,
        // which is never too early.
        (20_000, 3, 9100),
        (20_000, 17, 9100),
        (20_000, 18, 20_000),
    ];
    for (ms, revision, known) in cases {
        let committed_by = times.observe(Revision(revision), at(ms));
        let is_expired = |time| time_until_launches_expire(time, at(ms)).is_none();
        let is_dropped = committed_by > at(known) && is_expired(committed_by);
        assert!(
            committed_by == at(known) || is_dropped,
            "{revision} at {ms}: {committed_by:?}"
        );
    }
}

#[test]
fn the_longest_suspension_of_a_job_counts() {
    let id = JobId::parse("j-000001").unwrap();
    let mut suspended = SuspendedJobs::default();
    assert!(!suspended.contains(&id, at(0)));
    suspended.suspend(&id, at(6000), at(0));
    suspended.suspend(&id, at(3000), at(100));
    assert!(suspended.contains(&id, at(5999)));
    assert!(!suspended.contains(&id, at(6000)));
}
