//! The phase of each shard's recovery.
//!
//! A phase is computed from the leader's current state and never stored, so the next leader
//! needs nothing from a controller that stops half-way.

use pulleywood_protocol::{FencingToken, MonotonicTime, ShardId};
use pulleywood_scheduler::shard::snapshot::ShardSnapshot;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// A phase of a shard's recovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Its records are being read.
    Read,
    /// Some machines are unreported, and no task from before the failover waits for them.
    Hear,
    /// Tasks from before the failover wait for unreported machines.
    Decide,
    /// Tasks from before the failover are being launched, stopped or recorded as done.
    Act,
    /// All machines and tasks of the previous leader are accounted for.
    Complete,
}

impl Phase {
    /// The phase for a leader's snapshot; `None`: the shard's records are not read yet.
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
pub struct Transition {
    /// The shard.
    pub shard: ShardId,
    /// The fencing token of its leader.
    pub fencing_token: FencingToken,
    /// The previous phase, if this process saw one under the same fencing token.
    pub from: Option<Phase>,
    /// The new phase.
    pub to: Phase,
    /// How long the previous phase lasted.
    pub lasted: Duration,
    /// Time since the shard was acquired.
    pub total: Duration,
}

/// The phase of one shard under one fencing token.
#[derive(Debug)]
struct ShardProgress {
    fencing_token: FencingToken,
    phase: Phase,
    phase_began: MonotonicTime,
    acquired: MonotonicTime,
}

/// The recovery phases of the shards that a controller leads. Shards recover independently.
#[derive(Debug, Default)]
pub struct Progress {
    shards: BTreeMap<ShardId, ShardProgress>,
}

impl Progress {
    /// Records that a shard is in a phase; returns the transition if the phase is new.
    ///
    /// A shard that is complete stays complete until it is acquired again.
    pub fn update(
        &mut self,
        shard: ShardId,
        fencing_token: FencingToken,
        phase: Phase,
        now: MonotonicTime,
    ) -> Option<Transition> {
        let known = self
            .shards
            .get(&shard)
            .filter(|progress| progress.fencing_token == fencing_token);
        // Later launches and stops are ordinary work, not recovery.
        if known
            .is_some_and(|progress| progress.phase == phase || progress.phase == Phase::Complete)
        {
            return None;
        }
        let acquired = known.map_or(now, |progress| progress.acquired);
        let transition = Transition {
            shard,
            fencing_token,
            from: known.map(|progress| progress.phase),
            to: phase,
            lasted: known.map_or(Duration::ZERO, |progress| now.since(progress.phase_began)),
            total: now.since(acquired),
        };
        let progress = ShardProgress {
            fencing_token,
            phase,
            phase_began: now,
            acquired,
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

    /// Forgets the shards that are no longer led.
    pub fn keep(&mut self, is_led: impl Fn(ShardId) -> bool) {
        self.shards.retain(|shard, _| is_led(*shard));
    }

    /// When the shard was acquired, if its recovery is not complete.
    pub fn recovering_since(&self, shard: ShardId) -> Option<MonotonicTime> {
        let progress = self.shards.get(&shard)?;
        (progress.phase != Phase::Complete).then_some(progress.acquired)
    }
}
