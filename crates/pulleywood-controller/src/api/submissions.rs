//! Commits submissions: each in a record of its own, or several in one job batch when there
//! are more of them than write tokens.

use crate::batch_queue::WaitOutcome;
use crate::state::queues::{SubmissionOutcome, WaitingSubmission};
use crate::state::{ControllerContext, Versioned};
use crate::watch;
use pulleywood_protocol::job_batch::{BatchHead, JobBatchRecord};
use pulleywood_protocol::record::{JOB_BATCH_HEAD, JobRecord, final_key, job_batch_key, job_key};
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::{JobId, Revision, ShardId};
use pulleywood_transport::{RequestPriority, StoreError};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait of a submission for the commit of its job batch.
const SUBMISSION_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum number of attempts to write one job batch. An attempt fails if another controller
/// writes a job batch concurrently.
const MAX_WRITE_ATTEMPTS: u32 = 4;
/// Writes in the transaction of a job batch: the head and the batch.
const WRITES_PER_BATCH: u32 = 2;
/// Bytes of a stored job batch in addition to its records.
const FRAME_BYTES: usize = 64;
/// Delay after which a user retries, if the budget gives none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Waiting submissions by their number in the queue.
type WaitingSubmissions = BTreeMap<u64, WaitingSubmission>;

/// Capacity of one job batch.
struct JobBatchLimits {
    jobs: usize,
    bytes: usize,
}

impl JobBatchLimits {
    fn new(context: &ControllerContext) -> JobBatchLimits {
        let state = &context.settings.cluster.state;
        // A transaction has two compares for each job, one for the head and one for the job
        // batch.
        JobBatchLimits {
            jobs: (state.txn_ops as usize * 4).saturating_sub(2) / 2,
            bytes: (state.value_kb * 1024.0) as usize - FRAME_BYTES,
        }
    }
}

/// A job batch that is ready to be written.
struct PreparedJobBatch {
    head: BatchHead,
    batch: JobBatchRecord,
    /// Number of shards, which the keys of jobs depend on.
    shards: u32,
    transaction: Transaction,
}

/// Queues a submission for the next job batch and waits for the outcome. A submission that
/// does not fit into that batch is refused at once, with the given error.
pub fn accept_batched(
    context: &ControllerContext,
    record: JobRecord,
    refusal: StoreError,
) -> SubmissionOutcome {
    let limits = JobBatchLimits::new(context);
    let bytes = serde_json::to_vec(&record).map_or(usize::MAX, |json| json.len() + 1);
    let fits = |waiting: &WaitingSubmissions| {
        let used: usize = waiting.values().map(|w| w.bytes).sum();
        waiting.len() < limits.jobs && used.saturating_add(bytes) <= limits.bytes
    };
    let submission = WaitingSubmission { record, bytes };
    let submissions = &context.submissions;
    match submissions.enqueue_and_wait(submission, SUBMISSION_TIMEOUT, fits) {
        WaitOutcome::Reported(outcome) => outcome,
        WaitOutcome::Full | WaitOutcome::NotTaken => SubmissionOutcome::Refused(refusal),
        // Its job batch is being written; the user's retry finds the outcome.
        WaitOutcome::Pending => SubmissionOutcome::Refused(StoreError::OutcomeUnknown(format!(
            "the job batch was not committed within {SUBMISSION_TIMEOUT:?}"
        ))),
    }
}

/// Accepts one job in a record of its own. The caller has taken the write token. `head` is the
/// revision of the job batches' head at which the job did not exist.
pub fn accept_unbatched(
    context: &ControllerContext,
    shard: ShardId,
    record: &JobRecord,
    head: Revision,
) -> SubmissionOutcome {
    let id = &record.spec.id;
    let key = job_key(shard, id);
    let transaction = Transaction::default()
        .when(JOB_BATCH_HEAD, head)
        .when(key.clone(), Revision(0))
        .when(final_key(id), Revision(0))
        .write(key, record);
    match context.store.commit_with_tokens(&transaction) {
        Ok(Ok(revision)) => {
            let now = context.clock.now();
            context.controller.lock().put_job(record, revision, now);
            let (tasks, team) = (record.spec.tasks, &record.spec.team);
            log::debug!("accepted job {id} of team {team} with {tasks} tasks");
            SubmissionOutcome::Accepted
        }
        // A job batch was written concurrently and may contain this job.
        Ok(Err(failed_keys)) if failed_keys.iter().all(|key| key == JOB_BATCH_HEAD) => {
            SubmissionOutcome::Refused(StoreError::Budget(DEFAULT_RETRY_AFTER))
        }
        Ok(Err(_)) => SubmissionOutcome::AlreadyExists,
        Err(e) => SubmissionOutcome::Refused(e),
    }
}

