//! Watches the store, so that every controller's cached state is fresh and each leader
//! learns of new and cancelled jobs.

use crate::state::{
    CachedState, ControllerContext, ControllerState, read, read_job_batch, read_machine_batch,
};
use pulleywood_protocol::record::{
    FinalRecord, JOB_BATCHES, LIVE, MACHINE_BATCHES, WATCHED, closed_job, job_key,
};
use pulleywood_protocol::store::{Event, Item};
use pulleywood_protocol::{JobId, MachineId, MonotonicTime, Revision, ShardId};
use pulleywood_transport::{RequestPriority, StoreError};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// How long one watch waits. Its response proves how new the cached state is, which
/// bounds how long workers are answered while the store is out of contact.
const WAIT: Duration = Duration::from_millis(1000);

/// Reads what changed, whenever users ask; runs for the life of the process.
pub fn read_for_users(context: &Arc<ControllerContext>) {
    let reads = &context.linearizable_reads;
    loop {
        let newest = reads.next_read();
        let result = read_changes(context, RequestPriority::Question, Duration::ZERO);
        if let Err(e) = &result {
            log::debug!("failed to read changes for users: {e}");
        }
        reads.finish_read(newest, result.as_ref().map(|_| ()));
        std::thread::sleep(context.poll_intervals.question);
    }
}

/// Reads the changes since the cached state's revision and applies them, so that it is
/// newer than this call. `wait`: how long the store waits for a change if there is
/// none. Returns whether anything changed; [`StoreError::TooOld`] if all keys must be
/// read anew.
pub fn read_changes(
    context: &Arc<ControllerContext>,
    priority: RequestPriority,
    wait: Duration,
) -> Result<bool, StoreError> {
    let from = {
        let controller = context.controller.lock();
        if !controller.is_cached {
            return Err(StoreError::TooOld);
        }
        controller.cached.store_revision
    };
    let sent = context.clock.now();
    let answer = context.store.watch(priority, WATCHED, from, wait)?;
    remember_final_states(context, &answer.events);
    let now = context.clock.now();
    let mut controller = context.controller.lock();
    // Another read may have brought some of them already. Applied again, an older
    // write would bring back what a newer one deleted.
    let known = controller.cached.store_revision;
    let mut changed = false;
    for event in answer.events {
        if event.revision.0 > known {
            changed = true;
            controller.event(event, now);
        }
    }
    controller.complete(answer.store_revision, now);
    controller.caught_up = controller.caught_up.max(sent);
    drop(controller);
    if changed {
        context.work_available.notify_all();
    }
    Ok(changed)
}

/// Keeps the final states that the watch brings, so that users' polls need no read of
/// their own: a read for each ended job would exceed the store's rate.
fn remember_final_states(context: &ControllerContext, events: &[Event]) {
    let mut finals = context.finals.lock();
    for event in events {
        if let Some(path) = &event.write
            && let Some(id) = closed_job(path)
            && let Some(state) = read::<FinalRecord>(event.value.as_ref(), path)
        {
            finals.put(&id, state);
        }
    }
}

/// Watches the store; runs for the life of the process.
pub fn run(context: &Arc<ControllerContext>) {
    loop {
        match read_changes(context, RequestPriority::ShardLeader, WAIT) {
            // Changes gather before the next one: a bound on requests.
            Ok(true) => std::thread::sleep(context.poll_intervals.watch),
            Ok(false) => {}
            Err(StoreError::TooOld) => {
                log::debug!("reading all watched keys");
                if let Err(e) = reread(context) {
                    log::debug!("failed to read the watched keys: {e}");
                    std::thread::sleep(Duration::from_millis(500));
                }
            }
            Err(e) => {
                log::debug!("failed to watch: {e}");
                std::thread::sleep(Duration::from_millis(300));
            }
        }
    }
}

/// Reads all watched keys and replaces the cached state.
fn reread(context: &Arc<ControllerContext>) -> Result<(), StoreError> {
    let sent = context.clock.now();
    let (items, store_revision) = context.store.list(RequestPriority::ShardLeader, LIVE)?;
    let now = context.clock.now();
    let mut controller = context.controller.lock();
    let first = !controller.is_cached;
    let replaced = std::mem::take(&mut controller.cached);
    controller.cached.store_revision = store_revision;
    let missing_jobs = missing_jobs(&controller, &items);
    drop_missing_machines(&mut controller, &items, store_revision);
    for path in missing_jobs {
        controller.event(deleted(path, store_revision), now);
    }
    for item in items {
        controller.event(written(item), now);
    }
    controller.complete(store_revision, now);
    keep_vacancy_times(&mut controller, &replaced, now);
    controller.is_cached = true;
    controller.caught_up = controller.caught_up.max(sent);
    drop(controller);
    if first {
        log::info!("read the state service at revision {store_revision}");
    }
    context.work_available.notify_all();
    Ok(())
}

/// Keys of jobs that led shards know and the list does not contain: they have ended.
fn missing_jobs(controller: &ControllerState, items: &[Item]) -> BTreeSet<String> {
    let listed: BTreeSet<&str> = items.iter().map(|i| i.path.as_str()).collect();
    let in_batch: BTreeSet<JobId> = items
        .iter()
        .filter(|i| i.path.starts_with(JOB_BATCHES))
        .filter_map(|i| read_job_batch(&i.value, &i.path))
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
            let jobs = known.filter(|id| !in_batch.contains(*id));
            jobs.map(|id| job_key(id.shard(shards), id))
        })
        .filter(|path| !listed.contains(path.as_str()))
        .collect()
}

/// Drops machines that led shards know and the list does not contain, except those
/// that were registered after the list was read.
fn drop_missing_machines(controller: &mut ControllerState, items: &[Item], store_revision: u64) {
    let stored: BTreeSet<MachineId> = items
        .iter()
        .filter(|i| i.path.starts_with(MACHINE_BATCHES))
        .filter_map(|i| read_machine_batch(&i.value, &i.path))
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
            led.state.drop_machine(&id);
        }
    }
}

/// Shards that had no leader before the read have been vacant since then.
fn keep_vacancy_times(
    controller: &mut ControllerState,
    replaced: &CachedState,
    now: MonotonicTime,
) {
    let shards = controller.cached.shard_count().unwrap_or(0);
    for shard in (0..shards).map(ShardId) {
        if !controller.cached.shards.contains_key(&shard) {
            let since = replaced.free_since.get(&shard).copied().unwrap_or(now);
            controller.cached.free_since.insert(shard, since);
        }
    }
}

fn deleted(path: String, store_revision: u64) -> Event {
    Event {
        write: None,
        delete: Some(path),
        value: None,
        revision: Revision(store_revision),
    }
}

fn written(item: Item) -> Event {
    Event {
        write: Some(item.path),
        delete: None,
        value: Some(item.value),
        revision: item.revision,
    }
}
