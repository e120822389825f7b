//! The controller of the pulleywood cluster scheduler.
//!
//! Each controller leads shards of the jobs and machines, under a lease of the state service
//! with a fencing token. [`Controller::start`] starts one in this process; the binary
//! `pulleywood` runs it as a daemon.

mod api;
mod batch_queue;
mod bounded_parallelism;
mod clock;
mod controller;
mod coordinator;
mod fencing_token;
pub mod inspect;
mod peers;
pub mod policy;
mod recovery;
mod session_lease;
pub mod settings;
mod shard;
mod state;
mod watch;

pub use controller::{Controller, StartError};
