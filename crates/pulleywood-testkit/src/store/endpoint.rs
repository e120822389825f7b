//! The HTTP interface of the fake store, one address and one fault setting for each controller.

use super::Service;
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

/// A fault between one controller and the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Requests are refused with 503 and not executed.
    Refuse,
    /// Requests are not executed, and get no answer before the caller's timeout.
    Cut,
    /// Transactions are executed, and their answers are lost.
    LoseAnswers,
    /// Transactions are executed this many milliseconds later, and their answers are lost.
    Late(u64),
    /// [`Fault::Late`] for every second transaction, so that newer ones are executed before
    /// older ones.
    SomeLate(u64),
    /// Requests are executed and answered this many milliseconds later.
    Slow(u64),
}

/// One controller's address of the store, which can be made to fail.
#[derive(Debug, Clone)]
pub struct StoreEndpoint {
    /// Where it listens.
    pub addr: SocketAddr,
    pub(super) fault: Arc<Mutex<Fault>>,
}

impl StoreEndpoint {
    /// Sets the fault from now on.
    pub fn set(&self, fault: Fault) {
        *self.fault.lock() = fault;
    }
}

/// Handles the requests of one endpoint.
pub struct EndpointHandler {
    pub service: Arc<Service>,
    pub fault: Arc<Mutex<Fault>>,
}

impl EndpointHandler {
    fn execute(&self, request: &Request<'_>) -> Response {
        let mut store = self.service.keys.lock();
        store.expire(Instant::now());
        let response = match (request.method, request.path) {
            ("GET", "/store") => list(&store, request.query),
            ("GET", path) if path.starts_with("/store/") => get(&store, &path["/store/".len()..]),
            ("POST", "/commit") => self.commit(&mut store, request.body),
            ("POST", "/grants") => grant_lease(&mut store, request.body),
            (method, path) => lease(&mut store, method, path),
        };
        drop(store);
        self.service.changed.notify_all();
        response
    }

    fn commit(&self, store: &mut Keys, body: &[u8]) -> Response {
        let Ok(transaction) = cbor::decode::<Transaction>(body) else {
            return Response::status(400);
        };
        let response = store.commit(&transaction);
        if response.status == 200 {
            let writes = transaction.writes.len() as u64;
            self.service.writes.fetch_add(writes, Ordering::Relaxed);
        }
        response
    }

    /// A long poll for events. It is not answered while requests are refused or cut.
    fn watch(&self, request: &Request<'_>) -> Response {
        let number = |name| query(request.query, name).and_then(|v| v.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let starts = query(request.query, "starts").unwrap_or("");
        let mut store = self.service.keys.lock();
        loop {
            store.expire(Instant::now());
            let events: Vec<Event> = store
                .log
                .iter()
                .filter(|e| e.revision.0 > from)
                .filter(|e| {
                    let key = e.write.as_ref().or(e.delete.as_ref());
                    key.is_some_and(|k| k.starts_with(starts))
                })
                .cloned()
                .collect();
            let now = Instant::now();
            let unavailable = matches!(*self.fault.lock(), Fault::Refuse | Fault::Cut);
            if !unavailable && (!events.is_empty() || now >= end) {
                let store_revision = store.store_revision;
                return Response::cbor(
                    200,
                    &Events {
                        store_revision,
                        events,
                    },
                );
            }
            let wait = Duration::from_millis(50);
            self.service.changed.wait_for(&mut store, wait);
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
    let Ok(ttl) = cbor::decode::<LeaseRequest>(body) else {
        return Response::status(400);
    };
    let ttl = Duration::from_millis(ttl.ttl_ms);
    store.next_lease += 1;
    let lease_id = LeaseId(store.next_lease);
    store.leases.insert(lease_id, (Instant::now() + ttl, ttl));
    Response::cbor(200, &LeaseGranted { lease_id })
}

fn list(store: &Keys, text: &str) -> Response {
    let starts = query(text, "starts").unwrap_or("");
    let from = query(text, "from").unwrap_or("");
    let items: Vec<Item> = store
        .keys
        .keys()
        .filter(|k| k.starts_with(starts) && k.as_str() > from)
        .filter_map(|k| store.item(k))
        .collect();
    let (more, store_revision) = (false, store.store_revision);
    Response::cbor(
        200,
        &Page {
            items,
            more,
            store_revision,
        },
    )
}

fn lease(store: &mut Keys, method: &str, path: &str) -> Response {
    let rest = path.strip_prefix("/grants/").unwrap_or("");
    let (id, verb) = rest.split_once('/').unwrap_or((rest, ""));
    let Ok(id) = id.parse().map(LeaseId) else {
        return Response::status(404);
    };
    match (method, verb) {
        ("POST", "renew") => match store.leases.get_mut(&id) {
            Some((end, ttl)) => {
                *end = Instant::now() + *ttl;
                Response::cbor(200, &BTreeMap::<String, u64>::new())
            }
            None => Response::status(404),
        },
        ("DELETE", "") => {
            if store.end(id) {
                Response::cbor(200, &BTreeMap::<String, u64>::new())
            } else {
                Response::status(404)
            }
        }
        _ => Response::status(404),
    }
}

/// Longer than any controller's timeout.
const NO_ANSWER: Duration = Duration::from_secs(6);

fn no_answer() -> Response {
    std::thread::sleep(NO_ANSWER);
    Response::status(503)
}

impl EndpointHandler {
    /// Executes a request after a delay; its answer is lost.
    fn execute_unanswered(&self, request: &Request<'_>, delay: Duration) -> Response {
        std::thread::sleep(delay);
        self.execute(request);
        no_answer()
    }

    /// Counts a transaction; whether it is one of every two.
    fn is_every_second_commit(&self) -> bool {
        let commits = &self.service.commits;
        commits.fetch_add(1, Ordering::Relaxed).is_multiple_of(2)
    }
}

impl Handler for EndpointHandler {
    fn handle(&self, request: &Request<'_>) -> Response {
        let fault = *self.fault.lock();
        let transaction = request.path == "/commit";
        match fault {
            Fault::Refuse => return Response::status(503),
            Fault::Cut => return no_answer(),
            Fault::LoseAnswers if transaction => {
                return self.execute_unanswered(request, Duration::ZERO);
            }
            Fault::Late(ms) if transaction => {
                return self.execute_unanswered(request, Duration::from_millis(ms));
            }
            Fault::SomeLate(ms) if transaction && self.is_every_second_commit() => {
                return self.execute_unanswered(request, Duration::from_millis(ms));
            }
            Fault::Slow(ms) => std::thread::sleep(Duration::from_millis(ms)),
            _ => {}
        }
        let watch = request.path == "/follow";
        let at_once = watch && query(request.query, "wait_ms") == Some("0");
        let of_a_job = ["/store/c/job/", "/store/closed/"]
            .iter()
            .any(|p| request.path.starts_with(p));
        if at_once || of_a_job {
            self.service.reads.fetch_add(1, Ordering::Relaxed);
        }
        if watch {
            return self.watch(request);
        }
        self.execute(request)
    }
}
