//! Handlers of users' requests. Any controller handles them, also for shards that others
//! lead.

use super::cancellations::{CancelOutcome, commit_cancellation};
use super::job_status::{StoredJob, job_response, look_up_job};
use super::submissions::{accept_batched, accept_unbatched};
use crate::clock::time_of_day_ms;
use crate::state::ControllerContext;
use crate::state::queues::SubmissionOutcome;
use pulleywood_protocol::job::JobAnswer;
use pulleywood_protocol::record::JobRecord;
use pulleywood_protocol::{JobId, JobSpec, JobStatus, Rank, ShardId, cbor};
use pulleywood_transport::server::Response;
use pulleywood_transport::{RequestPriority, StoreError};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Maximum number of attempts to cancel a job. An attempt fails if the job's leader records
/// done tasks concurrently.
const MAX_CANCEL_ATTEMPTS: u32 = 4;
/// Lower bound of `Retry-After` for requests refused for lack of tokens, in seconds.
const MIN_RETRY_S: f64 = 1.0;
/// Upper bound of `Retry-After` for requests refused for lack of tokens, in seconds.
const MAX_RETRY_S: f64 = 30.0;
/// Delay after which a user retries if other submissions are already queued.
const QUEUE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Delay after which a user retries if the live jobs take as much memory as they may, in seconds.
const NO_MEMORY_RETRY_S: u32 = 5;

/// Decision about a submission before anything is committed.
enum SubmissionDecision {
    /// Accept the job and store its record under this shard.
    Accept(JobSpec, ShardId),
    /// The job can never run, for this reason: refuse it unless it was accepted before.
    NeverRuns(JobId, &'static str),
    /// Send this response without a commit.
    Respond(Response),
}

/// `POST /v2/runs`
pub fn submit(context: &ControllerContext, body: &[u8]) -> Response {
    let spec = match decode_submission(body) {
        Ok(spec) => spec,
        Err(response) => return response,
    };
    match decide_submission(context, spec) {
        SubmissionDecision::Accept(spec, shard) => {
            let id = spec.id.clone();
            let outcome = commit_submission(context, spec, shard);
            respond_to_submission(context, id, outcome)
        }
        SubmissionDecision::NeverRuns(id, reason) => refuse_unless_known(context, &id, reason),
        SubmissionDecision::Respond(response) => response,
    }
}

/// `GET /v2/runs/{id}`
pub fn poll(context: &ControllerContext, id: &str) -> Response {
    let Some(id) = JobId::parse(id) else {
        return Response::status(404);
    };
    match look_up_job(context, &id) {
        Ok(stored) => job_response(context, &id, &stored),
        Err(e) => retry_later(&e),
    }
}

/// `POST /v2/runs/{id}/cancel`
pub fn cancel(context: &ControllerContext, id: &str) -> Response {
    let Some(id) = JobId::parse(id) else {
        return Response::status(404);
    };
    let Some(shard_count) = shard_count(context) else {
        return Response::retry_later(503, 1);
    };
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        match look_up_job(context, &id) {
            Ok(StoredJob::Live(_)) => {}
            Ok(stored) => return job_response(context, &id, &stored),
            Err(e) => return retry_later(&e),
        }
        // Leaders are asked directly to suspend launches of the job's tasks, since the watch
        // delivers the transaction later. Once it is committed, they are asked again.
        context.suspend_launches(std::slice::from_ref(&id));
        let now = context.clock.now();
        context.suspension_requests.request(&id, now, now);
        match commit_cancellation(context, id.shard(shard_count), &id) {
            Ok(CancelOutcome::Cancelled(final_state)) => {
                log::debug!("cancelled job {id} at revision {}", final_state.revision.0);
                context.final_states.lock().insert(&id, final_state.clone());
                return job_response(context, &id, &StoredJob::Final(final_state));
            }
            Ok(CancelOutcome::Conflict) => {}
            Err(e) => {
                log::debug!("failed to cancel job {id}: {e}");
                return retry_later(&e);
            }
        }
    }
    Response::retry_later(503, 1)
}

fn shard_count(context: &ControllerContext) -> Option<u32> {
    context.controller.lock().cached.shard_count()
}

/// Builds the response to a request that the store cannot serve now, with the delay after
/// which the user retries.
fn retry_later(error: &StoreError) -> Response {
    match error {
        StoreError::Budget(retry_after) => {
            let seconds = retry_after.as_secs_f64().ceil();
            Response::retry_later(429, seconds.clamp(MIN_RETRY_S, MAX_RETRY_S) as u32)
        }
        _ => Response::retry_later(503, 1),
    }
}

