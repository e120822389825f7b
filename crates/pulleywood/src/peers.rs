//! What controllers tell each other: digests about once a second, and the
//! coordinator's requests.

use crate::coordinator;
use crate::node::Shared;
use crate::owner;
use pulleywood_wire::MemberId;
use pulleywood_wire::peer::{Ask, Reply};
use std::sync::Arc;
use std::time::Duration;

const DIGEST_EVERY: Duration = Duration::from_millis(700);
/// The coordinator names the machines to drain about once a second.
const DRAIN: Duration = Duration::from_secs(4);
const ASK_TIME: Duration = Duration::from_millis(1500);

/// Sends digests to one peer; runs for the life of the process.
pub fn tell(shared: &Arc<Shared>, peer: &MemberId) {
    let Some(client) = shared.peers.get(peer) else {
        return;
    };
    loop {
        std::thread::sleep(DIGEST_EVERY.mul_f64(0.85 + 0.3 * fastrand::f64()));
        let ask = Ask::Digest(Box::new(shared.digest()));
        if let Err(e) = client.ask(&ask, ASK_TIME) {
            log::debug!("peer {peer}: {e}");
        }
    }
}

/// Answers another controller.
pub fn answer(shared: &Arc<Shared>, ask: Ask) -> Reply {
    match ask {
        Ask::Digest(digest) => {
            let now = shared.clock.now();
            shared.node.lock().take_digest(*digest, now);
            Reply::Ok
        }
        Ask::Move(machine, to) => taken(owner::let_go(shared, &machine, Some(to))),
        Ask::Drain(machines) => {
            let until = shared.clock.now() + DRAIN;
            for owned in shared.node.lock().owned.values_mut() {
                owned.ledger.drain(&machines, until);
            }
            Reply::Ok
        }
        Ask::Retire(machine) => taken(owner::let_go(shared, &machine, None)),
        Ask::Lend(from, to, like) => taken(owner::lend(shared, from, to, &like)),
        Ask::Shrink(part, to) => taken(coordinator::shrink(shared, part, &to)),
    }
}

fn taken(done: bool) -> Reply {
    if done { Reply::Ok } else { Reply::No }
}
