//! Repairs of jobs by the audit.

use super::*;
use pulleywood_transport::StoreClient;

#[test]
fn a_job_that_the_audit_loaded_is_not_launched_before_its_record_was_read_again() {
    // Guards against launches of a job that was cancelled before the audit brought it back.
    let read = StoreClient::max_get_duration(RequestPriority::ShardLeader);
    assert!(LAUNCH_SUSPENSION > read, "{LAUNCH_SUSPENSION:?}, {read:?}");
}
