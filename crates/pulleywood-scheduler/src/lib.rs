//! Scheduling decisions of pulleywood, as pure functions of what a controller knows.
//!
//! - [`shard`]: the state of one shard, its jobs and machines, and how heartbeats
//!   change it.
//! - [`placement`]: which waiting task goes to which machine of a shard, and which
//!   tasks are preempted for it.
//! - [`fleet`]: which machines are rented, moved between shards and released.
//! - [`launch_validity`]: how long a leader may launch on what it has read, and when a
//!   cancellation may be confirmed.
//! - [`quota`]: how teams' limits are divided among shards.
//! - [`admission`]: whether a new job is accepted, by the memory that live jobs take.
//! - [`shard_selection`]: which shard runs a new job.
//!
//! The crate performs no I/O, reads no clock, starts no threads and draws no random
//! numbers. Times are passed in, so that every rule can be covered by table-driven
//! tests.

pub mod admission;
pub mod config;
pub mod fleet;
pub mod launch_validity;
pub mod machine_types;
pub mod placement;
pub mod quota;
pub mod resources;
pub mod shard;
pub mod shard_selection;

pub use config::Config;
pub use resources::ResourceVector;
pub use shard::ShardState;
