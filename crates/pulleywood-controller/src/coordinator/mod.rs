//! The coordinator: the controller that holds the coordinator lease balances quotas between
//! shards and scales the fleet. It asks shards' leaders to carry out the actions that only
//! they may take.

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

/// Time between two rounds, jittered by 10 %.
const ROUND_INTERVAL: Duration = Duration::from_millis(1000);

/// Runs the coordinator's rounds while this controller holds the coordinator lease. Runs for
/// the life of the process.
pub fn run(context: &Arc<ControllerContext>) {
    flavors::wait_for_flavors(context);
    let mut flavors_read = context.clock.now();
    let mut coordinator = Coordinator::default();
    loop {
        std::thread::sleep(ROUND_INTERVAL.mul_f64(0.9 + 0.2 * fastrand::f64()));
        flavors::refresh_flavors(context, &mut flavors_read);
        match lease::acquire_or_keep(context) {
            Ok(LeaseStatus::Held(lease)) => {
                let fleet = coordinator.fleet_under(context, lease);
                quota::balance(context, fleet.lease);
                fleet_round(context, fleet);
            }
            Ok(LeaseStatus::NotHeld) => coordinator.held_last_round = false,
            Err(e) => log::debug!("failed to acquire or release the coordinator lease: {e}"),
        }
    }
}

/// State of the coordinator thread between rounds.
#[derive(Default)]
struct Coordinator {
    /// State of the fleet under the last held lease; it is kept while the lease is not held.
    fleet: Option<Fleet>,
    /// Whether the lease was held in the last round in which the store could be asked.
    held_last_round: bool,
}

impl Coordinator {
    /// Returns the state of the fleet under this lease. It is created anew if the lease was
    /// acquired since the last round.
    fn fleet_under(&mut self, context: &ControllerContext, lease: CoordinatorLease) -> &mut Fleet {
        let previous = self.fleet.take();
        let same_lease = |fleet: &Fleet| fleet.lease.fencing_token == lease.fencing_token;
        let fleet = match previous {
            Some(fleet) if self.held_last_round && same_lease(&fleet) => fleet,
            previous => {
                log::info!(
                    "acquired the coordinator lease with fencing token {}",
                    lease.fencing_token
                );
                context.cloud.drain_coordinator_budget();
                self.held_last_round = true;
                Fleet::new(previous, lease)
            }
        };
        self.fleet.insert(fleet)
    }
}

/// Runs one round: reads the cloud's machine list, decides about the fleet, and carries out
/// the actions.
fn fleet_round(context: &Arc<ControllerContext>, fleet: &mut Fleet) {
    let now = context.clock.now();
    rentals::repeat_pending(context, fleet);
    fleet.refresh_list(context, now);
    // The cloud's actions take longest to have an effect, so they are requested first.
    let (cloud_actions, leader_actions): (Vec<Action>, Vec<Action>) = fleet
        .decide(context, now)
        .into_iter()
        .partition(|a| matches!(a, Action::ScaleOut(..) | Action::ReleaseDead(..)));
    for action in cloud_actions {
        rentals::carry_out(context, fleet, action);
    }
    for unmoved in requests::ask_leaders(context, leader_actions, now + ROUND_INTERVAL) {
        fleet.history.cancel_move(&unmoved);
    }
}
