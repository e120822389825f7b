//! Background requests to peers, the other controllers: digests, requests for write tokens,
//! and notices of cancellations.

use crate::state::ControllerContext;
use pulleywood_protocol::MemberId;
use pulleywood_protocol::peer::{PeerRequest, PeerResponse};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Time between two digests to one peer, jittered by 15 %.
const DIGEST_INTERVAL: Duration = Duration::from_millis(700);
/// Longest wait for a peer's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two requests for write tokens.
const BORROW_INTERVAL: Duration = Duration::from_millis(60);
/// Longest wait for a leader's response to a notice of cancellations.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(400);
/// Leaders are notified only if their last digest is younger than this.
const MAX_DIGEST_AGE: Duration = Duration::from_secs(4);

/// Sends digests to one peer, and applies its responses, which list the shards that it still
/// serves. Runs for the life of the process.
pub fn send_digests(context: &Arc<ControllerContext>, peer: &MemberId) {
    let Some(client) = context.peers.get(peer) else {
        return;
    };
    loop {
        std::thread::sleep(DIGEST_INTERVAL.mul_f64(0.85 + 0.3 * fastrand::f64()));
        let digest = PeerRequest::Digest(Box::new(context.digest()));
        let sent = context.clock.now();
        match client.call(&digest, RESPONSE_TIMEOUT) {
            Ok(PeerResponse::Serving(serving)) => {
                let now = context.clock.now();
                context
                    .controller
                    .lock()
                    .apply_served_shards(peer, sent, now, &serving);
            }
            Ok(_) => {}
            Err(e) => log::debug!("failed to send a digest to {peer}: {e}"),
        }
    }
}

/// Asks peers in turn for write tokens while this controller is short of them. Runs for the
/// life of the process.
///
/// Users' connections are not balanced by write tokens: refused users reconnect to the
/// controller with the fewest open connections, which is the one that refuses most, while
/// other controllers have unused tokens.
pub fn borrow_write_tokens(context: &Arc<ControllerContext>) {
    loop {
        for (peer_id, peer) in &context.peers {
            std::thread::sleep(BORROW_INTERVAL);
            if !context.store.budget().is_short_of_writes() {
                continue;
            }
            match peer.call(&PeerRequest::BorrowWriteTokens, RESPONSE_TIMEOUT) {
                // Tokens in a lost response are lost, so none is used twice.
                Ok(PeerResponse::WriteTokens(tokens)) => {
                    context.store.budget().add_write_tokens(tokens);
                }
                Ok(_) => {}
                Err(e) => log::debug!("failed to borrow write tokens from {peer_id}: {e}"),
            }
        }
        if context.peers.is_empty() {
            return;
        }
    }
}

/// Notifies the leaders of shards about jobs that are being cancelled, so that they suspend
/// launches. The watch delivers a cancellation some tenths of a second later, or not at all
/// while the store refuses the leader's requests. Best effort. Runs for the life of the
/// process.
pub fn notify_cancellations(context: &Arc<ControllerContext>) {
    loop {
        let jobs = context.cancellation_notices.take_all();
        for leader in live_leaders(context) {
            if let Some(peer) = context.peers.get(&leader)
                && let Err(e) = peer.call(
                    &PeerRequest::NoteCancellations(jobs.clone()),
                    NOTICE_TIMEOUT,
                )
            {
                log::debug!("failed to notify {leader} of cancelled jobs {jobs:?}: {e}");
            }
        }
    }
}

/// Returns the leaders of shards whose digests are fresh.
fn live_leaders(context: &ControllerContext) -> BTreeSet<MemberId> {
    let now = context.clock.now();
    let controller = context.controller.lock();
    let holders = controller.cached.shard_leaders.values();
    let members = holders.map(|holder| holder.value.member.clone());
    members
        .filter(|member| controller.has_recent_digest(member, now, MAX_DIGEST_AGE))
        .collect()
}
