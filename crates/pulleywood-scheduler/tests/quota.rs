//! Quotas: their sum never exceeds the limit, and a shrink comes before a growth.

mod common;

use common::*;
use pulleywood_protocol::ShardId;
use pulleywood_scheduler::quota::{QuotaNeed, QuotaStep, balance, initial_quotas, shrunk_record};
use std::collections::BTreeMap;

#[test]
fn a_quota_grows_only_after_another_was_shrunk() {
    let mut config = config();
    config.teams.get_mut("red").unwrap().limit = slots(0.0, 9.0);
    let record = initial_quotas(&config, 3);
    let mut records: BTreeMap<_, _> = (0..3).map(|p| (ShardId(p), record.clone())).collect();
    let sum = |records: &BTreeMap<ShardId, pulleywood_protocol::record::QuotaRecord>| -> f64 {
        records.values().map(|r| r.teams["red"].gpus.0).sum()
    };
    assert_eq!(sum(&records), 9.0);
    // Shard 0 needs 8 slots, shard 1 uses 2 of its 3, shard 2 is leaderless.
    let need = |used, wanted| {
        BTreeMap::from([(
            "red".to_owned(),
            QuotaNeed {
                used: slots(0.0, used),
                wanted: slots(0.0, wanted),
                stuck: false,
            },
        )])
    };
    let needs = BTreeMap::from([(ShardId(0), need(3.0, 5.0)), (ShardId(1), need(2.0, 0.0))]);
    let Some(QuotaStep::Shrink(shard, to)) = balance(&config, &records, &needs) else {
        panic!("a shrink comes first");
    };
    assert_eq!(
        shard,
        ShardId(1),
        "a leaderless shard's slots count as used"
    );
    let next = shrunk_record(
        &records[&shard],
        &to,
        &BTreeMap::from([("red".into(), slots(0.0, 2.0))]),
    );
    records.insert(shard, next.unwrap());
    assert_eq!(sum(&records), 8.0);
    let Some(QuotaStep::Grow(shard, record)) = balance(&config, &records, &needs) else {
        panic!("then the shard that lacks slots grows");
    };
    assert_eq!(shard, ShardId(0));
    records.insert(shard, record);
    assert_eq!(sum(&records), 9.0);
    assert_eq!(balance(&config, &records, &needs), None);
}

#[test]
fn a_quota_never_shrinks_below_use() {
    let mut config = config();
    config.teams.get_mut("red").unwrap().limit = slots(0.0, 9.0);
    let record = initial_quotas(&config, 1);
    let cases = [
        (2.0, 5.0, Some(5.0)),
        (7.0, 5.0, Some(7.0)),
        (9.0, 0.0, None),
    ];
    for (used, to, expected) in cases {
        let next = shrunk_record(
            &record,
            &BTreeMap::from([("red".into(), slots(0.0, to))]),
            &BTreeMap::from([("red".into(), slots(0.0, used))]),
        );
        assert_eq!(next.map(|r| r.teams["red"].gpus.0), expected);
    }
}

#[test]
fn teams_without_a_limit_need_no_quota() {
    assert!(initial_quotas(&config(), 3).teams.is_empty());
}

