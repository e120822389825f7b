//! A blocking HTTP/1.1 client with deadlines and persistent connections.

use parking_lot::Mutex;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Why a request has no response.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// Nothing was sent, so the server cannot have executed the request.
    #[error("failed to connect, so the request was not sent: {0}")]
    NotSent(std::io::Error),
    /// The request was sent, at least in part. The server may have executed it or may still
    /// do so.
    #[error("received no valid response, so the outcome of the request is unknown: {0}")]
    OutcomeUnknown(std::io::Error),
}

/// An HTTP response.
#[derive(Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Body, not decoded; empty if there is none.
    pub body: Vec<u8>,
}

/// A persistent connection, used by one call at a time.
struct Connection {
    stream: TcpStream,
    /// Read buffer, reused for each response.
    buffer: Vec<u8>,
}

/// An HTTP client of one address. Concurrent calls use a connection each.
pub struct Client {
    addr: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    /// Maximum number of idle connections that are kept open.
    max_idle: usize,
    /// Maximum size of a response in bytes, headers included.
    max_response: usize,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Client({})", self.addr)
    }
}

/// Maximum size of a response in bytes that any client reads, headers included.
const MAX_RESPONSE: usize = 16 << 20;
/// A read buffer with more capacity than this, in bytes, is freed after its response.
const MAX_RETAINED_BUFFER: usize = 65_536;
/// Maximum number of bytes per read.
const READ_SIZE: usize = 4096;
/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 32;
/// A shorter remaining time counts as a passed deadline, since the system rejects a socket
/// timeout of zero.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

fn invalid_response(text: &'static str) -> std::io::Error {
    std::io::Error::new(ErrorKind::InvalidData, text)
}

/// Returns the time until the deadline, or a [`ErrorKind::TimedOut`] error if it has passed.
pub(crate) fn remaining(deadline: Instant) -> std::io::Result<Duration> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining < MIN_TIMEOUT {
        return Err(ErrorKind::TimedOut.into());
    }
    Ok(remaining)
}

/// Opens a connection that sends small messages without delay.
pub(crate) fn connect(addr: SocketAddr, deadline: Instant) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, remaining(deadline)?)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

impl Client {
    /// Creates a client of the server at `addr` that keeps up to `max_idle` idle connections
    /// open.
    pub fn new(addr: SocketAddr, max_idle: usize) -> Self {
        Self {
            addr,
            idle: Mutex::new(Vec::new()),
            max_idle,
            max_response: MAX_RESPONSE,
        }
    }

    /// Reads no response of more than this many bytes, headers included.
    #[must_use]
    pub fn with_max_response(mut self, bytes: usize) -> Self {
        self.max_response = bytes.min(MAX_RESPONSE);
        self
    }

    /// Sends one request and waits up to `timeout` for the response. The request is not
    /// retried.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::NotSent`] if the server cannot have executed the request, and
    /// [`ClientError::OutcomeUnknown`] if it may have.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        timeout: Duration,
    ) -> Result<Response, ClientError> {
        let deadline = Instant::now() + timeout;
        let mut connection = match self.idle_connection() {
            Some(connection) => connection,
            None => self.connect(deadline).map_err(ClientError::NotSent)?,
        };
        let request = self.encode(method, path, body);
        let (response, close) = exchange(&mut connection, &request, deadline, self.max_response)
            .map_err(ClientError::OutcomeUnknown)?;
        if !close {
            self.keep_idle(connection);
        }
        Ok(response)
    }

    /// Takes an idle connection that the server has not closed, if there is one.
    fn idle_connection(&self) -> Option<Connection> {
        loop {
            let connection = self.idle.lock().pop()?;
            if is_reusable(&connection.stream) {
                return Some(connection);
            }
        }
    }

    fn connect(&self, deadline: Instant) -> std::io::Result<Connection> {
        Ok(Connection {
            stream: connect(self.addr, deadline)?,
            buffer: Vec::new(),
        })
    }

    fn keep_idle(&self, connection: Connection) {
        let mut idle = self.idle.lock();
        if idle.len() < self.max_idle {
            idle.push(connection);
        }
    }

    fn encode(&self, method: &str, path: &str, body: Option<&[u8]>) -> Vec<u8> {
        /// Capacity reserved for the request line and the headers, in bytes.
        const HEAD_CAPACITY: usize = 160;
        let mut request = Vec::with_capacity(HEAD_CAPACITY + body.map_or(0, <[u8]>::len));
        // Writing to a Vec cannot fail.
        let _ = write!(
            request,
            "{method} {path} HTTP/1.1\r\nHost: {}\r\n",
            self.addr
        );
        if let Some(body) = body {
            let _ = write!(
                request,
                "Content-Type: application/cbor\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            request.extend_from_slice(body);
        } else {
            request.extend_from_slice(b"\r\n");
        }
        request
    }
}

