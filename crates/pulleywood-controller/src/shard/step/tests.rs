//! Tests of the next leadership step in each situation.

use super::*;

const LEASE: LeaseId = LeaseId(9);

/// A cluster of three controllers, each of which is fit and leads one of three shards, as
/// the first controller sees it.
fn snapshot() -> LeadershipSnapshot {
    let member = |index| MemberStatus {
        is_this_controller: index == 0,
        fit: index != 0,
        idle: false,
    };
    let shard = |number| ShardStatus {
        shard: ShardId(number),
        holder: match number {
            0 => KeyHolder::ThisProcess(Revision(40)),
            _ => KeyHolder::Another,
        },
        is_led_here: number == 0,
    };
    LeadershipSnapshot {
        lease_id: LEASE,
        members: (0..3).map(member).collect(),
        shards: (0..3).map(shard).collect(),
        led_shards: vec![led_shard(0)],
        reachability: Reachability::Reachable,
        in_backoff: false,
    }
}

fn led_shard(shard: u32) -> LedShardStatus {
    LedShardStatus {
        shard: ShardId(shard),
        is_stable: true,
        reconciliation_unrecorded: false,
    }
}

fn make_vacant(snapshot: &mut LeadershipSnapshot, shard: usize, millis: u64) {
    snapshot.shards[shard].holder = KeyHolder::Nobody(Duration::from_millis(millis));
    snapshot.shards[shard].is_led_here = false;
    snapshot
        .led_shards
        .retain(|led| led.shard.0 as usize != shard);
}

fn make_led_here(snapshot: &mut LeadershipSnapshot, shard: usize) {
    snapshot.shards[shard].holder = KeyHolder::ThisProcess(Revision(50));
    snapshot.shards[shard].is_led_here = true;
    snapshot.led_shards.push(led_shard(shard as u32));
}

type Change = fn(&mut LeadershipSnapshot);

fn assert_next_steps(cases: &[(&str, Change, LeadershipStep)]) {
    for (name, change, expected) in cases {
        let mut snapshot = snapshot();
        change(&mut snapshot);
        assert_eq!(snapshot.next_step(), *expected, "{name}");
    }
}

fn acquire(shard: u32) -> LeadershipStep {
    LeadershipStep::Acquire(ShardId(shard), LEASE)
}

#[test]
fn no_step_is_taken_while_every_shard_has_a_leader() {
    assert_next_steps(&[("steady", |_| {}, LeadershipStep::Wait)]);
}

#[test]
fn a_vacant_shard_is_left_to_a_better_suited_controller_for_the_grace_period() {
    let wait = LeadershipStep::Wait;
    assert_next_steps(&[
        (
            "leads none, the vacant shard prefers it",
            |s| make_vacant(s, 0, 0),
            acquire(0),
        ),
        (
            "leads none, two vacant shards, the first prefers it",
            |s| {
                make_vacant(s, 0, 0);
                make_vacant(s, 1, 5000);
            },
            acquire(0),
        ),
        (
            "leads none, the shard prefers another, within half the grace period",
            |s| {
                make_vacant(s, 0, 0);
                s.shards[0].holder = KeyHolder::Another;
                make_vacant(s, 1, 400);
            },
            wait,
        ),
        (
            "leads none, the shard prefers another, after half the grace period",
            |s| {
                make_vacant(s, 0, 0);
                s.shards[0].holder = KeyHolder::Another;
                make_vacant(s, 1, 401);
            },
            acquire(1),
        ),
        (
            "leads none, the preferred leader is idle too",
            |s| {
                make_vacant(s, 0, 0);
                s.shards[0].holder = KeyHolder::Another;
                make_vacant(s, 1, 5000);
                s.members[1].idle = true;
            },
            wait,
        ),
        (
            "leads another, the shard prefers it, within half the grace period",
            |s| {
                make_vacant(s, 0, 400);
                make_led_here(s, 1);
            },
            wait,
        ),
        (
            "leads another, the shard prefers it, after half the grace period",
            |s| {
                make_vacant(s, 0, 401);
                make_led_here(s, 1);
            },
            acquire(0),
        ),
        (
            "leads another, within the grace period",
            |s| make_vacant(s, 1, 800),
            wait,
        ),
        (
            "leads another, after the grace period",
            |s| make_vacant(s, 1, 801),
            acquire(1),
        ),
        (
            "leads another, a third controller is idle",
            |s| {
                make_vacant(s, 1, 801);
                s.members[2].idle = true;
            },
            wait,
        ),
        (
            "reachability is uncertain, another controller is fit",
            |s| {
                make_vacant(s, 1, 5000);
                s.reachability = Reachability::Uncertain;
            },
            wait,
        ),
        (
            "reachability is uncertain, no other controller is fit",
            |s| {
                make_vacant(s, 1, 5000);
                s.reachability = Reachability::Uncertain;
                s.members.iter_mut().for_each(|member| member.fit = false);
            },
            acquire(1),
        ),
        (
            "in back-off",
            |s| {
                make_vacant(s, 0, 5000);
                s.in_backoff = true;
            },
            wait,
        ),
    ]);
}

