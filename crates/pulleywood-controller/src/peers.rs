//! What this controller sends to its peers by itself: digests, requests for write tokens,
//! and notices of cancellations.

use crate::state::ControllerContext;
use pulleywood_protocol::MemberId;
use pulleywood_protocol::peer::{PeerRequest, PeerResponse};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Time between two digests to one peer, varied by 15 %.
const DIGEST_EVERY: Duration = Duration::from_millis(700);
/// Longest wait for a peer's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two requests for write tokens.
const BORROW_EVERY: Duration = Duration::from_millis(60);
/// Longest wait for a leader's response to a notice of cancellations.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(400);
/// Leaders not heard of for longer are not notified.
const FRESH_DIGEST: Duration = Duration::from_secs(4);

/// Sends digests to one peer; runs for the life of the process.
pub fn send_digests(context: &Arc<ControllerContext>, peer: &MemberId) {
    let Some(client) = context.peers.get(peer) else {
        return;
    };
    loop {
        std::thread::sleep(DIGEST_EVERY.mul_f64(0.85 + 0.3 * fastrand::f64()));
        let digest = PeerRequest::Digest(Box::new(context.digest()));
        let sent = context.clock.now();
        match client.ask(&digest, RESPONSE_TIMEOUT) {
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

/// Asks peers in turn for write tokens whenever there are too few here; runs for the life
/// of the process. Users' connections do not spread by tokens: those that were refused
/// come back to the controller with the fewest open ones, which is the one that refuses
/// most, while tokens lie unused elsewhere.
pub fn borrow_write_tokens(context: &Arc<ControllerContext>) {
    loop {
        for peer in context.peers.values() {
            std::thread::sleep(BORROW_EVERY);
            if !context.store.budget().is_short() {
                continue;
            }
            match peer.ask(&PeerRequest::BorrowWriteTokens, RESPONSE_TIMEOUT) {
                // Tokens are lost if the response is: never counted twice.
                Ok(PeerResponse::WriteTokens(n)) => context.store.budget().add_writes(n),
                Ok(_) => {}
                Err(e) => log::debug!("failed to borrow write tokens: {e}"),
            }
        }
        if context.peers.is_empty() {
            return;
        }
    }
}

/// Notifies leaders of jobs that are being cancelled, beside the transaction: the watch
/// brings it some tenths of a second later, or not at all if the store refuses them. Best
/// effort; runs for the life of the process.
pub fn notify_cancellations(context: &Arc<ControllerContext>) {
    loop {
        let jobs = context.cancellation_notices.take_all();
        for leader in fresh_leaders(context) {
            if let Some(peer) = context.peers.get(&leader)
                && let Err(e) = peer.ask(
                    &PeerRequest::NoteCancellations(jobs.clone()),
                    NOTICE_TIMEOUT,
                )
            {
                log::debug!("failed to notify {leader} of cancellations: {e}");
            }
        }
    }
}

/// Leaders of shards whose digests came lately.
fn fresh_leaders(context: &ControllerContext) -> BTreeSet<MemberId> {
    let now = context.clock.now();
    let controller = context.controller.lock();
    let holders = controller.cached.shard_leaders.values();
    let members = holders.map(|holder| holder.value.member.clone());
    members
        .filter(|member| controller.has_recent_digest(member, now, FRESH_DIGEST))
        .collect()
}
