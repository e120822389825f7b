//! Processes many items, such as network calls, on a bounded number of threads.

use parking_lot::Mutex;
use std::sync::Arc;

/// Stack of each thread, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// Calls `work` for each item, in order, on at most `max_threads` new threads, and returns
/// without waiting for them. The bound keeps sockets and processor time free for lease renewals
/// and heartbeats when, after a failover, a fencing token is announced to hundreds of machines.
pub fn spawn_bounded<T: Send + 'static>(
    name: &str,
    max_threads: usize,
    items: Vec<T>,
    work: impl Fn(T) + Send + Sync + 'static,
) {
    let threads = max_threads.min(items.len());
    let queue = Arc::new(Mutex::new(items.into_iter()));
    let work = Arc::new(work);
    for _ in 0..threads {
        let (queue, work) = (Arc::clone(&queue), Arc::clone(&work));
        let run = move || {
            while let Some(item) = { queue.lock().next() } {
                work(item);
            }
        };
        let thread = std::thread::Builder::new().name(name.into());
        if let Err(e) = thread.stack_size(STACK_BYTES).spawn(run) {
            log::error!("failed to start a thread named {name}: {e}");
        }
    }
}

#[cfg(test)]
mod tests;
