//! `pulleywood inspect`: what a recovery would do and why, without doing it.
//!
//! It only reads: the store, the cloud's list, and on request the workers.

use parking_lot::Mutex;
use pulleywood_protocol::cloud::Rental;
use pulleywood_protocol::record::{LIVE_PREFIX, MachineRecord, final_key, job_key};
use pulleywood_protocol::settings::Settings;
use pulleywood_protocol::time::secs;
use pulleywood_protocol::{FencingToken, JobId, MachineId, MonotonicTime};
use pulleywood_recovery::evidence::{
    BlockedScope, CloudEvidence, Evidence, ReceivedHeartbeat, StoredShard, StoredState,
    UnreadableRecord,
};
use pulleywood_recovery::report::Report;
use pulleywood_recovery::task_class::TaskClass;
use pulleywood_recovery::{Reconciliation, reconcile};
use pulleywood_scheduler::Config;
use pulleywood_scheduler::config::Policy;
use pulleywood_transport::cloud::{self, RentalListing};
use pulleywood_transport::{Budget, CloudClient, RequestPriority, StoreClient, StoreError};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Share of the published rates that an inspection uses: what controllers leave.
const RATE_SHARE: f64 = 0.05;
/// Least requests per second, else a large store would take hours.
const LEAST_RATE: f64 = 2.0;
/// How many workers are asked at a time.
const WORKERS_AT_ONCE: usize = 16;
/// Longest wait for a worker's heartbeat.
const WORKER_TIMEOUT: Duration = Duration::from_secs(2);
/// A failed read is repeated this often.
const TRIES: u32 = 5;
/// Pause before a read is repeated.
const PAUSE: Duration = Duration::from_millis(500);

/// Why nothing could be inspected.
#[derive(Debug, thiserror::Error)]
pub enum InspectError {
    /// An address in the settings is not one.
    #[error("{0}: not an address")]
    Address(String),
    /// The state service cannot be read.
    #[error("the state service at {0} cannot be read: {1}")]
    State(String, StoreError),
}

/// Reads everything and reconciles it. `ask_workers`: also asks each worker for
/// its heartbeat, which counts as one of its messages.
///
/// # Errors
///
/// An address in the settings is none, or the store cannot be read.
pub fn inspect(settings: &Settings, ask_workers: bool) -> Result<Report, InspectError> {
    let store = store_client(settings)?;
    let unreadable = |e| InspectError::State(settings.services.state.clone(), e);
    let mut config = Config::new(settings, Policy::defaults(settings));
    let cloud = read_cloud(settings, &mut config);
    let (items, revision) =
        retry(|| store.list(RequestPriority::Lease, LIVE_PREFIX)).map_err(unreadable)?;
    let mut stored = StoredState::from_items(&items, revision, config.chunk_tasks);
    config.shards = stored.shard_count;
    let heard = if ask_workers {
        read_heartbeats(&stored)
    } else {
        BTreeMap::new()
    };
    let lapsed = BTreeSet::new();
    let found = {
        let evidence = evidence(&config, &stored, &heard, &lapsed, cloud.as_ref());
        reconcile(&evidence)
    };
    // Before a task counts as one of a job that nobody knows, its job is looked
    // for by reads begun after the heartbeat.
    verify(&store, &mut stored, &found).map_err(unreadable)?;
    let evidence = evidence(&config, &stored, &heard, &lapsed, cloud.as_ref());
    Ok(Report::new(&reconcile(&evidence), &evidence, ask_workers))
}

fn evidence<'a>(
    config: &'a Config,
    stored: &'a StoredState,
    heard: &'a BTreeMap<MachineId, ReceivedHeartbeat>,
    lapsed: &'a BTreeSet<MachineId>,
    cloud: Option<&'a CloudEvidence>,
) -> Evidence<'a> {
    Evidence {
        config,
        stored,
        heartbeats: heard,
        expired_leases: lapsed,
        cloud,
        now: MonotonicTime(0),
    }
}

fn address(text: &str) -> Result<SocketAddr, InspectError> {
    let wrong = |_| InspectError::Address(text.to_owned());
    text.parse().map_err(wrong)
}

fn rate(published: f64) -> f64 {
    (published * RATE_SHARE).max(LEAST_RATE.min(published))
}

fn store_client(settings: &Settings) -> Result<StoreClient, InspectError> {
    let rps = rate(settings.cluster.state.rps);
    // No write is ever made.
    let budget = Budget::new(rps, 0.0, 1.0);
    Ok(StoreClient::new(address(&settings.services.state)?, budget))
}