#[test]
fn quotas_smaller_than_a_task_are_gathered_in_one_shard() {
    // (limit, GPUs a task, shards). Each shard holds its share of the limit and has
    // tasks that wait, none of which fits within its quota.
    for (limit, gpus, shards) in [(1.0, 1.0, 3), (8.0, 4.0, 5), (7.0, 4.0, 3), (2.5, 2.0, 2)] {
        let mut config = config();
        config.teams.get_mut("red").unwrap().limit = slots(0.0, limit);
        let mut states: BTreeMap<ShardId, _> = BTreeMap::new();
        for p in 0..shards {
            let mut harness = ShardHarness::new(&["a"]);
            harness.config = config.clone();
            harness.state.quotas = initial_quotas(&config, shards);
            let mut job = spec(u64::from(p) + 1, 3);
            job.gpus.0 = gpus;
            harness.submit(job, false);
            states.insert(ShardId(p), harness);
        }
        let mut begun = 0;
        for _ in 0..20 {
            let mut needs = BTreeMap::new();
            for (p, harness) in &states {
                let digest = harness.state.digest(at(1.0), &harness.config);
                let of = |m: &BTreeMap<String, _>| m.get("red").copied().unwrap_or_default();
                let need = QuotaNeed {
                    used: of(&digest.used),
                    wanted: of(&digest.wanted),
                    stuck: digest.stuck.contains("red"),
                };
                needs.insert(*p, BTreeMap::from([("red".to_owned(), need)]));
            }
            let records: BTreeMap<_, _> = states
                .iter()
                .map(|(p, harness)| (*p, harness.state.quotas.clone()))
                .collect();
            match balance(&config, &records, &needs) {
                Some(QuotaStep::Grow(p, record)) => {
                    states.get_mut(&p).unwrap().state.quotas = record;
                }
                Some(QuotaStep::Shrink(p, to)) => {
                    let used = states[&p].state.usage_by_team(&config);
                    let next = shrunk_record(&records[&p], &to, &used);
                    states.get_mut(&p).unwrap().state.quotas = next.unwrap();
                }
                None => break,
            }
            let granted = states
                .values()
                .map(|harness| &harness.state.quotas.teams["red"]);
            let sum: f64 = granted.map(|s| s.gpus.0).sum();
            assert!(sum <= limit + 1e-6, "{sum} of {limit}");
            for harness in states.values_mut() {
                harness.state.invalidate_plan();
                let seq = harness.state.machines[&machine(0)].last_message.1 + 1;
                let heartbeat = harness.heartbeat(0, seq, vec![]);
                begun += launches(&harness.heartbeat_and_answer(&heartbeat, 1.0)).len();
            }
        }
        let most = (limit / gpus).floor() as usize;
        assert!(begun >= most, "{begun} of {most} began, limit {limit}");
    }
}

#[test]
fn limits_of_many_teams_over_many_shards_strand_nothing() {
    // Each team's work waits in one of the shards alone, for its whole limit. Then
    // all of it is granted there, in a number of steps that follows from the shards.
    for (shards, teams) in [(7, 8), (7, 1), (3, 2), (1, 4)] {
        let mut config = config();
        config.teams = (0..teams)
            .map(|n| {
                let mut team = config.teams["red"].clone();
                team.limit = slots(700.0, 0.0);
                (format!("t{n}"), team)
            })
            .collect();
        let record = initial_quotas(&config, shards);
        let mut records: BTreeMap<_, _> =
            (0..shards).map(|p| (ShardId(p), record.clone())).collect();
        let demanding_shard = |n: u32| ShardId(n % shards);
        let mut needs: BTreeMap<ShardId, BTreeMap<String, QuotaNeed>> =
            (0..shards).map(|p| (ShardId(p), BTreeMap::new())).collect();
        for n in 0..teams {
            for (shard, need) in &mut needs {
                let wanted = if *shard == demanding_shard(n) {
                    700.0
                } else {
                    0.0
                };
                let wants = QuotaNeed {
                    wanted: slots(wanted, 0.0),
                    ..QuotaNeed::default()
                };
                need.insert(format!("t{n}"), wants);
            }
        }
        let mut steps = 0;
        while let Some(step) = balance(&config, &records, &needs) {
            steps += 1;
            assert!(steps <= 3 * shards * teams, "{shards} {teams}");
            match step {
                QuotaStep::Grow(shard, record) => drop(records.insert(shard, record)),
                QuotaStep::Shrink(shard, to) => {
                    let next = shrunk_record(&records[&shard], &to, &BTreeMap::new());
                    records.insert(shard, next.unwrap());
                }
            }
            for n in 0..teams {
                let granted = records.values().map(|r| r.teams[&format!("t{n}")].cpus.0);
                assert!(granted.sum::<f64>() <= 700.0 + 1e-6, "{shards} {teams}");
            }
        }
        for n in 0..teams {
            let granted = records[&demanding_shard(n)].teams[&format!("t{n}")].cpus.0;
            assert!(granted > 700.0 - 1e-6, "{shards} {teams}: {granted}");
        }
    }
}
