//! Announcing a new fencing token to the machines of a shard.

use crate::bounded_parallelism;
use crate::state::ControllerContext;
use pulleywood_protocol::worker::{DirectCommand, Heartbeat};
use pulleywood_protocol::{FencingToken, MachineId, ShardId};
use pulleywood_transport::cloud;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Machines announced to at a time.
const AT_ONCE: usize = 3;
/// Longest wait for a worker's reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1500);
/// The incarnation named first; workers count theirs from here.
const FIRST_INCARNATION: u64 = 1;

/// A machine to announce the fencing token to.
pub struct Announcement {
    /// The machine.
    pub machine: MachineId,
    /// Address of its worker.
    pub endpoint: String,
}

/// What a worker's reply to an announcement means.
enum Reply {
    /// It obeys the fencing token; this is its heartbeat.
    Accepted(Heartbeat),
    /// It wants its present incarnation named.
    WrongIncarnation(u64),
    /// It has seen a higher fencing token.
    HigherFencingToken(FencingToken),
    /// Nothing follows from it.
    Ignored,
}

/// Sends each machine the new fencing token by an empty direct command, a few at a time:
/// its reply is its heartbeat, and it then sends heartbeats by itself.
pub fn announce_fencing_token(
    context: &Arc<ControllerContext>,
    shard: ShardId,
    machines: Vec<Announcement>,
) {
    let context = Arc::clone(context);
    let work = move |machine: Announcement| announce_to_machine(&context, shard, &machine);
    bounded_parallelism::spawn_bounded("announce", AT_ONCE, machines, work);
}

fn announce_to_machine(context: &ControllerContext, shard: ShardId, announcement: &Announcement) {
    let machine = &announcement.machine;
    let Ok(address) = announcement.endpoint.parse() else {
        return;
    };
    // A wrong incarnation is answered with 409 and the heartbeat, whose incarnation then
    // lets the second try through.
    let mut incarnation = FIRST_INCARNATION;
    for _ in 0..2 {
        let Some(fencing_token) = token_to_announce(context, shard, machine) else {
            return;
        };
        match send(context, address, machine, fencing_token, incarnation) {
            Reply::Accepted(heartbeat) => return apply_heartbeat(context, shard, &heartbeat),
            Reply::WrongIncarnation(present) => incarnation = present,
            Reply::HigherFencingToken(seen) => {
                let now = context.clock.now();
                let mut controller = context.controller.lock();
                return controller.note_fencing_token(machine, seen, now);
            }
            Reply::Ignored => return,
        }
    }
}

/// The fencing token that the machine is to obey, if this controller still leads its
/// shard and the machine has not confirmed it by a heartbeat.
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
    match cloud::direct(address, &command, REPLY_TIMEOUT) {
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
        led.state.heartbeat(heartbeat, true, now, &config);
    }
}
