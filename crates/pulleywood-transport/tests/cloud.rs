//! The list of rented machines, read page by page within the cloud's rate limit.

use pulleywood_protocol::MachineId;
use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::cloud::{Rental, RentalPage, RentalStatus};
use pulleywood_transport::cloud::{CloudError, RentalListing};
use pulleywood_transport::server::{Handler, Limits, Request, Response, serve};
use pulleywood_transport::{Budget, CloudClient};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// A cloud that lists its machines in pages and counts the requests.
struct PagedCloud {
    machine_count: usize,
    requests: Arc<AtomicUsize>,
}

fn machine_name(index: usize) -> String {
    format!("vm-{index:06}")
}

impl Handler for PagedCloud {
    fn handle(&self, request: &Request<'_>) -> Response {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let parameter = |name: &str| {
            let mut pairs = request.query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let from = parameter("from").unwrap_or("");
        let page_size: usize = parameter("page").unwrap().parse().unwrap();
        let after = (0..self.machine_count).filter(|n| machine_name(*n).as_str() > from);
        let machines: Vec<Rental> = after
            .take(page_size)
            .map(|n| Rental {
                machine: MachineId::from(machine_name(n).as_str()),
                endpoint: None,
                flavor: "g4".into(),
                zone: "a".into(),
                spot: false,
                status: RentalStatus::Running,
                age_s: Amount(9.0),
            })
            .collect();
        let last = machines.last().map(|rental| rental.machine.to_string());
        let more = last.is_some_and(|name| name != machine_name(self.machine_count - 1));
        Response::cbor(200, &RentalPage { machines, more })
    }
}

#[test]
fn a_list_with_more_pages_than_a_burst_has_tokens_is_read_in_several_calls() {
    // Guards against a long list that is never complete, because each call that runs out of
    // tokens starts again at the first page.
    // (machines, requests that a burst allows, whether one call is enough)
    let cases = [
        (0, 4, true),
        (500, 4, true),
        (1000, 4, true),
        (4000, 4, false),
        (6000, 4, false),
        (6000, 40, true),
    ];
    for (machine_count, burst, in_one_call) in cases {
        let requests = Arc::new(AtomicUsize::new(0));
        let cloud = PagedCloud {
            machine_count,
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
        let mut calls = 0;
        let rentals = loop {
            calls += 1;
            match client.read_rentals(&mut listing) {
                Ok(Some(rentals)) => break rentals,
                Ok(None) | Err(CloudError::Budget) => {}
                Err(error) => panic!("{error}"),
            }
            assert!(calls < 10_000, "{machine_count} machines");
            std::thread::sleep(Duration::from_millis(5));
        };
        assert_eq!(rentals.len(), machine_count);
        let in_order = (0..machine_count).all(|n| *rentals[n].machine.0 == *machine_name(n));
        assert!(in_order, "{machine_count} machines");
        assert_eq!(
            calls == 1,
            in_one_call,
            "{machine_count} machines, burst of {burst}"
        );
        // No page is read twice.
        let pages = machine_count.div_ceil(500).max(1);
        assert_eq!(
            requests.load(Ordering::Relaxed),
            pages,
            "{machine_count} machines"
        );
    }
}
