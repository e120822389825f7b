//! Demand: the tasks that wait, and those that services are expected to bring.

use super::bins::Bin;
use super::{FleetSnapshot, Kind};
use crate::config::Config;
use crate::machine_types::MachineTypes;
use crate::resources::ResourceVector;
use pulleywood_protocol::cloud::Flavor;
use pulleywood_protocol::peer::Demand;

/// Smallest share of a machine that a task is taken to need: it is a divisor.
const MIN_SHARE: f64 = 1e-6;

/// A demand while machines are found for it.
pub(super) struct PendingTasks<'a> {
    pub(super) demand: &'a Demand,
    /// What one task needs.
    pub(super) need: ResourceVector,
    /// Machine types that it leaves to others.
    pub(super) avoid: MachineTypes,
}

impl PendingTasks<'_> {
    /// Whether a machine's type is not left to others.
    pub(super) fn may_use(&self, bin: &Bin) -> bool {
        !self.avoid.contains(&bin.kind.flavor)
    }
}

/// Whether a demand's tasks may run on machines of a kind.
pub(super) fn allows(demand: &Demand, kind: &Kind) -> bool {
    (demand.spot || !kind.spot)
        && (demand.zones.is_empty() || demand.zones.contains(&kind.zone))
        && demand
            .types
            .as_ref()
            .is_none_or(|types| types.contains(&kind.flavor))
}

/// Seconds of work that wait for spot machines and may run on a machine type,
/// counted in slots of one demand's size.
pub(super) fn waiting_spot_work_s(waiting: &[&Demand], demand: &Demand, flavor: &Flavor) -> f64 {
    let capacity = ResourceVector::of_flavor(flavor);
    let share = |d: &Demand| ResourceVector::of_demand(d).dominant_share(&capacity);
    let slot = share(demand).max(MIN_SHARE);
    let may_run = |d: &&&Demand| {
        let allowed = d.types.as_ref().is_none_or(|t| t.contains(&flavor.label));
        d.spot && allowed && capacity.fits(&ResourceVector::of_demand(d))
    };
    waiting
        .iter()
        .filter(may_run)
        .map(|d| f64::from(d.count) * d.work_s * share(d) / slot)
        .sum()
}

/// The demand of the next service jobs: by shape, the largest seen in any shard times
/// the policy's `reserve_jobs`.
pub(super) fn service_reserves(config: &Config, snapshot: &FleetSnapshot<'_>) -> Vec<Demand> {
    let mut reserves: Vec<Demand> = Vec::new();
    for item in snapshot.shards.values().flat_map(|p| &p.reserve) {
        let same_shape = reserves.iter_mut().find(|d| {
            (d.cpus, d.gpus, d.memory_gb) == (item.cpus, item.gpus, item.memory_gb)
                && (&d.types, &d.zones) == (&item.types, &item.zones)
                && (d.spot, d.rank) == (item.spot, item.rank)
        });
        match same_shape {
            Some(d) => d.count = d.count.max(item.count),
            None => reserves.push(item.clone()),
        }
    }
    for reserve in &mut reserves {
        reserve.count = (f64::from(reserve.count) * config.policy.reserve_jobs).ceil() as u32;
    }
    reserves
}
