//! Prints hashes of all decisions taken for each seed. If a change of the sources must not
//! change any decision, the outputs before and after it are identical.
//!
//!     decisions [FIRST COUNT]
//!
//! Decisions are hashed in their wire format or field by field, never through a derived
//! `Debug`, so that renaming identifiers does not change the hashes.

mod hasher;
mod simulation;

use hasher::DecisionHasher;
use pulleywood_protocol::cbor;
use pulleywood_recovery::RecoveryPolicy;
use pulleywood_testkit::virtual_cluster::{Decision, Scenario, VirtualCluster};
use std::process::ExitCode;

/// First seed and number of seeds if no arguments are given.
const DEFAULT_SEEDS: (u64, u64) = (0, 200);

/// Runs the cold start of a virtual cluster, and returns the hash of its decisions and outcome.
fn hash_cold_start(seed: u64) -> u64 {
    let scenario = Scenario {
        seed,
        machines: 4 + seed as usize % 23,
        controllers: 1 + seed as usize % 4,
        recovery: seed.is_multiple_of(2).then(RecoveryPolicy::default),
        lost_machine_share: 0.1,
        random_faults: true,
    };
    let mut hasher = DecisionHasher::default();
    let outcome = VirtualCluster::new(scenario).run_observed(&mut |decision| match decision {
        Decision::Answered(machine, answer) => {
            hasher.add_text(&machine.0);
            hasher.add_bytes(&cbor::encode(answer));
        }
        Decision::Committed(transaction) => hasher.add_bytes(&cbor::encode(transaction)),
    });
    hasher.add_number(outcome.violations.len() as u64);
    hasher.add_number(outcome.commands as u64);
    hasher.add_number(outcome.min_commands as u64);
    hasher.add_number(outcome.store_requests as u64);
    hasher.add_number(outcome.replicas_lost as u64);
    hasher.add_number(outcome.audit_findings as u64);
    hasher.add_number(outcome.complete_shards as u64);
    hasher.finish()
}

/// Prints a line for each seed: the seed, the hash of the cold start, the hash of the
/// scheduling simulation, and its number of launches.
fn print_hashes(first: u64, count: u64) {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get()) as u64;
    let seeds: Vec<u64> = (first..first + count).collect();
    let seeds_per_thread = (count.div_ceil(threads) as usize).max(1);
    let rows: Vec<String> = std::thread::scope(|scope| {
        let handles: Vec<_> = seeds
            .chunks(seeds_per_thread)
            .map(|seeds| {
                scope.spawn(|| {
                    let rows = seeds.iter().map(|&seed| {
                        let (scheduling, launches) = simulation::run(seed);
                        let cold_start = hash_cold_start(seed);
                        format!("{seed} {cold_start:016x} {scheduling:016x} {launches}")
                    });
                    rows.collect::<Vec<_>>()
                })
            })
            .collect();
        let rows = handles
            .into_iter()
            .flat_map(|handle| handle.join().expect("simulation thread panicked"));
        rows.collect()
    });
    for row in rows {
        println!("{row}");
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let numbers: Option<Vec<u64>> = args.iter().map(|arg| arg.parse().ok()).collect();
    match numbers.as_deref() {
        Some([]) => print_hashes(DEFAULT_SEEDS.0, DEFAULT_SEEDS.1),
        Some(&[first, count]) => print_hashes(first, count),
        _ => {
            eprintln!("decisions [FIRST COUNT]");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
