//! A fake of the state service that keeps its data in memory and listens on loopback.
//!
//! It implements keys, revisions, leases, transactions and watches as the protocol defines
//! them, and a separate [`Fault`] for each controller. Replication, rate limits and size limits
//! are not simulated.

mod endpoint;
mod keys;

pub use endpoint::{Fault, StoreEndpoint};

use crate::loopback;
use endpoint::EndpointHandler;
use keys::{Entry, Keys};
use parking_lot::{Condvar, Mutex};
use pulleywood_protocol::Revision;
use pulleywood_protocol::cbor::{self, Value};
use pulleywood_transport::server::{Limits, serve};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// A copy of all keys at one point in time.
#[derive(Debug, Clone)]
pub struct Backup(BTreeMap<String, Entry>);

/// The fake store. Each controller connects to it through an endpoint of its own.
#[derive(Debug, Clone, Default)]
pub struct FakeStore {
    shared: Arc<SharedState>,
}

/// State that all endpoints share.
#[derive(Debug, Default)]
struct SharedState {
    keys: Mutex<Keys>,
    /// Notified after each request, so that waiting watches look for new events.
    changed: Condvar,
    /// Number of reads of single jobs and of watches that do not wait.
    user_read_count: AtomicU64,
    /// Number of transactions that arrived under [`Fault::EverySecondLate`].
    commit_count: AtomicU64,
    /// Number of puts and deletes in the applied transactions.
    write_count: AtomicU64,
}

impl FakeStore {
    /// Opens an endpoint without a fault for one controller.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened.
    pub fn endpoint(&self) -> std::io::Result<StoreEndpoint> {
        let fault = Arc::new(Mutex::new(Fault::None));
        let handler = EndpointHandler {
            shared: Arc::clone(&self.shared),
            fault: Arc::clone(&fault),
        };
        let addr = serve(loopback(), Limits::thread_per_connection(64), handler)?.address;
        Ok(StoreEndpoint { addr, fault })
    }

    /// Renews all leases for their full time-to-live, as the store does after an outage.
    pub fn extend_leases(&self) {
        let now = Instant::now();
        for (expires_at, ttl) in self.shared.keys.lock().leases.values_mut() {
            *expires_at = now + *ttl;
        }
    }

    /// Number of reads of single jobs and of watches that do not wait so far. These are the
    /// reads that requests of users cause.
    pub fn user_reads(&self) -> u64 {
        self.shared.user_read_count.load(Ordering::Relaxed)
    }

    /// Number of puts and deletes executed so far by transactions.
    pub fn writes(&self) -> u64 {
        self.shared.write_count.load(Ordering::Relaxed)
    }

    /// Copies all keys with their values, revisions and leases.
    pub fn backup(&self) -> Backup {
        Backup(self.shared.keys.lock().keys.clone())
    }

    /// Replaces all keys with those of a backup, except for keys attached to a lease. All
    /// leases end, and watches receive no events.
    pub fn restore(&self, backup: &Backup) {
        let mut store = self.shared.keys.lock();
        store.keys = backup.0.clone();
        store.keys.retain(|_, entry| entry.lease_id.is_none());
        store.leases.clear();
    }

    /// Writes a key without an event, as if the watch had lost the event.
    pub fn put_without_event<T: Serialize>(&self, key: &str, value: &T) {
        let mut store = self.shared.keys.lock();
        store.store_revision += 1;
        let entry = Entry {
            value: cbor::to_value(value),
            revision: Revision(store.store_revision),
            lease_id: None,
        };
        store.keys.insert(key.to_owned(), entry);
    }

    /// Values of all keys with the prefix, in the order of the keys.
    pub fn values(&self, prefix: &str) -> Vec<Value> {
        let store = self.shared.keys.lock();
        let matching = store.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        matching.map(|(_, entry)| entry.value.clone()).collect()
    }

    /// All keys with the prefix, sorted.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let store = self.shared.keys.lock();
        store
            .keys
            .keys()
            .filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }
}
