//! Configuration of the decisions: the platform's settings, and the operators' policy.

use crate::resources::{ResourceVector, within_limit};
use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::cloud::Flavor;
use pulleywood_protocol::job::{JobSpec, Shape};
use pulleywood_protocol::record::{Slots, chunk_tasks};
use pulleywood_protocol::settings::{ServiceLevelObjective, Settings};
use pulleywood_protocol::time::{secs, surely_past, surely_within};
use pulleywood_protocol::{MachineId, ShardId};
use std::collections::BTreeMap;
use std::time::Duration;

/// A team's weight unless the policy sets it.
const DEFAULT_WEIGHT: f64 = 1.0;
/// The default lease of a shard's leader is this share of a worker's lease, within bounds
/// that keep renewals cheap and failovers short.
const SHARD_LEASE_RATIO: f64 = 0.5;
const MIN_SHARD_LEASE_S: f64 = 3.0;
const MAX_SHARD_LEASE_S: f64 = 10.0;
/// Estimated bytes of one machine's record in a batch.
const MACHINE_RECORD_BYTES: usize = 220;
/// The share of a value that is left for what surrounds it in a message: 1/64.
const MESSAGE_OVERHEAD: usize = 64;
/// Done tasks gather for this many leases before their record is written.
const DONE_AGE_LEASES: u32 = 2;
/// Allowance for a heartbeat's response to arrive.
const RESPONSE_MARGIN: Duration = Duration::from_secs(1);
/// The `kind` of an objective for the end of a job; others are for its start.
const FINISHED: &str = "finished";

/// One team's guarantee, limit and weight. Amounts of 0 mean none.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Guaranteed slots.
    pub guarantee: Slots,
    /// Most slots.
    pub limit: Slots,
    /// Fair share relative to other teams.
    pub weight: f64,
}

impl Team {
    /// Whether any resource is limited.
    pub fn has_limit(&self) -> bool {
        self.limit.cpus.0 > 0.0 || self.limit.gpus.0 > 0.0
    }

    /// Whether this usage, over all shards, lies within the guarantee.
    pub fn guarantee_covers(&self, used: Slots) -> bool {
        let any = self.guarantee.cpus.0 > 0.0 || self.guarantee.gpus.0 > 0.0;
        any && within_limit(used, Slots::default(), self.guarantee, self.guarantee)
    }
}

/// The operators' levers. Each has a default and can be set by the policy script.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Weight of each team; 1 if absent.
    pub weights: BTreeMap<String, f64>,
    /// Length of a shard leader's lease, in seconds.
    pub shard_lease_s: f64,
    /// Headroom: capacity kept free, as a share of what is in use.
    pub cushion: f64,
    /// Service jobs, of the largest size seen, for which capacity is reserved.
    pub reserve_jobs: f64,
    /// Boot times that spot work waits before ordinary machines are rented for it.
    pub overflow: f64,
    /// Seconds for which a machine may idle before it is given back.
    pub idle_s: f64,
    /// Seconds of delay that spot work accepts to keep off ordinary machines.
    pub spot_bias_s: f64,
    /// Seconds after which a job without a started task is starved and comes first.
    pub patience_s: f64,
    /// Different jobs whose tasks fail on a machine before it is quarantined.
    pub sick_jobs: u32,
}

