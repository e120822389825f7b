//! Final states of jobs that this controller wrote or read lately.

use pulleywood_protocol::JobId;
use pulleywood_protocol::record::FinalRecord;
use std::collections::{HashMap, VecDeque};

/// Most final states kept.
const CAPACITY: usize = 5000;

/// A bounded memory of final states, which never change.
#[derive(Default)]
pub struct FinalStateCache {
    states: HashMap<JobId, FinalRecord>,
    insertion_order: VecDeque<JobId>,
}

impl FinalStateCache {
    /// Keeps one; the oldest is dropped if there are too many.
    pub fn insert(&mut self, id: &JobId, state: FinalRecord) {
        if self.states.insert(id.clone(), state).is_none() {
            self.insertion_order.push_back(id.clone());
        }
        if self.insertion_order.len() > CAPACITY
            && let Some(old) = self.insertion_order.pop_front()
        {
            self.states.remove(&old);
        }
    }

    /// The final state of a job, if it is kept.
    pub fn get(&self, id: &JobId) -> Option<FinalRecord> {
        self.states.get(id).cloned()
    }
}
