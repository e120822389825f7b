//! Fleet management: the coordinator's decisions to move idle machines between shards,
//! to transfer waiting tasks, and to rent and release machines.
//!
//! Each round packs all waiting demand into the machines that are up or booting
//! (`bins`, `bin_packing`) and moves machines and tasks between shards where that helps
//! (`rebalance`). It then rents machines for the remaining demand (`scale_out`), drains
//! and gives back surplus machines (`scale_in`), and releases dead machines
//! (`release`).

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

/// Machines of one type, in one zone and one market, which the cloud rents out at the
/// same price. The markets are spot machines, which the cloud may reclaim, and ordinary
/// machines, which it does not reclaim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineKind {
    /// Label of the machine type.
    pub flavor: String,
    /// Zone of the machines.
    pub zone: String,
    /// Whether these are spot machines, which the cloud may reclaim.
    pub spot: bool,
}

impl MachineKind {
    fn of(record: &MachineRecord) -> MachineKind {
        MachineKind {
            flavor: record.flavor.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
        }
    }
}

/// An action that the coordinator carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Move an idle machine to another shard: machine, source shard, target shard.
    Move(MachineId, ShardId, ShardId),
    /// Transfer waiting tasks of one shape: source shard, target shard, tasks.
    Transfer(ShardId, ShardId, Box<Demand>),
    /// Place no more tasks on these machines of a shard, so that they become idle.
    Drain(ShardId, Vec<MachineId>),
    /// Give back an idle machine of a shard, once the shard has released it.
    ScaleIn(MachineId, ShardId),
    /// Rent this number of machines. The first shard that receives a machine's
    /// heartbeat registers it.
    ScaleOut(MachineKind, u32),
    /// Release machines that no shard controls any more or that are considered dead,
    /// with the reason for the log.
    ReleaseDead(Vec<MachineId>, &'static str),
}

/// A machine that takes longer than this many times the usual boot time of its type may
/// never come up and no longer counts as capacity.
const MAX_BOOT_TIME_FACTOR: f64 = 1.7;

/// Runs one round of decisions and returns the actions in the order in which they must
/// be carried out.
pub fn decide(
    config: &Config,
    history: &mut FleetHistory,
    snapshot: &FleetSnapshot<'_>,
) -> Vec<Action> {
    let release_actions = release::release_dead(config, history, snapshot);
    history.update_records(snapshot);
    history.update_booting(config, snapshot);
    let digests = snapshot.machine_digests();
    let bins = bins::collect(config, history, snapshot, &digests);
    let mut round = FleetRound {
        config,
        history,
        snapshot,
        bins,
        waiting_demand: Vec::new(),
        planned_rentals: BTreeMap::new(),
        lacks_scarce_types: false,
        actions: release_actions,
    };
    round.place_demand();
    round.replace_displaced();
    round.reserve_for_services();
    round.push_rental_actions();
    round.scale_in(&digests);
    round.actions
}

/// The state of one round of decisions.
struct FleetRound<'a> {
    config: &'a Config,
    history: &'a mut FleetHistory,
    snapshot: &'a FleetSnapshot<'a>,
    bins: Vec<Bin>,
    /// All waiting demand of the shards.
    waiting_demand: Vec<&'a Demand>,
    /// Number of machines to rent, by kind.
    planned_rentals: BTreeMap<MachineKind, u32>,
    /// Whether some demand that can use only a few machine types found no free machine.
    lacks_scarce_types: bool,
    actions: Vec<Action>,
}

impl<'a> FleetRound<'a> {
    /// Finds machines for all waiting demand, trying the cheapest measure first.
    /// Booting machines are tried after all machines that are up, because some of them
    /// never come up.
    fn place_demand(&mut self) {
        for (shard, demand) in self.sorted_demand() {
            let tasks = self.pending_tasks(demand);
            let mut remaining = demand.count;
            remaining = self.use_own_machines(shard, &tasks, remaining);
            remaining = self.move_idle_machines(shard, &tasks, remaining);
            remaining = self.transfer_tasks(shard, &tasks, remaining, |bin, _| bin.free);
            remaining = self.preempt(shard, &tasks, remaining);
            remaining = self.transfer_tasks(shard, &tasks, remaining, Bin::free_with_preemption);
            remaining = self.await_booting_machines(shard, &tasks, remaining);
            self.lacks_scarce_types |= remaining > 0 && tasks.avoided_types.is_empty();
            self.rent_for_demand(&tasks, remaining);
        }
    }

    /// Returns all demand, with the demand that can use few machine types first, so
    /// that other demand leaves those types to it, and then by rank.
    fn sorted_demand(&mut self) -> Vec<(ShardId, &'a Demand)> {
        let now = self.snapshot.now;
        let shards = self.snapshot.shards;
        let mut demands: Vec<(ShardId, &'a Demand)> = shards
            .values()
            .flat_map(|digest| {
                digest
                    .demand
                    .iter()
                    .map(move |demand| (digest.shard, demand))
            })
            .collect();
        for (_, demand) in &demands {
            let types = machine_types::of_demand(self.config, demand);
            self.history.type_demand.record_waiting(types, now);
        }
        self.history.type_demand.remove_expired(now);
        demands.sort_by_cached_key(|(_, demand)| {
            let flexible = !self.avoided_types(demand).is_empty();
            (flexible, Reverse(demand.rank))
        });
        self.waiting_demand = demands.iter().map(|(_, demand)| *demand).collect();
        demands
    }

    fn pending_tasks<'d>(&self, demand: &'d Demand) -> PendingTasks<'d> {
        PendingTasks {
            demand,
            need: ResourceVector::of_demand(demand),
            avoided_types: self.avoided_types(demand),
        }
    }

    /// Returns the machine types that a demand leaves to demand that can use no others.
    fn avoided_types(&self, demand: &Demand) -> MachineTypes {
        let types = machine_types::of_demand(self.config, demand);
        self.history.type_demand.types_to_avoid(&types)
    }

    /// Packs tasks into free resources of the shard's own machines that are up. Like
    /// the other steps, it takes the number of tasks that have no machine yet and
    /// returns the number that still have none.
    fn use_own_machines(
        &mut self,
        shard: ShardId,
        tasks: &PendingTasks<'_>,
        remaining: u32,
    ) -> u32 {
        bin_packing::pack_free(&mut self.bins, tasks, remaining, |bin| {
            bin.shard == Some(shard) && bin.is_up && tasks.may_use(bin)
        })
    }

    /// Packs tasks into resources that lower ranks hold in the same shard.
    fn preempt(&mut self, shard: ShardId, tasks: &PendingTasks<'_>, remaining: u32) -> u32 {
        bin_packing::pack_by_preemption(&mut self.bins, tasks, remaining, |bin| {
            bin.shard == Some(shard) && bin.is_up && tasks.may_use(bin)
        })
    }

    /// Packs tasks into booting machines and leaves short tasks queued for a machine
    /// that will become free. A machine that another shard has just registered is
    /// moved, or receives transferred tasks, in the next round.
    fn await_booting_machines(
        &mut self,
        shard: ShardId,
        tasks: &PendingTasks<'_>,
        remaining: u32,
    ) -> u32 {
        let remaining = bin_packing::pack_free(&mut self.bins, tasks, remaining, |bin| {
            tasks.may_use(bin)
                && (bin.is_available_to(shard) || tasks.demand.any_shard && !bin.is_up)
        });
        bin_packing::queue_short_tasks(self.config, &mut self.bins, tasks, remaining, |bin| {
            tasks.may_use(bin)
        })
    }
}
