//! Cache of the final states of jobs that this controller wrote or read most recently.

use super::Versioned;
use pulleywood_protocol::JobId;
use pulleywood_protocol::record::FinalRecord;
use std::collections::{HashMap, VecDeque};

/// Largest number of cached final states.
const CAPACITY: usize = 5000;

/// A bounded FIFO cache of final states. Entries need no invalidation, as a final state
/// never changes.
#[derive(Default)]
pub struct FinalStateCache {
    states: HashMap<JobId, Versioned<FinalRecord>>,
    insertion_order: VecDeque<JobId>,
}

impl FinalStateCache {
    /// Caches the final state of a job; evicts the oldest entry if the cache is full.
    pub fn insert(&mut self, id: &JobId, state: Versioned<FinalRecord>) {
        if self.states.insert(id.clone(), state).is_none() {
            self.insertion_order.push_back(id.clone());
        }
        if self.insertion_order.len() > CAPACITY
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.states.remove(&oldest);
        }
    }

    /// Returns the final state of a job, with the revision of its commit, if it is cached.
    pub fn get(&self, id: &JobId) -> Option<Versioned<FinalRecord>> {
        self.states.get(id).cloned()
    }
}
