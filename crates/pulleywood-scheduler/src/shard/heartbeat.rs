//! Taking a heartbeat: whether it is new, what it shows of the connection to the
//! worker, and whether its list of tasks can be trusted.
//!
//! Invariants: messages of a worker are accepted in the order of their numbers, each at
//! most once; a list of tasks counts only if the worker had seen the machine's
//! present fencing token, as commands under an older one may be executed later.

use crate::config::Config;
use crate::shard::ShardState;
use crate::shard::machine::Machine;
use pulleywood_protocol::MonotonicTime;
use pulleywood_protocol::time::secs;
use pulleywood_protocol::worker::Heartbeat;

/// What became of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// It is not newer than one accepted already: the worker would drop the answer.
    Stale,
    /// It is not from a machine of this shard.
    Unknown,
    /// Its worker has seen a newer fencing token: another leader commands it, and it
    /// would drop the answer. The answer must not be a 200, which would keep the
    /// worker here while its lease runs out.
    Superseded,
    /// It was accepted.
    Accepted,
}

impl ShardState {
    /// Takes a worker's heartbeat. `reply`: it came in reply to a direct command that
    /// the worker executed under the present fencing token, so that answers under
    /// older fencing tokens can no longer reach it.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        reply: bool,
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
        let mut usable_changed = machine.update_connectivity(heartbeat, reply, now);
        usable_changed |= machine.update_reclaim_time(heartbeat, now);
        // A heartbeat from before this fencing token may have been delayed by the
        // network, and older commands may have been executed since. The worker's next
        // one, sent after this answer, shows what it runs.
        let trusted = heartbeat.fencing_token == fencing_token;
        if trusted {
            usable_changed |= machine.confirm(reply, now);
        }
        if usable_changed {
            self.invalidate_plan();
        }
        if trusted {
            self.reconcile(heartbeat, reply, now, config);
        }
        HeartbeatOutcome::Accepted
    }
}

impl Machine {
    /// Notes that a message came, and whether it shows that the worker received the
    /// last answer. A worker that did sends its next message here; one that did not
    /// tries other controllers first, or its lease expires. Returns whether the
    /// machine became inbound partitioned or ceased to be.
    fn update_connectivity(
        &mut self,
        heartbeat: &Heartbeat,
        reply: bool,
        now: MonotonicTime,
    ) -> bool {
        let number = (heartbeat.incarnation, heartbeat.seq);
        self.last_message = number;
        self.last_heartbeat_at = Some(now);
        let Some((incarnation, seq)) = self.unacknowledged_response.take() else {
            return false;
        };
        let received_answer = number == (incarnation, seq + 1);
        if reply {
            // It came between an answer and the heartbeat that follows.
            self.unacknowledged_response = Some(if received_answer {
                number
            } else {
                (incarnation, seq)
            });
            return false;
        }
        let was_partitioned = self.inbound_partitioned_since.is_some();
        if received_answer {
            self.inbound_partitioned_since = None;
            self.last_round_trip_at = now;
        } else {
            self.inbound_partitioned_since.get_or_insert(now);
        }
        received_answer == was_partitioned
    }

    /// Notes when the cloud reclaims the machine, if it gave notice. Returns
    /// whether a notice was given or withdrawn.
    fn update_reclaim_time(&mut self, heartbeat: &Heartbeat, now: MonotonicTime) -> bool {
        let reclaim_at = heartbeat.notice_s.map(|s| now + secs(s.0));
        let changed = reclaim_at.is_some() != self.reclaim_at.is_some();
        self.reclaim_at = reclaim_at;
        changed
    }

    /// What the machine runs is known from now on. Returns whether it was not before.
    fn confirm(&mut self, reply: bool, now: MonotonicTime) -> bool {
        if reply {
            // Its lease cannot last longer than if it had sent a heartbeat now.
            self.last_response_at = self.last_response_at.max(Some(now));
        }
        let first = !self.confirmed || self.unreported;
        self.confirmed = true;
        self.unreported = false;
        first
    }
}
