//! Changes that follow from the passing of time: workers' leases expire, and machines
//! that the cloud will reclaim are emptied.
//!
//! Invariant: a task on a machine that stopped sending heartbeats is not launched again
//! before the worker's lease has certainly expired: [`Config::lease_expiry_bound`],
//! which allows for clock drift, after the last heartbeat that was answered. If a
//! previous leader launched the task, that leader's last launches must have ended too.

use crate::config::Config;
use crate::shard::ShardState;
use crate::shard::machine::{Machine, Slot};
use pulleywood_protocol::MonotonicTime;

/// Time by which a stop must precede the reclaim of a machine, besides the time that
/// the task takes to save: a number of heartbeat intervals, so that one response may be
/// lost, and a number of seconds.
const STOP_MARGIN_INTERVALS: f64 = 2.5;
const STOP_MARGIN_S: f64 = 0.5;

impl ShardState {
    /// Applies what follows from the current time: expired leases, reclaim notices,
    /// attribution of failures, and done tasks that must be committed soon.
    pub fn tick(&mut self, now: MonotonicTime, config: &Config) {
        let mut ended: Vec<Slot> = Vec::new();
        let mut changed = false;
        for machine in self.machines.values_mut() {
            let expired = machine.has_lease_expired(now, config);
            if machine.unreported && expired && now >= self.previous_launches_until {
                machine.unreported = false;
                changed = true;
            }
            if expired
                && machine.last_response_at.is_some()
                && !machine.unreported
                && machine.confirmed
            {
                // Without a lease, the worker has killed its tasks and forgotten them.
                machine.confirmed = false;
                machine.idle_since = None;
                ended.append(&mut machine.slots);
            }
            machine.stop_before_reclaim(now, config);
        }
        if self.unreadable_machines && now >= self.previous_launches_until {
            self.unreadable_machines = false;
            changed = true;
        }
        changed |= !ended.is_empty();
        for slot in ended {
            self.end_attempt(&slot.task, slot.attempt);
        }
        changed |= self.attribute_failures(now, config);
        if changed {
            self.invalidate_plan();
        }
        self.expedite_done_tasks(now);
    }
}

impl Machine {
    fn has_lease_expired(&self, now: MonotonicTime, config: &Config) -> bool {
        let lease = config.lease_expiry_bound();
        self.last_response_at.is_none_or(|at| now >= at + lease)
    }

    /// Stops the tasks that need all the time left until the cloud reclaims the machine
    /// to save their state.
    fn stop_before_reclaim(&mut self, now: MonotonicTime, config: &Config) {
        let Some(reclaim_at) = self.reclaim_at else {
            return;
        };
        let left_s = reclaim_at.since(now).as_secs_f64();
        let interval_s = config.heartbeat_interval.as_secs_f64();
        let margin_s = interval_s * STOP_MARGIN_INTERVALS + STOP_MARGIN_S;
        for slot in self.slots.iter_mut().filter(|s| s.holds_resources()) {
            let save_s = slot.spec.as_ref().map_or(0.0, |s| s.save_s.0);
            if slot.stop_grace_s.is_none() && left_s <= save_s + margin_s {
                slot.stop_grace_s = Some(left_s.max(save_s));
            }
        }
    }
}
