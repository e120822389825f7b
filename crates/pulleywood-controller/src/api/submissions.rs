//! Accepting submissions: one by itself, or many in a job batch when there are more of
//! them than write tokens.

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

/// A submission waits this long for the transaction that it shares.
const SUBMISSION_TIMEOUT: Duration = Duration::from_millis(2500);
/// Attempts to write one job batch while other controllers write theirs.
const ATTEMPTS: u32 = 4;
/// Writes in the transaction of a job batch: its head and the batch.
const WRITES: u32 = 2;
/// Bytes around the records of a job batch.
const FRAME_BYTES: usize = 64;
/// When to try again, if the store said nothing of it.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Submissions that wait, by their number in the queue.
type WaitingSubmissions = BTreeMap<u64, WaitingSubmission>;

/// Room in one job batch.
struct Limits {
    jobs: usize,
    bytes: usize,
}

impl Limits {
    fn new(context: &ControllerContext) -> Limits {
        let state = &context.settings.cluster.state;
        // Two compares a job, two for the head and the job batch itself.
        Limits {
            jobs: (state.txn_ops as usize * 4).saturating_sub(2) / 2,
            bytes: (state.value_kb * 1024.0) as usize - FRAME_BYTES,
        }
    }
}

/// One job batch to be written.
struct PreparedJobBatch {
    head: BatchHead,
    batch: JobBatchRecord,
    /// Shards of the layout, by which the keys of jobs are made.
    shards: u32,
    transaction: Transaction,
}

/// Has a submission accepted with others. One that does not fit into the next job batch
/// is refused at once, with the given error.
pub fn accept_batched(
    context: &ControllerContext,
    record: JobRecord,
    refused: StoreError,
) -> SubmissionOutcome {
    let limits = Limits::new(context);
    let bytes = serde_json::to_vec(&record).map_or(usize::MAX, |json| json.len() + 1);
    let fits = |waiting: &WaitingSubmissions| {
        let used: usize = waiting.values().map(|w| w.bytes).sum();
        waiting.len() < limits.jobs && used.saturating_add(bytes) <= limits.bytes
    };
    let submission = WaitingSubmission { record, bytes };
    let submissions = &context.submissions;
    match submissions.join(submission, SUBMISSION_TIMEOUT, fits) {
        WaitOutcome::Reported(outcome) => outcome,
        WaitOutcome::Full | WaitOutcome::NotTaken => SubmissionOutcome::Refused(refused),
        // Its transaction is under way; the user's retry will find the outcome.
        WaitOutcome::Pending => {
            SubmissionOutcome::Refused(StoreError::Unknown("no answer yet".into()))
        }
    }
}

/// Accepts one job in a record of its own, with the write token taken before.
/// `head`: revision of the job batches' head that the job was not known at.
pub fn accept_alone(
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
            log::debug!("accepted {id}: {tasks} tasks of {team}");
            SubmissionOutcome::Accepted
        }
        // A job batch was written meanwhile, perhaps with this very job.
        Ok(Err(failed)) if failed.iter().all(|key| key == JOB_BATCH_HEAD) => {
            SubmissionOutcome::Refused(StoreError::Budget(RETRY_AFTER))
        }
        Ok(Err(_)) => SubmissionOutcome::AlreadyExists,
        Err(e) => SubmissionOutcome::Refused(e),
    }
}

/// Writes job batches; runs for the life of the process.
pub fn run(context: &Arc<ControllerContext>) {
    let submissions = &context.submissions;
    loop {
        submissions.wait();
        // Submissions that come until there are tokens share the transaction. One alone
        // needs no job batch, which is two writes.
        let mut tokens = context.store.take(RequestPriority::JobBatch, 1);
        let several = submissions.len() > 1;
        if several && tokens.is_ok() {
            tokens = context.store.take(RequestPriority::JobBatch, 1);
        }
        let mut waiting = submissions.take(usize::MAX);
        if tokens.is_ok() && !several {
            match waiting.len() {
                1 => waiting = write_alone(context, waiting),
                _ => tokens = context.store.take(RequestPriority::JobBatch, 1),
            }
        }
        match tokens {
            Ok(()) => write_job_batch(context, waiting),
            Err(StoreError::Budget(wait)) => refuse(context, waiting, wait),
            Err(_) => refuse(context, waiting, RETRY_AFTER),
        }
    }
}

