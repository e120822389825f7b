//! Wire formats of pulleywood: id types, the bodies of all HTTP interfaces, the messages
//! between controllers, the stored records and the settings.
//!
//! The crate does no I/O. Names on the wire follow the published protocol, by serde renames;
//! the code uses the standard terms of the field.

pub mod cbor;
pub mod cloud;
pub mod ids;
pub mod job;
pub mod job_batch;
pub mod machine_batch;
pub mod peer;
pub mod record;
pub mod settings;
pub mod store;
pub mod time;
pub mod worker;

pub use ids::{
    Attempt, FencingToken, JobId, LeaseId, MachineId, MemberId, Revision, ShardId, TaskId,
};
pub use job::{JobSpec, JobStatus, Rank, Shape};
pub use time::MonotonicTime;
