//! How many items are worked on at a time.

use super::*;
use parking_lot::Condvar;

#[test]
fn no_more_than_a_few_are_under_way_and_all_are_done() {
    // (items, at once). None ends before as many as may are under way, so
    // that the count does not depend on how fast threads start.
    for (items, at_once) in [(0, 3), (2, 3), (60, 3), (60, 1)] {
        let state = Arc::new((Mutex::new((0, 0, 0)), Condvar::new()));
        let own = Arc::clone(&state);
        let all = at_once.min(items);
        spawn_bounded("test", at_once, (0..items).collect(), move |_: usize| {
            let mut counts = own.0.lock();
            let (now, peak, _) = &mut *counts;
            *now += 1;
            *peak = (*peak).max(*now);
            own.1.notify_all();
            while counts.1 < all {
                own.1.wait(&mut counts);
            }
            counts.0 -= 1;
            counts.2 += 1;
            own.1.notify_all();
        });
        let mut counts = state.0.lock();
        while counts.2 < items {
            state.1.wait(&mut counts);
        }
        assert_eq!(counts.1, all, "{items} items");
    }
}
