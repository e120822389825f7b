//! The audit of the store, the repair of the fencing-token counter and the phases of a
//! shard's recovery.

mod common;

use common::*;
use pulleywood_protocol::job_batch::JobBatchRecord;
use pulleywood_protocol::record::{JobRecord, job_batch_key};
use pulleywood_protocol::store::Item;
use pulleywood_protocol::{FencingToken, JobId, MachineId, Revision, ShardId};
use pulleywood_recovery::audit::{Audit, AuditedState, Discrepancy};
use pulleywood_recovery::counter::{CounterDecision, ObservedToken, decide};
use pulleywood_recovery::progress::{Phase, RecoveryProgress};
use pulleywood_scheduler::shard::snapshot::ShardSnapshot;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// State of a controller that leads shard 0 of two.
#[derive(Default, Clone)]
struct LeaderState {
    revision: u64,
    jobs: BTreeSet<JobId>,
    cached_jobs: BTreeSet<JobId>,
    machines: BTreeSet<MachineId>,
    cached_machines: BTreeSet<MachineId>,
}

impl AuditedState for LeaderState {
    fn revision(&self) -> u64 {
        self.revision
    }
    fn shard_count(&self) -> u32 {
        SHARDS
    }
    fn has_loaded(&self, shard: ShardId) -> bool {
        shard == ShardId(0)
    }
    fn is_job_cached(&self, job: &JobId) -> bool {
        self.cached_jobs.contains(job)
    }
    fn shard_has_job(&self, _shard: ShardId, job: &JobId) -> bool {
        self.jobs.contains(job)
    }
    fn is_machine_cached(&self, machine: &MachineId) -> bool {
        self.cached_machines.contains(machine)
    }
    fn shard_has_machine(&self, _shard: ShardId, machine: &MachineId) -> bool {
        self.machines.contains(machine)
    }
}

/// The items of a store, ordered by key and read in slices.
struct Store {
    items: Vec<Item>,
    revision: u64,
}

impl Store {
    fn slice(&self, prefix: &str, after: &str, limit: usize) -> (Vec<Item>, bool) {
        let mut items: Vec<Item> = self
            .items
            .iter()
            .filter(|i| i.path.starts_with(prefix) && i.path.as_str() > after)
            .cloned()
            .collect();
        let more = items.len() > limit;
        items.truncate(limit);
        (items, more)
    }
}

/// Audits until the whole store has been compared twice. Returns the confirmed discrepancies and
/// the number of slices read. `after_read` runs after each read for which the cached state is
/// up to date.
fn audit_twice(
    store: &Store,
    state: &mut LeaderState,
    limit: usize,
    after_read: fn(&mut LeaderState),
) -> (Vec<Discrepancy>, u64) {
    let mut audit = Audit::default();
    let mut discrepancies = Vec::new();
    for _ in 0..1000 {
        if audit.counts().passes == 2 {
            break;
        }
        let Some(next) = audit.next_slice(state) else {
            // The watch brings the cached state up to date.
            state.revision = store.revision;
            after_read(state);
            continue;
        };
        let (items, more) = store.slice(next.prefix, &next.after, limit);
        let findings = audit.compare_slice(&items, more, store.revision, state);
        discrepancies.extend(findings.into_iter().map(|f| f.discrepancy));
        if state.revision >= store.revision {
            after_read(state);
        }
    }
    assert_eq!(audit.counts().passes, 2);
    discrepancies.sort();
    discrepancies.dedup();
    (discrepancies, audit.counts().slices)
}

fn store() -> Store {
    let mut items = base_items();
    for number in 1..=40 {
        items.push(job_item(&job_record(spec(number, 2))));
    }
    let batch = JobBatchRecord {
        jobs: (50..60).map(|n| job_record(spec(n, 1))).collect(),
        ..Default::default()
    };
    items.push(item(job_batch_key(3), &batch));
    for machine_batch in 0..10 {
        let machines: Vec<_> = (0..4)
            .map(|m| (machine_batch * 4 + m, machine(0)))
            .collect();
        items.push(machine_batch_item(machine_batch as u64, &machines));
    }
    items.sort_by(|a, b| a.path.cmp(&b.path));
    Store {
        items,
        revision: 90,
    }
}

fn complete_state() -> LeaderState {
    let jobs: BTreeSet<JobId> = (1..=40).chain(50..60).map(job_id).collect();
    let machines: BTreeSet<MachineId> = (0..40).map(machine_id).collect();
    LeaderState {
        revision: 90,
        cached_jobs: jobs.clone(),
        jobs,
        cached_machines: machines.clone(),
        machines,
    }
}

