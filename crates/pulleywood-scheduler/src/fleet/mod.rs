//! The coordinator's fleet decisions: idle machines are moved between shards, waiting
//! tasks transferred, machines rented and released.
//!
//! A round packs all waiting demand into the machines that are up or booting
//! (`bins`, `bin_packing`), moving machines and tasks between shards where that helps
//! (`rebalance`), rents machines for what is left (`scale_out`), empties and gives
//! back machines beyond need (`scale_in`) and releases dead ones (`release`).

mod bin_packing;
mod bins;
mod demand;
mod history;
mod rebalance;
mod release;
mod scale_in;
mod scale_out;
mod snapshot;
mod summary;

pub use history::FleetHistory;
pub use snapshot::FleetSnapshot;
pub use summary::summary;

use self::bins::Bin;
use self::demand::PendingTasks;
use crate::config::Config;
use crate::machine_types::{self, MachineTypes};
use crate::resources::ResourceVector;
use pulleywood_protocol::peer::Demand;
use pulleywood_protocol::record::MachineRecord;
use pulleywood_protocol::{MachineId, ShardId};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// One kind of machine: what the cloud rents out at one price in one place.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Kind {
    /// Machine type.
    pub flavor: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may take back.
    pub spot: bool,
}

impl Kind {
    fn of(record: &MachineRecord) -> Kind {
        Kind {
            flavor: record.flavor.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
        }
    }
}

/// What the coordinator does.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// An idle machine goes to another shard: machine, from, to.
    Move(MachineId, ShardId, ShardId),
    /// Waiting tasks of one shape are transferred: from, to, tasks.
    Transfer(ShardId, ShardId, Box<Demand>),
    /// Machines of a shard get no more tasks, so that they fall idle.
    Drain(ShardId, Vec<MachineId>),
    /// A machine is given back once its shard has released it.
    ScaleIn(MachineId, ShardId),
    /// Machines are rented; the shard that hears from one first registers it.
    ScaleOut(Kind, u32),
    /// Machines that no shard commands, or that are surely dead, are released, with
    /// the reason.
    ReleaseDead(Vec<MachineId>, &'static str),
}

/// A machine that takes longer than this many times its usual boot time may never
/// come up: it no longer counts as capacity.
const LATE_BOOT: f64 = 1.7;

/// One round of decisions, in the order in which they are to be carried out.
pub fn decide(
    config: &Config,
    history: &mut FleetHistory,
    snapshot: &FleetSnapshot<'_>,
) -> Vec<Action> {
    let released = release::release_dead(config, history, snapshot);
    history.note_machines(snapshot);
    history.update_booting(config, snapshot);
    let digests = snapshot.machine_digests();
    let bins = bins::collect(config, history, snapshot, &digests);
    let mut round = FleetRound {
        config,
        history,
        snapshot,
        bins,
        waiting: Vec::new(),
        rentals: BTreeMap::new(),
        scarce_types_lacking: false,
        actions: released,
    };
    round.place_demand();
    round.replace_displaced();
    round.reserve_for_services();
    round.rent();
    round.shrink(&digests);
    round.actions
}

/// A round of decisions while it is made.
struct FleetRound<'a> {
    config: &'a Config,
    history: &'a mut FleetHistory,
    snapshot: &'a FleetSnapshot<'a>,
    bins: Vec<Bin>,
    /// All waiting demand.
    waiting: Vec<&'a Demand>,
    /// Machines to rent, by kind.
    rentals: BTreeMap<Kind, u32>,
    /// Some work found no free machine of the few types that it can use.
    scarce_types_lacking: bool,
    actions: Vec<Action>,
}

impl<'a> FleetRound<'a> {
    /// Finds machines for all that waits, the cheapest measure first. Booting
    /// machines come after all that are up, since some never arrive.
    fn place_demand(&mut self) {
        for (shard, demand) in self.demand_in_order() {
            let tasks = self.pending(demand);
            let mut left = demand.count;
            left = self.use_own_machines(shard, &tasks, left);
            left = self.move_idle_machines(shard, &tasks, left);
            left = self.transfer_tasks(shard, &tasks, left, |bin, _| bin.free);
            left = self.preempt(shard, &tasks, left);
            left = self.transfer_tasks(shard, &tasks, left, Bin::preemptable_resources);
            left = self.await_booting_machines(shard, &tasks, left);
            self.scarce_types_lacking |= left > 0 && tasks.avoid.is_empty();
            self.rent_for_demand(&tasks, left);
        }
    }

    /// All demand, that with few machine types to choose from first, so that other
    /// work leaves those types to it; then by rank.
    fn demand_in_order(&mut self) -> Vec<(ShardId, &'a Demand)> {
        let now = self.snapshot.now;
        let shards = self.snapshot.shards;
        let mut demands: Vec<(ShardId, &'a Demand)> = shards
            .values()
            .flat_map(|p| p.demand.iter().map(move |d| (p.shard, d)))
            .collect();
        for (_, demand) in &demands {
            let types = machine_types::of_demand(self.config, demand);
            self.history.type_demand.record_waiting(types, now);
        }
        self.history.type_demand.remove_expired(now);
        demands.sort_by_cached_key(|(_, d)| {
            let flexible = !self.types_left_to_others(d).is_empty();
            (flexible, Reverse(d.rank))
        });
        self.waiting = demands.iter().map(|(_, d)| *d).collect();
        demands
    }

    fn pending<'d>(&self, demand: &'d Demand) -> PendingTasks<'d> {
        PendingTasks {
            demand,
            need: ResourceVector::of_demand(demand),
            avoid: self.types_left_to_others(demand),
        }
    }

    /// Machine types that a demand leaves to work which can use no others.
    fn types_left_to_others(&self, demand: &Demand) -> MachineTypes {
        let types = machine_types::of_demand(self.config, demand);
        self.history.type_demand.types_to_avoid(&types)
    }

    /// Free resources of the shard itself, on machines that are up. Like the other
    /// steps, it takes the number of tasks that have no machine yet and returns how
    /// many are left.
    fn use_own_machines(&mut self, shard: ShardId, tasks: &PendingTasks<'_>, left: u32) -> u32 {
        bin_packing::fill(&mut self.bins, tasks, left, |b| {
            b.shard == Some(shard) && b.up && tasks.may_use(b)
        })
    }

    /// What lower ranks hold in the shard itself.
    fn preempt(&mut self, shard: ShardId, tasks: &PendingTasks<'_>, left: u32) -> u32 {
        bin_packing::fill_by_preemption(&mut self.bins, tasks, left, |b| {
            b.shard == Some(shard) && b.up && tasks.may_use(b)
        })
    }

    /// Booting machines, and tasks that can wait for a machine to become free. What
    /// another shard has just registered is moved, or transferred to, in the next
    /// round.
    fn await_booting_machines(
        &mut self,
        shard: ShardId,
        tasks: &PendingTasks<'_>,
        left: u32,
    ) -> u32 {
        let left = bin_packing::fill(&mut self.bins, tasks, left, |b| {
            tasks.may_use(b) && (b.may_serve(shard) || tasks.demand.free && !b.up)
        });
        bin_packing::queue_short_tasks(self.config, &mut self.bins, tasks, left, |b| {
            tasks.may_use(b)
        })
    }
}
