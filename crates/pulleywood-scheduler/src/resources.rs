//! Amounts of resources that tasks need and machines have.

use pulleywood_protocol::JobSpec;
use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::cloud::Flavor;
use pulleywood_protocol::peer::{Demand, MachineDigest};
use pulleywood_protocol::record::Slots;
use std::ops::{AddAssign, SubAssign};

/// Tolerance for comparisons, because amounts are sums of floating-point numbers.
const TOLERANCE: f64 = 1e-6;

/// Maximum number of tasks on one machine, however little they need: each heartbeat
/// lists all of them, and the size of a message is limited.
pub const MAX_TASKS_PER_MACHINE: u32 = 400;

/// Amounts of processors, GPUs and memory.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ResourceVector {
    /// Number of processors.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl ResourceVector {
    /// Resources that one task of a job needs.
    pub fn of_task(spec: &JobSpec) -> ResourceVector {
        ResourceVector {
            cpus: spec.cpus.0,
            gpus: spec.gpus.0,
            memory_gb: spec.memory_gb.0,
        }
    }

    /// Capacity of a machine of this type.
    pub fn of_flavor(flavor: &Flavor) -> ResourceVector {
        ResourceVector {
            cpus: flavor.cpus.0,
            gpus: flavor.gpus.0,
            memory_gb: flavor.memory_gb.0,
        }
    }

    /// Resources that one task of a demand needs.
    pub fn of_demand(demand: &Demand) -> ResourceVector {
        ResourceVector {
            cpus: demand.cpus,
            gpus: demand.gpus,
            memory_gb: demand.memory_gb,
        }
    }

    /// Free resources of a machine, according to its digest.
    pub fn free_on(machine: &MachineDigest) -> ResourceVector {
        ResourceVector {
            cpus: machine.cpus,
            gpus: machine.gpus,
            memory_gb: machine.memory_gb,
        }
    }

    /// Whether `need` fits into these resources, within a small tolerance.
    pub fn fits(&self, need: &ResourceVector) -> bool {
        need.cpus <= self.cpus + TOLERANCE
            && need.gpus <= self.gpus + TOLERANCE
            && need.memory_gb <= self.memory_gb + TOLERANCE
    }

    /// The smaller amount of each resource.
    pub fn component_min(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory_gb: self.memory_gb.min(other.memory_gb),
        }
    }

    /// The dominant share: the largest fraction of `capacity`, over all resources, that
    /// these amounts take. Resources that `capacity` lacks are ignored.
    pub fn dominant_share(&self, capacity: &ResourceVector) -> f64 {
        let share = |amount: f64, all: f64| if all > 0.0 { amount / all } else { 0.0 };
        share(self.cpus, capacity.cpus)
            .max(share(self.gpus, capacity.gpus))
            .max(share(self.memory_gb, capacity.memory_gb))
    }

    /// The dominant share of `capacity` that is in use if these amounts are free.
    pub fn dominant_share_in_use(&self, capacity: &ResourceVector) -> f64 {
        let used = |free: f64, all: f64| if all > 0.0 { 1.0 - free / all } else { 0.0 };
        used(self.cpus, capacity.cpus)
            .max(used(self.gpus, capacity.gpus))
            .max(used(self.memory_gb, capacity.memory_gb))
    }

    /// How many times `need` fits into these resources, up to
    /// [`MAX_TASKS_PER_MACHINE`].
    pub fn max_copies(&self, need: &ResourceVector) -> u32 {
        let times = |amount: f64, need: f64| {
            if need > TOLERANCE {
                ((amount + TOLERANCE) / need).floor().max(0.0)
            } else {
                f64::from(MAX_TASKS_PER_MACHINE)
            }
        };
        times(self.cpus, need.cpus)
            .min(times(self.gpus, need.gpus))
            .min(times(self.memory_gb, need.memory_gb))
            .min(f64::from(MAX_TASKS_PER_MACHINE)) as u32
    }

    /// The amounts that count against a team's limit: all but memory.
    pub fn slots(&self) -> Slots {
        Slots {
            cpus: Amount(self.cpus),
            gpus: Amount(self.gpus),
        }
    }
}

impl AddAssign for ResourceVector {
    fn add_assign(&mut self, other: ResourceVector) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }
}

impl SubAssign for ResourceVector {
    fn sub_assign(&mut self, other: ResourceVector) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }
}

/// Adds slots to a sum.
pub fn add_slots(sum: &mut Slots, slots: Slots) {
    sum.cpus.0 += slots.cpus.0;
    sum.gpus.0 += slots.gpus.0;
}

/// Whether `used` and `need` together are within `limit`, with a small tolerance. A
/// resource is bounded only if its amount in `published`, the team's configured limit,
/// is not 0; `limit` itself may be 0 in a shard without a quota.
pub fn within_limit(used: Slots, need: Slots, limit: Slots, published: Slots) -> bool {
    let fits = |used: f64, need: f64, limit: f64, published: f64| {
        published <= 0.0 || used + need <= limit + TOLERANCE
    };
    fits(used.cpus.0, need.cpus.0, limit.cpus.0, published.cpus.0)
        && fits(used.gpus.0, need.gpus.0, limit.gpus.0, published.gpus.0)
}
