//! Scaling in: machines beyond need are emptied, and given back once they are idle.

use super::bins::Bin;
use super::snapshot::MachineDigests;
use super::{Action, FleetHistory, FleetRound};
use crate::config::Config;
use pulleywood_protocol::{MachineId, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// A smaller share of a machine counts as none, since shares are sums of floats.
const NO_SHARE: f64 = 1e-9;
/// A machine that is being emptied idles for this part of the policy's `idle_s`.
const DRAINED_IDLE: f64 = 1.0 / 4.0;

impl FleetRound<'_> {
    /// Empties machines beyond need, and gives idle ones back.
    pub(super) fn shrink(&mut self, digests: &MachineDigests<'_>) {
        if self.snapshot.hold {
            self.history.draining.clear();
            return;
        }
        self.drain();
        let quarantined = quarantined_machines(digests);
        self.actions.extend(quarantined);
        for spot in [false, true] {
            let idle = idle_machines(self.config, self.history, &self.bins, digests, spot);
            self.actions.extend(idle);
        }
    }

    /// Empties ordinary machines beyond need that hold no work bound to ordinary
    /// machines. Each type counts by itself: idle machines of one type are no
    /// capacity for work that fits another alone.
    fn drain(&mut self) {
        let mut by_type: BTreeMap<&str, Vec<&Bin>> = BTreeMap::new();
        for bin in &self.bins {
            by_type.entry(&bin.kind.flavor).or_default().push(bin);
        }
        let mut by_shard: BTreeMap<ShardId, Vec<MachineId>> = BTreeMap::new();
        let mut draining = BTreeSet::new();
        for bins in by_type.into_values() {
            for bin in beyond_need(self.config, self.history, &bins) {
                let empty = bin.pinned < NO_SHARE && bin.taken == 0;
                if let (true, Some(machine), Some(shard)) = (empty, &bin.machine, bin.shard) {
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

/// Ordinary machines of one type beyond what the work on that type needs. Those with
/// the most bound work stay, then those not yet draining, then the fullest.
fn beyond_need<'b>(config: &Config, history: &FleetHistory, bins: &[&'b Bin]) -> Vec<&'b Bin> {
    let used = |b: &Bin| b.free.dominant_share_in_use(&b.capacity).clamp(0.0, 1.0);
    let load: f64 = bins.iter().map(|b| used(b)).sum();
    let pinned: f64 = bins.iter().map(|b| b.pinned).sum();
    let spot = bins.iter().filter(|b| b.kind.spot).count() as f64;
    let headroom = 1.0 + config.policy.cushion;
    let needed = (pinned * headroom).max(load * headroom - spot).ceil() as usize;
    let mut ordinary: Vec<&Bin> = bins
        .iter()
        .copied()
        .filter(|b| !b.kind.spot && b.machine.is_some())
        .collect();
    ordinary.sort_by(|a, b| {
        b.pinned
            .total_cmp(&a.pinned)
            .then(a.is_draining(history).cmp(&b.is_draining(history)))
            .then(used(b).total_cmp(&used(a)))
    });
    ordinary.into_iter().skip(needed).collect()
}

/// Quarantined machines that are idle.
fn quarantined_machines(digests: &MachineDigests<'_>) -> Vec<Action> {
    digests
        .iter()
        .filter(|(_, (digest, _))| digest.quarantined && digest.idle_s >= 0.0)
        .map(|(id, (_, shard))| Action::ScaleIn((*id).clone(), *shard))
        .collect()
}

/// Machines of one market, spot or ordinary, that have idled for long, beyond the
/// policy's headroom. The longest idle go first.
fn idle_machines(
    config: &Config,
    history: &FleetHistory,
    bins: &[Bin],
    digests: &MachineDigests<'_>,
    spot: bool,
) -> Vec<Action> {
    // No ordinary machines are kept idle if all work may use spot ones.
    let needs_headroom = spot || bins.iter().any(|b| b.pinned > 0.0);
    let in_use: f64 = bins
        .iter()
        .filter(|b| needs_headroom && b.kind.spot == spot)
        .map(|b| 1.0 - b.free.dominant_share(&b.capacity))
        .sum();
    let mut idle: Vec<(f64, &MachineId, ShardId)> = bins
        .iter()
        .filter(|b| b.kind.spot == spot && b.taken == 0)
        .filter_map(|b| {
            let id = b.machine.as_ref()?;
            let (digest, shard) = digests.get(id)?;
            let max_idle_s = if history.draining.contains(id) {
                config.policy.idle_s * DRAINED_IDLE
            } else {
                config.policy.idle_s
            };
            (digest.idle_s >= max_idle_s).then_some((digest.idle_s, id, *shard))
        })
        .collect();
    idle.sort_by(|a, b| b.0.total_cmp(&a.0));
    let kept = (in_use * config.policy.cushion).floor() as usize;
    idle.into_iter()
        .skip(kept)
        .map(|(_, id, shard)| Action::ScaleIn(id.clone(), shard))
        .collect()
}
