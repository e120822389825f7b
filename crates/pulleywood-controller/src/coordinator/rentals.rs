//! Rents machines from the cloud and releases them.

use super::fleet::Fleet;
use crate::state::ControllerContext;
use crate::watch;
use pulleywood_protocol::cloud::RentalRequest;
use pulleywood_protocol::machine_batch::MachineBatchUpdate;
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

/// Maximum number of machines in one rental request.
const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Maximum number of machines in one release request.
const MAX_MACHINES_PER_RELEASE: usize = 100;
/// Maximum number of attempts to delete the records of machines. An attempt fails if a leader
/// updates other records in the same machine batches concurrently.
const MAX_DELETE_ATTEMPTS: u32 = 3;

/// Outcome of a rental request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RentalOutcome {
    /// Machines were rented, and more may be available.
    Rented,
    /// No machine was rented, or the outcome is unknown.
    NotRented,
}

/// Outcome of an attempt to delete records.
enum DeleteOutcome {
    /// The records are deleted, or cannot be deleted now.
    Finished,
    /// The machine batches changed concurrently and have been read again.
    Retry,
}

/// A transaction that deletes the records of released machines, ready to be committed.
struct PreparedDeletion {
    machine_batches: Vec<MachineBatchUpdate>,
    transaction: Transaction,
}

/// Carries out an action on rented machines.
pub fn carry_out(context: &Arc<ControllerContext>, fleet: &mut Fleet, action: Action) {
    match action {
        Action::ReleaseDead(machines, reason) => {
            for machines in machines.chunks(MAX_MACHINES_PER_RELEASE) {
                release(context, fleet, machines, reason);
            }
        }
        Action::ScaleOut(kind, count) => rent(context, fleet, &kind, count),
        Action::Move(..) | Action::Transfer(..) | Action::Drain(..) | Action::ScaleIn(..) => {}
    }
}

/// Repeats rental requests whose outcome is unknown under their previous names, so that they
/// rent nothing twice.
pub fn repeat_pending(context: &ControllerContext, fleet: &mut Fleet) {
    let now = context.clock.now();
    for request in std::mem::take(&mut fleet.pending_requests) {
        send(context, fleet, request, now);
    }
}

fn rent(context: &ControllerContext, fleet: &mut Fleet, kind: &MachineKind, count: u32) {
    let now = context.clock.now();
    let mut remaining = count;
    while remaining > 0 && fleet.history.is_rentable(kind, now) {
        let request_count = remaining.min(MAX_MACHINES_PER_RENTAL);
        remaining -= request_count;
        let request = RentalRequest {
            name: fleet.next_request_name(),
            flavor: kind.flavor.clone(),
            zone: kind.zone.clone(),
            spot: kind.spot,
            count: request_count,
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
            log::info!(
                "failed to rent {} {} machines in zone {} (spot: {}): the cloud has no capacity",
                request.count,
                request.flavor,
                request.zone,
                request.spot
            );
            fleet.history.record_refusal(&kind, now);
        }
        Err(CloudError::OutcomeUnknown(e)) => {
            log::debug!(
                "got no response to rental request {}, which will be repeated: {e}",
                request.name
            );
            fleet.pending_requests.push(request);
        }
        Err(e) => log::debug!(
            "failed to rent {} {} machines in zone {} (spot: {}) by request {}: {e}",
            request.count,
            request.flavor,
            request.zone,
            request.spot,
            request.name
        ),
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
        "rented {} of {} requested {} machines in zone {} (spot: {})",
        machines.len(),
        request.count,
        request.flavor,
        request.zone,
        request.spot
    );
    if (machines.len() as u32) < request.count {
        fleet.history.record_refusal(kind, now);
    } else {
        fleet.history.record_filled_rental(kind);
    }
    fleet.history.record_rented_machines(machines, kind, now);
}

/// Releases machines and deletes their records, so that their tasks can be placed again. The
/// records are deleted only after the cloud's response, which proves that the machines no
/// longer run.
fn release(
    context: &Arc<ControllerContext>,
    fleet: &mut Fleet,
    machines: &[MachineId],
    reason: &str,
) {
    if let Err(e) = context.cloud.release(machines) {
        log::debug!("failed to release machines {machines:?}: {e}");
        return;
    }
    log::info!("released machines {machines:?}: {reason}");
    let now = context.clock.now();
    for id in machines {
        fleet.recently_released.insert(id.clone(), now);
    }
    fleet.rentals.retain(|r| !machines.contains(&r.machine));
    for _ in 0..MAX_DELETE_ATTEMPTS {
        match delete_records(context, fleet.lease.revision, machines) {
            DeleteOutcome::Finished => return,
            DeleteOutcome::Retry => {}
        }
    }
}

/// Deletes the records of released machines, in transactions of as many as fit.
fn delete_records(
    context: &Arc<ControllerContext>,
    lease_revision: Revision,
    machines: &[MachineId],
) -> DeleteOutcome {
    let mut remaining: Vec<MachineId> = machines.to_vec();
    while !remaining.is_empty() {
        let prepared = prepare_deletion(context, lease_revision, &mut remaining);
        if prepared.machine_batches.is_empty() {
            return DeleteOutcome::Finished;
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
                log::debug!("failed to delete the records of {machines:?}: {e}");
                return DeleteOutcome::Finished;
            }
        }
    }
    DeleteOutcome::Finished
}

/// Removes from `remaining` the machines whose records fit into one transaction, which it
/// prepares, and those without a record.
fn prepare_deletion(
    context: &ControllerContext,
    lease_revision: Revision,
    remaining: &mut Vec<MachineId>,
) -> PreparedDeletion {
    let controller = context.controller.lock();
    let batches = &controller.cached.machine_batches;
    let max_batches = controller.config.max_batch_operations;
    let mut batch_numbers = BTreeSet::new();
    let mut records = BTreeMap::new();
    remaining.retain(|id| {
        let Some(number) = batches.find(id) else {
            return false;
        };
        if batch_numbers.len() >= max_batches && !batch_numbers.contains(&number) {
            return true;
        }
        batch_numbers.insert(number);
        records.insert(id.clone(), None);
        false
    });
    let transaction = Transaction::default().when(COORDINATOR_LEASE, lease_revision);
    let limit = controller.config.machine_batch_bytes();
    let (transaction, machine_batches) = batches.update_records(transaction, &records, limit);
    PreparedDeletion {
        machine_batches,
        transaction,
    }
}

fn refresh_machine_batches(context: &Arc<ControllerContext>) -> DeleteOutcome {
    match watch::read_changes(context, RequestPriority::ShardLeader, Duration::ZERO) {
        Ok(_) => DeleteOutcome::Retry,
        Err(_) => DeleteOutcome::Finished,
    }
}
