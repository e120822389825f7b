//! Placement: assignment, reservations and preemption.

mod common;

use common::*;
use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::record::JobRecord;
use pulleywood_protocol::settings::ServiceLevelObjective;
use pulleywood_protocol::worker::{Cause, Command, TaskState, TaskStatus};
use pulleywood_protocol::{Attempt, JobId, JobSpec, Rank, Revision, Shape, TaskId};
use pulleywood_scheduler::machine_types;
use std::collections::BTreeSet;
use std::time::Duration;

/// Statuses of tasks that run.
fn running<'a>(tasks: impl IntoIterator<Item = &'a (TaskId, Attempt)>) -> Vec<TaskStatus> {
    let tasks = tasks.into_iter();
    tasks
        .map(|(task, attempt)| status(task, *attempt, TaskState::Running))
        .collect()
}

#[test]
fn tasks_are_placed_only_where_their_job_allows() {
    type Change = fn(&mut JobSpec);
    let cases: [(&str, Change, usize); 8] = [
        ("anywhere", |_| {}, 4),
        ("its type", |s| s.types = Some(vec!["g4".into()]), 4),
        ("another type", |s| s.types = Some(vec!["c1".into()]), 0),
        ("its zone", |s| s.zone = Some("a".into()), 4),
        ("another zone", |s| s.zone = Some("b".into()), 0),
        ("too much memory", |s| s.memory_gb.0 = 65.0, 0),
        ("no GPU needed", |s| s.gpus.0 = 0.0, 4),
        ("half of the machine", |s| s.cpus.0 = 8.0, 2),
    ];
    for (name, change, expected) in cases {
        let mut harness = ShardHarness::new(&["a"]);
        let mut job = spec(1, 4);
        change(&mut job);
        harness.submit(job, false);
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        assert_eq!(
            launches(&harness.heartbeat_and_answer(&heartbeat, 1.0)).len(),
            expected,
            "{name}"
        );
    }
}

#[test]
fn a_job_that_may_not_use_spot_machines_is_placed_on_none() {
    for (spot, expected) in [(false, 0), (true, 1)] {
        let mut harness = ShardHarness::new(&["a"]);
        harness
            .state
            .machines
            .get_mut(&machine(0))
            .unwrap()
            .record
            .spot = true;
        let mut job = spec(1, 1);
        job.spot = spot;
        harness.submit(job, false);
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        assert_eq!(
            launches(&harness.heartbeat_and_answer(&heartbeat, 1.0)).len(),
            expected
        );
    }
}

#[test]
fn one_zone_and_spread_jobs_are_placed_by_zone() {
    // (same_place, apart, tasks, in zone a, in zone b)
    let cases = [
        (false, true, 4, 2, 2),
        (false, true, 1, 1, 0),
        (true, false, 4, 4, 0),
    ];
    for (one_zone, spread, tasks, in_a, in_b) in cases {
        let mut harness = ShardHarness::new(&["a", "b"]);
        let mut job = spec(1, tasks);
        (job.one_zone, job.spread) = (one_zone, spread);
        harness.submit(job, false);
        // Both must have been heard before the plan can use both.
        for m in 0..2 {
            let heartbeat = harness.heartbeat(m, 1, vec![]);
            harness
                .state
                .handle_heartbeat(&heartbeat, false, at(1.0), &harness.config);
            harness
                .state
                .response_commands(&machine(m), false, at(1.0), &harness.config);
        }
        let mut got = [0, 0];
        for (m, n) in got.iter_mut().enumerate() {
            let heartbeat = harness.heartbeat(m, 2, vec![]);
            *n = launches(&harness.heartbeat_and_answer(&heartbeat, 1.5)).len();
        }
        assert_eq!(got, [in_a, in_b], "{one_zone} {spread} {tasks}");
    }
}

