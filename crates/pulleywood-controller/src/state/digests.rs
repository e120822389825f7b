//! Digests: those that this controller makes of its shards, and what it learns
//! from other controllers'.

use super::controller_state::{ControllerState, OwnDigests, ReceivedDigest};
use pulleywood_protocol::peer::{Digest, ShardDigest};
use pulleywood_protocol::{FencingToken, MemberId, MonotonicTime, ShardId};
use pulleywood_scheduler::machine_types;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Former processes remembered, so that late copies of their digests are recognized.
const MAX_FORMER: usize = 64;
/// Peers' digests are believed for this long.
const FRESH_DIGEST: Duration = Duration::from_secs(4);
/// Digests of the led shards are kept for this long.
const OWN_DIGESTS_AGE: Duration = Duration::from_millis(300);

impl ControllerState {
    /// Digests of the led shards, kept for some tenths of a second: they go to every peer,
    /// every submission needs them, and making one reads every machine of the shard.
    pub fn shard_digests(&mut self, now: MonotonicTime) -> Vec<Arc<ShardDigest>> {
        let kept = &self.own_digests;
        let loaded = self
            .led_shards
            .iter()
            .filter(|(_, led)| led.loaded)
            .map(|(p, _)| *p);
        if now.since(kept.made_at) < OWN_DIGESTS_AGE
            && loaded.eq(kept.digests.iter().map(|d| d.shard))
        {
            return kept.digests.clone();
        }
        self.share_choices(now);
        let loaded = self.led_shards.values().filter(|led| led.loaded);
        let digests = loaded.map(|led| Arc::new(led.state.digest(now, &self.config)));
        self.own_digests = OwnDigests {
            made_at: now,
            digests: digests.collect(),
        };
        self.own_digests.digests.clone()
    }

    /// Updates each shard's state with the machine types that waiting work may use, here
    /// and in other shards.
    pub(super) fn share_choices(&mut self, now: MonotonicTime) {
        if self.config.flavors.len() < 2 {
            return;
        }
        let config = &self.config;
        let fresh = self.digests.values();
        let fresh = fresh.filter(|d| d.is_fresh(now, FRESH_DIGEST));
        let shards = fresh.flat_map(|d| &d.digest.shards);
        for demand in shards.flat_map(|shard| &shard.demand) {
            self.choices
                .record_waiting(machine_types::of_demand(config, demand), now);
        }
        for led in self.led_shards.values() {
            let jobs = led.state.jobs.values();
            for job in jobs.filter(|j| !j.waiting.is_empty()) {
                self.choices
                    .record_waiting(machine_types::of_job(config, &job.spec), now);
            }
        }
        self.choices.remove_expired(now);
        for led in self.led_shards.values_mut() {
            led.state.machine_type_demand.clone_from(&self.choices);
        }
    }

    /// All fresh digests of led shards, this controller's included.
    pub fn all_shards(&mut self, now: MonotonicTime) -> BTreeMap<ShardId, Arc<ShardDigest>> {
        let mut all: BTreeMap<ShardId, Arc<ShardDigest>> = self
            .digests
            .values()
            .filter(|d| d.is_fresh(now, FRESH_DIGEST))
            .flat_map(|d| d.digest.shards.iter().cloned())
            .map(|p| (p.shard, p))
            .collect();
        all.extend(self.shard_digests(now).into_iter().map(|p| (p.shard, p)));
        all
    }

    /// Puts another controller's digest, unless it is a late copy.
    pub fn put_digest(&mut self, digest: Digest, now: MonotonicTime) {
        // The network may have held it back, or bring a copy of it again.
        let former = self.former_boots.iter().any(|boot| *boot == digest.boot);
        match self.digests.get(&digest.member) {
            _ if former => return,
            Some(ReceivedDigest { digest: known, .. })
                if known.boot == digest.boot && known.seq >= digest.seq =>
            {
                return;
            }
            Some(ReceivedDigest { digest: known, .. }) if known.boot != digest.boot => {
                self.former_boots.push_back(known.boot);
                self.former_boots.truncate(MAX_FORMER);
            }
            _ => {}
        }
        // Another controller leads a shard with a newer fencing token: this one lost it
        // without having heard so. The sooner it stops answering that shard's workers,
        // the sooner the new leader may place their tasks.
        self.led_shards.retain(|shard, led| {
            let lost = |(p, fencing_token): &(ShardId, FencingToken)| {
                p == shard && *fencing_token > led.state.fencing_token
            };
            !digest.serving.iter().any(lost)
        });
        let received = ReceivedDigest {
            digest,
            received_at: now,
        };
        self.digests
            .insert(received.digest.member.clone(), received);
        self.share_usage();
    }

    /// A peer said which shards it serves, when asked at `sent` or later. A previous leader
    /// that no longer answers workers with its fencing token, or whose process has ended,
    /// has answered none since: their leases expire within a lease from now. Its digests do
    /// not show that: one from before it led the shard says the same, and may come late.
    pub fn confirm(
        &mut self,
        peer: &MemberId,
        sent: MonotonicTime,
        now: MonotonicTime,
        serving: &[(ShardId, FencingToken)],
    ) {
        let expiry = self.config.lease_expiry_bound();
        for (shard, led) in &mut self.led_shards {
            if let Some(previous) = &led.previous_leader
                && previous.member == *peer
                && sent > led.acquired_at
                && !serving.contains(&(*shard, previous.fencing_token))
            {
                let until = now + expiry;
                led.state.previous_launches_until = led.state.previous_launches_until.min(until);
                led.previous_leader = None;
            }
        }
    }

    /// Updates each shard's state with what other shards use.
    pub(super) fn share_usage(&mut self) {
        let mut elsewhere: BTreeMap<String, pulleywood_protocol::record::Slots> = BTreeMap::new();
        for ReceivedDigest { digest, .. } in self.digests.values() {
            for shard in digest
                .shards
                .iter()
                .filter(|p| !self.led_shards.contains_key(&p.shard))
            {
                for (team, slots) in &shard.used {
                    pulleywood_scheduler::resources::add_slots(
                        elsewhere.entry(team.clone()).or_default(),
                        *slots,
                    );
                }
            }
        }
        for led in self.led_shards.values_mut() {
            led.state.usage_in_other_shards.clone_from(&elsewhere);
        }
    }
}
