//! Scaling in: drains surplus machines and gives them back once they are idle.
//!
//! A task is pinned if it may not run on spot machines.

use super::bins::Bin;
use super::snapshot::MachineDigests;
use super::{Action, FleetHistory, FleetRound};
use crate::config::Config;
use pulleywood_protocol::{MachineId, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// Shares of a machine below this count as zero, because they are sums of
/// floating-point numbers.
const SHARE_TOLERANCE: f64 = 1e-9;
/// A draining machine is given back after this fraction of the policy's `idle_s`.
const DRAINING_IDLE_FRACTION: f64 = 1.0 / 4.0;

impl FleetRound<'_> {
    /// Drains surplus machines and gives idle ones back.
    pub(super) fn scale_in(&mut self, digests: &MachineDigests<'_>) {
        if self.snapshot.suspend_scale_in {
            self.history.draining.clear();
            return;
        }
        self.drain();
        let quarantined_actions = release_quarantined(digests);
        self.actions.extend(quarantined_actions);
        for spot in [false, true] {
            let idle_actions = release_idle(self.config, self.history, &self.bins, digests, spot);
            self.actions.extend(idle_actions);
        }
    }

    /// Drains surplus ordinary machines that hold no pinned tasks. Each machine type is
    /// considered separately, because idle machines of one type are no capacity for
    /// tasks that fit only another.
    fn drain(&mut self) {
        let mut by_type: BTreeMap<&str, Vec<&Bin>> = BTreeMap::new();
        for bin in &self.bins {
            by_type.entry(&bin.kind.flavor).or_default().push(bin);
        }
        let mut by_shard: BTreeMap<ShardId, Vec<MachineId>> = BTreeMap::new();
        let mut draining = BTreeSet::new();
        for bins in by_type.into_values() {
            for bin in surplus_machines(self.config, self.history, &bins) {
                let is_drainable = bin.pinned_share < SHARE_TOLERANCE && bin.packed_tasks == 0;
                if let (true, Some(machine), Some(shard)) = (is_drainable, &bin.machine, bin.shard)
                {
                    draining.insert(machine.clone());
                    by_shard.entry(shard).or_default().push(machine.clone());
                }
            }
        }
        self.history.draining = draining;
        for (shard, machines) in by_shard {
            self.actions.push(Action::Drain(shard, machines));
        }
    }
}

/// Returns the ordinary machines of one type that exceed the need of the tasks on that
/// type. Machines with the largest share of pinned tasks are kept first, then those not
/// yet draining, then the fullest.
fn surplus_machines<'b>(config: &Config, history: &FleetHistory, bins: &[&'b Bin]) -> Vec<&'b Bin> {
    let used_share = |bin: &Bin| {
        bin.free
            .dominant_share_in_use(&bin.capacity)
            .clamp(0.0, 1.0)
    };
    let used_machines: f64 = bins.iter().map(|bin| used_share(bin)).sum();
    let pinned_machines: f64 = bins.iter().map(|bin| bin.pinned_share).sum();
    let spot_machines = bins.iter().filter(|bin| bin.kind.spot).count() as f64;
    let headroom_factor = 1.0 + config.policy.cushion;
    let needed_machines = (pinned_machines * headroom_factor)
        .max(used_machines * headroom_factor - spot_machines)
        .ceil() as usize;
    let mut ordinary: Vec<&Bin> = bins
        .iter()
        .copied()
        .filter(|bin| !bin.kind.spot && bin.machine.is_some())
        .collect();
    ordinary.sort_by(|a, b| {
        b.pinned_share
            .total_cmp(&a.pinned_share)
            .then(a.is_draining(history).cmp(&b.is_draining(history)))
            .then(used_share(b).total_cmp(&used_share(a)))
    });
    ordinary.into_iter().skip(needed_machines).collect()
}

/// Returns the actions that give back idle quarantined machines.
fn release_quarantined(digests: &MachineDigests<'_>) -> Vec<Action> {
    digests
        .iter()
        .filter(|(_, (digest, _))| digest.quarantined && digest.idle_s >= 0.0)
        .map(|(id, (_, shard))| Action::ScaleIn((*id).clone(), *shard))
        .collect()
}

/// Returns the actions that give back machines of one market, spot or ordinary, that
/// have been idle for long. As many as the policy's headroom requires are kept, those
/// idle for longest first.
fn release_idle(
    config: &Config,
    history: &FleetHistory,
    bins: &[Bin],
    digests: &MachineDigests<'_>,
    spot: bool,
) -> Vec<Action> {
    // No ordinary machines are kept idle if all tasks may run on spot machines.
    let needs_headroom = spot || bins.iter().any(|bin| bin.pinned_share > 0.0);
    let machines_in_use: f64 = bins
        .iter()
        .filter(|bin| needs_headroom && bin.kind.spot == spot)
        .map(|bin| 1.0 - bin.free.dominant_share(&bin.capacity))
        .sum();
    let mut idle_machines: Vec<(f64, &MachineId, ShardId)> = bins
        .iter()
        .filter(|bin| bin.kind.spot == spot && bin.packed_tasks == 0)
        .filter_map(|bin| {
            let id = bin.machine.as_ref()?;
            let (digest, shard) = digests.get(id)?;
            let min_idle_s = if history.draining.contains(id) {
                config.policy.idle_s * DRAINING_IDLE_FRACTION
            } else {
                config.policy.idle_s
            };
            (digest.idle_s >= min_idle_s).then_some((digest.idle_s, id, *shard))
        })
        .collect();
    idle_machines.sort_by(|a, b| b.0.total_cmp(&a.0));
    let kept_machines = (machines_in_use * config.policy.cushion).floor() as usize;
    idle_machines
        .into_iter()
        .skip(kept_machines)
        .map(|(_, id, shard)| Action::ScaleIn(id.clone(), shard))
        .collect()
}
