//! Requests of the coordinator to the leaders of shards.

use crate::shard::leader_requests;
use crate::state::ControllerContext;
use parking_lot::Mutex;
use pulleywood_protocol::peer::{Demand, PeerRequest};
use pulleywood_protocol::{MachineId, MonotonicTime, ShardId};
use pulleywood_scheduler::fleet::Action;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a leader's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Stack of the thread that asks one leader, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// The requests to one shard's leader in a round.
#[derive(Default)]
struct LeaderRequests {
    moves: BTreeMap<ShardId, Vec<MachineId>>,
    transfers: Vec<(ShardId, Box<Demand>)>,
    machines_to_drain: Vec<MachineId>,
    machines_to_release: Vec<MachineId>,
}

/// Sends a request to the leader of a shard, which may be this controller.
pub fn ask_leader(context: &Arc<ControllerContext>, shard: ShardId, request: PeerRequest) {
    let leader = {
        let controller = context.controller.lock();
        let holder = controller.cached.shard_leaders.get(&shard);
        holder.map(|holder| holder.value.member.clone())
    };
    let Some(leader) = leader else { return };
    if leader == context.controller_id {
        leader_requests::carry_out(context, request);
        return;
    }
    if let Some(peer) = context.peers.get(&leader)
        && let Err(e) = peer.call(&request, RESPONSE_TIMEOUT)
    {
        log::debug!(
            "failed to send a {} request to {leader}, the leader of shard {shard}, or to receive \
             its response: {e}",
            request_kind(&request)
        );
    }
}

fn request_kind(request: &PeerRequest) -> &'static str {
    match request {
        PeerRequest::Digest(_) => "digest",
        PeerRequest::MoveMachines(..) => "machine move",
        PeerRequest::DrainMachines(_) => "machine drain",
        PeerRequest::ReleaseMachines(_) => "machine release",
        PeerRequest::TransferTasks(..) => "task transfer",
        PeerRequest::ShrinkQuota(..) => "quota reduction",
        PeerRequest::NoteCancellations(_) => "cancellation notice",
        PeerRequest::BorrowWriteTokens => "write token",
    }
}

/// Sends the actions to shards' leaders until the end of the round: to all leaders
/// concurrently, and to each one in order. Leaders may wait for store tokens, and fleet
/// decisions must not wait for them; the next round decides again about requests that were
/// not sent. Returns the machines whose move was not requested.
pub fn ask_leaders(
    context: &Arc<ControllerContext>,
    actions: Vec<Action>,
    deadline: MonotonicTime,
) -> Vec<MachineId> {
    let unmoved = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for (shard, requests) in group_by_shard(actions) {
            let unmoved = &unmoved;
            let run = move || requests.send(context, shard, deadline, unmoved);
            let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
            if let Err(e) = thread.spawn_scoped(scope, run) {
                log::error!(
                    "failed to start the thread for requests to the leader of shard {shard}: {e}"
                );
            }
        }
    });
    unmoved.into_inner()
}

fn group_by_shard(actions: Vec<Action>) -> BTreeMap<ShardId, LeaderRequests> {
    let mut by_shard: BTreeMap<ShardId, LeaderRequests> = BTreeMap::new();
    for action in actions {
        match action {
            Action::Move(id, shard, to) => by_shard
                .entry(shard)
                .or_default()
                .moves
                .entry(to)
                .or_default()
                .push(id),
            Action::Transfer(shard, to, demand) => by_shard
                .entry(shard)
                .or_default()
                .transfers
                .push((to, demand)),
            Action::Drain(shard, machines) => by_shard
                .entry(shard)
                .or_default()
                .machines_to_drain
                .extend(machines),
            Action::ScaleIn(id, shard) => by_shard
                .entry(shard)
                .or_default()
                .machines_to_release
                .push(id),
            Action::ScaleOut(..) | Action::ReleaseDead(..) => {}
        }
    }
    by_shard
}

impl LeaderRequests {
    fn send(
        self,
        context: &Arc<ControllerContext>,
        shard: ShardId,
        deadline: MonotonicTime,
        unmoved: &Mutex<Vec<MachineId>>,
    ) {
        let is_late = || context.clock.now() >= deadline;
        for (to, machines) in self.moves {
            log::debug!("decided to move {machines:?} from shard {shard} to {to}");
            if is_late() {
                unmoved.lock().extend(machines);
            } else {
                ask_leader(context, shard, PeerRequest::MoveMachines(machines, to));
            }
        }
        for (to, demand) in self.transfers.into_iter().take_while(|_| !is_late()) {
            let tasks = demand.count;
            log::debug!("decided to transfer {tasks} tasks from shard {shard} to {to}");
            ask_leader(
                context,
                shard,
                PeerRequest::TransferTasks(shard, to, demand),
            );
        }
        if !self.machines_to_drain.is_empty() && !is_late() {
            ask_leader(
                context,
                shard,
                PeerRequest::DrainMachines(self.machines_to_drain),
            );
        }
        if !self.machines_to_release.is_empty() && !is_late() {
            log::debug!(
                "decided to release {:?} of shard {shard}",
                self.machines_to_release
            );
            ask_leader(
                context,
                shard,
                PeerRequest::ReleaseMachines(self.machines_to_release),
            );
        }
    }
}
