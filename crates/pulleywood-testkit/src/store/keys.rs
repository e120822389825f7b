//! The state of the fake store: keys, revisions, leases and events, as the protocol defines
//! them.

use pulleywood_protocol::cbor::Value;
use pulleywood_protocol::store::{Event, Item, StoreRevision, Transaction, Write};
use pulleywood_protocol::{LeaseId, Revision};
use pulleywood_transport::server::Response;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The value, revision and lease of a key.
#[derive(Debug, Clone)]
pub struct Entry {
    pub value: Value,
    /// Store revision of the last write.
    pub revision: Revision,
    /// The lease to which the key is attached; `None` if it is kept until deleted.
    pub lease_id: Option<LeaseId>,
}

/// All keys and leases, and the events so far.
#[derive(Debug, Default)]
pub struct Keys {
    pub store_revision: u64,
    pub keys: BTreeMap<String, Entry>,
    /// Expiry time and time-to-live of each lease.
    pub leases: BTreeMap<LeaseId, (Instant, Duration)>,
    /// The last lease id given out; 0 if none was.
    pub last_lease_id: u64,
    /// All writes and deletions, oldest first.
    pub events: Vec<Event>,
}

/// Body of the response to a transaction of which a compare failed.
#[derive(Serialize)]
struct Conflict {
    failed: Vec<String>,
    #[serde(rename = "ledger")]
    store_revision: u64,
}

impl Keys {
    /// Revokes the leases that have expired at `now`.
    pub fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, (expires_at, _))| *expires_at <= now)
            .map(|(lease_id, _)| *lease_id)
            .collect();
        for lease_id in &expired {
            self.revoke_lease(*lease_id);
        }
    }

    /// Ends a lease and deletes the keys attached to it. Returns whether the lease existed.
    pub fn revoke_lease(&mut self, lease_id: LeaseId) -> bool {
        if self.leases.remove(&lease_id).is_none() {
            return false;
        }
        let attached: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.lease_id == Some(lease_id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in attached {
            self.store_revision += 1;
            self.remove(&key);
        }
        true
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.events.push(Event {
                write: None,
                delete: Some(key.to_owned()),
                value: None,
                revision: Revision(self.store_revision),
            });
        }
    }

    /// Executes a transaction. The status is 200 if all its compares hold, 409 if one fails, and
    /// 400 if it attaches a key to an unknown lease; with 409 and 400 nothing is written.
    pub fn commit(&mut self, transaction: &Transaction) -> Response {
        if !self.leases_exist(transaction) {
            return Response::cbor(400, &BTreeMap::from([("error", "no such lease")]));
        }
        let failed = self.failed_compares(transaction);
        if !failed.is_empty() {
            let store_revision = self.store_revision;
            return Response::cbor(
                409,
                &Conflict {
                    failed,
                    store_revision,
                },
            );
        }
        if !transaction.writes.is_empty() {
            self.store_revision += 1;
        }
        for write in &transaction.writes {
            self.apply(write);
        }
        let store_revision = self.store_revision;
        Response::cbor(200, &StoreRevision { store_revision })
    }

    fn leases_exist(&self, transaction: &Transaction) -> bool {
        transaction.writes.iter().all(|write| match write {
            Write::Put { lease_id, .. } => lease_id.is_none_or(|id| self.leases.contains_key(&id)),
            Write::Delete { .. } => true,
        })
    }

    fn failed_compares(&self, transaction: &Transaction) -> Vec<String> {
        let revision = |key: &str| {
            self.keys
                .get(key)
                .map_or(Revision(0), |entry| entry.revision)
        };
        let compares = transaction.compares.iter();
        let failed = compares.filter(|c| revision(&c.path) != c.revision);
        failed.map(|c| c.path.clone()).collect()
    }

    fn apply(&mut self, write: &Write) {
        match write {
            Write::Put {
                key,
                value,
                lease_id,
            } => {
                let entry = Entry {
                    value: value.clone(),
                    revision: Revision(self.store_revision),
                    lease_id: *lease_id,
                };
                self.keys.insert(key.clone(), entry);
                self.events.push(Event {
                    write: Some(key.clone()),
                    delete: None,
                    value: Some(value.clone()),
                    revision: Revision(self.store_revision),
                });
            }
            Write::Delete { key } => self.remove(key),
        }
    }

    /// Returns a key with its value, revision and lease; `None` if there is no such key.
    pub fn item(&self, key: &str) -> Option<Item> {
        let entry = self.keys.get(key)?;
        Some(Item {
            path: key.to_owned(),
            value: entry.value.clone(),
            revision: entry.revision,
            lease_id: entry.lease_id,
        })
    }
}
