//! Typed client of the state service: keys, transactions, leases and watches.

mod list;

use crate::budget::{Budget, RequestPriority};
use crate::client::{Client, ClientError, Response};
use pulleywood_protocol::cbor;
use pulleywood_protocol::store::{
    Events, Item, LeaseGranted, LeaseRequest, StoreRevision, Transaction, TransactionConflict,
};
use pulleywood_protocol::{LeaseId, Revision};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Why a request to the state service failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// This controller has too few tokens for a request of this priority; there may be enough
    /// after the given time.
    #[error("request budget for the state service is exhausted; tokens are expected in {0:?}")]
    Budget(Duration),
    /// The service rejected the request with this HTTP status and did not execute it.
    #[error("request to the state service was rejected with HTTP status {0}")]
    Refused(u16),
    /// The request was not sent, so it cannot have been executed.
    #[error("request to the state service was not sent: {0}")]
    NotSent(std::io::Error),
    /// The request may have been executed, or may still be.
    #[error("outcome of the request to the state service is unknown: {0}")]
    OutcomeUnknown(String),
    /// The lease has expired or was revoked.
    #[error("lease does not exist in the state service: it has expired or was revoked")]
    NoLease,
    /// The service no longer has all changes since the requested revision, or they are too
    /// large for one response. All keys must be read again.
    #[error("changes since the watched revision are no longer available or too large to read")]
    RevisionTooOld,
}

/// Result of a transaction that the service has answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The transaction was applied at this revision.
    Applied(Revision),
    /// A condition was not met, so nothing was changed.
    Conflict,
}

/// Client of the state service.
#[derive(Debug)]
pub struct StoreClient {
    client: Client,
    /// Separate connections for watches, whose responses the service delays until a change.
    watch_client: Client,
    budget: Budget,
    started: Instant,
    /// Time of the last ordinary response, in milliseconds after `started` plus one; 0 if there
    /// was none.
    last_success_ms: AtomicU64,
    /// Time of the last request that failed or was rejected, likewise.
    last_failure_ms: AtomicU64,
}

/// Timeout of an ordinary request. Users wait 2 to 5 s for their own, and the slowest usual
/// responses take a few hundred milliseconds.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

impl StoreClient {
    /// Creates a client of the state service at `addr` that keeps within `budget`.
    pub fn new(addr: SocketAddr, budget: Budget) -> Self {
        Self {
            client: Client::new(addr, 8),
            watch_client: Client::new(addr, 2),
            budget,
            started: Instant::now(),
            last_success_ms: AtomicU64::new(0),
            last_failure_ms: AtomicU64::new(0),
        }
    }

    /// Reads no more than this many bytes of changes in one response to a watch. If there are
    /// more, [`StoreClient::watch`] returns [`StoreError::RevisionTooOld`].
    #[must_use]
    pub fn with_max_changes(mut self, bytes: usize) -> Self {
        self.watch_client = self.watch_client.with_max_response(bytes);
        self
    }

    /// Budget of this controller for requests to the state service.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Maximum number of writes that a transaction should contain, so that it need not wait
    /// for a full token bucket; at least 1.
    pub fn preferred_writes(&self) -> usize {
        self.budget.preferred_writes()
    }

    fn record_availability(&self, success: bool) {
        let now_ms = self.started.elapsed().as_millis() as u64 + 1;
        let last_ms = if success {
            &self.last_success_ms
        } else {
            &self.last_failure_ms
        };
        last_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    /// Whether the most recent request got an ordinary response; `false` before the first one.
    pub fn is_available(&self) -> bool {
        let last_success_ms = self.last_success_ms.load(Ordering::Relaxed);
        last_success_ms > 0 && last_success_ms >= self.last_failure_ms.load(Ordering::Relaxed)
    }

    /// Takes the tokens of one request that contains `writes` writes. Waits for them up to
    /// [`RequestPriority::max_wait`].
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Budget`] if there will be too few tokens in that time.
    pub fn take_tokens(&self, priority: RequestPriority, writes: u32) -> Result<(), StoreError> {
        let deadline = Instant::now() + priority.max_wait();
        loop {
            match self.budget.take(priority, writes) {
                Ok(()) => return Ok(()),
                Err(wait) if Instant::now() + wait > deadline => {
                    return Err(StoreError::Budget(wait));
                }
                Err(wait) => std::thread::sleep(wait.max(Duration::from_millis(2))),
            }
        }
    }

    fn send(
        &self,
        client: &Client,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        timeout: Duration,
    ) -> Result<Response, StoreError> {
        let result = client.call(method, path, body, timeout);
        // 400 and 404 are ordinary responses; with 429 and 503 the service rejects the request.
        self.record_availability(matches!(&result, Ok(response) if response.status < 429));
        match result {
            Ok(response) if response.status == 429 || response.status >= 500 => {
                Err(StoreError::Refused(response.status))
            }
            Ok(response) => Ok(response),
            Err(ClientError::NotSent(e)) => Err(StoreError::NotSent(e)),
            // After a long network failure a watch may return more changes than the client
            // reads; the caller then reads the current keys instead.
            Err(ClientError::OutcomeUnknown(e)) if e.kind() == std::io::ErrorKind::FileTooLarge => {
                Err(StoreError::RevisionTooOld)
            }
            Err(ClientError::OutcomeUnknown(e)) => Err(StoreError::OutcomeUnknown(e.to_string())),
        }
    }

    /// Reads one key. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if tokens are lacking, the request is rejected or no valid
    /// response arrives in time.
    pub fn get(&self, priority: RequestPriority, key: &str) -> Result<Option<Item>, StoreError> {
        self.take_tokens(priority, 0)?;
        let response = self.send(
            &self.client,
            "GET",
            &format!("/store/{key}"),
            None,
            REQUEST_TIMEOUT,
        )?;
        if response.status == 404 {
            return Ok(None);
        }
        decode(&response).map(Some)
    }

    /// Sends a transaction. It must be a compare-and-set, since one without a response may be
    /// applied minutes later.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::OutcomeUnknown`] if the transaction may have been applied or may
    /// still be. With any other error it was not applied.
    pub fn commit(
        &self,
        priority: RequestPriority,
        transaction: &Transaction,
    ) -> Result<Outcome, StoreError> {
        self.take_tokens(priority, transaction.writes.len() as u32)?;
        Ok(match self.commit_with_tokens(transaction)? {
            Ok(revision) => Outcome::Applied(revision),
            Err(_) => Outcome::Conflict,
        })
    }

