//! Admission control: decides, from the limits and the current load, which connections and
//! requests the server accepts and when connections are closed or parked early.

use super::{ClientKind, Gauges, Limits};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Admission control of one server. No method takes a lock.
pub struct Admission {
    limits: Limits,
    gauges: Arc<Gauges>,
    /// User requests that are being handled.
    user_requests: AtomicUsize,
    /// Whether waiting connections are parked: the limits allow more connections than threads.
    parking_enabled: bool,
}

/// Counts one request against the limit on user requests until it is dropped. `None` if the
/// request is not subject to that limit.
pub struct AdmittedRequest<'a>(Option<&'a AtomicUsize>);

impl Drop for AdmittedRequest<'_> {
    fn drop(&mut self) {
        if let Some(count) = self.0 {
            count.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

impl Admission {
    /// Creates the admission control of a server within `limits`, which parks waiting
    /// connections if `parking_enabled` is set.
    pub fn new(limits: Limits, gauges: Arc<Gauges>, parking_enabled: bool) -> Admission {
        Admission {
            limits,
            gauges,
            user_requests: AtomicUsize::new(0),
            parking_enabled,
        }
    }

    pub fn limits(&self) -> Limits {
        self.limits
    }

    pub fn gauges(&self) -> &Gauges {
        &self.gauges
    }

    /// Counts a new connection. Returns `false`, without counting it, if the limit on
    /// connections is reached.
    pub fn admit_connection(&self) -> bool {
        if self.gauges.open_connections() >= self.limits.connections {
            return false;
        }
        self.gauges.open.fetch_add(1, Ordering::SeqCst);
        true
    }

    /// Frees the slot of an admitted connection. Called after the socket is closed.
    pub fn release_connection(&self) {
        self.gauges.open.fetch_sub(1, Ordering::SeqCst);
    }

    /// Whether so many connections are open that those of this kind of client are closed after
    /// their responses, or sooner when idle.
    pub fn connections_scarce(&self, client: ClientKind) -> bool {
        client.connections_scarce(self.gauges.open_connections(), self.limits.connections)
    }

    /// Whether waiting connections must be parked: the open connections, with a thread each,
    /// would occupy more than three quarters of the threads.
    pub fn threads_scarce(&self) -> bool {
        self.parking_enabled && self.gauges.open_connections() * 4 > self.limits.threads * 3
    }

    /// Admits a request. Returns `None` for a user request if user requests already occupy
    /// three quarters of the threads: the rest is reserved for workers and health checks.
    pub fn admit_request(&self, client: ClientKind) -> Option<AdmittedRequest<'_>> {
        if client != ClientKind::User || !self.parking_enabled {
            return Some(AdmittedRequest(None));
        }
        let previous = self.user_requests.fetch_add(1, Ordering::SeqCst);
        let admitted = AdmittedRequest(Some(&self.user_requests));
        (previous * 4 < self.limits.threads * 3).then_some(admitted)
    }
}
