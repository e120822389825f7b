//! The phase of each shard's recovery.
//!
//! A phase is derived from the leader's current state and never stored, so a new leader needs
//! nothing from a controller that stopped in the middle of a recovery.

use pulleywood_protocol::{FencingToken, MonotonicTime, ShardId};
use pulleywood_scheduler::shard::snapshot::ShardSnapshot;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// A phase of a shard's recovery. The names of the phases are written to traces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The records of the shard are being read.
    Read,
    /// Some machines may still run unreported tasks of a previous leader, or have records that
    /// cannot be decoded, and no task from before the failover waits for them.
    Hear,
    /// Tasks from before the failover wait for such machines.
    Decide,
    /// No machine may run unreported tasks any more; tasks from before the failover are being
    /// launched, stopped or recorded as done.
    Act,
    /// All machines and tasks of the previous leader are accounted for.
    Complete,
}

impl Phase {
    /// The phase of a shard with this snapshot; `None` if its records have not been read yet.
    pub fn of(snapshot: Option<&ShardSnapshot>) -> Phase {
        let Some(shard) = snapshot else {
            return Phase::Read;
        };
        if shard.unreported > 0 || shard.unreadable_machines {
            return if shard.inherited_blocked > 0 {
                Phase::Decide
            } else {
                Phase::Hear
            };
        }
        if shard.inherited_waiting + shard.stopping + shard.uncommitted > 0 {
            Phase::Act
        } else {
            Phase::Complete
        }
    }
}

/// A change of a shard's phase.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PhaseTransition {
    /// Id of the shard.
    pub shard: ShardId,
    /// The fencing token that the shard is led under.
    pub fencing_token: FencingToken,
    /// The previous phase; `None` if this is the first under the fencing token.
    pub from: Option<Phase>,
    /// The new phase.
    pub to: Phase,
    /// Duration of the previous phase; zero if there was none.
    pub previous_duration: Duration,
    /// Time since the shard was acquired.
    pub since_acquired: Duration,
}

/// The phase of one shard under one fencing token.
#[derive(Debug)]
struct ShardProgress {
    fencing_token: FencingToken,
    phase: Phase,
    phase_began: MonotonicTime,
    acquired_at: MonotonicTime,
}

/// Recovery phases of the shards that a controller leads. Shards recover independently.
#[derive(Debug, Default)]
pub struct RecoveryProgress {
    shards: BTreeMap<ShardId, ShardProgress>,
}

impl RecoveryProgress {
    /// Records the phase of a shard, and returns the transition if the phase has changed.
    ///
    /// A complete recovery stays complete until the shard is acquired again.
    pub fn update(
        &mut self,
        shard: ShardId,
        fencing_token: FencingToken,
        phase: Phase,
        now: MonotonicTime,
    ) -> Option<PhaseTransition> {
        let current = self
            .shards
            .get(&shard)
            .filter(|progress| progress.fencing_token == fencing_token);
        // Launches and stops after completion are normal operation, not recovery.
        if current
            .is_some_and(|progress| progress.phase == phase || progress.phase == Phase::Complete)
        {
            return None;
        }
        let acquired_at = current.map_or(now, |progress| progress.acquired_at);
        let transition = PhaseTransition {
            shard,
            fencing_token,
            from: current.map(|progress| progress.phase),
            to: phase,
            previous_duration: current
                .map_or(Duration::ZERO, |progress| now.since(progress.phase_began)),
            since_acquired: now.since(acquired_at),
        };
        let progress = ShardProgress {
            fencing_token,
            phase,
            phase_began: now,
            acquired_at,
        };
        self.shards.insert(shard, progress);
        Some(transition)
    }

    /// Whether the shard's recovery under this fencing token is complete.
    pub fn is_complete(&self, shard: ShardId, fencing_token: FencingToken) -> bool {
        let progress = self.shards.get(&shard);
        progress.is_some_and(|progress| {
            progress.fencing_token == fencing_token && progress.phase == Phase::Complete
        })
    }

    /// Removes the shards that are no longer led.
    pub fn retain_led(&mut self, is_led: impl Fn(ShardId) -> bool) {
        self.shards.retain(|shard, _| is_led(*shard));
    }

    /// The time at which the shard was acquired; `None` if its recovery is complete.
    pub fn recovering_since(&self, shard: ShardId) -> Option<MonotonicTime> {
        let progress = self.shards.get(&shard)?;
        (progress.phase != Phase::Complete).then_some(progress.acquired_at)
    }
}
