//! The settings file of a controller, which the platform provides.

mod check;
mod connection_limits;

pub use check::{InvalidSetting, MIN_RPS, MIN_WRITE_RPS, Problem};
pub use connection_limits::ConnectionLimits;

use serde::{Deserialize, Serialize};

/// All settings of a controller.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    pub member: String,
    /// Zone of this controller.
    pub domain: String,
    /// Address to listen on for users, workers and health checks.
    pub serve_on: String,
    /// Address to listen on for other controllers.
    pub cluster_listen: String,
    /// The other controllers.
    pub seeds: Vec<Seed>,
    /// Addresses of the external services.
    pub services: Services,
    /// Settings that all controllers share.
    pub cluster: Cluster,
}

/// Another controller of the cluster.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Seed {
    /// Name of the controller.
    pub member: String,
    /// Zone of the controller.
    pub domain: String,
    /// Address on which it listens for other controllers.
    pub endpoint: String,
}

/// Addresses of the external services.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Services {
    /// Address of the cloud.
    pub cloud: String,
    /// Address of the state service.
    pub state: String,
}

/// Settings that all controllers share.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cluster {
    /// Number of controllers at the first start, at least 1. It is also the number of shards.
    pub initial_size: u32,
    /// Zones in which machines may be rented.
    pub zones: Vec<String>,
    /// Teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// Service-level objectives of job classes.
    #[serde(default)]
    pub objectives: Vec<ServiceLevelObjective>,
    /// Timing of workers' heartbeats and leases.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of the controller process.
    pub resources: Resources,
    /// Maximum error of the wall clock, in milliseconds.
    #[serde(default)]
    pub clock_error_ms: f64,
}

/// Guarantees and limits of a team; 0 means that there is none.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed number of processors.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of processors.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed number of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceLevelObjective {
    /// `finished` for an objective about the end of a job; any other value for one about its
    /// start.
    pub kind: String,
    /// The job class that the objective applies to; `None` applies to all.
    #[serde(default)]
    pub class: Option<String>,
    /// Maximum time, in seconds.
    #[serde(default)]
    pub within_s: f64,
    /// Share of jobs, from 0 to 1, that have to meet the maximum time.
    #[serde(default)]
    pub share: f64,
}

/// Timing of workers' heartbeats and leases.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Workers {
    /// Interval between heartbeats, in seconds.
    pub report_s: f64,
    /// Duration of a worker's lease, in seconds.
    pub lease_s: f64,
    /// Time within which a cancellation has to take effect, in seconds.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StateLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum number of writes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of operations per transaction.
    pub txn_ops: u32,
}

/// Limits of the cloud.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CloudLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Nominal lag of machine lists, in seconds.
    pub list_lag_s: f64,
}

/// Limits of the controller process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Resources {
    /// Number of processor cores, possibly a fraction.
    pub cores: f64,
    /// Memory in MB.
    pub ram_mb: f64,
    /// Maximum number of open sockets.
    pub max_sockets: u32,
    /// Maximum number of threads. The default is what the platforms that pulleywood runs on
    /// allow.
    #[serde(default = "default_threads")]
    pub max_threads: u32,
}

fn default_threads() -> u32 {
    2000
}
