//! The report of `pulleywood inspect`, as text and JSON: what a recovery would do and why.
//!
//! Operators' scripts read the JSON, so its field names never change.

use crate::commands::CommandPlan;
use crate::evidence::{BlockedScope, Evidence, StoredShard};
use crate::machine_class::{MachineAction, MachineClass, MachineFinding};
use crate::reconcile::Reconciliation;
use crate::task_class::{TaskAction, TaskClass, TaskFinding};
use pulleywood_protocol::{FencingToken, MemberId, ShardId};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Maximum number of findings about machines, and of findings about tasks, in the text.
const MAX_LISTED: usize = 50;

/// Summary of one shard.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ShardSummary {
    /// Id of the shard.
    pub shard: ShardId,
    /// The current leader; `None` if no controller leads the shard.
    #[serde(rename = "holder")]
    pub leader: Option<MemberId>,
    /// The fencing token of the current leader, or of the previous one if there is none;
    /// `None` if the shard never had a leader.
    #[serde(rename = "term")]
    pub fencing_token: Option<FencingToken>,
    /// Whether the most recent leader had accounted for every machine of earlier leaders.
    #[serde(rename = "settled")]
    pub reconciled: bool,
    /// Number of machines whose records name the shard.
    pub machines: usize,
    /// Number of live jobs that have tasks assigned to the shard.
    pub jobs: usize,
}

/// A record that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UnreadableSummary {
    /// Key of the value that contains the record.
    pub key: String,
    /// What cannot be processed because of it, such as `job j-6`.
    pub blocks: String,
}

/// Numbers of commands that a recovery would send now.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct CommandCounts {
    /// Number of tasks to launch, replicas of services included.
    pub launches: usize,
    /// Number of replicas of services to launch.
    pub service_launches: usize,
    /// Number of tasks that cannot be launched before a machine has sent a heartbeat or its
    /// lease has expired.
    pub waiting: u64,
    /// Number of attempts to stop.
    #[serde(rename = "halts")]
    pub stops: usize,
    /// Number of attempts whose job is looked up again before they are stopped.
    pub verifications: usize,
    /// Number of exited attempts for workers to forget.
    pub clears: usize,
    /// Number of completed tasks to record as done.
    pub commits: usize,
}

/// The report of `pulleywood inspect`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The store revision at which the records were read.
    pub revision: u64,
    /// The last fencing token issued.
    #[serde(rename = "term")]
    pub fencing_token: FencingToken,
    /// Whether workers were asked for heartbeats. If not, no attempt is classified.
    pub workers_asked: bool,
    /// Number of live jobs.
    pub jobs: usize,
    /// Summary of each shard.
    pub shards: Vec<ShardSummary>,
    /// Number of machines in each class.
    pub machines: BTreeMap<MachineClass, usize>,
    /// Number of reported attempts in each class.
    pub tasks: BTreeMap<TaskClass, usize>,
    /// Numbers of commands that a recovery would send now.
    #[serde(rename = "orders")]
    pub commands: CommandCounts,
    /// Records that cannot be decoded.
    pub unreadable: Vec<UnreadableSummary>,
    /// Findings about machines that need an action.
    pub machine_findings: Vec<MachineFinding>,
    /// Findings about reported attempts that need attention.
    pub task_findings: Vec<TaskFinding>,
}

impl Report {
    /// Summarizes a reconciliation. `workers_asked`: whether workers were asked for
    /// heartbeats; if not, missing heartbeats are not reported.
    pub fn new(
        reconciliation: &Reconciliation,
        evidence: &Evidence<'_>,
        workers_asked: bool,
    ) -> Report {
        let stored = evidence.stored;
        let plan = CommandPlan::new(reconciliation, evidence);
        let unreadable = stored.unreadable.iter().map(|u| UnreadableSummary {
            key: u.key.clone(),
            blocks: match &u.blocks {
                BlockedScope::Job(id) => format!("job {id}"),
                BlockedScope::Machine(id) => format!("machine {id}"),
                BlockedScope::WholeValue => "the whole value".to_owned(),
            },
        });
        let needs_action = |f: &&MachineFinding| match f.class {
            MachineClass::Unreported | MachineClass::LeaseExpired => workers_asked,
            MachineClass::NoHeartbeat => false,
            _ => f.action != MachineAction::Keep,
        };
        Report {
            revision: stored.revision,
            fencing_token: stored.fencing_token,
            workers_asked,
            jobs: stored.jobs.len(),
            shards: shard_summaries(evidence),
            machines: reconciliation.machine_counts(),
            tasks: reconciliation.task_counts(),
            commands: command_counts(&plan),
            unreadable: unreadable.collect(),
            machine_findings: reconciliation
                .machines
                .values()
                .filter(needs_action)
                .cloned()
                .collect(),
            task_findings: reconciliation
                .tasks
                .iter()
                .filter(|f| !f.class.is_healthy())
                .cloned()
                .collect(),
        }
    }

    /// Whether anything needs the attention of an operator.
    pub fn has_findings(&self) -> bool {
        let has_leader = |shard: &ShardSummary| shard.leader.is_some();
        !(self.unreadable.is_empty()
            && self.machine_findings.is_empty()
            && self.task_findings.is_empty()
            && self.shards.iter().all(has_leader))
    }

