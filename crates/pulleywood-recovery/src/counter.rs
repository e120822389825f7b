//! Repair of a fencing-token counter that is too low because the store was restored from an
//! older copy.
//!
//! All fencing tokens are issued from one counter, so a worker can have seen a token above
//! the counter only if the store lost writes. Such a worker ignores every command until the
//! counter has passed its token, and names derived from fencing tokens (attempts, rental
//! requests) would be reused. The counter is therefore raised to the highest token seen, by
//! a compare-and-swap. Shards and the coordinator lease that are held under a token not
//! above it are then acquired again.

use pulleywood_protocol::{FencingToken, MachineId, MonotonicTime};
use std::collections::BTreeMap;

/// A fencing token that a worker's heartbeat carried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedToken {
    /// The fencing token.
    pub fencing_token: FencingToken,
    /// When the heartbeat arrived.
    pub received_at: MonotonicTime,
}

/// Whether the observed fencing tokens require a repair of the counter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CounterDecision {
    /// No observed fencing token is above the counter: nothing to do.
    Sufficient,
    /// Raise the counter to this fencing token.
    Raise {
        /// The new value of the counter.
        to: FencingToken,
        /// A machine whose heartbeat carried this token.
        machine: MachineId,
    },
    /// All tokens above the counter are too far above it: report the machine to the
    /// operator.
    Implausible {
        /// The highest observed fencing token.
        fencing_token: FencingToken,
        /// The machine whose heartbeat carried this token.
        machine: MachineId,
    },
}

/// Compares the observed fencing tokens with the counter.
///
/// `read_began`: when the read of `counter` began. Heartbeats that arrived then or later are
/// ignored, since the counter may have been raised in between. `max_gap`: how far the counter
/// may be raised in one step.
pub fn decide(
    observed: &BTreeMap<MachineId, ObservedToken>,
    counter: FencingToken,
    read_began: MonotonicTime,
    max_gap: u64,
) -> CounterDecision {
    let ahead = observed.iter().filter(|(_, observation)| {
        observation.fencing_token > counter && observation.received_at < read_began
    });
    let highest_plausible = counter
        .0
        .saturating_add(max_gap)
        .min(FencingToken::LAST.0 - 1);
    let plausible = ahead
        .clone()
        .filter(|(_, observation)| observation.fencing_token.0 <= highest_plausible);
    if let Some((machine, highest)) =
        plausible.max_by_key(|(_, observation)| observation.fencing_token)
    {
        return CounterDecision::Raise {
            to: highest.fencing_token,
            machine: machine.clone(),
        };
    }
    match ahead.max_by_key(|(_, observation)| observation.fencing_token) {
        Some((machine, highest)) => CounterDecision::Implausible {
            fencing_token: highest.fencing_token,
            machine: machine.clone(),
        },
        None => CounterDecision::Sufficient,
    }
}
