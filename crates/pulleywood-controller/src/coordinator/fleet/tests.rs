//! Names of rental requests when the coordinator lease changes.

use super::*;
use pulleywood_protocol::{FencingToken, Revision};
use std::collections::BTreeSet;

#[test]
fn rental_request_names_are_never_reused() {
    // Consecutive holds of the coordinator lease: its fencing token, and the number of names
    // requested under it.
    let mut names = BTreeSet::new();
    let mut previous = None;
    for (fencing_token, count) in [(20, 3), (20, 2), (21, 1), (21, 0), (21, 2)] {
        let lease = CoordinatorLease {
            fencing_token: FencingToken(fencing_token),
            revision: Revision(fencing_token),
        };
        let mut fleet = Fleet::new(previous.take(), lease);
        for _ in 0..count {
            let name = fleet.next_request_name();
            assert!(
                names.insert(name.clone()),
                "name {name} was reused under fencing token {fencing_token}"
            );
        }
        previous = Some(fleet);
    }
}
