//! Tests of placement: assignment, reservations and preemption.

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

/// Heartbeat statuses that report the given tasks as running.
fn running_statuses<'a>(tasks: impl IntoIterator<Item = &'a (TaskId, Attempt)>) -> Vec<TaskStatus> {
    let tasks = tasks.into_iter();
    tasks
        .map(|(task, attempt)| status(task, *attempt, TaskState::Running))
        .collect()
}

#[test]
fn tasks_are_placed_only_where_their_job_allows() {
    type JobChange = fn(&mut JobSpec);
    let cases: [(&str, JobChange, usize); 8] = [
        ("no restriction", |_| {}, 4),
        ("machine's type", |s| s.types = Some(vec!["g4".into()]), 4),
        ("another type", |s| s.types = Some(vec!["c1".into()]), 0),
        ("machine's zone", |s| s.zone = Some("a".into()), 4),
        ("another zone", |s| s.zone = Some("b".into()), 0),
        ("too much memory", |s| s.memory_gb.0 = 65.0, 0),
        ("no GPU needed", |s| s.gpus.0 = 0.0, 4),
        ("half a machine per task", |s| s.cpus.0 = 8.0, 2),
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
fn a_job_that_may_not_use_spot_machines_is_not_placed_on_them() {
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
fn one_zone_and_spread_jobs_follow_their_zone_rules() {
    // (one_zone, spread, tasks, launched in zone a, launched in zone b)
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
        // A plan can only use both machines after each has sent a heartbeat.
        for machine_index in 0..2 {
            let heartbeat = harness.heartbeat(machine_index, 1, vec![]);
            harness
                .state
                .handle_heartbeat(&heartbeat, false, at(1.0), &harness.config);
            harness.state.response_commands(
                &machine(machine_index),
                false,
                at(1.0),
                &harness.config,
            );
        }
        let mut launched = [0, 0];
        for (machine_index, count) in launched.iter_mut().enumerate() {
            let heartbeat = harness.heartbeat(machine_index, 2, vec![]);
            *count = launches(&harness.heartbeat_and_answer(&heartbeat, 1.5)).len();
        }
        assert_eq!(launched, [in_a, in_b], "{one_zone} {spread} {tasks}");
    }
}

#[test]
fn a_machine_that_has_the_image_is_preferred() {
    let mut harness = ShardHarness::new(&["a", "a"]);
    for machine_index in 0..2 {
        let heartbeat = harness.heartbeat(machine_index, 1, vec![]);
        harness.heartbeat_and_answer(&heartbeat, 1.0);
    }
    let warm_machine = harness.state.machines.get_mut(&machine(1)).unwrap();
    warm_machine.images.push_back(("img".into(), 5.0));
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
    // Assignment and preemption must count each other's planned tasks by zone. Here one
    // replica is assigned to a machine that has its image, and the other is placed by
    // preemption on a machine without the image. If either stage missed the other's
    // task, both replicas could be placed in zone a.
    let mut harness = ShardHarness::new(&["a", "a", "b"]);
    let mut filler = spec(1, 4);
    filler.rank = Rank::Idle;
    filler.zone = Some("b".into());
    harness.submit(filler, false);
    let heartbeat = harness.heartbeat(2, 1, vec![]);
    let launched = launches(&harness.heartbeat_and_answer(&heartbeat, 1.0));
    assert_eq!(launched.len(), 4);
    let running = running_statuses(&launched);
    for machine_index in 0..2 {
        let heartbeat = harness.heartbeat(machine_index, 1, vec![]);
        harness.heartbeat_and_answer(&heartbeat, 1.5);
    }
    let warm_machine = harness.state.machines.get_mut(&machine(0)).unwrap();
    warm_machine.images.push_back(("other".into(), 5.0));
    let mut service = spec(2, 2);
    (service.shape, service.rank, service.spread) = (Shape::Service, Rank::Production, true);
    service.image = "other".into();
    harness.submit(service, false);
    let mut launched_in_zone_a = 0;
    for seq in 2..5 {
        let heartbeat = harness.heartbeat(2, seq, running.clone());
        harness.heartbeat_and_answer(&heartbeat, seq as f64);
        for machine_index in 0..2 {
            let tasks = harness.state.machines[&machine(machine_index)]
                .slots
                .iter()
                .map(|slot| status(&slot.task, slot.attempt, TaskState::Running))
                .collect();
            let heartbeat = harness.heartbeat(machine_index, seq, tasks);
            launched_in_zone_a +=
                launches(&harness.heartbeat_and_answer(&heartbeat, seq as f64)).len();
        }
    }
    assert_eq!(launched_in_zone_a, 1);
}

#[test]
fn only_lower_ranks_are_preempted_unless_a_guarantee_is_unmet() {
    // (victim's rank, preemptor's rank, whether the preemptor is another team's task
    // within a guarantee, expected number of stops)
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
        let mut victim_job = spec(1, 4);
        victim_job.rank = victim;
        harness.submit(victim_job, false);
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        let launched = launches(&harness.heartbeat_and_answer(&heartbeat, 1.0));
        assert_eq!(launched.len(), 4);
        let running = running_statuses(&launched);
        let mut preempting_job = spec(2, 1);
        preempting_job.rank = preemptor;
        if guaranteed {
            preempting_job.team = "blue".into();
        }
        harness.submit(preempting_job, false);
        for seq in 2..5 {
            // Resources that are already being released do not cause another
            // preemption.
            let heartbeat = harness.heartbeat(0, seq, running.clone());
            let commands = harness.heartbeat_and_answer(&heartbeat, seq as f64 * 2.0);
            let stop_count = commands
                .iter()
                .filter(|command| matches!(command, Command::Stop { .. }))
                .count();
            assert_eq!(
                stop_count, expected,
                "{victim:?} {preemptor:?} {guaranteed}"
            );
        }
    }
}

#[test]
fn preemption_takes_no_more_of_a_team_than_it_borrows() {
    // (the team's guarantee, its usage in other shards, tasks stopped for the other
    // team), in GPUs. If more were stopped, the team would fall below its guarantee:
    // its tasks would regain priority, take the resources released for the other team,
    // and be stopped again.
    let cases = [
        (0.0, 0.0, 4),
        (2.0, 0.0, 2),
        (3.5, 0.0, 0),
        (4.0, 0.0, 0),
        // Other shards see the same borrowed usage; this shard stops only its part of
        // it.
        (5.0, 4.0, 1),
        (7.0, 4.0, 0),
    ];
    for (guarantee, usage_in_other_shards, expected) in cases {
        let mut harness = ShardHarness::new(&["a"]);
        harness.config.teams.get_mut("red").unwrap().guarantee = slots(0.0, guarantee);
        harness.config.teams.get_mut("blue").unwrap().guarantee = slots(0.0, 4.0);
        let other_shards_usage = slots(0.0, usage_in_other_shards);
        harness
            .state
            .usage_in_other_shards
            .insert("red".into(), other_shards_usage);
        let mut victim_job = spec(1, 4);
        victim_job.rank = Rank::Urgent;
        harness.submit(victim_job, false);
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        let mut running: Vec<(TaskId, Attempt)> =
            launches(&harness.heartbeat_and_answer(&heartbeat, 1.0));
        assert_eq!(running.len(), 4);
        let mut preempting_job = spec(2, 4);
        preempting_job.team = "blue".into();
        harness.submit(preempting_job, false);
        let mut stopped_tasks = BTreeSet::new();
        let mut later_launches: Vec<TaskId> = Vec::new();
        for seq in 2..12 {
            let tasks = running.iter().map(|(t, a)| {
                if stopped_tasks.contains(t) {
                    exited(t, *a, Cause::Stopped)
                } else {
                    status(t, *a, TaskState::Running)
                }
            });
            let heartbeat = harness.heartbeat(0, seq, tasks.collect());
            let commands = harness.heartbeat_and_answer(&heartbeat, seq as f64);
            running.retain(|(t, _)| !stopped_tasks.contains(t));
            for command in &commands {
                if let Command::Stop { task, .. } = command {
                    stopped_tasks.insert(task.clone());
                }
            }
            let new_launches = launches(&commands);
            later_launches.extend(new_launches.iter().map(|(t, _)| t.clone()));
            running.extend(new_launches);
        }
        let case = format!("guarantee {guarantee}, in other shards {usage_in_other_shards}");
        assert_eq!(stopped_tasks.len(), expected, "{case}");
        let blue = JobId::parse("j-2").unwrap();
        assert!(
            later_launches.iter().all(|t| t.job == blue),
            "{case}: {later_launches:?}"
        );
        assert_eq!(later_launches.len(), expected, "{case}: {later_launches:?}");
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
    for machine_index in 0..2 {
        let heartbeat = harness.heartbeat(machine_index, 1, vec![]);
        harness
            .state
            .handle_heartbeat(&heartbeat, false, at(1.0), &harness.config);
    }
    // A new plan is made between the heartbeats of the two machines.
    let mut launches_by_machine = Vec::new();
    for machine_index in 0..2 {
        let heartbeat = harness.heartbeat(machine_index, 2, vec![]);
        launches_by_machine.push(launches(&harness.heartbeat_and_answer(&heartbeat, 1.5)));
        harness.state.invalidate_plan();
    }
    let first_launches: Vec<_> = launches_by_machine.concat();
    assert_eq!(first_launches.len(), 6);
    assert!(
        first_launches
            .iter()
            .all(|(_, a)| *a == first_launches[0].1)
    );
    // The tasks on one machine fail. They are not restarted before the others have
    // ended.
    let failed_tasks = launches_by_machine[0]
        .iter()
        .map(|(t, a)| exited(t, *a, Cause::Other))
        .collect();
    let heartbeat = harness.heartbeat(0, 3, failed_tasks);
    assert!(launches(&harness.heartbeat_and_answer(&heartbeat, 3.0)).is_empty());
    let remaining_tasks = launches_by_machine[1]
        .iter()
        .map(|(t, a)| exited(t, *a, Cause::Other))
        .collect();
    let heartbeat = harness.heartbeat(1, 3, remaining_tasks);
    let mut relaunches = launches(&harness.heartbeat_and_answer(&heartbeat, 4.0));
    for seq in 4..7 {
        for machine_index in 0..2 {
            let tasks = relaunches
                .iter()
                .filter(|(t, _)| {
                    harness.state.jobs[&t.job].active[&t.index].0 == machine(machine_index)
                })
                .map(|(t, a)| status(t, *a, TaskState::Gathering))
                .collect();
            let heartbeat = harness.heartbeat(machine_index, seq, tasks);
            relaunches.extend(launches(
                &harness.heartbeat_and_answer(&heartbeat, seq as f64),
            ));
        }
    }
    assert_eq!(relaunches.len(), 6);
    assert!(relaunches.iter().all(|(_, a)| *a == relaunches[0].1));
    assert_ne!(relaunches[0].1, first_launches[0].1);
}

#[test]
fn a_starved_job_starts_before_smaller_ones() {
    // Smaller jobs meet more objectives per second of work and are served first, until
    // the large job is starved. (age of the large job in seconds, whether it has
    // started)
    for (now_s, large_job_started) in [(30.0, false), (61.0, true)] {
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
        for job_number in 2..=6 {
            harness.submit(spec(job_number, 1), false);
        }
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        let launched = launches(&harness.heartbeat_and_answer(&heartbeat, now_s));
        assert_eq!(launched.len(), 4);
        let large_job_launched = launched.iter().any(|(t, _)| t.job == task(1, 0).job);
        assert_eq!(large_job_launched, large_job_started, "{now_s}");
    }
}

#[test]
fn a_machine_is_reserved_for_a_starved_task_that_needs_all_of_it() {
    // The task needs a whole machine, while smaller tasks take all resources that
    // become free. Once the task is starved, a machine must be reserved for it.
    let mut harness = ShardHarness::new(&["a", "a"]);
    harness.state.wall_clock_offset_ms = at(0.0).0 as i64;
    let mut whole_machine_job = spec(1, 1);
    (whole_machine_job.cpus.0, whole_machine_job.gpus.0) = (16.0, 4.0);
    whole_machine_job.rank = Rank::Standard;
    harness.submit(spec(2, 400), false);
    let mut running_by_machine: Vec<Vec<(TaskId, Attempt)>> = vec![vec![]; 2];
    let mut seq = 0;
    let mut first_launch_step = None;
    for step in 0..120 {
        let now_s = f64::from(step);
        if step == 1 {
            harness.submit(whole_machine_job.clone(), false);
        }
        seq += 1;
        for (machine_index, running) in running_by_machine.iter_mut().enumerate() {
            // In every third step one task ends on each machine, in different steps on
            // the two.
            let ends = (step + machine_index as i32) % 3 == 0 && !running.is_empty();
            let done = ends.then(|| running.remove(0));
            let mut tasks = running_statuses(running.iter());
            tasks.extend(done.iter().map(|(t, a)| exited(t, *a, Cause::Done)));
            let heartbeat = harness.heartbeat(machine_index, seq, tasks);
            running.extend(launches(&harness.heartbeat_and_answer(&heartbeat, now_s)));
            if running.iter().any(|(t, _)| t.job == task(1, 0).job) {
                first_launch_step.get_or_insert(step);
            }
        }
    }
    let first_launch_step =
        first_launch_step.expect("the task that needs a whole machine was never launched");
    assert!(
        (60..100).contains(&first_launch_step),
        "{first_launch_step}"
    );
}

/// A job of team blue whose tasks need no GPU and no image.
fn cpu_job(job_number: u64, tasks: u32, cpus: f64) -> JobSpec {
    let mut job = spec(job_number, tasks);
    job.team = "blue".into();
    job.image_gb.0 = 0.0;
    (job.cpus.0, job.gpus.0, job.memory_gb.0) = (cpus, 0.0, 1.0);
    job
}

#[test]
fn teams_are_served_by_dominant_share_and_weight() {
    // (processors per task of team blue, weight of team blue, tasks launched of team
    // red, of team blue). If only GPUs counted, team blue, which uses none, would
    // always be served first.
    for (cpus, weight, expected_red, expected_blue) in
        [(4.0, 1.0, 8, 8), (8.0, 1.0, 8, 4), (4.0, 3.0, 4, 12)]
    {
        let mut harness = ShardHarness::new(&["a", "a", "a", "a"]);
        harness.state.wall_clock_offset_ms = at(0.0).0 as i64;
        harness.config.teams.get_mut("blue").unwrap().weight = weight;
        for job_offset in 0..14 {
            harness.submit(spec(100 + job_offset, 1), false);
            harness.submit(cpu_job(200 + job_offset, 1, cpus), false);
        }
        let heartbeats: Vec<_> = (0..4)
            .map(|machine_index| harness.heartbeat(machine_index, 1, vec![]))
            .collect();
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
        let red_launches = launched.iter().filter(|(t, _)| t.job < task(200, 0).job);
        let red_launches = red_launches.count();
        let blue_launches = launched.len() - red_launches;
        assert_eq!(
            (red_launches, blue_launches),
            (expected_red, expected_blue),
            "{cpus} processors, weight {weight}"
        );
    }
}

#[test]
fn tasks_without_gpus_are_placed_on_machines_whose_gpus_are_in_use() {
    // m0 runs tasks that use GPUs and few processors. m1 is fuller and runs tasks that
    // use only processors.
    let mut harness = ShardHarness::new(&["a", "b"]);
    let mut gpu_job = spec(1, 2);
    (gpu_job.cpus.0, gpu_job.image_gb.0) = (1.0, 0.0);
    let mut launched_by_machine = Vec::new();
    let zones = ["a", "b"];
    for (machine_index, mut job) in [(0, gpu_job), (1, cpu_job(2, 2, 6.0))] {
        job.zone = Some(zones[machine_index].to_owned());
        harness.submit(job, false);
        let heartbeat = harness.heartbeat(machine_index, 1, vec![]);
        launched_by_machine.push(launches(&harness.heartbeat_and_answer(&heartbeat, 1.0)));
    }
    assert_eq!(
        (launched_by_machine[0].len(), launched_by_machine[1].len()),
        (2, 2)
    );
    harness.submit(cpu_job(3, 1, 4.0), false);
    for (machine_index, launched_tasks) in launched_by_machine.iter().enumerate() {
        let heartbeat = harness.heartbeat(machine_index, 2, running_statuses(launched_tasks));
        let launched = launches(&harness.heartbeat_and_answer(&heartbeat, 3.0));
        assert_eq!(
            launched.len(),
            usize::from(machine_index == 0),
            "machine {machine_index}"
        );
    }
}

#[test]
fn smaller_tasks_do_not_keep_a_team_below_its_fair_share() {
    // Tasks that need a quarter of a machine hold both machines. The other team, whose
    // tasks need half a machine, is entitled to half of the processors.
    let mut harness = ShardHarness::new(&["a", "a"]);
    harness.submit(cpu_job(1, 100, 4.0), false);
    let mut running_by_machine = Vec::new();
    for machine_index in 0..2 {
        let heartbeat = harness.heartbeat(machine_index, 1, vec![]);
        running_by_machine.push(launches(&harness.heartbeat_and_answer(&heartbeat, 1.0)));
        assert_eq!(running_by_machine[machine_index].len(), 4);
    }
    let mut large = spec(2, 10);
    (large.cpus.0, large.image_gb.0) = (8.0, 0.0);
    harness.submit(large, false);
    let mut max_large_tasks = 0;
    for seq in 2..=12 {
        for (machine_index, running) in running_by_machine.iter_mut().enumerate() {
            // A small task ends on this machine in every second heartbeat.
            let small = running.iter().position(|(t, _)| t.job == task(1, 0).job);
            let ended = small.filter(|_| (seq + machine_index as u64).is_multiple_of(2));
            let ended = ended.map(|at| running.remove(at));
            let mut tasks = running_statuses(running.iter());
            tasks.extend(ended.iter().map(|(t, a)| exited(t, *a, Cause::Done)));
            let heartbeat = harness.heartbeat(machine_index, seq, tasks);
            running.extend(launches(
                &harness.heartbeat_and_answer(&heartbeat, seq as f64 * 2.0),
            ));
            max_large_tasks = running
                .iter()
                .filter(|(t, _)| t.job == task(2, 0).job)
                .count()
                .max(max_large_tasks);
        }
    }
    let large = running_by_machine
        .iter()
        .flatten()
        .filter(|(t, _)| t.job == task(2, 0).job);
    assert_eq!(
        large.count(),
        2,
        "half of the processors go to the large job"
    );
    assert!(
        max_large_tasks <= 2,
        "more than half of the processors went to the large job: {max_large_tasks}"
    );
}

#[test]
fn a_job_starved_for_long_starts_even_if_its_team_exceeds_its_fair_share() {
    // (time in seconds, whether the starved job of team blue is served before team red's)
    for (now_s, blue_job_first) in [(100.0, false), (125.0, true)] {
        let mut harness = ShardHarness::new(&["a"]);
        harness.state.wall_clock_offset_ms = at(0.0).0 as i64;
        harness.submit(cpu_job(1, 3, 4.0), false);
        let heartbeat = harness.heartbeat(0, 1, vec![]);
        let first_launches = launches(&harness.heartbeat_and_answer(&heartbeat, 1.0));
        assert_eq!(first_launches.len(), 3);
        // One more task fits, and team red runs none.
        harness.submit(cpu_job(2, 5, 4.0), false);
        let mut later_job = job_record(spec(3, 5));
        later_job.accepted_at_ms = 60_000;
        harness
            .state
            .put_job(&later_job, Revision(2), false, at(60.0), &harness.config);
        let heartbeat = harness.heartbeat(0, 2, running_statuses(&first_launches));
        let launched = launches(&harness.heartbeat_and_answer(&heartbeat, now_s));
        assert_eq!(launched.len(), 1, "{now_s}");
        assert_eq!(
            launched[0].0.job == task(2, 0).job,
            blue_job_first,
            "{now_s}"
        );
    }
}

#[test]
fn preemption_stops_no_more_tasks_than_needed() {
    // Three small tasks are the cheapest to stop, but stopping the large task is
    // necessary and sufficient.
    let mut harness = ShardHarness::new(&["a"]);
    for (job_number, tasks, cpus, checkpoint) in [(1, 3, 2.0, 10.0), (2, 1, 10.0, 0.0)] {
        let mut low_rank_job = cpu_job(job_number, tasks, cpus);
        low_rank_job.rank = Rank::Idle;
        low_rank_job.checkpoint_s.0 = checkpoint;
        harness.submit(low_rank_job, false);
    }
    let heartbeat = harness.heartbeat(0, 1, vec![]);
    let launched = launches(&harness.heartbeat_and_answer(&heartbeat, 1.0));
    assert_eq!(launched.len(), 4);
    let heartbeat = harness.heartbeat(0, 2, running_statuses(&launched));
    harness.heartbeat_and_answer(&heartbeat, 2.0);
    let mut high_rank_job = spec(3, 1);
    (high_rank_job.cpus.0, high_rank_job.image_gb.0) = (8.0, 0.0);
    harness.submit(high_rank_job, false);
    let mut stopped_tasks = Vec::new();
    for seq in 3..=4 {
        let heartbeat = harness.heartbeat(0, seq, running_statuses(&launched));
        for command in harness.heartbeat_and_answer(&heartbeat, 60.0 + seq as f64) {
            if let Command::Stop { task, .. } = command {
                stopped_tasks.push(task);
            }
        }
    }
    stopped_tasks.dedup();
    assert_eq!(stopped_tasks, vec![task(2, 0)]);
}

/// Returns a shard with the additional smaller machine type `s1`. Machine `m0` is of
/// type `g4`, all others are of type `s1`.
fn harness_with_small_machines(zones: &[&str]) -> ShardHarness {
    let mut harness = ShardHarness::new(zones);
    let mut small = harness.config.flavors["g4"].clone();
    small.label = "s1".into();
    (small.cpus, small.gpus) = (Amount(4.0), Amount(1.0));
    small.memory_gb = Amount(16.0);
    harness.config.flavors.insert("s1".into(), small);
    for machine_index in 1..zones.len() {
        let machine_state = harness
            .state
            .machines
            .get_mut(&machine(machine_index))
            .unwrap();
        machine_state.record.flavor = "s1".into();
    }
    harness
}

#[test]
fn small_tasks_leave_large_machines_to_tasks_that_fit_nowhere_else() {
    // One large machine, the only one where large tasks fit, and two small ones.
    // (whether large tasks waited recently, number of small tasks, small tasks launched
    // per machine)
    let cases = [
        (false, 1, vec![1, 0, 0]),
        (true, 1, vec![0, 1, 0]),
        (true, 2, vec![0, 1, 1]),
        (true, 4, vec![2, 1, 1]),
    ];
    for (large_tasks_waited, tasks, expected) in cases {
        let mut harness = harness_with_small_machines(&["a", "a", "a"]);
        if large_tasks_waited {
            let large_job = JobSpec {
                cpus: Amount(16.0),
                ..spec(9, 1)
            };
            let types = machine_types::of_job(&harness.config, &large_job);
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
        let heartbeats: Vec<_> = (0..3)
            .map(|machine_index| harness.heartbeat(machine_index, 1, vec![]))
            .collect();
        for heartbeat in &heartbeats {
            harness
                .state
                .handle_heartbeat(heartbeat, false, at(1.0), &harness.config);
        }
        let started: Vec<usize> = (0..3)
            .map(|machine_index| {
                launches(&harness.state.response_commands(
                    &machine(machine_index),
                    true,
                    at(1.0),
                    &harness.config,
                ))
                .len()
            })
            .collect();
        assert_eq!(started, expected, "{large_tasks_waited} {tasks}");
    }
}

#[test]
fn small_tasks_preempt_on_scarce_machines_only_after_the_time_for_transfers() {
    // A large task holds the large machine, and an urgent small task fits nowhere. The
    // small task preempts the large one only after the coordinator has had time to
    // transfer the small one to another shard. (age of the small task in seconds,
    // whether the large task is stopped)
    for (now_s, expected) in [(1.0, false), (2.0, false), (3.0, true)] {
        let mut harness = harness_with_small_machines(&["a"]);
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
        let first_heartbeat = harness.heartbeat(0, 1, vec![]);
        let (task, attempt) =
            launches(&harness.heartbeat_and_answer(&first_heartbeat, 0.0)).remove(0);
        let urgent = JobSpec {
            rank: Rank::Urgent,
            ..spec(1, 1)
        };
        let record = JobRecord {
            accepted_at_ms: at(0.0).0,
            ..job_record(urgent)
        };
        harness
            .state
            .put_job(&record, Revision(3), false, at(0.0), &harness.config);
        let running = status(&task, attempt, TaskState::Running);
        let second_heartbeat = harness.heartbeat(0, 2, vec![running]);
        let commands = harness.heartbeat_and_answer(&second_heartbeat, now_s);
        let has_stop_command = commands
            .iter()
            .any(|command| matches!(command, Command::Stop { .. }));
        assert_eq!(has_stop_command, expected, "{now_s}");
    }
}

#[test]
fn a_task_is_placed_on_the_machine_that_can_start_it_first() {
    // Launches are sent in responses to heartbeats, which arrive every six seconds. The
    // last heartbeat of m0 arrived before the job was submitted, the next heartbeat
    // of m1 arrives right after it. (size in GB of the image that only m0 has, expected
    // machine)
    for (image_gb, expected_machine) in [(0.0, 1), (2.0, 1), (8.0, 0)] {
        let mut harness = ShardHarness::new(&["a", "a"]);
        harness.config.heartbeat_interval = Duration::from_secs(6);
        let machine_state = harness.state.machines.get_mut(&machine(0)).unwrap();
        machine_state.images.push_back(("img".into(), image_gb));
        let first_heartbeat = harness.heartbeat(0, 1, vec![]);
        assert!(launches(&harness.heartbeat_and_answer(&first_heartbeat, 0.0)).is_empty());
        let job = JobSpec {
            image_gb: Amount(image_gb),
            ..spec(1, 1)
        };
        harness.submit(job, false);
        let other_heartbeat = harness.heartbeat(1, 1, vec![]);
        let launched_on_m1 = launches(&harness.heartbeat_and_answer(&other_heartbeat, 1.5)).len();
        let next_heartbeat = harness.heartbeat(0, 2, vec![]);
        let launched_on_m0 = launches(&harness.heartbeat_and_answer(&next_heartbeat, 6.0)).len();
        let expected_launches = if expected_machine == 1 {
            (1, 0)
        } else {
            (0, 1)
        };
        assert_eq!(
            (launched_on_m1, launched_on_m0),
            expected_launches,
            "{image_gb}"
        );
    }
}
