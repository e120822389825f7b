//! The simulated store of a virtual cluster.
//!
//! It supports revisions, compare-and-swap transactions, leases and outages. A transaction is
//! applied at once and its outcome is always known. Lost responses, rate limits and size limits
//! are not simulated.

use super::worker::Worker;
use crate::samples;
use fastrand::Rng;
use pulleywood_protocol::cbor::{self, Value};
use pulleywood_protocol::machine_batch::MachineBatchRecord;
use pulleywood_protocol::record::{
    FENCING_TOKEN, FencingTokenCounter, FinalRecord, JobRecord, Key, LAYOUT, Layout, MachineRecord,
    Slots, final_key, job_key, machine_batch_key,
};
use pulleywood_protocol::store::{Item, Transaction, Write};
use pulleywood_protocol::{
    FencingToken, JobId, JobSpec, JobStatus, MonotonicTime, Revision, Shape, ShardId, TaskId,
};
use pulleywood_recovery::evidence::StoredState;
use pulleywood_scheduler::Config;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Keys, revisions and leases, kept in memory.
pub struct Store {
    keys: BTreeMap<String, Item>,
    /// Current store revision. Each transaction, each write outside a transaction and each
    /// deletion of a leased key raises it by one.
    pub revision: u64,
    /// Changed keys with the store revision of the change, oldest first.
    pub log: Vec<(u64, String)>,
    /// Start (inclusive) and end (exclusive) of the only outage; `None` if there is none.
    pub outage: Option<(MonotonicTime, MonotonicTime)>,
    /// Number of requests executed since this was last reset.
    pub request_count: usize,
    /// Transactions applied since this was last emptied, oldest first.
    pub applied_transactions: Vec<Transaction>,
    /// Keys attached to a lease, with the index of the controller that holds the lease, and
    /// when it expires.
    leases: BTreeMap<String, (usize, MonotonicTime)>,
    shards: u32,
    services: BTreeSet<JobId>,
}

impl Store {
    /// Creates a store that holds the layout and the fencing-token counter.
    pub fn new(shards: u32) -> Store {
        let mut store = Store {
            keys: BTreeMap::new(),
            revision: 0,
            log: Vec::new(),
            outage: None,
            request_count: 0,
            applied_transactions: Vec::new(),
            leases: BTreeMap::new(),
            shards,
            services: BTreeSet::new(),
        };
        store.put(LAYOUT.into(), cbor::to_value(&Layout { shards }));
        store.put(
            FENCING_TOKEN.into(),
            cbor::to_value(&FencingTokenCounter {
                last: FencingToken(1),
            }),
        );
        store
    }

    /// Writes a key at a new store revision.
    fn put(&mut self, path: String, value: Value) {
        self.revision += 1;
        self.write(path, value);
    }

    /// Writes a key at the current store revision.
    fn write(&mut self, path: String, value: Value) {
        let item = Item {
            path: path.clone(),
            value,
            revision: Revision(self.revision),
            lease_id: None,
        };
        self.log.push((self.revision, path.clone()));
        self.keys.insert(path, item);
    }

    /// Deletes a key at the current store revision.
    fn delete(&mut self, path: String) {
        self.keys.remove(&path);
        self.log.push((self.revision, path));
    }

    /// Whether the store answers requests: there is no outage at `now`.
    pub fn is_available(&self, now: MonotonicTime) -> bool {
        self.outage.is_none_or(|(from, to)| now < from || now >= to)
    }

    /// Attaches a key to a controller's lease, which expires at `until` unless it is renewed.
    pub fn attach_to_lease(&mut self, key: String, controller: usize, until: MonotonicTime) {
        self.leases.insert(key, (controller, until));
    }

    /// Renews all leases of a controller until `until`.
    pub fn renew_leases(&mut self, controller: usize, until: MonotonicTime) {
        for (holder, expires_at) in self.leases.values_mut() {
            if *holder == controller {
                *expires_at = until;
            }
        }
    }

    /// Ends the leases that the previous process of a controller held, and deletes their keys.
    pub fn end_leases(&mut self, controller: usize) {
        let leased = self
            .leases
            .iter()
            .filter(|(_, (holder, _))| *holder == controller);
        let leased: Vec<String> = leased.map(|(key, _)| key.clone()).collect();
        self.delete_leased_keys(leased);
    }

    fn delete_leased_keys(&mut self, keys: Vec<String>) {
        for key in keys {
            self.leases.remove(&key);
            self.revision += 1;
            self.delete(key);
        }
    }

    /// Deletes keys whose leases have expired. During an outage and for 200 ms after it, all
    /// leases are extended to at least `lease` from `now` instead.
    pub fn expire_leases(&mut self, now: MonotonicTime, lease: Duration) {
        if let Some((from, to)) = self.outage
            && now >= from
            && now <= to + Duration::from_millis(200)
        {
            for (_, expires_at) in self.leases.values_mut() {
                *expires_at = (*expires_at).max(now + lease);
            }
            return;
        }
        let expired: Vec<String> = self
            .leases
            .iter()
            .filter(|(_, (_, expires_at))| *expires_at <= now)
            .map(|(key, _)| key.clone())
            .collect();
        self.delete_leased_keys(expired);
    }

