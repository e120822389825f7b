//! Prints one hash a seed of all decisions taken, to show that a change of the
//! sources changes none: the output before and after is the same to the byte.
//!
//!     decisions [FIRST COUNT]
//!
//! What is hashed is written as on the wire or field by field here, never by a
//! derived `Debug`, so that no name in the sources enters it.

mod digest;
mod simulation;

use digest::Digest;
use pulleywood_protocol::cbor;
use pulleywood_recovery::RecoveryPolicy;
use pulleywood_testkit::virtual_cluster::{Decision, Scenario, VirtualCluster};
use std::process::ExitCode;

/// Seeds played unless others are asked for.
const DEFAULT_SEEDS: (u64, u64) = (0, 200);

/// A cold start of a cluster in virtual time.
fn cold_start(seed: u64) -> u64 {
    let scenario = Scenario {
        seed,
        machines: 4 + seed as usize % 23,
        controllers: 1 + seed as usize % 4,
        recovery: seed.is_multiple_of(2).then(RecoveryPolicy::default),
        lost_machine_share: 0.1,
        random_faults: true,
    };
    let mut digest = Digest::default();
    let outcome = VirtualCluster::new(scenario).run_observed(&mut |decision| match decision {
        Decision::Answered(machine, answer) => {
            digest.text(&machine.0);
            digest.bytes(&cbor::encode(answer));
        }
        Decision::Committed(transaction) => digest.bytes(&cbor::encode(transaction)),
    });
    digest.number(outcome.violations.len() as u64);
    digest.number(outcome.commands as u64);
    digest.number(outcome.min_commands as u64);
    digest.number(outcome.store_requests as u64);
    digest.number(outcome.replicas_lost as u64);
    digest.number(outcome.audit_findings as u64);
    digest.number(outcome.complete_shards as u64);
    digest.finish()
}

fn play(first: u64, count: u64) {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get()) as u64;
    let seeds: Vec<u64> = (first..first + count).collect();
    let share = (count.div_ceil(threads) as usize).max(1);
    let rows: Vec<String> = std::thread::scope(|scope| {
        let workers: Vec<_> = seeds
            .chunks(share)
            .map(|seeds| {
                scope.spawn(|| {
                    let rows = seeds.iter().map(|&seed| {
                        let (scheduling, launches) = simulation::play(seed);
                        let cold_start = cold_start(seed);
                        format!("{seed} {cold_start:016x} {scheduling:016x} {launches}")
                    });
                    rows.collect::<Vec<_>>()
                })
            })
            .collect();
        let rows = workers
            .into_iter()
            .flat_map(|w| w.join().expect("a worker"));
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
        Some([]) => play(DEFAULT_SEEDS.0, DEFAULT_SEEDS.1),
        Some(&[first, count]) => play(first, count),
        _ => {
            eprintln!("decisions [FIRST COUNT]");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
