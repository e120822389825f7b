//! Typed clients of the cloud and of workers.

use crate::budget::{Budget, RequestPriority};
use crate::client::{Client, ClientError, Response};
use pulleywood_protocol::cbor;
use pulleywood_protocol::cloud::{
    Flavor, Flavors, MachineNames, Rental, RentalPage, RentalRequest,
};
use pulleywood_protocol::ids::MachineId;
use pulleywood_protocol::worker::{DirectCommand, Heartbeat};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Why a request to the cloud failed.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// This controller has no token left for the request.
    #[error("request budget for the cloud is exhausted")]
    Budget,
    /// The cloud has no machine of the requested type, zone and price model.
    #[error("cloud has no capacity for the requested machines")]
    NoCapacity,
    /// The cloud rejected the request with this HTTP status and did not execute it; 0 if the
    /// request was not sent.
    #[error("{}", refusal_text(*.0))]
    Refused(u16),
    /// The request may have been executed, or may still be.
    #[error("outcome of the request to the cloud is unknown: {0}")]
    OutcomeUnknown(String),
}

fn refusal_text(status: u16) -> String {
    match status {
        0 => "request to the cloud was not sent: failed to connect".to_owned(),
        _ => format!("request to the cloud was rejected with HTTP status {status}"),
    }
}

/// Client of the cloud.
#[derive(Debug)]
pub struct CloudClient {
    client: Client,
    /// For the requests that every controller sends: reading the machine types.
    controller_budget: Budget,
    /// For the requests that only the coordinator sends.
    coordinator_budget: Budget,
}

/// Timeout of a request to the cloud.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of machines on a page of the list.
const LIST_PAGE_SIZE: usize = 500;

/// Progress of reading the list of rented machines, page by page.
#[derive(Debug, Default)]
pub struct RentalListing {
    machines: Vec<Rental>,
    pages: usize,
}

impl CloudClient {
    /// Creates a client of the cloud at `addr`. Requests that every controller sends count
    /// against `controller_budget`, those of the coordinator against `coordinator_budget`.
    pub fn new(addr: SocketAddr, controller_budget: Budget, coordinator_budget: Budget) -> Self {
        Self {
            client: Client::new(addr, 2),
            controller_budget,
            coordinator_budget,
        }
    }

    /// Removes all but one of the coordinator's tokens. A new coordinator must call this, since
    /// the previous one may have used up the cloud's rate just before.
    pub fn drain_coordinator_budget(&self) {
        self.coordinator_budget.drain();
    }

    fn send(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        budget: &Budget,
        priority: RequestPriority,
    ) -> Result<Response, CloudError> {
        budget.take(priority, 0).map_err(|_| CloudError::Budget)?;
        match self.client.call(method, path, body, REQUEST_TIMEOUT) {
            Ok(response) if response.status == 200 => Ok(response),
            Ok(response)
                if response.status == 503 && contains_text(&response.body, "no capacity") =>
            {
                Err(CloudError::NoCapacity)
            }
            Ok(response) => Err(CloudError::Refused(response.status)),
            Err(ClientError::NotSent(_)) => Err(CloudError::Refused(0)),
            Err(ClientError::OutcomeUnknown(e)) => Err(CloudError::OutcomeUnknown(e.to_string())),
        }
    }

    /// Reads the machine types, with the current spot prices.
    ///
    /// # Errors
    ///
    /// Returns a [`CloudError`] if tokens are lacking, the request is rejected or no valid
    /// response arrives in time.
    pub fn flavors(&self) -> Result<Vec<Flavor>, CloudError> {
        let response = self.send(
            "GET",
            "/flavors",
            None,
            &self.controller_budget,
            RequestPriority::Lease,
        )?;
        Ok(decode::<Flavors>(&response)?.flavors)
    }

    /// Rents machines. After [`CloudError::OutcomeUnknown`] the same request must be sent again;
    /// a different request must never have the same name.
    ///
    /// # Errors
    ///
    /// Returns [`CloudError::OutcomeUnknown`] if machines may have been rented. With any other
    /// error none was rented.
    pub fn rent(&self, rental_request: &RentalRequest) -> Result<Vec<MachineId>, CloudError> {
        let body = cbor::encode(rental_request);
        let response = self.send(
            "POST",
            "/rentals",
            Some(&body),
            &self.coordinator_budget,
            RequestPriority::ShardLeader,
        )?;
        Ok(decode::<MachineNames>(&response)?.machines)
    }

