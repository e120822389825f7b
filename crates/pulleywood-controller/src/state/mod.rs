//! In-memory state of one controller, shared by its threads.
//!
//! [`ControllerContext`] holds everything that the threads share. [`ControllerState`] is
//! the part behind its mutex, which is held for short sections only: it contains
//! [`CachedState`], a copy of the watched keys, and the [`LedShard`]s. Nothing in this
//! module does I/O. The queues between threads are defined here too, so that the modules
//! that fill them and those that drain them do not depend on each other.

mod cached_state;
mod context;
mod controller_state;
mod digests;
mod events;
mod final_states;
mod lease;
mod led_shard;
mod linearizable_reads;
mod live_jobs;
mod own_writes;
pub mod queues;
mod records;
mod suspension_requests;
mod versioned;

pub use cached_state::CachedState;
pub use context::ControllerContext;
pub use controller_state::{ControllerState, ReceivedDigest};
pub use final_states::FinalStateCache;
pub use lease::SessionLease;
pub use led_shard::{JobChange, LedShard};
pub use linearizable_reads::LinearizableReads;
pub use live_jobs::LiveJobs;
pub use records::{JobEntry, decode_job_batch, decode_machine_batch, decode_record, job_entry};
pub use suspension_requests::SuspensionRequests;
pub use versioned::Versioned;

#[cfg(test)]
mod tests;
