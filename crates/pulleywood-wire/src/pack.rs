//! Packs: records of several jobs that were accepted together.
//!
//! At a burst there are more submissions than writes. One transaction then
//! accepts as many jobs as one value holds, in a pack. A job leaves its pack
//! the first time anything about it is to be written, in the transaction that
//! writes it. A job is live in one place only: a pack is conditioned on the
//! absence of each of its jobs' own records and final states, and both packs
//! and submissions on their own rest on the stamp of the packs' head, so that
//! none overlooks a pack that has just been written.

use crate::ids::{JobId, Stamp};
use crate::record::{JobRecord, pack_key};
use crate::state::Commit;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The head of the packs; written with each new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PackHead {
    /// Number of the newest pack.
    pub last: u64,
}

/// Jobs that were accepted together and are still as they were then.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PackRecord {
    /// Their records.
    pub jobs: Vec<JobRecord>,
}

/// All packs as stored.
#[derive(Debug, Clone, Default)]
pub struct Packs {
    packs: BTreeMap<u64, (PackRecord, Stamp)>,
    at: BTreeMap<JobId, u64>,
}

impl Packs {
    /// A pack was written, or deleted if there is no record: which jobs are
    /// new in it, and which have left it.
    pub fn put(
        &mut self,
        n: u64,
        record: Option<PackRecord>,
        stamp: Stamp,
    ) -> (Vec<JobRecord>, Vec<JobId>) {
        let before: BTreeSet<JobId> = match self.packs.get(&n) {
            Some((_, known)) if *known > stamp => return Default::default(),
            Some((pack, _)) => pack.jobs.iter().map(|j| j.spec.id.clone()).collect(),
            None => BTreeSet::new(),
        };
        let jobs = record.as_ref().map_or(&[][..], |r| &r.jobs);
        let now: BTreeSet<JobId> = jobs.iter().map(|j| j.spec.id.clone()).collect();
        let new = jobs.iter().filter(|j| !before.contains(&j.spec.id));
        let new: Vec<JobRecord> = new.cloned().collect();
        let left: Vec<JobId> = before.difference(&now).cloned().collect();
        for id in &left {
            self.at.remove(id);
        }
        for id in now {
            self.at.insert(id, n);
        }
        // An end is remembered too, until older changes can no longer come.
        self.packs.insert(n, (record.unwrap_or_default(), stamp));
        (new, left)
    }

    /// All changes up to a revision have been taken: packs that ended by then
    /// need not be remembered.
    pub fn forget(&mut self, upto: u64) {
        self.packs
            .retain(|_, (pack, stamp)| !pack.jobs.is_empty() || stamp.0 > upto);
    }

    /// The pack that holds a job.
    pub fn find(&self, id: &JobId) -> Option<u64> {
        self.at.get(id).copied()
    }

    /// A job's record as accepted.
    pub fn record(&self, id: &JobId) -> Option<&JobRecord> {
        let (pack, _) = self.packs.get(self.at.get(id)?)?;
        pack.jobs.iter().find(|j| &j.spec.id == id)
    }

    /// Adds to a transaction that these jobs leave their packs. What the packs
    /// are then is returned, to be put once it is applied.
    pub fn take_out(
        &self,
        mut commit: Commit,
        ids: &BTreeSet<JobId>,
    ) -> (Commit, Vec<(u64, Option<PackRecord>)>) {
        let touched: BTreeSet<u64> = ids.iter().filter_map(|id| self.find(id)).collect();
        let mut left = Vec::new();
        for n in touched {
            let Some((pack, stamp)) = self.packs.get(&n) else {
                continue;
            };
            let stay = pack.jobs.iter().filter(|j| !ids.contains(&j.spec.id));
            let stay = PackRecord {
                jobs: stay.cloned().collect(),
            };
            let key = pack_key(n);
            commit = commit.when(key.clone(), *stamp);
            if stay.jobs.is_empty() {
                commit = commit.delete(key);
                left.push((n, None));
            } else {
                commit = commit.write(key, &stay);
                left.push((n, Some(stay)));
            }
        }
        (commit, left)
    }
}
