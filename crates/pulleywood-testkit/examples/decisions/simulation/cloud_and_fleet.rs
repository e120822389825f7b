//! The cloud and the fleet: rentals, machine moves, job transfers and releases.

use super::*;

impl Simulation {
    pub(super) fn rent(&mut self, kind: &MachineKind, booted_at: MonotonicTime) -> MachineId {
        self.machine_count += 1;
        let id = MachineId::from(format!("vm-{:06}", self.machine_count).as_str());
        let worker = Worker {
            tasks: Vec::new(),
            incarnation: 1,
            seq: 0,
            fencing_token: FencingToken(0),
            booted_at,
            lost: self.rng.f64() < 0.03,
            fails_tasks: self.rng.f64() < 0.08,
            inbound_partitioned_until: MonotonicTime(0),
            preemption_at: None,
        };
        self.workers.insert(id.clone(), worker);
        self.unregistered.insert(id.clone(), kind.clone());
        id
    }

    /// Records a machine when its worker sends the first heartbeat.
    pub(super) fn register(&mut self, id: &MachineId) {
        let Some(kind) = self.unregistered.remove(id) else {
            return;
        };
        let shard = self.config.registering_shard(id, &kind.zone);
        let revision = self.next_revision();
        let record = MachineRecord {
            flavor: kind.flavor,
            zone: kind.zone,
            spot: kind.spot,
            ..samples::machine_record(shard)
        };
        let state = self.shards.get_mut(&shard).expect("shard exists");
        state.put_machine(id, record.clone(), revision, false, self.now);
        self.records.insert(id.clone(), (record, revision));
    }

    pub(super) fn remove_machine(&mut self, id: &MachineId) {
        for state in self.shards.values_mut() {
            state.remove_machine(id);
        }
        self.records.remove(id);
        self.workers.remove(id);
        self.unregistered.remove(id);
    }

    pub(super) fn rentals(&self) -> Vec<Rental> {
        let rental = |id: &MachineId, flavor: &str, zone: &str, spot, status| Rental {
            machine: id.clone(),
            endpoint: None,
            flavor: flavor.to_owned(),
            zone: zone.to_owned(),
            spot,
            status,
            age_s: Amount(20.0),
        };
        let recorded = self.records.iter().map(|(id, (record, _))| {
            let is_lost = self.workers.get(id).is_none_or(|worker| worker.lost);
            let status = if is_lost {
                RentalStatus::Failed
            } else {
                RentalStatus::Running
            };
            rental(id, &record.flavor, &record.zone, record.spot, status)
        });
        let unregistered = self.unregistered.iter();
        let unregistered = unregistered.map(|(id, kind)| {
            rental(
                id,
                &kind.flavor,
                &kind.zone,
                kind.spot,
                RentalStatus::Starting,
            )
        });
        recorded.chain(unregistered).collect()
    }

    pub(super) fn run_fleet_round(&mut self) {
        let list = self.rentals();
        let records: BTreeMap<MachineId, MachineRecord> = self
            .records
            .iter()
            .map(|(id, (record, _))| (id.clone(), record.clone()))
            .collect();
        let snapshot = FleetSnapshot {
            now: self.now,
            records: &records,
            shards: &self.digests,
            rentals: self.rng.bool().then_some(list.as_slice()),
            suspend_scale_in: self.rng.f64() < 0.05,
        };
        for action in fleet::decide(&self.config, &mut self.fleet_history, &snapshot) {
            self.apply_action(action);
        }
    }

