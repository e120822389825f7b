//! Image fetches below production rank yield to services while a shard recovers.
//!
//! Images that a machine fetches at the same time share its rate. After a cold start
//! every image that is lacking is asked for at once, and a service's replica would
//! share the rate with work that no user waits for.
//!
//! Invariant: while the gate is shut, no launch below production rank begins a fetch
//! on a machine that fetches for production work, nor more fetches in a zone than it
//! admits.

use crate::shard::machine::Machine;
use pulleywood_protocol::{JobSpec, MonotonicTime, Rank};
use std::collections::BTreeMap;

/// Holds launches below production rank back where they would fetch an image.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FetchGate {
    /// The gate is open from then on.
    pub ends_at: MonotonicTime,
    /// Fetches below production rank that may still begin, by zone.
    pub remaining_by_zone: BTreeMap<String, usize>,
}

impl FetchGate {
    /// Whether a task may be launched now; if so, its fetch is counted.
    pub fn admits(&mut self, machine: &Machine, spec: &JobSpec, now: MonotonicTime) -> bool {
        let shut = now < self.ends_at && spec.rank < Rank::Production;
        if !shut || !begins_fetch(machine, spec) {
            return true;
        }
        if fetches_for_production(machine) {
            return false;
        }
        let left = self
            .remaining_by_zone
            .entry(machine.record.zone.clone())
            .or_default();
        let admitted = *left > 0;
        *left = left.saturating_sub(1);
        admitted
    }
}

/// Whether the machine would begin to fetch the job's image: there is one, and the
/// machine neither has it nor fetches it for another task.
fn begins_fetch(machine: &Machine, spec: &JobSpec) -> bool {
    let no_image = spec.image_gb.0 <= 0.0;
    let present = || machine.images.iter().any(|(name, _)| *name == spec.image);
    let fetched = || fetching_specs(machine).any(|s| s.image == spec.image);
    !(no_image || present() || fetched())
}

fn fetches_for_production(machine: &Machine) -> bool {
    fetching_specs(machine).any(|s| s.rank >= Rank::Production)
}

/// Jobs whose image the machine fetches.
fn fetching_specs(machine: &Machine) -> impl Iterator<Item = &JobSpec> {
    let fetching = machine.slots.iter().filter(|s| s.state.is_fetching());
    fetching.filter_map(|s| s.spec.as_deref())
}
