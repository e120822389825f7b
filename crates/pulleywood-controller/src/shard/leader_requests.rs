//! Requests of the coordinator to the leader of a shard. They come from this controller's own
//! coordinator thread or from a peer.

use super::RequestOutcome;
use super::quota::shrink_quota;
use super::release_machines::{Destination, release_machines};
use super::transfers::transfer_tasks;
use crate::state::ControllerContext;
use pulleywood_protocol::MachineId;
use pulleywood_protocol::peer::{PeerRequest, PeerResponse};
use std::time::Duration;

/// Time for which a request drains a machine. The coordinator repeats the request about
/// once a second.
const DRAIN_DURATION: Duration = Duration::from_secs(4);

/// Carries out a request to the leader of a shard. Requests that address a controller rather
/// than a leader are refused.
pub fn carry_out(context: &ControllerContext, request: PeerRequest) -> PeerResponse {
    let outcome = match request {
        PeerRequest::MoveMachines(machines, to) => {
            release_machines(context, &machines, Destination::Shard(to))
        }
        PeerRequest::DrainMachines(machines) => drain_machines(context, &machines),
        PeerRequest::ReleaseMachines(machines) => {
            release_machines(context, &machines, Destination::Cloud)
        }
        PeerRequest::TransferTasks(from, to, demand) => transfer_tasks(context, from, to, &demand),
        PeerRequest::ShrinkQuota(shard, limits) => shrink_quota(context, shard, &limits),
        PeerRequest::Digest(_)
        | PeerRequest::NoteCancellations(_)
        | PeerRequest::BorrowWriteTokens => RequestOutcome::Refused,
    };
    match outcome {
        RequestOutcome::Accepted => PeerResponse::Accepted,
        RequestOutcome::Refused => PeerResponse::Refused,
    }
}

/// Stops launches on these machines for [`DRAIN_DURATION`].
fn drain_machines(context: &ControllerContext, machines: &[MachineId]) -> RequestOutcome {
    let until = context.clock.now() + DRAIN_DURATION;
    for led in context.controller.lock().led_shards.values_mut() {
        led.state.drain(machines, until);
    }
    RequestOutcome::Accepted
}