/// Whether an idle connection can be used again: the server has neither closed it nor sent
/// bytes that belong to no request.
fn is_reusable(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    let mut byte = [0];
    let nothing_to_read =
        matches!(stream.peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock);
    nothing_to_read && stream.set_nonblocking(false).is_ok()
}

/// Sends a request and reads its response. The flag is set if the connection cannot be used
/// again.
fn exchange(
    connection: &mut Connection,
    request: &[u8],
    deadline: Instant,
    max_response: usize,
) -> std::io::Result<(Response, bool)> {
    connection
        .stream
        .set_write_timeout(Some(remaining(deadline)?))?;
    connection.stream.write_all(request)?;
    connection.buffer.clear();
    let mut chunk = [0u8; READ_SIZE];
    let mut head: Option<Head> = None;
    loop {
        if let Some(head) = &head
            && let Some(end) = head.response_end()
            && connection.buffer.len() >= end
        {
            return Ok(take_response(connection, head, end));
        }
        connection
            .stream
            .set_read_timeout(Some(remaining(deadline)?))?;
        let count = match connection.stream.read(&mut chunk) {
            Ok(0) => return response_ended_by_close(&connection.buffer, head),
            Ok(count) => count,
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) => return Err(e),
        };
        connection.buffer.extend_from_slice(&chunk[..count]);
        if connection.buffer.len() > max_response {
            return Err(ErrorKind::FileTooLarge.into());
        }
        if head.is_none() {
            head = parse_head(&connection.buffer)?;
        }
    }
}

/// Returns the complete response in the buffer, and whether the connection must be closed.
fn take_response(connection: &mut Connection, head: &Head, end: usize) -> (Response, bool) {
    let response = Response {
        status: head.status,
        body: connection.buffer[head.body_start..end].to_vec(),
    };
    // Bytes after the response belong to no request.
    let close = head.close || connection.buffer.len() > end;
    if connection.buffer.capacity() > MAX_RETAINED_BUFFER {
        connection.buffer = Vec::new();
    }
    (response, close)
}

/// Returns the response after the server has closed the connection, which ends a body without
/// `Content-Length`.
fn response_ended_by_close(buffer: &[u8], head: Option<Head>) -> std::io::Result<(Response, bool)> {
    match head {
        Some(head) if head.body_length.is_none() => {
            let body = buffer[head.body_start..].to_vec();
            let status = head.status;
            Ok((Response { status, body }, true))
        }
        _ => Err(ErrorKind::UnexpectedEof.into()),
    }
}

/// Status line and headers of a response.
struct Head {
    /// Offset of the body in the buffer.
    body_start: usize,
    status: u16,
    /// Size of the body in bytes; `None` if the body ends when the connection closes.
    body_length: Option<usize>,
    /// The server closes the connection after the response.
    close: bool,
}

impl Head {
    /// Offset of the end of the response in the buffer, if its length is known.
    fn response_end(&self) -> Option<usize> {
        Some(self.body_start + self.body_length?)
    }
}

/// Parses the status line and the headers. Returns `None` while they are incomplete.
fn parse_head(buffer: &[u8]) -> std::io::Result<Option<Head>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let body_start = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => {
            return Err(invalid_response(
                "malformed status line or headers in response",
            ));
        }
    };
    let status = response.code.unwrap_or(0);
    let mut body_length = None;
    let mut close = false;
    for header in response.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            let length = value
                .parse::<usize>()
                .map_err(|_| invalid_response("invalid Content-Length header in response"))?;
            body_length = Some(length);
        } else if header.name.eq_ignore_ascii_case("connection") {
            close = value.eq_ignore_ascii_case("close");
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(invalid_response(
                "unsupported Transfer-Encoding header in response",
            ));
        }
    }
    if status == 204 || status == 304 {
        body_length = Some(0);
    }
    Ok(Some(Head {
        body_start,
        status,
        body_length,
        close,
    }))
}
