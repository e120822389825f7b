//! Parses HTTP/1.1 requests and writes responses.

use super::{Request, Response};
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Maximum size of a request body in bytes; a longer one is rejected with 413.
pub const MAX_BODY: usize = 64 * 1024;
/// Maximum size of a request line with its headers, in bytes.
const MAX_HEAD: usize = 16 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 32;
/// Write timeout of the 503 response to a connection beyond the limit. It is short, since the
/// thread that accepts connections writes it and must not wait for a client that does not read.
const REJECTION_WRITE_TIMEOUT: Duration = Duration::from_millis(50);

/// Result of parsing the bytes received so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Parsed {
    /// The request line or the headers are incomplete.
    Partial,
    /// Request line and headers are complete; the body may not be.
    Complete(Head),
    /// The request is invalid or too large and is rejected with this status.
    Reject(u16),
}

/// Size of a request, and whether the connection is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// Size of request line and headers, in bytes.
    pub head_length: usize,
    /// Size of the body, in bytes.
    pub body_length: usize,
    /// The client asks to close the connection after the response.
    pub close: bool,
}

impl Head {
    /// Size of the whole request, in bytes.
    pub fn request_length(&self) -> usize {
        self.head_length + self.body_length
    }
}

/// Parses the request line and the headers at the start of `buffer`.
pub fn parse_head(buffer: &[u8]) -> Parsed {
    if buffer.is_empty() {
        return Parsed::Partial;
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD => return Parsed::Reject(431),
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Reject(400),
    };
    let mut body_length = 0;
    let mut close = request.version == Some(0);
    for header in request.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            match value.parse::<usize>() {
                Ok(length) if length <= MAX_BODY => body_length = length,
                Ok(_) => return Parsed::Reject(413),
                Err(_) => return Parsed::Reject(400),
            }
        } else if header.name.eq_ignore_ascii_case("connection") {
            close |= value.eq_ignore_ascii_case("close");
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Parsed::Reject(411);
        }
    }
    Parsed::Complete(Head {
        head_length,
        body_length,
        close,
    })
}

/// Parses a complete request. `head_length` is the size that [`parse_head`] found.
pub fn parse_request(bytes: &[u8], head_length: usize) -> Option<Request<'_>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed.parse(bytes).ok()?;
    let target = parsed.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Some(Request {
        method: parsed.method.unwrap_or(""),
        path,
        query,
        body: &bytes[head_length..],
    })
}

/// Writes a response. With `close`, it announces that the server closes the connection.
pub fn send(stream: &mut TcpStream, response: &Response, close: bool) -> std::io::Result<()> {
    let reason = match response.status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Status",
    };
    let mut message = Vec::with_capacity(160 + response.body.len());
    // Writing to a Vec cannot fail.
    let _ = write!(
        message,
        "HTTP/1.1 {} {reason}\r\nContent-Length: {}\r\n",
        response.status,
        response.body.len()
    );
    if !response.body.is_empty() {
        message.extend_from_slice(b"Content-Type: application/cbor\r\n");
    }
    if let Some(seconds) = response.retry_after {
        let _ = write!(message, "Retry-After: {seconds}\r\n");
    }
    if let Some(methods) = response.allow {
        let _ = write!(message, "Allow: {methods}\r\n");
    }
    if close {
        message.extend_from_slice(b"Connection: close\r\n");
    }
    message.extend_from_slice(b"\r\n");
    message.extend_from_slice(&response.body);
    stream.write_all(&message)
}

/// Responds 503 to a connection that the server has no capacity for, and closes it. Errors are
/// ignored: the connection is closed in any case.
pub fn reject_connection(mut stream: TcpStream) {
    let _ = stream.set_write_timeout(Some(REJECTION_WRITE_TIMEOUT));
    let _ = send(&mut stream, &Response::retry_later(503, 1), true);
}
