//! The `pulleywood` binary: runs a controller, checks its settings, or inspects a cluster.

use clap::{Parser, Subcommand};
use pulleywood_controller::inspect::{self, InspectError};
use pulleywood_controller::{Controller, policy, settings};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code of `inspect` if its report has findings.
const FINDINGS: u8 = 1;
/// Exit code if the settings, a policy script or the command line is invalid.
const INVALID_INPUT: u8 = 2;
/// Exit code of `inspect` if the state service cannot be read.
const UNREACHABLE: u8 = 3;

/// Controller of the pulleywood cluster scheduler
#[derive(Debug, Parser)]
#[command(name = "pulleywood", version)]
#[command(subcommand_negates_reqs = true, args_conflicts_with_subcommands = true)]
struct Args {
    /// Settings file of this controller (JSON)
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    /// Policy script (Lua); if given more than once, scripts run in order
    #[arg(long, value_name = "FILE.lua")]
    policy: Vec<PathBuf>,
    /// Check the settings and the policy scripts, then exit
    #[arg(long)]
    check: bool,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Report what a recovery would do now and why, without any changes
    Inspect {
        /// Settings file of any controller of the cluster (JSON)
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Print JSON instead of text
        #[arg(long)]
        json: bool,
        /// Also ask each worker for its heartbeat
        #[arg(long)]
        ask_workers: bool,
    },
}

fn main() -> ExitCode {
    let args = Args::parse();
    let level = std::env::var("LOG_LEVEL")
        .ok()
        .and_then(|l| l.parse().ok())
        .unwrap_or(log::LevelFilter::Info);
    env_logger::Builder::new().filter_level(level).init();
    match (args.command, args.config) {
        (
            Some(Command::Inspect {
                config,
                json,
                ask_workers,
            }),
            _,
        ) => inspect(&config, json, ask_workers),
        (None, Some(config)) => run(&config, &args.policy, args.check),
        // Not reached: the argument parser requires `--config` without a subcommand.
        (None, None) => ExitCode::from(INVALID_INPUT),
    }
}

fn run(config: &Path, policy_scripts: &[PathBuf], check: bool) -> ExitCode {
    let settings = match settings::load(config) {
        Ok(settings) => settings,
        Err(e) => return report_invalid_input(&e),
    };
    let policy = match policy::load(policy_scripts, &settings) {
        Ok(policy) => policy,
        Err(e) => return report_invalid_input(&e),
    };
    if check {
        println!("checked the settings and policy scripts: they can be used");
        return ExitCode::SUCCESS;
    }
    match Controller::start(settings, policy) {
        Ok(_controller) => loop {
            std::thread::park();
        },
        Err(e) => {
            eprintln!("pulleywood: {e}");
            ExitCode::FAILURE
        }
    }
}

fn inspect(config: &Path, json: bool, ask_workers: bool) -> ExitCode {
    let settings = match settings::load(config) {
        Ok(settings) => settings,
        Err(e) => return report_invalid_input(&e),
    };
    let report = match inspect::inspect(&settings, ask_workers) {
        Ok(report) => report,
        Err(e @ InspectError::Address(_)) => return report_invalid_input(&e),
        Err(e) => {
            eprintln!("pulleywood: {e}");
            return ExitCode::from(UNREACHABLE);
        }
    };
    if json {
        println!("{}", report.to_json());
    } else {
        print!("{}", report.to_text());
    }
    if report.has_findings() {
        ExitCode::from(FINDINGS)
    } else {
        ExitCode::SUCCESS
    }
}

fn report_invalid_input(e: &dyn std::error::Error) -> ExitCode {
    eprintln!("pulleywood: {e}");
    ExitCode::from(INVALID_INPUT)
}
