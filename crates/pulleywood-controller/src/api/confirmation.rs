//! Decides whether a user may be told that a job is cancelled. From then on no task of the job
//! may start, so each controller that may launch its tasks must have suspended them, or must be
//! unable to launch on a state from before the cancellation.

use crate::state::ControllerContext;
use pulleywood_protocol::{JobId, MemberId, Revision};
use pulleywood_scheduler::launch_validity::time_until_launches_expire;
use std::collections::BTreeSet;
use std::time::Duration;

/// Longest wait of a user's request for the acknowledgements of other controllers.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(400);

/// The answer that a job is cancelled has to wait: another controller may launch its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unconfirmed {
    /// Time after which no controller can launch the job's tasks any more.
    pub retry_after: Duration,
}

/// Confirms that no controller launches tasks of a job, whose cancellation was committed at
/// this revision. Every answer that says that the job is cancelled needs this, not only the one
/// to the request that committed it.
///
/// # Errors
///
/// Returns [`Unconfirmed`] if a controller that may launch the job's tasks has not acknowledged
/// that it suspended them, and may have read the state service before the commit.
pub fn confirm_cancellation(
    context: &ControllerContext,
    id: &JobId,
    revision: Revision,
) -> Result<(), Unconfirmed> {
    let now = context.clock.now();
    let committed_by = {
        let mut controller = context.controller.lock();
        controller.commit_times.observe(revision, now)
    };
    if time_until_launches_expire(committed_by, now).is_none() {
        return Ok(());
    }
    context.suspend_launches(std::slice::from_ref(id));
    let requests = &context.suspension_requests;
    requests.request(id, committed_by, now);
    let acknowledged =
        requests.wait_for_acknowledgements(id, committed_by, ACKNOWLEDGEMENT_TIMEOUT);
    let mut evidence = Evidence::gather(context, id, revision, &acknowledged);
    if !evidence.is_sufficient() && !evidence.has_read_cancellation {
        // A failed read leaves the evidence as it is.
        let _ = context.linearizable_reads.wait_for_read();
        evidence = Evidence::gather(context, id, revision, &acknowledged);
    }
    if evidence.is_sufficient() {
        return Ok(());
    }
    match time_until_launches_expire(committed_by, context.clock.now()) {
        None => Ok(()),
        Some(retry_after) => {
            log::debug!(
                "withheld the confirmation that job {id} is cancelled for {} ms: {:?} may launch \
                 its tasks",
                retry_after.as_millis(),
                evidence.launchers
            );
            Err(Unconfirmed { retry_after })
        }
    }
}

/// What this controller knows of others that may launch tasks of a job.
struct Evidence {
    /// Leaders of shards that may run the job's tasks, as far as the cached state names them,
    /// other than this controller and those that acknowledged a suspension.
    launchers: BTreeSet<MemberId>,
    /// Whether all peers acknowledged a suspension.
    all_peers_acknowledged: bool,
    /// Whether the cached state contains the cancellation, and so names every leader that may
    /// have read the job as live. One that acquires its shard later reads it as cancelled, and a
    /// former one launches nothing, as its session lease has ended.
    has_read_cancellation: bool,
}

impl Evidence {
    fn gather(
        context: &ControllerContext,
        id: &JobId,
        revision: Revision,
        acknowledged: &BTreeSet<MemberId>,
    ) -> Self {
        let shards = context.suspension_requests.shards(id);
        let may_run = |shard| shards.as_ref().is_none_or(|shards| shards.contains(shard));
        let controller = context.controller.lock();
        let leaders = controller.cached.shard_leaders.iter();
        let launchers = leaders
            .filter(|(shard, _)| may_run(*shard))
            .map(|(_, holder)| &holder.value.member)
            .filter(|member| **member != context.controller_id && !acknowledged.contains(*member));
        Self {
            launchers: launchers.cloned().collect(),
            all_peers_acknowledged: acknowledged.len() == context.peers.len(),
            has_read_cancellation: controller.watch_reached(revision),
        }
    }

    /// Whether no controller can launch tasks of the job any more.
    fn is_sufficient(&self) -> bool {
        self.launchers.is_empty() && (self.all_peers_acknowledged || self.has_read_cancellation)
    }
}
