//! Memory of real controllers while users submit as much as the protocol allows.

mod cluster;

use cluster::{ClusterOptions, TestCluster, job, service};
use pulleywood_protocol::{JobId, JobSpec, Rank, cbor};
use pulleywood_scheduler::admission::submission_bytes;
use pulleywood_scheduler::config::job_memory_limit;
use std::time::Duration;

/// Memory of each controller, in MB: that of the smallest deployment.
const RAM_MB: f64 = 56.0;
/// Most tasks of a job.
const MAX_TASKS: u32 = 100_000;
/// Jobs of one shape that are submitted without a pause before jobs of the next shape.
const JOBS_PER_ROUND: u64 = 40;
/// Refusals in a row, a pause apart, that show that a shape is refused for good: the store or a
/// concurrent job batch may refuse a submission for a moment.
const FINAL_REFUSALS: u32 = 5;
/// Pause after a refusal.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);
/// A job id that is submitted to no round.
const OTHER_TEAMS_JOB: u64 = 999_999;

/// One shape of jobs, by number.
type JobShape = fn(u64) -> JobSpec;

const SHAPES: [JobShape; 5] = [
    |number| job(number, 1),
    |number| job(number, MAX_TASKS),
    |number| service(number, MAX_TASKS),
    |number| JobSpec {
        spread: true,
        rank: Rank::Idle,
        ..job(number, MAX_TASKS)
    },
    // A record that is nearly as large as a stored value may be.
    |number| JobSpec {
        one_zone: true,
        types: Some(vec!["g2".into(); 1300]),
        ..job(number, MAX_TASKS)
    },
];

/// Where a flood of submissions goes.
#[derive(Clone, Copy)]
enum Target {
    One,
    All,
}

/// A cluster under a flood, with the jobs that it has accepted.
struct Flood {
    cluster: TestCluster,
    next_number: u64,
    accepted: Vec<JobId>,
    /// Bytes of memory that the accepted jobs count.
    accepted_bytes: u64,
}

impl Flood {
    fn start() -> Flood {
        let cluster = TestCluster::build(ClusterOptions {
            write_rps: 2000.0,
            ram_mb: RAM_MB,
            teams: vec!["red", "blue"],
            ..ClusterOptions::default()
        });
        cluster.wait_all_shards_led();
        Flood {
            cluster,
            next_number: 1,
            accepted: Vec::new(),
            accepted_bytes: 0,
        }
    }

    /// Submits a job once. Returns the status.
    fn submit(&self, controller: usize, spec: &JobSpec) -> u16 {
        let body = cbor::encode(spec);
        let expected = Duration::from_secs(600);
        self.cluster.invariants.expect_job(spec.clone(), expected);
        let call = self
            .cluster
            .call(controller, "POST", "/v2/runs", Some(&body));
        call.0
    }

    /// Submits jobs of all shapes, some of each at a time, until each shape is refused.
    fn fill(&mut self, target: Target) {
        let mut open_shapes = SHAPES.to_vec();
        while !open_shapes.is_empty() {
            open_shapes.retain(|shape| self.submit_some(*shape, target));
            self.assert_memory();
        }
    }

    /// Submits some jobs of one shape. Returns whether the shape is still accepted.
    fn submit_some(&mut self, shape: JobShape, target: Target) -> bool {
        let mut refusals = 0;
        for _ in 0..JOBS_PER_ROUND {
            let spec = shape(self.next_number);
            let controller = match target {
                Target::One => 0,
                Target::All => self.next_number as usize % self.cluster.processes.len(),
            };
            self.next_number += 1;
            match self.submit(controller, &spec) {
                200 | 201 => {
                    self.accepted_bytes += submission_bytes(&spec);
                    self.accepted.push(spec.id);
                    refusals = 0;
                }
                // Short of write tokens: not accepted, and no sign of a limit.
                429 => {}
                503 => {
                    refusals += 1;
                    std::thread::sleep(REFUSAL_PAUSE);
                }
                status => panic!("submission of {} was answered with {status}", spec.id),
            }
            if refusals == FINAL_REFUSALS {
                return false;
            }
        }
        true
    }

    fn assert_memory(&self) {
        for controller in 0..self.cluster.processes.len() {
            let held_mb = self.cluster.memory_mb(controller).unwrap_or(0.0);
            assert!(held_mb < RAM_MB, "controller {controller}: {held_mb:.0} MB");
        }
    }

    fn largest_mb(&self) -> f64 {
        let controllers = 0..self.cluster.processes.len();
        let held_mb = controllers.filter_map(|c| self.cluster.memory_mb(c));
        held_mb.fold(0.0, f64::max)
    }

    /// Restarts all controllers and watches their memory until all shards are led again.
    fn restart_all(&mut self) {
        self.cluster.restart_all();
        cluster::wait_until("all controllers lead and are ready", || {
            self.assert_memory();
            let ready = |controller| self.cluster.call(controller, "GET", "/ready", None).0 == 200;
            (0..self.cluster.processes.len()).all(ready)
                && self.cluster.store.keys("c/part/").len() == self.cluster.processes.len()
        });
    }

    /// Checks that accepted jobs are known, and that their repeated submission is too.
    fn assert_known(&self) {
        for (position, id) in self.accepted.iter().enumerate().step_by(50) {
            let controller = position % self.cluster.processes.len();
            cluster::wait_until("the controller answers", || {
                self.cluster.status(controller, id).is_some()
            });
        }
    }
}

fn flood_to(target: Target, restarts: u32) {
    let mut flood = Flood::start();
    for _ in 0..=restarts {
        flood.fill(target);
        println!(
            "{} jobs accepted, the largest controller holds {:.0} MB",
            flood.accepted.len(),
            flood.largest_mb()
        );
        let (counted, limit) = (flood.accepted_bytes, job_memory_limit(RAM_MB));
        assert!(
            counted > limit / 2,
            "refused at {counted} bytes, but the limit is {limit}"
        );
        flood.restart_all();
        flood.assert_known();
        flood.assert_memory();
        println!("after a restart of all: {:.0} MB", flood.largest_mb());
    }
    let other = JobSpec {
        team: "blue".into(),
        ..job(OTHER_TEAMS_JOB, 1)
    };
    cluster::wait_until("the job of another team is accepted", || {
        matches!(flood.submit(1, &other), 200 | 201)
    });
    // What was cancelled makes room.
    let cancelled = flood.accepted.len() / 2;
    for id in &flood.accepted[..cancelled] {
        flood.cluster.cancel(0, id);
    }
    let more = job(flood.next_number, MAX_TASKS);
    cluster::wait_until("a job is accepted again", || {
        matches!(flood.submit(2, &more), 200 | 201)
    });
    flood.cluster.assert_invariants();
}

/// Guards against controllers that are ended for memory, again after each restart: what users
/// may submit had no bound.
#[test]
fn a_flood_of_large_jobs_is_answered_503_before_a_controller_exceeds_its_memory() {
    flood_to(Target::All, 0);
}

/// The same for longer, with all submissions to one controller and then to all.
#[test]
#[ignore = "takes minutes: run by hand"]
fn a_long_flood_with_restarts_of_all_controllers_stays_within_their_memory() {
    flood_to(Target::One, 3);
    flood_to(Target::All, 3);
}