/// Repeats a read while the store has no tokens for it or does not answer.
fn retry<T>(read: impl Fn() -> Result<T, StoreError>) -> Result<T, StoreError> {
    let mut tries = 0;
    loop {
        match read() {
            Err(_) if tries < TRIES => tries += 1,
            result => return result,
        }
        std::thread::sleep(PAUSE);
    }
}

/// Reads machine types into the configuration, and the machine list; none if the list
/// cannot be read.
fn read_cloud(settings: &Settings, config: &mut Config) -> Option<CloudEvidence> {
    let addr = address(&settings.services.cloud).ok()?;
    let rps = rate(settings.cluster.cloud.rps);
    let budget = || Budget::new(rps, 0.0, 2.0);
    let client = CloudClient::new(addr, budget(), budget());
    match client.flavors() {
        Ok(flavors) => {
            let named = flavors.into_iter().map(|f| (f.label.clone(), f));
            config.flavors = named.collect();
        }
        Err(e) => log::warn!("failed to read the machine types: {e}"),
    }
    let mut evidence = CloudEvidence::new(secs(settings.cluster.cloud.list_lag_s));
    evidence.update(
        &read_rentals(&client)?,
        std::iter::empty(),
        MonotonicTime(0),
    );
    Some(evidence)
}

/// Reads the machine list, page by page.
fn read_rentals(client: &CloudClient) -> Option<Vec<Rental>> {
    let mut listing = RentalListing::default();
    let mut tries = 0;
    loop {
        match client.read_rentals(&mut listing) {
            Ok(Some(list)) => return Some(list),
            Ok(None) => {}
            Err(e) if tries == TRIES => {
                log::warn!("failed to read the machine list: {e}");
                return None;
            }
            Err(_) => tries += 1,
        }
        std::thread::sleep(PAUSE);
    }
}

/// The fencing token that a machine is to obey: its own, or that of its shard's leader or
/// previous leader if that is higher.
fn present_fencing_token(stored: &StoredState, record: &MachineRecord) -> FencingToken {
    let shard = stored.shards.get(&record.shard);
    let leader = shard.and_then(StoredShard::latest_leader);
    let held = leader.map(|leader| leader.fencing_token);
    record.fencing_token.max(held.unwrap_or_default())
}

/// Asks every recorded worker for its heartbeat.
fn read_heartbeats(stored: &StoredState) -> BTreeMap<MachineId, ReceivedHeartbeat> {
    let machines = Mutex::new(stored.machines.iter());
    let heard = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..WORKERS_AT_ONCE {
            scope.spawn(|| {
                while let Some((id, record)) = { machines.lock().next() } {
                    let Ok(addr) = record.endpoint.parse() else {
                        continue;
                    };
                    match cloud::fetch_heartbeat(addr, WORKER_TIMEOUT) {
                        Ok(heartbeat) if heartbeat.machine == *id => {
                            let fencing_token = present_fencing_token(stored, record);
                            let is_current = heartbeat.fencing_token >= fencing_token;
                            heard.lock().insert(
                                id.clone(),
                                ReceivedHeartbeat {
                                    heartbeat,
                                    is_current,
                                },
                            );
                        }
                        Ok(other) => log::warn!("found {} at the address of {id}", other.machine),
                        Err(e) => log::info!("failed to ask {id} for its heartbeat: {e}"),
                    }
                }
            });
        }
    });
    heard.into_inner()
}

/// Looks for the live record and the final state of jobs that only workers know.
fn verify(
    store: &StoreClient,
    stored: &mut StoredState,
    found: &Reconciliation,
) -> Result<(), StoreError> {
    let unknown = found
        .tasks
        .iter()
        .filter(|f| f.class == TaskClass::JobUnknown);
    let unknown: BTreeSet<JobId> = unknown.map(|f| f.task.job.clone()).collect();
    for id in unknown {
        let live = job_key(id.shard(stored.shard_count), &id);
        if retry(|| store.get(RequestPriority::Lease, &live))?.is_some() {
            // Accepted since the list was read: nothing is known against it.
            stored.unreadable.push(UnreadableRecord {
                key: live,
                blocks: BlockedScope::Job(id),
            });
        } else if retry(|| store.get(RequestPriority::Lease, &final_key(&id)))?.is_some() {
            stored.closed_jobs.insert(id);
        }
    }
    Ok(())
}
