//! Acceptance of heartbeats: whether a heartbeat is new, what it shows about the
//! connection to the worker, and whether its task list can be trusted.
//!
//! Invariants: messages of a worker are accepted in the order of their sequence
//! numbers, each at most once; a task list counts only if the worker had seen the
//! machine's current fencing token, because commands under an older token may still be
//! executed later.

use crate::config::Config;
use crate::shard::ShardState;
use crate::shard::machine::Machine;
use pulleywood_protocol::MonotonicTime;
use pulleywood_protocol::time::secs;
use pulleywood_protocol::worker::Heartbeat;

/// Result of handling a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// It is not newer than the last one accepted; the worker would ignore a response.
    Stale,
    /// It is not from a machine of this shard.
    Unknown,
    /// Its worker has seen a newer fencing token, so another leader commands it and it
    /// would ignore a response. The HTTP status must not be 200, which would make the
    /// worker stay with this controller while its lease runs out.
    Superseded,
    /// It was accepted.
    Accepted,
}

impl ShardState {
    /// Handles a worker's heartbeat. `is_reply`: the message is the reply to a direct
    /// command that the worker executed under the current fencing token, so responses
    /// under older tokens can no longer take effect on it.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        is_reply: bool,
        now: MonotonicTime,
        config: &Config,
    ) -> HeartbeatOutcome {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return HeartbeatOutcome::Unknown;
        };
        if (heartbeat.incarnation, heartbeat.seq) <= machine.last_message {
            return HeartbeatOutcome::Stale;
        }
        self.resumption.record_heartbeat(now, config);
        let fencing_token = machine.fencing_token(self.fencing_token);
        if heartbeat.fencing_token > fencing_token {
            return HeartbeatOutcome::Superseded;
        }
        let mut usable_changed = machine.update_connectivity(heartbeat, is_reply, now);
        usable_changed |= machine.update_reclaim_time(heartbeat, now);
        // A heartbeat from before this fencing token may have been delayed by the
        // network, and commands under an older token may have been executed since. The
        // worker's next heartbeat, sent after this response, shows what it runs.
        let trusted = heartbeat.fencing_token == fencing_token;
        if trusted {
            usable_changed |= machine.confirm(is_reply, now);
        }
        if usable_changed {
            self.invalidate_plan();
        }
        if trusted {
            self.reconcile(heartbeat, is_reply, now, config);
        }
        HeartbeatOutcome::Accepted
    }
}

impl Machine {
    /// Records a message and whether it shows that the worker received the last
    /// response. A worker that did sends its next message here; one that did not tries
    /// other controllers first, or its lease expires. Returns whether the machine
    /// became inbound partitioned or recovered from it.
    fn update_connectivity(
        &mut self,
        heartbeat: &Heartbeat,
        is_reply: bool,
        now: MonotonicTime,
    ) -> bool {
        let message = (heartbeat.incarnation, heartbeat.seq);
        self.last_message = message;
        self.last_heartbeat_at = Some(now);
        let Some((incarnation, seq)) = self.unacknowledged_response.take() else {
            return false;
        };
        let received_response = message == (incarnation, seq + 1);
        if is_reply {
            // The reply came between a response and the heartbeat that follows it.
            self.unacknowledged_response = Some(if received_response {
                message
            } else {
                (incarnation, seq)
            });
            return false;
        }
        let was_partitioned = self.inbound_partitioned_since.is_some();
        if received_response {
            self.inbound_partitioned_since = None;
            self.last_round_trip_at = now;
        } else {
            self.inbound_partitioned_since.get_or_insert(now);
        }
        received_response == was_partitioned
    }

    /// Records when the cloud will reclaim the machine, if it gave notice. Returns
    /// whether a notice was given or withdrawn.
    fn update_reclaim_time(&mut self, heartbeat: &Heartbeat, now: MonotonicTime) -> bool {
        let reclaim_at = heartbeat.reclaim_in_s.map(|s| now + secs(s.0));
        let changed = reclaim_at.is_some() != self.reclaim_at.is_some();
        self.reclaim_at = reclaim_at;
        changed
    }

    /// Records that the tasks on the machine are known. Returns whether they were
    /// unknown before.
    fn confirm(&mut self, is_reply: bool, now: MonotonicTime) -> bool {
        if is_reply {
            // The worker's lease cannot last longer than if it had sent a heartbeat
            // now.
            self.last_response_at = self.last_response_at.max(Some(now));
        }
        let first = !self.confirmed || self.unreported;
        self.confirmed = true;
        self.unreported = false;
        first
    }
}
