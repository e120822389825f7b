//! Assembles a controller: its clients, servers and threads.

use crate::api::{self, RequestRouter};
use crate::clock::Clock;
use crate::policy::OperatorPolicy;
use crate::shard::{done_batches, leadership, registration};
use crate::state::{ControllerContext, ControllerState, FinalStateCache, SuspensionRequests};
use crate::{coordinator, peers, recovery, session_lease, watch};
use parking_lot::{Condvar, Mutex};
use pulleywood_protocol::MemberId;
use pulleywood_protocol::settings::{ConnectionLimits, Settings};
use pulleywood_scheduler::Config;
use pulleywood_transport::peer::PeerClient;
use pulleywood_transport::server::{self, Limits};
use pulleywood_transport::{Budget, CloudClient, PollIntervals, StoreClient};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

/// Stack of each long-lived thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Share of the published rates that all controllers use together. The rest allows for delayed
/// requests that arrive in bursts.
const RATE_SHARE: f64 = 0.95;
/// Share of the cloud's rate that all controllers use to read machine types.
const MACHINE_TYPES_SHARE: f64 = 0.1;
/// Share of a controller's memory that the encoded changes in one response to a watch may take.
/// Decoded, they take several times as much.
const CHANGES_MEMORY_SHARE: f64 = 1.0 / 32.0;
/// Lower bound of the bytes that one response to a watch may have: many times the largest
/// transaction.
const MIN_CHANGES_BYTES: usize = 1 << 20;
/// A controller warns if it has fewer connection threads than this, since it can then serve
/// only a small number of machines.
const MIN_CONNECTION_THREADS: usize = 64;
/// Upper bound of boot numbers, below which a JSON number is exact as a 64-bit float.
const BOOT_LIMIT: u64 = 1 << 53;

/// A thread that runs for the life of the process.
struct LongLivedThread {
    name: &'static str,
    purpose: &'static str,
    body: fn(&Arc<ControllerContext>),
}

/// All long-lived threads except those that send digests and requests to suspend launches, of
/// which there is one per peer.
const THREADS: [LongLivedThread; 10] = [
    LongLivedThread {
        name: "watch",
        purpose: "updates the cached state",
        body: watch::run,
    },
    LongLivedThread {
        name: "user-reads",
        purpose: "reads the store for users' queries",
        body: watch::read_for_users,
    },
    LongLivedThread {
        name: "write-tokens",
        purpose: "borrows write tokens from peers",
        body: peers::borrow_write_tokens,
    },
    LongLivedThread {
        name: "submissions",
        purpose: "commits queued submissions",
        body: api::submissions::run,
    },
    LongLivedThread {
        name: "registrations",
        purpose: "commits queued registrations",
        body: registration::run,
    },
    LongLivedThread {
        name: "session-lease",
        purpose: "renews the session lease",
        body: session_lease::run,
    },
    LongLivedThread {
        name: "leadership",
        purpose: "acquires and hands over shards",
        body: leadership::run,
    },
    LongLivedThread {
        name: "done-batches",
        purpose: "records done tasks",
        body: done_batches::run,
    },
    LongLivedThread {
        name: "coordinator",
        purpose: "balances quotas and scales the fleet",
        body: coordinator::run,
    },
    LongLivedThread {
        name: "recovery",
        purpose: "runs the recovery subsystem",
        body: recovery::run,
    },
];

/// Why a controller cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A setting is not a socket address.
    #[error("invalid address {0:?}: expected IP address and port")]
    Address(String),
    /// A socket cannot be opened, or a thread cannot be started. Holds what was attempted.
    #[error("failed to {0}: {1}")]
    Io(String, std::io::Error),
}

/// A running controller.
pub struct Controller {
    context: Arc<ControllerContext>,
    serve_on: SocketAddr,
}

impl Controller {
    /// Starts all threads of a controller and returns without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// An address is invalid, a socket cannot be opened, or a thread cannot be started.
    pub fn start(settings: Settings, policy: OperatorPolicy) -> Result<Controller, StartError> {
        let context = Arc::new(build_context(settings, policy)?);
        let limits = ConnectionLimits::new(&context.settings);
        warn_about_few_threads(&context, &limits);
        serve_peers(&context, &limits)?;
        let serve_on = serve_http(&context, &limits)?;
        start_threads(&context)?;
        log::info!("started controller {} on {serve_on}", context.controller_id);
        Ok(Controller { context, serve_on })
    }

    /// The address that users and workers connect to.
    pub fn address(&self) -> SocketAddr {
        self.serve_on
    }