/// Writes the queued submissions as job batches. Runs for the life of the process.
pub fn run(context: &Arc<ControllerContext>) {
    let submissions = &context.submissions;
    loop {
        submissions.wait_for_item();
        // Submissions that arrive until there are tokens share the transaction. A single one
        // gets a record of its own, which takes one write instead of two.
        let mut tokens = context.store.take_tokens(RequestPriority::JobBatch, 1);
        let several = submissions.len() > 1;
        if several && tokens.is_ok() {
            tokens = context.store.take_tokens(RequestPriority::JobBatch, 1);
        }
        let mut waiting = submissions.take_oldest(usize::MAX);
        if tokens.is_ok() && !several {
            match waiting.len() {
                1 => waiting = write_unbatched(context, waiting),
                _ => tokens = context.store.take_tokens(RequestPriority::JobBatch, 1),
            }
        }
        match tokens {
            Ok(()) => write_job_batch(context, waiting),
            Err(StoreError::Budget(retry_after)) => refuse(context, waiting, retry_after),
            Err(_) => refuse(context, waiting, DEFAULT_RETRY_AFTER),
        }
    }
}

/// Refuses submissions because there are no write tokens.
fn refuse(context: &ControllerContext, waiting: WaitingSubmissions, retry_after: Duration) {
    context.submissions.report(waiting.into_keys(), || {
        SubmissionOutcome::Refused(StoreError::Budget(retry_after))
    });
}

/// Accepts the only waiting submission in a record of its own, with the one token that was
/// taken. Returns the submission if it needs a job batch after all, since another controller
/// wrote one concurrently; the tokens for that batch are taken then.
fn write_unbatched(context: &ControllerContext, waiting: WaitingSubmissions) -> WaitingSubmissions {
    for (number, WaitingSubmission { record, .. }) in &waiting {
        let id = &record.spec.id;
        let (is_live, head, shards) = {
            let controller = context.controller.lock();
            (
                controller.is_live(id),
                controller.cached.job_batch_head.revision,
                controller.config.shards,
            )
        };
        let outcome = if is_live {
            SubmissionOutcome::AlreadyExists
        } else {
            accept_unbatched(context, id.shard(shards), record, head)
        };
        if matches!(outcome, SubmissionOutcome::Refused(StoreError::Budget(_)))
            && context
                .store
                .take_tokens(RequestPriority::JobBatch, WRITES_PER_BATCH)
                .is_ok()
        {
            return waiting;
        }
        context.submissions.report_one(*number, outcome);
    }
    BTreeMap::new()
}

/// Writes a job batch. The tokens for the first attempt have been taken.
fn write_job_batch(context: &Arc<ControllerContext>, mut waiting: WaitingSubmissions) {
    if waiting.is_empty() {
        return;
    }
    for attempt in 0..MAX_WRITE_ATTEMPTS {
        refresh_job_batches(context);
        let (head, shards) = report_existing(context, &mut waiting);
        refuse_duplicates(context, &mut waiting);
        if waiting.is_empty() {
            return;
        }
        if attempt > 0
            && let Err(StoreError::Budget(retry_after)) = context
                .store
                .take_tokens(RequestPriority::JobBatch, WRITES_PER_BATCH)
        {
            return refuse(context, waiting, retry_after);
        }
        let prepared = prepare(head, shards, &waiting);
        match context.store.commit_with_tokens(&prepared.transaction) {
            Ok(Ok(revision)) => return prepared.apply(context, revision, waiting),
            Ok(Err(failed_keys)) => prepared.report_conflicts(context, &failed_keys, &mut waiting),
            Err(e) => {
                log::debug!("failed to write job batch {}: {e}", prepared.head.last);
                break;
            }
        }
    }
    context.submissions.report(waiting.into_keys(), || {
        SubmissionOutcome::Refused(StoreError::Refused(503))
    });
}

