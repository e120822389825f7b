//! Fakes of the store, the cloud and the workers for tests. They are written from the definition
//! of the protocol and have faults that a test can switch on.
//!
//! - [`store`], [`cloud`], [`worker`], [`proxy`]: fakes in the test's process that real
//!   controllers reach over loopback;
//! - [`invariant_checker`]: records tasks as workers run them, and violated invariants,
//!   independently of the controllers;
//! - [`history`]: checks a complete history of task events;
//! - [`virtual_cluster`]: simulates a whole cluster in virtual time, without sockets or threads;
//! - [`samples`]: sample settings, jobs and records for tests of the scheduler's decisions.

pub mod cloud;
pub mod history;
pub mod invariant_checker;
pub mod proxy;
pub mod samples;
pub mod store;
pub mod virtual_cluster;
pub mod worker;

pub use cloud::FakeCloud;
pub use invariant_checker::InvariantChecker;
pub use proxy::CuttableProxy;
pub use store::{FakeStore, Fault, StoreEndpoint};

use std::net::SocketAddr;

/// The loopback address with port 0, for which the operating system chooses a free port.
fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The value of a query parameter, without percent-decoding; `None` if it is missing.
fn query<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
