//! Scaling out: rents machines for demand that no machine has room for.

use super::bins::Bin;
use super::demand::{PendingTasks, allows, service_reserves, waiting_spot_work_s};
use super::{Action, FleetRound, MachineKind, bin_packing};
use crate::resources::ResourceVector;
use pulleywood_protocol::cloud::Flavor;
use std::slice;

/// Maximum number of machines that one round rents for one demand, and of one kind. It
/// bounds the work of a round and the cost of a wrong demand.
const MAX_RENTALS: u32 = 200;
/// Maximum number of machines that one round rents in reserve for one shape of service
/// job.
const MAX_RESERVE_RENTALS: u32 = 50;
/// Relative cost increase for each machine of a kind that the round already rents.
/// Among kinds with the same price, the one with fewer planned rentals is preferred.
const REPEATED_RENTAL_COST: f64 = 0.001;

impl<'a> FleetRound<'a> {
    /// Rents machines for tasks that no machine has room for.
    pub(super) fn rent_for_demand(&mut self, tasks: &PendingTasks<'_>, mut remaining: u32) {
        let mut concurrent_tasks = if remaining > 0 && tasks.demand.spot {
            bin_packing::concurrent_tasks(&self.bins, tasks)
        } else {
            0.0
        };
        let mut rented = 0;
        while remaining > 0 && rented < MAX_RENTALS {
            rented += 1;
            let Some((kind, flavor)) = self.cheapest_kind(tasks) else {
                break;
            };
            if tasks.demand.spot && !kind.spot && self.can_wait(tasks, flavor, concurrent_tasks) {
                break;
            }
            let mut bin = Bin::booting(None, kind, flavor);
            let new_bins = slice::from_mut(&mut bin);
            concurrent_tasks += bin_packing::concurrent_tasks(new_bins, tasks);
            // All other bins are full.
            remaining = bin_packing::pack_free(new_bins, tasks, remaining, |_| true);
            remaining =
                bin_packing::queue_short_tasks(self.config, new_bins, tasks, remaining, |_| true);
            self.add_rental(bin);
        }
    }

    /// Returns whether tasks for which no spot machine can be rented should wait for
    /// the running tasks instead of renting an ordinary machine. They should if the
    /// machines would complete all waiting work within the policy's `overflow` times
    /// the boot time of the ordinary machine. `concurrent_tasks` is the number of tasks
    /// that the machines run at a time.
    fn can_wait(&self, tasks: &PendingTasks<'_>, flavor: &Flavor, concurrent_tasks: f64) -> bool {
        let max_wait_s = flavor.boot_s.0 * self.config.policy.overflow;
        waiting_spot_work_s(&self.waiting_demand, tasks.demand, flavor)
            <= max_wait_s * concurrent_tasks
    }

    /// Rents machines of other types for running tasks that will be preempted by demand
    /// that can use few machine types, because these tasks will wait again.
    pub(super) fn replace_displaced(&mut self) {
        if !self.lacks_scarce_types {
            return;
        }
        let shards = self.snapshot.shards;
        for demand in shards.values().flat_map(|digest| &digest.displaced_demand) {
            let tasks = self.pending_tasks(demand);
            if !tasks.avoided_types.is_empty() {
                self.rent_other_types(&tasks);
            }
        }
    }

    /// Rents machines of types that the demand does not have to avoid, in the demand's
    /// own market: spot machines for tasks that may run on them, otherwise ordinary
    /// machines.
    fn rent_other_types(&mut self, tasks: &PendingTasks<'_>) {
        let mut remaining = tasks.demand.count;
        remaining =
            bin_packing::pack_free(&mut self.bins, tasks, remaining, |bin| tasks.may_use(bin));
        remaining =
            bin_packing::queue_short_tasks(self.config, &mut self.bins, tasks, remaining, |bin| {
                tasks.may_use(bin)
            });
        let mut rented = 0;
        while remaining > 0 && rented < MAX_RENTALS {
            rented += 1;
            let Some((kind, flavor)) = self.cheapest_kind(tasks) else {
                break;
            };
            if tasks.avoided_types.contains(&kind.flavor) || kind.spot != tasks.demand.spot {
                break;
            }
            remaining = self.rent_and_pack(kind, flavor, tasks, remaining);
        }
    }

