//! Recovery after a cold start, in which every controller was down, and the continuous audit
//! of stored records against the shard leaders' state.
//!
//! The crate does no I/O. Callers pass in stored records, workers' heartbeats, the cloud's
//! machine list and the time, and get classes and actions back. `pulleywood inspect` prints
//! them; the controller applies the results of the audit, the counter repair and the fetch
//! gate.
//!
//! - [`evidence`]: the inputs of a reconciliation;
//! - [`mod@reconcile`]: assigns a class and an action to each machine and each reported task;
//! - [`machine_class`], [`task_class`]: the classes and actions;
//! - [`commands`]: the resulting commands, in the order in which they are sent;
//! - [`progress`]: the phase of each shard's recovery;
//! - [`fetch_gate`]: priority of services' image fetches during recovery;
//! - [`audit`]: compares the store, slice by slice, with the controller's state;
//! - [`counter`]: repair of a fencing-token counter that is behind the workers;
//! - [`policy`]: settings of the recovery subsystem;
//! - [`report`]: the report of `pulleywood inspect` as text and JSON.

pub mod audit;
pub mod commands;
pub mod counter;
pub mod evidence;
pub mod fetch_gate;
pub mod machine_class;
pub mod policy;
pub mod progress;
pub mod reconcile;
pub mod report;
pub mod task_class;

pub use evidence::{CloudEvidence, Evidence, StoredState};
pub use policy::RecoveryPolicy;
pub use reconcile::{Reconciliation, reconcile};
