//! The HTTP interface of the fake store, with one address and one fault for each controller.

use super::SharedState;
use super::keys::Keys;
use crate::query;
use parking_lot::Mutex;
use pulleywood_protocol::LeaseId;
use pulleywood_protocol::cbor;
use pulleywood_protocol::store::{
    Event, Events, Item, LeaseGranted, LeaseRequest, Page, StoreRevision, Transaction,
};
use pulleywood_transport::server::{Handler, Request, Response};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Maximum number of keys in a page of a list.
const MAX_PAGE_ITEMS: usize = 1000;
/// Maximum bytes of the keys in a page of a list.
const MAX_PAGE_BYTES: usize = 512 * 1024;

/// A fault of the connection between one controller and the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Requests are refused with status 503 and not executed.
    Refuse,
    /// Requests are not executed, and get no response before the caller's timeout.
    NoAnswer,
    /// Transactions are executed, but their responses are lost.
    LoseResponses,
    /// Transactions are executed after this many milliseconds, and their responses are lost.
    Late(u64),
    /// [`Fault::Late`] for every second transaction, in milliseconds, so that newer transactions
    /// are executed before older ones.
    EverySecondLate(u64),
    /// Requests are executed and answered after a delay of this many milliseconds. A watch may
    /// wait for its events in addition.
    Slow(u64),
}

/// The address at which one controller reaches the store, and its fault.
#[derive(Debug, Clone)]
pub struct StoreEndpoint {
    /// Address on which the endpoint listens.
    pub addr: SocketAddr,
    pub(super) fault: Arc<Mutex<Fault>>,
}

impl StoreEndpoint {
    /// Replaces the fault; it applies to requests that arrive from now on.
    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock() = fault;
    }
}

/// Handles the requests of one endpoint.
pub struct EndpointHandler {
    pub shared: Arc<SharedState>,
    pub fault: Arc<Mutex<Fault>>,
}

impl EndpointHandler {
    fn execute(&self, request: &Request<'_>) -> Response {
        let mut store = self.shared.keys.lock();
        store.expire_leases(Instant::now());
        let response = match (request.method, request.path) {
            ("GET", "/store") => list(&store, request.query),
            ("GET", path) if path.starts_with("/store/") => get(&store, &path["/store/".len()..]),
            ("POST", "/commit") => self.commit(&mut store, request.body),
            ("POST", "/grants") => grant_lease(&mut store, request.body),
            (method, path) => renew_or_revoke_lease(&mut store, method, path),
        };
        drop(store);
        self.shared.changed.notify_all();
        response
    }

    fn commit(&self, store: &mut Keys, body: &[u8]) -> Response {
        let Ok(transaction) = cbor::decode::<Transaction>(body) else {
            return Response::status(400);
        };
        let response = store.commit(&transaction);
        if response.status == 200 {
            let writes = transaction.writes.len() as u64;
            self.shared.write_count.fetch_add(writes, Ordering::Relaxed);
        }
        response
    }

    /// Answers a long poll for events. The response is withheld while the fault is
    /// [`Fault::Refuse`] or [`Fault::NoAnswer`], which may be set after the request arrived.
    fn watch(&self, request: &Request<'_>) -> Response {
        let number_parameter =
            |name| query(request.query, name).and_then(|value| value.parse::<u64>().ok());
        let after = number_parameter("from").unwrap_or(0);
        let deadline =
            Instant::now() + Duration::from_millis(number_parameter("wait_ms").unwrap_or(0));
        let prefix = query(request.query, "starts").unwrap_or("");
        let mut store = self.shared.keys.lock();
        loop {
            store.expire_leases(Instant::now());
            let events: Vec<Event> = store
                .events
                .iter()
                .filter(|event| event.revision.0 > after)
                .filter(|event| {
                    let key = event.write.as_ref().or(event.delete.as_ref());
                    key.is_some_and(|key| key.starts_with(prefix))
                })
                .cloned()
                .collect();
            let now = Instant::now();
            let unavailable = matches!(*self.fault.lock(), Fault::Refuse | Fault::NoAnswer);
            if !unavailable && (!events.is_empty() || now >= deadline) {
                let store_revision = store.store_revision;
                return Response::cbor(
                    200,
                    &Events {
                        store_revision,
                        events,
                    },
                );
            }
            let poll_interval = Duration::from_millis(50);
            self.shared.changed.wait_for(&mut store, poll_interval);
        }
    }
}

fn get(store: &Keys, key: &str) -> Response {
    match store.item(key) {
        Some(item) => Response::cbor(200, &item),
        None => {
            let store_revision = store.store_revision;
            Response::cbor(404, &StoreRevision { store_revision })
        }
    }
}

