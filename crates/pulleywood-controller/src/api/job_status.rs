//! Responses to users about the status of a job. Each is based on a commit, or on a read
//! that began after the request arrived. Only final states are cached beyond a request.

use super::confirmation::{Unconfirmed, confirm_cancellation};
use crate::state::{ControllerContext, Versioned, decode_record};
use pulleywood_protocol::job::JobAnswer;
use pulleywood_protocol::record::{
    FINAL_STATE_PREFIX, FinalRecord, final_key, job_of_final_key, list_start_before_final_key,
};
use pulleywood_protocol::{JobId, JobStatus};
use pulleywood_transport::server::Response;
use pulleywood_transport::{RequestPriority, StoreError};
use std::time::Duration;

/// Number of consecutive final states that one read fetches.
const FINAL_STATES_PER_READ: u32 = 60;
/// The numbers of running tasks in a peer's digest are shown up to this age.
const MAX_DIGEST_AGE: Duration = Duration::from_secs(5);

/// What the store holds about a job.
pub enum StoredJob {
    /// Live, with this many tasks recorded as done.
    Live(u32),
    /// Done or cancelled, with this final state.
    Final(Versioned<FinalRecord>),
    /// Neither live nor final: no job of this id was accepted.
    Unknown,
}

/// Looks a job up. Another controller may already have answered the user with a newer state
/// than this one has seen, so any state that is not final is based on a read that began after
/// the request arrived.
pub fn look_up_job(context: &ControllerContext, id: &JobId) -> Result<StoredJob, StoreError> {
    if let Some(state) = context.final_states.lock().get(id) {
        return Ok(StoredJob::Final(state));
    }
    context.linearizable_reads.wait_for_read()?;
    if let Some(done) = context.controller.lock().cached.live_jobs.done(id) {
        return Ok(StoredJob::Live(done));
    }
    // The job was not live at the time of that read, which may have delivered its final state.
    // If it has no final state now, it was never accepted.
    Ok(match final_state(context, id)? {
        Some(state) => StoredJob::Final(state),
        None => StoredJob::Unknown,
    })
}

/// Returns a job's final state, if it has one. Final states that were written before this
/// process started are not delivered by the watch. They are read in pages of consecutive keys:
/// after a restart every user may poll, and one read per job would exceed the store's rate.
fn final_state(
    context: &ControllerContext,
    id: &JobId,
) -> Result<Option<Versioned<FinalRecord>>, StoreError> {
    if let Some(state) = context.final_states.lock().get(id) {
        return Ok(Some(state));
    }
    let key = final_key(id);
    let after = list_start_before_final_key(id);
    let page = context.store.list_after(
        RequestPriority::UserRead,
        FINAL_STATE_PREFIX,
        &after,
        FINAL_STATES_PER_READ,
    )?;
    let page_covers_key = !page.more || page.items.last().is_some_and(|last| last.path >= key);
    let mut final_states = context.final_states.lock();
    for item in &page.items {
        if let Some(job) = job_of_final_key(&item.path)
            && let Some(state) = decode_record(Some(&item.value), &item.path)
        {
            final_states.insert(&job, Versioned::new(state, item.revision));
        }
    }
    if let Some(state) = final_states.get(id) {
        return Ok(Some(state));
    }
    drop(final_states);
    if page_covers_key {
        return Ok(None);
    }
    // Longer ids with the same prefix sort before this key and have filled the page.
    let Some(item) = context.store.get(RequestPriority::UserRead, &key)? else {
        return Ok(None);
    };
    let state: Option<FinalRecord> = decode_record(Some(&item.value), &key);
    let state = state.map(|state| Versioned::new(state, item.revision));
    if let Some(state) = &state {
        context.final_states.lock().insert(id, state.clone());
    }
    Ok(state)
}

/// Builds the response to a user's request about a job.
pub fn job_response(context: &ControllerContext, id: &JobId, stored: &StoredJob) -> Response {
    match stored {
        StoredJob::Unknown => Response::status(404),
        StoredJob::Final(state) => final_state_response(context, id, state),
        StoredJob::Live(done) => live_job_response(context, id, *done),
    }
}

/// Builds the response about a job that is done or cancelled. That a job is cancelled is said
/// only once no task of it can start any more; until then the user has to retry.
fn final_state_response(
    context: &ControllerContext,
    id: &JobId,
    state: &Versioned<FinalRecord>,
) -> Response {
    let record = &state.value;
    if record.status == JobStatus::Cancelled
        && let Err(Unconfirmed { retry_after }) = confirm_cancellation(context, id, state.revision)
    {
        return Response::retry_later(503, retry_after.as_secs_f64().ceil() as u32);
    }
    status_response(id, record.status, record.done, 0)
}

/// Encodes a job's status and its numbers of done and running tasks.
fn status_response(id: &JobId, status: JobStatus, done: u32, running: u32) -> Response {
    let answer = JobAnswer {
        id: id.clone(),
        status,
        done,
        running,
    };
    Response::cbor(200, &answer)
}

/// Builds the response about a live job. The number of running tasks is the sum over led
/// shards and peers' fresh digests; the number of done tasks is the largest of the stored one
/// and those of led shards that know the job. Both are informative only.
fn live_job_response(context: &ControllerContext, id: &JobId, recorded_done: u32) -> Response {
    let now = context.clock.now();
    let controller = context.controller.lock();
    let mut done = recorded_done;
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
        .filter(|d| d.is_fresh(now, MAX_DIGEST_AGE))
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
    status_response(id, status, done, running)
}
