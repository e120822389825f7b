//! Messages between controllers and the cloud.

use crate::cbor::Amount;
use crate::ids::MachineId;
use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Flavor {
    /// Name of the machine type.
    pub label: String,
    /// Number of processors.
    #[serde(rename = "vcpus")]
    pub cpus: Amount,
    /// Number of GPUs.
    #[serde(rename = "cards")]
    pub gpus: Amount,
    /// Memory in GB.
    #[serde(rename = "mem_gb")]
    pub memory_gb: Amount,
    /// Size of the image cache, in GB.
    pub cache_gb: Amount,
    /// Rate of image fetches, in GB per second.
    #[serde(rename = "pull_gb_per_s")]
    pub fetch_gb_per_s: Amount,
    /// Price per hour.
    pub price: Amount,
    /// Price per hour of a spot machine.
    pub spot_price: Amount,
    /// Typical boot time, in seconds.
    #[serde(rename = "startup_s")]
    pub boot_s: Amount,
    /// Zones in which the type is available.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// Response to `GET /flavors`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Flavors {
    /// All machine types.
    #[serde(rename = "rigs")]
    pub flavors: Vec<Flavor>,
}

/// A request to rent machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentalRequest {
    /// Name of the request, which is never reused.
    #[serde(rename = "hire")]
    pub name: String,
    /// Machine type.
    #[serde(rename = "rig")]
    pub flavor: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether to rent spot machines.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Number of machines, at most 50.
    #[serde(rename = "how_many")]
    pub count: u32,
}

/// Names of machines: the response to a rental request, and a request to release machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "horses")]
    pub machines: Vec<MachineId>,
}

/// State of a machine according to the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RentalStatus {
    /// Booting. Some machines stay in this state and never come up.
    Starting,
    /// Running, or failed less than about half a minute ago.
    Running,
    /// Stopped without having been released; listed until it is released.
    Failed,
    /// A status that this release does not know.
    #[serde(other)]
    Other,
}

/// A machine in the machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    /// Name of the machine.
    #[serde(rename = "uid")]
    pub machine: MachineId,
    /// Address of its worker; `None` while it is not known.
    #[serde(default)]
    pub endpoint: Option<String>,
    /// Machine type.
    #[serde(rename = "rig")]
    pub flavor: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// State of the machine.
    pub status: RentalStatus,
    /// Seconds since the rental request.
    pub age_s: Amount,
}

/// A page of the machine list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentalPage {
    /// Machines in the order of their names.
    #[serde(rename = "horses")]
    pub machines: Vec<Rental>,
    /// Whether further pages follow.
    pub more: bool,
}
