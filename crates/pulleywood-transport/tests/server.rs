//! The server with more clients than connections or threads, and with slow, idle or malformed
//! clients.

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
const POLL: &str = "/v2/runs/j-1";

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

/// Answers with the request's body.
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

/// Counts the answers to each worker, whose number is the body.
struct AnswerCounter(Arc<Vec<AtomicU32>>);

impl Handler for AnswerCounter {
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

/// Holds users' requests until the flag is set.
struct Gate(Arc<AtomicBool>);

impl Handler for Gate {
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

/// Reads the head of an answer without a body.
fn read_head(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let mut byte = [0];
    while !answer.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() == 1 {
        answer.push(byte[0]);
    }
    String::from_utf8(answer).unwrap()
}

fn request_on(stream: &mut TcpStream, path: &str) -> String {
    // In one write: a second one would wait for the acknowledgement of the first.
    let request = format!("GET {path} HTTP/1.1\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    read_head(stream)
}

/// Sends a request on a new connection. Returns the answer's head, and the connection if the
/// server keeps it open.
fn ask(addr: SocketAddr, path: &str) -> (String, Option<TcpStream>) {
    let mut stream = TcpStream::connect(addr).unwrap();
    let answer = request_on(&mut stream, path);
    if !answer.contains("Connection: close") {
        return (answer, Some(stream));
    }
    let mut byte = [0];
    assert_eq!(
        stream.read(&mut byte).unwrap(),
        0,
        "the server announced that it closes"
    );
    (answer, None)
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(60);
    while !condition() {
        assert!(Instant::now() < deadline, "never came: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn connections_beyond_the_limit_are_answered_and_workers_keep_theirs() {
    // Users must not take all connections, or workers would be refused and their leases expire.
    // (path, connections opened, connections kept open)
    let cases = [(POLL, 100, 8), (HEARTBEAT, 100, 5)];
    for threads in [16, 4] {
        let server = start(16, threads, Echo);
        let mut kept = Vec::new();
        for (path, opened, expected) in cases {
            let before = kept.len();
            for _ in 0..opened {
                let (answer, open) = ask(server.address, path);
                assert!(answer.starts_with("HTTP/1.1 200"), "{path}: {answer}");
                kept.extend(open);
            }
            assert_eq!(kept.len() - before, expected, "{path}, {threads} threads");
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
    // A thread for each connection, and a single one for all.
    for threads in [8, 1] {
        let server = start(8, threads, Echo);
        for (sent, status) in cases {
            let mut stream = TcpStream::connect(server.address).unwrap();
            stream.write_all(sent.as_bytes()).unwrap();
            let mut answer = String::new();
            stream.read_to_string(&mut answer).unwrap();
            assert_eq!(answer.split(' ').nth(1), Some(status), "{sent:?}");
        }
    }
}

#[test]
fn more_workers_than_connections_are_all_answered_at_every_heartbeat() {
    // One controller may lead every shard. Workers keep their connections while there are
    // enough; the others connect again for each heartbeat.
    // (connections, threads, workers, rounds)
    let cases = [
        (16, 16, 16, 4),
        (16, 16, 60, 4),
        (8, 8, 40, 4),
        (16, 4, 60, 4),
        // One and a half times 4,000 machines, with the sockets and a twentieth of the threads
        // that a controller usually has.
        (1500, 64, 6000, 2),
    ];
    for (limit, threads, workers, rounds) in cases {
        let counts: Vec<AtomicU32> = (0..workers).map(|_| AtomicU32::new(0)).collect();
        let counts = Arc::new(counts);
        let server = start(limit, threads, AnswerCounter(Arc::clone(&counts)));
        let clients: BTreeMap<usize, Client> = (0..workers)
            .map(|w| (w, Client::new(server.address, 1)))
            .collect();
        for round in 1..=rounds {
            // Two at a time.
            std::thread::scope(|scope| {
                for half in 0..2 {
                    let clients = &clients;
                    scope.spawn(move || {
                        for (worker, client) in clients.iter().filter(|(w, _)| **w % 2 == half) {
                            let body = worker.to_string();
                            let heartbeat = || {
                                let timeout = Duration::from_secs(5);
                                client.call("POST", HEARTBEAT, Some(body.as_bytes()), timeout)
                            };
                            // A worker that finds no free connection tries again.
                            let tries = (0..20).take_while(|_| match heartbeat() {
                                Ok(answer) => answer.status != 200,
                                Err(_) => true,
                            });
                            assert!(tries.count() < 20, "{limit} {workers}: {worker}");
                        }
                    });
                }
            });
            let answered = counts.iter().filter(|c| c.load(Ordering::Relaxed) >= round);
            assert_eq!(
                answered.count(),
                workers,
                "{limit} {workers}, round {round}"
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
    // Otherwise no more workers than threads could keep their connections.
    const KEPT: usize = 1000;
    const THREADS: usize = 16;
    let server = start(KEPT * 2, THREADS, Echo);
    let mut kept: Vec<TcpStream> = (0..KEPT)
        .map(|n| {
            let (answer, open) = ask(server.address, HEARTBEAT);
            assert!(answer.starts_with("HTTP/1.1 200"), "{n}: {answer}");
            open.unwrap_or_else(|| panic!("connection {n} was closed"))
        })
        .collect();
    assert_eq!(server.gauges.open_connections(), KEPT);
    for round in 0..2 {
        for stream in &mut kept {
            let answer = request_on(stream, HEARTBEAT);
            assert!(answer.starts_with("HTTP/1.1 200"), "{round}: {answer}");
        }
    }
    assert!(server.gauges.peak_threads() <= THREADS);
    // Closed connections are free for others.
    drop(kept);
    wait_until("closed", || server.gauges.open_connections() == 0);
}

#[test]
fn slow_and_idle_clients_take_no_thread_from_others() {
    // (what each sends first, what it sends later, its answer then)
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
    for (first, rest, answer) in cases {
        let server = start(400, 6, Echo);
        let mut slow: Vec<TcpStream> = (0..100)
            .map(|_| {
                let mut stream = TcpStream::connect(server.address).unwrap();
                stream.write_all(first.as_bytes()).unwrap();
                stream
            })
            .collect();
        wait_until("all are open", || server.gauges.open_connections() >= 100);
        for path in [HEARTBEAT, READY, POLL].into_iter().cycle().take(30) {
            let (others, _) = ask(server.address, path);
            assert!(others.starts_with("HTTP/1.1 200"), "{first:?}: {others}");
        }
        assert!(server.gauges.peak_threads() <= 6, "{first:?}");
        for stream in slow.iter_mut().take(10) {
            stream.write_all(rest.as_bytes()).unwrap();
            assert!(read_head(stream).starts_with(answer), "{first:?}");
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
        // Closed by the server, whether it was parked or on a thread.
        assert!(!matches!(stream.read(&mut byte), Ok(1)));
    }
    wait_until("closed", || server.gauges.open_connections() == 0);
}

#[test]
fn users_leave_threads_to_workers_and_health_checks() {
    const THREADS: usize = 8;
    let open = Arc::new(AtomicBool::new(false));
    let server = start(100, THREADS, Gate(Arc::clone(&open)));
    let answers: Vec<String> = std::thread::scope(|scope| {
        let users: Vec<_> = (0..20)
            .map(|_| scope.spawn(|| ask(server.address, POLL).0))
            .collect();
        // Users that find no thread are refused while the others wait. If they are not, the
        // gate opens all the same, so that the test ends.
        let deadline = Instant::now() + Duration::from_secs(20);
        let refused = || users.iter().filter(|u| u.is_finished()).count();
        while refused() < 20 - THREADS * 3 / 4 && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(10));
        }
        let refused_meanwhile = refused();
        let others: Vec<String> = match refused_meanwhile {
            0 => Vec::new(),
            _ => {
                let paths = [HEARTBEAT, READY].into_iter().cycle().take(20);
                paths.map(|path| ask(server.address, path).0).collect()
            }
        };
        open.store(true, Ordering::Relaxed);
        assert_eq!(refused_meanwhile, 20 - THREADS * 3 / 4);
        assert!(others.iter().all(|a| a.starts_with("HTTP/1.1 200")));
        users.into_iter().map(|u| u.join().unwrap()).collect()
    });
    let refused = answers.iter().filter(|a| a.starts_with("HTTP/1.1 503"));
    assert!(refused.clone().all(|a| a.contains("Retry-After: 1")));
    assert_eq!(refused.count(), 20 - THREADS * 3 / 4);
    assert!(server.gauges.peak_threads() <= THREADS);
}

#[test]
fn connections_beyond_all_sockets_are_refused_at_once() {
    // (sockets, connections at once)
    for (limit, connections) in [(10, 50), (100, 300)] {
        let server = start(limit, 4, Echo);
        let mut all: Vec<TcpStream> = (0..connections)
            .map(|_| TcpStream::connect(server.address).unwrap())
            .collect();
        // The first ones are accepted and stay idle; the others are refused without a request.
        for stream in &mut all[limit..] {
            let answer = read_head(stream);
            assert!(answer.starts_with("HTTP/1.1 503"), "{limit}: {answer}");
            assert!(answer.contains("Retry-After: 1"), "{limit}: {answer}");
        }
        assert_eq!(server.gauges.open_connections(), limit);
        for stream in &mut all[..limit] {
            let answer = request_on(stream, HEARTBEAT);
            assert!(answer.starts_with("HTTP/1.1 200"), "{limit}: {answer}");
        }
    }
}
