//! A blocking HTTP/1.1 client with deadlines and kept-alive connections.

use parking_lot::Mutex;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Why a request has no answer.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// Nothing was sent: the other side cannot have executed it.
    #[error("not sent: {0}")]
    NotSent(std::io::Error),
    /// It was sent, at least in part: the other side may have executed it, or
    /// may still do so.
    #[error("no answer: {0}")]
    Unknown(std::io::Error),
}

/// An answer.
#[derive(Debug)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// A kept-alive connection, used by one call at a time.
struct Connection {
    stream: TcpStream,
    /// Reused for each answer.
    buffer: Vec<u8>,
}

/// Connections to one address.
pub struct Client {
    addr: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    /// Most idle connections that are kept.
    max_idle: usize,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Client({})", self.addr)
    }
}

/// Longest answer that is read, in bytes.
const MAX_ANSWER: usize = 16 << 20;
/// A larger buffer is freed after its answer, in bytes.
const MAX_KEPT_BUFFER: usize = 65_536;
/// Bytes read at a time.
const READ_SIZE: usize = 4096;
/// Most headers of an answer.
const MAX_HEADERS: usize = 32;
/// Less time than this is none: time-outs of zero are refused by the system.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

fn bad(text: &'static str) -> std::io::Error {
    std::io::Error::new(ErrorKind::InvalidData, text)
}

/// Time left, or a time-out error.
pub(crate) fn remaining(deadline: Instant) -> std::io::Result<Duration> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left < MIN_TIMEOUT {
        return Err(ErrorKind::TimedOut.into());
    }
    Ok(left)
}

/// Opens a connection for small messages.
pub(crate) fn connect(addr: SocketAddr, deadline: Instant) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, remaining(deadline)?)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

impl Client {
    /// A client that keeps up to `max_idle` idle connections.
    pub fn new(addr: SocketAddr, max_idle: usize) -> Self {
        Self {
            addr,
            idle: Mutex::new(Vec::new()),
            max_idle,
        }
    }

    /// Sends one request and waits for its answer until the deadline.
    ///
    /// # Errors
    ///
    /// [`Failure::NotSent`] if the other side cannot have executed it, and
    /// [`Failure::Unknown`] if it may have.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        timeout: Duration,
    ) -> Result<Answer, Failure> {
        let deadline = Instant::now() + timeout;
        let mut connection = match self.idle_connection() {
            Some(connection) => connection,
            None => self.connect(deadline).map_err(Failure::NotSent)?,
        };
        let request = self.encode(method, path, body);
        let (answer, close) =
            exchange(&mut connection, &request, deadline).map_err(Failure::Unknown)?;
        if !close {
            self.keep(connection);
        }
        Ok(answer)
    }

    /// A kept-alive connection that the other side has not closed.
    fn idle_connection(&self) -> Option<Connection> {
        loop {
            let connection = self.idle.lock().pop()?;
            if still_open(&connection.stream) {
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

    fn keep(&self, connection: Connection) {
        let mut idle = self.idle.lock();
        if idle.len() < self.max_idle {
            idle.push(connection);
        }
    }

    fn encode(&self, method: &str, path: &str, body: Option<&[u8]>) -> Vec<u8> {
        /// Bytes of a usual request line with its headers.
        const HEAD_SIZE: usize = 160;
        let mut request = Vec::with_capacity(HEAD_SIZE + body.map_or(0, <[u8]>::len));
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

fn still_open(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    let mut byte = [0];
    let quiet = matches!(stream.peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock);
    quiet && stream.set_nonblocking(false).is_ok()
}

/// Sends a request and reads its answer. True: the connection cannot be used again.
fn exchange(
    connection: &mut Connection,
    request: &[u8],
    deadline: Instant,
) -> std::io::Result<(Answer, bool)> {
    connection
        .stream
        .set_write_timeout(Some(remaining(deadline)?))?;
    connection.stream.write_all(request)?;
    connection.buffer.clear();
    let mut chunk = [0u8; READ_SIZE];
    let mut head: Option<Head> = None;
    loop {
        if let Some(head) = &head
            && let Some(end) = head.end()
            && connection.buffer.len() >= end
        {
            return Ok(finish(connection, head, end));
        }
        connection
            .stream
            .set_read_timeout(Some(remaining(deadline)?))?;
        let count = match connection.stream.read(&mut chunk) {
            Ok(0) => return answer_ended_by_close(&connection.buffer, head),
            Ok(count) => count,
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) => return Err(e),
        };
        connection.buffer.extend_from_slice(&chunk[..count]);
        if connection.buffer.len() > MAX_ANSWER {
            return Err(ErrorKind::FileTooLarge.into());
        }
        if head.is_none() {
            head = parse_head(&connection.buffer)?;
        }
    }
}

/// Takes a whole answer out of the buffer.
fn finish(connection: &mut Connection, head: &Head, end: usize) -> (Answer, bool) {
    let answer = Answer {
        status: head.status,
        body: connection.buffer[head.body_start..end].to_vec(),
    };
    // Bytes beyond the answer belong to no request.
    let close = head.close || connection.buffer.len() > end;
    if connection.buffer.capacity() > MAX_KEPT_BUFFER {
        connection.buffer = Vec::new();
    }
    (answer, close)
}

/// Without a length the body ends with the connection.
fn answer_ended_by_close(buffer: &[u8], head: Option<Head>) -> std::io::Result<(Answer, bool)> {
    match head {
        Some(head) if head.body_length.is_none() => {
            let body = buffer[head.body_start..].to_vec();
            let status = head.status;
            Ok((Answer { status, body }, true))
        }
        _ => Err(ErrorKind::UnexpectedEof.into()),
    }
}

/// Status line and headers of an answer.
struct Head {
    /// Where the body begins in the buffer.
    body_start: usize,
    status: u16,
    /// None: the body ends with the connection.
    body_length: Option<usize>,
    /// The other side closes the connection after the answer.
    close: bool,
}

impl Head {
    /// Where the answer ends in the buffer, if its length is known.
    fn end(&self) -> Option<usize> {
        Some(self.body_start + self.body_length?)
    }
}

fn parse_head(buffer: &[u8]) -> std::io::Result<Option<Head>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let start = match response.parse(buffer) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(bad("malformed answer")),
    };
    let status = response.code.unwrap_or(0);
    let mut length = None;
    let mut close = false;
    for header in response.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            length = Some(value.parse::<usize>().map_err(|_| bad("bad length"))?);
        } else if header.name.eq_ignore_ascii_case("connection") {
            close = value.eq_ignore_ascii_case("close");
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(bad("unexpected transfer encoding"));
        }
    }
    if status == 204 || status == 304 {
        length = Some(0);
    }
    Ok(Some(Head {
        body_start: start,
        status,
        body_length: length,
        close,
    }))
}
