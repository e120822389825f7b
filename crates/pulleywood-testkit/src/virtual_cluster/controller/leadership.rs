//! Acquires shards, loads them, and records that all machines of a shard have reported.

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

/// How long a shard must be vacant before a controller that is not its preferred leader
/// acquires it. It is multiplied by the controller's index plus one, which staggers the
/// attempts of the controllers.
const ACQUISITION_DELAY: Duration = Duration::from_millis(800);

impl Controller {
    /// Acquires the shards without a leader that this controller prefers, or that have been
    /// vacant for long enough.
    pub(super) fn acquire_shards(
        &mut self,
        store: &mut Store,
        config: &Config,
        now: MonotonicTime,
    ) {
        for shard in (0..config.shards).map(ShardId) {
            if store.peek(&shard_leader_key(shard)).is_some() {
                self.vacant_since.remove(&shard);
                continue;
            }
            let vacant_since = *self.vacant_since.entry(shard).or_insert(now);
            let is_preferred = shard.0 as usize == self.index;
            if is_preferred || now.since(vacant_since) > ACQUISITION_DELAY * (1 + self.index as u32)
            {
                self.acquire(shard, store, config, now);
            }
        }
    }

    /// Acquires and loads one shard, unless another controller changes its keys first.
    fn acquire(&mut self, shard: ShardId, store: &mut Store, config: &Config, now: MonotonicTime) {
        let Some(counter) = store.get(FENCING_TOKEN) else {
            return;
        };
        let previous = store.get(&previous_leader_key(shard));
        let previous_holder: Option<PreviousLeaseHolder> = previous
            .as_ref()
            .and_then(|item| cbor::from_value(&item.value).ok());
        let holder = LeaseHolder {
            member: self.name(),
            boot: self.boot,
            fencing_token: next_fencing_token(&counter),
        };
        let reconciled = previous_holder.is_none();
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
        let lease_end = now + secs(config.policy.shard_lease_s);
        store.attach_to_lease(shard_leader_key(shard), self.index, lease_end);
        let mut state = ShardState::new(
            shard,
            holder.fencing_token,
            self.previous_launches_until(previous_holder.as_ref(), config, now),
            config.zones.clone(),
        );
        state.suspended_jobs = self.suspended_jobs.clone();
        state.resumption.delays_preemption = self.recovery.is_some();
        let mut led = LedShard {
            state,
            revision,
            reconciled,
            to_announce: Vec::new(),
        };
        load(&mut led, store, config, now);
        self.led_shards.insert(shard, led);
    }

    /// Until when workers may still launch or run tasks of the previous leader without
    /// reporting them.
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

    /// Records in the store that a led shard is reconciled once all of its machines have reported.
    pub(super) fn record_reconciled(&mut self, store: &mut Store) {
        for (shard, led) in &mut self.led_shards {
            if led.reconciled || led.state.is_rebuilding() {
                continue;
            }
            let Some(item) = store.get(&previous_leader_key(*shard)) else {
                continue;
            };
            let Ok(previous) = cbor::from_value::<PreviousLeaseHolder>(&item.value) else {
                continue;
            };
            let record = PreviousLeaseHolder {
                reconciled: true,
                ..previous
            };
            let transaction = Transaction::default()
                .when(shard_leader_key(*shard), led.revision)
                .when(previous_leader_key(*shard), item.revision)
                .write(previous_leader_key(*shard), &record);
            led.reconciled = store.commit(&transaction).is_some();
        }
    }
}

/// The fencing token after the last one drawn.
fn next_fencing_token(counter: &Item) -> FencingToken {
    let record = cbor::from_value::<FencingTokenCounter>(&counter.value);
    record.map_or(FencingToken(0), |record| record.last).next()
}

/// The transaction that draws the holder's fencing token and makes the holder the leader of a
/// vacant shard.
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

/// Loads a shard's machines and jobs as inherited ones: an earlier leader may have launched
/// tasks of these jobs on these machines.
fn load(led: &mut LedShard, store: &mut Store, config: &Config, now: MonotonicTime) {
    let shard = led.state.shard;
    let read_all = |store: &mut Store, prefix: &str| {
        let mut read: Vec<Item> = Vec::new();
        loop {
            let after = read.last().map_or(String::new(), |i| i.path.clone());
            let (items, more) = store.list(prefix, &after, 1000);
            read.extend(items);
            if !more {
                return read;
            }
        }
    };
    for item in read_all(store, MACHINE_BATCHES) {
        let batch = MachineBatchRecord::from_value(&item.value).unwrap_or_default();
        for (id, record) in batch.machines {
            if record.shard == shard {
                led.to_announce.push(id.clone());
                led.state.put_machine(&id, record, item.revision, true, now);
            }
        }
    }
    for item in read_all(store, JOBS) {
        if let Ok(record) = cbor::from_value::<JobRecord>(&item.value) {
            led.state.put_job(&record, item.revision, true, now, config);
        }
    }
}
