//! Quotas: the shares of teams' limits that a shard may use.

use crate::cbor::Amount;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Resources that count against the limit of a team.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Slots {
    /// Number of processors.
    pub cpus: Amount,
    /// Number of GPUs.
    pub gpus: Amount,
}

/// Quotas of a shard, for each team with a limit. The quotas of all shards add up to at most the
/// limit of the team.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct QuotaRecord {
    /// Version, which increases with every change.
    pub epoch: u64,
    /// Quota by team. A team that is not listed has no quota.
    pub teams: BTreeMap<String, Slots>,
}
