//! Reads the stored fencing-token counter, from which every new fencing token is issued.

use crate::state::{ControllerContext, Versioned, decode_record};
use pulleywood_protocol::FencingToken;
use pulleywood_protocol::record::{FENCING_TOKEN, FencingTokenCounter};
use pulleywood_transport::{RequestPriority, StoreError};

/// Reads the last issued fencing token and the revision of the counter. Both are 0 if there is
/// no counter yet.
pub fn read_fencing_token_counter(
    context: &ControllerContext,
) -> Result<Versioned<FencingToken>, StoreError> {
    let item = context
        .store
        .get(RequestPriority::ShardLeader, FENCING_TOKEN)?;
    let counter = item.and_then(|item| {
        let counter = decode_record::<FencingTokenCounter>(Some(&item.value), FENCING_TOKEN)?;
        Some(Versioned::new(counter.last, item.revision))
    });
    Ok(counter.unwrap_or_default())
}
