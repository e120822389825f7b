//! Requests to the other controllers to suspend launches of jobs that are being cancelled, and
//! their acknowledgements. One thread per peer sends the requests; handlers of users' requests
//! wait for the answers.

use parking_lot::{Condvar, Mutex};
use pulleywood_protocol::{JobId, MemberId, MonotonicTime, ShardId};
use pulleywood_scheduler::launch_validity::{acknowledgement_covers, launch_expiry_bound};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Maximum number of jobs with requests. Cancellations of further jobs are confirmed once no
/// controller can launch their tasks any more.
const MAX_JOBS: usize = 4096;

/// Requests to suspend launches, by job, and which peers acknowledged them.
pub struct SuspensionRequests {
    state: Mutex<State>,
    request_waiting: Condvar,
    answered: Condvar,
}

struct State {
    peers: BTreeMap<MemberId, Peer>,
    jobs: BTreeMap<JobId, JobRequests>,
}

/// What is known of a peer.
struct Peer {
    /// Jobs whose requests are to be sent.
    unsent: BTreeSet<JobId>,
    /// Whether the last message to the peer was answered. Nobody waits for one that does not
    /// answer.
    is_responsive: bool,
}

/// The requests for one job.
struct JobRequests {
    /// When the job was last asked about. The entry is dropped some time later.
    used_at: MonotonicTime,
    /// Shards that ran the job's tasks when it was cancelled; `None` if not known here.
    shards: Option<BTreeSet<ShardId>>,
    by_peer: BTreeMap<MemberId, RequestState>,
}

/// State of the last request to one peer for one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    Unsent,
    Sent(MonotonicTime),
    /// The peer acknowledged a request that was sent at this time.
    Acknowledged(MonotonicTime),
    Failed,
}

impl RequestState {
    /// Whether the peer launches no task of the job until it has read a cancellation that was
    /// committed by `committed_by`.
    fn is_suspended(self, committed_by: MonotonicTime) -> bool {
        matches!(self, Self::Acknowledged(sent_at) if acknowledgement_covers(sent_at, committed_by))
    }

    /// Whether the request is under way, and its acknowledgement will cover the cancellation.
    fn is_pending(self, committed_by: MonotonicTime) -> bool {
        match self {
            Self::Unsent => true,
            Self::Sent(sent_at) => acknowledgement_covers(sent_at, committed_by),
            Self::Acknowledged(_) | Self::Failed => false,
        }
    }
}

impl SuspensionRequests {
    /// Creates the requests of a controller with these peers.
    pub fn new(peers: impl IntoIterator<Item = MemberId>) -> Self {
        let peers = peers.into_iter().map(|id| {
            let peer = Peer {
                unsent: BTreeSet::new(),
                is_responsive: true,
            };
            (id, peer)
        });
        Self {
            state: Mutex::new(State {
                peers: peers.collect(),
                jobs: BTreeMap::new(),
            }),
            request_waiting: Condvar::new(),
            answered: Condvar::new(),
        }
    }

    /// Has all peers asked to suspend launches of a job, except those whose acknowledgement
    /// covers a cancellation committed by `committed_by`. Does not wait. Before the commit,
    /// `committed_by` is the current time: launches stop early, and the peers are asked again
    /// afterwards.
    pub fn request(&self, id: &JobId, committed_by: MonotonicTime, now: MonotonicTime) {
        if self.state.lock().request(id, committed_by, now) {
            self.request_waiting.notify_all();
        }
    }

    /// Notes which shards ran the tasks of a job when it was cancelled.
    pub fn note_shards(&self, id: &JobId, shards: BTreeSet<ShardId>) {
        if let Some(job) = self.state.lock().jobs.get_mut(id) {
            job.shards = Some(shards);
        }
    }

    /// Shards that ran the tasks of a job when it was cancelled; `None` if not known here.
    pub fn shards(&self, id: &JobId) -> Option<BTreeSet<ShardId>> {
        self.state.lock().jobs.get(id)?.shards.clone()
    }

    /// Waits for the answers of all responsive peers to the requests for a job. Returns the
    /// peers that launch no task of it until they have read a cancellation that was committed by
    /// `committed_by`.
    pub fn wait_for_acknowledgements(
        &self,
        id: &JobId,
        committed_by: MonotonicTime,
        timeout: Duration,
    ) -> BTreeSet<MemberId> {
        let deadline = Instant::now() + timeout;
        let mut state = self.state.lock();
        while state.awaits_answer(id, committed_by) {
            if self.answered.wait_until(&mut state, deadline).timed_out() {
                break;
            }
        }
        state.acknowledged_by(id, committed_by)
    }

