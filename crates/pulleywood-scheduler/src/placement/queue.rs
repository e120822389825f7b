//! Queues: the waiting jobs of each team in the order in which they are served, and
//! the team that is served next.

use super::SchedulingCycle;
use crate::config::Config;
use crate::resources::{ResourceVector, add_slots};
use crate::shard::{Job, ShardState};
use pulleywood_protocol::job::{Rank, Shape};
use pulleywood_protocol::record::Slots;
use pulleywood_protocol::{JobId, MonotonicTime};
use std::collections::BTreeMap;

/// Tasks of a starved job that start before other jobs are served.
const STARVED_TASKS: u32 = 8;
/// A job that has starved for this many times the policy's patience comes before
/// other teams' jobs of the same rank, whatever its team uses.
const FAIR_SHARE_PATIENCE: f64 = 2.0;
/// A job older than this many times the longest of its objectives comes before all
/// others of its rank that are not starved, so that it ends.
const OVERDUE_OBJECTIVES: f64 = 3.0;
/// Shortest run of a task, in seconds, when the work of a job is estimated.
const MIN_ESTIMATE_S: f64 = 1.0;
/// Highest value of a job whose tasks fail everywhere.
const BROKEN_JOB_VALUE: f64 = 1.0;
/// Lowest weight of a team: loads are divided by it.
const MIN_WEIGHT: f64 = 1e-6;

/// The value of a starved job: higher than that of any other.
const STARVED_VALUE: f64 = f64::INFINITY;

/// Waiting jobs by team, the next one last.
pub(super) type Queues<'a> = BTreeMap<&'a str, Vec<QueuedJob<'a>>>;

/// An entry of a team's queue. A job may have two: one for its first tasks, if it is
/// starved, and one for the others.
pub(super) struct QueuedJob<'a> {
    pub(super) id: &'a JobId,
    pub(super) job: &'a Job,
    pub(super) rank: Rank,
    /// Objectives that the job can still meet for each second of its work. When
    /// more waits than fits, serving the highest first meets the most objectives.
    pub(super) value: f64,
    pub(super) at_ms: u64,
    /// How many of its tasks this entry may place.
    pub(super) task_limit: u32,
    /// The job has an entry for its first tasks that is served before this one.
    pub(super) follows_starved_entry: bool,
    /// It has starved for so long that its team's usage no longer counts.
    pub(super) ignores_fair_share: bool,
}

impl QueuedJob<'_> {
    /// Whether no task of the job has started within the policy's patience.
    pub(super) fn is_starved(&self) -> bool {
        self.value == STARVED_VALUE
    }
}

/// The waiting jobs of a shard by team.
pub(super) fn collect<'a>(
    state: &'a ShardState,
    now: MonotonicTime,
    config: &Config,
) -> Queues<'a> {
    let mut queues = Queues::new();
    let rebuilding = state.is_rebuilding();
    for (id, job) in &state.jobs {
        let unseen = rebuilding && state.may_run_on_unreported_machine(job, config);
        let held = job.health.is_backing_off(now) || now < job.cancelling_until;
        if job.waiting.is_empty() || held || unseen {
            continue;
        }
        let queue = queues.entry(&job.spec.team).or_default();
        push_entries(queue, state, id, job, now, config);
    }
    for queue in queues.values_mut() {
        queue.sort_by(|a, b| {
            a.rank
                .cmp(&b.rank)
                .then(a.value.total_cmp(&b.value))
                .then((b.at_ms, b.id).cmp(&(a.at_ms, a.id)))
        });
    }
    queues
}

/// Adds the entries of one job to its team's queue.
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
    let entry = |value, task_limit, follows_starved_entry| QueuedJob {
        id,
        job,
        rank: job.spec.rank,
        value,
        at_ms: job.submitted_at_ms,
        task_limit,
        follows_starved_entry,
        ignores_fair_share: value == STARVED_VALUE && age_s > FAIR_SHARE_PATIENCE * patience_s,
    };
    // A job that fails everywhere is retried with one task at a time. It never
    // counts as starved.
    if job.health.is_broken() {
        if job.active.is_empty() {
            let value = value(state, job, now, config).min(BROKEN_JOB_VALUE);
            queue.push(entry(value, 1, false));
        }
        return;
    }
    // Small jobs have a higher value than large ones: without this, a stream of
    // small jobs would keep a large one from ever starting.
    let begun = !job.active.is_empty() || !job.done.is_empty();
    let starved = !begun && age_s > patience_s;
    if starved && job.spec.shape == Shape::Gang {
        queue.push(entry(STARVED_VALUE, u32::MAX, false));
        return;
    }
    if starved {
        queue.push(entry(STARVED_VALUE, STARVED_TASKS, false));
    }
    queue.push(entry(value(state, job, now, config), u32::MAX, starved));
}

/// The value of serving a job now, compared within its rank.
fn value(state: &ShardState, job: &Job, now: MonotonicTime, config: &Config) -> f64 {
    let age = now.since(state.submitted_at(job));
    let (open, longest_s) = config.attainable_objectives(&job.spec, age);
    if age.as_secs_f64() > OVERDUE_OBJECTIVES * longest_s {
        return f64::MAX;
    }
    let work_s = f64::from(job.waiting.len()) * job.spec.estimate_s.0.max(MIN_ESTIMATE_S);
    f64::from(open) / work_s
}

/// A team's usage over all shards, as far as known. `usage`: in this shard.
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
    /// The team to serve next: work within a guarantee first, then the highest
    /// rank, then what has starved for very long, then the least load.
    pub(super) fn next_team<'q>(&self, queues: &Queues<'q>) -> Option<&'q str> {
        queues
            .iter()
            .filter_map(|(name, queue)| {
                let queued = queue.last()?;
                let team = self.config.teams.get(*name);
                let mut usage = usage_in_all_shards(self.state, name, &self.usage);
                let load = self.load(name, usage);
                add_slots(
                    &mut usage,
                    ResourceVector::of_task(&queued.job.spec).slots(),
                );
                let guaranteed = team.is_some_and(|t| t.guarantee_covers(usage));
                let order = (guaranteed, queued.rank, queued.ignores_fair_share);
                Some((order, load, *name))
            })
            .max_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)))
            .map(|(.., name)| name)
    }

    /// A team's dominant share over its weight: the larger of its shares of
    /// processors and of GPUs. If GPUs alone counted, a team that uses none would
    /// take all processors, and the GPUs beside them would be of no use.
    pub(super) fn load(&self, team: &str, usage: Slots) -> f64 {
        let weight = self.config.teams.get(team).map_or(1.0, |t| t.weight);
        let usage = ResourceVector {
            cpus: usage.cpus.0,
            gpus: usage.gpus.0,
            memory_gb: 0.0,
        };
        usage.dominant_share(&self.capacity) / weight.max(MIN_WEIGHT)
    }
}
