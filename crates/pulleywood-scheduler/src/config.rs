//! Configuration of the scheduler: the platform's settings and the operators' policy.

use crate::resources::{ResourceVector, within_limit};
use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::cloud::Flavor;
use pulleywood_protocol::job::{JobSpec, Shape};
use pulleywood_protocol::record::{Slots, chunk_tasks};
use pulleywood_protocol::settings::{ServiceLevelObjective, Settings};
use pulleywood_protocol::time::{remote_duration_lower_bound, remote_duration_upper_bound, secs};
use pulleywood_protocol::{MachineId, ShardId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of a team that the policy does not set.
const DEFAULT_WEIGHT: f64 = 1.0;
/// Default lease of a shard's leader, as a fraction of a worker's lease. The bounds
/// below keep renewals cheap and failovers short.
const SHARD_LEASE_RATIO: f64 = 0.5;
const MIN_SHARD_LEASE_S: f64 = 3.0;
const MAX_SHARD_LEASE_S: f64 = 10.0;
/// Estimated bytes of one machine's record in a machine batch.
const MACHINE_RECORD_BYTES: usize = 220;
/// A stored value leaves 1/64 of its size to the message that encloses it.
const MESSAGE_OVERHEAD_DIVISOR: usize = 64;
/// Number of worker leases for which done tasks are collected before they are
/// committed.
const MAX_COMMIT_DELAY_LEASES: u32 = 2;
/// Allowance for the transmission of a heartbeat response.
const RESPONSE_MARGIN: Duration = Duration::from_secs(1);
/// Share of a controller's memory that live jobs may take. Reading all of them again takes as
/// much once more for a time.
const JOB_MEMORY_SHARE: f64 = 0.25;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
/// The `kind` of an objective on when a job finishes; all others are on when it starts.
const FINISHED_OBJECTIVE_KIND: &str = "finished";

/// Guarantee, limit and weight of one team. An amount of 0 means no guarantee or no
/// limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Slots that the team is guaranteed.
    pub guarantee: Slots,
    /// Slots that the team may use at most.
    pub limit: Slots,
    /// Share of resources relative to other teams.
    pub weight: f64,
}

impl Team {
    /// Whether any resource of the team is limited.
    pub fn has_limit(&self) -> bool {
        self.limit.cpus.0 > 0.0 || self.limit.gpus.0 > 0.0
    }

    /// Whether this usage, summed over all shards, is within the team's guarantee.
    pub fn guarantee_covers(&self, used: Slots) -> bool {
        let has_guarantee = self.guarantee.cpus.0 > 0.0 || self.guarantee.gpus.0 > 0.0;
        has_guarantee && within_limit(used, Slots::default(), self.guarantee, self.guarantee)
    }
}

/// Parameters that operators can tune. Each has a default, which the policy script can
/// override.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Weight of each team; 1 if absent.
    pub weights: BTreeMap<String, f64>,
    /// Length of a shard leader's lease, in seconds.
    pub shard_lease_s: f64,
    /// Headroom: capacity that is kept free, as a fraction of the capacity in use.
    pub cushion: f64,
    /// Number of service jobs, each as large as the largest seen, for which capacity is
    /// reserved.
    pub reserve_jobs: f64,
    /// Number of machine boot times that spot work waits before ordinary machines are
    /// rented for it.
    pub overflow: f64,
    /// Seconds that a machine may be idle before it is released.
    pub idle_s: f64,
    /// Seconds of delay that spot work accepts to avoid ordinary machines.
    pub spot_bias_s: f64,
    /// Seconds after which a job of which no task has started counts as starved and is
    /// served first.
    pub patience_s: f64,
    /// Number of different jobs that must fail on a machine before it is quarantined.
    pub sick_jobs: u32,
}

impl Policy {
    /// Returns the defaults that apply under the platform's settings.
    pub fn defaults(settings: &Settings) -> Self {
        let workers = &settings.cluster.workers;
        Self {
            weights: BTreeMap::new(),
            shard_lease_s: (workers.lease_s * SHARD_LEASE_RATIO)
                .clamp(MIN_SHARD_LEASE_S, MAX_SHARD_LEASE_S),
            cushion: 0.1,
            reserve_jobs: 0.5,
            overflow: 0.75,
            idle_s: 45.0,
            spot_bias_s: 30.0,
            patience_s: 60.0,
            sick_jobs: 2,
        }
    }
}

