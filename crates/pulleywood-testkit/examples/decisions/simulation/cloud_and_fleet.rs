//! The cloud and the fleet: rentals, moves, transfers, releases.

use super::*;

impl Simulation {
    pub(super) fn rent(&mut self, kind: &MachineKind, up_at: MonotonicTime) -> MachineId {
        self.machine_count += 1;
        let id = MachineId::from(format!("vm-{:06}", self.machine_count).as_str());
        let worker = Worker {
            tasks: Vec::new(),
            incarnation: 1,
            seq: 0,
            fencing_token: FencingToken(0),
            up_at,
            dead: self.rng.f64() < 0.03,
            failing: self.rng.f64() < 0.08,
            deaf_until: MonotonicTime(0),
            notice: None,
        };
        self.workers.insert(id.clone(), worker);
        self.booting.insert(id.clone(), kind.clone());
        id
    }

    /// A machine that was heard for the first time gets its record.
    pub(super) fn register(&mut self, id: &MachineId) {
        let Some(kind) = self.booting.remove(id) else {
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
        let state = self.shards.get_mut(&shard).expect("a shard");
        state.put_machine(id, record.clone(), revision, false, self.now);
        self.records.insert(id.clone(), (record, revision));
    }

    pub(super) fn remove_machine(&mut self, id: &MachineId) {
        for state in self.shards.values_mut() {
            state.remove_machine(id);
        }
        self.records.remove(id);
        self.workers.remove(id);
        self.booting.remove(id);
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
            let dead = self.workers.get(id).is_none_or(|w| w.dead);
            let status = if dead {
                RentalStatus::Failed
            } else {
                RentalStatus::Running
            };
            rental(id, &record.flavor, &record.zone, record.spot, status)
        });
        let booting = self.booting.iter();
        let booting = booting.map(|(id, kind)| {
            rental(
                id,
                &kind.flavor,
                &kind.zone,
                kind.spot,
                RentalStatus::Starting,
            )
        });
        recorded.chain(booting).collect()
    }

    pub(super) fn fleet_round(&mut self) {
        let list = self.rentals();
        let records: BTreeMap<MachineId, MachineRecord> = self
            .records
            .iter()
            .map(|(id, (record, _))| (id.clone(), record.clone()))
            .collect();
        let seen = FleetSnapshot {
            now: self.now,
            records: &records,
            shards: &self.digests,
            rentals: self.rng.bool().then_some(list.as_slice()),
            suspend_scale_in: self.rng.f64() < 0.05,
        };
        for action in fleet::decide(&self.config, &mut self.fleet_history, &seen) {
            self.act(action);
        }
    }

    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::Move(id, from, to) => {
                self.note(0, &[&id], &[from, to]);
                self.move_machine(&id, from, to);
            }
            Action::Transfer(from, to, demand) => {
                self.note(1, &[], &[from, to]);
                self.digest
                    .bytes(&rmp_serde::to_vec(&demand).expect("a demand"));
                self.transfer(from, to, &demand);
            }
            Action::Drain(shard, ids) => {
                self.note(2, &ids.iter().collect::<Vec<_>>(), &[shard]);
                let until = self.now + Duration::from_secs(10);
                let state = self.shards.get_mut(&shard).expect("a shard");
                state.drain(&ids, until);
            }
            Action::ScaleIn(id, shard) => {
                self.note(3, &[&id], &[shard]);
                let leaves = self.shards[&shard].may_leave(&id);
                self.digest.flag(leaves);
                if leaves {
                    self.remove_machine(&id);
                }
            }
            Action::ScaleOut(kind, count) => {
                self.digest.number(4);
                self.digest.number(u64::from(count));
                self.digest.text(&kind.flavor);
                self.digest.text(&kind.zone);
                self.digest.flag(kind.spot);
                self.rent_some(&kind, count);
            }
            Action::ReleaseDead(ids, _) => {
                self.note(5, &ids.iter().collect::<Vec<_>>(), &[]);
                for id in ids {
                    self.remove_machine(&id);
                }
            }
        }
    }

    pub(super) fn note(&mut self, kind: u64, machines: &[&MachineId], shards: &[ShardId]) {
        self.digest.number(kind);
        for id in machines {
            self.digest.text(&id.0);
        }
        for shard in shards {
            self.digest.number(u64::from(shard.0));
        }
    }

    pub(super) fn move_machine(&mut self, id: &MachineId, from: ShardId, to: ShardId) {
        let leaves = self.shards[&from].may_leave(id);
        self.digest.flag(leaves);
        let Some((record, _)) = self.records.get(id).cloned() else {
            return;
        };
        if !leaves {
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
        let old = self.shards.get_mut(&from).expect("a shard");
        old.remove_machine(id);
        let new = self.shards.get_mut(&to).expect("a shard");
        new.put_machine(id, record.clone(), revision, false, self.now);
        self.records.insert(id.clone(), (record, revision));
    }

    pub(super) fn transfer(
        &mut self,
        from: ShardId,
        to: ShardId,
        demand: &pulleywood_protocol::peer::Demand,
    ) {
        let state = self.shards.get_mut(&from).expect("a shard");
        for offer in state.offer_tasks(demand, &self.config) {
            self.digest.text(offer.id.as_str());
            self.digest.text(offer.zone.as_deref().unwrap_or(""));
            self.digest.text(&offer.tasks.chunk_text(0, 1 << 20));
            let draw = self.rng.f64();
            if draw < 0.1 {
                let state = self.shards.get_mut(&from).expect("a shard");
                state.withdraw_offer(&offer.id);
                continue;
            }
            if draw < 0.2 {
                let state = self.shards.get_mut(&from).expect("a shard");
                state.mark_offer_uncertain(&offer.id);
                continue;
            }
            let Some((mut record, _)) = self.jobs.get(&offer.id).cloned() else {
                continue;
            };
            record.transfer_tasks(to, offer.zone.as_deref(), &offer.tasks);
            self.digest.bytes(&cbor::encode(&record));
            if self.in_batch.remove(&offer.id) {
                self.leave_job_batch(&offer.id);
            }
            let revision = self.next_revision();
            for state in self.shards.values_mut() {
                state.put_job(&record, revision, false, self.now, &self.config);
            }
            self.jobs.insert(offer.id, (record, revision));
        }
    }

    pub(super) fn rent_some(&mut self, kind: &MachineKind, count: u32) {
        // The cloud has few machines, and of some kinds none for now.
        let most = 40_usize.saturating_sub(self.workers.len()) as u32;
        let count = count.min(most).min(self.rng.u32(0..6));
        if count == 0 {
            self.fleet_history.record_refusal(kind, self.now);
            return;
        }
        let up_at = self.now + Duration::from_secs(8);
        let ids: Vec<MachineId> = (0..count).map(|_| self.rent(kind, up_at)).collect();
        self.fleet_history.record_filled_rental(kind);
        self.fleet_history
            .record_rented_machines(&ids, kind, self.now);
    }
}
