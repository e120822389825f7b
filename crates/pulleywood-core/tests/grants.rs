//! Grants: the sum never passes the limit, shrink comes before grow.

mod common;

use common::*;
use pulleywood_core::grants::{Need, Step, balance, first, shrunk};
use pulleywood_wire::PartId;
use std::collections::BTreeMap;

#[test]
fn a_part_grows_only_by_what_another_gave_up() {
    let mut config = config();
    config.teams.get_mut("red").unwrap().limit = slots(0.0, 9.0);
    let record = first(&config, 3);
    let mut records: BTreeMap<_, _> = (0..3).map(|p| (PartId(p), record.clone())).collect();
    let sum = |records: &BTreeMap<PartId, pulleywood_wire::record::GrantRecord>| -> f64 {
        records.values().map(|r| r.teams["red"].gpus.0).sum()
    };
    assert_eq!(sum(&records), 9.0);
    // Part 0 needs 8 slots, part 1 uses 2 of its 3, part 2 is unowned.
    let need = |used, wanted| {
        BTreeMap::from([(
            "red".to_owned(),
            Need {
                used: slots(0.0, used),
                wanted: slots(0.0, wanted),
            },
        )])
    };
    let needs = BTreeMap::from([(PartId(0), need(3.0, 5.0)), (PartId(1), need(2.0, 0.0))]);
    let Some(Step::Shrink(part, to)) = balance(&config, &records, &needs) else {
        panic!("a shrink comes first");
    };
    assert_eq!(part, PartId(1), "an unowned part's slots count as used");
    let next = shrunk(
        &records[&part],
        &to,
        &BTreeMap::from([("red".into(), slots(0.0, 2.0))]),
    );
    records.insert(part, next.unwrap());
    assert_eq!(sum(&records), 8.0);
    let Some(Step::Grow(part, record)) = balance(&config, &records, &needs) else {
        panic!("then the needy part grows");
    };
    assert_eq!(part, PartId(0));
    records.insert(part, record);
    assert_eq!(sum(&records), 9.0);
    assert_eq!(balance(&config, &records, &needs), None);
}

#[test]
fn a_shrink_never_goes_below_use() {
    let mut config = config();
    config.teams.get_mut("red").unwrap().limit = slots(0.0, 9.0);
    let record = first(&config, 1);
    let cases = [
        (2.0, 5.0, Some(5.0)),
        (7.0, 5.0, Some(7.0)),
        (9.0, 0.0, None),
    ];
    for (used, to, expected) in cases {
        let next = shrunk(
            &record,
            &BTreeMap::from([("red".into(), slots(0.0, to))]),
            &BTreeMap::from([("red".into(), slots(0.0, used))]),
        );
        assert_eq!(next.map(|r| r.teams["red"].gpus.0), expected);
    }
}

#[test]
fn teams_without_a_limit_need_no_grant() {
    assert!(first(&config(), 3).teams.is_empty());
}
