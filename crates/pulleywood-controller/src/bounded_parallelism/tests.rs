//! The number of items that are processed concurrently.

use super::*;
use parking_lot::Condvar;

/// Numbers of items by state.
#[derive(Default)]
struct Counts {
    running: usize,
    /// Highest number of running items so far.
    peak: usize,
    ended: usize,
}

#[test]
fn concurrency_is_bounded_and_all_items_are_processed() {
    // (items, threads). No item ends before the expected number of items has started, so that
    // the peak does not depend on how fast threads start.
    for (items, max_threads) in [(0, 3), (2, 3), (60, 3), (60, 1)] {
        let state = Arc::new((Mutex::new(Counts::default()), Condvar::new()));
        let thread_state = Arc::clone(&state);
        let expected_peak = max_threads.min(items);
        spawn_bounded(
            "test",
            max_threads,
            (0..items).collect(),
            move |_: usize| {
                let (counts, changed) = &*thread_state;
                let mut counts = counts.lock();
                counts.running += 1;
                counts.peak = counts.peak.max(counts.running);
                changed.notify_all();
                while counts.peak < expected_peak {
                    changed.wait(&mut counts);
                }
                counts.running -= 1;
                counts.ended += 1;
                changed.notify_all();
            },
        );
        let (counts, changed) = &*state;
        let mut counts = counts.lock();
        while counts.ended < items {
            changed.wait(&mut counts);
        }
        assert_eq!(
            counts.peak, expected_peak,
            "{items} items on {max_threads} threads"
        );
    }
}