#[test]
fn a_machine_that_has_the_image_is_preferred() {
    let mut harness = ShardHarness::new(&["a", "a"]);
    for m in 0..2 {
        let heartbeat = harness.heartbeat(m, 1, vec![]);
        harness.heartbeat_and_answer(&heartbeat, 1.0);
    }
    let m1 = harness.state.machines.get_mut(&machine(1)).unwrap();
    m1.images.push_back(("img".into(), 5.0));
    harness.submit(spec(1, 1), false);
    let heartbeat = harness.heartbeat(0, 2, vec![]);
    assert!(launches(&harness.heartbeat_and_answer(&heartbeat, 1.5)).is_empty());
    let heartbeat = harness.heartbeat(1, 2, vec![]);
    assert_eq!(
        launches(&harness.heartbeat_and_answer(&heartbeat, 1.5)).len(),
        1
    );
}

#[test]
fn a_spread_job_stays_spread_across_assignment_and_preemption() {
    // Each stage of a plan must count what the other has planned by zone: one task
    // finds a machine with its image by assignment, its sibling one without the image
    // by preemption.
    let mut harness = ShardHarness::new(&["a", "a", "b"]);
    let mut filler = spec(1, 4);
    filler.rank = Rank::Idle;
    filler.zone = Some("b".into());
    harness.submit(filler, false);
    let heartbeat = harness.heartbeat(2, 1, vec![]);
    let launched = launches(&harness.heartbeat_and_answer(&heartbeat, 1.0));
    assert_eq!(launched.len(), 4);
    let busy = running(&launched);
    for m in 0..2 {
        let heartbeat = harness.heartbeat(m, 1, vec![]);
        harness.heartbeat_and_answer(&heartbeat, 1.5);
    }
    let warm = harness.state.machines.get_mut(&machine(0)).unwrap();
    warm.images.push_back(("other".into(), 5.0));
    let mut service = spec(2, 2);
    (service.shape, service.rank, service.spread) = (Shape::Service, Rank::Production, true);
    service.image = "other".into();
    harness.submit(service, false);
    let mut in_a = 0;
    for seq in 2..5 {
        let running = harness.heartbeat(2, seq, busy.clone());
        harness.heartbeat_and_answer(&running, seq as f64);
        for m in 0..2 {
            let tasks = harness.state.machines[&machine(m)]
                .slots
                .iter()
                .map(|s| status(&s.task, s.attempt, TaskState::Running))
                .collect();
            let heartbeat = harness.heartbeat(m, seq, tasks);
            in_a += launches(&harness.heartbeat_and_answer(&heartbeat, seq as f64)).len();
        }
    }
    assert_eq!(in_a, 1);
}

#[test]
fn only_lower_ranks_are_preempted_unless_a_guarantee_is_unmet() {
    // (victim's rank, preemptor's rank, another team with a guarantee, stops)
    let cases = [
        (Rank::Idle, Rank::Production, false, 1),
        (Rank::Standard, Rank::Urgent, false, 1),
        (Rank::Standard, Rank::Standard, false, 0),
        (Rank::Production, Rank::Standard, false, 0),
        (Rank::Production, Rank::Idle, true, 1),
    ];
    for (victim, preemptor, guaranteed, expected) in cases {
        let mut harness = ShardHarness::new(&["a"]);
        if guaranteed {
            harness.config.teams.get_mut("blue").unwrap().guarantee = slots(0.0, 4.0);
        }
        let mut first = spec(1, 4);
        first.rank = victim;
        harness.submit(first, false);
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        let launched = launches(&harness.heartbeat_and_answer(&heartbeat, 1.0));
        assert_eq!(launched.len(), 4);
        let busy = running(&launched);
        let mut second = spec(2, 1);
        second.rank = preemptor;
        if guaranteed {
            second.team = "blue".into();
        }
        harness.submit(second, false);
        for seq in 2..5 {
            // What is being released already is not preempted again.
            let heartbeat = harness.heartbeat(0, seq, busy.clone());
            let commands = harness.heartbeat_and_answer(&heartbeat, seq as f64 * 2.0);
            let stops = commands
                .iter()
                .filter(|o| matches!(o, Command::Stop { .. }))
                .count();
            assert_eq!(stops, expected, "{victim:?} {preemptor:?} {guaranteed}");
        }
    }
}

