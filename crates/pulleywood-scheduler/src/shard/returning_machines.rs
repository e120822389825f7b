//! Machines that may return after a leader could not answer its workers: until they
//! have, no task is preempted for one that they may have resources for.

use crate::config::Config;
use crate::resources::ResourceVector;
use crate::shard::ShardState;
use crate::shard::machine::Machine;
use crate::shard::resumption::WORKER_RETRY_DELAY;
use pulleywood_protocol::{JobSpec, MonotonicTime};

/// If more than one machine in so many missed its last answer, the answers were lost,
/// rather than the machines being partitioned.
const MISSED_SHARE: usize = 4;

/// A machine that was not heard for so many heartbeat intervals, and [`NEXT_TRY`], may
/// not have been heard since heartbeats resumed.
const HEARD_LATELY_INTERVALS: f64 = 3.0;

impl ShardState {
    /// Whether a task of a job may find resources on a machine that the planner does
    /// not use yet, since its leader could not answer for a while.
    pub(crate) fn may_fit_returning_machine(
        &self,
        spec: &JobSpec,
        now: MonotonicTime,
        config: &Config,
    ) -> bool {
        if !self.resumption.delays_preemption {
            return false;
        }
        let resumed_lately = self.resumption.is_recent(now, config);
        let missed_answer = |m: &&Machine| {
            m.inbound_partitioned_since.is_some() && !m.is_inbound_partitioned(now, config)
        };
        let missed_answers = self.machines.values().filter(missed_answer).count();
        if !resumed_lately && missed_answers * MISSED_SHARE <= self.machines.len() {
            return false;
        }
        let lately = config.heartbeat_interval.mul_f64(HEARD_LATELY_INTERVALS) + WORKER_RETRY_DELAY;
        let may_return = |m: &Machine| {
            let heard = m.last_heartbeat_at.is_some_and(|at| now.since(at) < lately);
            missed_answer(&m) || resumed_lately && !(m.confirmed && heard)
        };
        let mut machines = self.machines.values();
        machines.any(|m| may_return(m) && may_have_resources(m, spec, now, config))
    }
}

/// Whether the machine could take one more task, as far as is known.
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
        && spec.allows_place(&record.zone, record.spot)
        && machine
            .free_resources(ResourceVector::of_flavor(flavor))
            .fits(&ResourceVector::of_task(spec))
}