    /// Reads one key, which counts as a request.
    pub fn get(&mut self, key: &str) -> Option<Item> {
        self.request_count += 1;
        self.keys.get(key).cloned()
    }

    /// Returns up to `limit` items whose keys have the prefix and follow `after`, and whether
    /// there are more.
    pub fn list(&mut self, prefix: &str, after: &str, limit: usize) -> (Vec<Item>, bool) {
        self.request_count += 1;
        let from = if after > prefix { after } else { prefix };
        let mut keys_from = self.keys.range(from.to_owned()..);
        let mut items = Vec::new();
        for (key, item) in keys_from.by_ref() {
            if !key.starts_with(prefix) {
                return (items, false);
            }
            if key == after {
                continue;
            }
            if items.len() == limit {
                return (items, true);
            }
            items.push(item.clone());
        }
        (items, false)
    }

    /// Reads one key as a watch would have delivered it, without counting a request.
    pub fn peek(&self, key: &str) -> Option<&Item> {
        self.keys.get(key)
    }

    /// Applies a transaction and returns the new store revision; `None` if a compare fails.
    pub fn commit(&mut self, transaction: &Transaction) -> Option<Revision> {
        self.request_count += 1;
        let revision = |key: &str| self.keys.get(key).map_or(Revision(0), |i| i.revision);
        if transaction
            .compares
            .iter()
            .any(|c| revision(&c.path) != c.revision)
        {
            return None;
        }
        self.revision += 1;
        self.applied_transactions.push(transaction.clone());
        for write in &transaction.writes {
            match write {
                Write::Put { key, value, .. } => self.write(key.clone(), value.clone()),
                Write::Delete { key } => self.delete(key.clone()),
            }
        }
        Some(Revision(self.revision))
    }

    /// Writes the records of all workers' machines in batches.
    pub fn insert_machines(&mut self, workers: &[Worker], config: &Config) {
        for (index, batch) in workers.chunks(config.machines_per_batch()).enumerate() {
            let machines = batch.iter().map(|w| {
                let record = MachineRecord {
                    zone: w.zone.clone(),
                    ..samples::machine_record(w.shard)
                };
                (w.id.clone(), record)
            });
            let machine_batch = MachineBatchRecord {
                machines: machines.collect(),
                ..Default::default()
            };
            self.put(
                machine_batch_key(index as u64 + 1),
                cbor::to_value(&machine_batch),
            );
        }
    }

    /// Writes the record of a submitted job, whose tasks belong to `shard`.
    pub fn insert_job(&mut self, spec: JobSpec, shard: u32) {
        if spec.shape == Shape::Service {
            self.services.insert(spec.id.clone());
        }
        let key = job_key(spec.id.shard(self.shards), &spec.id);
        let record = JobRecord {
            shard: ShardId(shard),
            ..samples::job_record(spec)
        };
        self.put(key, cbor::to_value(&record));
    }

    /// Cancels a live job drawn at random and returns its id; `None` if no job is live.
    pub fn cancel_random_job(&mut self, rng: &mut Rng) -> Option<JobId> {
        let live_jobs: Vec<JobId> = self
            .keys
            .keys()
            .filter_map(|key| match Key::parse(key)? {
                Key::Job(_, id, 0) => Some(id),
                _ => None,
            })
            .collect();
        let id = live_jobs.get(rng.usize(0..live_jobs.len().max(1)))?.clone();
        self.cancel_job(&id);
        Some(id)
    }

    /// Cancels a live job.
    pub fn cancel_job(&mut self, id: &JobId) {
        let key = job_key(id.shard(self.shards), id);
        self.revision += 1;
        self.delete(key);
        let final_record = FinalRecord {
            status: JobStatus::Cancelled,
            done: 0,
            team: "red".into(),
            slots: Slots::default(),
        };
        self.put(final_key(id), cbor::to_value(&final_record));
    }

    /// Whether a job has no final state yet.
    pub fn is_live(&self, id: &JobId) -> bool {
        self.keys.contains_key(&job_key(id.shard(self.shards), id))
    }

    /// Whether a job is a service.
    pub fn is_service(&self, id: &JobId) -> bool {
        self.services.contains(id)
    }

    /// Whether a task is recorded as done, or its job has a final state.
    pub fn is_done(&self, task: &TaskId) -> bool {
        let key = job_key(task.job.shard(self.shards), &task.job);
        let Some(item) = self.keys.get(&key) else {
            return self.keys.contains_key(&final_key(&task.job));
        };
        let state = StoredState::from_items(std::slice::from_ref(item), 0, 1024);
        let job = state.jobs.get(&task.job);
        job.is_some_and(|j| j.done.contains(task.index))
    }
}
