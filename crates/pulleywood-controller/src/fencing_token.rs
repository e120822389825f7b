//! The fencing-token counter in the store.

use crate::state::{ControllerContext, Versioned, read};
use pulleywood_protocol::FencingToken;
use pulleywood_protocol::record::{FENCING_TOKEN, FencingTokenCounter};
use pulleywood_transport::{RequestPriority, StoreError};

/// The newest fencing token and the counter's revision, read from the store. The first
/// ones if there is no counter yet.
pub fn read_fencing_token_counter(
    context: &ControllerContext,
) -> Result<Versioned<FencingToken>, StoreError> {
    let item = context
        .store
        .get(RequestPriority::ShardLeader, FENCING_TOKEN)?;
    let counter = item.and_then(|item| {
        let counter = read::<FencingTokenCounter>(Some(&item.value), FENCING_TOKEN)?;
        Some(Versioned::new(counter.last, item.revision))
    });
    Ok(counter.unwrap_or_default())
}
