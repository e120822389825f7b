//! What controllers tell each other: digests about once a second, and the
//! coordinator's requests.

use crate::coordinator;
use crate::errands;
use crate::node::Shared;
use pulleywood_wire::MemberId;
use pulleywood_wire::peer::{Ask, Reply};
use std::sync::Arc;
use std::time::Duration;

const DIGEST_EVERY: Duration = Duration::from_millis(700);
/// The coordinator names the machines to drain about once a second.
const DRAIN: Duration = Duration::from_secs(4);
const ASK_TIME: Duration = Duration::from_millis(1500);
/// Between two requests for tokens.
const BORROW_EVERY: Duration = Duration::from_millis(60);

/// Sends digests to one peer; runs for the life of the process.
pub fn tell(shared: &Arc<Shared>, peer: &MemberId) {
    let Some(client) = shared.peers.get(peer) else {
        return;
    };
    loop {
        std::thread::sleep(DIGEST_EVERY.mul_f64(0.85 + 0.3 * fastrand::f64()));
        let ask = Ask::Digest(Box::new(shared.digest()));
        let sent = shared.clock.now();
        match client.ask(&ask, ASK_TIME) {
            Ok(Reply::Serving(serving)) => {
                let now = shared.clock.now();
                shared.node.lock().confirm(peer, sent, now, &serving);
            }
            Ok(_) => {}
            Err(e) => log::debug!("peer {peer}: {e}"),
        }
    }
}

/// Asks peers in turn for tokens whenever there are too few here. Users'
/// connections do not spread by tokens: those that were refused come back to
/// whoever has the fewest open ones, which is who refuses most, while tokens
/// lay unused elsewhere. Runs for the life of the process.
pub fn borrow(shared: &Arc<Shared>) {
    loop {
        for peer in shared.peers.values() {
            std::thread::sleep(BORROW_EVERY);
            if !shared.state.budget().is_short() {
                continue;
            }
            match peer.ask(&Ask::Tokens, ASK_TIME) {
                // What was lent is lost if the reply is: never counted twice.
                Ok(Reply::Tokens(n)) => shared.state.budget().add_writes(n),
                Ok(_) => {}
                Err(e) => log::debug!("tokens: {e}"),
            }
        }
        if shared.peers.is_empty() {
            return;
        }
    }
}

/// Answers another controller.
pub fn answer(shared: &Arc<Shared>, ask: Ask) -> Reply {
    match ask {
        Ask::Digest(digest) => {
            let now = shared.clock.now();
            let mut node = shared.node.lock();
            node.take_digest(*digest, now);
            Reply::Serving(node.serving(now))
        }
        Ask::Move(machines, to) => taken(errands::let_go(shared, &machines, Some(to)).is_empty()),
        Ask::Drain(machines) => {
            let until = shared.clock.now() + DRAIN;
            for owned in shared.node.lock().owned.values_mut() {
                owned.ledger.drain(&machines, until);
            }
            Reply::Ok
        }
        Ask::Retire(machines) => taken(errands::let_go(shared, &machines, None).is_empty()),
        Ask::Lend(from, to, like) => taken(errands::lend(shared, from, to, &like)),
        Ask::Shrink(part, to) => taken(coordinator::shrink(shared, part, &to)),
        Ask::Tokens => Reply::Tokens(shared.state.budget().lend_writes()),
    }
}

fn taken(done: bool) -> Reply {
    if done { Reply::Ok } else { Reply::No }
}
