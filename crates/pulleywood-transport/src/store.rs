//! The typed client of the state service.

use crate::budget::{Budget, RequestPriority};
use crate::client::{Answer, Client, Failure};
use pulleywood_protocol::cbor;
use pulleywood_protocol::store::{
    Events, Item, LeaseGranted, LeaseRequest, Page, StoreRevision, Transaction, TransactionConflict,
};
use pulleywood_protocol::{LeaseId, Revision};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Why a call to the state service brought no result.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// This controller's tokens are used up for this class of call.
    #[error("budget used up for {0:?}")]
    Budget(Duration),
    /// The service refused without executing it.
    #[error("refused with {0}")]
    Refused(u16),
    /// It cannot have been executed.
    #[error("not sent: {0}")]
    NotSent(std::io::Error),
    /// It may have been executed, or may still be.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    /// The lease is gone.
    #[error("no such lease")]
    NoLease,
    /// The watch's start is too old, or too much has changed since.
    #[error("too old")]
    TooOld,
}

/// What became of a transaction that was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Applied at this revision.
    Applied(Revision),
    /// A condition failed; nothing was changed.
    Conflict,
}

/// A client of the state service.
#[derive(Debug)]
pub struct StoreClient {
    calls: Client,
    watches: Client,
    budget: Budget,
    started: Instant,
    last_ok: AtomicU64,
    last_bad: AtomicU64,
}

/// An ordinary call's time: users wait 2 to 5 s for theirs, and the slowest
/// usual answers take a few hundred milliseconds.
const CALL_TIME: Duration = Duration::from_millis(1500);

impl StoreClient {
    /// A client of the service at `addr` within `budget`.
    pub fn new(addr: SocketAddr, budget: Budget) -> Self {
        Self {
            calls: Client::new(addr, 8),
            watches: Client::new(addr, 2),
            budget,
            started: Instant::now(),
            last_ok: AtomicU64::new(0),
            last_bad: AtomicU64::new(0),
        }
    }

    /// Tokens of this controller.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Most writes that one transaction should hold.
    pub fn preferred_writes(&self) -> usize {
        self.budget.preferred_writes()
    }

    fn note(&self, ok: bool) {
        let now = self.started.elapsed().as_millis() as u64 + 1;
        let slot = if ok { &self.last_ok } else { &self.last_bad };
        slot.fetch_max(now, Ordering::Relaxed);
    }

    /// Whether the newest answer was a good one.
    pub fn answers(&self) -> bool {
        let ok = self.last_ok.load(Ordering::Relaxed);
        ok > 0 && ok >= self.last_bad.load(Ordering::Relaxed)
    }

