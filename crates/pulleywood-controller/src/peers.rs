//! Background requests to peers, the other controllers: digests, requests for write tokens,
//! and requests to suspend launches of jobs that are being cancelled.

use crate::state::ControllerContext;
use pulleywood_protocol::MemberId;
use pulleywood_protocol::peer::{PeerRequest, PeerResponse};
use std::sync::Arc;
use std::time::Duration;

/// Time between two digests to one peer, jittered by 15 %.
const DIGEST_INTERVAL: Duration = Duration::from_millis(700);
/// Longest wait for a peer's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two requests for write tokens.
const BORROW_INTERVAL: Duration = Duration::from_millis(60);
/// Longest wait for a peer's response to a request to suspend launches.
const SUSPENSION_TIMEOUT: Duration = Duration::from_millis(400);

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
        let response = client.call(&digest, RESPONSE_TIMEOUT);
        context
            .suspension_requests
            .note_responsive(peer, response.is_ok());
        match response {
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

/// Asks one peer to suspend launches of jobs that are being cancelled, and reports its answers.
/// The watch delivers a cancellation some tenths of a second later, or not at all while the
/// store refuses the peer's requests. Runs for the life of the process.
pub fn request_suspensions(context: &Arc<ControllerContext>, peer: &MemberId) {
    let Some(client) = context.peers.get(peer) else {
        return;
    };
    let requests = &context.suspension_requests;
    loop {
        let (jobs, sent_at) = requests.take(peer, || context.clock.now());
        let request = PeerRequest::NoteCancellations(jobs.iter().cloned().collect());
        let response = client.call(&request, SUSPENSION_TIMEOUT);
        if let Err(e) = &response {
            log::debug!("failed to have {peer} suspend launches of cancelled jobs {jobs:?}: {e}");
        }
        let acknowledged = matches!(response, Ok(PeerResponse::Accepted));
        requests.finish(peer, &jobs, sent_at, acknowledged);
    }
}
