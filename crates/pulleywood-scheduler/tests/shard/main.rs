//! Tests of the invariants of a shard's state.

#[path = "../common/mod.rs"]
mod common;

mod done_batches;
mod failover;
mod heartbeats;
mod launches;
mod reachability;