fn grant_lease(store: &mut Keys, body: &[u8]) -> Response {
    let Ok(lease_request) = cbor::decode::<LeaseRequest>(body) else {
        return Response::status(400);
    };
    let ttl = Duration::from_millis(lease_request.ttl_ms);
    store.last_lease_id += 1;
    let lease_id = LeaseId(store.last_lease_id);
    store.leases.insert(lease_id, (Instant::now() + ttl, ttl));
    Response::cbor(200, &LeaseGranted { lease_id })
}

fn list(store: &Keys, parameters: &str) -> Response {
    let prefix = query(parameters, "starts").unwrap_or("");
    let after = query(parameters, "from").unwrap_or("");
    let limit = query(parameters, "page").and_then(|page| page.parse().ok());
    let limit = limit.unwrap_or(MAX_PAGE_ITEMS).min(MAX_PAGE_ITEMS);
    let mut remaining = store
        .keys
        .keys()
        .filter(|key| key.starts_with(prefix) && key.as_str() > after)
        .filter_map(|key| store.item(key))
        .peekable();
    let mut items: Vec<Item> = Vec::new();
    let mut page_bytes = 0;
    while let Some(item) = remaining.peek() {
        page_bytes += cbor::encode(item).len();
        if items.len() == limit || (page_bytes > MAX_PAGE_BYTES && !items.is_empty()) {
            break;
        }
        items.extend(remaining.next());
    }
    let (more, store_revision) = (remaining.peek().is_some(), store.store_revision);
    Response::cbor(
        200,
        &Page {
            items,
            more,
            store_revision,
        },
    )
}

/// Executes a request to `/grants/ID/renew` (POST) or `/grants/ID` (DELETE).
fn renew_or_revoke_lease(store: &mut Keys, method: &str, path: &str) -> Response {
    let rest = path.strip_prefix("/grants/").unwrap_or("");
    let (id, operation) = rest.split_once('/').unwrap_or((rest, ""));
    let Ok(id) = id.parse().map(LeaseId) else {
        return Response::status(404);
    };
    match (method, operation) {
        ("POST", "renew") => match store.leases.get_mut(&id) {
            Some((expires_at, ttl)) => {
                *expires_at = Instant::now() + *ttl;
                Response::cbor(200, &BTreeMap::<String, u64>::new())
            }
            None => Response::status(404),
        },
        ("DELETE", "") => {
            if store.revoke_lease(id) {
                Response::cbor(200, &BTreeMap::<String, u64>::new())
            } else {
                Response::status(404)
            }
        }
        _ => Response::status(404),
    }
}

/// Delay of a response that is meant to arrive too late; longer than any controller's timeout.
const NO_ANSWER_DELAY: Duration = Duration::from_secs(6);

/// Responds with status 503, but only after the timeout of any caller.
fn exceed_client_timeout() -> Response {
    std::thread::sleep(NO_ANSWER_DELAY);
    Response::status(503)
}

impl EndpointHandler {
    /// Executes a request after a delay, and responds only after the caller's timeout.
    fn execute_unanswered(&self, request: &Request<'_>, delay: Duration) -> Response {
        std::thread::sleep(delay);
        self.execute(request);
        exceed_client_timeout()
    }

    /// Counts a transaction, and returns whether it is the first, third, fifth and so on.
    fn is_every_second_commit(&self) -> bool {
        let commit_count = &self.shared.commit_count;
        commit_count
            .fetch_add(1, Ordering::Relaxed)
            .is_multiple_of(2)
    }
}

impl Handler for EndpointHandler {
    fn handle(&self, request: &Request<'_>) -> Response {
        let fault = *self.fault.lock();
        let is_commit = request.path == "/commit";
        match fault {
            Fault::Refuse => return Response::status(503),
            Fault::NoAnswer => return exceed_client_timeout(),
            Fault::LoseResponses if is_commit => {
                return self.execute_unanswered(request, Duration::ZERO);
            }
            Fault::Late(ms) if is_commit => {
                return self.execute_unanswered(request, Duration::from_millis(ms));
            }
            Fault::EverySecondLate(ms) if is_commit && self.is_every_second_commit() => {
                return self.execute_unanswered(request, Duration::from_millis(ms));
            }
            Fault::Slow(ms) => std::thread::sleep(Duration::from_millis(ms)),
            _ => {}
        }
        let is_watch = request.path == "/follow";
        let is_immediate_watch = is_watch && query(request.query, "wait_ms") == Some("0");
        let is_job_read = ["/store/c/job/", "/store/closed/"]
            .iter()
            .any(|p| request.path.starts_with(p));
        if is_immediate_watch || is_job_read {
            self.shared.user_read_count.fetch_add(1, Ordering::Relaxed);
        }
        if is_watch {
            return self.watch(request);
        }
        self.execute(request)
    }
}
