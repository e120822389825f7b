//! A fake of the store, in memory, on loopback.
//!
//! It promises the protocol's semantics of keys, revisions, leases, transactions and watches,
//! and separate faults for each controller ([`Fault`]). It does not imitate replication, rate
//! limits or size limits, and a list is one page.

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

/// A copy of all keys.
#[derive(Debug, Clone)]
pub struct Backup(BTreeMap<String, Entry>);

/// The fake store. Each controller reaches it through its own endpoint.
#[derive(Debug, Clone, Default)]
pub struct FakeStore {
    service: Arc<Service>,
}

/// What all endpoints share.
#[derive(Debug, Default)]
struct Service {
    keys: Mutex<Keys>,
    changed: Condvar,
    /// Reads of single jobs, and watches that do not wait.
    reads: AtomicU64,
    commits: AtomicU64,
    writes: AtomicU64,
}

impl FakeStore {
    /// Opens an endpoint for another controller.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened.
    pub fn endpoint(&self) -> std::io::Result<StoreEndpoint> {
        let fault = Arc::new(Mutex::new(Fault::None));
        let handler = EndpointHandler {
            service: Arc::clone(&self.service),
            fault: Arc::clone(&fault),
        };
        let addr = serve(loopback(), Limits::thread_per_connection(64), handler)?.address;
        Ok(StoreEndpoint { addr, fault })
    }

    /// Renews all leases for their full time, as the store does after an outage.
    pub fn extend_leases(&self) {
        let now = Instant::now();
        for (end, ttl) in self.service.keys.lock().leases.values_mut() {
            *end = now + *ttl;
        }
    }

    /// Number of reads of single jobs and of watches that do not wait: the reads that users'
    /// requests cause.
    pub fn reads(&self) -> u64 {
        self.service.reads.load(Ordering::Relaxed)
    }

    /// Number of puts and deletes executed.
    pub fn writes(&self) -> u64 {
        self.service.writes.load(Ordering::Relaxed)
    }

    /// Copies all keys.
    pub fn backup(&self) -> Backup {
        Backup(self.service.keys.lock().keys.clone())
    }

    /// Replaces all keys by those of a backup, without the keys attached to leases. All leases
    /// end, and watches get no event.
    pub fn restore(&self, backup: &Backup) {
        let mut store = self.service.keys.lock();
        store.keys = backup.0.clone();
        store.keys.retain(|_, entry| entry.lease_id.is_none());
        store.leases.clear();
    }

    /// Writes a key without an event, as if the watch had lost it.
    pub fn put_unseen<T: Serialize>(&self, key: &str, value: &T) {
        let mut store = self.service.keys.lock();
        store.store_revision += 1;
        let entry = Entry {
            value: cbor::to_value(value),
            revision: Revision(store.store_revision),
            lease_id: None,
        };
        store.keys.insert(key.to_owned(), entry);
    }

    /// The values of all keys with a prefix.
    pub fn values(&self, prefix: &str) -> Vec<Value> {
        let store = self.service.keys.lock();
        let below = store.keys.iter().filter(|(k, _)| k.starts_with(prefix));
        below.map(|(_, e)| e.value.clone()).collect()
    }

    /// All keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let store = self.service.keys.lock();
        store
            .keys
            .keys()
            .filter(|k| k.starts_with(prefix))
            .cloned()
            .collect()
    }
}