    /// Rents machines in reserve for the next service jobs.
    pub(super) fn reserve_for_services(&mut self) {
        for demand in service_reserves(self.config, self.snapshot) {
            let tasks = self.pending_tasks(&demand);
            let mut remaining = demand.count;
            remaining = bin_packing::pack_free(&mut self.bins, &tasks, remaining, |_| true);
            remaining =
                bin_packing::pack_by_preemption(&mut self.bins, &tasks, remaining, |_| true);
            let mut rented = 0;
            while remaining > 0 && rented < MAX_RESERVE_RENTALS {
                rented += 1;
                let Some((kind, flavor)) = self.cheapest_kind(&tasks) else {
                    break;
                };
                remaining = self.rent_and_pack(kind, flavor, &tasks, remaining);
            }
        }
    }

    fn rent_and_pack(
        &mut self,
        kind: MachineKind,
        flavor: &Flavor,
        tasks: &PendingTasks<'_>,
        remaining: u32,
    ) -> u32 {
        let mut bin = Bin::booting(None, kind, flavor);
        let remaining =
            bin_packing::pack_free(slice::from_mut(&mut bin), tasks, remaining, |_| true);
        self.add_rental(bin);
        remaining
    }

    fn add_rental(&mut self, bin: Bin) {
        *self.planned_rentals.entry(bin.kind.clone()).or_insert(0) += 1;
        self.bins.push(bin);
    }

    /// Returns the kind of machine with the lowest cost per task of a demand, among the
    /// kinds that were not refused recently.
    fn cheapest_kind(&self, tasks: &PendingTasks<'_>) -> Option<(MachineKind, &'a Flavor)> {
        let mut cheapest: Option<(f64, MachineKind, &'a Flavor)> = None;
        for flavor in self.config.flavors.values() {
            let capacity = ResourceVector::of_flavor(flavor);
            let tasks_per_machine = capacity
                .max_copies(&tasks.need)
                .min(tasks.demand.count.max(1));
            if tasks_per_machine == 0 {
                continue;
            }
            for zone in &flavor.zones {
                for spot in [true, false] {
                    let kind = MachineKind {
                        flavor: flavor.label.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    let Some(cost) = self.cost_per_task(tasks, &kind, flavor, tasks_per_machine)
                    else {
                        continue;
                    };
                    if cheapest
                        .as_ref()
                        .is_none_or(|(lowest_cost, ..)| cost < *lowest_cost)
                    {
                        cheapest = Some((cost, kind, flavor));
                    }
                }
            }
        }
        cheapest.map(|(_, kind, flavor)| (kind, flavor))
    }

    /// Returns the price of a machine of a kind per task; `None` if it cannot be used
    /// or rented. `tasks_per_machine` is the number of tasks that it would run.
    fn cost_per_task(
        &self,
        tasks: &PendingTasks<'_>,
        kind: &MachineKind,
        flavor: &Flavor,
        tasks_per_machine: u32,
    ) -> Option<f64> {
        if !allows(tasks.demand, kind) || !self.history.is_rentable(kind, self.snapshot.now) {
            return None;
        }
        let planned = self.planned_rentals.get(kind).copied().unwrap_or(0);
        if planned >= MAX_RENTALS {
            return None;
        }
        // Using a spot machine of a type that other demand depends on makes that demand
        // rent a more expensive machine.
        let price = if kind.spot && !tasks.avoided_types.contains(&kind.flavor) {
            flavor.spot_price.0
        } else {
            flavor.price.0
        };
        Some(
            price / f64::from(tasks_per_machine)
                * (1.0 + REPEATED_RENTAL_COST * f64::from(planned)),
        )
    }

    /// Adds the actions for all planned rentals.
    pub(super) fn push_rental_actions(&mut self) {
        for (kind, count) in std::mem::take(&mut self.planned_rentals) {
            self.actions.push(Action::ScaleOut(kind, count));
        }
    }
}
