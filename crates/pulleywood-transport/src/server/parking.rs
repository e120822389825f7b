//! Parked connections: open connections that wait for bytes without a thread of their own.

use super::Limits;
use super::admission::Admission;
use super::connection::Connection;
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Registry, Token};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

/// Interval between checks for parked connections whose timeout has passed.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long the poller waits at most while no connection is parked.
const IDLE_POLL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of readiness events returned by one poll.
const EVENT_CAPACITY: usize = 256;

/// Parked connections by token. Tokens are never reused, so a late event for a connection that
/// is no longer parked matches none.
#[derive(Default)]
struct ConnectionTable {
    next_token: usize,
    by_token: HashMap<Token, Connection>,
}

/// Set of parked connections.
pub struct ParkedConnections {
    registry: Registry,
    table: Mutex<ConnectionTable>,
}

/// Polls all parked connections for bytes, on one thread.
pub struct ReadinessPoller {
    poll: Poll,
}

/// Creates the set of parked connections and its poller. Returns `None` for both if the limits
/// allow a thread for each connection, so that none is ever parked.
pub fn create(
    limits: Limits,
) -> std::io::Result<(Option<ParkedConnections>, Option<ReadinessPoller>)> {
    if limits.connections <= limits.threads {
        return Ok((None, None));
    }
    let poll = Poll::new()?;
    let registry = poll.registry().try_clone()?;
    let parked_connections = ParkedConnections {
        registry,
        table: Mutex::default(),
    };
    Ok((Some(parked_connections), Some(ReadinessPoller { poll })))
}

impl ParkedConnections {
    /// Parks a connection until bytes arrive or its timeout passes. Bytes that arrived before
    /// the call wake it as well.
    pub fn park(&self, connection: Connection) -> std::io::Result<()> {
        let fd = connection.stream.as_raw_fd();
        let token = {
            let mut table = self.table.lock();
            let token = Token(table.next_token);
            table.next_token += 1;
            table.by_token.insert(token, connection);
            token
        };
        // The connection is inserted before it is registered, so that its first event finds
        // it. Nothing must remove it in between; the timeout check removes only connections
        // that have waited longer than their timeout.
        let registered = self
            .registry
            .register(&mut SourceFd(&fd), token, Interest::READABLE);
        if let Err(e) = registered {
            self.table.lock().by_token.remove(&token);
            return Err(e);
        }
        Ok(())
    }

    /// Removes a connection, if it is still parked.
    fn unpark(&self, token: Token) -> Option<Connection> {
        let connection = self.table.lock().by_token.remove(&token)?;
        let fd = connection.stream.as_raw_fd();
        if let Err(e) = self.registry.deregister(&mut SourceFd(&fd)) {
            log::debug!(
                "failed to deregister parked connection {} from the poller: {e}",
                token.0
            );
        }
        Some(connection)
    }

    fn is_empty(&self) -> bool {
        self.table.lock().by_token.is_empty()
    }

    /// Tokens of connections whose timeout has passed, while `open` of at most
    /// `max_connections` connections are open.
    fn timed_out(&self, open: usize, max_connections: usize) -> Vec<Token> {
        let now = Instant::now();
        let table = self.table.lock();
        let waiting = table.by_token.iter();
        let timed_out = waiting.filter(|(_, c)| c.is_timed_out(now, open, max_connections));
        timed_out.map(|(token, _)| *token).collect()
    }
}

/// Receives connections that are no longer parked.
pub trait UnparkHandler {
    /// Bytes arrived: the connection must be served.
    fn on_readable(&self, connection: Connection);
    /// The timeout passed: the connection must be closed.
    fn on_timeout(&self, connection: Connection);
}

impl ReadinessPoller {
    /// Polls until the process ends.
    pub fn run(
        mut self,
        parked_connections: &ParkedConnections,
        admission: &Admission,
        handler: &impl UnparkHandler,
    ) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        let mut last_timeout_check = Instant::now();
        loop {
            self.poll(&mut events, parked_connections.is_empty());
            for event in &events {
                if let Some(connection) = parked_connections.unpark(event.token()) {
                    handler.on_readable(connection);
                }
            }
            if last_timeout_check.elapsed() < TIMEOUT_CHECK_INTERVAL {
                continue;
            }
            last_timeout_check = Instant::now();
            let open = admission.gauges().open_connections();
            for token in parked_connections.timed_out(open, admission.limits().connections) {
                if let Some(connection) = parked_connections.unpark(token) {
                    handler.on_timeout(connection);
                }
            }
        }
    }

    fn poll(&mut self, events: &mut Events, none_parked: bool) {
        let timeout = if none_parked {
            IDLE_POLL_TIMEOUT
        } else {
            TIMEOUT_CHECK_INTERVAL
        };
        if let Err(e) = self.poll.poll(events, Some(timeout)) {
            log::debug!("failed to poll parked connections: {e}");
        }
    }
}
