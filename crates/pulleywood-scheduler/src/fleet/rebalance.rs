//! Rebalancing between shards: moves idle machines to a shard that lacks capacity, or
//! transfers its waiting tasks to a shard that has some.

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
        mut remaining: u32,
    ) -> u32 {
        while remaining > 0 {
            let Some(index) = self.movable_bin(shard, tasks) else {
                break;
            };
            let bin = &mut self.bins[index];
            if let (Some(machine), Some(from)) = (bin.machine.clone(), bin.shard) {
                self.history
                    .moved_at
                    .insert(machine.clone(), self.snapshot.now);
                self.actions.push(Action::Move(machine, from, shard));
            }
            bin.shard = Some(shard);
            remaining = bin_packing::pack_free(&mut self.bins, tasks, remaining, |bin| {
                bin.is_available_to(shard) && tasks.may_use(bin)
            });
        }
        remaining
    }

    /// Returns the index of the bin of an idle machine of another shard on which a task
    /// fits.
    fn movable_bin(&self, shard: ShardId, tasks: &PendingTasks<'_>) -> Option<usize> {
        self.bins.iter().position(|bin| {
            bin.shard.is_some_and(|own| own != shard)
                && bin.packed_tasks == 0
                && bin.is_idle
                && tasks.may_use(bin)
                && (!tasks.demand.any_shard || is_in_zone_of(self.config, shard, bin))
                && bin.free.fits(&tasks.need)
                && allows(tasks.demand, &bin.kind)
                && (bin.machine.as_ref())
                    .is_some_and(|machine| !self.history.moved_at.contains_key(machine))
        })
    }

    /// Transfers tasks to other shards. `free_in` returns the resources that count as
    /// free on a machine there.
    pub(super) fn transfer_tasks(
        &mut self,
        shard: ShardId,
        tasks: &PendingTasks<'_>,
        mut remaining: u32,
        free_in: fn(&Bin, Rank) -> ResourceVector,
    ) -> u32 {
        if !tasks.demand.any_shard || remaining == 0 {
            return remaining;
        }
        for other in self.snapshot.shards.keys().filter(|other| **other != shard) {
            let before_transfer = remaining;
            remaining = bin_packing::pack(
                &mut self.bins,
                tasks,
                remaining,
                |bin| bin.shard == Some(*other) && bin.is_up && tasks.may_use(bin),
                |bin| free_in(bin, tasks.demand.rank),
            );
            if remaining < before_transfer {
                let transferred = Demand {
                    count: before_transfer - remaining,
                    ..tasks.demand.clone()
                };
                let transfer = Action::Transfer(shard, *other, Box::new(transferred));
                self.actions.push(transfer);
            }
        }
        remaining
    }
}

/// Returns whether a machine is in the zone of a shard's machines. Transferable tasks
/// go to machines in other zones instead of moving those machines. If a partition then
/// isolates a zone, its machines are in the same zone as their shard's leader.
fn is_in_zone_of(config: &Config, shard: ShardId, bin: &Bin) -> bool {
    config
        .preferred_zone(shard)
        .is_none_or(|zone| zone == bin.kind.zone)
}
