//! What users are told of a job. It rests on a commit or on a read begun after the
//! request came; only final states are kept.

use crate::state::{ControllerContext, decode_record};
use pulleywood_protocol::job::JobAnswer;
use pulleywood_protocol::record::{
    FINAL_STATE_PREFIX, FinalRecord, final_key, job_of_final_key, list_start_before_final_key,
};
use pulleywood_protocol::{JobId, JobStatus};
use pulleywood_transport::server::Response;
use pulleywood_transport::{RequestPriority, StoreError};
use std::time::Duration;

/// Final states read together with one that is asked for.
const NEIGHBOURS: u32 = 60;
/// A peer's count of running tasks is shown for this long.
const FRESH_DIGEST: Duration = Duration::from_secs(5);

/// A job as stored.
pub enum StoredJob {
    /// Live, with this many tasks recorded as done.
    Live(u32),
    /// Ended.
    Final(FinalRecord),
    /// Not known.
    Unknown,
}

/// What is stored of a job. Another controller may have told its user more than this one
/// has seen: what is not final rests on a read begun after the request came.
pub fn lookup(context: &ControllerContext, id: &JobId) -> Result<StoredJob, StoreError> {
    if let Some(state) = context.final_states.lock().get(id) {
        return Ok(StoredJob::Final(state));
    }
    context.linearizable_reads.wait_for_read()?;
    if let Some(done) = context.controller.lock().cached.live_jobs.get(id) {
        return Ok(StoredJob::Live(*done));
    }
    // That read may have brought its end. Else it was not live then: if it has no final
    // state now, it was not known.
    Ok(match final_state(context, id)? {
        Some(state) => StoredJob::Final(state),
        None => StoredJob::Unknown,
    })
}

/// A job's final state, if it has one. What the watch did not bring, as it was before this
/// process, is read with those next to it: after a restart every user may ask, and a
/// request for each would exceed the store's rate.
fn final_state(context: &ControllerContext, id: &JobId) -> Result<Option<FinalRecord>, StoreError> {
    if let Some(state) = context.final_states.lock().get(id) {
        return Ok(Some(state));
    }
    let key = final_key(id);
    let after = list_start_before_final_key(id);
    let page = context.store.list_after(
        RequestPriority::UserRead,
        FINAL_STATE_PREFIX,
        &after,
        NEIGHBOURS,
    )?;
    let beyond = !page.more || page.items.last().is_some_and(|last| last.path >= key);
    let mut finals = context.final_states.lock();
    for item in &page.items {
        if let Some(job) = job_of_final_key(&item.path)
            && let Some(state) = decode_record(Some(&item.value), &item.path)
        {
            finals.insert(&job, state);
        }
    }
    if let Some(state) = finals.get(id) {
        return Ok(Some(state));
    }
    drop(finals);
    if beyond {
        return Ok(None);
    }
    // Longer ids with the same beginning come before it.
    let Some(item) = context.store.get(RequestPriority::UserRead, &key)? else {
        return Ok(None);
    };
    let state: Option<FinalRecord> = decode_record(Some(&item.value), &key);
    if let Some(state) = &state {
        context.final_states.lock().insert(id, state.clone());
    }
    Ok(state)
}

/// The response to a user's request about a job.
pub fn respond(context: &ControllerContext, id: &JobId, stored: &StoredJob) -> Response {
    match stored {
        StoredJob::Unknown => Response::status(404),
        StoredJob::Final(state) => respond_with(id, state.status, state.done, 0),
        StoredJob::Live(done) => progress(context, id, *done),
    }
}

/// A response that shows a job's status and its tasks.
fn respond_with(id: &JobId, status: JobStatus, done: u32, running: u32) -> Response {
    let answer = JobAnswer {
        id: id.clone(),
        status,
        done,
        running,
    };
    Response::cbor(200, &answer)
}

/// A live job's response, with tasks done and running for display: its leaders' counts
/// where they are here or in digests, else the recorded one.
fn progress(context: &ControllerContext, id: &JobId, recorded: u32) -> Response {
    let now = context.clock.now();
    let controller = context.controller.lock();
    let mut done = recorded;
    let mut running = 0;
    for led in controller.led_shards.values() {
        running += led.state.running_tasks(id);
        if let Some(job) = led.state.jobs.get(id) {
            done = done.max(job.done.len());
        }
    }
    running += controller
        .digests
        .values()
        .filter(|d| d.is_fresh(now, FRESH_DIGEST))
        .flat_map(|d| &d.digest.shards)
        .filter(|shard| !controller.led_shards.contains_key(&shard.shard))
        .flat_map(|shard| &shard.running)
        .filter(|(job, _)| job == id)
        .map(|(_, tasks)| *tasks)
        .sum::<u32>();
    drop(controller);
    let status = if running > 0 {
        JobStatus::Running
    } else {
        JobStatus::Queued
    };
    respond_with(id, status, done, running)
}
