//! Records in the state service, and their keys.
//!
//! Each record is encoded as CBOR. Field names are those of the first release and never change
//! (see the serde renames). A reader ignores unknown fields, and uses defaults for fields that
//! an earlier release did not write.
//!
//! Final states of jobs are stored below `closed/`, all other records below `c/`. One watch
//! covers both prefixes; only `c/` is ever listed as a whole.

mod job;
mod key;
mod lease_holder;
mod machine;
mod quota;
mod singleton;
mod task_set;

pub use job::{ChunkRecord, FinalRecord, JobRecord, TaskTransfer};
pub use key::*;
pub use lease_holder::{LeaseHolder, PreviousLeaseHolder};
pub use machine::MachineRecord;
pub use quota::{QuotaRecord, Slots};
pub use singleton::{FencingTokenCounter, Layout};
pub use task_set::{TaskSet, chunk_tasks};