#[test]
fn preemption_takes_no_more_of_a_team_than_it_borrows() {
    // (the team's guarantee, what it uses in other shards, stopped for another team)
    // If more were stopped, the team would be within its guarantee: its tasks would
    // come first again, take what was released for others, and be stopped once more.
    let cases = [
        (0.0, 0.0, 4),
        (2.0, 0.0, 2),
        (3.5, 0.0, 0),
        (4.0, 0.0, 0),
        // Other shards see the same borrowed usage: this one stops its share.
        (5.0, 4.0, 1),
        (7.0, 4.0, 0),
    ];
    for (guarantee, elsewhere, expected) in cases {
        let mut harness = ShardHarness::new(&["a"]);
        harness.config.teams.get_mut("red").unwrap().guarantee = slots(0.0, guarantee);
        harness.config.teams.get_mut("blue").unwrap().guarantee = slots(0.0, 4.0);
        let others = slots(0.0, elsewhere);
        harness
            .state
            .usage_in_other_shards
            .insert("red".into(), others);
        let mut first = spec(1, 4);
        first.rank = Rank::Urgent;
        harness.submit(first, false);
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        let mut on: Vec<(TaskId, Attempt)> =
            launches(&harness.heartbeat_and_answer(&heartbeat, 1.0));
        assert_eq!(on.len(), 4);
        let mut second = spec(2, 4);
        second.team = "blue".into();
        harness.submit(second, false);
        let mut stopped_tasks = BTreeSet::new();
        let mut begun: Vec<TaskId> = Vec::new();
        for seq in 2..12 {
            let tasks = on.iter().map(|(t, a)| {
                if stopped_tasks.contains(t) {
                    exited(t, *a, Cause::Stopped)
                } else {
                    status(t, *a, TaskState::Running)
                }
            });
            let heartbeat = harness.heartbeat(0, seq, tasks.collect());
            let commands = harness.heartbeat_and_answer(&heartbeat, seq as f64);
            on.retain(|(t, _)| !stopped_tasks.contains(t));
            for command in &commands {
                if let Command::Stop { task, .. } = command {
                    stopped_tasks.insert(task.clone());
                }
            }
            let new = launches(&commands);
            begun.extend(new.iter().map(|(t, _)| t.clone()));
            on.extend(new);
        }
        let case = format!("guarantee {guarantee}, elsewhere {elsewhere}");
        assert_eq!(stopped_tasks.len(), expected, "{case}");
        let blue = JobId::parse("j-2").unwrap();
        assert!(begun.iter().all(|t| t.job == blue), "{case}: {begun:?}");
        assert_eq!(begun.len(), expected, "{case}: {begun:?}");
    }
}

#[test]
fn a_gang_is_launched_whole_or_not_at_all() {
    for (tasks, expected) in [(4, 4), (5, 0)] {
        let mut harness = ShardHarness::new(&["a"]);
        let mut gang = spec(1, tasks);
        gang.shape = Shape::Gang;
        harness.submit(gang, false);
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        assert_eq!(
            launches(&harness.heartbeat_and_answer(&heartbeat, 1.0)).len(),
            expected
        );
    }
}