    /// Releases up to 100 machines. After success they no longer exist.
    ///
    /// # Errors
    ///
    /// Returns a [`CloudError`] if the machines may still exist.
    pub fn release(&self, machines: &[MachineId]) -> Result<(), CloudError> {
        let body = cbor::encode(&MachineNames {
            machines: machines.to_vec(),
        });
        let path = "/rentals/release";
        self.send(
            "POST",
            path,
            Some(&body),
            &self.coordinator_budget,
            RequestPriority::ShardLeader,
        )
        .map(|_| ())
    }

    /// Reads further pages of the list of rented machines, until the tokens are used up. Returns
    /// the list once it is complete, `None` if the caller must continue later with the same
    /// `listing`: the list may have more pages than a burst has tokens. The list lags behind
    /// rentals and releases.
    ///
    /// # Errors
    ///
    /// Returns a [`CloudError`] if there is no token for the first page of this call, a request
    /// is rejected or no valid response arrives in time. `listing` keeps the pages read so far.
    pub fn read_rentals(
        &self,
        listing: &mut RentalListing,
    ) -> Result<Option<Vec<Rental>>, CloudError> {
        let pages_before = listing.pages;
        loop {
            let from = listing
                .machines
                .last()
                .map(|rental| format!("from={}&", rental.machine))
                .unwrap_or_default();
            let path = format!("/rentals?{from}page={LIST_PAGE_SIZE}");
            let response = match self.send(
                "GET",
                &path,
                None,
                &self.coordinator_budget,
                RequestPriority::User,
            ) {
                // The caller reads the other pages when there are tokens again.
                Err(CloudError::Budget) if listing.pages > pages_before => return Ok(None),
                response => response?,
            };
            let page: RentalPage = decode(&response)?;
            let empty = page.machines.is_empty();
            listing.pages += 1;
            listing.machines.extend(page.machines);
            if !page.more || empty {
                return Ok(Some(std::mem::take(listing).machines));
            }
        }
    }
}

fn decode<T: DeserializeOwned>(response: &Response) -> Result<T, CloudError> {
    cbor::decode(&response.body).map_err(|e| CloudError::OutcomeUnknown(e.to_string()))
}

fn contains_text(body: &[u8], text: &str) -> bool {
    body.windows(text.len()).any(|w| w == text.as_bytes())
}

/// Reads a worker's heartbeat from the worker itself. This neither renews the worker's lease nor
/// sends it commands.
///
/// # Errors
///
/// Returns a [`ClientError`] if no valid heartbeat arrives within `timeout`.
pub fn fetch_heartbeat(addr: SocketAddr, timeout: Duration) -> Result<Heartbeat, ClientError> {
    let client = Client::new(addr, 0);
    let response = client.call("GET", "/show", None, timeout)?;
    match response.status {
        200 => cbor::decode(&response.body).map_err(|e| invalid_response(e.to_string())),
        status => Err(invalid_response(format!(
            "worker {addr} responded with HTTP status {status}"
        ))),
    }
}

fn invalid_response(text: String) -> ClientError {
    ClientError::OutcomeUnknown(std::io::Error::new(std::io::ErrorKind::InvalidData, text))
}

/// Sends commands to a worker directly, not in the response to its heartbeat. Returns whether
/// the worker accepted them, and its current heartbeat in either case.
///
/// # Errors
///
/// Returns [`ClientError::OutcomeUnknown`] if the worker may have executed the commands or may
/// still do so.
pub fn send_direct_command(
    addr: SocketAddr,
    command: &DirectCommand,
    timeout: Duration,
) -> Result<(bool, Heartbeat), ClientError> {
    let client = Client::new(addr, 0);
    let response = client.call("POST", "/do", Some(&cbor::encode(command)), timeout)?;
    match response.status {
        200 | 409 => cbor::decode(&response.body)
            .map(|heartbeat| (response.status == 200, heartbeat))
            .map_err(|e| invalid_response(e.to_string())),
        status => Err(invalid_response(format!(
            "worker {addr} responded with HTTP status {status}"
        ))),
    }
}
