//! Linearizable reads for users: many queries share one read of the store.

use parking_lot::{Condvar, Mutex};
use pulleywood_transport::StoreError;
use std::time::{Duration, Instant};

/// A query waits this long for the read that it shares.
const READ_TIMEOUT: Duration = Duration::from_millis(1700);

/// Queries of users that wait for a read begun after they came. Each read answers all
/// of them, so the load on the store does not grow with the number of users.
#[derive(Default)]
pub struct LinearizableReads {
    state: Mutex<ReadState>,
    query_waiting: Condvar,
    read_finished: Condvar,
}

#[derive(Default)]
struct ReadState {
    /// Number of the newest query.
    newest: u64,
    /// Queries up to this one have had their read.
    served: u64,
    /// Queries up to this one and after `served` had a read that failed.
    failed: u64,
    /// How long to stay away, if tokens were short.
    retry_after: Option<Duration>,
}

impl LinearizableReads {
    /// Waits until the cached state is surely newer than this call.
    pub fn wait_for_read(&self) -> Result<(), StoreError> {
        let deadline = Instant::now() + READ_TIMEOUT;
        let mut state = self.state.lock();
        state.newest += 1;
        let query = state.newest;
        self.query_waiting.notify_one();
        loop {
            if state.served >= query {
                return Ok(());
            }
            if state.failed >= query {
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
                return Err(StoreError::OutcomeUnknown("no read in time".into()));
            }
        }
    }

    /// Waits until a query waits; the number of the newest one, which a read begun
    /// after this call serves together with all before it.
    pub fn next_read(&self) -> u64 {
        let mut state = self.state.lock();
        while state.newest <= state.served.max(state.failed) {
            self.query_waiting.wait(&mut state);
        }
        state.newest
    }

    /// The read for all queries up to this one has ended.
    pub fn finish_read(&self, newest: u64, result: Result<(), &StoreError>) {
        let mut state = self.state.lock();
        match result {
            Ok(()) => state.served = state.served.max(newest),
            Err(e) => {
                state.failed = newest;
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