/// Refuses submissions for lack of write tokens.
fn refuse(context: &ControllerContext, waiting: WaitingSubmissions, wait: Duration) {
    context.submissions.report(waiting.into_keys(), || {
        SubmissionOutcome::Refused(StoreError::Budget(wait))
    });
}

/// Accepts the one submission that waits, with one token taken before. What is returned
/// needs a job batch, as others wrote theirs meanwhile; its tokens are taken.
fn write_alone(context: &ControllerContext, waiting: WaitingSubmissions) -> WaitingSubmissions {
    for (number, WaitingSubmission { record, .. }) in &waiting {
        let id = &record.spec.id;
        let (known, head, shards) = {
            let controller = context.controller.lock();
            (
                controller.is_live(id),
                controller.cached.job_batch_head.revision,
                controller.config.shards,
            )
        };
        let outcome = if known {
            SubmissionOutcome::AlreadyExists
        } else {
            accept_alone(context, id.shard(shards), record, head)
        };
        if matches!(outcome, SubmissionOutcome::Refused(StoreError::Budget(_)))
            && context
                .store
                .take(RequestPriority::JobBatch, WRITES)
                .is_ok()
        {
            return waiting;
        }
        context.submissions.report_one(*number, outcome);
    }
    BTreeMap::new()
}

/// Writes a job batch with the tokens for its first attempt taken before.
fn write_job_batch(context: &Arc<ControllerContext>, mut waiting: WaitingSubmissions) {
    if waiting.is_empty() {
        return;
    }
    for attempt in 0..ATTEMPTS {
        refresh_job_batches(context);
        let (head, shards) = report_known(context, &mut waiting);
        refuse_duplicates(context, &mut waiting);
        if waiting.is_empty() {
            return;
        }
        if attempt > 0
            && let Err(StoreError::Budget(wait)) =
                context.store.take(RequestPriority::JobBatch, WRITES)
        {
            return refuse(context, waiting, wait);
        }
        let prepared = prepare(head, shards, &waiting);
        match context.store.commit_with_tokens(&prepared.transaction) {
            Ok(Ok(revision)) => return prepared.apply(context, revision, waiting),
            Ok(Err(failed)) => prepared.report_conflicts(context, &failed, &mut waiting),
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

/// At a burst other controllers write job batches too. A transaction that rests on an
/// old head is refused and counts against the store's write rate; a read does not.
fn refresh_job_batches(context: &Arc<ControllerContext>) {
    if let Err(e) = watch::changes(context, RequestPriority::JobBatch, Duration::ZERO) {
        log::debug!("failed to read the job batches: {e}");
    }
}

/// Jobs that are live already no longer wait. Returns the head of the job batches that
/// the others are not known at, and the number of shards.
fn report_known(
    context: &ControllerContext,
    waiting: &mut WaitingSubmissions,
) -> (Versioned<BatchHead>, u32) {
    let (known, head, shards) = {
        let controller = context.controller.lock();
        let live = waiting
            .iter()
            .filter(|(_, w)| controller.is_live(&w.record.spec.id));
        let known: Vec<u64> = live.map(|(number, _)| *number).collect();
        let head = controller.cached.job_batch_head;
        (known, head, controller.config.shards)
    };
    remove_and_report(context, waiting, known, || SubmissionOutcome::AlreadyExists);
    (head, shards)
}

/// The same job twice in one job batch would be two jobs.
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
    /// The transaction was applied: puts the jobs into the controller state, and reports
    /// to all that wait.
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

    /// The transaction was refused: jobs whose own keys exist already no longer wait.
    fn report_conflicts(
        &self,
        context: &ControllerContext,
        failed: &[String],
        waiting: &mut WaitingSubmissions,
    ) {
        log::debug!("lost job batch {}: {failed:?} changed", self.head.last);
        let exists = |id: &JobId| {
            failed.contains(&final_key(id)) || failed.contains(&job_key(id.shard(self.shards), id))
        };
        let known: Vec<u64> = waiting
            .iter()
            .filter(|(_, w)| exists(&w.record.spec.id))
            .map(|(number, _)| *number)
            .collect();
        remove_and_report(context, waiting, known, || SubmissionOutcome::AlreadyExists);
    }
}