#[test]
fn tasks_of_a_gang_share_an_attempt_and_restart_together() {
    let mut harness = ShardHarness::new(&["a", "a"]);
    let mut gang = spec(1, 6);
    gang.shape = Shape::Gang;
    harness.submit(gang, false);
    for m in 0..2 {
        let heartbeat = harness.heartbeat(m, 1, vec![]);
        harness
            .state
            .handle_heartbeat(&heartbeat, false, at(1.0), &harness.config);
    }
    // The plan is made anew between the two machines' heartbeats.
    let mut out = Vec::new();
    for m in 0..2 {
        let heartbeat = harness.heartbeat(m, 2, vec![]);
        out.push(launches(&harness.heartbeat_and_answer(&heartbeat, 1.5)));
        harness.state.invalidate_plan();
    }
    let all: Vec<_> = out.concat();
    assert_eq!(all.len(), 6);
    assert!(all.iter().all(|(_, a)| *a == all[0].1));
    // One machine's tasks end unfinished; they wait until the others have ended.
    let lost = out[0]
        .iter()
        .map(|(t, a)| exited(t, *a, Cause::Other))
        .collect();
    let heartbeat = harness.heartbeat(0, 3, lost);
    assert!(launches(&harness.heartbeat_and_answer(&heartbeat, 3.0)).is_empty());
    let rest = out[1]
        .iter()
        .map(|(t, a)| exited(t, *a, Cause::Other))
        .collect();
    let heartbeat = harness.heartbeat(1, 3, rest);
    let mut again = launches(&harness.heartbeat_and_answer(&heartbeat, 4.0));
    for seq in 4..7 {
        for m in 0..2 {
            let tasks = again
                .iter()
                .filter(|(t, _)| harness.state.jobs[&t.job].active[&t.index].0 == machine(m))
                .map(|(t, a)| status(t, *a, TaskState::Gathering))
                .collect();
            let heartbeat = harness.heartbeat(m, seq, tasks);
            again.extend(launches(
                &harness.heartbeat_and_answer(&heartbeat, seq as f64),
            ));
        }
    }
    assert_eq!(again.len(), 6);
    assert!(again.iter().all(|(_, a)| *a == again[0].1));
    assert_ne!(again[0].1, all[0].1);
}

#[test]
fn a_starved_job_starts_before_smaller_ones() {
    // Smaller jobs meet more objectives for their work and come first, until the large
    // job is starved. (Age in seconds, whether it has started)
    for (s, begun) in [(30.0, false), (61.0, true)] {
        let mut harness = ShardHarness::new(&["a"]);
        harness.state.wall_clock_offset_ms = at(0.0).0 as i64;
        harness.config.objectives.push(ServiceLevelObjective {
            kind: "finished".into(),
            class: Some("c".into()),
            within_s: 400.0,
            share: 0.9,
        });
        let mut large = spec(1, 100);
        large.estimate_s.0 = 500.0;
        harness.submit(large, false);
        for n in 2..=6 {
            harness.submit(spec(n, 1), false);
        }
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        let launched = launches(&harness.heartbeat_and_answer(&heartbeat, s));
        assert_eq!(launched.len(), 4);
        let first = launched.iter().any(|(t, _)| t.job == task(1, 0).job);
        assert_eq!(first, begun, "{s}");
    }
}

#[test]
fn a_starved_task_that_fills_a_machine_gets_one_reserved() {
    // A task needs a whole machine, while smaller ones take each piece that comes
    // free. Once it is starved, one machine is reserved for it.
    let mut harness = ShardHarness::new(&["a", "a"]);
    harness.state.wall_clock_offset_ms = at(0.0).0 as i64;
    let mut wide = spec(1, 1);
    (wide.cpus.0, wide.gpus.0) = (16.0, 4.0);
    wide.rank = Rank::Standard;
    harness.submit(spec(2, 400), false);
    let mut on: Vec<Vec<(TaskId, Attempt)>> = vec![vec![]; 2];
    let mut seq = 0;
    let mut begun = None;
    for step in 0..120 {
        let s = f64::from(step);
        if step == 1 {
            harness.submit(wide.clone(), false);
        }
        seq += 1;
        for (m, on) in on.iter_mut().enumerate() {
            // Every third step a task ends on each machine, not on both at once.
            let ends = (step + m as i32) % 3 == 0 && !on.is_empty();
            let done = ends.then(|| on.remove(0));
            let mut tasks = running(on.iter());
            tasks.extend(done.iter().map(|(t, a)| exited(t, *a, Cause::Done)));
            let heartbeat = harness.heartbeat(m, seq, tasks);
            on.extend(launches(&harness.heartbeat_and_answer(&heartbeat, s)));
            if on.iter().any(|(t, _)| t.job == task(1, 0).job) {
                begun.get_or_insert(step);
            }
        }
    }
    let begun = begun.expect("the wide task never began");
    assert!((60..100).contains(&begun), "{begun}");
}

/// A job of the other team whose tasks need no GPU and no image.
fn no_gpus(n: u64, tasks: u32, cpus: f64) -> JobSpec {
    let mut job = spec(n, tasks);
    job.team = "blue".into();
    job.image_gb.0 = 0.0;
    (job.cpus.0, job.gpus.0, job.memory_gb.0) = (cpus, 0.0, 1.0);
    job
}

