//! `pulleywood inspect`: reports what a recovery would do and why, without doing it.
//!
//! It only reads: the store, the cloud's machine list, and on request the workers' heartbeats.

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

/// Share of the published rates that an inspection uses. The controllers use the rest.
const RATE_SHARE: f64 = 0.05;
/// Minimum rate in requests per second; with less, reading a large store would take hours.
const MIN_RPS: f64 = 2.0;
/// Number of workers that are asked concurrently.
const MAX_CONCURRENT_WORKERS: usize = 16;
/// Longest wait for a worker's heartbeat.
const WORKER_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of times that a failed read is repeated.
const MAX_RETRIES: u32 = 5;
/// Delay before a read is repeated, and between pages of the machine list.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Why the inspection failed.
#[derive(Debug, thiserror::Error)]
pub enum InspectError {
    /// A setting is not a socket address.
    #[error("invalid address {0:?}: expected IP address and port")]
    Address(String),
    /// The state service at this address cannot be read.
    #[error("the state service at {0} cannot be read: {1}")]
    State(String, StoreError),
}

/// Reads the stored records and the cloud's machine list, and reconciles them. With
/// `ask_workers` it also asks each worker for its heartbeat. A worker counts such a heartbeat
/// as one of its messages.
///
/// # Errors
///
/// An address in the settings is invalid, or the store cannot be read.
pub fn inspect(settings: &Settings, ask_workers: bool) -> Result<Report, InspectError> {
    let store = store_client(settings)?;
    let unreadable = |e| InspectError::State(settings.services.state.clone(), e);
    let mut config = Config::new(settings, Policy::defaults(settings));
    let cloud = read_cloud(settings, &mut config);
    let (items, revision) =
        retry(|| store.list(RequestPriority::Lease, LIVE_PREFIX)).map_err(unreadable)?;
    let mut stored = StoredState::from_items(&items, revision, config.chunk_tasks);
    config.shards = stored.shard_count;
    let heartbeats = if ask_workers {
        read_heartbeats(&stored)
    } else {
        BTreeMap::new()
    };
    let expired_leases = BTreeSet::new();
    let reconciliation = {
        let evidence = evidence(
            &config,
            &stored,
            &heartbeats,
            &expired_leases,
            cloud.as_ref(),
        );
        reconcile(&evidence)
    };
    // A task counts as one of an unknown job only if the job is not found by reads that begin
    // after the heartbeat.
    look_up_unknown_jobs(&store, &mut stored, &reconciliation).map_err(unreadable)?;
    let evidence = evidence(
        &config,
        &stored,
        &heartbeats,
        &expired_leases,
        cloud.as_ref(),
    );
    Ok(Report::new(&reconcile(&evidence), &evidence, ask_workers))
}

