//! Tests of quotas: their sum never exceeds the limit, and a quota shrinks before
//! another one grows.

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
    let mut records: BTreeMap<_, _> = (0..3)
        .map(|number| (ShardId(number), record.clone()))
        .collect();
    let sum = |records: &BTreeMap<ShardId, pulleywood_protocol::record::QuotaRecord>| -> f64 {
        records.values().map(|r| r.teams["red"].gpus.0).sum()
    };
    assert_eq!(sum(&records), 9.0);
    // Shard 0 needs 8 slots, shard 1 uses 2 of its 3, and shard 2 has no leader.
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
        panic!("expected a shrink of the other shard's quota first");
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
        panic!("expected growth of the shard with a shortfall");
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
fn quotas_smaller_than_a_task_are_collected_in_one_shard() {
    // (limit, GPUs per task, shards). Each shard holds an equal part of the limit and
    // has waiting tasks, none of which fits into its quota.
    for (limit, gpus, shards) in [(1.0, 1.0, 3), (8.0, 4.0, 5), (7.0, 4.0, 3), (2.5, 2.0, 2)] {
        let mut config = config();
        config.teams.get_mut("red").unwrap().limit = slots(0.0, limit);
        let mut states: BTreeMap<ShardId, _> = BTreeMap::new();
        for shard in 0..shards {
            let mut harness = ShardHarness::new(&["a"]);
            harness.config = config.clone();
            harness.state.quotas = initial_quotas(&config, shards);
            let mut job = spec(u64::from(shard) + 1, 3);
            job.gpus.0 = gpus;
            harness.submit(job, false);
            states.insert(ShardId(shard), harness);
        }
        let mut started = 0;
        for _ in 0..20 {
            let mut needs = BTreeMap::new();
            for (shard, harness) in &states {
                let digest = harness.state.digest(at(1.0), &harness.config);
                let red_slots = |m: &BTreeMap<String, _>| m.get("red").copied().unwrap_or_default();
                let need = QuotaNeed {
                    used: red_slots(&digest.used),
                    wanted: red_slots(&digest.wanted),
                    stuck: digest.quota_blocked_teams.contains("red"),
                };
                needs.insert(*shard, BTreeMap::from([("red".to_owned(), need)]));
            }
            let records: BTreeMap<_, _> = states
                .iter()
                .map(|(shard, harness)| (*shard, harness.state.quotas.clone()))
                .collect();
            match balance(&config, &records, &needs) {
                Some(QuotaStep::Grow(shard, record)) => {
                    states.get_mut(&shard).unwrap().state.quotas = record;
                }
                Some(QuotaStep::Shrink(shard, to)) => {
                    let used = states[&shard].state.usage_by_team(&config);
                    let next = shrunk_record(&records[&shard], &to, &used);
                    states.get_mut(&shard).unwrap().state.quotas = next.unwrap();
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
                started += launches(&harness.heartbeat_and_answer(&heartbeat, 1.0)).len();
            }
        }
        let min_started = (limit / gpus).floor() as usize;
        assert!(
            started >= min_started,
            "{started} of {min_started} tasks started, limit {limit}"
        );
    }
}

#[test]
fn limits_of_many_teams_over_many_shards_are_granted_in_full() {
    // (shards, teams). All waiting work of a team is in one shard and needs the team's
    // whole limit. In the end that shard must hold all of it, after a number of steps
    // bounded by the number of shards and teams.
    for (shards, teams) in [(7, 8), (7, 1), (3, 2), (1, 4)] {
        let mut config = config();
        config.teams = (0..teams)
            .map(|number| {
                let mut team = config.teams["red"].clone();
                team.limit = slots(700.0, 0.0);
                (format!("t{number}"), team)
            })
            .collect();
        let record = initial_quotas(&config, shards);
        let mut records: BTreeMap<_, _> = (0..shards)
            .map(|number| (ShardId(number), record.clone()))
            .collect();
        let demanding_shard = |team: u32| ShardId(team % shards);
        let mut needs: BTreeMap<ShardId, BTreeMap<String, QuotaNeed>> = (0..shards)
            .map(|number| (ShardId(number), BTreeMap::new()))
            .collect();
        for team in 0..teams {
            for (shard, need) in &mut needs {
                let wanted = if *shard == demanding_shard(team) {
                    700.0
                } else {
                    0.0
                };
                let wants = QuotaNeed {
                    wanted: slots(wanted, 0.0),
                    ..QuotaNeed::default()
                };
                need.insert(format!("t{team}"), wants);
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
            for team in 0..teams {
                let granted = records
                    .values()
                    .map(|r| r.teams[&format!("t{team}")].cpus.0);
                assert!(granted.sum::<f64>() <= 700.0 + 1e-6, "{shards} {teams}");
            }
        }
        for team in 0..teams {
            let granted = records[&demanding_shard(team)].teams[&format!("t{team}")]
                .cpus
                .0;
            assert!(granted > 700.0 - 1e-6, "{shards} {teams}: {granted}");
        }
    }
}
