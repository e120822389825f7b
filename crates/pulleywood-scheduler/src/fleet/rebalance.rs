//! Rebalancing between shards: idle machines are moved to a shard that lacks
//! capacity, or its waiting tasks are transferred to a shard that has some.

use super::bins::Bin;
use super::demand::{PendingTasks, allows};
use super::{Action, FleetRound, bin_packing};
use crate::config::Config;
use crate::resources::ResourceVector;
use pulleywood_protocol::ShardId;
use pulleywood_protocol::job::Rank;
use pulleywood_protocol::peer::Demand;

impl FleetRound<'_> {
    /// Moves idle machines of other shards to this one.
    pub(super) fn move_idle_machines(
        &mut self,
        shard: ShardId,
        tasks: &PendingTasks<'_>,
        mut left: u32,
    ) -> u32 {
        while left > 0 {
            let Some(at) = self.movable_machine(shard, tasks) else {
                break;
            };
            let bin = &mut self.bins[at];
            if let (Some(machine), Some(from)) = (bin.machine.clone(), bin.shard) {
                self.history
                    .moved
                    .insert(machine.clone(), self.snapshot.now);
                self.actions.push(Action::Move(machine, from, shard));
            }
            bin.shard = Some(shard);
            left = bin_packing::fill(&mut self.bins, tasks, left, |b| {
                b.may_serve(shard) && tasks.may_use(b)
            });
        }
        left
    }

    /// An idle machine of another shard on which a task fits.
    fn movable_machine(&self, shard: ShardId, tasks: &PendingTasks<'_>) -> Option<usize> {
        self.bins.iter().position(|b| {
            b.shard.is_some_and(|p| p != shard)
                && b.taken == 0
                && b.idle
                && tasks.may_use(b)
                && (!tasks.demand.free || is_in_zone_of(self.config, shard, b))
                && b.free.fits(&tasks.need)
                && allows(tasks.demand, &b.kind)
                && (b.machine.as_ref()).is_some_and(|m| !self.history.moved.contains_key(m))
        })
    }

    /// Transfers tasks to other shards. `free_in`: what counts as free on a machine
    /// there.
    pub(super) fn transfer_tasks(
        &mut self,
        shard: ShardId,
        tasks: &PendingTasks<'_>,
        mut left: u32,
        free_in: fn(&Bin, Rank) -> ResourceVector,
    ) -> u32 {
        if !tasks.demand.free || left == 0 {
            return left;
        }
        for other in self.snapshot.shards.keys().filter(|p| **p != shard) {
            let before = left;
            left = bin_packing::pack(
                &mut self.bins,
                tasks,
                left,
                |b| b.shard == Some(*other) && b.up && tasks.may_use(b),
                |b| free_in(b, tasks.demand.rank),
            );
            if left < before {
                let transferred = Demand {
                    count: before - left,
                    ..tasks.demand.clone()
                };
                let transfer = Action::Transfer(shard, *other, Box::new(transferred));
                self.actions.push(transfer);
            }
        }
        left
    }
}

/// Whether a machine is in the zone of a shard's machines. Machines of other zones
/// stay where they are, and tasks that can be transferred go to them: a partition
/// around a zone then leaves its machines with the leader in it.
fn is_in_zone_of(config: &Config, shard: ShardId, bin: &Bin) -> bool {
    config
        .preferred_zone(shard)
        .is_none_or(|z| z == bin.kind.zone)
}
