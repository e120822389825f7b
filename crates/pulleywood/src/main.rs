//! The pulleywood daemon.

use clap::Parser;
use pulleywood::{Controller, policy, settings};
use pulleywood_core::config::Policy;
use std::path::PathBuf;
use std::process::ExitCode;

/// A cluster scheduler: each controller owns a part of the jobs and machines.
#[derive(Debug, Parser)]
#[command(name = "pulleywood", version)]
struct Args {
    /// The settings file that the platform hands over (JSON)
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' policy script (Lua)
    #[arg(long, value_name = "FILE.lua")]
    policy: Option<PathBuf>,
    /// Check the settings and the policy, then exit
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let level = std::env::var("LOG_LEVEL")
        .ok()
        .and_then(|l| l.parse().ok())
        .unwrap_or(log::LevelFilter::Info);
    env_logger::Builder::new().filter_level(level).init();
    let settings = match settings::load(&args.config) {
        Ok(settings) => settings,
        Err(e) => return wrong(&e),
    };
    let policy = match &args.policy {
        None => Policy::defaults(&settings),
        Some(path) => match policy::load(path, &settings) {
            Ok(policy) => policy,
            Err(e) => return wrong(&e),
        },
    };
    if args.check {
        println!("settings and policy can be used");
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

fn wrong(e: &dyn std::error::Error) -> ExitCode {
    eprintln!("pulleywood: {e}");
    ExitCode::from(2)
}
