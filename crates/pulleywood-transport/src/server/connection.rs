//! Serves one connection: reads requests, passes them to the handler, writes the responses and
//! enforces the timeouts. Threads and parking are left to the caller.

use super::admission::Admission;
use super::http::{Head, Parsed, parse_head, parse_request, send};
use super::{ClientKind, Handler, Response};
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Maximum time from the first byte of a request to its last.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Write timeout of a response: a client that does not read it is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time that a connection waits for its next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle timeout while connections are scarce.
const SCARCE_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a thread waits for a request at most before it checks again whether connections or
/// threads have become scarce.
const SCARCITY_CHECK_INTERVAL: Duration = Duration::from_secs(6);
/// How long a thread waits for more bytes, while threads are scarce, before the connection is
/// parked.
const READ_TIMEOUT_BEFORE_PARKING: Duration = Duration::from_millis(20);
/// A read buffer with more capacity than this, in bytes, is freed once it is empty.
const MAX_RETAINED_BUFFER: usize = 16_384;
/// Capacity of the buffer that replaces a freed one, in bytes.
const INITIAL_BUFFER: usize = 2048;
/// Maximum number of bytes per read.
const READ_SIZE: usize = 4096;

/// An open connection.
pub struct Connection {
    pub stream: TcpStream,
    /// Bytes received that belong to requests not yet answered.
    buffer: Vec<u8>,
    /// Who sent the last request; a user before the first one.
    client: ClientKind,
    /// When the connection was opened or its last response sent.
    idle_since: Instant,
    /// When the request that has been received in part must be complete; `None` between
    /// requests.
    deadline: Option<Instant>,
    /// The read timeout that is set on the socket; zero if none has been set.
    read_timeout: Duration,
}

/// How a thread finished with a connection.
pub enum ServeOutcome {
    /// The connection is closed.
    Closed,
    /// The connection waits for bytes and must be parked.
    Parked(Connection),
}

/// Result of waiting for a request.
enum ReadOutcome {
    Request(Head),
    /// The request is invalid and is rejected with this status.
    Reject(u16),
    /// The client closed the connection.
    Closed,
    /// No complete request has arrived, and threads are too scarce to wait longer.
    Park,
}

impl Connection {
    /// Prepares an accepted socket. Fails if its options cannot be set.
    pub fn new(stream: TcpStream) -> std::io::Result<Connection> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        Ok(Connection {
            stream,
            buffer: Vec::new(),
            client: ClientKind::User,
            idle_since: Instant::now(),
            deadline: None,
            read_timeout: Duration::ZERO,
        })
    }

    /// Whether the timeout of a parked connection has passed. The idle timeout is shorter if
    /// connections are scarce with `open` of at most `max_connections` open.
    pub fn is_timed_out(&self, now: Instant, open: usize, max_connections: usize) -> bool {
        let idle_timeout = if self.client.connections_scarce(open, max_connections) {
            SCARCE_IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        match self.deadline {
            Some(deadline) => now >= deadline,
            None => now >= self.idle_since + idle_timeout,
        }
    }

    /// Serves requests until the connection closes or must be parked.
    pub fn serve<H: Handler>(
        mut self,
        handler: &H,
        admission: &Admission,
    ) -> std::io::Result<ServeOutcome> {
        let mut answered = false;
        loop {
            // With an empty buffer it can be parked: the bytes of the next request wake it.
            if answered && self.buffer.is_empty() && admission.threads_scarce() {
                return Ok(ServeOutcome::Parked(self));
            }
            let head = match self.read_request(admission)? {
                ReadOutcome::Request(head) => head,
                ReadOutcome::Closed => return Ok(ServeOutcome::Closed),
                ReadOutcome::Park => return Ok(ServeOutcome::Parked(self)),
                ReadOutcome::Reject(status) => {
                    log::info!("rejected an invalid request with HTTP status {status}");
                    send(&mut self.stream, &Response::status(status), true)?;
                    return Ok(ServeOutcome::Closed);
                }
            };
            if self.answer(head, handler, admission)? {
                return Ok(ServeOutcome::Closed);
            }
            answered = true;
        }
    }

    /// Answers the first request in the buffer. Returns whether the connection must be closed.
    fn answer<H: Handler>(
        &mut self,
        head: Head,
        handler: &H,
        admission: &Admission,
    ) -> std::io::Result<bool> {
        let response = match parse_request(&self.buffer[..head.request_length()], head.head_length)
        {
            Some(request) => {
                self.client = handler.client_kind(&request);
                match admission.admit_request(self.client) {
                    Some(_admitted) => handler.handle(&request),
                    None => Response::retry_later(503, 1),
                }
            }
            None => Response::status(400),
        };
        let close = head.close || admission.connections_scarce(self.client);
        send(&mut self.stream, &response, close)?;
        self.buffer.drain(..head.request_length());
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_RETAINED_BUFFER {
            self.buffer = Vec::with_capacity(INITIAL_BUFFER);
        }
        self.idle_since = Instant::now();
        self.deadline = (!self.buffer.is_empty()).then(|| Instant::now() + REQUEST_TIMEOUT);
        Ok(close)
    }

    /// Reads until the buffer holds a complete request.
    fn read_request(&mut self, admission: &Admission) -> std::io::Result<ReadOutcome> {
        let mut chunk = [0u8; READ_SIZE];
        loop {
            match parse_head(&self.buffer) {
                Parsed::Complete(head) if self.buffer.len() >= head.request_length() => {
                    return Ok(ReadOutcome::Request(head));
                }
                Parsed::Reject(status) => return Ok(ReadOutcome::Reject(status)),
                _ => {}
            }
            let connections_scarce = admission.connections_scarce(self.client);
            let threads_scarce = admission.threads_scarce();
            let read_timeout = match self.deadline {
                _ if threads_scarce => READ_TIMEOUT_BEFORE_PARKING,
                Some(deadline) => crate::client::remaining(deadline)?,
                None if connections_scarce => SCARCE_IDLE_TIMEOUT,
                None => SCARCITY_CHECK_INTERVAL
                    .min(crate::client::remaining(self.idle_since + IDLE_TIMEOUT)?),
            };
            if read_timeout != self.read_timeout {
                self.stream.set_read_timeout(Some(read_timeout))?;
                self.read_timeout = read_timeout;
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return Ok(ReadOutcome::Closed),
                Ok(count) => self.buffer.extend_from_slice(&chunk[..count]),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    if admission.threads_scarce() {
                        return Ok(ReadOutcome::Park);
                    }
                    if self.deadline.is_some() || connections_scarce {
                        return Err(e);
                    }
                    continue;
                }
                Err(e) => return Err(e),
            }
            self.deadline
                .get_or_insert_with(|| Instant::now() + REQUEST_TIMEOUT);
        }
    }
}
