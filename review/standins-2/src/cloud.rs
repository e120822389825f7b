//! The cloud, as PROTOCOL describes it.

use crate::store::{Bucket, param, reply};
use crate::value::*;
use crate::worker::{Kind, Timing, Worker};
use crate::world::World;
use ciborium::Value;
use parking_lot::Mutex;
use pulleywood_transport::server::{Handler, Limits, Request, Response, serve};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub struct Flavor {
    pub kind: Kind,
    pub price: f64,
    pub spot_price: f64,
    pub startup_s: f64,
    pub cache_gb: f64,
    pub yards: Vec<String>,
}

struct Machine {
    kind: Kind,
    rented_at: f64,
    up_at: f64,
    gone_at: Option<f64>,
    worker: Option<Arc<Worker>>,
}

struct State {
    machines: BTreeMap<String, Machine>,
    hires: BTreeMap<String, Vec<String>>,
    next: u32,
    requests: Bucket,
    trouble: bool,
}

pub struct Cloud {
    pub flavors: Vec<Flavor>,
    /// Machines that can be rented at a time, by zone and market.
    capacity: BTreeMap<(String, bool), usize>,
    list_lag_s: f64,
    /// Real boot times, as a share of `startup_s`.
    boot_share: f64,
    timing: Timing,
    controllers: Arc<Vec<(String, SocketAddr)>>,
    world: Arc<World>,
    pub results: Arc<Mutex<BTreeSet<String>>>,
    state: Mutex<State>,
}

struct Api(Arc<Cloud>);

#[derive(Clone)]
pub struct Options {
    pub capacity: BTreeMap<(String, bool), usize>,
    pub rps: f64,
    pub list_lag_s: f64,
    pub boot_share: f64,
    pub timing: Timing,
}

