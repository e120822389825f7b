//! Digests: those that this controller makes of its led shards, and those that it receives
//! from other controllers.

use super::controller_state::{ControllerState, OwnDigests, ReceivedDigest};
use pulleywood_protocol::peer::{Digest, ShardDigest};
use pulleywood_protocol::{FencingToken, MemberId, MonotonicTime, ShardId};
use pulleywood_scheduler::machine_types;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Largest number of boot numbers kept to recognize late digests of replaced processes.
const MAX_FORMER_BOOTS: usize = 64;
/// Age from which a peer's digest is no longer used.
const MAX_DIGEST_AGE: Duration = Duration::from_secs(4);
/// Age from which the cached digests of led shards are made again.
const MAX_OWN_DIGESTS_AGE: Duration = Duration::from_millis(300);

impl ControllerState {
    /// Digests of the loaded shards that this controller leads. They are cached for a short
    /// time, because every submission and every message to a peer needs them, and making one
    /// reads every machine of the shard.
    pub fn led_shard_digests(&mut self, now: MonotonicTime) -> Vec<Arc<ShardDigest>> {
        let cached = &self.own_digests;
        let loaded = self
            .led_shards
            .iter()
            .filter(|(_, led)| led.loaded)
            .map(|(shard, _)| *shard);
        if now.since(cached.made_at) < MAX_OWN_DIGESTS_AGE
            && loaded.eq(cached.digests.iter().map(|d| d.shard))
        {
            return cached.digests.clone();
        }
        self.update_machine_type_demand(now);
        let loaded = self.led_shards.values().filter(|led| led.loaded);
        let digests = loaded.map(|led| Arc::new(led.state.digest(now, &self.config)));
        self.own_digests = OwnDigests {
            made_at: now,
            digests: digests.collect(),
        };
        self.own_digests.digests.clone()
    }

    /// Updates each led shard with the sets of machine types that waiting work of all shards
    /// may use.
    pub(super) fn update_machine_type_demand(&mut self, now: MonotonicTime) {
        if self.config.flavors.len() < 2 {
            return;
        }
        let config = &self.config;
        let received = self.digests.values();
        let fresh = received.filter(|received| received.is_fresh(now, MAX_DIGEST_AGE));
        let shards = fresh.flat_map(|received| &received.digest.shards);
        for demand in shards.flat_map(|shard| &shard.demand) {
            self.machine_type_demand
                .record_waiting(machine_types::of_demand(config, demand), now);
        }
        for led in self.led_shards.values() {
            let jobs = led.state.jobs.values();
            for job in jobs.filter(|job| !job.waiting.is_empty()) {
                self.machine_type_demand
                    .record_waiting(machine_types::of_job(config, &job.spec), now);
            }
        }
        self.machine_type_demand.remove_expired(now);
        for led in self.led_shards.values_mut() {
            led.state
                .machine_type_demand
                .clone_from(&self.machine_type_demand);
        }
    }

    /// Digests of the shards that this controller leads, and of those in its peers' recent
    /// digests.
    pub fn fresh_shard_digests(
        &mut self,
        now: MonotonicTime,
    ) -> BTreeMap<ShardId, Arc<ShardDigest>> {
        let mut all: BTreeMap<ShardId, Arc<ShardDigest>> = self
            .digests
            .values()
            .filter(|received| received.is_fresh(now, MAX_DIGEST_AGE))
            .flat_map(|received| received.digest.shards.iter().cloned())
            .map(|digest| (digest.shard, digest))
            .collect();
        all.extend(
            self.led_shard_digests(now)
                .into_iter()
                .map(|digest| (digest.shard, digest)),
        );
        all
    }

    /// Stores a peer's digest, unless it is a duplicate, older than the stored one, or from a
    /// process that has been replaced. Stops leading the shards that the digest shows to be
    /// served under a newer fencing token.
    pub fn put_digest(&mut self, digest: Digest, now: MonotonicTime) {
        // The network may deliver a digest late or more than once.
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
                self.former_boots.truncate(MAX_FORMER_BOOTS);
            }
            _ => {}
        }
        // A peer that serves a shard with a newer fencing token has taken it over, though
        // this controller has not seen that in the store yet. The sooner it stops answering
        // the shard's workers, the sooner the new leader may place their tasks.
        self.led_shards.retain(|shard, led| {
            let taken_over = |(served, fencing_token): &(ShardId, FencingToken)| {
                served == shard && *fencing_token > led.state.fencing_token
            };
            !digest.serving.iter().any(taken_over)
        });
        let received = ReceivedDigest {
            digest,
            received_at: now,
        };
        self.digests
            .insert(received.digest.member.clone(), received);
        self.update_usage_by_other_shards();
    }

    /// Applies a peer's response that lists the shards it serves; the request was sent at
    /// `sent`. If the peer was the previous leader of a led shard and no longer answers the
    /// shard's workers under its former fencing token, or its process has ended, it answers
    /// none of them any more, so their leases expire within the lease expiry bound from now.
    /// A response to a request that was sent before this controller acquired the shard does
    /// not prove that. Neither does a digest of the peer: one from before it led the shard
    /// lists the same shards, and may arrive late.
    pub fn apply_served_shards(
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

    /// Updates each led shard with the slots that other controllers' shards use, by team.
    pub(super) fn update_usage_by_other_shards(&mut self) {
        let mut used_by_others: BTreeMap<String, pulleywood_protocol::record::Slots> =
            BTreeMap::new();
        for ReceivedDigest { digest, .. } in self.digests.values() {
            for shard_digest in digest
                .shards
                .iter()
                .filter(|shard_digest| !self.led_shards.contains_key(&shard_digest.shard))
            {
                for (team, slots) in &shard_digest.used {
                    pulleywood_scheduler::resources::add_slots(
                        used_by_others.entry(team.clone()).or_default(),
                        *slots,
                    );
                }
            }
        }
        for led in self.led_shards.values_mut() {
            led.state.usage_in_other_shards.clone_from(&used_by_others);
        }
    }
}