    pub(super) fn apply_action(&mut self, action: Action) {
        match action {
            Action::Move(id, from, to) => {
                self.hash_action(0, &[&id], &[from, to]);
                self.move_machine(&id, from, to);
            }
            Action::Transfer(from, to, demand) => {
                self.hash_action(1, &[], &[from, to]);
                self.hasher
                    .add_bytes(&rmp_serde::to_vec(&demand).expect("demand can be encoded"));
                self.transfer(from, to, &demand);
            }
            Action::Drain(shard, ids) => {
                self.hash_action(2, &ids.iter().collect::<Vec<_>>(), &[shard]);
                let until = self.now + Duration::from_secs(10);
                let state = self.shards.get_mut(&shard).expect("shard exists");
                state.drain(&ids, until);
            }
            Action::ScaleIn(id, shard) => {
                self.hash_action(3, &[&id], &[shard]);
                let may_leave = self.shards[&shard].may_leave(&id);
                self.hasher.add_flag(may_leave);
                if may_leave {
                    self.remove_machine(&id);
                }
            }
            Action::ScaleOut(kind, count) => {
                self.hasher.add_number(4);
                self.hasher.add_number(u64::from(count));
                self.hasher.add_text(&kind.flavor);
                self.hasher.add_text(&kind.zone);
                self.hasher.add_flag(kind.spot);
                self.rent_machines(&kind, count);
            }
            Action::ReleaseDead(ids, _) => {
                self.hash_action(5, &ids.iter().collect::<Vec<_>>(), &[]);
                for id in ids {
                    self.remove_machine(&id);
                }
            }
        }
    }

    /// Hashes the kind of an action, as a number of its own, with its machines and shards.
    pub(super) fn hash_action(&mut self, kind: u64, machines: &[&MachineId], shards: &[ShardId]) {
        self.hasher.add_number(kind);
        for id in machines {
            self.hasher.add_text(&id.0);
        }
        for shard in shards {
            self.hasher.add_number(u64::from(shard.0));
        }
    }

    pub(super) fn move_machine(&mut self, id: &MachineId, from: ShardId, to: ShardId) {
        let may_leave = self.shards[&from].may_leave(id);
        self.hasher.add_flag(may_leave);
        let Some((record, _)) = self.records.get(id).cloned() else {
            return;
        };
        if !may_leave {
            self.fleet_history.cancel_move(id);
            return;
        }
        let revision = self.next_revision();
        let fencing_token = self.shards[&from].fencing_token.next();
        let record = MachineRecord {
            shard: to,
            fencing_token,
            ..record
        };
        let source = self.shards.get_mut(&from).expect("shard exists");
        source.remove_machine(id);
        let destination = self.shards.get_mut(&to).expect("shard exists");
        destination.put_machine(id, record.clone(), revision, false, self.now);
        self.records.insert(id.clone(), (record, revision));
    }

    pub(super) fn transfer(
        &mut self,
        from: ShardId,
        to: ShardId,
        demand: &pulleywood_protocol::peer::Demand,
    ) {
        let state = self.shards.get_mut(&from).expect("shard exists");
        for offer in state.offer_tasks(demand, &self.config) {
            self.hasher.add_text(offer.id.as_str());
            self.hasher.add_text(offer.zone.as_deref().unwrap_or(""));
            self.hasher.add_text(&offer.tasks.chunk_text(0, 1 << 20));
            let random = self.rng.f64();
            if random < 0.1 {
                let state = self.shards.get_mut(&from).expect("shard exists");
                state.withdraw_offer(&offer.id);
                continue;
            }
            if random < 0.2 {
                let state = self.shards.get_mut(&from).expect("shard exists");
                state.mark_offer_uncertain(&offer.id);
                continue;
            }
            let Some((mut record, _)) = self.jobs.get(&offer.id).cloned() else {
                continue;
            };
            record.transfer_tasks(to, offer.zone.as_deref(), &offer.tasks);
            self.hasher.add_bytes(&cbor::encode(&record));
            if self.batched_jobs.remove(&offer.id) {
                self.remove_from_job_batch(&offer.id);
            }
            let revision = self.next_revision();
            for state in self.shards.values_mut() {
                state.put_job(&record, revision, false, self.now, &self.config);
            }
            self.jobs.insert(offer.id, (record, revision));
        }
    }

    pub(super) fn rent_machines(&mut self, kind: &MachineKind, count: u32) {
        // The cloud has at most 40 machines, and sometimes refuses a kind or rents out fewer
        // machines than requested.
        let available = 40_usize.saturating_sub(self.workers.len()) as u32;
        let count = count.min(available).min(self.rng.u32(0..6));
        if count == 0 {
            self.fleet_history.record_refusal(kind, self.now);
            return;
        }
        let booted_at = self.now + Duration::from_secs(8);
        let ids: Vec<MachineId> = (0..count).map(|_| self.rent(kind, booted_at)).collect();
        self.fleet_history.record_filled_rental(kind);
        self.fleet_history
            .record_rented_machines(&ids, kind, self.now);
    }
}
