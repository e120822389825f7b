//! Validation of settings beyond what their types ensure.

use super::{Cluster, ConnectionLimits, Settings, StateLimits, Workers};
use crate::job::MAX_TASKS;
use crate::record::chunk_tasks;

/// A setting with an invalid value.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {problem}")]
pub struct InvalidSetting {
    /// Path of the setting in the file, such as `cluster.state.rps` or `seeds[1].endpoint`.
    pub path: String,
    /// Why the value is invalid.
    pub problem: Problem,
}

/// Why the value of a setting is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The text is empty.
    #[error("must not be empty")]
    Empty,
    /// The text is not a socket address.
    #[error("must be an IP address and a port")]
    NotAnAddress,
    /// The number is zero, negative or not finite.
    #[error("must be a positive number")]
    NotPositive,
    /// The number is negative or not finite.
    #[error("must not be negative")]
    Negative,
    /// The number is below this minimum.
    #[error("must be at least {0}")]
    Below(u32),
    /// While out of contact with the state service, the controller could not answer workers
    /// for long enough.
    #[error("must exceed cluster.workers.lease_s by at least 3 s")]
    TooCloseToLease,
    /// Fewer than [`MIN_RPS`] for each controller.
    #[error("too low for the number of controllers: each needs 4 requests per second")]
    TooFewRequests,
    /// Fewer than [`MIN_WRITE_RPS`] for each controller.
    #[error("too low for the number of controllers: each needs 0.5 writes per second")]
    TooFewWrites,
    /// The end of a job of the maximum size would not fit into one transaction.
    #[error(
        "too low for cluster.state.value_kb: a job of 100,000 tasks must end in one transaction"
    )]
    TooFewOperations,
    /// Too few threads for connections would be left for a usable controller.
    #[error(
        "too low: leaves fewer than {} threads for workers, users and health checks",
        ConnectionLimits::MIN_THREADS
    )]
    TooFewThreads,
}

/// Minimum of `cancel_s - lease_s`, in seconds. A controller without contact to the store
/// answers workers until one lease before a cancellation must have taken effect. With a smaller
/// difference, it would refuse workers whenever the store is slow.
const MIN_ANSWER_S: f64 = 3.0;
/// Minimum number of requests per second for each controller: its lease, its watch and
/// transactions.
pub const MIN_RPS: f64 = 4.0;
/// Minimum number of writes per second for each controller: acquiring a shard takes four.
pub const MIN_WRITE_RPS: f64 = 0.5;
/// Minimum size limit of stored values that is enough for the record of a job, in KiB.
const MIN_VALUE_KB: u32 = 4;
/// Minimum number of operations per transaction: acquiring a shard takes seven.
const MIN_TXN_OPS: u32 = 8;

type Check = Result<(), InvalidSetting>;

fn ensure(valid: bool, path: &str, problem: Problem) -> Check {
    if valid {
        return Ok(());
    }
    Err(InvalidSetting {
        path: path.into(),
        problem,
    })
}

fn ensure_address(path: &str, text: &str) -> Check {
    let valid = text.parse::<std::net::SocketAddr>().is_ok();
    ensure(valid, path, Problem::NotAnAddress)
}

fn ensure_positive(path: &str, value: f64) -> Check {
    ensure(value.is_finite() && value > 0.0, path, Problem::NotPositive)
}

fn ensure_not_negative(path: &str, value: f64) -> Check {
    ensure(value.is_finite() && value >= 0.0, path, Problem::Negative)
}

impl Settings {
    /// Validates the settings. A controller can start with settings that pass.
    ///
    /// # Errors
    ///
    /// The first invalid setting, in the order of the checks below.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        ensure(!self.member.is_empty(), "member", Problem::Empty)?;
        self.check_addresses()?;
        self.cluster.check_positive_numbers()?;
        self.cluster.workers.check()?;
        self.cluster.state.check_rates(self.seeds.len() + 1)?;
        let lag = self.cluster.cloud.list_lag_s;
        ensure_not_negative("cluster.cloud.list_lag_s", lag)?;
        self.cluster.state.check_sizes()?;
        self.check_threads()?;
        let has_controllers = self.cluster.initial_size > 0;
        ensure(has_controllers, "cluster.initial_size", Problem::Below(1))?;
        self.cluster.check_teams()
    }

    fn check_addresses(&self) -> Check {
        ensure_address("serve_on", &self.serve_on)?;
        ensure_address("cluster_listen", &self.cluster_listen)?;
        ensure_address("services.cloud", &self.services.cloud)?;
        ensure_address("services.state", &self.services.state)?;
        for (index, seed) in self.seeds.iter().enumerate() {
            ensure_address(&format!("seeds[{index}].endpoint"), &seed.endpoint)?;
        }
        Ok(())
    }

    fn check_threads(&self) -> Check {
        let Some(field) = ConnectionLimits::limiting_setting(self, ConnectionLimits::MIN_THREADS)
        else {
            return Ok(());
        };
        let path = format!("cluster.resources.{field}");
        ensure(false, &path, Problem::TooFewThreads)
    }
}

impl Cluster {
    fn check_positive_numbers(&self) -> Check {
        let numbers = [
            ("cluster.workers.report_s", self.workers.report_s),
            ("cluster.workers.lease_s", self.workers.lease_s),
            ("cluster.workers.cancel_s", self.workers.cancel_s),
            ("cluster.state.rps", self.state.rps),
            ("cluster.state.write_rps", self.state.write_rps),
            ("cluster.state.value_kb", self.state.value_kb),
            ("cluster.cloud.rps", self.cloud.rps),
            ("cluster.resources.cores", self.resources.cores),
            ("cluster.resources.ram_mb", self.resources.ram_mb),
        ];
        for (path, value) in numbers {
            ensure_positive(path, value)?;
        }
        Ok(())
    }

    fn check_teams(&self) -> Check {
        for (index, team) in self.teams.iter().enumerate() {
            let amounts = [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ];
            for (name, value) in amounts {
                ensure_not_negative(&format!("cluster.teams[{index}].{name}"), value)?;
            }
        }
        Ok(())
    }
}

impl Workers {
    fn check(&self) -> Check {
        ensure(
            self.cancel_s >= self.lease_s + MIN_ANSWER_S,
            "cluster.workers.cancel_s",
            Problem::TooCloseToLease,
        )
    }
}

impl StateLimits {
    fn check_rates(&self, controllers: usize) -> Check {
        let controllers = controllers as f64;
        ensure(
            self.rps >= MIN_RPS * controllers,
            "cluster.state.rps",
            Problem::TooFewRequests,
        )?;
        ensure(
            self.write_rps >= MIN_WRITE_RPS * controllers,
            "cluster.state.write_rps",
            Problem::TooFewWrites,
        )
    }

    fn check_sizes(&self) -> Check {
        ensure(
            self.value_kb >= f64::from(MIN_VALUE_KB),
            "cluster.state.value_kb",
            Problem::Below(MIN_VALUE_KB),
        )?;
        ensure(
            self.txn_ops >= MIN_TXN_OPS,
            "cluster.state.txn_ops",
            Problem::Below(MIN_TXN_OPS),
        )?;
        // One transaction deletes all chunks of a job's done tasks and writes its final state.
        let chunks = MAX_TASKS.div_ceil(chunk_tasks(self.value_kb));
        ensure(
            chunks < self.txn_ops,
            "cluster.state.txn_ops",
            Problem::TooFewOperations,
        )
    }
}
