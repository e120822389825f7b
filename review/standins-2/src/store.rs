//! The state service, as PROTOCOL describes it: one store, one address a controller.

use crate::value::*;
use ciborium::Value;
use parking_lot::{Condvar, Mutex};
use pulleywood_transport::server::{Handler, Limits, Request, Response, serve};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Rates {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// A token bucket with a burst of some seconds' worth.
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    pub fn new(rate: f64, seconds: f64) -> Bucket {
        let burst = (rate * seconds).max(1.0);
        Bucket {
            rate,
            burst,
            tokens: burst,
            at: Instant::now(),
        }
    }

    pub fn take(&mut self, count: f64) -> bool {
        let now = Instant::now();
        self.tokens = (self.tokens + (now - self.at).as_secs_f64() * self.rate).min(self.burst);
        self.at = now;
        let ok = self.tokens >= count.min(self.burst);
        if ok {
            self.tokens -= count;
        }
        ok
    }
}

struct Entry {
    value: Value,
    stamp: u64,
    permit: Option<u64>,
}

struct Event {
    stamp: u64,
    path: String,
    value: Option<Value>,
}

struct State {
    ledger: u64,
    keys: BTreeMap<String, Entry>,
    events: VecDeque<Event>,
    /// Oldest revision from which all changes are still known.
    complete_from: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
    requests: Bucket,
    writes: Bucket,
    outage: bool,
}

/// Whether an outage begins that catches this transaction: it is not executed, and its sender
/// gets no answer.
type OutageTrigger = Box<dyn Fn(&Value) -> bool + Send + Sync>;

pub struct Store {
    limits: Rates,
    outage_trigger: Mutex<Option<OutageTrigger>>,
    state: Mutex<State>,
    changed: Condvar,
    pub notes: Mutex<Vec<String>>,
}

struct Endpoint(Arc<Store>);

const KEPT_EVENTS: usize = 10_000;
const LATENCY: Duration = Duration::from_millis(4);