/// All settings, policy and cloud data that scheduling decisions depend on.
#[derive(Debug, Clone)]
pub struct Config {
    /// Time between two heartbeats of a worker.
    pub heartbeat_interval: Duration,
    /// A worker's lease: a worker kills its tasks if it receives no response for this
    /// long.
    pub lease: Duration,
    /// Time within which a cancelled job must have no running task.
    pub cancellation_limit: Duration,
    /// Number of writes that a transaction should not exceed. A single job may need
    /// more.
    pub max_batch_operations: usize,
    /// Number of shards; 0 until it is known.
    pub shards: u32,
    /// Maximum bytes of a stored value.
    pub value_bytes: usize,
    /// Maximum bytes of memory that live jobs may take.
    pub job_memory_limit: u64,
    /// Number of tasks that one chunk record of done tasks covers.
    pub chunk_tasks: u32,
    /// Zones that machines are in.
    pub zones: Vec<String>,
    /// Zones of the controllers, in the order of the controllers' names. Shard N is
    /// preferably led by controller N modulo their number. Empty if all controllers are
    /// in one zone.
    pub controller_zones: Vec<String>,
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
    /// Service-level objectives of job classes. An objective without a class applies to
    /// all.
    pub objectives: Vec<ServiceLevelObjective>,
    /// Machine types by label; empty until the cloud has listed them.
    pub flavors: BTreeMap<String, Flavor>,
    /// Parameters that operators can tune.
    pub policy: Policy,
}

/// Bytes of memory that live jobs may take, for a controller with this many MB.
pub fn job_memory_limit(ram_mb: f64) -> u64 {
    (ram_mb * BYTES_PER_MB * JOB_MEMORY_SHARE) as u64
}

/// Zones of the controllers in the order of their names. Empty if all zones are equal
/// or one of them is not a zone of machines.
fn controller_zones(settings: &Settings) -> Vec<String> {
    let mut members: Vec<(&str, &str)> = settings
        .seeds
        .iter()
        .map(|s| (s.member.as_str(), s.domain.as_str()))
        .collect();
    members.push((&settings.member, &settings.domain));
    members.sort();
    let machine_zones = &settings.cluster.zones;
    let zones_in_order: Vec<String> = members
        .into_iter()
        .map(|(_, zone)| zone.to_owned())
        .collect();
    let all_equal = zones_in_order
        .iter()
        .all(|zone| Some(zone) == zones_in_order.first());
    if all_equal
        || zones_in_order
            .iter()
            .any(|zone| !machine_zones.contains(zone))
    {
        Vec::new()
    } else {
        zones_in_order
    }
}

impl Config {
    /// Creates the configuration from validated settings and the policy. The number of
    /// shards and the machine types are set when they become known.
    pub fn new(settings: &Settings, policy: Policy) -> Self {
        let cluster = &settings.cluster;
        let slots = |cpus: f64, gpus: f64| Slots {
            cpus: Amount(cpus),
            gpus: Amount(gpus),
        };
        let teams = cluster
            .teams
            .iter()
            .map(|t| {
                let team = Team {
                    guarantee: slots(t.cpus, t.gpus),
                    limit: slots(t.cpus_max, t.gpus_max),
                    weight: policy
                        .weights
                        .get(&t.name)
                        .copied()
                        .unwrap_or(DEFAULT_WEIGHT),
                };
                (t.name.clone(), team)
            })
            .collect();
        Self {
            heartbeat_interval: secs(cluster.workers.report_s),
            lease: secs(cluster.workers.lease_s),
            cancellation_limit: secs(cluster.workers.cancel_s),
            max_batch_operations: cluster.state.txn_ops as usize,
            shards: 0,
            value_bytes: (cluster.state.value_kb * 1024.0) as usize,
            job_memory_limit: job_memory_limit(cluster.resources.ram_mb),
            chunk_tasks: chunk_tasks(cluster.state.value_kb),
            zones: cluster.zones.clone(),
            controller_zones: controller_zones(settings),
            teams,
            objectives: cluster.objectives.clone(),
            flavors: BTreeMap::new(),
            policy,
        }
    }

    /// Number of machines whose records share a stored value. Half of the value is for
    /// the records as they are registered, half for the images that are added to them
    /// later.
    pub fn machines_per_batch(&self) -> usize {
        (self.value_bytes / 2 / MACHINE_RECORD_BYTES).max(1)
    }

    /// Maximum bytes of a stored value that holds machine records.
    pub fn machine_batch_bytes(&self) -> usize {
        self.value_bytes - self.value_bytes / MESSAGE_OVERHEAD_DIVISOR
    }

    /// The zone of the controller that preferably leads a shard. `None` if the
    /// controllers' zones make no difference.
    pub fn preferred_zone(&self, shard: ShardId) -> Option<&str> {
        let position = (shard.0 as usize).checked_rem(self.controller_zones.len())?;
        self.controller_zones.get(position).map(String::as_str)
    }

