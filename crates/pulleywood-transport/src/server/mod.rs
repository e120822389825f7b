//! A blocking HTTP/1.1 server with bounded threads, connections and deadlines.
//!
//! A connection is served by a thread of a bounded pool. While enough threads are free, a
//! thread stays with its connection between requests. Once connections could occupy more than
//! three quarters of the threads, a connection that waits for its next request, or for the rest
//! of one, is *parked*: one thread polls all parked connections and returns a connection to the
//! pool when bytes arrive. So sockets and memory bound the number of connections, not threads,
//! and slow or silent clients occupy no thread.

mod admission;
mod connection;
mod http;
mod parking;
mod pool;

use admission::Admission;
use pool::Pool;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

pub use http::MAX_BODY;

/// Stack size of the server's threads, in bytes.
const STACK_SIZE: usize = 128 * 1024;

/// A complete HTTP request.
#[derive(Debug)]
pub struct Request<'a> {
    /// HTTP method, as sent.
    pub method: &'a str,
    /// Path of the request target, without the query.
    pub path: &'a str,
    /// Query without the question mark, not decoded; empty if there is none.
    pub query: &'a str,
    /// Body, at most [`MAX_BODY`] bytes; empty if there is none.
    pub body: &'a [u8],
}

/// An HTTP response.
#[derive(Debug, Default)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Body in CBOR; empty if there is none.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header, in seconds; `None` leaves the header out.
    pub retry_after: Option<u32>,
    /// Value of the `Allow` header, the methods that the path supports; `None` leaves the
    /// header out.
    pub allow: Option<&'static str>,
}

impl Response {
    /// Creates a response without a body.
    pub fn status(status: u16) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }

    /// Creates a response with `body` encoded in CBOR.
    pub fn cbor<T: serde::Serialize>(status: u16, body: &T) -> Self {
        Self {
            status,
            body: pulleywood_protocol::cbor::encode(body),
            ..Self::default()
        }
    }

    /// Creates a response without a body that asks the client to retry after some seconds.
    pub fn retry_later(status: u16, seconds: u32) -> Self {
        Self {
            status,
            retry_after: Some(seconds),
            ..Self::default()
        }
    }
}

/// Kind of client that sent a request. It decides whose connections are closed and whose
/// requests are rejected first when connections or threads are scarce.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum ClientKind {
    /// A user, or a client that has sent no request yet. While more than half of the allowed
    /// connections are open, its connections are closed after each response, or sooner when
    /// idle. User requests occupy at most three quarters of the threads.
    #[default]
    User,
    /// A health check. Its connections are closed like a user's, but its requests may occupy
    /// any thread.
    HealthCheck,
    /// A worker. If its heartbeats are not answered, its lease expires and its tasks are lost.
    /// Its connections are closed after each response only while fewer than one in seven of the
    /// allowed connections are free, so that the next client finds a free one.
    Worker,
}

impl ClientKind {
    fn connections_scarce(self, open: usize, max_connections: usize) -> bool {
        match self {
            ClientKind::User | ClientKind::HealthCheck => open * 2 > max_connections,
            ClientKind::Worker => open * 7 > max_connections * 6,
        }
    }
}

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to a request. Called from several threads at a time.
    fn handle(&self, request: &Request<'_>) -> Response;

    /// Returns the kind of client that sends such a request.
    fn client_kind(&self, _request: &Request<'_>) -> ClientKind {
        ClientKind::User
    }
}

/// Resource limits of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of open connections; a further one gets status 503 and is closed.
    pub connections: usize,
    /// Maximum number of threads that serve connections. If it is less than `connections`,
    /// waiting connections are parked while threads are scarce.
    pub threads: usize,
}

impl Limits {
    /// Allows this many connections and as many threads, so that none is ever parked.
    pub fn thread_per_connection(connections: usize) -> Limits {
        Limits {
            connections,
            threads: connections,
        }
    }
}

/// Current number of connections and threads of a server.
#[derive(Debug, Default)]
pub struct Gauges {
    open: AtomicUsize,
    threads: AtomicUsize,
    peak_threads: AtomicUsize,
}

impl Gauges {
    /// Number of open connections, parked ones included.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Largest number of pool threads that existed at the same time.
    pub fn peak_threads(&self) -> usize {
        self.peak_threads.load(Ordering::Relaxed)
    }

    fn add_thread(&self) {
        let threads = self.threads.fetch_add(1, Ordering::Relaxed) + 1;
        self.peak_threads.fetch_max(threads, Ordering::Relaxed);
    }
}

/// A running server. It runs until the process ends, even if this handle is dropped.
#[derive(Debug, Clone)]
pub struct Server {
    /// Address that the server listens on, with the port that the system chose if 0 was given.
    pub address: SocketAddr,
    /// Number of connections and threads, kept up to date by the server.
    pub gauges: Arc<Gauges>,
}

/// Starts a server that listens on `addr` and serves connections within `limits`.
///
/// # Errors
///
/// Returns an error if the socket cannot be bound or a thread cannot be started.
pub fn serve<H: Handler>(addr: SocketAddr, limits: Limits, handler: H) -> std::io::Result<Server> {
    // All workers may connect at once, and a worker that must repeat its connection attempt
    // loses part of its lease, so the accept queue has room for all allowed connections.
    let listener = listen(addr, limits.connections)?;
    let address = listener.local_addr()?;
    let gauges = Arc::new(Gauges::default());
    let (parked_connections, poller) = parking::create(limits)?;
    let admission = Admission::new(limits, Arc::clone(&gauges), parked_connections.is_some());
    let pool = Arc::new(Pool::new(handler, admission, parked_connections));
    if let Some(poller) = poller {
        let pool = Arc::clone(&pool);
        spawn("parked", move || {
            if let Some(parked_connections) = &pool.parked_connections {
                poller.run(parked_connections, &pool.admission, &pool);
            }
        })?;
    }
    spawn("accept", move || accept(&listener, &pool))?;
    Ok(Server { address, gauges })
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    std::thread::Builder::new()
        .name(name.into())
        .stack_size(STACK_SIZE)
        .spawn(body)
        .map(|_| ())
}

/// Opens a listening socket whose accept queue has room for `max_connections` connections. Its
/// address can be bound again as soon as the process restarts.
///
/// # Errors
///
/// Returns an error if the socket cannot be opened or bound.
pub fn listen(addr: SocketAddr, max_connections: usize) -> std::io::Result<TcpListener> {
    /// Maximum length of the accept queue; the system may limit it further.
    const MAX_BACKLOG: usize = 65_535;
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(addr),
        socket2::Type::STREAM,
        None,
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(max_connections.clamp(128, MAX_BACKLOG) as i32)?;
    Ok(socket.into())
}

fn accept<H: Handler>(listener: &TcpListener, pool: &Arc<Pool<H>>) {
    /// Delay after a failed accept, such as one for lack of file descriptors.
    const ERROR_DELAY: Duration = Duration::from_millis(20);
    loop {
        match listener.accept() {
            Ok((stream, _)) => pool.admit(stream),
            Err(e) => {
                log::debug!("failed to accept a connection: {e}");
                std::thread::sleep(ERROR_DELAY);
            }
        }
    }
}