    /// Like [`StoreClient::commit`], but the caller has taken the tokens. The inner error
    /// contains the keys whose conditions were not met; it is empty if the response names none.
    ///
    /// # Errors
    ///
    /// Like [`StoreClient::commit`].
    pub fn commit_with_tokens(
        &self,
        transaction: &Transaction,
    ) -> Result<Result<Revision, Vec<String>>, StoreError> {
        debug_assert!(transaction.is_compare_and_set(), "{transaction:?}");
        let body = cbor::encode(transaction);
        let response = self.send(
            &self.client,
            "POST",
            "/commit",
            Some(&body),
            REQUEST_TIMEOUT,
        )?;
        match response.status {
            200 => Ok(Ok(Revision(
                decode::<StoreRevision>(&response)?.store_revision,
            ))),
            // The status alone says that nothing was applied, so the body may be unreadable.
            409 => Ok(Err(cbor::decode::<TransactionConflict>(&response.body)
                .map(|body| body.conflicting_keys)
                .unwrap_or_default())),
            400 if transaction.writes.iter().any(|write| {
                matches!(
                    write,
                    pulleywood_protocol::store::Write::Put {
                        lease_id: Some(_),
                        ..
                    }
                )
            }) =>
            {
                Err(StoreError::NoLease)
            }
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Longest time that [`StoreClient::get`] takes at a priority: the wait for a token and for
    /// the response.
    pub fn max_get_duration(priority: RequestPriority) -> Duration {
        priority.max_wait() + REQUEST_TIMEOUT
    }

    /// Creates a lease that expires `ttl` after its last renewal.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if tokens are lacking, the request is rejected or no valid
    /// response arrives in time.
    pub fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.take_tokens(RequestPriority::Lease, 0)?;
        let body = cbor::encode(&LeaseRequest {
            ttl_ms: ttl.as_millis() as u64,
        });
        let response = self.send(
            &self.client,
            "POST",
            "/grants",
            Some(&body),
            REQUEST_TIMEOUT,
        )?;
        Ok(decode::<LeaseGranted>(&response)?.lease_id)
    }

    /// Renews a lease for its full duration. The response must arrive within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NoLease`] if the lease has expired or was revoked, another
    /// [`StoreError`] if it may still exist.
    pub fn renew_lease(&self, lease_id: LeaseId, timeout: Duration) -> Result<(), StoreError> {
        self.take_tokens(RequestPriority::Lease, 0)?;
        let path = format!("/grants/{lease_id}/renew");
        let empty = cbor::encode(&std::collections::BTreeMap::<String, u64>::new());
        let response = self.send(&self.client, "POST", &path, Some(&empty), timeout)?;
        match response.status {
            200 => Ok(()),
            404 => Err(StoreError::NoLease),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Revokes a lease. Also succeeds if the lease no longer exists.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if tokens are lacking, the request is rejected or no valid
    /// response arrives in time.
    pub fn revoke_lease(&self, lease_id: LeaseId) -> Result<(), StoreError> {
        self.take_tokens(RequestPriority::Lease, 0)?;
        let path = format!("/grants/{lease_id}");
        match self
            .send(&self.client, "DELETE", &path, None, REQUEST_TIMEOUT)?
            .status
        {
            200..=299 | 404 => Ok(()),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Waits up to `wait` for changes of keys with a prefix after the revision `from`. The
    /// result has no events if there were none.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::RevisionTooOld`] if all keys must be read again, and another
    /// [`StoreError`] if tokens are lacking, the request is rejected or no valid
    /// response arrives in time.
    pub fn watch(
        &self,
        priority: RequestPriority,
        prefix: &str,
        from: u64,
        wait: Duration,
    ) -> Result<Events, StoreError> {
        self.take_tokens(priority, 0)?;
        let path = format!(
            "/follow?starts={prefix}&from={from}&wait_ms={}",
            wait.as_millis()
        );
        let response = self.send(
            &self.watch_client,
            "GET",
            &path,
            None,
            wait + REQUEST_TIMEOUT,
        )?;
        if response.status == 410 {
            return Err(StoreError::RevisionTooOld);
        }
        decode(&response)
    }
}

/// Decodes the body of a response with status 200.
fn decode<T: DeserializeOwned>(response: &Response) -> Result<T, StoreError> {
    if response.status != 200 {
        return Err(StoreError::Refused(response.status));
    }
    cbor::decode(&response.body).map_err(|e| StoreError::OutcomeUnknown(e.to_string()))
}
