//! Waiting tasks of a job in the order in which a cycle places them.
//!
//! Tasks that are bound to a zone without room are passed over together: a job may have very
//! many of them.

use crate::shard::Job;
use pulleywood_protocol::record::TaskSet;
use std::collections::BTreeSet;

/// Waiting tasks of a job that a cycle has not planned or passed over yet.
pub(super) struct WaitingTasks<'a> {
    job: &'a Job,
    /// Tasks that are still to be placed, and those before `next`.
    remaining: TaskSet,
    /// Tasks that were passed over because no machine had room for them.
    passed_over: TaskSet,
    /// Smallest index of the next task.
    next: u32,
}

impl<'a> WaitingTasks<'a> {
    /// The waiting tasks of a job except those that are planned already.
    pub(super) fn new(job: &'a Job, planned: &BTreeSet<u32>) -> WaitingTasks<'a> {
        let mut remaining = job.waiting.clone();
        for index in planned {
            remaining.remove(*index);
        }
        WaitingTasks {
            job,
            remaining,
            passed_over: TaskSet::new(),
            next: 0,
        }
    }

    /// Passes over all tasks that may run in the same zones as this one.
    pub(super) fn pass_over_bound_like(&mut self, index: u32) {
        let before = self.remaining.clone();
        let bindings = &self.job.zone_bindings;
        bindings.remove_bound_like(index, &mut self.remaining);
        self.passed_over
            .insert_all(&before.difference(&self.remaining));
    }

    /// Returns to the tasks that were passed over and follow the last one, because machines
    /// may have room for them now.
    pub(super) fn reconsider(&mut self) {
        if !self.passed_over.is_empty() {
            self.remaining
                .insert_all(&std::mem::take(&mut self.passed_over));
        }
    }
}

impl Iterator for WaitingTasks<'_> {
    type Item = u32;

    fn next(&mut self) -> Option<u32> {
        let index = self.remaining.first_from(self.next)?;
        self.next = index + 1;
        Some(index)
    }
}
