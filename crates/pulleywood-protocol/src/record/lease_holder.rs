//! Holders of leases: leaders of shards and the coordinator.

use crate::ids::{FencingToken, MemberId};
use serde::{Deserialize, Serialize};

/// The controller that leads or last led a shard, or that holds the coordinator lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Name of the controller.
    pub member: MemberId,
    /// Random number that identifies the process of the controller.
    pub boot: u64,
    /// The fencing token under which it holds the lease.
    #[serde(rename = "term")]
    pub fencing_token: FencingToken,
}

/// The most recent leader of a shard. Unlike the record of the leader it outlives the lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousLeaseHolder {
    /// The most recent leader.
    pub holder: LeaseHolder,
    /// Whether it has accounted for every machine that earlier leaders commanded. Until then
    /// workers may still run tasks that an earlier leader launched.
    #[serde(rename = "settled", default)]
    pub reconciled: bool,
}
