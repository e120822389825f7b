//! Leadership of shards: deciding the next step, acquiring a shard, loading it, announcing
//! its fencing token to machines and handing it over, and the records that a leader writes.

mod acquire;
mod announce;
pub mod done_batches;
pub mod hand_over;
mod launch_waits;
mod layout;
pub mod leader_requests;
pub mod leadership;
mod load;
mod quota;
mod reconciled;
pub mod registration;
mod release_machines;
mod step;
mod transfers;

/// Outcome of a request to the leader of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestOutcome {
    /// The request was carried out.
    Accepted,
    /// The request was not carried out, or not in full.
    Refused,
}
