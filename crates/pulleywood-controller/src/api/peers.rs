//! Handler of requests from other controllers.

use crate::shard::leader_requests;
use crate::state::ControllerContext;
use pulleywood_protocol::peer::{PeerRequest, PeerResponse};

/// Handles a request from another controller.
pub fn answer(context: &ControllerContext, request: PeerRequest) -> PeerResponse {
    match request {
        PeerRequest::Digest(digest) => {
            let now = context.clock.now();
            let mut controller = context.controller.lock();
            controller.put_digest(*digest, now);
            PeerResponse::Serving(controller.serving(now))
        }
        PeerRequest::NoteCancellations(jobs) => {
            context.suspend_launches(&jobs);
            PeerResponse::Accepted
        }
        PeerRequest::BorrowWriteTokens => {
            PeerResponse::WriteTokens(context.store.budget().take_spare_write_tokens())
        }
        PeerRequest::MoveMachines(..)
        | PeerRequest::DrainMachines(..)
        | PeerRequest::ReleaseMachines(..)
        | PeerRequest::TransferTasks(..)
        | PeerRequest::ShrinkQuota(..) => leader_requests::carry_out(context, request),
    }
}
