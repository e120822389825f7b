//! How long a leader may launch tasks on what it has read, and from when on users may be told
//! that a job is cancelled.
//!
//! A leader launches only while its cached state is younger than [`MAX_LAUNCH_CACHE_AGE`]. So a
//! leader that has not read a cancellation stops launching the job's tasks
//! [`launch_expiry_bound`] after the commit at the latest, even if it is out of contact. Before
//! that, a user is told that the job is cancelled only if every leader that may launch its tasks
//! has acknowledged that it suspended them.

use pulleywood_protocol::time::remote_duration_upper_bound;
use pulleywood_protocol::{JobId, MonotonicTime, Revision};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Tasks are launched only while the cached state is younger than this.
pub const MAX_LAUNCH_CACHE_AGE: Duration = Duration::from_secs(3);

/// How long a leader launches no task of a job after a peer asked it to. When the suspension
/// ends, the leader has read every change that was committed before the request, or launches
/// nothing.
pub const LAUNCH_SUSPENSION: Duration = Duration::from_secs(6);

/// Whether a cached state that contains every change committed before `current_as_of` is fresh
/// enough to launch tasks.
pub fn may_launch_on_state_of(current_as_of: MonotonicTime, now: MonotonicTime) -> bool {
    now.since(current_as_of) < MAX_LAUNCH_CACHE_AGE
}

/// Time, on this host's clock, after which no other host launches on a cached state that lacks
/// a change committed before.
pub fn launch_expiry_bound() -> Duration {
    remote_duration_upper_bound(MAX_LAUNCH_CACHE_AGE)
}

/// How long it takes until no host launches any more on a cached state that lacks a change that
/// was committed by `committed_by`; `None` if none does already.
pub fn time_until_launches_expire(
    committed_by: MonotonicTime,
    now: MonotonicTime,
) -> Option<Duration> {
    let remaining = (committed_by + launch_expiry_bound()).since(now);
    (!remaining.is_zero()).then_some(remaining)
}

/// Whether the acknowledgement of a request sent at `requested_at` covers a cancellation that
/// was committed by `committed_by`. One of an earlier request does not: the peer may have been
/// restarted since, and its new process may have read the job before the commit.
pub fn acknowledgement_covers(requested_at: MonotonicTime, committed_by: MonotonicTime) -> bool {
    requested_at >= committed_by
}

/// By when revisions of the state service were committed, on this host's clock. It remembers as
/// many observations as are needed to tell the times of the last [`launch_expiry_bound`].
#[derive(Debug, Default)]
pub struct CommitTimes {
    /// Observed revisions and when each was observed, both ascending.
    observed: VecDeque<(Revision, MonotonicTime)>,
}

impl CommitTimes {
    /// Notes that a revision has been committed, as a response that arrived by `now` showed.
    /// Returns the earliest time by which the revision is known to have been committed.
    pub fn observe(&mut self, revision: Revision, now: MonotonicTime) -> MonotonicTime {
        self.forget_expired(now);
        let index = self
            .observed
            .partition_point(|(observed, _)| *observed < revision);
        match self.observed.get(index) {
            Some((_, observed_at)) => *observed_at,
            None => {
                self.observed.push_back((revision, now));
                now
            }
        }
    }

    /// Drops observations from before the last one that is older than the bound, which covers
    /// all of their revisions.
    fn forget_expired(&mut self, now: MonotonicTime) {
        while let Some((_, next_observed_at)) = self.observed.get(1)
            && time_until_launches_expire(*next_observed_at, now).is_none()
        {
            self.observed.pop_front();
        }
    }
}

/// Jobs of which no task is launched for a while, because their users are cancelling them. Only
/// a job's record tells whether the cancellation succeeded. The jobs need not be known yet: a
/// record from before the cancellation may arrive later.
#[derive(Debug, Clone, Default)]
pub struct SuspendedJobs {
    until: BTreeMap<JobId, MonotonicTime>,
}

impl SuspendedJobs {
    /// Suspends launches of a job until a time, unless they are suspended for longer already.
    pub fn suspend(&mut self, id: &JobId, until: MonotonicTime, now: MonotonicTime) {
        self.until.retain(|_, end| now < *end);
        let end = self.until.entry(id.clone()).or_default();
        *end = (*end).max(until);
    }

    /// Whether launches of the job are suspended.
    pub fn contains(&self, id: &JobId, now: MonotonicTime) -> bool {
        self.until.get(id).is_some_and(|until| now < *until)
    }
}