impl Policy {
    /// The defaults under the platform's settings.
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

/// All that the decisions need to know of settings, policy and cloud.
#[derive(Debug, Clone)]
pub struct Config {
    /// Between two heartbeats of a worker.
    pub heartbeat_interval: Duration,
    /// A worker's lease: without a response for so long, it kills its tasks.
    pub lease: Duration,
    /// Time within which a cancelled job must have no running task.
    pub cancellation_limit: Duration,
    /// Writes that a transaction should hold; those of a single job may exceed it.
    pub max_batch_operations: usize,
    /// Number of shards.
    pub shards: u32,
    /// Most bytes of a stored value.
    pub value_bytes: usize,
    /// Tasks that one record of done tasks covers.
    pub chunk_tasks: u32,
    /// The zones that machines are in.
    pub zones: Vec<String>,
    /// Zones of the controllers, in the order of their names: shard N is preferably led
    /// by the N-th, modulo their number. Empty if all are in one zone.
    pub controller_zones: Vec<String>,
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
    /// Service-level objectives of job classes; those without a class hold for all.
    pub objectives: Vec<ServiceLevelObjective>,
    /// Machine types by label; empty until the cloud has listed them.
    pub flavors: BTreeMap<String, Flavor>,
    /// The operators' levers.
    pub policy: Policy,
}

/// Zones of the controllers in the order of their names; none if all are the same, or
/// one is not a zone of machines.
fn controller_zones(settings: &Settings) -> Vec<String> {
    let mut members: Vec<(&str, &str)> = settings
        .seeds
        .iter()
        .map(|s| (s.member.as_str(), s.domain.as_str()))
        .collect();
    members.push((&settings.member, &settings.domain));
    members.sort();
    let zones = &settings.cluster.zones;
    let homes: Vec<String> = members
        .into_iter()
        .map(|(_, zone)| zone.to_owned())
        .collect();
    let same = homes.iter().all(|zone| Some(zone) == homes.first());
    if same || homes.iter().any(|zone| !zones.contains(zone)) {
        Vec::new()
    } else {
        homes
    }
}

impl Config {
    /// The configuration that follows from checked settings and the policy. Shards and
    /// machine types are set once they are known.
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
            chunk_tasks: chunk_tasks(cluster.state.value_kb),
            zones: cluster.zones.clone(),
            controller_zones: controller_zones(settings),
            teams,
            objectives: cluster.objectives.clone(),
            flavors: BTreeMap::new(),
            policy,
        }
    }

    /// Machines whose records share a stored value. Half of it is for the records as
    /// they are registered, half for the images that they come to list.
    pub fn machines_per_batch(&self) -> usize {
        (self.value_bytes / 2 / MACHINE_RECORD_BYTES).max(1)
    }

    /// Most bytes of such a value.
    pub fn machine_batch_bytes(&self) -> usize {
        self.value_bytes - self.value_bytes / MESSAGE_OVERHEAD
    }

    /// The zone of the controller that preferably leads a shard; none if the zones of
    /// the controllers make no difference.
    pub fn preferred_zone(&self, shard: ShardId) -> Option<&str> {
        let position = (shard.0 as usize).checked_rem(self.controller_zones.len())?;
        self.controller_zones.get(position).map(String::as_str)
    }

    /// The shard that registers a new machine: one of its own zone, so that a partition
    /// around the zone leaves machines with their leader; otherwise any, by its id.
    pub fn registering_shard(&self, machine: &MachineId, zone: &str) -> ShardId {
        let near: Vec<ShardId> = (0..self.shards)
            .map(ShardId)
            .filter(|p| self.preferred_zone(*p) == Some(zone))
            .collect();
        let position = machine.shard(near.len() as u32).0 as usize;
        near.get(position)
            .copied()
            .unwrap_or(machine.shard(self.shards))
    }

    /// After this long without a heartbeat response, by this host's clock, a worker has
    /// surely killed its tasks.
    pub fn lease_expiry_bound(&self) -> Duration {
        surely_past(self.lease)
    }

    /// How long done tasks of an unfinished job gather before their record is written.
    pub fn max_commit_delay(&self) -> Duration {
        self.lease * DONE_AGE_LEASES
    }

    /// How long after its last contact with the state service a leader may still answer
    /// workers. A cancellation that another controller accepts right after that contact
    /// is then still in time, since the worker's lease expires.
    pub fn response_window(&self) -> Duration {
        surely_within(self.cancellation_limit.saturating_sub(self.lease))
            .saturating_sub(RESPONSE_MARGIN)
    }

    /// How long after a shard's failover a worker that sends heartbeats to the previous
    /// leader alone may still run tasks, unless that leader has confirmed its end.
    pub fn previous_leader_window(&self) -> Duration {
        surely_past(self.response_window() + self.lease)
    }

    /// Whether a machine type may run the job's tasks, in some zone.
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

    /// Whether tasks of the job may have been placed on such a machine, as far as is
    /// known of its type.
    pub fn may_run_on(&self, spec: &JobSpec, flavor: &str, zone: &str, spot: bool) -> bool {
        let fits = |f| self.flavor_fits(spec, f);
        spec.allows_place(zone, spot) && self.flavors.get(flavor).is_none_or(fits)
    }

    /// How many of the objectives of its class a job of this age can still meet, and the
    /// longest time, in seconds, that any of them allows. It would start at once, and
    /// finish after the estimated run.
    pub fn attainable_objectives(&self, spec: &JobSpec, age: Duration) -> (u32, f64) {
        let age_s = age.as_secs_f64();
        let mut open = 0;
        let mut longest_s: f64 = 0.0;
        for objective in &self.objectives {
            if objective.class.as_ref().is_some_and(|c| *c != spec.class) {
                continue;
            }
            let run_s = if objective.kind == FINISHED {
                spec.estimate_s.0
            } else {
                0.0
            };
            open += u32::from(age_s + run_s <= objective.within_s);
            longest_s = longest_s.max(objective.within_s);
        }
        (open, longest_s)
    }

    /// Why a job can never run, for its user; none if it can. The tasks of a gang and of
    /// a service run together.
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
