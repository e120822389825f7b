//! Demand: the tasks that wait for machines, and those expected of future service jobs.

use super::bins::Bin;
use super::{FleetSnapshot, MachineKind};
use crate::config::Config;
use crate::machine_types::MachineTypes;
use crate::resources::ResourceVector;
use pulleywood_protocol::cloud::Flavor;
use pulleywood_protocol::peer::Demand;

/// Lower bound of the share of a machine that a task needs, which is a divisor.
const MIN_TASK_SHARE: f64 = 1e-6;

/// A demand in the course of finding machines for it.
pub(super) struct PendingTasks<'a> {
    pub(super) demand: &'a Demand,
    /// Resources that one task needs.
    pub(super) need: ResourceVector,
    /// Machine types that this demand leaves to demand that can use no others.
    pub(super) avoided_types: MachineTypes,
}

impl PendingTasks<'_> {
    /// Returns whether these tasks do not have to avoid a machine's type.
    pub(super) fn may_use(&self, bin: &Bin) -> bool {
        !self.avoided_types.contains(&bin.kind.flavor)
    }
}

/// Returns whether a demand's tasks may run on machines of a kind.
pub(super) fn allows(demand: &Demand, kind: &MachineKind) -> bool {
    (demand.spot || !kind.spot)
        && (demand.zones.is_empty() || demand.zones.contains(&kind.zone))
        && demand
            .types
            .as_ref()
            .is_none_or(|types| types.contains(&kind.flavor))
}

/// Returns how much of the waiting work may use spot machines and machines of one type,
/// in slot-seconds. A slot has the size of one task of `demand`.
pub(super) fn waiting_spot_work_s(
    waiting_demand: &[&Demand],
    demand: &Demand,
    flavor: &Flavor,
) -> f64 {
    let capacity = ResourceVector::of_flavor(flavor);
    let share = |task: &Demand| ResourceVector::of_demand(task).dominant_share(&capacity);
    let slot_share = share(demand).max(MIN_TASK_SHARE);
    let may_run = |waiting: &&&Demand| {
        let allowed = waiting
            .types
            .as_ref()
            .is_none_or(|types| types.contains(&flavor.label));
        waiting.spot && allowed && capacity.fits(&ResourceVector::of_demand(waiting))
    };
    waiting_demand
        .iter()
        .filter(may_run)
        .map(|waiting| {
            f64::from(waiting.count) * waiting.remaining_work_s * share(waiting) / slot_share
        })
        .sum()
}

/// Returns the expected demand of the next service jobs: for each shape, the largest
/// that any shard reports, times the policy's `reserve_jobs`.
pub(super) fn service_reserves(config: &Config, snapshot: &FleetSnapshot<'_>) -> Vec<Demand> {
    let mut reserves: Vec<Demand> = Vec::new();
    for reported in snapshot.shards.values().flat_map(|digest| &digest.reserve) {
        let same_shape = reserves.iter_mut().find(|reserve| {
            (reserve.cpus, reserve.gpus, reserve.memory_gb)
                == (reported.cpus, reported.gpus, reported.memory_gb)
                && (&reserve.types, &reserve.zones) == (&reported.types, &reported.zones)
                && (reserve.spot, reserve.rank) == (reported.spot, reported.rank)
        });
        match same_shape {
            Some(reserve) => reserve.count = reserve.count.max(reported.count),
            None => reserves.push(reported.clone()),
        }
    }
    for reserve in &mut reserves {
        reserve.count = (f64::from(reserve.count) * config.policy.reserve_jobs).ceil() as u32;
    }
    reserves
}
