//! Renting machines from the cloud and releasing them.

use super::fleet::Fleet;
use crate::state::ControllerContext;
use crate::watch;
use pulleywood_protocol::cloud::RentalRequest;
use pulleywood_protocol::machine_batch::MachineBatchAfter;
use pulleywood_protocol::record::COORDINATOR_LEASE;
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::{MachineId, MonotonicTime, Revision};
use pulleywood_scheduler::fleet::{Action, MachineKind};
use pulleywood_transport::RequestPriority;
use pulleywood_transport::cloud::CloudError;
use pulleywood_transport::store::Outcome;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Most machines that one request rents.
const MAX_RENTAL: u32 = 50;
/// Most machines that one request releases.
const MAX_RELEASE: usize = 100;
/// Attempts to delete the records of some machines while their leaders write what they
/// learn of others in the same machine batches.
const DELETE_ATTEMPTS: u32 = 3;

/// Whether a rental request was filled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RentalOutcome {
    /// Machines were rented; more may be had.
    Rented,
    /// None, or it is not known.
    NotRented,
}

/// How an attempt to delete records ended.
enum DeleteOutcome {
    /// They are deleted, or cannot be now.
    Ended,
    /// The machine batches changed meanwhile and have been read again.
    Retry,
}

/// Records of released machines, to be deleted in one transaction.
struct PreparedDeletion {
    machine_batches: Vec<MachineBatchAfter>,
    transaction: Transaction,
}

/// Carries out what was decided about machines in the cloud.
pub fn carry_out(context: &Arc<ControllerContext>, fleet: &mut Fleet, action: Action) {
    match action {
        Action::ReleaseDead(machines, why) => {
            for machines in machines.chunks(MAX_RELEASE) {
                release(context, fleet, machines, why);
            }
        }
        Action::ScaleOut(kind, count) => rent(context, fleet, &kind, count),
        Action::Move(..) | Action::Transfer(..) | Action::Drain(..) | Action::ScaleIn(..) => {}
    }
}

/// Repeats requests whose outcome is unknown under the same name.
pub fn repeat_pending(context: &ControllerContext, fleet: &mut Fleet) {
    let now = context.clock.now();
    for request in std::mem::take(&mut fleet.pending) {
        send(context, fleet, request, now);
    }
}

fn rent(context: &ControllerContext, fleet: &mut Fleet, kind: &MachineKind, count: u32) {
    let now = context.clock.now();
    let mut left = count;
    while left > 0 && fleet.history.is_rentable(kind, now) {
        let how_many = left.min(MAX_RENTAL);
        left -= how_many;
        let request = RentalRequest {
            name: fleet.next_request_name(),
            flavor: kind.flavor.clone(),
            zone: kind.zone.clone(),
            spot: kind.spot,
            how_many,
        };
        if send(context, fleet, request, now) == RentalOutcome::NotRented {
            return;
        }
    }
}

fn send(
    context: &ControllerContext,
    fleet: &mut Fleet,
    request: RentalRequest,
    now: MonotonicTime,
) -> RentalOutcome {
    let kind = MachineKind {
        flavor: request.flavor.clone(),
        zone: request.zone.clone(),
        spot: request.spot,
    };
    match context.cloud.rent(&request) {
        Ok(machines) => {
            note_rented(fleet, &request, &kind, &machines, now);
            return RentalOutcome::Rented;
        }
        Err(CloudError::NoCapacity) => {
            log::info!("found no capacity for {kind:?}");
            fleet.history.record_refusal(&kind, now);
        }
        Err(CloudError::Unknown(e)) => {
            log::debug!("got no answer to rental request {}: {e}", request.name);
            fleet.pending.push(request);
        }
        Err(e) => log::debug!("failed to send rental request {}: {e}", request.name),
    }
    RentalOutcome::NotRented
}

fn note_rented(
    fleet: &mut Fleet,
    request: &RentalRequest,
    kind: &MachineKind,
    machines: &[MachineId],
    now: MonotonicTime,
) {
    log::info!(
        "rented {} of {} {} in {} (spot: {})",
        machines.len(),
        request.how_many,
        request.flavor,
        request.zone,
        request.spot
    );
    if (machines.len() as u32) < request.how_many {
        fleet.history.record_refusal(kind, now);
    } else {
        fleet.history.record_filled_rental(kind);
    }
    fleet.history.record_rented_machines(machines, kind, now);
}

/// Releases machines. Only the cloud's answer proves them gone; only then are their
/// records deleted, so that their tasks can be placed again.
fn release(context: &Arc<ControllerContext>, fleet: &mut Fleet, machines: &[MachineId], why: &str) {
    if let Err(e) = context.cloud.release(machines) {
        log::debug!("failed to release {machines:?}: {e}");
        return;
    }
    log::info!("released {machines:?}: {why}");
    let now = context.clock.now();
    for id in machines {
        fleet.released.insert(id.clone(), now);
    }
    fleet.list.retain(|r| !machines.contains(&r.machine));
    for _ in 0..DELETE_ATTEMPTS {
        match delete_records(context, fleet.lease.revision, machines) {
            DeleteOutcome::Ended => return,
            DeleteOutcome::Retry => {}
        }
    }
}

/// Deletes the records of machines that are gone, as many in one transaction as fit.
fn delete_records(
    context: &Arc<ControllerContext>,
    lease_revision: Revision,
    machines: &[MachineId],
) -> DeleteOutcome {
    let mut left: Vec<MachineId> = machines.to_vec();
    while !left.is_empty() {
        let prepared = prepare_deletion(context, lease_revision, &mut left);
        if prepared.machine_batches.is_empty() {
            return DeleteOutcome::Ended;
        }
        match context
            .store
            .commit(RequestPriority::ShardLeader, &prepared.transaction)
        {
            Ok(Outcome::Applied(revision)) => {
                context.put_machine_batches(prepared.machine_batches, revision);
            }
            Ok(Outcome::Conflict) => return refresh_machine_batches(context),
            Err(e) => {
                log::debug!("failed to delete records of machines: {e}");
                return DeleteOutcome::Ended;
            }
        }
    }
    DeleteOutcome::Ended
}

/// Takes machines from `left` whose records fit into one transaction, and those without
/// a record.
fn prepare_deletion(
    context: &ControllerContext,
    lease_revision: Revision,
    left: &mut Vec<MachineId>,
) -> PreparedDeletion {
    let controller = context.controller.lock();
    let batches = &controller.cached.machine_batches;
    let most = controller.config.batch_ops;
    let mut touched = BTreeSet::new();
    let mut records = BTreeMap::new();
    left.retain(|id| {
        let Some(number) = batches.find(id) else {
            return false;
        };
        if touched.len() >= most && !touched.contains(&number) {
            return true;
        }
        touched.insert(number);
        records.insert(id.clone(), None);
        false
    });
    let transaction = Transaction::default().when(COORDINATOR_LEASE, lease_revision);
    let limit = controller.config.machine_batch_bytes();
    let (transaction, machine_batches) = batches.change(transaction, &records, limit);
    PreparedDeletion {
        machine_batches,
        transaction,
    }
}

fn refresh_machine_batches(context: &Arc<ControllerContext>) -> DeleteOutcome {
    match watch::changes(context, RequestPriority::ShardLeader, Duration::ZERO) {
        Ok(_) => DeleteOutcome::Retry,
        Err(_) => DeleteOutcome::Ended,
    }
}
