//! A blocking HTTP/1.1 server with bounded threads, sockets and deadlines.

use parking_lot::{Condvar, Mutex};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Most bytes of a request body.
pub const MAX_BODY: usize = 64 * 1024;
const MAX_HEAD: usize = 16 * 1024;
/// A request must be complete this long after its first byte.
const REQUEST_TIME: Duration = Duration::from_secs(5);
const WRITE_TIME: Duration = Duration::from_secs(3);
const IDLE_TIME: Duration = Duration::from_secs(30);
/// Idle time allowed while connections are scarce; how scarce they are is
/// looked at anew this often.
const SCARCE_IDLE_TIME: Duration = Duration::from_millis(1500);
const IDLE_LOOK: Duration = Duration::from_secs(6);
const STACK: usize = 128 * 1024;

/// A request.
#[derive(Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The path without the query.
    pub path: &'a str,
    /// The query.
    pub query: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// A response.
#[derive(Debug, Default)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body, CBOR.
    pub body: Vec<u8>,
    /// Seconds after which to come back.
    pub retry_after: Option<u32>,
    /// Methods that the path allows.
    pub allow: Option<&'static str>,
    /// Who asked: whose connections are the first to go when they are scarce.
    pub from: From,
}

/// Who is at the other end of a connection.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum From {
    /// A user, or nobody yet. Its connections are closed after their answers,
    /// or when idle, while more than half of all are open.
    #[default]
    User,
    /// A worker, whose tasks die with its lease if it is not answered. Its
    /// connection is closed after the answer only while fewer than one in seven
    /// are left, so that whoever comes next finds one.
    Worker,
}

impl From {
    fn is_scarce(self, open: usize, max: usize) -> bool {
        match self {
            From::User => open * 2 > max,
            From::Worker => open * 7 > max * 6,
        }
    }
}

impl Response {
    /// A response without a body.
    pub fn status(status: u16) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }

    /// A response with a CBOR body.
    pub fn cbor<T: serde::Serialize>(status: u16, body: &T) -> Self {
        Self {
            status,
            body: pulleywood_wire::cbor::encode(body),
            ..Self::default()
        }
    }

    /// Not now: come back after some seconds.
    pub fn later(status: u16, seconds: u32) -> Self {
        Self {
            status,
            retry_after: Some(seconds),
            ..Self::default()
        }
    }
}

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: &Request<'_>) -> Response;
}

struct Pool<H> {
    handler: H,
    queue: Mutex<Queue>,
    ready: Condvar,
    open: AtomicUsize,
    max: usize,
}

#[derive(Default)]
struct Queue {
    waiting: VecDeque<TcpStream>,
    idle: usize,
}

/// Listens on `addr` and serves up to `max` connections, each on a thread of
/// its own from a pool that grows as needed. Returns the bound address.
pub fn serve<H: Handler>(addr: SocketAddr, max: usize, handler: H) -> std::io::Result<SocketAddr> {
    // All workers may come at once, and one that has to wait for its second try
    // to connect loses part of its lease.
    let listener = listen(addr, max)?;
    let bound = listener.local_addr()?;
    let pool = Arc::new(Pool {
        handler,
        queue: Mutex::default(),
        ready: Condvar::new(),
        open: AtomicUsize::new(0),
        max,
    });
    std::thread::Builder::new()
        .name("accept".into())
        .stack_size(STACK)
        .spawn(move || accept(&listener, &pool))?;
    Ok(bound)
}

/// A listening socket that a restarted process can bind at once, for up to `max`
/// connections.
pub fn listen(addr: SocketAddr, max: usize) -> std::io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(addr),
        socket2::Type::STREAM,
        None,
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(max.clamp(128, 4096) as i32)?;
    Ok(socket.into())
}