#[test]
fn teams_are_served_by_dominant_share_and_weight() {
    // (processors of a task without GPUs, weight of its team, tasks of each team that
    // are launched). Counted in GPUs alone, the team that uses none would always be
    // served first.
    for (cpus, weight, red, blue) in [(4.0, 1.0, 8, 8), (8.0, 1.0, 8, 4), (4.0, 3.0, 4, 12)] {
        let mut harness = ShardHarness::new(&["a", "a", "a", "a"]);
        harness.state.wall_clock_offset_ms = at(0.0).0 as i64;
        harness.config.teams.get_mut("blue").unwrap().weight = weight;
        for n in 0..14 {
            harness.submit(spec(100 + n, 1), false);
            harness.submit(no_gpus(200 + n, 1, cpus), false);
        }
        let heartbeats: Vec<_> = (0..4).map(|m| harness.heartbeat(m, 1, vec![])).collect();
        for heartbeat in &heartbeats {
            harness
                .state
                .handle_heartbeat(heartbeat, false, at(1.0), &harness.config);
        }
        let mut launched = Vec::new();
        for heartbeat in &heartbeats {
            let commands =
                harness
                    .state
                    .response_commands(&heartbeat.machine, true, at(1.0), &harness.config);
            launched.extend(launches(&commands));
        }
        let reds = launched.iter().filter(|(t, _)| t.job < task(200, 0).job);
        let reds = reds.count();
        let blues = launched.len() - reds;
        assert_eq!((reds, blues), (red, blue), "{cpus} processors, {weight}");
    }
}

#[test]
fn tasks_without_gpus_are_placed_beside_gpus_in_use() {
    // m0 runs tasks that use GPUs and few processors, m1 tasks that use processors
    // alone and is fuller.
    let mut harness = ShardHarness::new(&["a", "b"]);
    let mut light = spec(1, 2);
    (light.cpus.0, light.image_gb.0) = (1.0, 0.0);
    let mut taken = Vec::new();
    let zones = ["a", "b"];
    for (m, mut job) in [(0, light), (1, no_gpus(2, 2, 6.0))] {
        job.zone = Some(zones[m].to_owned());
        harness.submit(job, false);
        let heartbeat = harness.heartbeat(m, 1, vec![]);
        taken.push(launches(&harness.heartbeat_and_answer(&heartbeat, 1.0)));
    }
    assert_eq!((taken[0].len(), taken[1].len()), (2, 2));
    harness.submit(no_gpus(3, 1, 4.0), false);
    for (m, taken) in taken.iter().enumerate() {
        let heartbeat = harness.heartbeat(m, 2, running(taken));
        let launched = launches(&harness.heartbeat_and_answer(&heartbeat, 3.0));
        assert_eq!(launched.len(), usize::from(m == 0), "m{m}");
    }
}

#[test]
fn smaller_tasks_do_not_keep_a_team_below_its_fair_share() {
    // Tasks of a quarter of a machine hold all of two; half of one is due to
    // the other team, whose tasks take half.
    let mut harness = ShardHarness::new(&["a", "a"]);
    harness.submit(no_gpus(1, 100, 4.0), false);
    let mut on = Vec::new();
    for m in 0..2 {
        let heartbeat = harness.heartbeat(m, 1, vec![]);
        on.push(launches(&harness.heartbeat_and_answer(&heartbeat, 1.0)));
        assert_eq!(on[m].len(), 4);
    }
    let mut large = spec(2, 10);
    (large.cpus.0, large.image_gb.0) = (8.0, 0.0);
    harness.submit(large, false);
    let mut begun = 0;
    for seq in 2..=12 {
        for (m, on) in on.iter_mut().enumerate() {
            // A small task ends here every second time.
            let small = on.iter().position(|(t, _)| t.job == task(1, 0).job);
            let ended = small.filter(|_| (seq + m as u64).is_multiple_of(2));
            let ended = ended.map(|at| on.remove(at));
            let mut tasks = running(on.iter());
            tasks.extend(ended.iter().map(|(t, a)| exited(t, *a, Cause::Done)));
            let heartbeat = harness.heartbeat(m, seq, tasks);
            on.extend(launches(
                &harness.heartbeat_and_answer(&heartbeat, seq as f64 * 2.0),
            ));
            begun = on
                .iter()
                .filter(|(t, _)| t.job == task(2, 0).job)
                .count()
                .max(begun);
        }
    }
    let large = on.iter().flatten().filter(|(t, _)| t.job == task(2, 0).job);
    assert_eq!(large.count(), 2, "half of the processors");
    assert!(begun <= 2, "and no more than that: {begun}");
}