    /// Formats the report as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// Formats the report as text.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a String cannot fail.
        let _ = self.write_text(&mut text);
        text
    }

    fn write_text(&self, out: &mut String) -> std::fmt::Result {
        writeln!(
            out,
            "store at revision {}, fencing-token counter {}, {} live jobs",
            self.revision, self.fencing_token, self.jobs
        )?;
        self.write_shards(out)?;
        writeln!(out, "machines: {}", format_counts(&self.machines))?;
        if self.workers_asked {
            writeln!(
                out,
                "tasks reported by workers: {}",
                format_counts(&self.tasks)
            )?;
        } else {
            writeln!(
                out,
                "workers were not asked for heartbeats (use --ask-workers)"
            )?;
        }
        self.write_commands(out)?;
        for record in &self.unreadable {
            writeln!(
                out,
                "cannot decode {} (blocks {})",
                record.key, record.blocks
            )?;
        }
        self.write_findings(out)
    }

    fn write_shards(&self, out: &mut String) -> std::fmt::Result {
        for shard in &self.shards {
            let leader = shard.leader.as_ref().map_or("none", |member| &*member.0);
            let fencing_token = shard.fencing_token.unwrap_or_default();
            let reconciled = if shard.reconciled {
                ""
            } else {
                ", not reconciled"
            };
            writeln!(
                out,
                "shard {}: leader {leader}, fencing token {fencing_token}{reconciled}, {} machines, {} jobs",
                shard.shard, shard.machines, shard.jobs
            )?;
        }
        Ok(())
    }

    fn write_commands(&self, out: &mut String) -> std::fmt::Result {
        let counts = &self.commands;
        writeln!(
            out,
            "a recovery would now launch {} tasks ({} of services), stop {}, verify {}, \
             record {} as done and clear {}; {} wait for machines",
            counts.launches,
            counts.service_launches,
            counts.stops,
            counts.verifications,
            counts.commits,
            counts.clears,
            counts.waiting
        )
    }

    /// Writes at most [`MAX_LISTED`] findings about machines and as many about tasks, and the
    /// number of those left out.
    fn write_findings(&self, out: &mut String) -> std::fmt::Result {
        for finding in self.machine_findings.iter().take(MAX_LISTED) {
            let (class, action) = (display_name(&finding.class), display_name(&finding.action));
            writeln!(
                out,
                "machine {}: {class} -> {action}: {}",
                finding.machine, finding.reason
            )?;
        }
        for finding in self.task_findings.iter().take(MAX_LISTED) {
            let (class, action) = (display_name(&finding.class), display_name(&finding.action));
            let (task, machine) = (&finding.task, &finding.machine);
            writeln!(
                out,
                "task {task} on {machine}: {class} -> {action}: {}",
                finding.reason
            )?;
        }
        let omitted = self.machine_findings.len().saturating_sub(MAX_LISTED)
            + self.task_findings.len().saturating_sub(MAX_LISTED);
        if omitted > 0 {
            writeln!(out, "and {omitted} more (--json shows all)")?;
        }
        Ok(())
    }
}

fn shard_summaries(evidence: &Evidence<'_>) -> Vec<ShardSummary> {
    let stored = evidence.stored;
    let summary = |shard: ShardId| {
        let record = stored.shards.get(&shard);
        let leader = record.and_then(|s| s.leader.as_ref());
        let previous_leader = record.and_then(|s| s.previous_leader.as_ref());
        ShardSummary {
            shard,
            leader: leader.map(|holder| holder.member.clone()),
            fencing_token: record
                .and_then(StoredShard::latest_leader)
                .map(|leader| leader.fencing_token),
            reconciled: previous_leader.is_none_or(|previous| previous.reconciled),
            machines: stored
                .machines
                .values()
                .filter(|m| m.shard == shard)
                .count(),
            jobs: stored
                .jobs
                .values()
                .filter(|j| j.shares.contains_key(&shard))
                .count(),
        }
    };
    (0..stored.shard_count).map(ShardId).map(summary).collect()
}

fn command_counts(plan: &CommandPlan) -> CommandCounts {
    let services = plan.launches.iter().filter(|l| l.is_service);
    CommandCounts {
        launches: plan.launch_count(),
        service_launches: services.map(|l| l.tasks.len()).sum(),
        waiting: plan.launches.iter().map(|l| l.waiting_tasks).sum(),
        stops: plan.count(TaskAction::Stop),
        verifications: plan.count(TaskAction::VerifyThenStop),
        clears: plan.count(TaskAction::Clear),
        commits: plan.count(TaskAction::CommitThenClear),
    }
}

/// The JSON name of a class or an action, with spaces for underscores.
fn display_name(value: &impl Serialize) -> String {
    let json = serde_json::to_value(value).unwrap_or_default();
    json.as_str().unwrap_or_default().replace('_', " ")
}

fn format_counts<C: Serialize>(counts: &BTreeMap<C, usize>) -> String {
    let entries = counts
        .iter()
        .map(|(class, count)| format!("{count} {}", display_name(class)));
    if counts.is_empty() {
        "none".to_owned()
    } else {
        entries.collect::<Vec<_>>().join(", ")
    }
}