#[test]
fn an_unreachable_leader_gives_up_its_shard_if_another_controller_is_fit() {
    let give_up = LeadershipStep::GiveUp(ShardId(0));
    assert_next_steps(&[
        (
            "another controller is fit",
            |s| s.reachability = Reachability::Unreachable,
            give_up,
        ),
        (
            "another controller is fit, in back-off",
            |s| {
                s.reachability = Reachability::Unreachable;
                s.in_backoff = true;
            },
            give_up,
        ),
        (
            "no other controller is fit",
            |s| {
                s.reachability = Reachability::Unreachable;
                s.members.iter_mut().for_each(|member| member.fit = false);
            },
            LeadershipStep::Wait,
        ),
        (
            "the shard is being handed over already",
            |s| {
                s.reachability = Reachability::Unreachable;
                s.led_shards[0].is_stable = false;
            },
            LeadershipStep::Wait,
        ),
    ]);
}

#[test]
fn a_stray_key_is_released_before_anything_is_acquired() {
    assert_next_steps(&[(
        "this process holds the key of a shard that it does not lead",
        |s| {
            make_vacant(s, 1, 5000);
            s.shards[2].holder = KeyHolder::ThisProcess(Revision(77));
        },
        LeadershipStep::ReleaseStrayKey(ShardId(2), Revision(77)),
    )]);
}

#[test]
fn one_of_several_led_shards_is_handed_over_to_an_idle_controller() {
    assert_next_steps(&[
        (
            "one shard prefers the idle controller",
            |s| {
                make_led_here(s, 1);
                make_led_here(s, 2);
                s.members[2].idle = true;
            },
            LeadershipStep::HandOver(ShardId(2)),
        ),
        (
            "no shard prefers the idle controller, one does not prefer this controller",
            |s| {
                make_led_here(s, 1);
                s.members[2].idle = true;
            },
            LeadershipStep::HandOver(ShardId(1)),
        ),
        (
            "a shard is being handed over already",
            |s| {
                make_led_here(s, 1);
                s.led_shards[1].is_stable = false;
                s.members[2].idle = true;
            },
            LeadershipStep::Wait,
        ),
        (
            "this controller leads a single shard",
            |s| s.members[2].idle = true,
            LeadershipStep::Wait,
        ),
    ]);
}

#[test]
fn reconciliation_is_recorded_when_no_other_step_is_due() {
    assert_next_steps(&[
        (
            "no other step",
            |s| s.led_shards[0].reconciliation_unrecorded = true,
            LeadershipStep::RecordReconciled(ShardId(0)),
        ),
        (
            "a shard is vacant",
            |s| {
                s.led_shards[0].reconciliation_unrecorded = true;
                make_vacant(s, 1, 5000);
            },
            acquire(1),
        ),
    ]);
}
