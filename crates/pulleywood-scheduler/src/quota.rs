//! Division of each team's limit into quotas of the shards, within which shards decide
//! independently.
//!
//! The sum of a team's quotas never exceeds its limit: a shard's quota grows only by
//! slots that are in no shard's quota. Slots that another shard gives up count as such
//! only after its smaller quota was committed.

use crate::config::Config;
use pulleywood_protocol::ShardId;
use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::record::{QuotaRecord, Slots};
use std::collections::BTreeMap;

/// Smaller amounts count as zero, because quotas are sums of floating-point numbers.
const TOLERANCE: f64 = 1e-6;

/// Returns the initial quotas of each shard: every limit divided evenly.
pub fn initial_quotas(config: &Config, shards: u32) -> QuotaRecord {
    let share = |limit: f64| limit / f64::from(shards.max(1));
    let teams = config
        .teams
        .iter()
        .filter(|(_, team)| team.has_limit())
        .map(|(name, team)| {
            let slots = Slots {
                cpus: Amount(share(team.limit.cpus.0)),
                gpus: Amount(share(team.limit.gpus.0)),
            };
            (name.clone(), slots)
        })
        .collect();
    QuotaRecord { epoch: 1, teams }
}

/// Usage and demand of one team in one shard.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QuotaNeed {
    /// Slots in use. Slots of machines whose tasks are unknown count as used.
    pub used: Slots,
    /// Slots that waiting tasks need in addition.
    pub wanted: Slots,
    /// Whether none of the waiting tasks fits into the rest of the shard's quota.
    pub stuck: bool,
}

/// A resource that a team's limit may bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resource {
    Cpus,
    Gpus,
}

impl Resource {
    fn of(self, slots: Slots) -> f64 {
        match self {
            Resource::Cpus => slots.cpus.0,
            Resource::Gpus => slots.gpus.0,
        }
    }

    fn set(self, slots: &mut Slots, amount: f64) {
        match self {
            Resource::Cpus => slots.cpus.0 = amount,
            Resource::Gpus => slots.gpus.0 = amount,
        }
    }
}

/// The coordinator's next change of quotas.
#[derive(Debug, Clone, PartialEq)]
pub enum QuotaStep {
    /// Write this larger quota of a shard, on condition that no shard's record has
    /// changed.
    Grow(ShardId, QuotaRecord),
    /// Ask the shard's leader to shrink its quotas to these slots, by team.
    Shrink(ShardId, BTreeMap<String, Slots>),
}

/// Returns the next step towards quotas that match the shards' needs, or `None` if they
/// already do. `records` must hold the record of every shard: the slots of a missing
/// one would be given out twice.
///
/// If some of a resource is in no quota, a quota grows at once. Otherwise one shard is
/// asked to shrink, for all teams and resources of which it has the most to spare.
pub fn balance(
    config: &Config,
    records: &BTreeMap<ShardId, QuotaRecord>,
    needs: &BTreeMap<ShardId, BTreeMap<String, QuotaNeed>>,
) -> Option<QuotaStep> {
    let mut shrink: Option<(ShardId, BTreeMap<String, Slots>)> = None;
    for (name, team) in config.teams.iter().filter(|(_, t)| t.has_limit()) {
        for resource in [Resource::Cpus, Resource::Gpus] {
            let limit = resource.of(team.limit);
            if limit <= 0.0 {
                continue;
            }
            let quotas = ResourceQuotas {
                team: name,
                resource,
                limit,
                records,
                needs,
            };
            let Some(receiver) = quotas.receiver() else {
                continue;
            };
            if let Some(record) = quotas.grown_record(receiver.shard) {
                return Some(QuotaStep::Grow(receiver.shard, record));
            }
            let Some((donor, amount)) = quotas.donor_and_quota(&receiver) else {
                continue;
            };
            let (shard, teams) = shrink.get_or_insert((donor, BTreeMap::new()));
            if *shard == donor {
                let slots = records[&donor].teams.get(name).copied();
                let slots = teams
                    .entry(name.clone())
                    .or_insert(slots.unwrap_or_default());
                resource.set(slots, amount);
            }
        }
    }
    shrink.map(|(shard, teams)| QuotaStep::Shrink(shard, teams))
}

/// The shard whose quota grows next, for one team and resource.
struct Receiver<'a> {
    shard: ShardId,
    /// Shards in which no waiting task fits into the rest of the quota. If there are
    /// any, the receiver is one of them.
    stuck: Vec<&'a ShardId>,
}

/// Quotas of all shards, for one team and resource.
struct ResourceQuotas<'a> {
    team: &'a str,
    resource: Resource,
    limit: f64,
    records: &'a BTreeMap<ShardId, QuotaRecord>,
    needs: &'a BTreeMap<ShardId, BTreeMap<String, QuotaNeed>>,
}

