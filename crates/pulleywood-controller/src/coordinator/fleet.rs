//! What the coordinator knows of the fleet, and its decision about it.

use super::lease::CoordinatorLease;
use crate::state::{ControllerContext, ControllerState};
use pulleywood_protocol::cloud::{Rental, RentalRequest};
use pulleywood_protocol::record::MachineRecord;
use pulleywood_protocol::time::secs;
use pulleywood_protocol::{MachineId, MonotonicTime};
use pulleywood_scheduler::fleet::{self, Action, FleetHistory, FleetSnapshot};
use pulleywood_transport::cloud::Listing;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Shortest time between two reads of the cloud's list.
const LIST_EVERY: Duration = Duration::from_secs(3);
/// A peer's word that it refuses submissions is believed for this long.
const FRESH_DIGEST: Duration = Duration::from_secs(4);

/// What the coordinator knows of the fleet beside the stored records.
pub struct Fleet {
    /// The coordinator lease that it acts under.
    pub lease: CoordinatorLease,
    /// Requests without a definite outcome yet.
    pub pending: Vec<RentalRequest>,
    /// What was rented, refused and moved lately.
    pub history: FleetHistory,
    /// The cloud's list as read last.
    pub list: Vec<Rental>,
    /// Machines released lately: lists still show them for a while.
    pub released: HashMap<MachineId, MonotonicTime>,
    /// Rental requests named under the lease's fencing token.
    rental_requests: u64,
    /// The next list, as far as it was read.
    listing: Listing,
    listed_at: Option<MonotonicTime>,
}

impl Fleet {
    /// Begins under a lease. A controller that could not act for a while may find itself
    /// holding the lease under the same fencing token: its request names go on from
    /// where they were, since a name that is used again rents nothing.
    pub fn new(former: Option<Fleet>, lease: CoordinatorLease) -> Fleet {
        let former = former.filter(|f| f.lease.fencing_token == lease.fencing_token);
        let (rental_requests, pending) =
            former.map_or((0, Vec::new()), |f| (f.rental_requests, f.pending));
        Fleet {
            lease,
            pending,
            history: FleetHistory::default(),
            list: Vec::new(),
            released: HashMap::new(),
            rental_requests,
            listing: Listing::default(),
            listed_at: None,
        }
    }

    /// A name that no rental request ever had.
    pub fn next_request_name(&mut self) -> String {
        self.rental_requests += 1;
        format!("h-{}-{}", self.lease.fencing_token, self.rental_requests)
    }

    /// Reads the cloud's list if it is time, leaving out what was released.
    pub fn refresh_list(&mut self, context: &ControllerContext, now: MonotonicTime) {
        if self
            .listed_at
            .is_some_and(|at| now.since(at) < list_every(context))
        {
            return;
        }
        match context.cloud.rentals(&mut self.listing) {
            Ok(Some(list)) => {
                self.list = list;
                self.listed_at = Some(now);
            }
            Ok(None) => log::debug!("read a part of the machine list"),
            Err(e) => log::debug!("failed to read the machine list: {e}"),
        }
        let keep = list_lag(context) * 3 + Duration::from_secs(60);
        self.released.retain(|_, at| now.since(*at) < keep);
        let released = &self.released;
        self.list.retain(|r| !released.contains_key(&r.machine));
    }

    /// What is to be done, decided without the lock.
    pub fn decide(&mut self, context: &ControllerContext, now: MonotonicTime) -> Vec<Action> {
        let oldest = list_every(context) * 2;
        let fresh = self.listed_at.is_some_and(|at| now.since(at) < oldest);
        let mut controller = context.controller.lock();
        // While any shard has no leader or an unknown one, its needs are not known
        // either: nothing is judged by their absence.
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
            rentals: fresh.then_some(&self.list[..]),
            // Users wait to submit: what lies idle is about to be needed.
            suspend_scale_in: context.refused_recently(now) || a_peer_refuses(&controller, now),
        };
        drop(controller);
        log::debug!("{}", fleet::summary(&config, &snapshot));
        fleet::decide(&config, &mut self.history, &snapshot)
    }
}

fn list_lag(context: &ControllerContext) -> Duration {
    secs(context.settings.cluster.cloud.list_lag_s)
}

fn list_every(context: &ControllerContext) -> Duration {
    list_lag(context).max(LIST_EVERY)
}

fn a_peer_refuses(controller: &ControllerState, now: MonotonicTime) -> bool {
    let mut digests = controller.digests.values();
    digests.any(|d| d.digest.refusing && d.is_fresh(now, FRESH_DIGEST))
}

#[cfg(test)]
mod tests;
