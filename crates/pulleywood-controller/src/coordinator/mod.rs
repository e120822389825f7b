//! The coordinator: one controller, under a lease of its own, balances quotas between
//! shards and decides about the fleet. It asks shards' leaders for what only they may do.

mod flavors;
mod fleet;
mod lease;
mod quota;
mod rentals;
mod requests;

use crate::state::ControllerContext;
use fleet::Fleet;
use lease::{CoordinatorLease, LeaseStatus};
use pulleywood_scheduler::fleet::Action;
use std::sync::Arc;
use std::time::Duration;

/// Time between two rounds, varied by a tenth.
const ROUND: Duration = Duration::from_millis(1000);

/// Runs for the life of the process; acts while this controller holds the coordinator
/// lease.
pub fn run(context: &Arc<ControllerContext>) {
    flavors::wait_for_flavors(context);
    let mut flavors_read = context.clock.now();
    let mut coordinator = Coordinator::default();
    loop {
        std::thread::sleep(ROUND.mul_f64(0.9 + 0.2 * fastrand::f64()));
        flavors::refresh_flavors(context, &mut flavors_read);
        match lease::hold(context) {
            Ok(LeaseStatus::Held(lease)) => {
                let fleet = coordinator.enter(context, lease);
                quota::balance(context, fleet.lease);
                fleet_round(context, fleet);
            }
            Ok(LeaseStatus::NotHeld) => coordinator.acting = false,
            Err(e) => log::debug!("failed to hold the coordinator lease: {e}"),
        }
    }
}

/// What the coordinator thread remembers between rounds.
#[derive(Default)]
struct Coordinator {
    /// The fleet as of the last lease, also while it is not held.
    fleet: Option<Fleet>,
    /// The lease was held in the last round that could tell.
    acting: bool,
}

impl Coordinator {
    /// The fleet under this lease, begun anew if the lease was acquired since the last
    /// round.
    fn enter(&mut self, context: &ControllerContext, lease: CoordinatorLease) -> &mut Fleet {
        let former = self.fleet.take();
        let held = |fleet: &Fleet| fleet.lease.fencing_token == lease.fencing_token;
        let fleet = match former {
            Some(fleet) if self.acting && held(&fleet) => fleet,
            former => {
                log::info!(
                    "acquired the coordinator lease with fencing token {}",
                    lease.fencing_token
                );
                context.cloud.become_coordinator();
                self.acting = true;
                Fleet::new(former, lease)
            }
        };
        self.fleet.insert(fleet)
    }
}

/// One round: reads the cloud's list, decides, and carries out what was decided.
fn fleet_round(context: &Arc<ControllerContext>, fleet: &mut Fleet) {
    let now = context.clock.now();
    rentals::repeat_pending(context, fleet);
    fleet.refresh_list(context, now);
    // What the cloud does takes longest to show, so it is asked first.
    let (for_cloud, for_leaders): (Vec<Action>, Vec<Action>) = fleet
        .decide(context, now)
        .into_iter()
        .partition(|a| matches!(a, Action::ScaleOut(..) | Action::ReleaseDead(..)));
    for action in for_cloud {
        rentals::carry_out(context, fleet, action);
    }
    for machine in requests::ask_leaders(context, for_leaders, now + ROUND) {
        fleet.history.cancel_move(&machine);
    }
}
