//! The machine list, read page by page within the cloud's rate.

use pulleywood_protocol::MachineId;
use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::cloud::{Rental, RentalPage, RentalStatus};
use pulleywood_transport::cloud::{CloudError, RentalListing};
use pulleywood_transport::server::{Handler, Limits, Request, Response, serve};
use pulleywood_transport::{Budget, CloudClient};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// A cloud that lists `machines` machines in pages and counts requests.
struct PagedCloud {
    machines: usize,
    requests: Arc<AtomicUsize>,
}

fn name(n: usize) -> String {
    format!("vm-{n:06}")
}

impl Handler for PagedCloud {
    fn handle(&self, request: &Request<'_>) -> Response {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let field = |key: &str| {
            let mut pairs = request.query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(k, _)| *k == key).map(|(_, v)| v)
        };
        let from = field("from").unwrap_or("");
        let page: usize = field("page").unwrap().parse().unwrap();
        let after = (0..self.machines).filter(|n| name(*n).as_str() > from);
        let machines: Vec<Rental> = after
            .take(page)
            .map(|n| Rental {
                machine: MachineId::from(name(n).as_str()),
                endpoint: None,
                flavor: "g4".into(),
                zone: "a".into(),
                spot: false,
                status: RentalStatus::Running,
                age_s: Amount(9.0),
            })
            .collect();
        let last = machines.last().map(|r| r.machine.to_string());
        let more = last.is_some_and(|l| l != name(self.machines - 1));
        Response::cbor(200, &RentalPage { machines, more })
    }
}

#[test]
fn a_list_longer_than_a_burst_of_requests_is_read_in_several_rounds() {
    // A round that runs out of tokens must not start again with the first page: a long list
    // would never be complete.
    // (machines, requests that a burst holds, whether one round is enough)
    let cases = [
        (0, 4, true),
        (500, 4, true),
        (1000, 4, true),
        (4000, 4, false),
        (6000, 4, false),
        (6000, 40, true),
    ];
    for (machines, burst, at_once) in cases {
        let requests = Arc::new(AtomicUsize::new(0));
        let cloud = PagedCloud {
            machines,
            requests: Arc::clone(&requests),
        };
        let server = serve(
            ([127, 0, 0, 1], 0).into(),
            Limits::thread_per_connection(4),
            cloud,
        )
        .unwrap();
        let rate = 50.0;
        let budget = || Budget::new(rate, 0.0, f64::from(burst) / rate);
        let client = CloudClient::new(server.address, budget(), budget());
        let mut listing = RentalListing::default();
        let mut rounds = 0;
        let list = loop {
            rounds += 1;
            match client.read_rentals(&mut listing) {
                Ok(Some(list)) => break list,
                Ok(None) | Err(CloudError::Budget) => {}
                Err(error) => panic!("{error}"),
            }
            assert!(rounds < 10_000, "{machines}");
            std::thread::sleep(Duration::from_millis(5));
        };
        assert_eq!(list.len(), machines);
        let in_order = (0..machines).all(|n| *list[n].machine.0 == *name(n));
        assert!(in_order, "{machines}");
        assert_eq!(rounds == 1, at_once, "{machines}, {burst}");
        // No page is read twice.
        let pages = machines.div_ceil(500).max(1);
        assert_eq!(requests.load(Ordering::Relaxed), pages, "{machines}");
    }
}
