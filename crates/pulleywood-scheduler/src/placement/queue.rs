//! Queues: orders the waiting jobs of each team and selects the team to serve next.

use super::SchedulingCycle;
use crate::config::Config;
use crate::resources::{ResourceVector, add_slots};
use crate::shard::{Job, ShardState};
use pulleywood_protocol::job::{Rank, Shape};
use pulleywood_protocol::record::Slots;
use pulleywood_protocol::{JobId, MonotonicTime};
use std::collections::BTreeMap;

/// Number of a starved job's tasks that are placed before other jobs are served.
const MAX_STARVED_TASKS: u32 = 8;
/// A starved job that is older than this many times the policy's `patience_s` is served
/// before other teams' jobs of the same rank, regardless of its team's usage.
const FAIR_SHARE_PATIENCE_FACTOR: f64 = 2.0;
/// A job that is older than this many times its longest objective is served before all
/// non-starved jobs of its rank, so that it completes at all.
const OVERDUE_OBJECTIVE_FACTOR: f64 = 3.0;
/// Lower bound of a task's estimated run time when the work of a job is estimated.
const MIN_ESTIMATE_S: f64 = 1.0;
/// Upper bound of the priority of a job whose tasks fail on every machine.
const MAX_BROKEN_JOB_PRIORITY: f64 = 1.0;
/// Lower bound of a team's weight, which is a divisor.
const MIN_TEAM_WEIGHT: f64 = 1e-6;

/// Priority of a starved job, above that of all other jobs.
const STARVED_PRIORITY: f64 = f64::INFINITY;

/// Waiting jobs by team, in ascending order: the job to serve next is last.
pub(super) type Queues<'a> = BTreeMap<&'a str, Vec<QueuedJob<'a>>>;

/// An entry of a team's queue. A starved job has two: one for its first tasks and one
/// for the others.
pub(super) struct QueuedJob<'a> {
    pub(super) job_id: &'a JobId,
    pub(super) job: &'a Job,
    pub(super) rank: Rank,
    /// Objectives that the job can still meet per second of its work; orders the jobs
    /// of one rank. When capacity is short, serving the highest first meets the most
    /// objectives.
    pub(super) priority: f64,
    pub(super) submitted_at_ms: u64,
    /// Maximum number of tasks that this entry may place.
    pub(super) task_limit: u32,
    /// Whether the job has an entry for its first tasks that is served before this one.
    pub(super) follows_starved_entry: bool,
    /// Whether the job has waited so long that its team's usage is disregarded.
    pub(super) ignores_fair_share: bool,
}

impl QueuedJob<'_> {
    /// Returns whether the job is starved: none of its tasks has started within the
    /// policy's `patience_s`.
    pub(super) fn is_starved(&self) -> bool {
        self.priority == STARVED_PRIORITY
    }
}

/// Collects the waiting jobs of a shard by team.
pub(super) fn collect<'a>(
    state: &'a ShardState,
    now: MonotonicTime,
    config: &Config,
) -> Queues<'a> {
    let mut queues = Queues::new();
    let rebuilding = state.is_rebuilding();
    for (id, job) in &state.jobs {
        let may_run_unseen = rebuilding && state.may_run_on_unreported_machine(job, config);
        let is_held = job.health.is_backing_off(now) || state.suspended_jobs.contains(id, now);
        if job.waiting.is_empty() || is_held || may_run_unseen {
            continue;
        }
        let queue = queues.entry(&job.spec.team).or_default();
        push_entries(queue, state, id, job, now, config);
    }
    for queue in queues.values_mut() {
        queue.sort_by(|a, b| {
            a.rank
                .cmp(&b.rank)
                .then(a.priority.total_cmp(&b.priority))
                .then((b.submitted_at_ms, b.job_id).cmp(&(a.submitted_at_ms, a.job_id)))
        });
    }
    queues
}

