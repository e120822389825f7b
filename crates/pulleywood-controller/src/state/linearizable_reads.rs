//! Linearizable reads for users: concurrent queries share one read of the store.

use parking_lot::{Condvar, Mutex};
use pulleywood_transport::StoreError;
use std::time::{Duration, Instant};

/// Longest time that a query waits for the read that it shares.
const READ_TIMEOUT: Duration = Duration::from_millis(1700);

/// Users' queries, each of which waits for a store read that starts after the query
/// arrived. One read serves all queries that wait when it starts, so the load on the store
/// does not grow with the number of users.
#[derive(Default)]
pub struct LinearizableReads {
    state: Mutex<ReadState>,
    query_waiting: Condvar,
    read_finished: Condvar,
}

#[derive(Default)]
struct ReadState {
    /// Number of the last query that arrived; queries are numbered from 1.
    last_query: u64,
    /// Queries up to this number have been served by a successful read.
    served_up_to: u64,
    /// Queries after `served_up_to` and up to this number had a read that failed.
    failed_up_to: u64,
    /// When to retry, if the last read failed because the request budget was used up.
    retry_after: Option<Duration>,
}

impl LinearizableReads {
    /// Blocks until the cached state contains every change committed before this call.
    pub fn wait_for_read(&self) -> Result<(), StoreError> {
        let deadline = Instant::now() + READ_TIMEOUT;
        let mut state = self.state.lock();
        state.last_query += 1;
        let query = state.last_query;
        self.query_waiting.notify_one();
        loop {
            if state.served_up_to >= query {
                return Ok(());
            }
            if state.failed_up_to >= query {
                return Err(match state.retry_after {
                    Some(wait) => StoreError::Budget(wait),
                    None => StoreError::Refused(503),
                });
            }
            if self
                .read_finished
                .wait_until(&mut state, deadline)
                .timed_out()
            {
                return Err(StoreError::OutcomeUnknown(format!(
                    "no read of the store within {} ms",
                    READ_TIMEOUT.as_millis()
                )));
            }
        }
    }

    /// Blocks until a query is waiting. Returns the number of the last one: a read that
    /// starts after this call serves it and all queries before it.
    pub fn wait_for_query(&self) -> u64 {
        let mut state = self.state.lock();
        while state.last_query <= state.served_up_to.max(state.failed_up_to) {
            self.query_waiting.wait(&mut state);
        }
        state.last_query
    }

    /// Reports the result of the read for all queries up to `last_query`.
    pub fn finish_read(&self, last_query: u64, result: Result<(), &StoreError>) {
        let mut state = self.state.lock();
        match result {
            Ok(()) => state.served_up_to = state.served_up_to.max(last_query),
            Err(e) => {
                state.failed_up_to = last_query;
                state.retry_after = match e {
                    StoreError::Budget(wait) => Some(*wait),
                    _ => None,
                };
            }
        }
        drop(state);
        self.read_finished.notify_all();
    }
}
