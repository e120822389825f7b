//! Acquires, keeps and releases the coordinator lease. Its fencing token makes the names of
//! rental requests unique.

use crate::fencing_token::read_fencing_token_counter;
use crate::state::{ControllerContext, Versioned};
use pulleywood_protocol::record::{COORDINATOR_LEASE, FencingTokenCounter, LeaseHolder};
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::{FencingToken, LeaseId, Revision};
use pulleywood_transport::store::Outcome;
use pulleywood_transport::{RequestPriority, StoreError};

/// The coordinator lease as held by this process.
#[derive(Debug, Clone, Copy)]
pub struct CoordinatorLease {
    /// Fencing token under which it was acquired.
    pub fencing_token: FencingToken,
    /// Store revision of its key; transactions under the lease compare it.
    pub revision: Revision,
}

/// Whether this process may act as the coordinator.
#[derive(Debug, Clone, Copy)]
pub enum LeaseStatus {
    /// This process holds the lease and may act.
    Held(CoordinatorLease),
    /// Another process holds the lease, or none does.
    NotHeld,
}

/// Inputs of the decision to keep, acquire or release the lease.
struct Snapshot {
    lease_id: Option<LeaseId>,
    holder: Option<Versioned<LeaseHolder>>,
    leads_no_shard: bool,
}

/// A transaction that acquires the lease, ready to be committed.
struct PreparedAcquire {
    holder: LeaseHolder,
    transaction: Transaction,
}

/// Keeps the coordinator lease, or acquires it if no process holds it. A controller that leads
/// no shard releases it: workers may be unable to reach such a controller for minutes, during
/// which no controller would act as the coordinator.
pub fn acquire_or_keep(context: &ControllerContext) -> Result<LeaseStatus, StoreError> {
    let Some(snapshot) = snapshot(context) else {
        return Ok(LeaseStatus::NotHeld);
    };
    let held_here = |holder: &Versioned<LeaseHolder>| context.is_this_process(&holder.value);
    if snapshot.leads_no_shard {
        if let Some(holder) = snapshot.holder.filter(held_here) {
            release(context, holder.revision)?;
        }
        return Ok(LeaseStatus::NotHeld);
    }
    let Some(lease_id) = snapshot.lease_id else {
        return Ok(LeaseStatus::NotHeld);
    };
    match snapshot.holder {
        Some(holder) if held_here(&holder) => Ok(LeaseStatus::Held(CoordinatorLease {
            fencing_token: holder.value.fencing_token,
            revision: holder.revision,
        })),
        Some(_) => Ok(LeaseStatus::NotHeld),
        None => acquire(context, lease_id),
    }
}

/// Returns `None` while this controller may not act.
fn snapshot(context: &ControllerContext) -> Option<Snapshot> {
    let now = context.clock.now();
    let controller = context.controller.lock();
    controller.may_act(now).then(|| Snapshot {
        lease_id: controller.lease.lease_id,
        holder: controller.cached.coordinator_lease.clone(),
        leads_no_shard: controller.led_shards.is_empty(),
    })
}

fn release(context: &ControllerContext, revision: Revision) -> Result<(), StoreError> {
    let transaction = Transaction::default()
        .when(COORDINATOR_LEASE, revision)
        .delete(COORDINATOR_LEASE);
    let outcome = context
        .store
        .commit(RequestPriority::ShardLeader, &transaction)?;
    if let Outcome::Applied(_) = outcome {
        log::info!("released the coordinator lease");
        context.controller.lock().cached.coordinator_lease = None;
    }
    Ok(())
}

fn acquire(context: &ControllerContext, lease_id: LeaseId) -> Result<LeaseStatus, StoreError> {
    let counter = read_fencing_token_counter(context)?;
    let prepared = prepare(context, lease_id, counter);
    let outcome = context
        .store
        .commit(RequestPriority::ShardLeader, &prepared.transaction)?;
    match outcome {
        Outcome::Applied(revision) => Ok(LeaseStatus::Held(prepared.apply(context, revision))),
        Outcome::Conflict => Ok(LeaseStatus::NotHeld),
    }
}

fn prepare(
    context: &ControllerContext,
    lease_id: LeaseId,
    counter: Versioned<FencingToken>,
) -> PreparedAcquire {
    let fencing_token = counter.value.next();
    let holder = context.lease_holder(fencing_token);
    let next_counter = FencingTokenCounter {
        last: fencing_token,
    };
    let transaction = Transaction::default()
        .when(COORDINATOR_LEASE, Revision(0))
        .write_with_lease(COORDINATOR_LEASE, &holder, lease_id);
    PreparedAcquire {
        holder,
        transaction: next_counter.replace(transaction, counter.revision),
    }
}

impl PreparedAcquire {
    fn apply(self, context: &ControllerContext, revision: Revision) -> CoordinatorLease {
        let fencing_token = self.holder.fencing_token;
        let holder = Versioned::new(self.holder, revision);
        context.controller.lock().cached.coordinator_lease = Some(holder);
        CoordinatorLease {
            fencing_token,
            revision,
        }
    }
}
