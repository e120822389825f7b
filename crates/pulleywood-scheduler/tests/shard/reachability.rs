//! Tests of the detection of a leader that its workers cannot reach.

use crate::common::*;
use pulleywood_protocol::Revision;
use pulleywood_scheduler::shard::reachability::{Reachability, reachability};

#[test]
fn a_leader_is_unreachable_when_several_machines_are_overdue_and_none_sends_heartbeats() {
    // (case, machines, how many of them sent a heartbeat recently, seconds since the
    // others did, number of machines added recently, whether the leader is unreachable)
    let cases = [
        ("all machines send heartbeats", 4, 4, 0.0, 0, false),
        ("no heartbeat for three intervals", 4, 0, 3.5, 0, true),
        ("no heartbeat for one interval", 4, 0, 1.5, 0, false),
        ("one machine sends heartbeats", 4, 1, 5.0, 0, false),
        ("two machines may be gone", 2, 0, 5.0, 0, false),
        ("machines that are long gone", 4, 0, 60.0, 0, false),
        ("other machines were added recently", 4, 0, 3.5, 2, true),
        (
            "too few are overdue besides those added recently",
            2,
            0,
            3.5,
            2,
            false,
        ),
    ];
    for (name, machines, heard, silence_s, added, expected) in cases {
        let mut harness = ShardHarness::new(&vec!["a"; machines]);
        for index in 0..machines {
            let heartbeat = harness.heartbeat(index, 1, vec![]);
            harness.heartbeat_and_answer(&heartbeat, 1.0);
        }
        let now = 1.0 + silence_s;
        for index in 0..heard {
            let heartbeat = harness.heartbeat(index, 2, vec![]);
            harness.heartbeat_and_answer(&heartbeat, now);
        }
        for index in machines..machines + added {
            let record = harness.state.machines[&machine(0)].record.clone();
            harness
                .state
                .put_machine(&machine(index), record, Revision(7), false, at(now - 0.5));
        }
        assert_eq!(
            harness.state.is_unreachable(at(now), &harness.config),
            expected,
            "{name}"
        );
    }
}

#[test]
fn reachability_is_determined_from_all_shards_of_a_leader() {
    // A leader that no worker reaches must not acquire more shards. One that acquired a
    // shard of a partitioned zone is still reached by the workers of its other shards.
    // (seconds since the last heartbeat in each shard, expected reachability)
    let cases = [
        (&[0.5][..], Reachability::Reachable),
        (&[2.0], Reachability::Uncertain),
        (&[3.5], Reachability::Unreachable),
        (&[3.5, 0.5], Reachability::Reachable),
        (&[3.5, 2.0], Reachability::Unreachable),
        (&[3.5, 100.0], Reachability::Unreachable),
        (&[100.0], Reachability::Reachable),
        (&[], Reachability::Reachable),
    ];
    for (silences_s, expected) in cases {
        let shards = silences_s.iter().map(|silence_s| {
            let mut harness = ShardHarness::new(&["a"; 4]);
            for index in 0..4 {
                let heartbeat = harness.heartbeat(index, 1, vec![]);
                harness.heartbeat_and_answer(&heartbeat, 200.0 - silence_s);
            }
            harness.state
        });
        let shards: Vec<_> = shards.collect();
        let actual = reachability(shards.iter(), at(200.0), &config());
        assert_eq!(actual, expected, "{silences_s:?}");
    }
}
