//! Users' requests: any controller takes them, whichever leads the shard. Each is decoded,
//! decided, committed and answered.

use super::cancellations::{CancelOutcome, commit_cancellation};
use super::job_status::{StoredJob, lookup, respond};
use super::submissions::{accept_alone, accept_batched};
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

/// Attempts to cancel a job while its leader records done tasks.
const CANCEL_ATTEMPTS: u32 = 4;
/// Shortest time after which a refused request is to be repeated, in seconds.
const MIN_RETRY_S: f64 = 1.0;
/// Longest time after which a refused request is to be repeated, in seconds.
const MAX_RETRY_S: f64 = 30.0;
/// When to come back if other submissions wait already.
const QUEUE_RETRY: Duration = Duration::from_secs(1);

/// What follows from a submission before anything is committed.
enum SubmissionDecision {
    /// It is to be accepted; this shard keeps the job's record.
    Accept(JobSpec, ShardId),
    /// It can never run, for this reason: refused, unless it was accepted once.
    NeverRuns(JobId, &'static str),
    /// The response is known already.
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
    match lookup(context, &id) {
        Ok(stored) => respond(context, &id, &stored),
        Err(e) => retry_later(&e),
    }
}

/// `POST /v2/runs/{id}/cancel`
pub fn cancel(context: &ControllerContext, id: &str) -> Response {
    let Some(id) = JobId::parse(id) else {
        return Response::status(404);
    };
    let Some(shards) = shard_count(context) else {
        return Response::retry_later(503, 1);
    };
    for _ in 0..CANCEL_ATTEMPTS {
        match lookup(context, &id) {
            Ok(StoredJob::Live(_)) => {}
            Ok(stored) => return respond(context, &id, &stored),
            Err(e) => return retry_later(&e),
        }
        // Leaders hold its launches back beside the transaction.
        context.suspend_launches(std::slice::from_ref(&id));
        context.cancellation_notices.post(id.clone());
        match commit_cancellation(context, id.shard(shards), &id) {
            Ok(CancelOutcome::Cancelled(state)) => {
                log::debug!("cancelled {id}");
                context.final_states.lock().insert(&id, state.clone());
                return respond(context, &id, &StoredJob::Final(state));
            }
            Ok(CancelOutcome::Changed) => {}
            Err(e) => {
                log::debug!("failed to cancel {id}: {e}");
                return retry_later(&e);
            }
        }
    }
    Response::retry_later(503, 1)
}

fn shard_count(context: &ControllerContext) -> Option<u32> {
    context.controller.lock().cached.shard_count()
}

/// What cannot be done now is answered at once, with when to come back.
fn retry_later(error: &StoreError) -> Response {
    match error {
        StoreError::Budget(wait) => {
            let seconds = wait.as_secs_f64().ceil();
            Response::retry_later(429, seconds.clamp(MIN_RETRY_S, MAX_RETRY_S) as u32)
        }
        _ => Response::retry_later(503, 1),
    }
}

fn decode_submission(body: &[u8]) -> Result<JobSpec, Response> {
    let spec: JobSpec = cbor::decode(body).map_err(|e| {
        log::debug!("refused a malformed submission: {e}");
        Response::status(400)
    })?;
    if let Some(field) = spec.invalid_field() {
        log::debug!("refused {}: invalid {field}", spec.id);
        return Err(Response::status(400));
    }
    Ok(spec)
}

fn decide_submission(context: &ControllerContext, spec: JobSpec) -> SubmissionDecision {
    let config = Arc::clone(&context.controller.lock().config);
    let Some(shards) = shard_count(context).filter(|_| !config.flavors.is_empty()) else {
        return SubmissionDecision::Respond(Response::retry_later(503, 1));
    };
    if let Some(reason) = config.unschedulable_reason(&spec) {
        return SubmissionDecision::NeverRuns(spec.id, reason);
    }
    let ended = context.final_states.lock().get(&spec.id);
    if let Some(state) = ended {
        let stored = StoredJob::Final(state);
        return SubmissionDecision::Respond(respond(context, &spec.id, &stored));
    }
    let shard = spec.id.shard(shards);
    SubmissionDecision::Accept(spec, shard)
}

/// A job that was accepted once is never refused later.
fn refuse_unless_known(context: &ControllerContext, id: &JobId, reason: &str) -> Response {
    match lookup(context, id) {
        Ok(StoredJob::Unknown) => {
            log::info!("refused {id}: {reason}");
            Response::status(422)
        }
        Ok(stored) => respond(context, id, &stored),
        Err(e) => retry_later(&e),
    }
}

/// Accepts the job by itself, or with others if there are no tokens for that.
fn commit_submission(
    context: &ControllerContext,
    spec: JobSpec,
    shard: ShardId,
) -> SubmissionOutcome {
    let now = context.clock.now();
    let record = context
        .controller
        .lock()
        .new_job_record(spec, time_of_day_ms(), now);
    match commit_alone(context, shard, &record) {
        SubmissionOutcome::Refused(e @ StoreError::Budget(_)) => accept_batched(context, record, e),
        outcome => outcome,
    }
}

/// Accepts one job by itself, if there is a token and nobody else waits for one.
fn commit_alone(
    context: &ControllerContext,
    shard: ShardId,
    record: &JobRecord,
) -> SubmissionOutcome {
    if !context.submissions.is_empty() {
        return SubmissionOutcome::Refused(StoreError::Budget(QUEUE_RETRY));
    }
    // At a burst, work of lower rank leaves the tokens to what comes before it.
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
        Ok(()) => accept_alone(context, shard, record, head),
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
        SubmissionOutcome::AlreadyExists => match lookup(context, &id) {
            Ok(StoredJob::Unknown) => Response::retry_later(503, 1),
            Ok(stored) => respond(context, &id, &stored),
            Err(e) => retry_later(&e),
        },
        // It may have been accepted; the user's retry will find the outcome.
        SubmissionOutcome::Refused(e) => {
            log::debug!("refused {id}: {e}");
            if matches!(e, StoreError::Budget(_)) {
                let now = context.clock.now();
                context.last_refusal_ms.store(now.0, Ordering::Relaxed);
            }
            retry_later(&e)
        }
    }
}
