//! Blocking networking of pulleywood: an HTTP/1.1 server and client with deadlines, token
//! buckets that limit outgoing requests, typed clients of the state service, the cloud and the
//! workers, and remote calls between controllers.

pub mod budget;
pub mod client;
pub mod cloud;
pub mod peer;
pub mod server;
pub mod store;

pub use budget::{Budget, PollIntervals, RequestPriority};
pub use client::{Client, ClientError};
pub use cloud::CloudClient;
pub use store::{StoreClient, StoreError};