/// Reads the newest job batches. During a burst other controllers write job batches too. A
/// transaction that compares an outdated head is refused and still counts against the store's
/// write rate, which a read does not.
fn refresh_job_batches(context: &Arc<ControllerContext>) {
    if let Err(e) = watch::read_changes(context, RequestPriority::JobBatch, Duration::ZERO) {
        log::debug!("failed to read the job batches: {e}");
    }
}

/// Reports the jobs that are already live as existing. Returns the head of the job batches at
/// which the other jobs do not exist, and the number of shards.
fn report_existing(
    context: &ControllerContext,
    waiting: &mut WaitingSubmissions,
) -> (Versioned<BatchHead>, u32) {
    let (existing, head, shards) = {
        let controller = context.controller.lock();
        let live = waiting
            .iter()
            .filter(|(_, w)| controller.is_live(&w.record.spec.id));
        let existing: Vec<u64> = live.map(|(number, _)| *number).collect();
        let head = controller.cached.job_batch_head;
        (existing, head, controller.config.shards)
    };
    remove_and_report(context, waiting, existing, || {
        SubmissionOutcome::AlreadyExists
    });
    (head, shards)
}

/// Refuses further submissions of the same job id: a job that is in a job batch twice would be
/// two jobs.
fn refuse_duplicates(context: &ControllerContext, waiting: &mut WaitingSubmissions) {
    let mut ids: BTreeSet<&JobId> = BTreeSet::new();
    let duplicates: Vec<u64> = waiting
        .iter()
        .filter(|(_, w)| !ids.insert(&w.record.spec.id))
        .map(|(number, _)| *number)
        .collect();
    remove_and_report(context, waiting, duplicates, || {
        SubmissionOutcome::Refused(StoreError::Refused(503))
    });
}

fn remove_and_report(
    context: &ControllerContext,
    waiting: &mut WaitingSubmissions,
    numbers: Vec<u64>,
    outcome: impl Fn() -> SubmissionOutcome,
) {
    for number in &numbers {
        waiting.remove(number);
    }
    context.submissions.report(numbers, outcome);
}

fn prepare(
    head: Versioned<BatchHead>,
    shards: u32,
    waiting: &WaitingSubmissions,
) -> PreparedJobBatch {
    let next = BatchHead {
        last: head.value.last + 1,
    };
    let batch = JobBatchRecord {
        jobs: waiting.values().map(|w| w.record.clone()).collect(),
        ..Default::default()
    };
    let key = job_batch_key(next.last);
    let mut transaction = Transaction::default()
        .when(JOB_BATCH_HEAD, head.revision)
        .write(JOB_BATCH_HEAD, &next)
        .when(key.clone(), Revision(0))
        .write(key, &batch);
    let ids: BTreeSet<&JobId> = waiting.values().map(|w| &w.record.spec.id).collect();
    for id in ids {
        transaction = transaction
            .when(job_key(id.shard(shards), id), Revision(0))
            .when(final_key(id), Revision(0));
    }
    PreparedJobBatch {
        head: next,
        batch,
        shards,
        transaction,
    }
}

impl PreparedJobBatch {
    /// Adds the committed jobs to the controller state and reports them as accepted.
    fn apply(self, context: &ControllerContext, revision: Revision, waiting: WaitingSubmissions) {
        let now = context.clock.now();
        let number = self.head.last;
        context
            .controller
            .lock()
            .put_written_job_batch(self.head, self.batch, revision, now);
        context.work_available.notify_all();
        log::debug!("accepted {} jobs in job batch {number}", waiting.len());
        context
            .submissions
            .report(waiting.into_keys(), || SubmissionOutcome::Accepted);
    }

    /// Reports the jobs whose own keys made the transaction conflict as existing.
    fn report_conflicts(
        &self,
        context: &ControllerContext,
        failed_keys: &[String],
        waiting: &mut WaitingSubmissions,
    ) {
        log::debug!(
            "failed to write job batch {}: keys {failed_keys:?} changed",
            self.head.last
        );
        let exists = |id: &JobId| {
            failed_keys.contains(&final_key(id))
                || failed_keys.contains(&job_key(id.shard(self.shards), id))
        };
        let existing: Vec<u64> = waiting
            .iter()
            .filter(|(_, w)| exists(&w.record.spec.id))
            .map(|(number, _)| *number)
            .collect();
        remove_and_report(context, waiting, existing, || {
            SubmissionOutcome::AlreadyExists
        });
    }
}
