//! Handles workers that have seen a fencing token above the stored counter or above their
//! shard's token. Such a token shows that the store was restored from an older state.

use super::Recovery;
use crate::fencing_token::read_fencing_token_counter;
use crate::shard::hand_over::hand_over;
use crate::state::{ControllerContext, ControllerState, Versioned};
use crate::watch;
use pulleywood_protocol::record::{COORDINATOR_LEASE, FencingTokenCounter};
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::{FencingToken, MachineId, MonotonicTime, Revision, ShardId};
use pulleywood_recovery::counter::{self, CounterDecision, ObservedToken};
use pulleywood_transport::store::Outcome;
use pulleywood_transport::{RequestPriority, StoreError};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A higher fencing token in a worker's heartbeat is considered for this long.
const MAX_TOKEN_AGE: Duration = Duration::from_secs(60);

impl Recovery {
    /// Raises the fencing-token counter above the tokens that workers have seen, or, if it is
    /// above them, reacquires the shards whose machines have seen a token above the shard's.
    pub(super) fn check_fencing_tokens(
        &mut self,
        context: &Arc<ControllerContext>,
    ) -> Result<(), StoreError> {
        let started_at = context.clock.now();
        let observed = {
            let mut controller = context.controller.lock();
            let now = started_at;
            controller
                .higher_fencing_tokens
                .retain(|_, observed| now.since(observed.received_at) < MAX_TOKEN_AGE);
            if controller.higher_fencing_tokens.is_empty() || !controller.may_act(now) {
                return Ok(());
            }
            controller.higher_fencing_tokens.clone()
        };
        // A machine may have been moved since its heartbeat: its token is compared with that of
        // its present shard.
        watch::read_changes(context, RequestPriority::Housekeeping, Duration::ZERO)?;
        let Versioned {
            value: counter,
            revision,
        } = read_fencing_token_counter(context)?;
        let max_gap = self.policy.max_fencing_token_gap as u64;
        match counter::decide(&observed, counter, started_at, max_gap) {
            CounterDecision::Raise { to, machine } => {
                raise_counter(context, &machine, (counter, to), revision)
            }
            CounterDecision::Implausible {
                fencing_token,
                machine,
            } => {
                tracing::error!(
                    "did not raise the fencing-token counter {counter} to token {fencing_token} seen \
                     by machine {machine}: the gap exceeds most_term_gap ({max_gap})"
                );
                context
                    .controller
                    .lock()
                    .higher_fencing_tokens
                    .remove(&machine);
                Ok(())
            }
            CounterDecision::Sufficient => self.reacquire_shards(context, &observed, started_at),
        }
    }

    /// Reacquires the shards whose machines have seen a later fencing token than the shard's,
    /// although this controller still leads them: the store has lost the state in which that
    /// token was issued.
    fn reacquire_shards(
        &mut self,
        context: &Arc<ControllerContext>,
        observed: &BTreeMap<MachineId, ObservedToken>,
        started_at: MonotonicTime,
    ) -> Result<(), StoreError> {
        let mut outdated: Vec<ShardId> = Vec::new();
        {
            let mut controller = context.controller.lock();
            for (id, observed) in observed.iter().filter(|(_, s)| s.received_at < started_at) {
                match controller.shard_behind_token(id, observed.fencing_token) {
                    Some(shard) => outdated.push(shard),
                    None => drop(controller.higher_fencing_tokens.remove(id)),
                }
            }
        }
        outdated.sort();
        outdated.dedup();
        let lease = context.controller.lock().config.lease;
        for shard in outdated {
            let last = self.last_reacquired.get(&shard);
            if last.is_some_and(|at| started_at.since(*at) < lease) {
                continue;
            }
            tracing::error!(
                "started to reacquire shard {shard}: its workers have seen a later fencing token"
            );
            self.last_reacquired.insert(shard, started_at);
            hand_over(context, shard)?;
        }
        Ok(())
    }
}

/// Raises the fencing-token counter and ends the coordinator lease: the names of its rental
/// requests contain a fencing token that may have been issued before.
fn raise_counter(
    context: &Arc<ControllerContext>,
    machine: &MachineId,
    (from, to): (FencingToken, FencingToken),
    revision: Revision,
) -> Result<(), StoreError> {
    tracing::error!(
        "started to raise the fencing-token counter from {from} to {to}, which machine {machine} has \
         seen: the state service was restored from an older state"
    );
    let coordinator_lease = context.controller.lock().cached.coordinator_lease.clone();
    let raised = FencingTokenCounter { last: to };
    let mut transaction = raised.replace(Transaction::default(), revision);
    if let Some(coordinator_lease) = coordinator_lease {
        transaction = transaction
            .when(COORDINATOR_LEASE, coordinator_lease.revision)
            .delete(COORDINATOR_LEASE);
    }
    match context
        .store
        .commit(RequestPriority::ShardLeader, &transaction)?
    {
        Outcome::Applied(_) => tracing::error!("raised the fencing-token counter to {to}"),
        // Another controller raised the counter or issued a token; the next round checks again.
        Outcome::Conflict => tracing::debug!(
            "did not raise the fencing-token counter to {to}: it changed concurrently"
        ),
    }
    Ok(())
}

impl ControllerState {
    /// Returns the shard that a machine's record assigns it to, if this controller leads that
    /// shard under an earlier fencing token than the machine has seen.
    fn shard_behind_token(&self, id: &MachineId, observed: FencingToken) -> Option<ShardId> {
        let (record, _) = self.cached.machines.get(id)?;
        let led = self
            .led_shards
            .get(&record.shard)
            .filter(|led| led.loaded)?;
        let machine = led.state.machines.get(id)?;
        (machine.fencing_token(led.state.fencing_token) < observed).then_some(record.shard)
    }
}
