//! The session lease, which this controller's leadership keys in the store are attached to.

use pulleywood_protocol::{LeaseId, MonotonicTime};

/// The session lease of this controller, as last granted or renewed.
#[derive(Debug, Clone, Copy, Default)]
pub struct SessionLease {
    /// Id of the lease; `None` until one is granted and after it has expired.
    pub lease_id: Option<LeaseId>,
    /// When the request of the last successful grant or renewal was sent.
    pub renewed_at: MonotonicTime,
}