    /// Waits until there are requests for a peer, and takes them as sent at the time that `now`
    /// returns.
    pub fn take(
        &self,
        peer: &MemberId,
        now: impl Fn() -> MonotonicTime,
    ) -> (BTreeSet<JobId>, MonotonicTime) {
        let mut state = self.state.lock();
        loop {
            let taken = state.take_unsent(peer);
            if !taken.is_empty() {
                let sent_at = now();
                for id in &taken {
                    state.replace(peer, id, RequestState::Unsent, RequestState::Sent(sent_at));
                }
                return (taken, sent_at);
            }
            self.request_waiting.wait(&mut state);
        }
    }

    /// Reports whether a peer acknowledged the requests for these jobs, sent at `sent_at`.
    pub fn finish(
        &self,
        peer: &MemberId,
        jobs: &BTreeSet<JobId>,
        sent_at: MonotonicTime,
        acknowledged: bool,
    ) {
        let mut state = self.state.lock();
        let answer = if acknowledged {
            RequestState::Acknowledged(sent_at)
        } else {
            RequestState::Failed
        };
        for id in jobs {
            state.replace(peer, id, RequestState::Sent(sent_at), answer);
        }
        state.set_responsive(peer, acknowledged);
        drop(state);
        self.answered.notify_all();
    }

    /// Notes whether a peer answered a message of another kind.
    pub fn note_responsive(&self, peer: &MemberId, is_responsive: bool) {
        self.state.lock().set_responsive(peer, is_responsive);
        self.answered.notify_all();
    }
}

impl State {
    /// Adds requests to the peers that need one. Returns whether there are any.
    fn request(&mut self, id: &JobId, committed_by: MonotonicTime, now: MonotonicTime) -> bool {
        let retention = 2 * launch_expiry_bound();
        self.jobs
            .retain(|other, job| other == id || now.since(job.used_at) < retention);
        if self.jobs.len() >= MAX_JOBS && !self.jobs.contains_key(id) {
            return false;
        }
        let job = self.jobs.entry(id.clone()).or_insert_with(|| JobRequests {
            used_at: now,
            shards: None,
            by_peer: BTreeMap::new(),
        });
        job.used_at = now;
        let mut any = false;
        for (member, peer) in &mut self.peers {
            let known = job.by_peer.get(member);
            let is_needed = known.is_none_or(|known| {
                !known.is_suspended(committed_by) && !known.is_pending(committed_by)
            });
            if is_needed {
                job.by_peer.insert(member.clone(), RequestState::Unsent);
                peer.unsent.insert(id.clone());
                any = true;
            }
        }
        any
    }

    /// Whether the answer of a responsive peer is still expected.
    fn awaits_answer(&self, id: &JobId, committed_by: MonotonicTime) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let mut pending = job
            .by_peer
            .iter()
            .filter(|(_, request)| request.is_pending(committed_by));
        pending.any(|(member, _)| {
            let peer = self.peers.get(member);
            peer.is_some_and(|peer| peer.is_responsive)
        })
    }

    fn acknowledged_by(&self, id: &JobId, committed_by: MonotonicTime) -> BTreeSet<MemberId> {
        let requests = self.jobs.get(id).into_iter().flat_map(|job| &job.by_peer);
        requests
            .filter(|(_, request)| request.is_suspended(committed_by))
            .map(|(member, _)| member.clone())
            .collect()
    }

    fn take_unsent(&mut self, peer: &MemberId) -> BTreeSet<JobId> {
        let peer = self.peers.get_mut(peer);
        peer.map(|peer| std::mem::take(&mut peer.unsent))
            .unwrap_or_default()
    }

    /// Replaces the state of a request, unless it has changed since: the answer to an earlier
    /// request says nothing about a later one.
    fn replace(&mut self, peer: &MemberId, id: &JobId, from: RequestState, to: RequestState) {
        let job = self.jobs.get_mut(id);
        if let Some(request) = job.and_then(|job| job.by_peer.get_mut(peer))
            && *request == from
        {
            *request = to;
        }
    }

    fn set_responsive(&mut self, peer: &MemberId, is_responsive: bool) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.is_responsive = is_responsive;
        }
    }
}

#[cfg(test)]
mod tests;