    /// Whether its readiness probe succeeds.
    pub fn is_ready(&self) -> bool {
        api::ready(&self.context).status == 200
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, StartError> {
    text.parse()
        .map_err(|_| StartError::Address(text.to_owned()))
}

fn io_error(action: String) -> impl FnOnce(std::io::Error) -> StartError {
    move |e| StartError::Io(action, e)
}

fn build_context(
    settings: Settings,
    policy: OperatorPolicy,
) -> Result<ControllerContext, StartError> {
    let controllers = (settings.seeds.len() + 1) as f64;
    let share = RATE_SHARE / controllers;
    let store_rps = settings.cluster.state.rps * share;
    let store = store_client(&settings, share)?;
    let cloud = cloud_client(&settings, controllers)?;
    let peers = peer_clients(&settings)?;
    let suspension_requests = SuspensionRequests::new(peers.keys().cloned());
    let mut config = Config::new(&settings, policy.scheduler);
    config.max_batch_operations = config.max_batch_operations.min(store.preferred_writes());
    Ok(ControllerContext {
        controller_id: settings.member.as_str().into(),
        boot: fastrand::u64(1..BOOT_LIMIT),
        clock: Clock::new(),
        store,
        cloud,
        peers,
        controller: Mutex::new(ControllerState::new(config)),
        work_available: Condvar::new(),
        submissions: Default::default(),
        registrations: Default::default(),
        suspension_requests,
        linearizable_reads: Default::default(),
        poll_intervals: PollIntervals::new(store_rps),
        last_digest_seq: AtomicU64::new(0),
        last_refusal_ms: AtomicU64::new(0),
        recovery: policy.recovery,
        final_states: Mutex::new(FinalStateCache::default()),
        settings,
    })
}

fn store_client(settings: &Settings, share: f64) -> Result<StoreClient, StartError> {
    let rates = &settings.cluster.state;
    let budget = Budget::new(rates.rps * share, rates.write_rps * share, 1.0);
    let store = StoreClient::new(parse_address(&settings.services.state)?, budget);
    let ram_bytes = settings.cluster.resources.ram_mb * 1024.0 * 1024.0;
    let max_changes = (ram_bytes * CHANGES_MEMORY_SHARE) as usize;
    Ok(store.with_max_changes(max_changes.max(MIN_CHANGES_BYTES)))
}

/// Creates the cloud client. Every controller reads the machine types, so each gets a part of
/// their share of the rate; all other calls are made only by the coordinator, which gets the
/// rest undivided.
fn cloud_client(settings: &Settings, controllers: f64) -> Result<CloudClient, StartError> {
    let rps = settings.cluster.cloud.rps;
    let machine_types_share = MACHINE_TYPES_SHARE / controllers;
    let coordinator_share = RATE_SHARE - MACHINE_TYPES_SHARE;
    Ok(CloudClient::new(
        parse_address(&settings.services.cloud)?,
        Budget::new(rps * machine_types_share, 0.0, 2.0),
        Budget::new(rps * coordinator_share, 0.0, 2.0),
    ))
}

fn peer_clients(settings: &Settings) -> Result<BTreeMap<MemberId, PeerClient>, StartError> {
    settings
        .seeds
        .iter()
        .map(|seed| {
            let client = PeerClient::new(parse_address(&seed.endpoint)?);
            Ok((MemberId::from(seed.member.as_str()), client))
        })
        .collect()
}

fn warn_about_few_threads(context: &ControllerContext, limits: &ConnectionLimits) {
    if let Some(field) =
        ConnectionLimits::limiting_setting(&context.settings, MIN_CONNECTION_THREADS)
    {
        let threads = limits.threads;
        log::warn!(
            "limited the connection threads to {threads}, fewer than {MIN_CONNECTION_THREADS}, \
             because of cluster.resources.{field}"
        );
    }
}

fn serve_peers(
    context: &Arc<ControllerContext>,
    limits: &ConnectionLimits,
) -> Result<(), StartError> {
    let listen = parse_address(&context.settings.cluster_listen)?;
    let handler_context = Arc::clone(context);
    let answer = move |request| api::peers::answer(&handler_context, request);
    pulleywood_transport::peer::serve(listen, limits.peer_connections, answer)
        .map(|_| ())
        .map_err(io_error(format!("listen on cluster_listen {listen}")))
}

fn serve_http(
    context: &Arc<ControllerContext>,
    limits: &ConnectionLimits,
) -> Result<SocketAddr, StartError> {
    let serve_on = parse_address(&context.settings.serve_on)?;
    let server_limits = Limits {
        connections: limits.connections,
        threads: limits.threads,
    };
    let router = RequestRouter(Arc::clone(context));
    let server = server::serve(serve_on, server_limits, router)
        .map_err(io_error(format!("listen on serve_on {serve_on}")))?;
    Ok(server.address)
}

fn start_threads(context: &Arc<ControllerContext>) -> Result<(), StartError> {
    for thread in THREADS {
        spawn(thread.name, context, thread.body)?;
        log::debug!("started thread {}: {}", thread.name, thread.purpose);
    }
    for peer in context.peers.keys() {
        let (digests_to, suspensions_to) = (peer.clone(), peer.clone());
        spawn("peer-digests", context, move |context| {
            peers::send_digests(context, &digests_to);
        })?;
        spawn("suspensions", context, move |context| {
            peers::request_suspensions(context, &suspensions_to);
        })?;
    }
    Ok(())
}

fn spawn(
    name: &str,
    context: &Arc<ControllerContext>,
    body: impl FnOnce(&Arc<ControllerContext>) + Send + 'static,
) -> Result<(), StartError> {
    let context = Arc::clone(context);
    std::thread::Builder::new()
        .name(name.into())
        .stack_size(STACK_BYTES)
        .spawn(move || body(&context))
        .map(|_| ())
        .map_err(io_error(format!("start thread {name}")))
}
