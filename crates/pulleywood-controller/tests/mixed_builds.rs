//! Controllers of an earlier build beside this one, and this build on the earlier one's store,
//! settings and policy script.
//!
//! `PULLEYWOOD_OLD_PROGRAM` is the path of the earlier program; without it this build plays
//! both parts.

mod cluster;

use cluster::{LONG, SHORT, TestCluster, job, program, service, wait};
use pulleywood_protocol::job::JobStatus;
use pulleywood_protocol::{JobId, JobSpec};
use std::path::{Path, PathBuf};
use std::time::Duration;

const OLD_PROGRAM: &str = "PULLEYWOOD_OLD_PROGRAM";

fn old_program() -> PathBuf {
    std::env::var_os(OLD_PROGRAM).map_or_else(program, PathBuf::from)
}

/// A cluster with the recovery subsystem switched on, whose controllers all run this program.
fn cluster_of(program: &Path) -> TestCluster {
    let mut cluster = TestCluster::build(cluster::Options {
        policies: vec![cluster::recovery_policy()],
        ..cluster::Options::default()
    });
    cluster.programs.fill(program.to_path_buf());
    cluster.restart_all();
    cluster.wait_all_ready();
    cluster.wait_all_shards_led();
    cluster
}

fn jobs(numbers: std::ops::Range<u64>) -> Vec<JobSpec> {
    numbers.map(|n| job(n, 2)).collect()
}

/// Submits jobs while a controller is replaced, and waits until they are done.
fn serve_while(cluster: &mut TestCluster, first: u64, replace: impl FnOnce(&mut TestCluster)) {
    let before = jobs(first..first + 4);
    cluster.submit_all(&before, Duration::from_secs(1));
    replace(cluster);
    let after = jobs(first + 4..first + 8);
    cluster.submit_all(&after, SHORT);
    cluster.wait_all_done(&before);
    cluster.wait_all_done(&after);
}

/// Waits until each controller knows how the job ended.
fn check_final_state(cluster: &TestCluster, id: &JobId, status: JobStatus) {
    cluster.wait_all_ready();
    cluster.wait_status_everywhere(id, status);
}

#[test]
fn two_builds_serve_together_while_a_controller_of_each_is_killed() {
    let old = old_program();
    let mut cluster = cluster_of(&old);
    let lasting = service(1, 2);
    cluster.submit_and_wait_all_running(&lasting);
    serve_while(&mut cluster, 100, |cluster| {
        cluster.programs[1] = program();
        cluster.restart(1);
    });
    // A controller of the old build fails while the new one serves, and comes back old.
    serve_while(&mut cluster, 200, |cluster| cluster.restart(0));
    // The new controller fails while old ones serve, and stays down for a while.
    serve_while(&mut cluster, 300, |cluster| cluster.kill(1));
    cluster.start(1);
    cluster.wait_all_ready();
    cluster.cancel(1, &lasting.id);
    cluster.wait_gone(&lasting.id);
    for n in [0, 2] {
        cluster.programs[n] = program();
        serve_while(&mut cluster, 400 + 100 * n as u64, |cluster| {
            cluster.restart(n)
        });
    }
    check_final_state(&cluster, &lasting.id, JobStatus::Cancelled);
    check_final_state(&cluster, &job(100, 2).id, JobStatus::Done);
    cluster.finish();
}

#[test]
fn a_build_continues_on_the_store_of_the_other_after_all_controllers_were_down() {
    let old = old_program();
    let mut cluster = cluster_of(&old);
    let done = job(1, 2);
    cluster.submit_and_wait_done(&done);
    let cancelled = service(2, 1);
    cluster.submit_and_wait_running(&cancelled);
    cluster.cancel(0, &cancelled.id);
    cluster.wait_gone(&cancelled.id);
    let lasting = service(3, 2);
    cluster.submit_and_wait_all_running(&lasting);
    // To this build, and back to the old one.
    for (first, next) in [(10, program()), (20, old)] {
        let unfinished = jobs(first..first + 6);
        cluster.submit_all(&unfinished, LONG);
        cluster.programs.fill(next);
        cluster.restart_all();
        cluster.wait_all_ready();
        cluster.wait_all_done(&unfinished);
        wait("the service runs", || {
            cluster.invariants.running_tasks(&lasting.id) == 2
        });
        check_final_state(&cluster, &done.id, JobStatus::Done);
        check_final_state(&cluster, &cancelled.id, JobStatus::Cancelled);
    }
    cluster.finish();
}
