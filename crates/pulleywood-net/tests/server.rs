//! The server when more come than it has connections.

use pulleywood_net::Client;
use pulleywood_net::server::{From, Handler, Request, Response, serve};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Counts the answers that each worker got.
struct Owner(Arc<Vec<AtomicU32>>);

impl Handler for Owner {
    fn handle(&self, request: &Request<'_>) -> Response {
        if let Ok(worker) = std::str::from_utf8(request.body).unwrap().parse::<usize>() {
            self.0[worker].fetch_add(1, Ordering::Relaxed);
        }
        Response {
            from: From::Worker,
            ..Response::status(200)
        }
    }
}

#[test]
fn more_workers_than_connections_are_all_answered_report_after_report() {
    // One controller has to carry every part: workers keep their connections as
    // long as there are enough, the rest come anew with each report. (Connections,
    // workers)
    const ROUNDS: u32 = 4;
    for (most, workers) in [(16, 16), (16, 60), (8, 40)] {
        let counts: Vec<AtomicU32> = (0..workers).map(|_| AtomicU32::new(0)).collect();
        let counts = Arc::new(counts);
        let addr = serve(([127, 0, 0, 1], 0).into(), most, Owner(Arc::clone(&counts))).unwrap();
        let clients: BTreeMap<usize, Client> =
            (0..workers).map(|w| (w, Client::new(addr, 1))).collect();
        for round in 1..=ROUNDS {
            // Two at a time: an answer never takes long.
            std::thread::scope(|scope| {
                for half in 0..2 {
                    let clients = &clients;
                    scope.spawn(move || {
                        for (worker, client) in clients.iter().filter(|(w, _)| **w % 2 == half) {
                            let body = worker.to_string();
                            let report = || {
                                let time = Duration::from_secs(5);
                                client.call("POST", "/v1/report", Some(body.as_bytes()), time)
                            };
                            // One that meets the last place taken comes once more.
                            let tries = (0..20).take_while(|_| match report() {
                                Ok(answer) => answer.status != 200,
                                Err(_) => true,
                            });
                            assert!(tries.count() < 20, "{most} {workers}: {worker}");
                        }
                    });
                }
            });
            let answered = counts.iter().filter(|c| c.load(Ordering::Relaxed) >= round);
            assert_eq!(answered.count(), workers, "{most} {workers}, round {round}");
        }
    }
}
