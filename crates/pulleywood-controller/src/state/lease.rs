//! The lease that this controller's keys in the store are attached to.

use pulleywood_protocol::{LeaseId, MonotonicTime};

/// The session lease of this controller, as far as it knows.
#[derive(Debug, Clone, Copy, Default)]
pub struct SessionLease {
    /// Its id, once granted.
    pub lease_id: Option<LeaseId>,
    /// When the last successful renewal was sent.
    pub renewed_at: MonotonicTime,
}
