//! Limits of connections and threads, derived from the settings.

use super::{Resources, Settings};

/// Maximum numbers of connections and threads of a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Concurrent connections of users, workers and health checks.
    pub connections: usize,
    /// Threads that serve these connections.
    pub threads: usize,
    /// Concurrent connections of other controllers.
    pub peer_connections: usize,
}

impl ConnectionLimits {
    /// Threads for other tasks than serving connections, such as periodic rounds and the
    /// acquisition of shards.
    const BACKGROUND_THREADS: usize = 32;
    /// Connections that calls of one peer may leave open, if the network fails, until they time
    /// out.
    const CONNECTIONS_PER_PEER: usize = 32;
    /// Threads that call one peer: one sends digests, one requests to suspend launches.
    const CALLING_THREADS_PER_PEER: usize = 2;
    /// Threads per MB of memory. A thread uses some tens of KB for its stack and buffers, and
    /// most of the memory is needed for jobs and machines.
    const THREADS_PER_MB: f64 = 6.0;
    /// Connections per MB of memory. A connection that waits without a thread uses some hundred
    /// bytes and the received part of a request, which is sometimes a whole one.
    const CONNECTIONS_PER_MB: f64 = 100.0;

    /// Derives the limits from the settings. A quarter of the sockets and of the threads is
    /// reserved for outgoing calls of this controller.
    pub fn new(settings: &Settings) -> ConnectionLimits {
        let resources = &settings.cluster.resources;
        let peer_connections = (settings.seeds.len() * Self::CONNECTIONS_PER_PEER).max(16);
        let calling_threads = settings.seeds.len() * Self::CALLING_THREADS_PER_PEER;
        let threads = (resources.max_threads as usize * 3 / 4)
            .saturating_sub(Self::BACKGROUND_THREADS + peer_connections + calling_threads);
        let sockets = (resources.max_sockets as usize * 3 / 4).saturating_sub(peer_connections);
        let within_memory = |per_mb: f64| (resources.ram_mb * per_mb) as usize;
        let connections = sockets.min(within_memory(Self::CONNECTIONS_PER_MB));
        let threads = threads.min(within_memory(Self::THREADS_PER_MB));
        ConnectionLimits {
            connections,
            threads: threads.min(connections),
            peer_connections,
        }
    }

    /// Minimum number of threads for a usable controller: enough for some workers, some users
    /// and the health check.
    pub(super) const MIN_THREADS: usize = 16;

    /// Returns the setting that limits the threads for connections to fewer than `min_threads`,
    /// or `None` if there are enough.
    pub fn limiting_setting(settings: &Settings, min_threads: usize) -> Option<&'static str> {
        if Self::new(settings).threads >= min_threads {
            return None;
        }
        let mut raised = settings.clone();
        type RaiseLimit = fn(&mut Resources);
        let fields: [(&str, RaiseLimit); 3] = [
            ("max_sockets", |r| r.max_sockets = u32::MAX),
            ("max_threads", |r| r.max_threads = u32::MAX),
            ("ram_mb", |r| r.ram_mb = f64::from(u32::MAX)),
        ];
        // The first setting whose increase results in more threads.
        let threads = Self::new(settings).threads;
        let limiting = fields.iter().find(|(_, raise_limit)| {
            raised.cluster.resources = settings.cluster.resources.clone();
            raise_limit(&mut raised.cluster.resources);
            Self::new(&raised).threads > threads
        });
        Some(limiting.map_or("max_sockets", |(name, _)| name))
    }
}