    /// The shard that registers a new machine. It is one of the machine's own zone, so
    /// that a partition around the zone does not separate machines from their leader.
    /// If there is none, it is any shard. The machine's id selects among them.
    pub fn registering_shard(&self, machine: &MachineId, zone: &str) -> ShardId {
        let same_zone_shards: Vec<ShardId> = (0..self.shards)
            .map(ShardId)
            .filter(|shard| self.preferred_zone(*shard) == Some(zone))
            .collect();
        let position = machine.shard(same_zone_shards.len() as u32).0 as usize;
        same_zone_shards
            .get(position)
            .copied()
            .unwrap_or(machine.shard(self.shards))
    }

    /// Time without a heartbeat response, on this host's clock, after which a worker is
    /// certain to have killed its tasks.
    pub fn lease_expiry_bound(&self) -> Duration {
        remote_duration_upper_bound(self.lease)
    }

    /// Maximum time for which done tasks of an unfinished job are collected before they
    /// are committed.
    pub fn max_commit_delay(&self) -> Duration {
        self.lease * MAX_COMMIT_DELAY_LEASES
    }

    /// How long after its last contact with the state service a leader may respond to
    /// workers. If another controller accepts a cancellation right after that contact,
    /// the worker's lease still expires in time for it.
    pub fn response_window(&self) -> Duration {
        remote_duration_lower_bound(self.cancellation_limit.saturating_sub(self.lease))
            .saturating_sub(RESPONSE_MARGIN)
    }

    /// How long after a shard's failover a worker that sends heartbeats only to the
    /// previous leader may still run tasks, unless that leader has confirmed that it
    /// stepped down.
    pub fn previous_leader_window(&self) -> Duration {
        remote_duration_upper_bound(self.response_window() + self.lease)
    }

    /// Whether a machine type can run the job's tasks, in at least one zone.
    pub fn flavor_fits(&self, spec: &JobSpec, flavor: &Flavor) -> bool {
        spec.types
            .as_ref()
            .is_none_or(|types| types.contains(&flavor.label))
            && spec
                .zone
                .as_ref()
                .is_none_or(|zone| flavor.zones.contains(zone))
            && ResourceVector::of_flavor(flavor).fits(&ResourceVector::of_task(spec))
    }

    /// Whether tasks of the job may have been placed on such a machine. A type that is
    /// not known counts as fitting.
    pub fn may_run_on(&self, spec: &JobSpec, flavor: &str, zone: &str, spot: bool) -> bool {
        let fits = |f| self.flavor_fits(spec, f);
        spec.allows_placement(zone, spot) && self.flavors.get(flavor).is_none_or(fits)
    }

    /// Returns how many of its objectives a job of this age can still meet, and the
    /// longest time in seconds that any of them allows. The job is assumed to start at
    /// once and to finish after its estimated run time.
    pub fn attainable_objectives(&self, spec: &JobSpec, age: Duration) -> (u32, f64) {
        let age_s = age.as_secs_f64();
        let mut attainable = 0;
        let mut longest_s: f64 = 0.0;
        for objective in &self.objectives {
            if objective.class.as_ref().is_some_and(|c| *c != spec.class) {
                continue;
            }
            let run_time_s = if objective.kind == FINISHED_OBJECTIVE_KIND {
                spec.estimate_s.0
            } else {
                0.0
            };
            attainable += u32::from(age_s + run_time_s <= objective.within_s);
            longest_s = longest_s.max(objective.within_s);
        }
        (attainable, longest_s)
    }

    /// Returns the reason why a job can never run, as shown to its user, or `None` if
    /// it can run. All tasks of a gang or of a service run at the same time.
    pub fn unschedulable_reason(&self, spec: &JobSpec) -> Option<&'static str> {
        let Some(team) = self.teams.get(&spec.team) else {
            return Some("unknown team");
        };
        if !self.flavors.values().any(|f| self.flavor_fits(spec, f)) {
            return Some("a task fits no allowed machine type");
        }
        let concurrent_tasks = match spec.shape {
            Shape::Array => 1.0,
            Shape::Gang | Shape::Service => f64::from(spec.tasks),
        };
        let need = ResourceVector {
            cpus: spec.cpus.0 * concurrent_tasks,
            gpus: spec.gpus.0 * concurrent_tasks,
            memory_gb: 0.0,
        };
        let fits = within_limit(Slots::default(), need.slots(), team.limit, team.limit);
        (!fits).then_some("needs more than the team's limit")
    }
}
