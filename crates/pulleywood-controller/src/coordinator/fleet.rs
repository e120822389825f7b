//! The coordinator's state about the fleet of rented machines, and its decisions.

use super::lease::CoordinatorLease;
use crate::state::{ControllerContext, ControllerState};
use pulleywood_protocol::cloud::{Rental, RentalRequest};
use pulleywood_protocol::record::MachineRecord;
use pulleywood_protocol::time::secs;
use pulleywood_protocol::{MachineId, MonotonicTime};
use pulleywood_scheduler::fleet::{self, Action, FleetHistory, FleetSnapshot};
use pulleywood_transport::cloud::RentalListing;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Minimum time between two reads of the cloud's machine list.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(3);
/// A peer's digest that reports refused submissions is used up to this age.
const MAX_DIGEST_AGE: Duration = Duration::from_secs(4);

/// The coordinator's state about the fleet, in addition to the stored records.
pub struct Fleet {
    /// The coordinator lease under which this state was built.
    pub lease: CoordinatorLease,
    /// Rental requests whose outcome is unknown; they are repeated under the same name.
    pub pending_requests: Vec<RentalRequest>,
    /// Machines that were recently rented, refused or moved.
    pub history: FleetHistory,
    /// The rentals in the cloud's list as of the last complete read, without released ones.
    pub rentals: Vec<Rental>,
    /// Machines that were recently released, and when; the cloud's list still contains them
    /// until its lag has passed.
    pub recently_released: HashMap<MachineId, MonotonicTime>,
    /// Number of rental requests named under the lease's fencing token.
    request_count: u64,
    /// The pages of the next list that have been read.
    partial_list: RentalListing,
    list_read_at: Option<MonotonicTime>,
}

impl Fleet {
    /// Creates the state for an acquired lease. A controller that could not act for a while
    /// may still hold the lease under the same fencing token. Request names then continue from
    /// the previous state, since the cloud rents nothing for a name that is used again.
    pub fn new(previous: Option<Fleet>, lease: CoordinatorLease) -> Fleet {
        let previous = previous.filter(|f| f.lease.fencing_token == lease.fencing_token);
        let (request_count, pending_requests) =
            previous.map_or((0, Vec::new()), |f| (f.request_count, f.pending_requests));
        Fleet {
            lease,
            pending_requests,
            history: FleetHistory::default(),
            rentals: Vec::new(),
            recently_released: HashMap::new(),
            request_count,
            partial_list: RentalListing::default(),
            list_read_at: None,
        }
    }

    /// Returns a name that no rental request has had before.
    pub fn next_request_name(&mut self) -> String {
        self.request_count += 1;
        format!("h-{}-{}", self.lease.fencing_token, self.request_count)
    }

    /// Reads the next part of the cloud's machine list if the last complete read is old
    /// enough, and leaves out the machines that were recently released.
    pub fn refresh_list(&mut self, context: &ControllerContext, now: MonotonicTime) {
        if self
            .list_read_at
            .is_some_and(|at| now.since(at) < list_interval(context))
        {
            return;
        }
        match context.cloud.read_rentals(&mut self.partial_list) {
            Ok(Some(rentals)) => {
                self.rentals = rentals;
                self.list_read_at = Some(now);
            }
            Ok(None) => log::debug!("read one page of the machine list"),
            Err(e) => log::debug!("failed to read the machine list from the cloud: {e}"),
        }
        let retention = list_lag(context) * 3 + Duration::from_secs(60);
        self.recently_released
            .retain(|_, at| now.since(*at) < retention);
        let released = &self.recently_released;
        self.rentals.retain(|r| !released.contains_key(&r.machine));
    }

    /// Decides the next actions. The controller state is locked only to copy its inputs.
    pub fn decide(&mut self, context: &ControllerContext, now: MonotonicTime) -> Vec<Action> {
        let max_list_age = list_interval(context) * 2;
        let list_is_fresh = self
            .list_read_at
            .is_some_and(|at| now.since(at) < max_list_age);
        let mut controller = context.controller.lock();
        // The needs of a shard without a leader, or with an unknown one, are unknown: their
        // absence is not taken as a lack of demand.
        let shards = controller.fresh_shard_digests(now);
        let config = Arc::clone(&controller.config);
        let records: BTreeMap<MachineId, MachineRecord> = controller
            .cached
            .machines
            .iter()
            .map(|(id, (record, _))| (id.clone(), record.without_images()))
            .collect();
        let snapshot = FleetSnapshot {
            now,
            records: &records,
            shards: &shards,
            rentals: list_is_fresh.then_some(&self.rentals[..]),
            // Refused users will submit again, so idle machines will soon be needed.
            suspend_scale_in: context.refused_recently(now) || any_peer_refuses(&controller, now),
        };
        drop(controller);
        log::debug!("{}", fleet::summary(&config, &snapshot));
        fleet::decide(&config, &mut self.history, &snapshot)
    }
}

fn list_lag(context: &ControllerContext) -> Duration {
    secs(context.settings.cluster.cloud.list_lag_s)
}

fn list_interval(context: &ControllerContext) -> Duration {
    list_lag(context).max(MIN_LIST_INTERVAL)
}

fn any_peer_refuses(controller: &ControllerState, now: MonotonicTime) -> bool {
    let mut digests = controller.digests.values();
    digests.any(|d| d.digest.refusing_submissions && d.is_fresh(now, MAX_DIGEST_AGE))
}

#[cfg(test)]
mod tests;
