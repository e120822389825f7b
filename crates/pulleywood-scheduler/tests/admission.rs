//! Admission of new jobs by the memory that live jobs take.

mod common;

use common::{config, spec};
use pulleywood_protocol::JobSpec;
use pulleywood_scheduler::Config;
use pulleywood_scheduler::admission::{JobMemory, submission_bytes};
use pulleywood_scheduler::config::job_memory_limit;

/// Memory of the smallest controller, in MB.
const SMALL_RAM_MB: f64 = 56.0;

fn config_of(teams: usize) -> Config {
    let mut config = config();
    let team = config.teams["red"].clone();
    config.teams = (0..teams)
        .map(|number| (format!("team-{number}"), team.clone()))
        .collect();
    config.job_memory_limit = job_memory_limit(SMALL_RAM_MB);
    config
}

fn small_job(team: usize) -> JobSpec {
    JobSpec {
        team: format!("team-{team}"),
        ..spec(1, 1)
    }
}

/// A job with as many allowed types as fit into a stored record.
fn large_job(team: usize) -> JobSpec {
    JobSpec {
        types: Some(vec!["g4".into(); 1300]),
        ..small_job(team)
    }
}

/// Accepts jobs like this one until one is refused. Returns the number of accepted ones.
fn flood(config: &Config, memory: &mut JobMemory, spec: &JobSpec) -> u32 {
    let mut accepted = 0;
    while config.admits_job(memory, spec) {
        memory.add(&spec.team, submission_bytes(spec));
        accepted += 1;
    }
    accepted
}

/// Guards against accepted jobs that no controller can hold: there was no bound at all.
#[test]
fn live_jobs_never_exceed_the_memory_limit_and_one_teams_flood_keeps_nobody_else_out() {
    for teams in [1, 2, 8, 50] {
        let config = config_of(teams);
        for first_large in [false, true] {
            let mut memory = JobMemory::default();
            for team in 0..teams {
                let (first, second) = if first_large {
                    (large_job(team), small_job(team))
                } else {
                    (small_job(team), large_job(team))
                };
                flood(&config, &mut memory, &first);
                flood(&config, &mut memory, &second);
                assert!(
                    memory.of_team(&first.team) > 0,
                    "{teams} teams: team {team}"
                );
            }
            let (total, limit) = (memory.total(), config.job_memory_limit);
            assert!(total <= limit, "{teams} teams: {total} of {limit} bytes");
            assert!(
                total >= limit / 2,
                "{teams} teams: {total} of {limit} bytes"
            );
        }
    }
}

#[test]
fn large_records_are_refused_while_small_ones_are_still_accepted() {
    let config = config_of(1);
    let mut memory = JobMemory::default();
    flood(&config, &mut memory, &large_job(0));
    assert!(!config.admits_job(&memory, &large_job(0)));
    assert!(flood(&config, &mut memory, &small_job(0)) > 100);
}

#[test]
fn memory_of_ended_jobs_is_available_again() {
    let config = config_of(1);
    let mut memory = JobMemory::default();
    let job = small_job(0);
    let accepted = flood(&config, &mut memory, &job);
    for _ in 0..accepted {
        memory.remove(&job.team, submission_bytes(&job));
    }
    assert_eq!((memory.total(), memory.of_team(&job.team)), (0, 0));
    assert_eq!(flood(&config, &mut memory, &job), accepted);
}
