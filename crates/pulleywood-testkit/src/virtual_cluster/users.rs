//! Users of a virtual cluster who cancel jobs, some of them while a controller is isolated.

use super::VirtualCluster;
use super::worker::Worker;
use crate::history::Event;
use pulleywood_protocol::{JobId, MemberId, MonotonicTime, Revision};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time between two isolations, from the end of one to the start of the next.
const ISOLATION_PAUSE: Duration = Duration::from_secs(8);
/// Time between a user's requests until the cancellation is confirmed.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// When users are told that their jobs are cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirmation {
    /// Once no controller can launch tasks of the job any more, as in the product.
    WithEvidence,
    /// As soon as the cancellation is committed. This violates an invariant, which shows that the
    /// check of the history notices it.
    AtCommit,
}

/// A cancellation that is committed and of which its user has not heard.
pub(super) struct PendingCancellation {
    job: JobId,
    revision: Revision,
    next_request_at: MonotonicTime,
}

impl VirtualCluster {
    /// Isolates controllers one after the other, with cancellations before, during and after, until
    /// `end`.
    pub(super) fn run_with_isolations(&mut self, confirmation: Confirmation, end: MonotonicTime) {
        while self.now < end {
            let isolated = self.rng.usize(0..self.controllers.len());
            let isolation = Duration::from_secs_f64(1.0 + 14.0 * self.rng.f64());
            let from = self.now;
            self.controllers[isolated].isolated_until = from + isolation;
            let until = from + isolation + ISOLATION_PAUSE;
            let mut cancel_at = from + Duration::from_millis(self.rng.u64(0..4000));
            while self.now < until {
                self.run_until(self.now + super::STEP, &mut |_| {});
                if self.now >= cancel_at {
                    cancel_at = self.now + Duration::from_millis(self.rng.u64(200..4000));
                    self.cancel_running_job();
                }
                self.answer_users(confirmation);
            }
        }
    }

    /// Commits the cancellation of a job that runs, drawn at random, and has all connected controllers suspend its
    /// launches, as the controller does that the user asked.
    fn cancel_running_job(&mut self) {
        let now = self.now;
        let is_any_connected = self.controllers.iter().any(|c| c.is_connected(now));
        if !self.store.is_available(now) || !is_any_connected {
            return;
        }
        let running: BTreeSet<JobId> = self.workers.iter().flat_map(Worker::running_jobs).collect();
        let live = running.into_iter().filter(|job| self.store.is_live(job));
        let live: Vec<JobId> = live.collect();
        let Some(job) = live.get(self.rng.usize(0..live.len().max(1))).cloned() else {
            return;
        };
        self.events
            .push(Event::CancellationRequested { job: job.clone() });
        self.suspend_launches(&job);
        self.store.cancel_job(&job);
        self.pending_cancellations.push(PendingCancellation {
            job,
            revision: Revision(self.store.revision),
            next_request_at: now,
        });
    }

    /// Has all connected controllers suspend launches of a job, and returns which ones do.
    fn suspend_launches(&mut self, job: &JobId) -> BTreeSet<MemberId> {
        let now = self.now;
        let connected = self.controllers.iter_mut().filter(|c| c.is_connected(now));
        connected
            .map(|controller| {
                controller.suspend_launches(job, now);
                controller.name()
            })
            .collect()
    }

    /// Lets users repeat their cancellations, each at a random connected controller. Tasks that
    /// were launched in this step start first.
    fn answer_users(&mut self, confirmation: Confirmation) {
        let now = self.now;
        for worker in &mut self.workers {
            worker.advance_to(now, &mut self.events);
        }
        for mut pending in std::mem::take(&mut self.pending_cancellations) {
            if now < pending.next_request_at || !self.is_confirmed(&pending, confirmation) {
                if now >= pending.next_request_at {
                    pending.next_request_at = now + RETRY_INTERVAL;
                }
                self.pending_cancellations.push(pending);
                continue;
            }
            self.events.push(Event::Cancelled {
                at_ms: now.0,
                job: pending.job,
            });
        }
    }

    fn is_confirmed(&mut self, pending: &PendingCancellation, confirmation: Confirmation) -> bool {
        if confirmation == Confirmation::AtCommit {
            return true;
        }
        let now = self.now;
        let acknowledged = self.suspend_launches(&pending.job);
        let connected = self.controllers.iter_mut().filter(|c| c.is_connected(now));
        let mut connected: Vec<_> = connected.collect();
        if connected.is_empty() {
            return false;
        }
        let asked = self.rng.usize(0..connected.len());
        connected[asked].confirms_cancellation(
            pending.revision,
            &acknowledged,
            &self.store,
            &self.config,
            now,
        )
    }
}
