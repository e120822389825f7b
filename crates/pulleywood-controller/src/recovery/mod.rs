//! The recovery subsystem. It tracks the recovery phase of each led shard, gives image fetches
//! of services priority during a recovery, raises a fencing-token counter that is behind the
//! workers, and audits the store. It runs only if a policy script switches it on.

mod audit;
mod fencing_tokens;

use crate::state::ControllerContext;
use pulleywood_protocol::{MonotonicTime, ShardId};
use pulleywood_recovery::RecoveryPolicy;
use pulleywood_recovery::audit::Audit;
use pulleywood_recovery::fetch_gate::fetch_gate;
use pulleywood_recovery::progress::{Phase, PhaseTransition, RecoveryProgress};
use pulleywood_scheduler::shard::snapshot::ShardSnapshot;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// State of the recovery thread between rounds.
struct Recovery {
    policy: RecoveryPolicy,
    progress: RecoveryProgress,
    spans: BTreeMap<ShardId, tracing::Span>,
    audit: Audit,
    /// When the audit last read a slice of the store.
    last_audit: MonotonicTime,
    /// When each shard was last reacquired because its workers have seen a later fencing token.
    last_reacquired: BTreeMap<ShardId, MonotonicTime>,
}

/// Runs the rounds of the recovery subsystem for the life of the process. Returns at once if
/// the subsystem is switched off.
pub fn run(context: &Arc<ControllerContext>) {
    let Some(policy) = context.recovery.clone() else {
        return;
    };
    let mut recovery = Recovery {
        policy,
        progress: RecoveryProgress::default(),
        spans: BTreeMap::new(),
        audit: Audit::default(),
        last_audit: context.clock.now(),
        last_reacquired: BTreeMap::new(),
    };
    loop {
        std::thread::sleep(ROUND_INTERVAL);
        recovery.update_phases(context);
        if let Err(e) = recovery.check_fencing_tokens(context) {
            tracing::debug!("failed to check the fencing-token counter: {e}");
        }
        if let Err(e) = recovery.audit(context) {
            tracing::debug!("failed to audit the store: {e}");
        }
    }
}

impl Recovery {
    /// Updates and logs the phase of each led shard, and sets the fetch gates of those that are
    /// recovering.
    fn update_phases(&mut self, context: &ControllerContext) {
        let now = context.clock.now();
        let mut transitions = Vec::new();
        {
            let mut controller = context.controller.lock();
            let config = Arc::clone(&controller.config);
            for (shard, led) in &mut controller.led_shards {
                let fencing_token = led.state.fencing_token;
                if self.progress.is_complete(*shard, fencing_token) {
                    led.state.fetch_gate = None;
                    continue;
                }
                let snapshot = led.loaded.then(|| led.state.snapshot(&config));
                let phase = Phase::of(snapshot.as_ref());
                if let Some(transition) = self.progress.update(*shard, fencing_token, phase, now) {
                    transitions.push((transition, snapshot.clone()));
                }
                let since = self.progress.recovering_since(*shard);
                led.state.fetch_gate = match (snapshot, since) {
                    (Some(snapshot), Some(since)) => {
                        fetch_gate(&self.policy, &snapshot, since, now)
                    }
                    _ => None,
                };
            }
            self.progress
                .retain_led(|shard| controller.led_shards.contains_key(&shard));
            self.spans
                .retain(|shard, _| controller.led_shards.contains_key(shard));
        }
        for (transition, snapshot) in transitions {
            self.log_transition(&transition, snapshot.as_ref());
        }
    }

    /// Logs a transition in a span of the new phase. Each phase of a shard has its own span,
    /// which ends with the phase.
    fn log_transition(&mut self, transition: &PhaseTransition, snapshot: Option<&ShardSnapshot>) {
        let PhaseTransition {
            shard,
            fencing_token,
            to,
            ..
        } = transition;
        let span = tracing::info_span!("recovery", shard = shard.0, fencing_token = fencing_token.0, phase = ?to);
        span.in_scope(|| {
            let counts = snapshot.cloned().unwrap_or_default();
            tracing::info!(
                from = ?transition.from,
                after_ms = transition.previous_duration.as_millis() as u64,
                total_ms = transition.since_acquired.as_millis() as u64,
                machines = counts.machines,
                confirmed = counts.confirmed,
                unreported = counts.unreported,
                running = counts.running,
                stopping = counts.stopping,
                uncommitted = counts.uncommitted,
                older_waiting = counts.inherited_waiting,
                older_blocked = counts.inherited_blocked,
                services_missing = counts.waiting_replicas,
                "recovery of shard {shard} entered phase {to:?}"
            );
        });
        match to {
            Phase::Complete => drop(self.spans.remove(shard)),
            _ => drop(self.spans.insert(*shard, span)),
        }
    }
}