fn accept<H: Handler>(listener: &TcpListener, pool: &Arc<Pool<H>>) {
    loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::debug!("accept: {e}");
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
        };
        if pool.open.load(Ordering::Relaxed) >= pool.max {
            refuse(stream);
            continue;
        }
        pool.open.fetch_add(1, Ordering::Relaxed);
        let mut queue = pool.queue.lock();
        let spare = queue.idle > queue.waiting.len();
        queue.waiting.push_back(stream);
        drop(queue);
        if spare {
            pool.ready.notify_one();
            continue;
        }
        let own = Arc::clone(pool);
        let started = std::thread::Builder::new()
            .name("http".into())
            .stack_size(STACK)
            .spawn(move || work(&own));
        if let Err(e) = started {
            log::error!("cannot start a thread: {e}");
            // Whatever waits is taken by the next thread that falls idle; a
            // refusal here keeps it from waiting for ever.
            if let Some(stream) = pool.queue.lock().waiting.pop_back() {
                pool.open.fetch_sub(1, Ordering::Relaxed);
                refuse(stream);
            }
        }
    }
}

/// Answers at once that there is no room, and closes.
fn refuse(mut stream: TcpStream) {
    let _ = stream.set_write_timeout(Some(Duration::from_millis(50)));
    let _ = stream.write_all(
        b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
    );
}

fn work<H: Handler>(pool: &Pool<H>) {
    loop {
        let mut stream = {
            let mut queue = pool.queue.lock();
            queue.idle += 1;
            let mut timed_out = false;
            while queue.waiting.is_empty() && !timed_out {
                timed_out = pool
                    .ready
                    .wait_for(&mut queue, Duration::from_secs(20))
                    .timed_out();
            }
            queue.idle -= 1;
            match queue.waiting.pop_front() {
                Some(stream) => stream,
                None => return,
            }
        };
        if let Err(e) = converse(&mut stream, pool) {
            log::debug!("connection ended: {e}");
        }
        // Whoever sees the end of this connection finds its place free.
        pool.open.fetch_sub(1, Ordering::SeqCst);
        drop(stream);
    }
}

enum Parsed {
    Partial,
    Whole {
        head: usize,
        length: usize,
        close: bool,
    },
    Refuse(u16),
}

fn converse<H: Handler>(stream: &mut TcpStream, pool: &Pool<H>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIME))?;
    let mut buf: Vec<u8> = Vec::with_capacity(2048);
    let mut chunk = [0u8; 4096];
    let mut from = From::User;
    let mut waits = Duration::ZERO;
    loop {
        let idle_until = Instant::now() + IDLE_TIME;
        let mut deadline: Option<Instant> =
            (!buf.is_empty()).then(|| Instant::now() + REQUEST_TIME);
        let (head, length, close) = loop {
            match parse(&buf) {
                Parsed::Whole {
                    head,
                    length,
                    close,
                } if buf.len() >= head + length => break (head, length, close),
                Parsed::Refuse(status) => {
                    log::info!("a request was refused with {status}");
                    send(stream, &Response::status(status), true)?;
                    return Ok(());
                }
                _ => {}
            }
            let scarce = from.is_scarce(pool.open.load(Ordering::Relaxed), pool.max);
            let wait = match deadline {
                Some(d) => crate::client::left(d)?,
                None if scarce => SCARCE_IDLE_TIME,
                None => IDLE_LOOK.min(crate::client::left(idle_until)?),
            };
            if wait != waits {
                stream.set_read_timeout(Some(wait))?;
                waits = wait;
            }
            match stream.read(&mut chunk) {
                Err(e)
                    if deadline.is_none()
                        && !scarce
                        && matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) =>
                {
                    continue;
                }
                Ok(0) => return Ok(()),
                Ok(n) => buf.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
            }
            deadline.get_or_insert_with(|| Instant::now() + REQUEST_TIME);
        };
        let response = respond(&buf[..head + length], head, &pool.handler);
        from = response.from;
        let close = close || from.is_scarce(pool.open.load(Ordering::Relaxed), pool.max);
        send(stream, &response, close)?;
        if close {
            return Ok(());
        }
        buf.drain(..head + length);
        if buf.is_empty() && buf.capacity() > 16_384 {
            buf = Vec::with_capacity(2048);
        }
    }
}

fn parse(buf: &[u8]) -> Parsed {
    if buf.is_empty() {
        return Parsed::Partial;
    }
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() > MAX_HEAD => return Parsed::Refuse(431),
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Refuse(400),
    };
    let mut length = 0;
    let mut close = request.version == Some(0);
    for h in request.headers.iter() {
        let value = std::str::from_utf8(h.value).unwrap_or("").trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            match value.parse::<usize>() {
                Ok(n) if n <= MAX_BODY => length = n,
                Ok(_) => return Parsed::Refuse(413),
                Err(_) => return Parsed::Refuse(400),
            }
        } else if h.name.eq_ignore_ascii_case("connection") {
            close |= value.eq_ignore_ascii_case("close");
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            return Parsed::Refuse(411);
        }
    }
    Parsed::Whole {
        head,
        length,
        close,
    }
}

