//! Announcing a new fencing token to the machines of an acquired shard.

use crate::bounded_parallelism;
use crate::state::ControllerContext;
use pulleywood_protocol::worker::{DirectCommand, Heartbeat};
use pulleywood_protocol::{FencingToken, MachineId, ShardId};
use pulleywood_transport::cloud;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Largest number of machines to which the token is announced concurrently.
const MAX_CONCURRENT: usize = 3;
/// Longest wait for a worker's reply to one command.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1500);
/// The incarnation named in the first command; workers number theirs from this one.
const FIRST_INCARNATION: u64 = 1;

/// A machine to which the fencing token is announced.
pub struct Announcement {
    /// Id of the machine.
    pub machine: MachineId,
    /// Address of the machine's worker, as `host:port`.
    pub endpoint: String,
}

/// A worker's reply to an announcement.
enum Reply {
    /// The worker obeys the fencing token; this is its heartbeat.
    Accepted(Heartbeat),
    /// The command named another incarnation than the worker's, which is this one.
    WrongIncarnation(u64),
    /// The worker has seen this higher fencing token.
    HigherFencingToken(FencingToken),
    /// No usable reply.
    Ignored,
}

/// Sends each machine an empty direct command with the new fencing token, to a few machines
/// at a time. A worker replies with its heartbeat, and then sends heartbeats to this
/// controller by itself.
pub fn announce_fencing_token(
    context: &Arc<ControllerContext>,
    shard: ShardId,
    machines: Vec<Announcement>,
) {
    let context = Arc::clone(context);
    let announce = move |announcement: Announcement| {
        announce_to_machine(&context, shard, &announcement);
    };
    bounded_parallelism::spawn_bounded("announce", MAX_CONCURRENT, machines, announce);
}

fn announce_to_machine(context: &ControllerContext, shard: ShardId, announcement: &Announcement) {
    let machine = &announcement.machine;
    let Ok(address) = announcement.endpoint.parse() else {
        return;
    };
    // A worker refuses a command for another incarnation with status 409 and its heartbeat.
    // The second attempt names the incarnation in that heartbeat.
    let mut incarnation = FIRST_INCARNATION;
    for _ in 0..2 {
        let Some(fencing_token) = token_to_announce(context, shard, machine) else {
            return;
        };
        match send(context, address, machine, fencing_token, incarnation) {
            Reply::Accepted(heartbeat) => return apply_heartbeat(context, shard, &heartbeat),
            Reply::WrongIncarnation(current) => incarnation = current,
            Reply::HigherFencingToken(seen) => {
                let now = context.clock.now();
                let mut controller = context.controller.lock();
                return controller.note_higher_fencing_token(machine, seen, now);
            }
            Reply::Ignored => return,
        }
    }
}

/// The fencing token to announce to a machine; `None` if this controller no longer leads the
/// shard, or a heartbeat of the machine has confirmed the token already.
fn token_to_announce(
    context: &ControllerContext,
    shard: ShardId,
    machine: &MachineId,
) -> Option<FencingToken> {
    let now = context.clock.now();
    let controller = context.controller.lock();
    let led = controller.led_shards.get(&shard);
    let led = led.filter(|_| controller.may_act(now))?;
    let machine = led.state.machines.get(machine)?;
    (!machine.confirmed).then(|| machine.fencing_token(led.state.fencing_token))
}

fn send(
    context: &ControllerContext,
    address: SocketAddr,
    machine: &MachineId,
    fencing_token: FencingToken,
    incarnation: u64,
) -> Reply {
    let command = DirectCommand {
        fencing_token,
        incarnation,
        commands: Vec::new(),
    };
    match cloud::send_direct_command(address, &command, REPLY_TIMEOUT) {
        Ok((true, heartbeat)) if heartbeat.machine == *machine => Reply::Accepted(heartbeat),
        Ok((true, _)) => Reply::Ignored,
        Ok((false, heartbeat)) if heartbeat.incarnation != incarnation => {
            Reply::WrongIncarnation(heartbeat.incarnation)
        }
        Ok((false, heartbeat))
            if context.recovery.is_some() && heartbeat.fencing_token > fencing_token =>
        {
            Reply::HigherFencingToken(heartbeat.fencing_token)
        }
        Ok((false, _)) => Reply::Ignored,
        Err(e) => {
            log::debug!("failed to announce fencing token {fencing_token} to {machine}: {e}");
            Reply::Ignored
        }
    }
}

fn apply_heartbeat(context: &ControllerContext, shard: ShardId, heartbeat: &Heartbeat) {
    let now = context.clock.now();
    let mut controller = context.controller.lock();
    let config = Arc::clone(&controller.config);
    if let Some(led) = controller.led_shards.get_mut(&shard) {
        led.state.handle_heartbeat(heartbeat, true, now, &config);
    }
}
