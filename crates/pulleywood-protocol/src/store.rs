//! Messages between controllers and the state service.

use crate::cbor::Value;
use crate::ids::{LeaseId, Revision};
use serde::{Deserialize, Serialize};

/// A key with its value and revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub path: String,
    /// Value of the key.
    pub value: Value,
    /// Revision at which the key last changed.
    #[serde(rename = "stamp")]
    pub revision: Revision,
    /// The lease that the key is attached to, if any. The key is deleted when the lease expires.
    #[serde(default)]
    #[serde(rename = "permit")]
    pub lease_id: Option<LeaseId>,
}

/// A page of a list of keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Page {
    /// Items in key order.
    pub items: Vec<Item>,
    /// Whether further keys follow.
    pub more: bool,
    /// Revision of the store at the time of the read.
    #[serde(rename = "ledger")]
    pub store_revision: u64,
}

/// A condition of a transaction: the key has the given revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Compare {
    /// The key.
    pub path: String,
    /// Expected revision; 0 if the key must not exist.
    #[serde(rename = "stamp")]
    pub revision: Revision,
}

/// A write operation of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets the value of a key.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The new value.
        value: Value,
        /// Lease to attach the key to; `None` detaches it from any lease.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        #[serde(rename = "permit")]
        lease_id: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
    },
}

/// A transaction: writes that are applied together if all conditions hold.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    #[serde(rename = "if")]
    pub compares: Vec<Compare>,
    /// Writes that are applied atomically.
    #[serde(rename = "apply")]
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds the condition that the key `path` has the given revision, unless there is already a
    /// condition on this key.
    pub fn when(mut self, path: impl Into<String>, revision: Revision) -> Self {
        let path = path.into();
        if !self.compares.iter().any(|c| c.path == path) {
            self.compares.push(Compare { path, revision });
        }
        self
    }

    /// Adds a write of a key that is not attached to a lease.
    pub fn write<T: Serialize>(mut self, path: impl Into<String>, value: &T) -> Self {
        self.writes.push(Write::Put {
            key: path.into(),
            value: crate::cbor::to_value(value),
            lease_id: None,
        });
        self
    }

    /// Adds a write of a key that is attached to a lease.
    pub fn write_with_lease<T: Serialize>(
        mut self,
        path: impl Into<String>,
        value: &T,
        lease_id: LeaseId,
    ) -> Self {
        self.writes.push(Write::Put {
            key: path.into(),
            value: crate::cbor::to_value(value),
            lease_id: Some(lease_id),
        });
        self
    }

    /// Adds the deletion of a key.
    pub fn delete(mut self, path: impl Into<String>) -> Self {
        self.writes.push(Write::Delete { key: path.into() });
        self
    }

    /// Whether every written key has a condition. All transactions must fulfil this, since one
    /// that timed out may be applied minutes later.
    pub fn is_compare_and_set(&self) -> bool {
        self.writes.iter().all(|write| {
            let key = match write {
                Write::Put { key, .. } | Write::Delete { key } => key,
            };
            self.compares.iter().any(|c| &c.path == key)
        })
    }
}

/// The response to a transaction whose conditions do not all hold.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TransactionConflict {
    /// Keys whose conditions do not hold.
    #[serde(rename = "failed", default)]
    pub conflicting_keys: Vec<String>,
}

/// The response to a transaction that was applied, and to the read of a key that does not exist.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct StoreRevision {
    /// Revision of the store, which increases with every change.
    #[serde(rename = "ledger")]
    pub store_revision: u64,
}

/// A request for a new lease.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live of the lease, in milliseconds.
    pub ttl_ms: u64,
}

/// The response to a lease request.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct LeaseGranted {
    /// Id of the new lease.
    #[serde(rename = "permit")]
    pub lease_id: LeaseId,
}

/// A change of one key, as delivered by a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Event {
    /// The key if it was written; `None` if it was deleted.
    #[serde(default)]
    pub write: Option<String>,
    /// The key if it was deleted; `None` if it was written.
    #[serde(default)]
    pub delete: Option<String>,
    /// The new value; `None` if the key was deleted.
    #[serde(default)]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub revision: Revision,
}

/// The response to a watch request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Events {
    /// Revision of the store up to which the events are complete.
    #[serde(rename = "ledger")]
    pub store_revision: u64,
    /// Changes in the order of their revisions.
    pub events: Vec<Event>,
}