impl Cloud {
    pub fn start(
        flavors: Vec<Flavor>,
        options: Options,
        controllers: Arc<Vec<(String, SocketAddr)>>,
        world: Arc<World>,
    ) -> (Arc<Cloud>, SocketAddr) {
        let cloud = Arc::new(Cloud {
            flavors,
            capacity: options.capacity,
            list_lag_s: options.list_lag_s,
            boot_share: options.boot_share,
            timing: options.timing,
            controllers,
            world,
            results: Arc::default(),
            state: Mutex::new(State {
                machines: BTreeMap::new(),
                hires: BTreeMap::new(),
                next: 1,
                requests: Bucket::new(options.rps, 2.0),
                trouble: false,
            }),
        });
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let limits = Limits::thread_per_connection(32);
        let address = serve(loopback, limits, Api(Arc::clone(&cloud)))
            .expect("listen")
            .address;
        let booter = Arc::clone(&cloud);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                booter.boot();
            }
        });
        (cloud, address)
    }

    /// From now on all requests get 503 `trouble`, or no longer.
    pub fn set_trouble(&self, trouble: bool) {
        self.state.lock().trouble = trouble;
    }

    /// A machine that is up when the case begins.
    pub fn add_up(&self, name: &str, flavor: usize, yard: &str, loaner: bool) {
        let kind = Kind {
            yard: yard.to_owned(),
            loaner,
            ..self.flavors[flavor].kind.clone()
        };
        let now = self.world.now();
        let machine = Machine {
            kind,
            rented_at: now - 600.0,
            up_at: now - 500.0,
            gone_at: None,
            worker: None,
        };
        self.state.lock().machines.insert(name.to_owned(), machine);
    }

    /// The cloud takes a machine back without notice.
    pub fn take(&self, name: &str) {
        self.world
            .say(&format!("the cloud took {name} back without notice"));
        let mut state = self.state.lock();
        if let Some(m) = state.machines.get_mut(name) {
            m.gone_at = Some(self.world.now());
            if let Some(worker) = m.worker.take() {
                worker.take_away();
            }
        }
    }

    fn boot(&self) {
        let now = self.world.now();
        let mut state = self.state.lock();
        for (name, m) in &mut state.machines {
            if m.worker.is_none() && m.gone_at.is_none() && now >= m.up_at {
                self.world.note(&format!("machine {name} is up"));
                let (controllers, world) = (Arc::clone(&self.controllers), Arc::clone(&self.world));
                let results = Arc::clone(&self.results);
                m.worker = Some(Worker::start(
                    name,
                    m.kind.clone(),
                    self.timing,
                    controllers,
                    world,
                    results,
                ));
            }
        }
    }

    /// Processors and GPUs of a machine that no task holds; `None` if it is not up.
    pub fn free_on(&self, name: &str) -> Option<(f64, f64)> {
        let state = self.state.lock();
        state.machines.get(name)?.worker.as_ref().map(|w| w.free())
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        let state = self.state.lock();
        state
            .machines
            .values()
            .filter_map(|m| m.worker.clone())
            .collect()
    }

    fn flavors_list(&self) -> Value {
        let rigs = self.flavors.iter().map(|f| {
            map(&[
                ("label", text(&f.kind.rig)),
                ("vcpus", Value::Float(f.kind.vcpus)),
                ("cards", Value::Float(f.kind.cards)),
                ("mem_gb", Value::Float(f.kind.mem_gb)),
                ("cache_gb", Value::Float(f.cache_gb)),
                ("pull_gb_per_s", Value::Float(f.kind.pull_gb_per_s)),
                ("price", Value::Float(f.price)),
                ("spot_price", Value::Float(f.spot_price)),
                ("startup_s", Value::Float(f.startup_s)),
                (
                    "yards",
                    Value::Array(f.yards.iter().map(|y| text(y)).collect()),
                ),
            ])
        });
        map(&[("rigs", Value::Array(rigs.collect()))])
    }

    fn names(names: &[String]) -> Value {
        map(&[(
            "horses",
            Value::Array(names.iter().map(|n| text(n)).collect()),
        )])
    }

    fn rent(&self, body: &[u8]) -> Response {
        let Some(body) = decode(body) else {
            return Response::status(400);
        };
        let (Some(hire), Some(rig), Some(yard), Some(loaner), Some(count)) = (
            text_of(&body, "hire"),
            text_of(&body, "rig"),
            text_of(&body, "yard"),
            bool_of(&body, "loaner"),
            int_of(&body, "how_many"),
        ) else {
            return Response::status(400);
        };
        let flavor = self
            .flavors
            .iter()
            .find(|f| f.kind.rig == rig && f.yards.contains(&yard));
        let Some(flavor) = flavor.filter(|_| (1..=50).contains(&count)) else {
            return Response::status(400);
        };
        let now = self.world.now();
        let mut state = self.state.lock();
        if let Some(names) = state.hires.get(&hire) {
            return reply(200, &Cloud::names(names));
        }
        let held = state
            .machines
            .values()
            .filter(|m| m.gone_at.is_none() && m.kind.yard == yard && m.kind.loaner == loaner);
        let capacity = self
            .capacity
            .get(&(yard.clone(), loaner))
            .copied()
            .unwrap_or(0);
        let free = capacity.saturating_sub(held.count()).min(count as usize);
        if free == 0 {
            self.world.note(&format!(
                "cloud: {hire} for {count} {rig} in {yard}, spot {loaner}: no capacity"
            ));
            return reply(503, &map(&[("error", text("no capacity"))]));
        }
        let mut names = Vec::new();
        for _ in 0..free {
            let name = format!("vm-{:06}", 1000 + state.next);
            state.next += 1;
            let kind = Kind {
                yard: yard.clone(),
                loaner,
                ..flavor.kind.clone()
            };
            let up_at = now + flavor.startup_s * self.boot_share * (0.9 + 0.2 * fastrand::f64());
            let machine = Machine {
                kind,
                rented_at: now,
                up_at,
                gone_at: None,
                worker: None,
            };
            state.machines.insert(name.clone(), machine);
            names.push(name);
        }
        self.world.note(&format!(
            "cloud: {hire} for {count} {rig} in {yard}, spot {loaner}: {names:?}"
        ));
        let answer = Cloud::names(&names);
        state.hires.insert(hire, names);
        reply(200, &answer)
    }

    fn release(&self, body: &[u8]) -> Response {
        let Some(body) = decode(body) else {
            return Response::status(400);
        };
        let names: Vec<String> = list_of(&body, "horses")
            .iter()
            .filter_map(|n| n.as_text().map(str::to_owned))
            .collect();
        if names.len() > 100 {
            return Response::status(400);
        }
        self.world.note(&format!("cloud: release of {names:?}"));
        let now = self.world.now();
        let mut state = self.state.lock();
        for name in &names {
            if let Some(m) = state.machines.get_mut(name)
                && m.gone_at.is_none()
            {
                m.gone_at = Some(now);
                if let Some(worker) = m.worker.take() {
                    worker.take_away();
                }
            }
        }
        reply(200, &map(&[]))
    }

    fn list(&self, query: &str) -> Response {
        let from = param(query, "from").unwrap_or("");
        let page = param(query, "page")
            .and_then(|p| p.parse().ok())
            .unwrap_or(500usize)
            .min(500);
        let at = self.world.now() - self.list_lag_s;
        let state = self.state.lock();
        let listed = state.machines.iter().filter(|(n, m)| {
            n.as_str() > from && m.rented_at <= at && m.gone_at.is_none_or(|gone| gone > at)
        });
        let all: Vec<Value> = listed
            .map(|(name, m)| {
                let up = m.up_at <= at;
                let endpoint = m
                    .worker
                    .as_ref()
                    .filter(|_| up)
                    .and_then(|w| *w.endpoint.lock());
                map(&[
                    ("uid", text(name)),
                    (
                        "endpoint",
                        endpoint.map_or(Value::Null, |e| text(&e.to_string())),
                    ),
                    ("rig", text(&m.kind.rig)),
                    ("yard", text(&m.kind.yard)),
                    ("loaner", Value::Bool(m.kind.loaner)),
                    ("status", text(if up { "running" } else { "starting" })),
                    ("age_s", Value::Float(at - m.rented_at)),
                ])
            })
            .collect();
        let more = all.len() > page;
        let horses = all.into_iter().take(page).collect();
        reply(
            200,
            &map(&[
                ("horses", Value::Array(horses)),
                ("more", Value::Bool(more)),
            ]),
        )
    }
}

impl Handler for Api {
    fn handle(&self, request: &Request<'_>) -> Response {
        std::thread::sleep(Duration::from_millis(50));
        let cloud = &self.0;
        {
            let mut state = cloud.state.lock();
            if state.trouble {
                drop(state);
                cloud.world.note(&format!(
                    "cloud: {} {}: 503 trouble",
                    request.method, request.path
                ));
                return reply(503, &map(&[("error", text("trouble"))]));
            }
            if !state.requests.take(1.0) {
                drop(state);
                cloud
                    .world
                    .note(&format!("cloud: {} {}: 429", request.method, request.path));
                return Response::status(429);
            }
        }
        match (request.method, request.path) {
            ("GET", "/flavors") => reply(200, &cloud.flavors_list()),
            ("POST", "/rentals") => cloud.rent(request.body),
            ("POST", "/rentals/release") => cloud.release(request.body),
            ("GET", "/rentals") => cloud.list(request.query),
            _ => Response::status(404),
        }
    }
}
