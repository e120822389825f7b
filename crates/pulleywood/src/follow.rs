//! Follows the watched keys, so that every controller's view is fresh and each
//! owner hears of new and cancelled jobs.

use crate::node::{Shared, View};
use pulleywood_net::{Class, StateError};
use pulleywood_wire::PartId;
use pulleywood_wire::record::LIVE;
use pulleywood_wire::state::{Event, Item};
use std::sync::Arc;
use std::time::Duration;

/// How long one watch waits. Its return proves how new the view is, which
/// bounds how long workers are answered while out of contact.
const WAIT: Duration = Duration::from_millis(1000);
/// Changes gather this long before the next watch: a bound on requests.
const GATHER: Duration = Duration::from_millis(150);

/// Runs for the life of the process.
pub fn run(shared: &Arc<Shared>) {
    loop {
        let from = {
            let node = shared.node.lock();
            node.viewed.then_some(node.view.ledger)
        };
        let sent = shared.clock.now();
        let result = match from {
            None => reread(shared),
            Some(from) => shared
                .state
                .follow(Class::Owner, LIVE, from, WAIT)
                .map(|answer| {
                    let now = shared.clock.now();
                    let changed = !answer.events.is_empty();
                    let mut node = shared.node.lock();
                    for event in answer.events {
                        node.event(event, now);
                    }
                    node.view.ledger = node.view.ledger.max(answer.ledger);
                    node.caught_up = node.caught_up.max(sent);
                    drop(node);
                    if changed {
                        shared.bell.notify_all();
                        std::thread::sleep(GATHER);
                    }
                }),
        };
        match result {
            Ok(()) => {}
            Err(StateError::TooOld) => {
                log::info!("the watch fell too far behind: reading everything again");
                if let Err(e) = reread(shared) {
                    log::debug!("cannot read: {e}");
                    std::thread::sleep(Duration::from_millis(500));
                }
            }
            Err(e) => {
                log::debug!("watch: {e}");
                std::thread::sleep(Duration::from_millis(300));
            }
        }
    }
}

/// Reads all watched keys but jobs, which owners read by part.
fn reread(shared: &Arc<Shared>) -> Result<(), StateError> {
    let sent = shared.clock.now();
    let (items, ledger) = shared.state.list(Class::Owner, LIVE)?;
    let now = shared.clock.now();
    let mut node = shared.node.lock();
    let first = !node.viewed;
    let before = std::mem::take(&mut node.view);
    node.view = View {
        ledger,
        ..View::default()
    };
    // Jobs and machines that are gone since are missing from the list.
    let listed = |path: &str| items.iter().any(|i| i.path == path);
    let mut gone = Vec::new();
    for (part, owned) in &node.owned {
        if !owned.loaded {
            continue;
        }
        for id in owned.ledger.jobs.keys() {
            let path = pulleywood_wire::record::job_key(*part, id);
            if !listed(&path) {
                gone.push(path);
            }
        }
        for id in owned.ledger.machines.keys() {
            let path = pulleywood_wire::record::machine_key(id);
            if !listed(&path) {
                gone.push(path);
            }
        }
    }
    for path in gone {
        let event = Event {
            write: None,
            delete: Some(path),
            value: None,
            stamp: pulleywood_wire::Stamp(ledger),
        };
        node.event(event, now);
    }
    for Item {
        path, value, stamp, ..
    } in items
    {
        let event = Event {
            write: Some(path),
            delete: None,
            value: Some(value),
            stamp,
        };
        node.event(event, now);
    }
    let parts = node.view.layout.map_or(0, |l| l.parts);
    for p in (0..parts).map(PartId) {
        if !node.view.parts.contains_key(&p) {
            let since = before.free_since.get(&p).copied().unwrap_or(now);
            node.view.free_since.insert(p, since);
        }
    }
    node.viewed = true;
    node.caught_up = node.caught_up.max(sent);
    drop(node);
    if first {
        log::info!("read the state service at revision {ledger}");
    }
    shared.bell.notify_all();
    Ok(())
}
