//! A fake of the cloud's rental interface that listens on loopback.
//!
//! Rental requests are idempotent: the same name gets the same machines. The number of machines
//! is limited, and a [`Worker`] runs on each rented machine. There is one machine type, and the
//! list of rentals is a single page. Boot times, rate limits, failed machines, spot preemption
//! and lists that lag are not simulated.

use crate::invariant_checker::InvariantChecker;
use crate::loopback;
use crate::worker::{Worker, WorkerConfig};
use parking_lot::Mutex;
use pulleywood_protocol::cbor::{self, Amount};
use pulleywood_protocol::cloud::{
    Flavor, Flavors, MachineNames, Rental, RentalPage, RentalRequest, RentalStatus,
};
use pulleywood_protocol::{MachineId, MemberId};
use pulleywood_transport::server::{Handler, Limits, Request, Response, serve};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Names and addresses of all controllers, shared with the workers, which follow changes.
pub type ControllerAddresses = Arc<Mutex<Vec<(MemberId, SocketAddr)>>>;

/// The fake cloud. Clones share the same machines.
#[derive(Debug, Clone)]
pub struct FakeCloud {
    /// Address on which the rental interface listens.
    pub addr: SocketAddr,
    shared: Arc<CloudState>,
}

#[derive(Debug)]
struct CloudState {
    flavor: Flavor,
    capacity: usize,
    heartbeat_interval: Duration,
    lease: Duration,
    controllers: ControllerAddresses,
    invariants: Arc<InvariantChecker>,
    rented: Mutex<Rented>,
}

#[derive(Debug, Default)]
struct Rented {
    /// Number of the next machine, which its name contains.
    next_machine_number: u32,
    /// By the name of a rental request: the machines that it got.
    by_request: BTreeMap<String, Vec<MachineId>>,
    machines: BTreeMap<MachineId, (Rental, Arc<Worker>)>,
}

struct CloudHandler(Arc<CloudState>);

impl FakeCloud {
    /// Starts a cloud that rents out up to `capacity` machines of one type at a time. The
    /// workers on them use `heartbeat_interval` and `lease`.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened.
    pub fn start(
        flavor: Flavor,
        capacity: usize,
        heartbeat_interval: Duration,
        lease: Duration,
        controllers: ControllerAddresses,
        invariants: Arc<InvariantChecker>,
    ) -> std::io::Result<FakeCloud> {
        let shared = Arc::new(CloudState {
            flavor,
            capacity,
            heartbeat_interval,
            lease,
            controllers,
            invariants,
            rented: Mutex::default(),
        });
        let addr = serve(
            loopback(),
            Limits::thread_per_connection(32),
            CloudHandler(Arc::clone(&shared)),
        )?
        .address;
        Ok(FakeCloud { addr, shared })
    }

    /// The worker of a machine; `None` if the machine is not rented.
    pub fn worker(&self, machine: &MachineId) -> Option<Arc<Worker>> {
        let rented = self.shared.rented.lock();
        rented
            .machines
            .get(machine)
            .map(|(_, worker)| Arc::clone(worker))
    }
}

impl CloudState {
    fn rent(&self, rental_request: &RentalRequest) -> Response {
        let mut rented = self.rented.lock();
        if let Some(machines) = rented.by_request.get(&rental_request.name).cloned() {
            return Response::cbor(200, &MachineNames { machines });
        }
        let available = self.capacity.saturating_sub(rented.machines.len());
        let count = (rental_request.count as usize).min(available);
        if count == 0 {
            return Response::cbor(503, &BTreeMap::from([("error", "no capacity")]));
        }
        let mut machines = Vec::new();
        for _ in 0..count {
            let machine = MachineId::from(format!("vm-{:06}", rented.next_machine_number).as_str());
            rented.next_machine_number += 1;
            let config = WorkerConfig {
                machine: machine.clone(),
                flavor: rental_request.flavor.clone(),
                zone: rental_request.zone.clone(),
                spot: rental_request.spot,
                heartbeat_interval: self.heartbeat_interval,
                lease: self.lease,
                controllers: Arc::clone(&self.controllers),
            };
            let Ok(worker) = Worker::start(config, Arc::clone(&self.invariants)) else {
                break;
            };
            let rental = Rental {
                machine: machine.clone(),
                endpoint: None,
                flavor: rental_request.flavor.clone(),
                zone: rental_request.zone.clone(),
                spot: rental_request.spot,
                status: RentalStatus::Running,
                age_s: Amount(1.0),
            };
            rented.machines.insert(machine.clone(), (rental, worker));
            machines.push(machine);
        }
        rented
            .by_request
            .insert(rental_request.name.clone(), machines.clone());
        Response::cbor(200, &MachineNames { machines })
    }

    fn release(&self, machines: &[MachineId]) -> Response {
        for machine in machines {
            let removed = self.rented.lock().machines.remove(machine);
            if let Some((_, worker)) = removed {
                worker.reclaim();
            }
        }
        Response::cbor(200, &BTreeMap::<String, u64>::new())
    }
}

impl Handler for CloudHandler {
    fn handle(&self, request: &Request<'_>) -> Response {
        match (request.method, request.path) {
            ("GET", "/flavors") => Response::cbor(
                200,
                &Flavors {
                    flavors: vec![self.0.flavor.clone()],
                },
            ),
            ("POST", "/rentals") => match cbor::decode(request.body) {
                Ok(rental_request) => self.0.rent(&rental_request),
                Err(_) => Response::status(400),
            },
            ("POST", "/rentals/release") => match cbor::decode::<MachineNames>(request.body) {
                Ok(release) => self.0.release(&release.machines),
                Err(_) => Response::status(400),
            },
            ("GET", "/rentals") => {
                let rented = self.0.rented.lock();
                let machines = rented
                    .machines
                    .values()
                    .map(|(rental, _)| rental.clone())
                    .collect();
                let more = false;
                Response::cbor(200, &RentalPage { machines, more })
            }
            _ => Response::status(404),
        }
    }
}