    /// Takes tokens; classes that can wait do so, briefly.
    ///
    /// # Errors
    ///
    /// [`StoreError::Budget`] if there are too few tokens in time.
    pub fn take(&self, class: RequestPriority, writes: u32) -> Result<(), StoreError> {
        let end = Instant::now() + class.patience();
        loop {
            match self.budget.take(class, writes) {
                Ok(()) => return Ok(()),
                Err(wait) if Instant::now() + wait > end => return Err(StoreError::Budget(wait)),
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
        time: Duration,
    ) -> Result<Answer, StoreError> {
        let result = client.call(method, path, body, time);
        // 400 and 404 are answers; 429 and 503 are refusals.
        self.note(matches!(&result, Ok(a) if a.status < 429));
        match result {
            Ok(a) if a.status == 429 || a.status >= 500 => Err(StoreError::Refused(a.status)),
            Ok(a) => Ok(a),
            Err(Failure::NotSent(e)) => Err(StoreError::NotSent(e)),
            // After a long cut a watch brings more than fits into memory: what is
            // live is read instead.
            Err(Failure::Unknown(e)) if e.kind() == std::io::ErrorKind::FileTooLarge => {
                Err(StoreError::TooOld)
            }
            Err(Failure::Unknown(e)) => Err(StoreError::Unknown(e.to_string())),
        }
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// [`StoreError`]: no tokens, refused, or no answer.
    pub fn get(&self, class: RequestPriority, key: &str) -> Result<Option<Item>, StoreError> {
        self.take(class, 0)?;
        let answer = self.send(
            &self.calls,
            "GET",
            &format!("/store/{key}"),
            None,
            CALL_TIME,
        )?;
        if answer.status == 404 {
            return Ok(None);
        }
        read(&answer).map(Some)
    }

    /// Reads all keys with a prefix, and the revision of the first page: any
    /// change after it may be missing from later pages.
    ///
    /// # Errors
    ///
    /// [`StoreError`]: no tokens, refused, or no answer.
    pub fn list(
        &self,
        class: RequestPriority,
        prefix: &str,
    ) -> Result<(Vec<Item>, u64), StoreError> {
        let mut items: Vec<Item> = Vec::new();
        let mut store_revision = None;
        loop {
            self.take(class, 0)?;
            let after = items.last().map(|i| i.path.as_str());
            let page = self.page(prefix, after, 1000)?;
            store_revision.get_or_insert(page.store_revision);
            let empty = page.items.is_empty();
            items.extend(page.items);
            if !page.more || empty {
                return Ok((items, store_revision.unwrap_or(0)));
            }
        }
    }

    fn page(&self, prefix: &str, after: Option<&str>, most: u32) -> Result<Page, StoreError> {
        let after = after.map(|key| format!("&from={key}")).unwrap_or_default();
        let path = format!("/store?starts={prefix}{after}&page={most}");
        let answer = self.send(&self.calls, "GET", &path, None, CALL_TIME * 2)?;
        read(&answer)
    }

    /// Reads a few keys with a prefix that come after a key in order; an empty key begins
    /// with the first.
    ///
    /// # Errors
    ///
    /// [`StoreError`]: no tokens, refused, or no answer.
    pub fn slice(
        &self,
        class: RequestPriority,
        prefix: &str,
        after: &str,
        most: u32,
    ) -> Result<Page, StoreError> {
        self.take(class, 0)?;
        self.page(prefix, Some(after).filter(|key| !key.is_empty()), most)
    }

    /// Sends a transaction. Every one must be a compare-and-set, since one
    /// without an answer may be applied minutes later.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unknown`] if it may have been applied or may still be; any other
    /// error: it was not applied.
    pub fn commit(
        &self,
        class: RequestPriority,
        transaction: &Transaction,
    ) -> Result<Outcome, StoreError> {
        self.take(class, transaction.writes.len() as u32)?;
        Ok(match self.commit_with_tokens(transaction)? {
            Ok(revision) => Outcome::Applied(revision),
            Err(_) => Outcome::Conflict,
        })
    }

    /// As [`StoreClient::commit`], with tokens taken before; a conflict names
    /// the keys that were not as expected.
    ///
    /// # Errors
    ///
    /// As [`StoreClient::commit`].
    pub fn commit_with_tokens(
        &self,
        transaction: &Transaction,
    ) -> Result<Result<Revision, Vec<String>>, StoreError> {
        debug_assert!(transaction.is_compare_and_set(), "{transaction:?}");
        let body = cbor::encode(transaction);
        let answer = self.send(&self.calls, "POST", "/commit", Some(&body), CALL_TIME)?;
        match answer.status {
            200 => Ok(Ok(Revision(read::<StoreRevision>(&answer)?.store_revision))),
            // Whatever it says, nothing was applied.
            409 => Ok(Err(cbor::decode::<TransactionConflict>(&answer.body)
                .map(|f| f.conflicting_keys)
                .unwrap_or_default())),
            400 if transaction.writes.iter().any(|c| {
                matches!(
                    c,
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

    /// Takes a new lease.
    ///
    /// # Errors
    ///
    /// [`StoreError`]: no tokens, refused, or no answer.
    pub fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.take(RequestPriority::Lease, 0)?;
        let body = cbor::encode(&LeaseRequest {
            ttl_ms: ttl.as_millis() as u64,
        });
        let answer = self.send(&self.calls, "POST", "/grants", Some(&body), CALL_TIME)?;
        Ok(read::<LeaseGranted>(&answer)?.lease_id)
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`StoreError::NoLease`] if it has expired, else as any call.
    pub fn renew(&self, lease_id: LeaseId, time: Duration) -> Result<(), StoreError> {
        self.take(RequestPriority::Lease, 0)?;
        let path = format!("/grants/{lease_id}/renew");
        let empty = cbor::encode(&std::collections::BTreeMap::<String, u64>::new());
        let answer = self.send(&self.calls, "POST", &path, Some(&empty), time)?;
        match answer.status {
            200 => Ok(()),
            404 => Err(StoreError::NoLease),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Ends a lease; one that is already gone counts as ended.
    ///
    /// # Errors
    ///
    /// [`StoreError`]: no tokens, refused, or no answer.
    pub fn end(&self, lease_id: LeaseId) -> Result<(), StoreError> {
        self.take(RequestPriority::Lease, 0)?;
        let path = format!("/grants/{lease_id}");
        match self
            .send(&self.calls, "DELETE", &path, None, CALL_TIME)?
            .status
        {
            200..=299 | 404 => Ok(()),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Waits for changes below a prefix.
    ///
    /// # Errors
    ///
    /// [`StoreError`]: no tokens, refused, or no answer.
    pub fn watch(
        &self,
        class: RequestPriority,
        prefix: &str,
        from: u64,
        wait: Duration,
    ) -> Result<Events, StoreError> {
        self.take(class, 0)?;
        let path = format!(
            "/follow?starts={prefix}&from={from}&wait_ms={}",
            wait.as_millis()
        );
        let answer = self.send(&self.watches, "GET", &path, None, wait + CALL_TIME)?;
        if answer.status == 410 {
            return Err(StoreError::TooOld);
        }
        read(&answer)
    }
}

fn read<T: DeserializeOwned>(answer: &Answer) -> Result<T, StoreError> {
    if answer.status != 200 {
        return Err(StoreError::Refused(answer.status));
    }
    cbor::decode(&answer.body).map_err(|e| StoreError::Unknown(e.to_string()))
}
