//! The HTTP server with more clients than connections or threads, with slow and idle clients, and
//! with malformed requests.

use pulleywood_transport::Client;
use pulleywood_transport::server::{ClientKind, Handler, Limits, Request, Response, Server, serve};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

const HEARTBEAT: &str = "/v1/report";
const READY: &str = "/ready";
const JOB_STATUS: &str = "/v2/runs/j-1";

fn client_kind_of(path: &str) -> ClientKind {
    match path {
        HEARTBEAT => ClientKind::Worker,
        READY => ClientKind::HealthCheck,
        _ => ClientKind::User,
    }
}

fn start<H: Handler>(connections: usize, threads: usize, handler: H) -> Server {
    let limits = Limits {
        connections,
        threads,
    };
    serve(([127, 0, 0, 1], 0).into(), limits, handler).unwrap()
}

/// Responds with the request's body.
struct Echo;

impl Handler for Echo {
    fn handle(&self, request: &Request<'_>) -> Response {
        Response {
            status: 200,
            body: request.body.to_vec(),
            ..Response::default()
        }
    }

    fn client_kind(&self, request: &Request<'_>) -> ClientKind {
        client_kind_of(request.path)
    }
}

/// Counts the responses to each worker. The body of a request is the worker's index.
struct ResponseCounter(Arc<Vec<AtomicU32>>);

impl Handler for ResponseCounter {
    fn handle(&self, request: &Request<'_>) -> Response {
        if let Ok(worker) = std::str::from_utf8(request.body).unwrap().parse::<usize>() {
            self.0[worker].fetch_add(1, Ordering::Relaxed);
        }
        Response::status(200)
    }

    fn client_kind(&self, _request: &Request<'_>) -> ClientKind {
        ClientKind::Worker
    }
}

/// Blocks user requests until the flag is set.
struct BlockedUsers(Arc<AtomicBool>);

impl Handler for BlockedUsers {
    fn handle(&self, request: &Request<'_>) -> Response {
        while client_kind_of(request.path) == ClientKind::User && !self.0.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(5));
        }
        Response::status(200)
    }

    fn client_kind(&self, request: &Request<'_>) -> ClientKind {
        client_kind_of(request.path)
    }
}

/// Reads the status line and the headers of a response.
fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() == 1 {
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap()
}

