//! Storing the layout of a new cluster.

use crate::state::ControllerContext;
use pulleywood_protocol::record::{FencingTokenCounter, LAYOUT, Layout};
use pulleywood_protocol::store::Transaction;
use pulleywood_protocol::{FencingToken, Revision};
use pulleywood_transport::store::Outcome;
use pulleywood_transport::{RequestPriority, StoreError};
use std::time::Duration;

/// Pause after storing the layout, within which the watch usually delivers it.
const WATCH_DELAY: Duration = Duration::from_millis(100);

/// Stores the number of shards, which never changes afterwards, and the fencing-token counter.
pub fn store_layout(context: &ControllerContext) -> Result<(), StoreError> {
    let shards = context.settings.cluster.initial_size;
    let counter = FencingTokenCounter {
        last: FencingToken(0),
    };
    let transaction = Transaction::default()
        .when(LAYOUT, Revision(0))
        .write(LAYOUT, &Layout { shards });
    let transaction = counter.replace(transaction, Revision(0));
    let outcome = context
        .store
        .commit(RequestPriority::ShardLeader, &transaction)?;
    match outcome {
        Outcome::Applied(revision) => {
            log::info!("stored the layout with {shards} shards at revision {revision}");
        }
        Outcome::Conflict => log::info!(
            "failed to store the layout with {shards} shards: the layout or the fencing-token \
             counter already exists"
        ),
    }
    std::thread::sleep(WATCH_DELAY);
    Ok(())
}
