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
    /// Tasks that the cycle has planned already.
    planned: &'a BTreeSet<u32>,
    /// The waiting tasks without those that were passed over; `None` if none was.
    remaining: Option<TaskSet>,
    /// Smallest index of the next task.
    next: u32,
}

impl<'a> WaitingTasks<'a> {
    /// The waiting tasks of a job except those that are planned already.
    pub(super) fn new(job: &'a Job, planned: &'a BTreeSet<u32>) -> WaitingTasks<'a> {
        WaitingTasks {
            job,
            planned,
            remaining: None,
            next: 0,
        }
    }

    /// Passes over all tasks that may run in the same zones as this one.
    pub(super) fn pass_over_bound_like(&mut self, index: u32) {
        let bindings = &self.job.zone_bindings;
        if bindings.is_empty() {
            self.remaining = Some(TaskSet::new());
            return;
        }
        let waiting = &self.job.waiting;
        let remaining = self.remaining.get_or_insert_with(|| waiting.clone());
        bindings.remove_bound_like(index, remaining);
    }

    /// Returns to the tasks that were passed over and follow the last one, because machines
    /// may have room for them now.
    pub(super) fn reconsider(&mut self) {
        self.remaining = None;
    }
}

impl Iterator for WaitingTasks<'_> {
    type Item = u32;

    fn next(&mut self) -> Option<u32> {
        let tasks = self.remaining.as_ref().unwrap_or(&self.job.waiting);
        loop {
            let index = tasks.first_from(self.next)?;
            self.next = index + 1;
            if !self.planned.contains(&index) {
                return Some(index);
            }
        }
    }
}
