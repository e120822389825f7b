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
    Fresh,
}

impl ShardState {
    /// Takes a worker's heartbeat. `reply`: it came in reply to a direct command that
    /// the worker executed under the present fencing token, so that answers under
    /// older fencing tokens can no longer reach it.
    pub fn heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        reply: bool,
        now: MonotonicTime,
        config: &Config,
    ) -> HeartbeatOutcome {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return HeartbeatOutcome::Unknown;
        };
        if (heartbeat.incarnation, heartbeat.seq) <= machine.newest {
            return HeartbeatOutcome::Stale;
        }
        self.resumption.heard(now, config);
        let fencing_token = machine.fencing_token(self.fencing_token);
        if heartbeat.fencing_token > fencing_token {
            return HeartbeatOutcome::Superseded;
        }
        let mut usable_changed = machine.note_connection(heartbeat, reply, now);
        usable_changed |= machine.note_spot_notice(heartbeat, now);
        // A heartbeat from before this fencing token may have been delayed by the
        // network, and older commands may have been executed since. The worker's next
        // one, sent after this answer, shows what it runs.
        let trusted = heartbeat.fencing_token == fencing_token;
        if trusted {
            usable_changed |= machine.confirm(reply, now);
        }
        if usable_changed {
            self.disturb();
        }
        if trusted {
            self.reconcile(heartbeat, reply, now, config);
        }
        HeartbeatOutcome::Fresh
    }
}

impl Machine {
    /// Notes that a message came, and whether it shows that the worker received the
    /// last answer. A worker that did sends its next message here; one that did not
    /// tries other controllers first, or its lease expires. Returns whether the
    /// machine became inbound partitioned or ceased to be.
    fn note_connection(&mut self, heartbeat: &Heartbeat, reply: bool, now: MonotonicTime) -> bool {
        let number = (heartbeat.incarnation, heartbeat.seq);
        self.newest = number;
        self.heard = Some(now);
        let Some((incarnation, seq)) = self.awaits.take() else {
            return false;
        };
        let received_answer = number == (incarnation, seq + 1);
        if reply {
            // It came between an answer and the heartbeat that follows.
            self.awaits = Some(if received_answer {
                number
            } else {
                (incarnation, seq)
            });
            return false;
        }
        let was_partitioned = self.inbound_partitioned_since.is_some();
        if received_answer {
            self.inbound_partitioned_since = None;
            self.lost_since = now;
        } else {
            self.inbound_partitioned_since.get_or_insert(now);
        }
        received_answer == was_partitioned
    }

    /// Notes when the cloud reclaims the machine, if it gave notice. Returns
    /// whether a notice was given or withdrawn.
    fn note_spot_notice(&mut self, heartbeat: &Heartbeat, now: MonotonicTime) -> bool {
        let reclaim_at = heartbeat.reclaim_in_s.map(|s| now + secs(s.0));
        let changed = reclaim_at.is_some() != self.taken_at.is_some();
        self.taken_at = reclaim_at;
        changed
    }

    /// What the machine runs is known from now on. Returns whether it was not before.
    fn confirm(&mut self, reply: bool, now: MonotonicTime) -> bool {
        if reply {
            // Its lease cannot last longer than if it had sent a heartbeat now.
            self.answered = self.answered.max(Some(now));
        }
        let first = !self.confirmed || self.unreported;
        self.confirmed = true;
        self.unreported = false;
        first
    }
}
