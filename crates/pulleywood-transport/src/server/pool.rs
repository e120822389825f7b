//! The pool of threads that serve connections.

use super::admission::Admission;
use super::connection::{Connection, ServeOutcome};
use super::parking::{ParkedConnections, UnparkHandler};
use super::{Handler, http, spawn};
use parking_lot::{Condvar, Mutex};
use std::collections::VecDeque;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A thread that finds no connection to serve for this long ends.
const THREAD_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Serves connections with up to [`super::Limits::threads`] threads, started on demand.
pub struct Pool<H> {
    pub handler: H,
    pub admission: Admission,
    /// `None` if there is a thread for each connection.
    pub parked_connections: Option<ParkedConnections>,
    queue: Mutex<Queue>,
    /// Notified when a connection is queued.
    connection_queued: Condvar,
}

/// Connections that wait for a thread, and the number of threads.
#[derive(Default)]
pub struct Queue {
    waiting: VecDeque<Connection>,
    idle_threads: usize,
    threads: usize,
}

impl<H: Handler> Pool<H> {
    /// Creates a pool without threads or connections.
    pub fn new(
        handler: H,
        admission: Admission,
        parked_connections: Option<ParkedConnections>,
    ) -> Pool<H> {
        Pool {
            handler,
            admission,
            parked_connections,
            queue: Mutex::default(),
            connection_queued: Condvar::new(),
        }
    }

    /// Accepts a new connection, or rejects it with 503 if the limit is reached.
    pub fn admit(self: &Arc<Self>, stream: TcpStream) {
        if !self.admission.admit_connection() {
            http::reject_connection(stream);
            return;
        }
        match Connection::new(stream) {
            // The client may never send anything, so no thread waits for its first request.
            Ok(connection) if self.admission.threads_scarce() => self.park(connection),
            Ok(connection) => self.enqueue(connection),
            Err(e) => {
                log::debug!("failed to set the socket options of a new connection: {e}");
                self.admission.release_connection();
            }
        }
    }

    /// Queues a connection for an idle thread, or for a new one if no thread is idle and the
    /// limit allows it.
    pub fn enqueue(self: &Arc<Self>, connection: Connection) {
        let mut queue = self.queue.lock();
        let thread_available = queue.idle_threads > queue.waiting.len();
        queue.waiting.push_back(connection);
        let start_thread = !thread_available && queue.threads < self.admission.limits().threads;
        queue.threads += usize::from(start_thread);
        drop(queue);
        if !start_thread {
            self.connection_queued.notify_one();
            return;
        }
        self.admission.gauges().add_thread();
        let pool = Arc::clone(self);
        if let Err(e) = spawn("http", move || pool.run_thread()) {
            log::error!("failed to start a thread of the HTTP server: {e}");
            self.admission
                .gauges()
                .threads
                .fetch_sub(1, Ordering::Relaxed);
            // The next thread that becomes idle serves the remaining connections. There may be
            // none, so one connection is rejected rather than left to wait forever.
            let mut queue = self.queue.lock();
            queue.threads -= 1;
            let newest = queue.waiting.pop_back();
            drop(queue);
            if let Some(connection) = newest {
                self.reject(connection);
            }
        }
    }

    fn run_thread(self: Arc<Self>) {
        while let Some(connection) = self.next_connection() {
            match connection.serve(&self.handler, &self.admission) {
                Ok(ServeOutcome::Closed) => self.admission.release_connection(),
                Ok(ServeOutcome::Parked(connection)) => self.park(connection),
                Err(e) => {
                    log::debug!("closed a connection: {e}");
                    self.admission.release_connection();
                }
            }
        }
    }

    /// Waits for a connection to serve. Returns `None` after [`THREAD_IDLE_TIMEOUT`]: the
    /// calling thread then ends and is no longer counted.
    fn next_connection(&self) -> Option<Connection> {
        let mut queue = self.queue.lock();
        queue.idle_threads += 1;
        let mut timed_out = false;
        while queue.waiting.is_empty() && !timed_out {
            timed_out = self
                .connection_queued
                .wait_for(&mut queue, THREAD_IDLE_TIMEOUT)
                .timed_out();
        }
        queue.idle_threads -= 1;
        let connection = queue.waiting.pop_front();
        if connection.is_none() {
            queue.threads -= 1;
            self.admission
                .gauges()
                .threads
                .fetch_sub(1, Ordering::Relaxed);
        }
        connection
    }

    /// Parks a connection, or closes it if that is impossible.
    fn park(&self, connection: Connection) {
        let Some(parked_connections) = &self.parked_connections else {
            self.close(connection);
            return;
        };
        if let Err(e) = parked_connections.park(connection) {
            log::debug!("failed to park a connection, closed it: {e}");
            self.admission.release_connection();
        }
    }

    /// Closes a connection and frees its slot.
    pub fn close(&self, connection: Connection) {
        drop(connection);
        self.admission.release_connection();
    }

    fn reject(&self, connection: Connection) {
        http::reject_connection(connection.stream);
        self.admission.release_connection();
    }
}

impl<H: Handler> UnparkHandler for Arc<Pool<H>> {
    fn on_readable(&self, connection: Connection) {
        self.enqueue(connection);
    }

    fn on_timeout(&self, connection: Connection) {
        self.close(connection);
    }
}
