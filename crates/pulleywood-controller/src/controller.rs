//! One controller, assembled: its clients, its servers and its threads.

use crate::api::{self, RequestRouter};
use crate::clock::Clock;
use crate::policy::OperatorPolicy;
use crate::shard::{done_batches, leadership, registration};
use crate::state::{ControllerContext, ControllerState, FinalStateCache};
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
/// Share of the published rates that all controllers use together: late and bunched
/// packets need the rest.
const RATE_SHARE: f64 = 0.95;
/// Share of the cloud's rate for reading machine types.
const CLOUD_TYPES_SHARE: f64 = 0.1;
/// Fewer threads for connections than this serve a handful of machines only.
const FEW_THREADS: usize = 64;
/// Boot numbers lie below this one, so that every JSON reader keeps them exact.
const BOOT_END: u64 = 1 << 53;

/// A thread that runs for the life of the process.
struct LongLivedThread {
    name: &'static str,
    purpose: &'static str,
    body: fn(&Arc<ControllerContext>),
}

/// All long-lived threads, but for one per peer that sends digests.
const THREADS: [LongLivedThread; 11] = [
    LongLivedThread {
        name: "watch",
        purpose: "keeps the cached state fresh",
        body: watch::run,
    },
    LongLivedThread {
        name: "user-reads",
        purpose: "reads for users' queries",
        body: watch::read_for_users,
    },
    LongLivedThread {
        name: "write-tokens",
        purpose: "borrows write tokens from peers",
        body: peers::borrow_write_tokens,
    },
    LongLivedThread {
        name: "cancellations",
        purpose: "notifies leaders of cancellations",
        body: peers::notify_cancellations,
    },
    LongLivedThread {
        name: "submissions",
        purpose: "writes job batches",
        body: api::submissions::run,
    },
    LongLivedThread {
        name: "registrations",
        purpose: "writes machine batches",
        body: registration::run,
    },
    LongLivedThread {
        name: "session-lease",
        purpose: "renews the session lease",
        body: session_lease::renew,
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
        purpose: "balances quotas and the fleet",
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
    /// An address in the settings is not one.
    #[error("{0}: not an address")]
    Address(String),
    /// A socket cannot be opened or a thread not started.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
}

/// A running controller.
pub struct Controller {
    context: Arc<ControllerContext>,
    serve_on: SocketAddr,
}

impl Controller {
    /// Starts all threads of a controller and returns at once.
    ///
    /// # Errors
    ///
    /// A socket cannot be opened, an address is none, or a thread cannot be started.
    pub fn start(settings: Settings, policy: OperatorPolicy) -> Result<Controller, StartError> {
        let context = Arc::new(context(settings, policy)?);
        let bounds = ConnectionLimits::new(&context.settings);
        warn_of_few_threads(&context, &bounds);
        serve_peers(&context, &bounds)?;
        let serve_on = serve_http(&context, &bounds)?;
        start_threads(&context)?;
        log::info!("{} serves on {serve_on}", context.controller_id);
        Ok(Controller { context, serve_on })
    }

    /// Where users and workers connect.
    pub fn address(&self) -> SocketAddr {
        self.serve_on
    }

    /// Whether it can take requests.
    pub fn is_ready(&self) -> bool {
        api::ready(&self.context).status == 200
    }
}

fn address(text: &str) -> Result<SocketAddr, StartError> {
    text.parse()
        .map_err(|_| StartError::Address(text.to_owned()))
}

fn io_error(what: &str) -> impl FnOnce(std::io::Error) -> StartError {
    let what = what.to_owned();
    move |e| StartError::Io(what, e)
}

fn context(settings: Settings, policy: OperatorPolicy) -> Result<ControllerContext, StartError> {
    let members = (settings.seeds.len() + 1) as f64;
    let share = RATE_SHARE / members;
    let store_rps = settings.cluster.state.rps * share;
    let store = store_client(&settings, share)?;
    let cloud = cloud_client(&settings, members)?;
    let peers = peer_clients(&settings)?;
    let mut config = Config::new(&settings, policy.core);
    config.max_batch_operations = config.max_batch_operations.min(store.preferred_writes());
    Ok(ControllerContext {
        controller_id: settings.member.as_str().into(),
        boot: fastrand::u64(1..BOOT_END),
        clock: Clock::new(),
        store,
        cloud,
        peers,
        controller: Mutex::new(ControllerState::new(config)),
        work_available: Condvar::new(),
        submissions: Default::default(),
        registrations: Default::default(),
        cancellation_notices: Default::default(),
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
    Ok(StoreClient::new(address(&settings.services.state)?, budget))
}

/// Machine types are read by each controller, now and then; all else is the
/// coordinator's, of which there is one.
fn cloud_client(settings: &Settings, members: f64) -> Result<CloudClient, StartError> {
    let rps = settings.cluster.cloud.rps;
    let types_share = CLOUD_TYPES_SHARE / members;
    let coordinator_share = RATE_SHARE - CLOUD_TYPES_SHARE;
    Ok(CloudClient::new(
        address(&settings.services.cloud)?,
        Budget::new(rps * types_share, 0.0, 2.0),
        Budget::new(rps * coordinator_share, 0.0, 2.0),
    ))
}

fn peer_clients(settings: &Settings) -> Result<BTreeMap<MemberId, PeerClient>, StartError> {
    settings
        .seeds
        .iter()
        .map(|seed| {
            let client = PeerClient::new(address(&seed.endpoint)?);
            Ok((MemberId::from(seed.member.as_str()), client))
        })
        .collect()
}

fn warn_of_few_threads(context: &ControllerContext, bounds: &ConnectionLimits) {
    if let Some(field) = ConnectionLimits::limiting_setting(&context.settings, FEW_THREADS) {
        let n = bounds.threads;
        log::warn!("cluster.resources.{field} allows no more than {n} threads for connections");
    }
}

fn serve_peers(
    context: &Arc<ControllerContext>,
    bounds: &ConnectionLimits,
) -> Result<(), StartError> {
    let listen = address(&context.settings.cluster_listen)?;
    let own = Arc::clone(context);
    let answer = move |request| api::peers::answer(&own, request);
    pulleywood_transport::peer::serve(listen, bounds.peer_connections, answer)
        .map(|_| ())
        .map_err(io_error("cluster_listen"))
}

fn serve_http(
    context: &Arc<ControllerContext>,
    bounds: &ConnectionLimits,
) -> Result<SocketAddr, StartError> {
    let serve_on = address(&context.settings.serve_on)?;
    let limits = Limits {
        connections: bounds.connections,
        threads: bounds.threads,
    };
    let router = RequestRouter(Arc::clone(context));
    let serving = server::serve(serve_on, limits, router).map_err(io_error("serve_on"))?;
    Ok(serving.address)
}

fn start_threads(context: &Arc<ControllerContext>) -> Result<(), StartError> {
    for thread in THREADS {
        spawn(thread.name, context, thread.body)?;
        log::debug!("started thread {}: {}", thread.name, thread.purpose);
    }
    for peer in context.peers.keys() {
        let peer = peer.clone();
        spawn("peer-digests", context, move |context| {
            peers::send_digests(context, &peer);
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
        .map_err(io_error("thread"))
}
