//! The cloud as the protocol describes it: machine types, rentals by name, releases and a list.
//! Machines are up within a second; there are no spot notices, failed boots or lagging lists.

use crate::jobs::Jobs;
use crate::record::Record;
use crate::worker::{Worker, WorkerConfig};
use parking_lot::Mutex;
use pulleywood_protocol::MachineId;
use pulleywood_protocol::cbor::{self, Amount};
use pulleywood_protocol::cloud::{
    Flavor, Flavors, MachineNames, Rental, RentalPage, RentalRequest, RentalStatus,
};
use pulleywood_transport::server::{Handler, Limits, Request, Response, serve};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct CloudConfig {
    pub flavor: Flavor,
    /// Machines that each zone has of each kind.
    pub capacity: BTreeMap<(String, bool), usize>,
    pub report: Duration,
    pub lease: Duration,
    pub controllers: Vec<(String, SocketAddr)>,
}

struct Machine {
    rental: Rental,
    rented_at: Instant,
    worker: Arc<Worker>,
}

#[derive(Default)]
struct Rented {
    last: u32,
    by_name: BTreeMap<String, Vec<MachineId>>,
    machines: BTreeMap<MachineId, Machine>,
}

pub struct Cloud {
    config: CloudConfig,
    jobs: Arc<Jobs>,
    record: Arc<Record>,
    rented: Mutex<Rented>,
}

struct CloudHandler(Arc<Cloud>);

impl Cloud {
    pub fn start(
        config: CloudConfig,
        jobs: Arc<Jobs>,
        record: Arc<Record>,
    ) -> std::io::Result<SocketAddr> {
        let cloud = Arc::new(Cloud {
            config,
            jobs,
            record,
            rented: Mutex::default(),
        });
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let limits = Limits::thread_per_connection(32);
        Ok(serve(loopback, limits, CloudHandler(cloud))?.address)
    }

    fn rent(&self, request: &RentalRequest) -> Response {
        let mut rented = self.rented.lock();
        if let Some(machines) = rented.by_name.get(&request.name).cloned() {
            return Response::cbor(200, &MachineNames { machines });
        }
        let kind = (request.zone.clone(), request.spot);
        let all = self.config.capacity.get(&kind).copied().unwrap_or(0);
        let taken = rented
            .machines
            .values()
            .filter(|m| m.rental.zone == request.zone && m.rental.spot == request.spot)
            .count();
        let count = (request.count as usize)
            .min(all.saturating_sub(taken))
            .min(50);
        if count == 0 {
            return Response::cbor(503, &BTreeMap::from([("error", "no capacity")]));
        }
        let mut machines = Vec::new();
        for _ in 0..count {
            rented.last += 1;
            let machine = MachineId::from(format!("vm-{:06}", rented.last).as_str());
            let flavor = &self.config.flavor;
            let worker = Worker::start(
                WorkerConfig {
                    machine: machine.clone(),
                    flavor: request.flavor.clone(),
                    zone: request.zone.clone(),
                    spot: request.spot,
                    capacity: (flavor.cpus.0, flavor.gpus.0, flavor.memory_gb.0),
                    report: self.config.report,
                    lease: self.config.lease,
                    controllers: self.config.controllers.clone(),
                },
                Arc::clone(&self.jobs),
                Arc::clone(&self.record),
            );
            let Ok(worker) = worker else { break };
            let rental = Rental {
                machine: machine.clone(),
                endpoint: None,
                flavor: request.flavor.clone(),
                zone: request.zone.clone(),
                spot: request.spot,
                status: RentalStatus::Running,
                age_s: Amount(0.0),
            };
            rented.machines.insert(
                machine.clone(),
                Machine {
                    rental,
                    rented_at: Instant::now(),
                    worker,
                },
            );
            machines.push(machine);
        }
        rented
            .by_name
            .insert(request.name.clone(), machines.clone());
        self.record.line(&format!(
            "cloud rented {} machines in {} (spot: {}) to request {}",
            machines.len(),
            request.zone,
            request.spot,
            request.name
        ));
        Response::cbor(200, &MachineNames { machines })
    }

    fn release(&self, names: &MachineNames) -> Response {
        for machine in &names.machines {
            let removed = self.rented.lock().machines.remove(machine);
            if let Some(machine) = removed {
                machine.worker.take_away();
                self.record
                    .line(&format!("cloud released {}", machine.rental.machine));
            }
        }
        Response::cbor(200, &BTreeMap::<String, u64>::new())
    }

    fn list(&self, query: &str) -> Response {
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let from = value("from").unwrap_or("");
        let page = value("page")
            .and_then(|p| p.parse::<usize>().ok())
            .unwrap_or(500);
        let rented = self.rented.lock();
        let mut after = rented
            .machines
            .values()
            .filter(|m| &*m.rental.machine.0 > from);
        let machines: Vec<Rental> = after
            .by_ref()
            .take(page)
            .map(|m| Rental {
                age_s: Amount(m.rented_at.elapsed().as_secs_f64()),
                ..m.rental.clone()
            })
            .collect();
        let more = after.next().is_some();
        Response::cbor(200, &RentalPage { machines, more })
    }
}

impl Handler for CloudHandler {
    fn handle(&self, request: &Request<'_>) -> Response {
        let cloud = &self.0;
        match (request.method, request.path) {
            ("GET", "/flavors") => Response::cbor(
                200,
                &Flavors {
                    flavors: vec![cloud.config.flavor.clone()],
                },
            ),
            ("GET", "/rentals") => cloud.list(request.query),
            ("POST", "/rentals") => match cbor::decode::<RentalRequest>(request.body) {
                Ok(rental) => cloud.rent(&rental),
                Err(_) => Response::status(400),
            },
            ("POST", "/rentals/release") => match cbor::decode::<MachineNames>(request.body) {
                Ok(names) => cloud.release(&names),
                Err(_) => Response::status(400),
            },
            _ => Response::status(404),
        }
    }
}
