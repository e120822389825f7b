//! Scarce machine types: those that flexible work leaves to work which can use no
//! others.
//!
//! If small tasks fit every type and large ones only the largest, small tasks that come
//! first or rank higher would fill the few large machines, and no small machines would
//! be rented.

use crate::config::Config;
use crate::resources::ResourceVector;
use pulleywood_protocol::peer::Demand;
use pulleywood_protocol::{JobSpec, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Labels of machine types.
pub type MachineTypes = BTreeSet<String>;

/// Returns the types on which a task of a job fits and may run.
pub fn of_job(config: &Config, spec: &JobSpec) -> MachineTypes {
    let flavors = config.flavors.values();
    let usable = flavors.filter(|flavor| config.flavor_fits(spec, flavor));
    usable.map(|flavor| flavor.label.clone()).collect()
}

/// Returns the types on which a task of a demand fits and may run.
pub fn of_demand(config: &Config, demand: &Demand) -> MachineTypes {
    let need = ResourceVector::of_demand(demand);
    let allows = |label: &String| demand.types.as_ref().is_none_or(|t| t.contains(label));
    let flavors = config.flavors.values();
    let usable = flavors.filter(|f| allows(&f.label) && ResourceVector::of_flavor(f).fits(&need));
    usable.map(|flavor| flavor.label.clone()).collect()
}

/// The sets of machine types that recently waiting work could use.
#[derive(Debug, Clone, Default)]
pub struct MachineTypeDemand {
    /// When work that could use each set was last seen waiting.
    last_waiting: BTreeMap<MachineTypes, MonotonicTime>,
}

impl MachineTypeDemand {
    /// Work that was seen waiting this recently is likely to come again.
    const RETENTION: Duration = Duration::from_secs(180);

    /// Records that work which could use these types is waiting.
    pub fn record_waiting(&mut self, types: MachineTypes, now: MonotonicTime) {
        let at = self.last_waiting.entry(types).or_default();
        *at = (*at).max(now);
    }

    /// Removes work that has not been seen waiting within the retention time.
    pub fn remove_expired(&mut self, now: MonotonicTime) {
        self.last_waiting
            .retain(|_, at| now.since(*at) < Self::RETENTION);
    }

    /// Returns the types that a job should leave to work with fewer types to choose
    /// from.
    pub fn types_to_avoid_for_job(&self, config: &Config, spec: &JobSpec) -> MachineTypes {
        // With a single type there is no alternative.
        if config.flavors.len() <= 1 {
            return MachineTypes::new();
        }
        self.types_to_avoid(&of_job(config, spec))
    }

    /// Returns the types that work which can use `types` should leave to work with
    /// fewer types to choose from. Empty if that would leave it no type at all.
    pub fn types_to_avoid(&self, types: &MachineTypes) -> MachineTypes {
        let less_flexible = self
            .last_waiting
            .keys()
            .filter(|other| other.len() < types.len())
            .filter(|other| other.is_subset(types));
        let avoided: MachineTypes = less_flexible.flatten().cloned().collect();
        if avoided.len() < types.len() {
            avoided
        } else {
            MachineTypes::new()
        }
    }
}
