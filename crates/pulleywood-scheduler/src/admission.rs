//! Admission of new jobs by the memory that live jobs take.
//!
//! A job that was accepted must stay known, and any controller may have to lead all shards after
//! the others have ended. So no more is accepted than one controller can hold, counted in bytes
//! that follow from the jobs' records alone: every controller counts the same, also after a
//! restart.
//!
//! Invariants: what a job counts doesn't depend on how many of its tasks wait; a team that has
//! little is admitted whatever the others hold.

use crate::config::Config;
use pulleywood_protocol::JobSpec;
use pulleywood_protocol::record::{JobRecord, TaskTransfer};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Bytes that a live job takes besides the contents of its record: its state at its shard's
/// leader and its entries in the cached state.
const JOB_BYTES: u64 = 3 * 1024;
/// Bytes that a string takes besides its text: its header and the rounding of its allocation.
const STRING_BYTES: u64 = 56;
/// Number of copies of a submission: at its shard's leader, and in the cached job batch that it was
/// accepted in.
const SPEC_COPIES: u64 = 2;
/// Number of copies of a transfer's text that its job takes: as it is stored, and as sets of
/// tasks.
const TRANSFER_COPIES: u64 = 4;
/// One submission takes at most this part of what is left. As memory fills up, large records are
/// refused first.
const MIN_SUBMISSIONS_LEFT: u64 = 16;

/// Bytes that a job takes once it is accepted.
pub fn submission_bytes(spec: &JobSpec) -> u64 {
    JOB_BYTES + spec_bytes(spec) * SPEC_COPIES
}

/// Bytes that a live job takes, by its record.
pub fn job_bytes(record: &JobRecord) -> u64 {
    let transfers: u64 = record.transferred.iter().map(transfer_bytes).sum();
    submission_bytes(&record.spec) + transfers
}

fn spec_bytes(spec: &JobSpec) -> u64 {
    let types = spec.types.iter().flatten();
    [&spec.class, &spec.team, &spec.image]
        .into_iter()
        .chain(&spec.zone)
        .chain(types)
        .map(|text| string_bytes(text))
        .sum()
}

fn transfer_bytes(transfer: &TaskTransfer) -> u64 {
    let zone = transfer.zone.as_deref().unwrap_or_default();
    string_bytes(zone) + string_bytes(&transfer.tasks) * TRANSFER_COPIES
}

fn string_bytes(text: &str) -> u64 {
    text.len() as u64 + STRING_BYTES
}

/// Bytes that live jobs take, in total and by team.
#[derive(Debug, Default)]
pub struct JobMemory {
    total: u64,
    by_team: BTreeMap<Arc<str>, u64>,
}

impl JobMemory {
    /// Counts a job of a team. Returns the team's name, which [`JobMemory::remove`] takes.
    pub fn add(&mut self, team: &str, bytes: u64) -> Arc<str> {
        self.total += bytes;
        if let Some((name, _)) = self.by_team.get_key_value(team) {
            let name = Arc::clone(name);
            *self.by_team.entry(Arc::clone(&name)).or_default() += bytes;
            return name;
        }
        let name: Arc<str> = team.into();
        self.by_team.insert(Arc::clone(&name), bytes);
        name
    }

    /// Counts a job of a team no longer.
    pub fn remove(&mut self, team: &str, bytes: u64) {
        self.total = self.total.saturating_sub(bytes);
        if let Some(of_team) = self.by_team.get_mut(team) {
            *of_team = of_team.saturating_sub(bytes);
            if *of_team == 0 {
                self.by_team.remove(team);
            }
        }
    }

    /// Bytes of all live jobs.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Bytes of a team's live jobs.
    pub fn of_team(&self, team: &str) -> u64 {
        self.by_team.get(team).copied().unwrap_or(0)
    }
}

impl Config {
    /// Whether another job of a team may be accepted, besides the live jobs that are counted in
    /// `memory`. Each team has an equal part of one half of the limit to itself. What teams take
    /// beyond that shares the other half.
    pub fn admits_job(&self, memory: &JobMemory, spec: &JobSpec) -> bool {
        let shared = self.job_memory_limit / 2;
        let own = shared / (self.teams.len() as u64).max(1);
        let beyond_own = memory.by_team.iter().map(|(team, bytes)| {
            let own = if self.teams.contains_key(&**team) {
                own
            } else {
                0
            };
            bytes.saturating_sub(own)
        });
        let left_of_shared = shared.saturating_sub(beyond_own.sum());
        let left_of_own = own.saturating_sub(memory.of_team(&spec.team));
        submission_bytes(spec) <= (left_of_own + left_of_shared) / MIN_SUBMISSIONS_LEFT
    }
}
