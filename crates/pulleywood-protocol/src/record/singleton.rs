//! Records that exist once in a cluster: the layout and the fencing-token counter.

use super::FENCING_TOKEN;
use crate::ids::{FencingToken, Revision};
use crate::store::Transaction;
use serde::{Deserialize, Serialize};

/// Division of the cluster into shards. Written at the first start and never changed, since job
/// keys and the shards of new machines are derived from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    /// Number of shards.
    #[serde(rename = "parts")]
    pub shards: u32,
}

/// The counter from which fencing tokens are issued. It never decreases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencingTokenCounter {
    /// The last fencing token issued.
    pub last: FencingToken,
}

impl FencingTokenCounter {
    /// Adds to a transaction that this record replaces the stored counter, provided that it is
    /// unchanged since `revision`.
    pub fn replace(self, transaction: Transaction, revision: Revision) -> Transaction {
        transaction
            .when(FENCING_TOKEN, revision)
            .write(FENCING_TOKEN, &self)
    }
}
