//! Packing of demand into bins, in the order of the bins. Each function takes the
//! number of tasks that have no machine yet and returns the number that still have
//! none.

use super::bins::Bin;
use super::demand::{PendingTasks, allows};
use crate::config::Config;
use crate::resources::ResourceVector;

/// Packs tasks into the free resources of eligible bins.
pub(super) fn pack_free(
    bins: &mut [Bin],
    tasks: &PendingTasks<'_>,
    remaining: u32,
    is_eligible: impl Fn(&Bin) -> bool,
) -> u32 {
    pack(bins, tasks, remaining, is_eligible, |bin| bin.free)
}

/// Packs tasks into the free resources of eligible bins and those held by lower ranks.
pub(super) fn pack_by_preemption(
    bins: &mut [Bin],
    tasks: &PendingTasks<'_>,
    remaining: u32,
    is_eligible: impl Fn(&Bin) -> bool,
) -> u32 {
    let rank = tasks.demand.rank;
    pack(bins, tasks, remaining, is_eligible, |bin| {
        bin.free_with_preemption(rank)
    })
}

/// Packs tasks into eligible bins. `free_in` returns the resources of a bin that count
/// as free.
pub(super) fn pack(
    bins: &mut [Bin],
    tasks: &PendingTasks<'_>,
    mut remaining: u32,
    is_eligible: impl Fn(&Bin) -> bool,
    free_in: impl Fn(&Bin) -> ResourceVector,
) -> u32 {
    for bin in bins.iter_mut() {
        if remaining == 0 {
            break;
        }
        if !is_eligible(bin) {
            continue;
        }
        let free = free_in(bin);
        // Most bins are full, and that is cheaper to check than which tasks a bin
        // allows.
        if !free.fits(&tasks.need) || !allows(tasks.demand, &bin.kind) {
            continue;
        }
        let count = free.max_copies(&tasks.need).min(remaining);
        add_tasks(bin, tasks, count);
        remaining -= count;
    }
    remaining
}

/// Adds tasks to a bin. Their resources may be preempted for demand that is packed
/// later, on booting machines as well. Otherwise each round would rent one more machine
/// in reserve for services while lower ranks wait.
fn add_tasks(bin: &mut Bin, tasks: &PendingTasks<'_>, count: u32) {
    for _ in 0..count {
        bin.free -= tasks.need;
    }
    if count > 0 {
        let mut held_resources = ResourceVector::default();
        for _ in 0..count {
            held_resources += tasks.need;
        }
        bin.held_by_rank.push((tasks.demand.rank, held_resources));
    }
    bin.packed_tasks += count;
}

/// Returns how many tasks of one shape all bins together can run at a time, besides the
/// tasks that may not run on spot machines.
pub(super) fn concurrent_tasks(bins: &[Bin], tasks: &PendingTasks<'_>) -> f64 {
    bins.iter()
        .filter(|bin| allows(tasks.demand, &bin.kind))
        .map(|bin| concurrent_tasks_in(bin, tasks))
        .sum()
}

fn concurrent_tasks_in(bin: &Bin, tasks: &PendingTasks<'_>) -> f64 {
    f64::from(bin.capacity.max_copies(&tasks.need)) * (1.0 - bin.pinned_share).max(0.0)
}

/// Queues tasks that run for less time than a boot takes. A machine that is up or
/// booting can run several of them in sequence before an additional machine would be
/// up.
pub(super) fn queue_short_tasks(
    config: &Config,
    bins: &mut [Bin],
    tasks: &PendingTasks<'_>,
    mut remaining: u32,
    is_eligible: impl Fn(&Bin) -> bool,
) -> u32 {
    if tasks.demand.remaining_work_s <= 0.0 {
        return remaining;
    }
    for bin in bins.iter_mut().filter(|bin| is_eligible(bin)) {
        if remaining == 0 {
            break;
        }
        let flavor = config.flavors.get(&bin.kind.flavor);
        let boot_s = flavor.map_or(0.0, |flavor| flavor.boot_s.0);
        let further_runs = boot_s / tasks.demand.remaining_work_s - 1.0;
        if further_runs <= 0.0 || !allows(tasks.demand, &bin.kind) {
            continue;
        }
        let total_runs = concurrent_tasks_in(bin, tasks) * further_runs;
        let count = ((total_runs * (1.0 - bin.used_queue_share)) as u32).min(remaining);
        if count > 0 {
            bin.used_queue_share += f64::from(count) / total_runs;
            remaining -= count;
        }
    }
    remaining
}
