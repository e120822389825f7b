//! Quotas: each team's limit is divided into quotas of the shards, which decide alone
//! within them.
//!
//! The sum of a team's quotas never exceeds its limit: a shard's quota grows only by
//! what is not given out after another shard's shrinking was committed.

use crate::config::Config;
use pulleywood_protocol::ShardId;
use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::record::{QuotaRecord, Slots};
use std::collections::BTreeMap;

/// Smaller amounts count as nothing, since quotas are sums of floats.
const TOLERANCE: f64 = 1e-6;

/// The first quotas: every limit divided evenly.
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

/// What one shard uses and wants of one team.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QuotaNeed {
    /// In use, unknown slots counted.
    pub used: Slots,
    /// Wanted by waiting tasks on top of that.
    pub wanted: Slots,
    /// None of these tasks fits into what is left of the shard's quota.
    pub stuck: bool,
}

/// One resource that a team's limit bounds.
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

/// What the coordinator does next about quotas.
#[derive(Debug, Clone, PartialEq)]
pub enum QuotaStep {
    /// Write this shard's larger quota, on condition that no shard's record has
    /// changed.
    Grow(ShardId, QuotaRecord),
    /// Ask this shard's leader to shrink its quota to these slots.
    Shrink(ShardId, BTreeMap<String, Slots>),
}

/// The next step towards quotas that match the shards' needs; none if they do.
/// `records` must hold the record of every shard: slots of one left out would be given
/// out twice.
///
/// A resource of which something is not given out grows at once. Otherwise one shard
/// is asked to shrink, for all teams and resources of which it has the most to spare.
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

/// The shard whose quota grows next, of one team and resource.
struct Receiver<'a> {
    shard: ShardId,
    /// Shards in which no waiting task fits into what is left of the quota. If there
    /// are any, the receiver is one of them.
    stuck: Vec<&'a ShardId>,
}

/// The quotas of all shards, of one team and resource.
struct ResourceQuotas<'a> {
    team: &'a str,
    resource: Resource,
    limit: f64,
    records: &'a BTreeMap<ShardId, QuotaRecord>,
    needs: &'a BTreeMap<ShardId, BTreeMap<String, QuotaNeed>>,
}

impl<'a> ResourceQuotas<'a> {
    /// The quota of a shard.
    fn quota(&self, shard: &ShardId) -> f64 {
        let record = self.records.get(shard);
        let slots = record.and_then(|r| r.teams.get(self.team));
        slots.map_or(0.0, |s| self.resource.of(*s))
    }

    fn need(&self, shard: &ShardId) -> Option<QuotaNeed> {
        let needs = self.needs.get(shard);
        needs.and_then(|n| n.get(self.team)).copied()
    }

    /// What a shard uses and wants beyond its quota.
    fn shortfall(&self, shard: &ShardId) -> f64 {
        self.need(shard).map_or(0.0, |need| {
            let (used, wanted) = self.used_and_wanted(need);
            (used + wanted - self.quota(shard)).max(0.0)
        })
    }

    /// What a shard's quota leaves beside what is in use.
    fn unused(&self, shard: &ShardId) -> f64 {
        self.need(shard)
            .map_or(0.0, |need| self.quota(shard) - self.resource.of(need.used))
    }

    /// What a shard's quota leaves beside what is in use and wanted.
    fn unneeded(&self, shard: &ShardId) -> f64 {
        self.need(shard).map_or(0.0, |need| {
            let (used, wanted) = self.used_and_wanted(need);
            (self.quota(shard) - used - wanted).max(0.0)
        })
    }

    fn used_and_wanted(&self, need: QuotaNeed) -> (f64, f64) {
        (self.resource.of(need.used), self.resource.of(need.wanted))
    }

    /// The shard to grow next. Where the rest of each shard's quota is less than one
    /// task, it is of use to none: it is gathered in the shard that has the most of
    /// it. Otherwise it is the shard that lacks most.
    fn receiver(&self) -> Option<Receiver<'a>> {
        let is_stuck = |shard: &&ShardId| {
            self.need(shard).is_some_and(|n| n.stuck) && self.shortfall(shard) > TOLERANCE
        };
        let stuck: Vec<&ShardId> = self.records.keys().filter(is_stuck).collect();
        let gathering = stuck.iter().copied().max_by(|a, b| {
            let most_unused = self.unused(a).total_cmp(&self.unused(b));
            most_unused.then(b.cmp(a))
        });
        let lacking = self
            .records
            .keys()
            .filter(|p| self.shortfall(p) > TOLERANCE);
        let poorest = lacking.max_by(|a, b| self.shortfall(a).total_cmp(&self.shortfall(b)));
        let shard = *gathering.or(poorest)?;
        Some(Receiver { shard, stuck })
    }

    /// A shard's record grown by what is not given out; none if all of it is.
    fn grown_record(&self, shard: ShardId) -> Option<QuotaRecord> {
        let given_out: f64 = self.records.keys().map(|p| self.quota(p)).sum();
        let spare = self.limit - given_out;
        (spare > TOLERANCE).then(|| {
            let mut record = self.records[&shard].clone();
            let slots = record.teams.entry(self.team.to_owned()).or_default();
            let amount = self.quota(&shard) + spare.min(self.shortfall(&shard));
            self.resource.set(slots, amount);
            record.epoch += 1;
            record
        })
    }

    /// The shard with the most to spare, and what its quota shrinks to. It keeps what
    /// it uses and wants; if it is stuck, it keeps what it uses, as nothing that waits
    /// there can use the rest.
    fn donor_and_quota(&self, receiver: &Receiver<'_>) -> Option<(ShardId, f64)> {
        let spares = |shard: &ShardId| {
            if receiver.stuck.contains(&shard) {
                self.unused(shard).max(0.0)
            } else {
                self.unneeded(shard)
            }
        };
        let donor = self
            .records
            .keys()
            .filter(|p| **p != receiver.shard && spares(p) > TOLERANCE)
            .max_by(|a, b| spares(a).total_cmp(&spares(b)))?;
        let amount = self.quota(donor) - spares(donor).min(self.shortfall(&receiver.shard));
        Some((*donor, amount))
    }
}

/// A shard's record after it shrank its quota to `to`, at most, and to what is in use
/// at least; none if nothing changes. No quota grows by it.
pub fn shrunk_record(
    record: &QuotaRecord,
    to: &BTreeMap<String, Slots>,
    used: &BTreeMap<String, Slots>,
) -> Option<QuotaRecord> {
    let mut next = record.clone();
    for (name, want) in to {
        let Some(slots) = next.teams.get_mut(name) else {
            continue;
        };
        let used = used.get(name).copied().unwrap_or_default();
        slots.cpus.0 = slots.cpus.0.min(want.cpus.0.max(used.cpus.0));
        slots.gpus.0 = slots.gpus.0.min(want.gpus.0.max(used.gpus.0));
    }
    (next.teams != record.teams).then(|| {
        next.epoch += 1;
        next
    })
}
