//! Cancellations in virtual time while controllers are isolated from the store and their peers.

use pulleywood_testkit::history::Violation;
use pulleywood_testkit::virtual_cluster::{Confirmation, Outcome, VirtualCluster};

fn run(seed: u64, confirmation: Confirmation) -> Outcome {
    VirtualCluster::with_short_tasks(seed).run_cancellations(confirmation)
}

#[test]
fn isolated_leaders_start_nothing_after_a_confirmed_cancellation() {
    // Guards against launches after a confirmed cancellation by a leader that had not read it. The
    // example `cold_starts` runs thousands more.
    for seed in 0..60 {
        let outcome = run(seed, Confirmation::WithEvidence);
        assert_eq!(outcome.violations, [], "seed {seed}");
    }
}

#[test]
fn a_confirmation_without_evidence_is_noticed() {
    let started_when_cancelled = |seed| {
        let outcome = run(seed, Confirmation::AtCommit);
        let violations = outcome.violations.iter();
        violations
            .filter(|v| matches!(v, Violation::StartedWhenCancelled(_)))
            .count()
    };
    let violations: usize = (0..10).map(started_when_cancelled).sum();
    assert!(violations > 0);
}
