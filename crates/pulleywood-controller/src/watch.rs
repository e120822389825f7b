//! Watches the store, which keeps the cached state fresh and informs leaders of new and
//! cancelled jobs.

use crate::state::{
    CachedState, ControllerContext, ControllerState, Versioned, decode_job_batch,
    decode_machine_batch, decode_record,
};
use pulleywood_protocol::record::{
    FinalRecord, JOB_BATCHES, LIVE_PREFIX, MACHINE_BATCHES, WATCH_PREFIX, job_key, job_of_final_key,
};
use pulleywood_protocol::store::{Event, Item};
use pulleywood_protocol::{JobId, MachineId, MonotonicTime, Revision, ShardId};
use pulleywood_transport::{RequestPriority, StoreError};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait of one watch request for a change. Each response proves that the cached state
/// is current, and workers are answered only for a limited time after the last such proof.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1000);

/// Reads the changes of the store whenever users' queries wait for a linearizable read. Runs
/// for the life of the process.
pub fn read_for_users(context: &Arc<ControllerContext>) {
    let reads = &context.linearizable_reads;
    loop {
        let newest_query = reads.wait_for_query();
        let result = read_changes(context, RequestPriority::UserRead, Duration::ZERO);
        if let Err(e) = &result {
            log::debug!("failed to read the changes of the store for users' queries: {e}");
        }
        reads.finish_read(newest_query, result.as_ref().map(|_| ()));
        std::thread::sleep(context.poll_intervals.user_read);
    }
}

/// Reads the changes since the revision of the cached state and applies them. Afterwards the
/// cached state contains every commit from before this call. If there is no change, the store
/// waits up to `timeout` for one. Returns whether anything changed, or
/// [`StoreError::RevisionTooOld`] if all keys must be read again.
pub fn read_changes(
    context: &Arc<ControllerContext>,
    priority: RequestPriority,
    timeout: Duration,
) -> Result<bool, StoreError> {
    let from = {
        let controller = context.controller.lock();
        if !controller.cache_loaded {
            return Err(StoreError::RevisionTooOld);
        }
        controller.cached.store_revision
    };
    let sent = context.clock.now();
    let response = context.store.watch(priority, WATCH_PREFIX, from, timeout)?;
    cache_final_states(context, &response.events);
    let now = context.clock.now();
    let mut controller = context.controller.lock();
    // A concurrent read may have applied some of these events already. An older write that is
    // applied again would restore what a newer one has deleted.
    let applied_revision = controller.cached.store_revision;
    let mut changed = false;
    for event in response.events {
        if event.revision.0 > applied_revision {
            changed = true;
            controller.apply_event(event, now);
        }
    }
    controller.advance_revision(response.store_revision, now);
    controller.cache_current_as_of = controller.cache_current_as_of.max(sent);
    drop(controller);
    if changed {
        context.work_available.notify_all();
    }
    Ok(changed)
}

/// Caches the final states that the watch delivers, so that users' polls of ended jobs need no
/// read: one read per ended job would exceed the store's rate.
fn cache_final_states(context: &ControllerContext, events: &[Event]) {
    let mut final_states = context.final_states.lock();
    for event in events {
        if let Some(path) = &event.write
            && let Some(id) = job_of_final_key(path)
            && let Some(state) = decode_record::<FinalRecord>(event.value.as_ref(), path)
        {
            final_states.insert(&id, Versioned::new(state, event.revision));
        }
    }
}

/// Watches the store. Runs for the life of the process.
pub fn run(context: &Arc<ControllerContext>) {
    loop {
        match read_changes(context, RequestPriority::ShardLeader, WATCH_TIMEOUT) {
            // The pause bounds the request rate: changes accumulate until the next request.
            Ok(true) => std::thread::sleep(context.poll_intervals.watch),
            Ok(false) => {}
            Err(StoreError::RevisionTooOld) => {
                log::debug!(
                    "started to read all watched keys: the cached state is missing or too old"
                );
                if let Err(e) = reload(context) {
                    log::debug!("failed to read the watched keys: {e}");
                    std::thread::sleep(Duration::from_millis(500));
                }
            }
            Err(e) => {
                log::debug!("failed to watch the store: {e}");
                std::thread::sleep(Duration::from_millis(300));
            }
        }
    }
}