#[test]
fn a_complete_state_has_no_findings_at_any_slice_size() {
    for limit in [1, 3, 7, 1000] {
        let (discrepancies, slices) = audit_twice(&store(), &mut complete_state(), limit, |_| {});
        assert_eq!(discrepancies, [], "{limit}");
        let per_pass: usize = [40_usize, 1, 10].iter().map(|n| n.div_ceil(limit)).sum();
        assert_eq!(slices, 2 * per_pass as u64, "{limit}");
    }
}

#[test]
fn a_missing_record_is_found_at_any_slice_size() {
    type RemoveRecord = fn(&mut LeaderState);
    let cases: [(&str, RemoveRecord, &[Discrepancy]); 6] = [
        ("no record is missing", |_| {}, &[]),
        (
            "a job missing from its shard",
            |state| state.jobs.retain(|id| id != &job_id(17)),
            &[Discrepancy::JobNotInShard(ShardId(0), job_id(17))],
        ),
        (
            "a job stored only in its batch, missing from its shard",
            |state| state.jobs.retain(|id| id != &job_id(55)),
            &[Discrepancy::JobNotInShard(ShardId(0), job_id(55))],
        ),
        (
            "a job missing from the cached state, whose user would get 404",
            |state| state.cached_jobs.retain(|id| id != &job_id(3)),
            &[Discrepancy::JobNotCached(job_id(3))],
        ),
        (
            "a machine missing from its shard",
            |state| state.machines.retain(|id| id != &machine_id(22)),
            &[Discrepancy::MachineNotInShard(ShardId(0), machine_id(22))],
        ),
        (
            "a machine missing from the cached state",
            |state| state.cached_machines.retain(|id| id != &machine_id(39)),
            &[Discrepancy::MachineNotCached(machine_id(39))],
        ),
    ];
    for (name, remove_record, expected) in cases {
        for limit in [1, 4, 1000] {
            let mut state = complete_state();
            remove_record(&mut state);
            let (discrepancies, _) = audit_twice(&store(), &mut state, limit, |_| {});
            assert_eq!(discrepancies, expected, "{name}, {limit}");
        }
    }
}

#[test]
fn a_record_that_the_watch_delivers_between_the_reads_is_not_a_finding() {
    // The watch delivers the jobs between the two reads.
    let mut state = complete_state();
    state.revision = 80;
    state.jobs.remove(&job_id(17));
    state.cached_jobs.remove(&job_id(18));
    let deliver_jobs = |state: &mut LeaderState| {
        state.jobs.insert(job_id(17));
        state.cached_jobs.insert(job_id(18));
    };
    assert_eq!(audit_twice(&store(), &mut state, 4, deliver_jobs).0, []);
}

#[test]
fn the_second_read_waits_for_the_cached_state_and_ignores_changed_records() {
    let mut state = complete_state();
    state.revision = 80;
    state.jobs.remove(&job_id(17));
    let store = store();
    let mut audit = Audit::default();
    let read = |audit: &mut Audit, items: &[Item], state: &LeaderState| {
        audit.next_slice(state).unwrap();
        audit
            .compare_slice(items, false, store.revision, state)
            .len()
    };
    // The job batch is read first, then the jobs' own records.
    let (batch, _) = store.slice("c/pack/", "", 100);
    assert_eq!(read(&mut audit, &batch, &state), 0);
    let (mut items, _) = store.slice("c/job/", "", 100);
    assert_eq!(read(&mut audit, &items, &state), 0);
    assert_eq!(
        audit.next_slice(&state),
        None,
        "the cached state is older than the first read"
    );
    state.revision = 90;
    assert!(audit.next_slice(&state).unwrap().is_second_read);
    // A record that changed between the two reads is not a finding.
    for item in &mut items {
        item.revision = Revision(89);
    }
    assert_eq!(read(&mut audit, &items, &state), 0);
}

#[test]
fn records_of_unknown_shards_are_reported_and_not_repaired() {
    let misplaced = JobRecord {
        shard: ShardId(7),
        ..job_record(spec(90, 1))
    };
    let mut store = store();
    store.items.push(job_item(&misplaced));
    store
        .items
        .push(machine_batch_item(77, &[(90, machine(7))]));
    let mut state = complete_state();
    state.cached_jobs.insert(job_id(90));
    state.cached_machines.insert(machine_id(90));
    let (discrepancies, _) = audit_twice(&store, &mut state, 50, |_| {});
    assert_eq!(
        discrepancies,
        [
            Discrepancy::JobInUnknownShard(ShardId(7), job_id(90)),
            Discrepancy::MachineInUnknownShard(ShardId(7), machine_id(90)),
        ]
    );
    assert!(discrepancies.iter().all(|f| !f.is_repairable()));
}

