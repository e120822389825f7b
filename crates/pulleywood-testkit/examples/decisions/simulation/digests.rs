//! Digests that shards exchange, and quotas.

use super::*;

impl Simulation {
    /// Tells all shards which machine types the waiting work of any shard can run on.
    pub(super) fn share_machine_type_demand(&mut self) {
        for digest in self.digests.values() {
            for demand in &digest.demand {
                let types = machine_types::of_demand(&self.config, demand);
                self.machine_type_demand.record_waiting(types, self.now);
            }
        }
        self.machine_type_demand.remove_expired(self.now);
        for state in self.shards.values_mut() {
            state
                .machine_type_demand
                .clone_from(&self.machine_type_demand);
        }
    }

    /// Tells each shard the slots that teams use in the other shards.
    pub(super) fn share_usage(&mut self) {
        for (shard, state) in &mut self.shards {
            let mut used_by_others: BTreeMap<String, Slots> = BTreeMap::new();
            let others = self
                .digests
                .values()
                .filter(|digest| digest.shard != *shard);
            for (team, used) in others.flat_map(|digest| &digest.used) {
                let total = used_by_others.entry(team.clone()).or_default();
                total.cpus.0 += used.cpus.0;
                total.gpus.0 += used.gpus.0;
            }
            state.usage_in_other_shards = used_by_others;
        }
    }

    pub(super) fn exchange_digests(&mut self) {
        self.share_machine_type_demand();
        let now = self.now;
        for (shard, state) in &mut self.shards {
            let digest = state.digest(now, &self.config);
            self.hasher
                .add_bytes(&rmp_serde::to_vec(&digest).expect("digest can be encoded"));
            self.digests.insert(*shard, Arc::new(digest));
            for event in state.take_health_events() {
                let (kind, name) = match event {
                    HealthEvent::JobBroken(id) => (0, id.to_string()),
                    HealthEvent::JobRecovered(id) => (1, id.to_string()),
                    HealthEvent::MachineQuarantined(id) => (2, id.to_string()),
                    HealthEvent::MachineRestored(id) => (3, id.to_string()),
                };
                self.hasher.add_number(kind);
                self.hasher.add_text(&name);
            }
            self.hasher
                .add_number(state.take_task_starts().len() as u64);
            self.hasher.add_number(state.candidates_examined);
            let snapshot = state.snapshot(&self.config);
            for count in [
                snapshot.machines,
                snapshot.confirmed,
                snapshot.unreported,
                snapshot.running,
                snapshot.stopping,
                snapshot.uncommitted,
                snapshot.inherited_waiting,
                snapshot.inherited_blocked,
                snapshot.waiting_replicas,
            ] {
                self.hasher.add_number(count as u64);
            }
            for (id, record) in state.outdated_image_records() {
                self.hasher.add_text(&id.0);
                self.hasher.add_bytes(&cbor::encode(&record));
                if self.rng.bool() {
                    self.revision += 1;
                    let revision = Revision(self.revision);
                    state.put_machine(&id, record.clone(), revision, false, now);
                    self.records.insert(id, (record, revision));
                }
            }
        }
        self.hasher.add_number(
            match reachability(self.shards.values(), now, &self.config) {
                Reachability::Reachable => 0,
                Reachability::Uncertain => 1,
                Reachability::Unreachable => 2,
            },
        );
        self.sent_work.clear();
        self.share_usage();
    }

    pub(super) fn balance_quotas(&mut self) {
        let need = |digest: &ShardDigest| {
            let teams = self.config.teams.keys().map(|team| {
                let need = QuotaNeed {
                    used: digest.used.get(team).copied().unwrap_or_default(),
                    wanted: digest.wanted.get(team).copied().unwrap_or_default(),
                    stuck: digest.quota_blocked_teams.contains(team),
                };
                (team.clone(), need)
            });
            teams.collect::<BTreeMap<_, _>>()
        };
        let needs = self
            .digests
            .iter()
            .map(|(shard, digest)| (*shard, need(digest)));
        let needs: BTreeMap<ShardId, BTreeMap<String, QuotaNeed>> = needs.collect();
        match quota::balance(&self.config, &self.quotas, &needs) {
            None => self.hasher.add_number(0),
            Some(QuotaStep::Grow(shard, record)) => {
                self.hasher.add_number(1);
                self.set_quota(shard, record);
            }
            Some(QuotaStep::Shrink(shard, target)) => {
                self.hasher.add_number(2);
                let used = self.shards[&shard].usage_by_team(&self.config);
                if let Some(record) = quota::shrunk_record(&self.quotas[&shard], &target, &used) {
                    self.set_quota(shard, record);
                }
            }
        }
    }

    pub(super) fn set_quota(&mut self, shard: ShardId, record: QuotaRecord) {
        self.hasher.add_number(u64::from(shard.0));
        self.hasher.add_bytes(&cbor::encode(&record));
        let state = self
            .shards
            .get_mut(&shard)
            .expect("quota names an existing shard");
        state.quotas = record.clone();
        state.invalidate_plan();
        self.quotas.insert(shard, record);
    }
}