/// Reads all watched keys and replaces the cached state.
fn reload(context: &Arc<ControllerContext>) -> Result<(), StoreError> {
    let sent = context.clock.now();
    let (items, store_revision) = context
        .store
        .list(RequestPriority::ShardLeader, LIVE_PREFIX)?;
    let now = context.clock.now();
    let mut controller = context.controller.lock();
    let is_first_read = !controller.cache_loaded;
    let replaced = std::mem::take(&mut controller.cached);
    controller.cached.store_revision = store_revision;
    let missing_jobs = missing_jobs(&controller, &items);
    drop_missing_machines(&mut controller, &items, store_revision);
    for path in missing_jobs {
        controller.apply_event(delete_event(path, store_revision), now);
    }
    for item in items {
        controller.apply_event(write_event(item), now);
    }
    controller.advance_revision(store_revision, now);
    keep_vacancy_times(&mut controller, &replaced, now);
    controller.cache_loaded = true;
    controller.cache_current_as_of = controller.cache_current_as_of.max(sent);
    drop(controller);
    if is_first_read {
        log::info!("read all watched keys of the state service at revision {store_revision}");
    }
    context.work_available.notify_all();
    Ok(())
}

/// Returns the keys of jobs that led shards know and the list does not contain. These jobs
/// have ended.
fn missing_jobs(controller: &ControllerState, items: &[Item]) -> BTreeSet<String> {
    let listed: BTreeSet<&str> = items.iter().map(|i| i.path.as_str()).collect();
    let batched_jobs: BTreeSet<JobId> = items
        .iter()
        .filter(|i| i.path.starts_with(JOB_BATCHES))
        .filter_map(|i| decode_job_batch(&i.value, &i.path))
        .flat_map(|batch| {
            let unreadable: Vec<JobId> = batch.unreadable_ids().collect();
            let jobs = batch.jobs.into_iter().map(|j| j.spec.id);
            jobs.chain(unreadable)
        })
        .collect();
    let shards = controller.config.shards;
    let loaded = controller.led_shards.values().filter(|led| led.loaded);
    loaded
        .flat_map(|led| {
            let known = led.state.jobs.keys().chain(&led.state.unreadable_jobs);
            let jobs = known.filter(|id| !batched_jobs.contains(*id));
            jobs.map(|id| job_key(id.shard(shards), id))
        })
        .filter(|path| !listed.contains(path.as_str()))
        .collect()
}

/// Drops the machines that led shards know and the list does not contain, except those that
/// were registered after the list was read.
fn drop_missing_machines(controller: &mut ControllerState, items: &[Item], store_revision: u64) {
    let stored: BTreeSet<MachineId> = items
        .iter()
        .filter(|i| i.path.starts_with(MACHINE_BATCHES))
        .filter_map(|i| decode_machine_batch(&i.value, &i.path))
        .flat_map(|batch| {
            let unreadable = batch.unreadable.into_keys();
            batch.machines.into_keys().chain(unreadable)
        })
        .collect();
    for led in controller.led_shards.values_mut() {
        let machines = led.state.machines.iter();
        let missing: Vec<MachineId> = machines
            .filter(|(id, m)| m.revision.0 <= store_revision && !stored.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            led.state.remove_machine(&id);
        }
    }
}

/// Carries over since when each shard has had no leader. A shard that had a leader in the
/// replaced state and has none now counts as without a leader since `now`.
fn keep_vacancy_times(
    controller: &mut ControllerState,
    replaced: &CachedState,
    now: MonotonicTime,
) {
    let shards = controller.cached.shard_count().unwrap_or(0);
    for shard in (0..shards).map(ShardId) {
        if !controller.cached.shard_leaders.contains_key(&shard) {
            let since = replaced.vacant_since.get(&shard).copied().unwrap_or(now);
            controller.cached.vacant_since.insert(shard, since);
        }
    }
}

fn delete_event(path: String, store_revision: u64) -> Event {
    Event {
        write: None,
        delete: Some(path),
        value: None,
        revision: Revision(store_revision),
    }
}

fn write_event(item: Item) -> Event {
    Event {
        write: Some(item.path),
        delete: None,
        value: Some(item.value),
        revision: item.revision,
    }
}