fn respond<H: Handler>(buf: &[u8], head: usize, handler: &H) -> Response {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    if request.parse(buf).is_err() {
        return Response::status(400);
    }
    let target = request.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    handler.handle(&Request {
        method: request.method.unwrap_or(""),
        path,
        query,
        body: &buf[head..],
    })
}

fn send(stream: &mut TcpStream, response: &Response, close: bool) -> std::io::Result<()> {
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
    let mut out = Vec::with_capacity(160 + response.body.len());
    // Writing to a Vec cannot fail.
    let _ = write!(
        out,
        "HTTP/1.1 {} {reason}\r\nContent-Length: {}\r\n",
        response.status,
        response.body.len()
    );
    if !response.body.is_empty() {
        out.extend_from_slice(b"Content-Type: application/cbor\r\n");
    }
    if let Some(s) = response.retry_after {
        let _ = write!(out, "Retry-After: {s}\r\n");
    }
    if let Some(methods) = response.allow {
        let _ = write!(out, "Allow: {methods}\r\n");
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&response.body);
    stream.write_all(&out)
}

#[cfg(test)]
mod tests {
    use super::*;

    struct Echo;
    impl Handler for Echo {
        fn handle(&self, request: &Request<'_>) -> Response {
            Response {
                status: 200,
                body: request.body.to_vec(),
                ..Response::default()
            }
        }
    }

    /// Workers report, all others are users.
    struct Door;
    impl Handler for Door {
        fn handle(&self, request: &Request<'_>) -> Response {
            Response {
                from: match request.path {
                    "/v1/report" => From::Worker,
                    _ => From::User,
                },
                ..Response::status(200)
            }
        }
    }

    /// Asks, and says whether the connection was kept open for more.
    fn ask(addr: SocketAddr, path: &str) -> (String, Option<TcpStream>) {
        let mut stream = TcpStream::connect(addr).unwrap();
        write!(stream, "GET {path} HTTP/1.1\r\n\r\n").unwrap();
        let mut answer = Vec::new();
        let mut byte = [0];
        while !answer.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() == 1 {
            answer.push(byte[0]);
        }
        let answer = String::from_utf8(answer).unwrap();
        if !answer.contains("Connection: close") {
            return (answer, Some(stream));
        }
        assert_eq!(stream.read(&mut byte).unwrap(), 0, "it said that it closes");
        (answer, None)
    }

    #[test]
    fn connections_beyond_the_bound_are_answered_and_workers_keep_theirs() {
        // Each connection has a thread, so that their number bounds both. When
        // all were taken by whoever had come first, workers were refused and
        // their leases ran out. (who, how many come, how many keep theirs)
        let cases = [("/v2/runs/j-1", 100, 8), ("/v1/report", 100, 5)];
        let addr = serve(([127, 0, 0, 1], 0).into(), 16, Door).unwrap();
        let mut kept = Vec::new();
        for (path, come, keep) in cases {
            let before = kept.len();
            for _ in 0..come {
                let (answer, open) = ask(addr, path);
                assert!(answer.starts_with("HTTP/1.1 200"), "{path}: {answer}");
                kept.extend(open);
            }
            assert_eq!(kept.len() - before, keep, "{path}");
        }
    }

    #[test]
    fn malformed_and_oversized_requests_are_refused() {
        let addr = serve(([127, 0, 0, 1], 0).into(), 8, Echo).unwrap();
        let cases = [
            (
                "POST / HTTP/1.1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
                "200",
            ),
            ("garbage\r\n\r\n", "400"),
            ("POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400"),
            ("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", "413"),
            (
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                "411",
            ),
        ];
        for (sent, status) in cases {
            let mut stream = TcpStream::connect(addr).unwrap();
            stream.write_all(sent.as_bytes()).unwrap();
            let mut answer = String::new();
            stream.read_to_string(&mut answer).unwrap();
            assert_eq!(answer.split(' ').nth(1), Some(status), "{sent:?}");
        }
    }
}
