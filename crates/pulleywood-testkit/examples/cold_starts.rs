//! Runs cold starts in virtual time: many random ones to find violated invariants, or some of
//! given sizes to measure the recovery. Also runs many clusters in which controllers are isolated
//! while users cancel jobs.
//!
//!     cold_starts random FIRST COUNT
//!     cold_starts cancellations FIRST COUNT
//!     cold_starts measure SEEDS MACHINES...

use pulleywood_recovery::RecoveryPolicy;
use pulleywood_testkit::virtual_cluster::{Confirmation, Outcome, Scenario, VirtualCluster};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};

fn parse_number(text: &str) -> u64 {
    text.parse()
        .unwrap_or_else(|_| panic!("{text}: not a number"))
}

fn random_cold_start(seed: u64) -> Outcome {
    let scenario = Scenario {
        seed,
        machines: 4 + seed as usize % 37,
        controllers: 1 + seed as usize % 4,
        recovery: seed.is_multiple_of(2).then(RecoveryPolicy::default),
        lost_machine_share: 0.1,
        random_faults: true,
    };
    VirtualCluster::new(scenario).run()
}

fn cancellations(seed: u64) -> Outcome {
    VirtualCluster::with_short_tasks(seed).run_cancellations(Confirmation::WithEvidence)
}

/// Runs scenarios of `count` seeds on all CPUs, and prints the seeds with violations or audit
/// findings. The exit code is 1 if there are any.
fn run_random(run: fn(u64) -> Outcome, first: u64, count: u64) -> ExitCode {
    let next_seed = AtomicU64::new(first);
    let failed_count = AtomicU64::new(0);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + count {
                        return;
                    }
                    let outcome = run(seed);
                    if !outcome.violations.is_empty() || outcome.audit_findings > 0 {
                        failed_count.fetch_add(1, Ordering::Relaxed);
                        println!("seed {seed}: {:?}", outcome.violations);
                    }
                }
            });
        }
    });
    let failed_count = failed_count.into_inner();
    println!("{count} runs, {failed_count} with violations");
    ExitCode::from(u8::from(failed_count > 0))
}

/// Runs cold starts of given numbers of machines without random faults, and prints a line with
/// the measurements of each.
fn measure(seeds: u64, sizes: &[usize]) -> ExitCode {
    println!(
        "machines controllers recovery seed orders least requests intervals replicas_lost violations"
    );
    for &machines in sizes {
        for controllers in [1, 7] {
            for recovery in [false, true] {
                for seed in 0..seeds {
                    let scenario = Scenario {
                        seed,
                        machines,
                        controllers,
                        recovery: recovery.then(RecoveryPolicy::default),
                        lost_machine_share: 0.05,
                        random_faults: false,
                    };
                    let outcome: Outcome = VirtualCluster::new(scenario).run();
                    let intervals = outcome
                        .intervals_until_services_run
                        .map_or(-1, |n| n as i64);
                    println!(
                        "{machines} {controllers} {recovery} {seed} {} {} {} {intervals} {} {}",
                        outcome.commands,
                        outcome.min_commands,
                        outcome.store_requests,
                        outcome.replicas_lost,
                        outcome.violations.len()
                    );
                }
            }
        }
    }
    ExitCode::SUCCESS
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["random", first, count] => {
            run_random(random_cold_start, parse_number(first), parse_number(count))
        }
        ["cancellations", first, count] => {
            run_random(cancellations, parse_number(first), parse_number(count))
        }
        ["measure", seeds, ref sizes @ ..] => {
            let sizes: Vec<usize> = sizes.iter().map(|s| parse_number(s) as usize).collect();
            measure(parse_number(seeds), &sizes)
        }
        _ => {
            eprintln!("cold_starts random FIRST COUNT | cold_starts measure SEEDS MACHINES...");
            ExitCode::from(2)
        }
    }
}