/// Adds a job's entries to its team's queue.
fn push_entries<'a>(
    queue: &mut Vec<QueuedJob<'a>>,
    state: &ShardState,
    id: &'a JobId,
    job: &'a Job,
    now: MonotonicTime,
    config: &Config,
) {
    let age_s = now.since(state.submitted_at(job)).as_secs_f64();
    let patience_s = config.policy.patience_s;
    let entry = |priority, task_limit, follows_starved_entry| QueuedJob {
        job_id: id,
        job,
        rank: job.spec.rank,
        priority,
        submitted_at_ms: job.submitted_at_ms,
        task_limit,
        follows_starved_entry,
        ignores_fair_share: priority == STARVED_PRIORITY
            && age_s > FAIR_SHARE_PATIENCE_FACTOR * patience_s,
    };
    // A job that fails on every machine is retried one task at a time. It never counts
    // as starved.
    if job.health.is_broken() {
        if job.active.is_empty() {
            let priority = priority(state, job, now, config).min(MAX_BROKEN_JOB_PRIORITY);
            queue.push(entry(priority, 1, false));
        }
        return;
    }
    // Small jobs have a higher priority than large ones. Without the starvation rule, a
    // steady stream of small jobs would keep a large one from ever starting.
    let has_started = !job.active.is_empty() || !job.done.is_empty();
    let is_starved = !has_started && age_s > patience_s;
    if is_starved && job.spec.shape == Shape::Gang {
        queue.push(entry(STARVED_PRIORITY, u32::MAX, false));
        return;
    }
    if is_starved {
        queue.push(entry(STARVED_PRIORITY, MAX_STARVED_TASKS, false));
    }
    queue.push(entry(
        priority(state, job, now, config),
        u32::MAX,
        is_starved,
    ));
}

/// Returns the priority of serving a job now, which is compared only with jobs of its
/// rank.
fn priority(state: &ShardState, job: &Job, now: MonotonicTime, config: &Config) -> f64 {
    let job_age = now.since(state.submitted_at(job));
    let (open_objectives, longest_objective_s) = config.attainable_objectives(&job.spec, job_age);
    if job_age.as_secs_f64() > OVERDUE_OBJECTIVE_FACTOR * longest_objective_s {
        return f64::MAX;
    }
    let work_s = f64::from(job.waiting.len()) * job.spec.estimate_s.0.max(MIN_ESTIMATE_S);
    f64::from(open_objectives) / work_s
}

/// Returns a team's usage in all shards, as far as known. `usage` is the usage in this
/// shard.
pub(super) fn usage_in_all_shards(
    state: &ShardState,
    team: &str,
    usage: &BTreeMap<String, Slots>,
) -> Slots {
    let mut sum = usage.get(team).copied().unwrap_or_default();
    if let Some(&elsewhere) = state.usage_in_other_shards.get(team) {
        add_slots(&mut sum, elsewhere);
    }
    sum
}

/// Adds slots to a team's usage.
pub(super) fn add_usage(usage: &mut BTreeMap<String, Slots>, team: &str, slots: Slots) {
    match usage.get_mut(team) {
        Some(sum) => add_slots(sum, slots),
        None => drop(usage.insert(team.to_owned(), slots)),
    }
}

impl SchedulingCycle<'_> {
    /// Returns the team to serve next. Teams whose next task is covered by their
    /// guarantee come first, then the highest rank, then jobs that have been starved
    /// for very long, then the lowest weighted share.
    pub(super) fn next_team<'q>(&self, queues: &Queues<'q>) -> Option<&'q str> {
        queues
            .iter()
            .filter_map(|(name, queue)| {
                let queued = queue.last()?;
                let team = self.config.teams.get(*name);
                let mut usage = usage_in_all_shards(self.state, name, &self.usage);
                let weighted_share = self.weighted_share(name, usage);
                add_slots(
                    &mut usage,
                    ResourceVector::of_task(&queued.job.spec).slots(),
                );
                let guaranteed = team.is_some_and(|team| team.guarantee_covers(usage));
                let precedence = (guaranteed, queued.rank, queued.ignores_fair_share);
                Some((precedence, weighted_share, *name))
            })
            .max_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)))
            .map(|(.., name)| name)
    }

    /// Returns a team's dominant share divided by its weight. The dominant share is the
    /// larger of its shares of processors and of GPUs. If only GPUs counted, a team
    /// that uses none would take all processors and leave the GPUs of those machines
    /// unusable.
    pub(super) fn weighted_share(&self, team: &str, usage: Slots) -> f64 {
        let weight = self.config.teams.get(team).map_or(1.0, |team| team.weight);
        let usage = ResourceVector {
            cpus: usage.cpus.0,
            gpus: usage.gpus.0,
            memory_gb: 0.0,
        };
        usage.dominant_share(&self.capacity) / weight.max(MIN_TEAM_WEIGHT)
    }
}
