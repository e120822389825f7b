//! Packing of demand into bins, in the order of the bins. Each function takes the
//! number of tasks that have no machine yet, and returns how many are left.

use super::bins::Bin;
use super::demand::{PendingTasks, allows};
use crate::config::Config;
use crate::resources::ResourceVector;

/// Packs tasks into what is free in eligible bins.
pub(super) fn fill(
    bins: &mut [Bin],
    tasks: &PendingTasks<'_>,
    left: u32,
    is_eligible: impl Fn(&Bin) -> bool,
) -> u32 {
    pack(bins, tasks, left, is_eligible, |b| b.free)
}

/// Packs tasks into what lower ranks hold in eligible bins.
pub(super) fn fill_by_preemption(
    bins: &mut [Bin],
    tasks: &PendingTasks<'_>,
    left: u32,
    is_eligible: impl Fn(&Bin) -> bool,
) -> u32 {
    let rank = tasks.demand.rank;
    pack(bins, tasks, left, is_eligible, |b| {
        b.preemptable_resources(rank)
    })
}

/// Packs tasks into eligible bins. `free_in`: what counts as free there.
pub(super) fn pack(
    bins: &mut [Bin],
    tasks: &PendingTasks<'_>,
    mut left: u32,
    is_eligible: impl Fn(&Bin) -> bool,
    free_in: impl Fn(&Bin) -> ResourceVector,
) -> u32 {
    for bin in bins.iter_mut() {
        if left == 0 {
            break;
        }
        if !is_eligible(bin) {
            continue;
        }
        let free = free_in(bin);
        // Most bins are full, which is quicker to check than what is allowed there.
        if !free.fits(&tasks.need) || !allows(tasks.demand, &bin.kind) {
            continue;
        }
        let count = free.max_copies(&tasks.need).min(left);
        add_tasks(bin, tasks, count);
        left -= count;
    }
    left
}

/// Adds tasks to a bin. What they hold may be preempted for demand that is packed
/// later, also on booting machines: otherwise each round would rent one more machine
/// in reserve for services while lower ranks wait.
fn add_tasks(bin: &mut Bin, tasks: &PendingTasks<'_>, count: u32) {
    for _ in 0..count {
        bin.free -= tasks.need;
    }
    if count > 0 {
        let mut held = ResourceVector::default();
        for _ in 0..count {
            held += tasks.need;
        }
        bin.held.push((tasks.demand.rank, held));
    }
    bin.taken += count;
}

/// Tasks of one shape that all bins together run at a time, beside work that may not
/// run on spot machines.
pub(super) fn concurrent_tasks(bins: &[Bin], tasks: &PendingTasks<'_>) -> f64 {
    bins.iter()
        .filter(|b| allows(tasks.demand, &b.kind))
        .map(|b| concurrent_tasks_in(b, tasks))
        .sum()
}

fn concurrent_tasks_in(bin: &Bin, tasks: &PendingTasks<'_>) -> f64 {
    f64::from(bin.capacity.max_copies(&tasks.need)) * (1.0 - bin.pinned).max(0.0)
}

/// Queues tasks that run for less than a boot: a machine that is up, or booting, runs
/// several of them, one after the other, before yet another machine would be up.
pub(super) fn queue_short_tasks(
    config: &Config,
    bins: &mut [Bin],
    tasks: &PendingTasks<'_>,
    mut left: u32,
    is_eligible: impl Fn(&Bin) -> bool,
) -> u32 {
    if tasks.demand.work_s <= 0.0 {
        return left;
    }
    for bin in bins.iter_mut().filter(|b| is_eligible(b)) {
        if left == 0 {
            break;
        }
        let flavor = config.flavors.get(&bin.kind.flavor);
        let boot_s = flavor.map_or(0.0, |f| f.boot_s.0);
        let further_runs = boot_s / tasks.demand.work_s - 1.0;
        if further_runs <= 0.0 || !allows(tasks.demand, &bin.kind) {
            continue;
        }
        let all = concurrent_tasks_in(bin, tasks) * further_runs;
        let count = ((all * (1.0 - bin.queued)) as u32).min(left);
        if count > 0 {
            bin.queued += f64::from(count) / all;
            left -= count;
        }
    }
    left
}
