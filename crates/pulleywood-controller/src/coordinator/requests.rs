//! The coordinator's requests to the leaders of shards.

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

/// What is asked of one shard's leader in a round.
#[derive(Default)]
struct LeaderRequests {
    moves: BTreeMap<ShardId, Vec<MachineId>>,
    transfers: Vec<(ShardId, Box<Demand>)>,
    drained: Vec<MachineId>,
    scaled_in: Vec<MachineId>,
}

/// Asks the leader of a shard, which may be this controller.
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
        && let Err(e) = peer.ask(&request, RESPONSE_TIMEOUT)
    {
        log::debug!("failed to ask {leader}, the leader of shard {shard}: {e}");
    }
}

/// Asks shards' leaders, all at once and each in order, until the round is over: they
/// wait for tokens, and the fleet must not wait for them. What is left is decided anew in
/// the next round. Returns machines that were to be moved and were not.
pub fn ask_leaders(
    context: &Arc<ControllerContext>,
    actions: Vec<Action>,
    until: MonotonicTime,
) -> Vec<MachineId> {
    let not_moved = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for (shard, requests) in group_by_shard(actions) {
            let not_moved = &not_moved;
            let run = move || requests.send(context, shard, until, not_moved);
            let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
            if let Err(e) = thread.spawn_scoped(scope, run) {
                log::error!("failed to start a thread: {e}");
            }
        }
    });
    not_moved.into_inner()
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
            Action::Transfer(shard, to, like) => by_shard
                .entry(shard)
                .or_default()
                .transfers
                .push((to, like)),
            Action::Drain(shard, machines) => {
                by_shard.entry(shard).or_default().drained.extend(machines)
            }
            Action::ScaleIn(id, shard) => by_shard.entry(shard).or_default().scaled_in.push(id),
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
        until: MonotonicTime,
        not_moved: &Mutex<Vec<MachineId>>,
    ) {
        let late = || context.clock.now() >= until;
        for (to, machines) in self.moves {
            log::debug!("decided to move {machines:?} from shard {shard} to {to}");
            if late() {
                not_moved.lock().extend(machines);
            } else {
                ask_leader(context, shard, PeerRequest::MoveMachines(machines, to));
            }
        }
        for (to, like) in self.transfers.into_iter().take_while(|_| !late()) {
            let tasks = like.count;
            log::debug!("decided to transfer {tasks} tasks from shard {shard} to {to}");
            ask_leader(context, shard, PeerRequest::TransferTasks(shard, to, like));
        }
        if !self.drained.is_empty() && !late() {
            ask_leader(context, shard, PeerRequest::DrainMachines(self.drained));
        }
        if !self.scaled_in.is_empty() && !late() {
            log::debug!("decided to release {:?} of shard {shard}", self.scaled_in);
            ask_leader(context, shard, PeerRequest::ReleaseMachines(self.scaled_in));
        }
    }
}
