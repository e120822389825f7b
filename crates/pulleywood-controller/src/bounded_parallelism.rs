//! Work on many items, a few at a time, each perhaps waiting for the network.

use parking_lot::Mutex;
use std::sync::Arc;

/// Stack of each thread, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// Does `work` for each item in order, on `at_once` threads of its own, and returns at
/// once. After a failover a fencing token is announced to hundreds of machines: all
/// together they would take every socket and the processor from lease renewals and
/// heartbeats.
pub fn spawn_bounded<T: Send + 'static>(
    name: &str,
    at_once: usize,
    items: Vec<T>,
    work: impl Fn(T) + Send + Sync + 'static,
) {
    let threads = at_once.min(items.len());
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
            log::error!("failed to start a thread: {e}");
        }
    }
}

#[cfg(test)]
mod tests;
