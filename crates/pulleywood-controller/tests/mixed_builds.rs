//! Compatibility of this build with an earlier one: controllers of both in one cluster, and each
//! build on the store, the settings and the policy script of the other.
//!
//! `PULLEYWOOD_OLD_PROGRAM` is the path of the earlier executable. Without it, this build is used
//! for both.

mod cluster;

use cluster::{LONG_RUN, SHORT_RUN, TestCluster, job, program, service, wait_until};
use pulleywood_protocol::job::JobStatus;
use pulleywood_protocol::{JobId, JobSpec};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Environment variable with the path of the earlier executable.
const OLD_PROGRAM_VARIABLE: &str = "PULLEYWOOD_OLD_PROGRAM";

fn old_program() -> PathBuf {
    std::env::var_os(OLD_PROGRAM_VARIABLE).map_or_else(program, PathBuf::from)
}

/// Starts a cluster with the recovery subsystem switched on, whose controllers all run this
/// executable.
fn cluster_of(program: &Path) -> TestCluster {
    let mut cluster = TestCluster::build(cluster::ClusterOptions {
        policies: vec![cluster::recovery_policy()],
        ..cluster::ClusterOptions::default()
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

/// Submits jobs before and after `replace` changes a controller, and waits until all are done.
/// Their ids begin at `first`.
fn serve_while(cluster: &mut TestCluster, first: u64, replace: impl FnOnce(&mut TestCluster)) {
    let before = jobs(first..first + 4);
    cluster.submit_all(&before, Duration::from_secs(1));
    replace(cluster);
    let after = jobs(first + 4..first + 8);
    cluster.submit_all(&after, SHORT_RUN);
    cluster.wait_all_done(&before);
    cluster.wait_all_done(&after);
}

/// Waits until each controller responds with this final status of a job.
fn wait_final_status(cluster: &TestCluster, id: &JobId, status: JobStatus) {
    cluster.wait_all_ready();
    cluster.wait_status_everywhere(id, status);
}

#[test]
fn two_builds_serve_together_while_a_controller_of_each_is_killed() {
    let old = old_program();
    let mut cluster = cluster_of(&old);
    let long_lived = service(1, 2);
    cluster.submit_and_wait_all_running(&long_lived);
    serve_while(&mut cluster, 100, |cluster| {
        cluster.programs[1] = program();
        cluster.restart(1);
    });
    // A controller of the old build is restarted, without an upgrade, while the new one serves.
    serve_while(&mut cluster, 200, |cluster| cluster.restart(0));
    // The controller of the new build is killed and stays down while the old ones serve.
    serve_while(&mut cluster, 300, |cluster| cluster.kill(1));
    cluster.start(1);
    cluster.wait_all_ready();
    cluster.cancel(1, &long_lived.id);
    cluster.wait_stopped(&long_lived.id);
    for controller in [0, 2] {
        cluster.programs[controller] = program();
        serve_while(&mut cluster, 400 + 100 * controller as u64, |cluster| {
            cluster.restart(controller)
        });
    }
    wait_final_status(&cluster, &long_lived.id, JobStatus::Cancelled);
    wait_final_status(&cluster, &job(100, 2).id, JobStatus::Done);
    cluster.assert_invariants();
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
    cluster.wait_stopped(&cancelled.id);
    let long_lived = service(3, 2);
    cluster.submit_and_wait_all_running(&long_lived);
    // All controllers change to this build, then back to the old one.
    for (first, next_program) in [(10, program()), (20, old)] {
        let unfinished = jobs(first..first + 6);
        cluster.submit_all(&unfinished, LONG_RUN);
        cluster.programs.fill(next_program);
        cluster.restart_all();
        cluster.wait_all_ready();
        cluster.wait_all_done(&unfinished);
        wait_until("the service runs", || {
            cluster.invariants.running_tasks(&long_lived.id) == 2
        });
        wait_final_status(&cluster, &done.id, JobStatus::Done);
        wait_final_status(&cluster, &cancelled.id, JobStatus::Cancelled);
    }
    cluster.assert_invariants();
}
