//! Machines that may return after a leader was unable to respond to its workers. Until
//! they have, no task is preempted for one that may fit on them.

use crate::config::Config;
use crate::resources::ResourceVector;
use crate::shard::ShardState;
use crate::shard::machine::Machine;
use crate::shard::resumption::WORKER_RETRY_DELAY;
use pulleywood_protocol::{JobSpec, MonotonicTime};

/// If more than one in this many machines missed its last response, the responses were
/// lost; otherwise those machines are considered partitioned.
const LOST_RESPONSES_RATIO: usize = 4;

/// Heartbeat intervals, in addition to [`WORKER_RETRY_DELAY`], after which a silent
/// machine may not have sent a heartbeat since heartbeats resumed.
const RECENT_HEARTBEAT_INTERVALS: f64 = 3.0;

impl ShardState {
    /// Whether a task of a job may fit on a machine that the planner does not use yet
    /// because its leader was unable to respond for a while.
    pub(crate) fn may_fit_returning_machine(
        &self,
        spec: &JobSpec,
        now: MonotonicTime,
        config: &Config,
    ) -> bool {
        if !self.resumption.delays_preemption {
            return false;
        }
        let resumed_recently = self.resumption.is_recent(now, config);
        let missed_response = |m: &&Machine| {
            m.inbound_partitioned_since.is_some() && !m.is_inbound_partitioned(now, config)
        };
        let missed_responses = self.machines.values().filter(missed_response).count();
        if !resumed_recently && missed_responses * LOST_RESPONSES_RATIO <= self.machines.len() {
            return false;
        }
        let recent = config
            .heartbeat_interval
            .mul_f64(RECENT_HEARTBEAT_INTERVALS)
            + WORKER_RETRY_DELAY;
        let may_return = |m: &Machine| {
            let sent_recently = m.last_heartbeat_at.is_some_and(|at| now.since(at) < recent);
            missed_response(&m) || resumed_recently && !(m.confirmed && sent_recently)
        };
        let mut machines = self.machines.values();
        machines.any(|m| may_return(m) && may_have_resources(m, spec, now, config))
    }
}

/// Whether one more task would fit on the machine, as far as is known.
fn may_have_resources(
    machine: &Machine,
    spec: &JobSpec,
    now: MonotonicTime,
    config: &Config,
) -> bool {
    let record = &machine.record;
    let Some(flavor) = config.flavors.get(&record.flavor) else {
        return false;
    };
    machine.remains_in_service(now)
        && config.flavor_fits(spec, flavor)
        && spec.allows_placement(&record.zone, record.spot)
        && machine
            .free_resources(ResourceVector::of_flavor(flavor))
            .fits(&ResourceVector::of_task(spec))
}