#[test]
fn a_job_starved_for_long_starts_although_its_team_has_its_share() {
    for (s, begun) in [(100.0, false), (125.0, true)] {
        let mut harness = ShardHarness::new(&["a"]);
        harness.state.wall_clock_offset_ms = at(0.0).0 as i64;
        harness.submit(no_gpus(1, 3, 4.0), false);
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        let begun_first = launches(&harness.heartbeat_and_answer(&heartbeat, 1.0));
        assert_eq!(begun_first.len(), 3);
        // One more task fits, and the other team has none running.
        harness.submit(no_gpus(2, 5, 4.0), false);
        let mut later = job_record(spec(3, 5));
        later.at_ms = 60_000;
        harness
            .state
            .put_job(&later, Revision(2), false, at(60.0), &harness.config);
        let heartbeat = harness.heartbeat(0, 2, running(&begun_first));
        let launched = launches(&harness.heartbeat_and_answer(&heartbeat, s));
        assert_eq!(launched.len(), 1, "{s}");
        assert_eq!(launched[0].0.job == task(2, 0).job, begun, "{s}");
    }
}

#[test]
fn preemption_stops_no_more_tasks_than_needed() {
    // Three small tasks that cost least to stop, and one large one that has to be
    // stopped: it alone is enough.
    let mut harness = ShardHarness::new(&["a"]);
    for (n, tasks, cpus, checkpoint) in [(1, 3, 2.0, 10.0), (2, 1, 10.0, 0.0)] {
        let mut low = no_gpus(n, tasks, cpus);
        low.rank = Rank::Idle;
        low.checkpoint_s.0 = checkpoint;
        harness.submit(low, false);
    }
    let heartbeat = harness.heartbeat(0, 1, vec![]);
    let launched = launches(&harness.heartbeat_and_answer(&heartbeat, 1.0));
    assert_eq!(launched.len(), 4);
    let heartbeat = harness.heartbeat(0, 2, running(&launched));
    harness.heartbeat_and_answer(&heartbeat, 2.0);
    let mut high = spec(3, 1);
    (high.cpus.0, high.image_gb.0) = (8.0, 0.0);
    harness.submit(high, false);
    let mut stopped = Vec::new();
    for seq in 3..=4 {
        let heartbeat = harness.heartbeat(0, seq, running(&launched));
        for command in harness.heartbeat_and_answer(&heartbeat, 60.0 + seq as f64) {
            if let Command::Stop { task, .. } = command {
                stopped.push(task);
            }
        }
    }
    stopped.dedup();
    assert_eq!(stopped, vec![task(2, 0)]);
}

/// A second, smaller type; `m1` and up are of it.
fn with_small_machines(zones: &[&str]) -> ShardHarness {
    let mut harness = ShardHarness::new(zones);
    let mut small = harness.config.flavors["g4"].clone();
    small.label = "s1".into();
    (small.cpus, small.gpus) = (Amount(4.0), Amount(1.0));
    small.memory_gb = Amount(16.0);
    harness.config.flavors.insert("s1".into(), small);
    for n in 1..zones.len() {
        let m = harness.state.machines.get_mut(&machine(n)).unwrap();
        m.record.flavor = "s1".into();
    }
    harness
}

