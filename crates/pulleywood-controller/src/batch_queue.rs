//! A queue that combines the requests of many threads into one transaction: each thread adds
//! an item and waits for its outcome, while one thread commits the queued items together.

use parking_lot::{Condvar, Mutex};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Outcomes are retained for this many most recent items, whose threads may still wait.
const MAX_RETAINED_OUTCOMES: u64 = 1000;

/// A queue of items of type `T` that wait for outcomes of type `V`.
pub struct BatchQueue<T, V> {
    state: Mutex<State<T, V>>,
    item_waiting: Condvar,
    outcome_reported: Condvar,
}

struct State<T, V> {
    /// Number of the newest item. Items are numbered from 1.
    last_number: u64,
    waiting: BTreeMap<u64, T>,
    outcomes: BTreeMap<u64, V>,
}

/// Result of waiting for an item's outcome.
pub enum WaitOutcome<V> {
    /// The outcome was reported.
    Reported(V),
    /// The item was not admitted to the queue.
    Full,
    /// The item was not taken before the time-out and has been removed from the queue.
    NotTaken,
    /// The item was taken, but its outcome was not reported before the time-out.
    Pending,
}

impl<T, V> Default for BatchQueue<T, V> {
    fn default() -> Self {
        Self {
            state: Mutex::new(State {
                last_number: 0,
                waiting: BTreeMap::new(),
                outcomes: BTreeMap::new(),
            }),
            item_waiting: Condvar::new(),
            outcome_reported: Condvar::new(),
        }
    }
}

impl<T, V> BatchQueue<T, V> {
    /// Whether no item waits to be taken.
    pub fn is_empty(&self) -> bool {
        self.state.lock().waiting.is_empty()
    }

    /// Number of items that wait to be taken.
    pub fn len(&self) -> usize {
        self.state.lock().waiting.len()
    }

    /// Adds an item, if `admits` allows it beside the waiting ones, and waits for its outcome
    /// for at most `timeout`.
    pub fn enqueue_and_wait(
        &self,
        item: T,
        timeout: Duration,
        admits: impl FnOnce(&BTreeMap<u64, T>) -> bool,
    ) -> WaitOutcome<V> {
        let deadline = Instant::now() + timeout;
        let mut state = self.state.lock();
        if !admits(&state.waiting) {
            return WaitOutcome::Full;
        }
        state.last_number += 1;
        let number = state.last_number;
        state.waiting.insert(number, item);
        self.item_waiting.notify_one();
        loop {
            if let Some(outcome) = state.outcomes.remove(&number) {
                return WaitOutcome::Reported(outcome);
            }
            if self
                .outcome_reported
                .wait_until(&mut state, deadline)
                .timed_out()
            {
                return match (
                    state.outcomes.remove(&number),
                    state.waiting.remove(&number),
                ) {
                    (Some(outcome), _) => WaitOutcome::Reported(outcome),
                    (None, Some(_)) => WaitOutcome::NotTaken,
                    (None, None) => WaitOutcome::Pending,
                };
            }
        }
    }

    /// Blocks until there is an item to take.
    pub fn wait_for_item(&self) {
        let mut state = self.state.lock();
        while state.waiting.is_empty() {
            self.item_waiting.wait(&mut state);
        }
    }

    /// Takes up to `max_items` items with their numbers, oldest first.
    pub fn take_oldest(&self, max_items: usize) -> BTreeMap<u64, T> {
        let mut state = self.state.lock();
        let remaining = match state.waiting.keys().nth(max_items).copied() {
            Some(first_left) => state.waiting.split_off(&first_left),
            None => BTreeMap::new(),
        };
        std::mem::replace(&mut state.waiting, remaining)
    }

    /// Reports the outcome of one item.
    pub fn report_one(&self, number: u64, outcome: V) {
        self.state.lock().outcomes.insert(number, outcome);
        self.outcome_reported.notify_all();
    }

    /// Reports the same outcome of several items.
    pub fn report(&self, numbers: impl IntoIterator<Item = u64>, outcome: impl Fn() -> V) {
        let mut state = self.state.lock();
        for number in numbers {
            state.outcomes.insert(number, outcome());
        }
        // Drops outcomes that no thread waits for any longer.
        let oldest = state.last_number.saturating_sub(MAX_RETAINED_OUTCOMES);
        state.outcomes = state.outcomes.split_off(&oldest);
        drop(state);
        self.outcome_reported.notify_all();
    }
}