#[test]
fn the_counter_is_raised_to_the_highest_plausible_observed_token() {
    let raise = |to| CounterDecision::Raise {
        to: FencingToken(to),
        machine: machine_id(1),
    };
    let implausible = |fencing_token| CounterDecision::Implausible {
        fencing_token: FencingToken(fencing_token),
        machine: machine_id(1),
    };
    // (observed fencing tokens with the second in which their heartbeat arrived, the counter,
    // the second in which its read began, the maximum gap, decision)
    type Case<'a> = (&'a [(u64, u64)], u64, u64, u64, CounterDecision);
    let cases: [Case<'_>; 9] = [
        (&[], 10, 50, 100, CounterDecision::Sufficient),
        (&[(10, 1)], 10, 50, 100, CounterDecision::Sufficient),
        (&[(11, 1)], 10, 50, 100, raise(11)),
        // The counter may have been raised between the heartbeat and the read.
        (&[(11, 50)], 10, 50, 100, CounterDecision::Sufficient),
        (&[(110, 1)], 10, 50, 100, raise(110)),
        (&[(111, 1)], 10, 50, 100, implausible(111)),
        // One implausible token does not prevent a plausible raise.
        (&[(60, 1), (9_999, 1)], 10, 50, 100, raise(60)),
        // Attempts cannot be issued under a token after the last one.
        (
            &[(FencingToken::LAST.0, 1)],
            10,
            50,
            u64::MAX,
            implausible(FencingToken::LAST.0),
        ),
        (&[(u64::MAX, 1)], 10, 50, u64::MAX, implausible(u64::MAX)),
    ];
    for (fencing_tokens, counter, began, gap, decision) in cases {
        let numbered = fencing_tokens.iter().enumerate();
        let observed: BTreeMap<MachineId, ObservedToken> = numbered
            .map(|(index, (fencing_token, second))| {
                let token = ObservedToken {
                    fencing_token: FencingToken(*fencing_token),
                    received_at: at(*second),
                };
                (machine_id(index + 1), token)
            })
            .collect();
        let decided = decide(&observed, FencingToken(counter), at(began), gap);
        let same_kind = match (&decided, &decision) {
            (CounterDecision::Raise { to: a, .. }, CounterDecision::Raise { to: b, .. }) => a == b,
            (a, b) => a == b,
        };
        assert!(same_kind, "{fencing_tokens:?} {counter} {gap}: {decided:?}");
    }
}

#[test]
fn phases_follow_from_the_snapshot_and_shards_recover_independently() {
    // (unreported machines, blocked, waiting, stopping and uncommitted tasks, phase)
    let cases = [
        (0, 0, 0, 0, 0, Phase::Complete),
        (2, 0, 0, 0, 0, Phase::Hear),
        (2, 0, 5, 0, 0, Phase::Hear),
        (2, 3, 5, 0, 0, Phase::Decide),
        (0, 0, 5, 0, 0, Phase::Act),
        (0, 0, 0, 1, 0, Phase::Act),
        (0, 0, 0, 0, 1, Phase::Act),
    ];
    for (unreported, blocked, waiting, stopping, uncommitted, phase) in cases {
        let snapshot = ShardSnapshot {
            unreported,
            inherited_blocked: blocked,
            inherited_waiting: waiting,
            stopping,
            uncommitted,
            ..ShardSnapshot::default()
        };
        assert_eq!(Phase::of(Some(&snapshot)), phase);
    }
    assert_eq!(Phase::of(None), Phase::Read);

    let (blocked, healthy) = (ShardId(0), ShardId(1));
    let mut progress = RecoveryProgress::default();
    let steps = [
        (blocked, 3, Phase::Read, 0, Some((None, 0, 0))),
        (healthy, 4, Phase::Read, 0, Some((None, 0, 0))),
        (blocked, 3, Phase::Read, 1, None),
        (healthy, 4, Phase::Hear, 2, Some((Some(Phase::Read), 2, 2))),
        (
            blocked,
            3,
            Phase::Decide,
            3,
            Some((Some(Phase::Read), 3, 3)),
        ),
        (
            healthy,
            4,
            Phase::Complete,
            5,
            Some((Some(Phase::Hear), 3, 5)),
        ),
        // Launches after completion are normal operation.
        (healthy, 4, Phase::Act, 9, None),
        (blocked, 3, Phase::Decide, 30, None),
        // Recovery starts again when the shard is acquired again.
        (healthy, 8, Phase::Read, 40, Some((None, 0, 0))),
    ];
    for (shard, fencing_token, phase, second, expected) in steps {
        let transition = progress.update(shard, FencingToken(fencing_token), phase, at(second));
        let seconds = |d: Duration| d.as_secs();
        let transition = transition.map(|t| {
            (
                t.from,
                seconds(t.previous_duration),
                seconds(t.since_acquired),
            )
        });
        assert_eq!(transition, expected, "shard {shard} at {second} s");
    }
    assert_eq!(progress.recovering_since(blocked), Some(at(0)));
    progress.retain_led(|shard| shard == healthy);
    assert_eq!(progress.recovering_since(blocked), None);
}
