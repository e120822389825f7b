//! Acquiring shards, loading them, and recording that they are accounted for.

use super::{Controller, LedShard};
use crate::virtual_cluster::store::Store;
use pulleywood_protocol::machine_batch::MachineBatchRecord;
use pulleywood_protocol::record::{
    FENCING_TOKEN, FencingTokenCounter, JOBS, JobRecord, LeaseHolder, MACHINE_BATCHES,
    PreviousLeaseHolder, previous_leader_key, shard_leader_key,
};
use pulleywood_protocol::store::{Item, Transaction};
use pulleywood_protocol::time::secs;
use pulleywood_protocol::{FencingToken, MonotonicTime, Revision, ShardId, cbor};
use pulleywood_scheduler::{Config, ShardState};
use std::time::Duration;

/// How long a shard without a leader is left to its preferred controller.
const GRACE: Duration = Duration::from_millis(800);

impl Controller {
    pub(super) fn acquire_shards(
        &mut self,
        store: &mut Store,
        config: &Config,
        now: MonotonicTime,
    ) {
        for shard in (0..config.shards).map(ShardId) {
            if store.peek(&shard_leader_key(shard)).is_some() {
                self.free_since.remove(&shard);
                continue;
            }
            let since = *self.free_since.entry(shard).or_insert(now);
            let preferred = shard.0 as usize == self.n;
            if preferred || now.since(since) > GRACE * (1 + self.n as u32) {
                self.acquire(shard, store, config, now);
            }
        }
    }

    fn acquire(&mut self, shard: ShardId, store: &mut Store, config: &Config, now: MonotonicTime) {
        let Some(counter) = store.get(FENCING_TOKEN) else {
            return;
        };
        let previous = store.get(&previous_leader_key(shard));
        let record: Option<PreviousLeaseHolder> = previous
            .as_ref()
            .and_then(|item| cbor::from_value(&item.value).ok());
        let holder = LeaseHolder {
            member: self.name(),
            boot: self.boot,
            fencing_token: next_fencing_token(&counter),
        };
        let reconciled = record.is_none();
        let previous_revision = previous.map_or(Revision(0), |item| item.revision);
        let transaction = acquisition(
            shard,
            &holder,
            reconciled,
            counter.revision,
            previous_revision,
        );
        let Some(revision) = store.commit(&transaction) else {
            return;
        };
        let until = now + secs(config.policy.shard_lease_s);
        store.hold(shard_leader_key(shard), self.n, until);
        let mut state = ShardState::new(
            shard,
            holder.fencing_token,
            self.previous_launches_until(record.as_ref(), config, now),
            config.zones.clone(),
        );
        state.resumption.delays_preemption = self.recovery.is_some();
        let mut held = LedShard {
            state,
            revision,
            reconciled,
            to_announce: Vec::new(),
        };
        load(&mut held, store, config, now);
        self.held.insert(shard, held);
    }

    /// Until when tasks of an earlier leader may still be launched or run unreported.
    fn previous_launches_until(
        &self,
        previous: Option<&PreviousLeaseHolder>,
        config: &Config,
        now: MonotonicTime,
    ) -> MonotonicTime {
        match previous {
            None => now,
            Some(previous) if previous.reconciled && previous.holder.member == self.name() => {
                now + config.lease_expiry_bound()
            }
            Some(_) => now + config.previous_leader_window(),
        }
    }

    /// Records that a shard all of whose machines have reported is accounted for.
    pub(super) fn record_reconciled(&mut self, store: &mut Store) {
        for (shard, held) in &mut self.held {
            if held.reconciled || held.state.is_rebuilding() {
                continue;
            }
            let Some(item) = store.get(&previous_leader_key(*shard)) else {
                continue;
            };
            let Ok(last) = cbor::from_value::<PreviousLeaseHolder>(&item.value) else {
                continue;
            };
            let record = PreviousLeaseHolder {
                reconciled: true,
                ..last
            };
            let transaction = Transaction::default()
                .when(shard_leader_key(*shard), held.revision)
                .when(previous_leader_key(*shard), item.revision)
                .write(previous_leader_key(*shard), &record);
            held.reconciled = store.commit(&transaction).is_some();
        }
    }
}

fn next_fencing_token(counter: &Item) -> FencingToken {
    let record = cbor::from_value::<FencingTokenCounter>(&counter.value);
    record.map_or(FencingToken(0), |r| r.last).next()
}

/// The transaction that draws a fencing token and makes a controller the shard's leader.
fn acquisition(
    shard: ShardId,
    holder: &LeaseHolder,
    reconciled: bool,
    counter: Revision,
    previous: Revision,
) -> Transaction {
    let next_counter = FencingTokenCounter {
        last: holder.fencing_token,
    };
    let record = PreviousLeaseHolder {
        holder: holder.clone(),
        reconciled,
    };
    let vacant = Transaction::default().when(shard_leader_key(shard), Revision(0));
    next_counter
        .replace(vacant, counter)
        .when(previous_leader_key(shard), previous)
        .write(shard_leader_key(shard), holder)
        .write(previous_leader_key(shard), &record)
}

/// Reads a shard's machines and jobs; an earlier leader may have launched tasks of them.
fn load(held: &mut LedShard, store: &mut Store, config: &Config, now: MonotonicTime) {
    let shard = held.state.shard;
    let read_all = |store: &mut Store, prefix: &str| {
        let mut all: Vec<Item> = Vec::new();
        loop {
            let after = all.last().map_or(String::new(), |i| i.path.clone());
            let (items, more) = store.list(prefix, &after, 1000);
            all.extend(items);
            if !more {
                return all;
            }
        }
    };
    for item in read_all(store, MACHINE_BATCHES) {
        let batch = MachineBatchRecord::from_value(&item.value).unwrap_or_default();
        for (id, record) in batch.machines {
            if record.shard == shard {
                held.to_announce.push(id.clone());
                held.state
                    .put_machine(&id, record, item.revision, true, now);
            }
        }
    }
    for item in read_all(store, JOBS) {
        if let Ok(record) = cbor::from_value::<JobRecord>(&item.value) {
            held.state
                .put_job(&record, item.revision, true, now, config);
        }
    }
}
