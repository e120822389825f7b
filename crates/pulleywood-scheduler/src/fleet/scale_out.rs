//! Scaling out: machines are rented for demand that found none.

use super::bins::Bin;
use super::demand::{PendingTasks, allows, service_reserves, waiting_spot_work_s};
use super::{Action, FleetRound, Kind, bin_packing};
use crate::resources::ResourceVector;
use pulleywood_protocol::cloud::Flavor;
use std::slice;

/// Most machines that one round rents for one demand, and of one kind: a bound on
/// the round's work and on the damage of a wrong demand.
const MAX_RENTALS: u32 = 200;
/// Most machines that one round rents in reserve for one shape of service job.
const MAX_RESERVE: u32 = 50;
/// Relative cost of each machine of a kind that the round rents already: of kinds
/// with the same price, the one with fewer rentals is preferred.
const REPEATED_RENTAL_COST: f64 = 0.001;

impl<'a> FleetRound<'a> {
    /// Rents machines for tasks that found none.
    pub(super) fn rent_for_demand(&mut self, tasks: &PendingTasks<'_>, mut left: u32) {
        let mut concurrent = if left > 0 && tasks.demand.spot {
            bin_packing::concurrent_tasks(&self.bins, tasks)
        } else {
            0.0
        };
        let mut rented = 0;
        while left > 0 && rented < MAX_RENTALS {
            rented += 1;
            let Some((kind, flavor)) = self.cheapest_kind(tasks) else {
                break;
            };
            if tasks.demand.spot && !kind.spot && self.can_wait(tasks, flavor, concurrent) {
                break;
            }
            let mut bin = Bin::booting(None, kind, flavor);
            let new_bins = slice::from_mut(&mut bin);
            concurrent += bin_packing::concurrent_tasks(new_bins, tasks);
            // All earlier bins are full.
            left = bin_packing::fill(new_bins, tasks, left, |_| true);
            left = bin_packing::queue_short_tasks(self.config, new_bins, tasks, left, |_| true);
            self.add_rental(bin);
        }
    }

    /// Whether tasks for which no spot machine is to be had wait for those that run:
    /// what waits would be done within the policy's `overflow` boot times of a dearer
    /// machine. `concurrent`: tasks that the machines run at a time.
    fn can_wait(&self, tasks: &PendingTasks<'_>, flavor: &Flavor, concurrent: f64) -> bool {
        let patience_s = flavor.boot_s.0 * self.config.policy.overflow;
        waiting_spot_work_s(&self.waiting, tasks.demand, flavor) <= patience_s * concurrent
    }

    /// Rents machines of other types for running tasks that make way for work with
    /// few types to choose from: they will wait again.
    pub(super) fn replace_displaced(&mut self) {
        if !self.scarce_types_lacking {
            return;
        }
        let shards = self.snapshot.shards;
        for demand in shards.values().flat_map(|p| &p.displaced) {
            let tasks = self.pending(demand);
            if !tasks.avoid.is_empty() {
                self.rent_other_types(&tasks);
            }
        }
    }

    /// Rents machines of types that are not left to others, in the demand's own
    /// market: spot machines for spot work.
    fn rent_other_types(&mut self, tasks: &PendingTasks<'_>) {
        let mut left = tasks.demand.count;
        left = bin_packing::fill(&mut self.bins, tasks, left, |b| tasks.may_use(b));
        left = bin_packing::queue_short_tasks(self.config, &mut self.bins, tasks, left, |b| {
            tasks.may_use(b)
        });
        let mut rented = 0;
        while left > 0 && rented < MAX_RENTALS {
            rented += 1;
            let Some((kind, flavor)) = self.cheapest_kind(tasks) else {
                break;
            };
            if tasks.avoid.contains(&kind.flavor) || kind.spot != tasks.demand.spot {
                break;
            }
            left = self.rent_and_fill(kind, flavor, tasks, left);
        }
    }

    /// Rents machines in reserve for the next service jobs.
    pub(super) fn reserve_for_services(&mut self) {
        for demand in service_reserves(self.config, self.snapshot) {
            let tasks = self.pending(&demand);
            let mut left = demand.count;
            left = bin_packing::fill(&mut self.bins, &tasks, left, |_| true);
            left = bin_packing::fill_by_preemption(&mut self.bins, &tasks, left, |_| true);
            let mut rented = 0;
            while left > 0 && rented < MAX_RESERVE {
                rented += 1;
                let Some((kind, flavor)) = self.cheapest_kind(&tasks) else {
                    break;
                };
                left = self.rent_and_fill(kind, flavor, &tasks, left);
            }
        }
    }

    fn rent_and_fill(
        &mut self,
        kind: Kind,
        flavor: &Flavor,
        tasks: &PendingTasks<'_>,
        left: u32,
    ) -> u32 {
        let mut bin = Bin::booting(None, kind, flavor);
        let left = bin_packing::fill(slice::from_mut(&mut bin), tasks, left, |_| true);
        self.add_rental(bin);
        left
    }

    fn add_rental(&mut self, bin: Bin) {
        *self.rentals.entry(bin.kind.clone()).or_insert(0) += 1;
        self.bins.push(bin);
    }

    /// The kind of machine that costs least for a demand and was not refused lately.
    fn cheapest_kind(&self, tasks: &PendingTasks<'_>) -> Option<(Kind, &'a Flavor)> {
        let mut best: Option<(f64, Kind, &'a Flavor)> = None;
        for flavor in self.config.flavors.values() {
            let capacity = ResourceVector::of_flavor(flavor);
            let fitting = capacity
                .max_copies(&tasks.need)
                .min(tasks.demand.count.max(1));
            if fitting == 0 {
                continue;
            }
            for zone in &flavor.zones {
                for spot in [true, false] {
                    let kind = Kind {
                        flavor: flavor.label.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    let Some(cost) = self.cost_per_task(tasks, &kind, flavor, fitting) else {
                        continue;
                    };
                    if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                        best = Some((cost, kind, flavor));
                    }
                }
            }
        }
        best.map(|(_, kind, flavor)| (kind, flavor))
    }

    /// What a machine of a kind costs for each task; none if none can be rented.
    /// `fitting`: tasks that it would run.
    fn cost_per_task(
        &self,
        tasks: &PendingTasks<'_>,
        kind: &Kind,
        flavor: &Flavor,
        fitting: u32,
    ) -> Option<f64> {
        if !allows(tasks.demand, kind) || !self.history.open(kind, self.snapshot.now) {
            return None;
        }
        let planned = self.rentals.get(kind).copied().unwrap_or(0);
        if planned >= MAX_RENTALS {
            return None;
        }
        // A spot machine taken from work that can use no other type makes that
        // work rent a dearer one.
        let price = if kind.spot && !tasks.avoid.contains(&kind.flavor) {
            flavor.spot_price.0
        } else {
            flavor.price.0
        };
        Some(price / f64::from(fitting) * (1.0 + REPEATED_RENTAL_COST * f64::from(planned)))
    }

    /// The actions for all machines to rent.
    pub(super) fn rent(&mut self) {
        for (kind, count) in std::mem::take(&mut self.rentals) {
            self.actions.push(Action::ScaleOut(kind, count));
        }
    }
}
