//! Workers that have seen a fencing token above the counter or above their shard's: the
//! store is older than what they went through.

use super::Recovery;
use crate::fencing_token::newest_fencing_token;
use crate::shard::hand_over::hand_over;
use crate::state::{ControllerContext, ControllerState, Versioned};
use crate::watch;
use pulleywood_protocol::record::{COORDINATOR_LEASE, FencingTokenCounter};
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::{FencingToken, MachineId, MonotonicTime, Revision, ShardId};
use pulleywood_recovery::counter::{self, CounterDecision, Shown};
use pulleywood_transport::store::Outcome;
use pulleywood_transport::{RequestPriority, StoreError};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// What workers showed is forgotten after this long.
const SHOWN_TIME: Duration = Duration::from_secs(60);

impl Recovery {
    /// Raises the fencing-token counter past what workers showed, and reacquires shards
    /// whose machines have seen a fencing token above theirs.
    pub(super) fn check_fencing_tokens(
        &mut self,
        context: &Arc<ControllerContext>,
    ) -> Result<(), StoreError> {
        let began = context.clock.now();
        let shown = {
            let mut controller = context.controller.lock();
            let now = began;
            controller
                .higher_fencing_tokens
                .retain(|_, shown| now.since(shown.at) < SHOWN_TIME);
            if controller.higher_fencing_tokens.is_empty() || !controller.may_act(now) {
                return Ok(());
            }
            controller.higher_fencing_tokens.clone()
        };
        // The shard that the machine belongs to now decides, not the one it belonged to.
        watch::changes(context, RequestPriority::Housekeeping, Duration::ZERO)?;
        let Versioned {
            value: counter,
            revision,
        } = newest_fencing_token(context)?;
        let gap = self.policy.most_fencing_token_gap as u64;
        match counter::decide(&shown, counter, began, gap) {
            CounterDecision::Raise { to, machine } => {
                raise_counter(context, &machine, (counter, to), revision)
            }
            CounterDecision::Implausible {
                fencing_token,
                machine,
            } => {
                tracing::error!(
                    "{machine} shows fencing token {fencing_token}, the counter is {counter}: too far to be raised \
                     by itself (most_term_gap)"
                );
                context
                    .controller
                    .lock()
                    .higher_fencing_tokens
                    .remove(&machine);
                Ok(())
            }
            CounterDecision::Covered => self.reacquire_shards(context, &shown, began),
        }
    }

    /// Reacquires the shards whose machines obey a later fencing token than theirs,
    /// although this controller still leads them: that fencing token is of a history that
    /// the store has lost.
    fn reacquire_shards(
        &mut self,
        context: &Arc<ControllerContext>,
        shown: &BTreeMap<MachineId, Shown>,
        began: MonotonicTime,
    ) -> Result<(), StoreError> {
        let mut behind: Vec<ShardId> = Vec::new();
        {
            let mut controller = context.controller.lock();
            for (id, shown) in shown.iter().filter(|(_, s)| s.at < began) {
                match controller.obeys_lost_fencing_token(id, shown.fencing_token) {
                    Some(shard) => behind.push(shard),
                    None => drop(controller.higher_fencing_tokens.remove(id)),
                }
            }
        }
        behind.sort();
        behind.dedup();
        let lease = context.controller.lock().config.lease;
        for shard in behind {
            let last = self.reacquired.get(&shard);
            if last.is_some_and(|at| began.since(*at) < lease) {
                continue;
            }
            tracing::error!(
                "workers of shard {shard} have seen a later fencing token: reacquiring it"
            );
            self.reacquired.insert(shard, began);
            hand_over(context, shard)?;
        }
        Ok(())
    }
}

/// Raises the fencing-token counter, and ends the coordinator lease, whose names rest on
/// a fencing token that may have been used before.
fn raise_counter(
    context: &Arc<ControllerContext>,
    machine: &MachineId,
    (from, to): (FencingToken, FencingToken),
    revision: Revision,
) -> Result<(), StoreError> {
    tracing::error!(
        "{machine} has seen fencing token {to}, the counter is {from}: the state service is older than \
         what workers went through; raising the counter"
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
        Outcome::Applied(_) => tracing::error!("the fencing token counter is now {to}"),
        // Another controller raised it, or drew a fencing token: the next round checks again.
        Outcome::Conflict => tracing::debug!("the fencing token counter has changed meanwhile"),
    }
    Ok(())
}

impl ControllerState {
    /// The led shard whose machine obeys a later fencing token than the shard's,
    /// though no record says that it belongs elsewhere.
    fn obeys_lost_fencing_token(&self, id: &MachineId, shown: FencingToken) -> Option<ShardId> {
        let (record, _) = self.cached.machines.get(id)?;
        let led = self
            .led_shards
            .get(&record.shard)
            .filter(|led| led.loaded)?;
        let machine = led.state.machines.get(id)?;
        (machine.fencing_token(led.state.fencing_token) < shown).then_some(record.shard)
    }
}