fn decode_submission(body: &[u8]) -> Result<JobSpec, Response> {
    let spec: JobSpec = cbor::decode(body).map_err(|e| {
        log::debug!("refused a submission that cannot be decoded: {e}");
        Response::status(400)
    })?;
    if let Some(field) = spec.invalid_field() {
        log::debug!("refused job {}: field {field} is invalid", spec.id);
        return Err(Response::status(400));
    }
    Ok(spec)
}

fn decide_submission(context: &ControllerContext, spec: JobSpec) -> SubmissionDecision {
    let config = Arc::clone(&context.controller.lock().config);
    let Some(shard_count) = shard_count(context).filter(|_| !config.flavors.is_empty()) else {
        return SubmissionDecision::Respond(Response::retry_later(503, 1));
    };
    if let Some(reason) = config.unschedulable_reason(&spec) {
        return SubmissionDecision::NeverRuns(spec.id, reason);
    }
    let final_state = context.final_states.lock().get(&spec.id);
    if let Some(final_state) = final_state {
        let stored = StoredJob::Final(final_state);
        return SubmissionDecision::Respond(job_response(context, &spec.id, &stored));
    }
    let shard = spec.id.shard(shard_count);
    SubmissionDecision::Accept(spec, shard)
}

/// Refuses a job that can never run. A job that was accepted before, for instance under other
/// settings, is never refused later.
fn refuse_unless_known(context: &ControllerContext, id: &JobId, reason: &str) -> Response {
    respond_if_known(context, id, || {
        log::info!("refused job {id}: {reason}");
        Response::status(422)
    })
}

/// Responds with the state of a job, or as `otherwise` says if no job of this id was accepted.
fn respond_if_known(
    context: &ControllerContext,
    id: &JobId,
    otherwise: impl FnOnce() -> Response,
) -> Response {
    match look_up_job(context, id) {
        Ok(StoredJob::Unknown) => otherwise(),
        Ok(stored) => job_response(context, id, &stored),
        Err(e) => retry_later(&e),
    }
}

/// Commits the job in a record of its own, or in a job batch if there is no token for that.
fn commit_submission(
    context: &ControllerContext,
    spec: JobSpec,
    shard: ShardId,
) -> SubmissionOutcome {
    let now = context.clock.now();
    let record = {
        let mut controller = context.controller.lock();
        if !controller.is_live(&spec.id) && !controller.admits_job(&spec, now) {
            return SubmissionOutcome::NoMemory;
        }
        controller.new_job_record(spec, time_of_day_ms(), now)
    };
    match commit_unbatched(context, shard, &record) {
        SubmissionOutcome::Refused(e @ StoreError::Budget(_)) => accept_batched(context, record, e),
        outcome => outcome,
    }
}

/// Commits one job in a record of its own, if there is a write token and no other submission
/// waits for one.
fn commit_unbatched(
    context: &ControllerContext,
    shard: ShardId,
    record: &JobRecord,
) -> SubmissionOutcome {
    if !context.submissions.is_empty() {
        return SubmissionOutcome::Refused(StoreError::Budget(QUEUE_RETRY_AFTER));
    }
    // During a burst, jobs of lower rank leave the tokens to those of higher rank.
    let priority = match record.spec.rank {
        Rank::Production | Rank::Urgent => RequestPriority::User,
        Rank::Standard | Rank::Idle => RequestPriority::LowRankSubmission,
    };
    let head = {
        let controller = context.controller.lock();
        if controller.is_live(&record.spec.id) {
            return SubmissionOutcome::AlreadyExists;
        }
        controller.cached.job_batch_head.revision
    };
    match context.store.take_tokens(priority, 1) {
        Ok(()) => accept_unbatched(context, shard, record, head),
        Err(e) => SubmissionOutcome::Refused(e),
    }
}

fn respond_to_submission(
    context: &ControllerContext,
    id: JobId,
    outcome: SubmissionOutcome,
) -> Response {
    match outcome {
        SubmissionOutcome::Accepted => {
            let answer = JobAnswer {
                id,
                status: JobStatus::Queued,
                done: 0,
                running: 0,
            };
            Response::cbor(201, &answer)
        }
        SubmissionOutcome::AlreadyExists => {
            respond_if_known(context, &id, || Response::retry_later(503, 1))
        }
        // It may be an ended job, whose user is told its state whatever the memory.
        SubmissionOutcome::NoMemory => respond_if_known(context, &id, || {
            log::debug!("refused job {id}: the live jobs take as much memory as they may");
            Response::retry_later(503, NO_MEMORY_RETRY_S)
        }),
        // The job may have been accepted; the user's retry finds the outcome.
        SubmissionOutcome::Refused(e) => {
            log::debug!("refused job {id}: {e}");
            if matches!(e, StoreError::Budget(_)) {
                let now = context.clock.now();
                context.last_refusal_ms.store(now.0, Ordering::Relaxed);
            }
            retry_later(&e)
        }
    }
}