impl<'a> ResourceQuotas<'a> {
    /// The shard's quota; 0 if it has none.
    fn quota(&self, shard: &ShardId) -> f64 {
        let record = self.records.get(shard);
        let slots = record.and_then(|r| r.teams.get(self.team));
        slots.map_or(0.0, |s| self.resource.of(*s))
    }

    fn need(&self, shard: &ShardId) -> Option<QuotaNeed> {
        let needs = self.needs.get(shard);
        needs.and_then(|n| n.get(self.team)).copied()
    }

    /// How much a shard's usage and demand exceed its quota.
    fn shortfall(&self, shard: &ShardId) -> f64 {
        self.need(shard).map_or(0.0, |need| {
            let (used, wanted) = self.used_and_wanted(need);
            (used + wanted - self.quota(shard)).max(0.0)
        })
    }

    /// The part of a shard's quota that is not in use.
    fn unused(&self, shard: &ShardId) -> f64 {
        self.need(shard)
            .map_or(0.0, |need| self.quota(shard) - self.resource.of(need.used))
    }

    /// The part of a shard's quota that is neither in use nor wanted.
    fn unneeded(&self, shard: &ShardId) -> f64 {
        self.need(shard).map_or(0.0, |need| {
            let (used, wanted) = self.used_and_wanted(need);
            (self.quota(shard) - used - wanted).max(0.0)
        })
    }

    fn used_and_wanted(&self, need: QuotaNeed) -> (f64, f64) {
        (self.resource.of(need.used), self.resource.of(need.wanted))
    }

    /// Returns the shard to grow next: the one with the largest shortfall. But where
    /// shards are stuck because what is left of each quota is less than one task, those
    /// remainders are of use to none of them, and are collected in the stuck shard that
    /// has the most left.
    fn receiver(&self) -> Option<Receiver<'a>> {
        let is_stuck = |shard: &&ShardId| {
            self.need(shard).is_some_and(|n| n.stuck) && self.shortfall(shard) > TOLERANCE
        };
        let stuck: Vec<&ShardId> = self.records.keys().filter(is_stuck).collect();
        let most_unused_stuck = stuck.iter().copied().max_by(|a, b| {
            let by_unused = self.unused(a).total_cmp(&self.unused(b));
            by_unused.then(b.cmp(a))
        });
        let with_shortfall = self
            .records
            .keys()
            .filter(|shard| self.shortfall(shard) > TOLERANCE);
        let largest_shortfall =
            with_shortfall.max_by(|a, b| self.shortfall(a).total_cmp(&self.shortfall(b)));
        let shard = *most_unused_stuck.or(largest_shortfall)?;
        Some(Receiver { shard, stuck })
    }

    /// Returns a shard's record after it has grown by slots that are in no quota.
    /// `None` if there are none.
    fn grown_record(&self, shard: ShardId) -> Option<QuotaRecord> {
        let allocated: f64 = self.records.keys().map(|shard| self.quota(shard)).sum();
        let unallocated = self.limit - allocated;
        (unallocated > TOLERANCE).then(|| {
            let mut record = self.records[&shard].clone();
            let slots = record.teams.entry(self.team.to_owned()).or_default();
            let amount = self.quota(&shard) + unallocated.min(self.shortfall(&shard));
            self.resource.set(slots, amount);
            record.epoch += 1;
            record
        })
    }

    /// Returns the shard with the most to spare and the quota to which it shrinks. A
    /// shard keeps what it uses and wants; a stuck one keeps only what it uses, because
    /// its waiting tasks cannot use the rest.
    fn donor_and_quota(&self, receiver: &Receiver<'_>) -> Option<(ShardId, f64)> {
        let spare = |shard: &ShardId| {
            if receiver.stuck.contains(&shard) {
                self.unused(shard).max(0.0)
            } else {
                self.unneeded(shard)
            }
        };
        let donor = self
            .records
            .keys()
            .filter(|shard| **shard != receiver.shard && spare(shard) > TOLERANCE)
            .max_by(|a, b| spare(a).total_cmp(&spare(b)))?;
        let amount = self.quota(donor) - spare(donor).min(self.shortfall(&receiver.shard));
        Some((*donor, amount))
    }
}

/// Returns a shard's record after shrinking its quotas to `target`, but not below what
/// is in use, or `None` if nothing changes. No quota grows.
pub fn shrunk_record(
    record: &QuotaRecord,
    target: &BTreeMap<String, Slots>,
    used: &BTreeMap<String, Slots>,
) -> Option<QuotaRecord> {
    let mut shrunk = record.clone();
    for (name, requested) in target {
        let Some(slots) = shrunk.teams.get_mut(name) else {
            continue;
        };
        let used = used.get(name).copied().unwrap_or_default();
        slots.cpus.0 = slots.cpus.0.min(requested.cpus.0.max(used.cpus.0));
        slots.gpus.0 = slots.gpus.0.min(requested.gpus.0.max(used.gpus.0));
    }
    (shrunk.teams != record.teams).then(|| {
        shrunk.epoch += 1;
        shrunk
    })
}
