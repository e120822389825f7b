//! The typed client of the cloud, and of workers.

use crate::budget::{Budget, Class};
use crate::client::{Answer, Client, Failure};
use pulleywood_wire::cbor;
use pulleywood_wire::cloud::{Flavor, Flavors, Hire, Hired, Rental, RentalPage};
use pulleywood_wire::ids::MachineId;
use pulleywood_wire::worker::{Direct, Order, Report};
use std::net::SocketAddr;
use std::time::Duration;

/// Why a call to the cloud brought no result.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// This controller's tokens are used up.
    #[error("budget used up")]
    Budget,
    /// No machine of this type, zone and kind.
    #[error("no capacity")]
    NoCapacity,
    /// Refused without executing it.
    #[error("refused with {0}")]
    Refused(u16),
    /// It may have been executed, or may still be.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

/// A client of the cloud.
#[derive(Debug)]
pub struct CloudClient {
    client: Client,
    /// For reading machine types, which every controller does.
    own: Budget,
    /// For the coordinator, of which there is one.
    office: Budget,
}

const CALL_TIME: Duration = Duration::from_secs(5);

impl CloudClient {
    /// A client of the cloud at `addr`: `own` for this controller's calls,
    /// `office` for those of the coordinator.
    pub fn new(addr: SocketAddr, own: Budget, office: Budget) -> Self {
        Self {
            client: Client::new(addr, 2),
            own,
            office,
        }
    }

    /// This controller has become the coordinator: what another used up just
    /// before is not at hand.
    pub fn take_office(&self) {
        self.office.empty();
    }

    fn send(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        budget: &Budget,
        class: Class,
    ) -> Result<Answer, CloudError> {
        budget.take(class, 0).map_err(|_| CloudError::Budget)?;
        match self.client.call(method, path, body, CALL_TIME) {
            Ok(a) if a.status == 200 => Ok(a),
            Ok(a) if a.status == 503 && holds(&a.body, "no capacity") => {
                Err(CloudError::NoCapacity)
            }
            Ok(a) => Err(CloudError::Refused(a.status)),
            Err(Failure::NotSent(_)) => Err(CloudError::Refused(0)),
            Err(Failure::Unknown(e)) => Err(CloudError::Unknown(e.to_string())),
        }
    }

    /// The machine types, with current spot prices.
    pub fn flavors(&self) -> Result<Vec<Flavor>, CloudError> {
        let answer = self.send("GET", "/flavors", None, &self.own, Class::Lease)?;
        cbor::decode::<Flavors>(&answer.body)
            .map(|f| f.rigs)
            .map_err(|e| CloudError::Unknown(e.to_string()))
    }

    /// Rents machines. After [`CloudError::Unknown`] the same request must be
    /// repeated, never another under the same name.
    pub fn hire(&self, hire: &Hire) -> Result<Vec<MachineId>, CloudError> {
        let body = cbor::encode(hire);
        let answer = self.send("POST", "/rentals", Some(&body), &self.office, Class::Owner)?;
        cbor::decode::<Hired>(&answer.body)
            .map(|h| h.horses)
            .map_err(|e| CloudError::Unknown(e.to_string()))
    }

    /// Releases up to 100 machines; success proves that they are gone.
    pub fn release(&self, machines: &[MachineId]) -> Result<(), CloudError> {
        let body = cbor::encode(&Hired {
            horses: machines.to_vec(),
        });
        let path = "/rentals/release";
        self.send("POST", path, Some(&body), &self.office, Class::Owner)
            .map(|_| ())
    }

    /// The machine list, which lags.
    pub fn rentals(&self) -> Result<Vec<Rental>, CloudError> {
        let mut all: Vec<Rental> = Vec::new();
        loop {
            let from = all
                .last()
                .map(|r| format!("from={}&", r.machine))
                .unwrap_or_default();
            let answer = self.send(
                "GET",
                &format!("/rentals?{from}page=500"),
                None,
                &self.office,
                Class::User,
            )?;
            let page: RentalPage =
                cbor::decode(&answer.body).map_err(|e| CloudError::Unknown(e.to_string()))?;
            let empty = page.horses.is_empty();
            all.extend(page.horses);
            if !page.more || empty {
                return Ok(all);
            }
        }
    }
}

fn holds(body: &[u8], text: &str) -> bool {
    body.windows(text.len()).any(|w| w == text.as_bytes())
}

/// Sends direct orders to a worker; its report comes back whether it took
/// them (`true`) or not.
pub fn direct(
    addr: SocketAddr,
    direct: &Direct,
    time: Duration,
) -> Result<(bool, Report), Failure> {
    // Direct orders can be executed minutes late; a launch among them could
    // start a task long after it was started elsewhere.
    debug_assert!(
        direct
            .orders
            .iter()
            .all(|o| !matches!(o, Order::Launch { .. }))
    );
    let client = Client::new(addr, 0);
    let answer = client.call("POST", "/do", Some(&cbor::encode(direct)), time)?;
    let unreadable =
        |text: String| Failure::Unknown(std::io::Error::new(std::io::ErrorKind::InvalidData, text));
    match answer.status {
        200 | 409 => cbor::decode(&answer.body)
            .map(|report| (answer.status == 200, report))
            .map_err(|e| unreadable(e.to_string())),
        status => Err(unreadable(format!("status {status}"))),
    }
}