impl Store {
    pub fn start(limits: Rates) -> Arc<Store> {
        let store = Arc::new(Store {
            state: Mutex::new(State {
                ledger: 0,
                keys: BTreeMap::new(),
                events: VecDeque::new(),
                complete_from: 0,
                leases: BTreeMap::new(),
                last_lease: 0,
                requests: Bucket::new(limits.rps, 1.0),
                writes: Bucket::new(limits.write_rps, 1.0),
                outage: false,
            }),
            limits,
            outage_trigger: Mutex::new(None),
            changed: Condvar::new(),
            notes: Mutex::default(),
        });
        let expirer = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                let mut state = expirer.state.lock();
                if !state.outage {
                    state.expire(Instant::now());
                }
                expirer.changed.notify_all();
            }
        });
        store
    }

    /// A new address of the store, for one controller.
    pub fn endpoint(self: &Arc<Store>) -> SocketAddr {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let limits = Limits::thread_per_connection(64);
        serve(loopback, limits, Endpoint(Arc::clone(self)))
            .expect("listen")
            .address
    }

    /// An outage begins with the first transaction that this holds for.
    pub fn begin_outage_with(&self, trigger: impl Fn(&Value) -> bool + Send + Sync + 'static) {
        *self.outage_trigger.lock() = Some(Box::new(trigger));
    }

    pub fn in_outage(&self) -> bool {
        self.state.lock().outage
    }

    /// Ends an outage: all leases get their full time again.
    pub fn end_outage(&self) {
        let mut state = self.state.lock();
        let now = Instant::now();
        for (ends, ttl) in state.leases.values_mut() {
            *ends = now + *ttl;
        }
        state.outage = false;
        drop(state);
        self.changed.notify_all();
    }

    pub fn keys(&self, prefix: &str) -> Vec<(String, Value)> {
        let state = self.state.lock();
        let found = state.keys.iter().filter(|(k, _)| k.starts_with(prefix));
        found.map(|(k, e)| (k.clone(), e.value.clone())).collect()
    }

    fn refused(&self) -> Option<Response> {
        let mut state = self.state.lock();
        if state.outage {
            return Some(Response::status(503));
        }
        (!state.requests.take(1.0)).then(|| Response::status(429))
    }

    fn commit(&self, body: &[u8]) -> Response {
        let Some(txn) = decode(body) else {
            return Response::status(400);
        };
        let caught = self
            .outage_trigger
            .lock()
            .as_ref()
            .is_some_and(|trigger| trigger(&txn));
        if caught {
            *self.outage_trigger.lock() = None;
            self.state.lock().outage = true;
            // Longer than any controller waits.
            std::thread::sleep(Duration::from_secs(6));
            return Response::status(503);
        }
        let (conditions, writes) = (list_of(&txn, "if"), list_of(&txn, "apply"));
        let mut state = self.state.lock();
        if !writes.is_empty() && !state.writes.take(writes.len() as f64) {
            return Response::status(429);
        }
        let limit = (self.limits.value_kb * 1024.0) as usize;
        let oversized = writes.iter().find_map(|w| {
            let size = json_len(field(w, "value")?);
            (size > limit).then(|| (text_of(w, "write"), size))
        });
        let total = json_len(&txn);
        let many = writes.len() > self.limits.txn_ops || conditions.len() > 4 * self.limits.txn_ops;
        if oversized.is_some() || total > 65_536 || many {
            self.notes.lock().push(format!(
                "400 to a transaction of {} writes and {total} bytes: {}",
                writes.len(),
                oversized.map_or(
                    "over the limits of a transaction".to_owned(),
                    |(path, size)| {
                        format!(
                            "value of {} has {size} bytes, the limit is {limit}",
                            path.unwrap_or_default()
                        )
                    }
                )
            ));
            return reply(400, &map(&[("error", text("over a limit"))]));
        }
        for w in writes {
            if let Some(permit) = int_of(w, "permit")
                && !state.leases.contains_key(&permit)
            {
                return reply(400, &map(&[("error", text("no such lease"))]));
            }
        }
        let failed: Vec<Value> = conditions
            .iter()
            .filter_map(|c| {
                let path = text_of(c, "path")?;
                let stamp = state.keys.get(&path).map_or(0, |e| e.stamp);
                (Some(stamp) != int_of(c, "stamp")).then(|| text(&path))
            })
            .collect();
        if !failed.is_empty() {
            let ledger = state.ledger;
            return reply(
                409,
                &map(&[("failed", Value::Array(failed)), ("ledger", int(ledger))]),
            );
        }
        if !writes.is_empty() {
            state.ledger += 1;
        }
        for w in writes {
            if let Some(path) = text_of(w, "write") {
                let value = field(w, "value").cloned().unwrap_or(Value::Null);
                let (stamp, permit) = (state.ledger, int_of(w, "permit"));
                state.keys.insert(
                    path.clone(),
                    Entry {
                        value: value.clone(),
                        stamp,
                        permit,
                    },
                );
                state.push(Event {
                    stamp,
                    path,
                    value: Some(value),
                });
            } else if let Some(path) = text_of(w, "delete") {
                state.delete(&path);
            }
        }
        let ledger = state.ledger;
        drop(state);
        self.changed.notify_all();
        reply(200, &map(&[("ledger", int(ledger))]))
    }

    fn follow(&self, query: &str) -> Response {
        let number = |name| {
            param(query, name)
                .and_then(|v| v.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (from, prefix) = (number("from"), param(query, "starts").unwrap_or(""));
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").min(60_000));
        let mut state = self.state.lock();
        loop {
            if state.outage {
                self.changed.wait_for(&mut state, Duration::from_millis(50));
                continue;
            }
            if from < state.complete_from {
                return Response::status(410);
            }
            let found = state.events.iter();
            let found = found.filter(|e| e.stamp > from && e.path.starts_with(prefix));
            let events: Vec<Value> = found
                .map(|e| match &e.value {
                    Some(v) => map(&[
                        ("write", text(&e.path)),
                        ("value", v.clone()),
                        ("stamp", int(e.stamp)),
                    ]),
                    None => map(&[("delete", text(&e.path)), ("stamp", int(e.stamp))]),
                })
                .collect();
            if !events.is_empty() || Instant::now() >= deadline {
                let ledger = state.ledger;
                return reply(
                    200,
                    &map(&[("ledger", int(ledger)), ("events", Value::Array(events))]),
                );
            }
            self.changed.wait_for(&mut state, Duration::from_millis(50));
        }
    }

    fn list(&self, query: &str) -> Response {
        let (prefix, from) = (
            param(query, "starts").unwrap_or(""),
            param(query, "from").unwrap_or(""),
        );
        let page = param(query, "page")
            .and_then(|v| v.parse().ok())
            .unwrap_or(1000usize)
            .min(1000);
        let state = self.state.lock();
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (path, e) in state.keys.range(prefix.to_owned()..) {
            if !path.starts_with(prefix) {
                break;
            }
            if path.as_str() <= from {
                continue;
            }
            let item = map(&[
                ("path", text(path)),
                ("value", e.value.clone()),
                ("stamp", int(e.stamp)),
            ]);
            bytes += json_len(&item);
            if items.len() >= page || bytes > 512 * 1024 && !items.is_empty() {
                more = true;
                break;
            }
            items.push(item);
        }
        let ledger = state.ledger;
        reply(
            200,
            &map(&[
                ("items", Value::Array(items)),
                ("more", Value::Bool(more)),
                ("ledger", int(ledger)),
            ]),
        )
    }

    fn get(&self, path: &str) -> Response {
        let state = self.state.lock();
        match state.keys.get(path) {
            Some(e) => {
                let mut fields = vec![
                    ("path", text(path)),
                    ("value", e.value.clone()),
                    ("stamp", int(e.stamp)),
                ];
                if let Some(permit) = e.permit {
                    fields.push(("permit", int(permit)));
                }
                reply(200, &map(&fields))
            }
            None => reply(404, &map(&[("ledger", int(state.ledger))])),
        }
    }

    fn grant(&self, method: &str, path: &str, body: &[u8]) -> Response {
        let mut state = self.state.lock();
        if (method, path) == ("POST", "/grants") {
            let ttl = decode(body).and_then(|v| int_of(&v, "ttl_ms")).unwrap_or(0);
            if !(100..=600_000).contains(&ttl) {
                return Response::status(400);
            }
            let ttl = Duration::from_millis(ttl);
            state.last_lease += 1;
            let permit = state.last_lease;
            state.leases.insert(permit, (Instant::now() + ttl, ttl));
            return reply(200, &map(&[("permit", int(permit))]));
        }
        let rest = path.strip_prefix("/grants/").unwrap_or("");
        let (id, verb) = rest.split_once('/').unwrap_or((rest, ""));
        let id = id.parse().unwrap_or(0);
        match (method, verb) {
            ("POST", "renew") => match state.leases.get_mut(&id) {
                Some((ends, ttl)) => {
                    *ends = Instant::now() + *ttl;
                    reply(200, &map(&[]))
                }
                None => Response::status(404),
            },
            ("DELETE", "") => {
                let known = state.leases.contains_key(&id);
                state.end_lease(id);
                drop(state);
                self.changed.notify_all();
                Response::status(if known { 200 } else { 404 })
            }
            _ => Response::status(400),
        }
    }
}

impl State {
    fn push(&mut self, event: Event) {
        self.events.push_back(event);
        while self.events.len() > KEPT_EVENTS {
            let dropped = self.events.pop_front();
            self.complete_from = dropped.map_or(0, |e| e.stamp);
        }
    }

    fn delete(&mut self, path: &str) {
        if self.keys.remove(path).is_some() {
            let stamp = self.ledger;
            self.push(Event {
                stamp,
                path: path.to_owned(),
                value: None,
            });
        }
    }

    fn expire(&mut self, now: Instant) {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (ends, _))| *ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let attached = self.keys.iter().filter(|(_, e)| e.permit == Some(id));
        let attached: Vec<String> = attached.map(|(k, _)| k.clone()).collect();
        if !attached.is_empty() {
            self.ledger += 1;
        }
        for path in attached {
            self.delete(&path);
        }
    }
}

pub fn reply(status: u16, body: &Value) -> Response {
    Response {
        status,
        body: encode(body),
        ..Response::default()
    }
}

pub fn param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .find(|(k, _)| *k == name)
        .map(|(_, v)| v)
}

impl Handler for Endpoint {
    fn handle(&self, request: &Request<'_>) -> Response {
        std::thread::sleep(LATENCY);
        let store = &self.0;
        if let Some(refused) = store.refused() {
            return refused;
        }
        match (request.method, request.path) {
            ("POST", "/commit") => store.commit(request.body),
            ("GET", "/follow") => store.follow(request.query),
            ("GET", "/store") => store.list(request.query),
            ("GET", path) if path.starts_with("/store/") => store.get(&path["/store/".len()..]),
            (method, path) if path.starts_with("/grants") => {
                store.grant(method, path, request.body)
            }
            _ => Response::status(400),
        }
    }
}