#[test]
fn small_tasks_leave_large_machines_to_tasks_that_fit_no_others() {
    // A large machine, which alone fits large tasks, and two small ones. (Large work
    // came lately, small tasks, where they go)
    let cases = [
        (false, 1, vec![1, 0, 0]),
        (true, 1, vec![0, 1, 0]),
        (true, 2, vec![0, 1, 1]),
        (true, 4, vec![2, 1, 1]),
    ];
    for (large, tasks, expected) in cases {
        let mut harness = with_small_machines(&["a", "a", "a"]);
        if large {
            let one = JobSpec {
                cpus: Amount(16.0),
                ..spec(9, 1)
            };
            let types = machine_types::of_job(&harness.config, &one);
            harness
                .state
                .machine_type_demand
                .record_waiting(types, at(0.0));
        }
        let small = JobSpec {
            rank: Rank::Urgent,
            image_gb: Amount(0.0),
            ..spec(1, tasks)
        };
        harness.submit(small, false);
        let heartbeats: Vec<_> = (0..3).map(|m| harness.heartbeat(m, 1, vec![])).collect();
        for heartbeat in &heartbeats {
            harness
                .state
                .handle_heartbeat(heartbeat, false, at(1.0), &harness.config);
        }
        let started: Vec<usize> = (0..3)
            .map(|m| {
                launches(&harness.state.response_commands(
                    &machine(m),
                    true,
                    at(1.0),
                    &harness.config,
                ))
                .len()
            })
            .collect();
        assert_eq!(started, expected, "{large} {tasks}");
    }
}

#[test]
fn scarce_machines_are_preempted_for_small_tasks_only_after_some_heartbeats() {
    // A large task holds the large machine, and an urgent small one fits nowhere. It
    // preempts the large one only when transfers have had their time. (Its age,
    // stopped)
    for (s, stopped) in [(1.0, false), (2.0, false), (3.0, true)] {
        let mut harness = with_small_machines(&["a"]);
        let large = JobSpec {
            cpus: Amount(16.0),
            ..spec(9, 1)
        };
        let types = machine_types::of_job(&harness.config, &large);
        harness
            .state
            .machine_type_demand
            .record_waiting(types, at(0.0));
        harness.submit(large, false);
        let first = harness.heartbeat(0, 1, vec![]);
        let (task, attempt) = launches(&harness.heartbeat_and_answer(&first, 0.0)).remove(0);
        let urgent = JobSpec {
            rank: Rank::Urgent,
            ..spec(1, 1)
        };
        let record = JobRecord {
            at_ms: at(0.0).0,
            ..job_record(urgent)
        };
        harness
            .state
            .put_job(&record, Revision(3), false, at(0.0), &harness.config);
        let runs = status(&task, attempt, TaskState::Running);
        let second = harness.heartbeat(0, 2, vec![runs]);
        let commands = harness.heartbeat_and_answer(&second, s);
        let stopped_tasks = commands.iter().any(|o| matches!(o, Command::Stop { .. }));
        assert_eq!(stopped_tasks, stopped, "{s}");
    }
}

#[test]
fn a_task_is_placed_on_the_machine_that_can_start_it_first() {
    // Launches go out in responses to heartbeats, which come every six seconds. The
    // last of m0 came before there was work, that of m1 comes now. (GB of the image
    // that m0 alone has, where the task goes)
    for (image_gb, expected) in [(0.0, 1), (2.0, 1), (8.0, 0)] {
        let mut harness = ShardHarness::new(&["a", "a"]);
        harness.config.heartbeat_interval = Duration::from_secs(6);
        let m = harness.state.machines.get_mut(&machine(0)).unwrap();
        m.images.push_back(("img".into(), image_gb));
        let first = harness.heartbeat(0, 1, vec![]);
        assert!(launches(&harness.heartbeat_and_answer(&first, 0.0)).is_empty());
        let one = JobSpec {
            image_gb: Amount(image_gb),
            ..spec(1, 1)
        };
        harness.submit(one, false);
        let other = harness.heartbeat(1, 1, vec![]);
        let now = launches(&harness.heartbeat_and_answer(&other, 1.5)).len();
        let next = harness.heartbeat(0, 2, vec![]);
        let later = launches(&harness.heartbeat_and_answer(&next, 6.0)).len();
        let to = if expected == 1 { (1, 0) } else { (0, 1) };
        assert_eq!((now, later), to, "{image_gb}");
    }
}
