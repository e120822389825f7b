//! The client of the state service.

use pulleywood_protocol::Revision;
use pulleywood_protocol::cbor;
use pulleywood_protocol::store::{Event, Events};
use pulleywood_transport::server::{Handler, Limits, Request, Response, serve};
use pulleywood_transport::{Budget, RequestPriority, StoreClient, StoreError};
use std::time::Duration;

/// A store whose watch answers with one change of this many bytes.
struct LargeChange(usize);

impl Handler for LargeChange {
    fn handle(&self, _: &Request<'_>) -> Response {
        let change = Event {
            write: Some("c/job/0/j-1".into()),
            delete: None,
            value: Some(cbor::to_value(&"x".repeat(self.0))),
            revision: Revision(2),
        };
        let changes = Events {
            store_revision: 2,
            events: vec![change],
        };
        Response::cbor(200, &changes)
    }
}

/// Guards against a small controller that is ended for memory after a cut: it read up to 16 MiB of
/// changes, whatever memory it had.
#[test]
fn changes_that_a_small_controller_has_no_memory_for_are_not_read() {
    const MAX_CHANGES: usize = 1 << 20;
    for (bytes, is_read) in [(MAX_CHANGES / 2, true), (MAX_CHANGES + 1, false)] {
        let limits = Limits::thread_per_connection(4);
        let address = "127.0.0.1:0".parse().unwrap();
        let server = serve(address, limits, LargeChange(bytes)).unwrap();
        let store = StoreClient::new(server.address, Budget::new(100.0, 100.0, 1.0));
        let store = store.with_max_changes(MAX_CHANGES);
        let result = store.watch(RequestPriority::ShardLeader, "c/", 1, Duration::ZERO);
        match result {
            Ok(changes) => assert!(is_read && changes.events.len() == 1, "{bytes} bytes"),
            Err(StoreError::RevisionTooOld) => assert!(!is_read, "{bytes} bytes"),
            Err(e) => panic!("{bytes} bytes: {e}"),
        }
    }
}