fn evidence<'a>(
    config: &'a Config,
    stored: &'a StoredState,
    heartbeats: &'a BTreeMap<MachineId, ReceivedHeartbeat>,
    expired_leases: &'a BTreeSet<MachineId>,
    cloud: Option<&'a CloudEvidence>,
) -> Evidence<'a> {
    Evidence {
        config,
        stored,
        heartbeats,
        expired_leases,
        cloud,
        now: MonotonicTime(0),
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, InspectError> {
    text.parse()
        .map_err(|_| InspectError::Address(text.to_owned()))
}

/// The rate that an inspection may use of a published rate, in requests per second.
fn inspection_rps(published_rps: f64) -> f64 {
    (published_rps * RATE_SHARE).max(MIN_RPS.min(published_rps))
}

fn store_client(settings: &Settings) -> Result<StoreClient, InspectError> {
    let rps = inspection_rps(settings.cluster.state.rps);
    // The budget has no write tokens.
    let budget = Budget::new(rps, 0.0, 1.0);
    Ok(StoreClient::new(
        parse_address(&settings.services.state)?,
        budget,
    ))
}

/// Repeats a read up to [`MAX_RETRIES`] times while it fails.
fn retry<T>(read: impl Fn() -> Result<T, StoreError>) -> Result<T, StoreError> {
    let mut retries = 0;
    loop {
        match read() {
            Err(_) if retries < MAX_RETRIES => retries += 1,
            result => return result,
        }
        std::thread::sleep(RETRY_DELAY);
    }
}

/// Reads the machine types into the configuration, and returns the machine list, or `None` if
/// it cannot be read.
fn read_cloud(settings: &Settings, config: &mut Config) -> Option<CloudEvidence> {
    let addr = parse_address(&settings.services.cloud).ok()?;
    let rps = inspection_rps(settings.cluster.cloud.rps);
    let budget = || Budget::new(rps, 0.0, 2.0);
    let client = CloudClient::new(addr, budget(), budget());
    match client.flavors() {
        Ok(flavors) => {
            let by_label = flavors.into_iter().map(|f| (f.label.clone(), f));
            config.flavors = by_label.collect();
        }
        Err(e) => log::warn!("failed to read the machine types from the cloud: {e}"),
    }
    let mut evidence = CloudEvidence::new(secs(settings.cluster.cloud.list_lag_s));
    evidence.update(
        &read_rentals(&client)?,
        std::iter::empty(),
        MonotonicTime(0),
    );
    Some(evidence)
}

/// Reads all pages of the machine list.
fn read_rentals(client: &CloudClient) -> Option<Vec<Rental>> {
    let mut listing = RentalListing::default();
    let mut retries = 0;
    loop {
        match client.read_rentals(&mut listing) {
            Ok(Some(list)) => return Some(list),
            Ok(None) => {}
            Err(e) if retries == MAX_RETRIES => {
                log::warn!("failed to read the machine list from the cloud: {e}");
                return None;
            }
            Err(_) => retries += 1,
        }
        std::thread::sleep(RETRY_DELAY);
    }
}

/// Returns the fencing token that a machine's worker has to obey: that of its record, or that
/// of its shard's present or previous leader if it is higher.
fn required_fencing_token(stored: &StoredState, record: &MachineRecord) -> FencingToken {
    let shard = stored.shards.get(&record.shard);
    let leader = shard.and_then(StoredShard::latest_leader);
    let leader_token = leader.map(|leader| leader.fencing_token);
    record.fencing_token.max(leader_token.unwrap_or_default())
}

/// Asks the workers of all recorded machines for their heartbeats.
fn read_heartbeats(stored: &StoredState) -> BTreeMap<MachineId, ReceivedHeartbeat> {
    let machines = Mutex::new(stored.machines.iter());
    let heartbeats = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..MAX_CONCURRENT_WORKERS {
            scope.spawn(|| {
                while let Some((id, record)) = { machines.lock().next() } {
                    let Ok(addr) = record.endpoint.parse() else {
                        continue;
                    };
                    match cloud::fetch_heartbeat(addr, WORKER_TIMEOUT) {
                        Ok(heartbeat) if heartbeat.machine == *id => {
                            let required = required_fencing_token(stored, record);
                            let is_current = heartbeat.fencing_token >= required;
                            heartbeats.lock().insert(
                                id.clone(),
                                ReceivedHeartbeat {
                                    heartbeat,
                                    is_current,
                                },
                            );
                        }
                        Ok(other) => log::warn!(
                            "ignored the heartbeat of machine {} from the address of machine {id}",
                            other.machine
                        ),
                        Err(e) => {
                            log::info!("failed to ask machine {id} for its heartbeat: {e}");
                        }
                    }
                }
            });
        }
    });
    heartbeats.into_inner()
}

/// Looks for the live records and final states of jobs that only workers have reported.
fn look_up_unknown_jobs(
    store: &StoreClient,
    stored: &mut StoredState,
    reconciliation: &Reconciliation,
) -> Result<(), StoreError> {
    let unknown = reconciliation
        .tasks
        .iter()
        .filter(|f| f.class == TaskClass::JobUnknown);
    let unknown: BTreeSet<JobId> = unknown.map(|f| f.task.job.clone()).collect();
    for id in unknown {
        let live = job_key(id.shard(stored.shard_count), &id);
        if retry(|| store.get(RequestPriority::Lease, &live))?.is_some() {
            // The job was accepted after the list was read. Its tasks are left alone: its key
            // is treated like that of a record that cannot be read.
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
