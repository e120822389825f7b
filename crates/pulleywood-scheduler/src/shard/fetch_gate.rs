//! Priority of services' image fetches over those below production rank while a shard
//! recovers.
//!
//! Images that a machine fetches at the same time share its bandwidth. After a cold
//! start all missing images are requested at once, and a service's replica would share
//! the bandwidth with work that no user is waiting for.
//!
//! Invariant: while the gate is closed, no launch below production rank starts a fetch
//! on a machine that is fetching for production work, nor more fetches in a zone than
//! the gate admits.

use crate::shard::machine::Machine;
use pulleywood_protocol::{JobSpec, MonotonicTime, Rank};
use std::collections::BTreeMap;

/// Holds back launches below production rank that would start an image fetch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FetchGate {
    /// When the gate opens for all fetches.
    pub ends_at: MonotonicTime,
    /// Number of fetches below production rank that may still start, by zone.
    pub remaining_by_zone: BTreeMap<String, usize>,
}

impl FetchGate {
    /// Whether a task may be launched now. If so, the fetch that it starts is counted.
    pub fn admits(&mut self, machine: &Machine, spec: &JobSpec, now: MonotonicTime) -> bool {
        let is_closed = now < self.ends_at && spec.rank < Rank::Production;
        if !is_closed || !begins_fetch(machine, spec) {
            return true;
        }
        if fetches_for_production(machine) {
            return false;
        }
        let remaining = self
            .remaining_by_zone
            .entry(machine.record.zone.clone())
            .or_default();
        let admitted = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        admitted
    }
}

/// Whether the machine would start to fetch the job's image: the job has one, and the
/// machine neither has it nor is fetching it for another task.
fn begins_fetch(machine: &Machine, spec: &JobSpec) -> bool {
    let no_image = spec.image_gb.0 <= 0.0;
    let present = || machine.images.iter().any(|(name, _)| *name == spec.image);
    let fetched = || fetching_specs(machine).any(|s| s.image == spec.image);
    !(no_image || present() || fetched())
}

fn fetches_for_production(machine: &Machine) -> bool {
    fetching_specs(machine).any(|s| s.rank >= Rank::Production)
}

/// Specifications of the jobs whose images the machine is fetching.
fn fetching_specs(machine: &Machine) -> impl Iterator<Item = &JobSpec> {
    let fetching = machine.slots.iter().filter(|s| s.state.is_fetching());
    fetching.filter_map(|s| s.spec.as_deref())
}
