//! Record of a registered machine.

use crate::cbor::Amount;
use crate::ids::{FencingToken, ShardId};
use serde::{Deserialize, Serialize};

/// Record of a machine. It is committed before the first launch on the machine, so a machine
/// without a record runs no task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The shard that the machine belongs to.
    #[serde(rename = "part")]
    pub shard: ShardId,
    /// The fencing token of the shard when the machine joined it.
    #[serde(rename = "term")]
    pub fencing_token: FencingToken,
    /// Machine type.
    pub flavor: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Address of its worker; empty until it is known. No task is launched before that.
    #[serde(default)]
    pub endpoint: String,
    /// Whether the machine is about to be released to the cloud. No task is launched on it any
    /// more.
    #[serde(rename = "retiring", default)]
    pub releasing: bool,
    /// Images in its cache with their size in GB, most recently used last. Written from time to
    /// time, so that a new leader knows on which machines tasks can start without a fetch.
    #[serde(default)]
    pub images: Vec<(String, Amount)>,
}

impl MachineRecord {
    /// Returns the record without its images, which make up most of its size.
    pub fn without_images(&self) -> MachineRecord {
        MachineRecord {
            shard: self.shard,
            fencing_token: self.fencing_token,
            flavor: self.flavor.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            endpoint: self.endpoint.clone(),
            releasing: self.releasing,
            images: Vec::new(),
        }
    }
}