/// Sends a request without a body and returns the head of the response.
fn send_request(stream: &mut TcpStream, path: &str) -> String {
    // Sent in one write: a second write would wait for the acknowledgement of the first.
    let request = format!("GET {path} HTTP/1.1\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    read_head(stream)
}

/// Sends a request on a new connection. Returns the head of the response, and the connection if
/// the server keeps it open.
fn connect_and_request(addr: SocketAddr, path: &str) -> (String, Option<TcpStream>) {
    let mut stream = TcpStream::connect(addr).unwrap();
    let head = send_request(&mut stream, path);
    if !head.contains("Connection: close") {
        return (head, Some(stream));
    }
    let mut byte = [0];
    assert_eq!(
        stream.read(&mut byte).unwrap(),
        0,
        "the server announced that it closes the connection"
    );
    (head, None)
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(60);
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn user_connections_are_closed_before_those_of_workers() {
    // Guards against users who occupy all connections, so that workers are refused and their
    // leases expire.
    // (path, connections opened, connections that the server keeps open)
    let cases = [(JOB_STATUS, 100, 8), (HEARTBEAT, 100, 5)];
    for threads in [16, 4] {
        let server = start(16, threads, Echo);
        let mut open = Vec::new();
        for (path, opened, expected) in cases {
            let open_before = open.len();
            for _ in 0..opened {
                let (head, connection) = connect_and_request(server.address, path);
                assert!(head.starts_with("HTTP/1.1 200"), "{path}: {head}");
                open.extend(connection);
            }
            assert_eq!(
                open.len() - open_before,
                expected,
                "{path}, {threads} threads"
            );
        }
    }
}

#[test]
fn malformed_and_oversized_requests_are_rejected() {
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
    // With a thread for each connection, and with a single thread.
    for threads in [8, 1] {
        let server = start(8, threads, Echo);
        for (request, status) in cases {
            let mut stream = TcpStream::connect(server.address).unwrap();
            stream.write_all(request.as_bytes()).unwrap();
            let mut response = String::new();
            stream.read_to_string(&mut response).unwrap();
            assert_eq!(response.split(' ').nth(1), Some(status), "{request:?}");
        }
    }
}

#[test]
fn more_workers_than_connections_are_all_answered_at_every_heartbeat() {
    // One controller may lead every shard, and then serves more workers than it has connections.
    // Workers keep their connections while enough are free; the others connect again for each
    // heartbeat.
    // (limit on connections, threads, workers, heartbeats of each worker)
    let cases = [
        (16, 16, 16, 4),
        (16, 16, 60, 4),
        (8, 8, 40, 4),
        (16, 4, 60, 4),
        // One and a half times 4,000 machines, with as many connections as a controller usually
        // allows and a twentieth of its threads.
        (1500, 64, 6000, 2),
    ];
    for (limit, threads, workers, heartbeats) in cases {
        let counts: Vec<AtomicU32> = (0..workers).map(|_| AtomicU32::new(0)).collect();
        let counts = Arc::new(counts);
        let server = start(limit, threads, ResponseCounter(Arc::clone(&counts)));
        let clients: BTreeMap<usize, Client> = (0..workers)
            .map(|worker| (worker, Client::new(server.address, 1)))
            .collect();
        for sequence in 1..=heartbeats {
            // Two workers send at a time.
            std::thread::scope(|scope| {
                for half in 0..2 {
                    let clients = &clients;
                    scope.spawn(move || {
                        for (worker, client) in clients.iter().filter(|(w, _)| **w % 2 == half) {
                            let body = worker.to_string();
                            let send_heartbeat = || {
                                let timeout = Duration::from_secs(5);
                                client.call("POST", HEARTBEAT, Some(body.as_bytes()), timeout)
                            };
                            // A worker that finds no free connection tries again.
                            let failed_tries = (0..20).take_while(|_| match send_heartbeat() {
                                Ok(response) => response.status != 200,
                                Err(_) => true,
                            });
                            assert!(failed_tries.count() < 20, "{limit} {workers}: {worker}");
                        }
                    });
                }
            });
            let answered = counts
                .iter()
                .filter(|c| c.load(Ordering::Relaxed) >= sequence);
            assert_eq!(
                answered.count(),
                workers,
                "{limit} {workers}, heartbeat {sequence}"
            );
        }
        assert!(server.gauges.peak_threads() <= threads, "{limit} {workers}");
        assert!(
            server.gauges.open_connections() <= limit,
            "{limit} {workers}"
        );
    }
}

#[test]
fn idle_connections_hold_no_thread() {
    // Otherwise no more workers than there are threads could keep their connections.
    const CONNECTIONS: usize = 1000;
    const THREADS: usize = 16;
    let server = start(CONNECTIONS * 2, THREADS, Echo);
    let mut open: Vec<TcpStream> = (0..CONNECTIONS)
        .map(|index| {
            let (head, connection) = connect_and_request(server.address, HEARTBEAT);
            assert!(head.starts_with("HTTP/1.1 200"), "{index}: {head}");
            connection.unwrap_or_else(|| panic!("connection {index} was closed"))
        })
        .collect();
    assert_eq!(server.gauges.open_connections(), CONNECTIONS);
    for round in 0..2 {
        for stream in &mut open {
            let head = send_request(stream, HEARTBEAT);
            assert!(head.starts_with("HTTP/1.1 200"), "{round}: {head}");
        }
    }
    assert!(server.gauges.peak_threads() <= THREADS);
    // The slots of connections that the clients close are freed.
    drop(open);
    wait_until("all connections are closed", || {
        server.gauges.open_connections() == 0
    });
}

#[test]
fn slow_and_idle_clients_take_no_thread_from_others() {
    // (bytes that each client sends at first, the rest of its request, start of the response)
    let cases = [
        ("", "GET /v2/runs/j-1 HTTP/1.1\r\n\r\n", "HTTP/1.1 200"),
        ("GET /v2/runs", "/j-1 HTTP/1.1\r\n\r\n", "HTTP/1.1 200"),
        (
            "POST /v2/runs HTTP/1.1\r\nContent-Length: 3\r\n\r\nx",
            "yz",
            "HTTP/1.1 200",
        ),
        ("GET /v2/runs", " HTTQ/9\r\n\r\n", "HTTP/1.1 400"),
    ];
    for (first, rest, expected) in cases {
        let server = start(400, 6, Echo);
        let mut slow: Vec<TcpStream> = (0..100)
            .map(|_| {
                let mut stream = TcpStream::connect(server.address).unwrap();
                stream.write_all(first.as_bytes()).unwrap();
                stream
            })
            .collect();
        wait_until("all connections are open", || {
            server.gauges.open_connections() >= 100
        });
        for path in [HEARTBEAT, READY, JOB_STATUS].into_iter().cycle().take(30) {
            let (head, _) = connect_and_request(server.address, path);
            assert!(head.starts_with("HTTP/1.1 200"), "{first:?}: {head}");
        }
        assert!(server.gauges.peak_threads() <= 6, "{first:?}");
        for stream in slow.iter_mut().take(10) {
            stream.write_all(rest.as_bytes()).unwrap();
            assert!(read_head(stream).starts_with(expected), "{first:?}");
        }
    }
}

#[test]
fn an_incomplete_request_is_closed_after_a_timeout() {
    let server = start(40, 2, Echo);
    let mut slow: Vec<TcpStream> = (0..10)
        .map(|_| {
            let mut stream = TcpStream::connect(server.address).unwrap();
            stream.write_all(b"POST /v2/runs HTT").unwrap();
            stream
        })
        .collect();
    for stream in &mut slow {
        let mut byte = [0];
        // The server closes the connection, whether it is parked or served by a thread.
        assert!(!matches!(stream.read(&mut byte), Ok(1)));
    }
    wait_until("all connections are closed", || {
        server.gauges.open_connections() == 0
    });
}

#[test]
fn users_leave_threads_to_workers_and_health_checks() {
    const THREADS: usize = 8;
    let unblocked = Arc::new(AtomicBool::new(false));
    let server = start(100, THREADS, BlockedUsers(Arc::clone(&unblocked)));
    let user_responses: Vec<String> = std::thread::scope(|scope| {
        let users: Vec<_> = (0..20)
            .map(|_| scope.spawn(|| connect_and_request(server.address, JOB_STATUS).0))
            .collect();
        // Users beyond their share of the threads are refused while the others are blocked. If
        // they are not, the others are unblocked nevertheless, so that the test ends.
        let deadline = Instant::now() + Duration::from_secs(20);
        let refused_count = || users.iter().filter(|user| user.is_finished()).count();
        while refused_count() < 20 - THREADS * 3 / 4 && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(10));
        }
        let refused_while_blocked = refused_count();
        let other_responses: Vec<String> = match refused_while_blocked {
            0 => Vec::new(),
            _ => {
                let paths = [HEARTBEAT, READY].into_iter().cycle().take(20);
                paths
                    .map(|path| connect_and_request(server.address, path).0)
                    .collect()
            }
        };
        unblocked.store(true, Ordering::Relaxed);
        assert_eq!(refused_while_blocked, 20 - THREADS * 3 / 4);
        assert!(
            other_responses
                .iter()
                .all(|head| head.starts_with("HTTP/1.1 200"))
        );
        users.into_iter().map(|user| user.join().unwrap()).collect()
    });
    let refused = user_responses
        .iter()
        .filter(|head| head.starts_with("HTTP/1.1 503"));
    assert!(refused.clone().all(|head| head.contains("Retry-After: 1")));
    assert_eq!(refused.count(), 20 - THREADS * 3 / 4);
    assert!(server.gauges.peak_threads() <= THREADS);
}

#[test]
fn connections_beyond_all_sockets_are_refused_at_once() {
    // (limit on connections, connections opened at once)
    for (limit, connections) in [(10, 50), (100, 300)] {
        let server = start(limit, 4, Echo);
        let mut streams: Vec<TcpStream> = (0..connections)
            .map(|_| TcpStream::connect(server.address).unwrap())
            .collect();
        // The server keeps the first connections open and refuses the others without waiting for
        // a request.
        for stream in &mut streams[limit..] {
            let head = read_head(stream);
            assert!(head.starts_with("HTTP/1.1 503"), "{limit}: {head}");
            assert!(head.contains("Retry-After: 1"), "{limit}: {head}");
        }
        assert_eq!(server.gauges.open_connections(), limit);
        for stream in &mut streams[..limit] {
            let head = send_request(stream, HEARTBEAT);
            assert!(head.starts_with("HTTP/1.1 200"), "{limit}: {head}");
        }
    }
}
