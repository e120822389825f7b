//! The coordinator's view of the fleet at the beginning of a round.

use pulleywood_protocol::cloud::Rental;
use pulleywood_protocol::peer::{MachineDigest, ShardDigest};
use pulleywood_protocol::record::MachineRecord;
use pulleywood_protocol::{MachineId, MonotonicTime, ShardId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The coordinator's view of the fleet at one point in time.
#[derive(Debug)]
pub struct FleetSnapshot<'a> {
    /// Time of the snapshot, on the coordinator's clock.
    pub now: MonotonicTime,
    /// Records of all registered machines.
    pub records: &'a BTreeMap<MachineId, MachineRecord>,
    /// Recent digests of the shards that have a leader.
    pub shards: &'a BTreeMap<ShardId, Arc<ShardDigest>>,
    /// The cloud's list of rentals; `None` if none was received recently.
    pub rentals: Option<&'a [Rental]>,
    /// Whether there is more demand than the digests show. If so, no machine is drained
    /// or given back.
    pub suspend_scale_in: bool,
}

/// Digests by machine, each with the shard that sent it.
pub(super) type MachineDigests<'a> = BTreeMap<&'a MachineId, (&'a MachineDigest, ShardId)>;

impl<'a> FleetSnapshot<'a> {
    pub(super) fn machine_digests(&self) -> MachineDigests<'a> {
        self.shards
            .values()
            .flat_map(|digest| {
                digest
                    .machines
                    .iter()
                    .map(move |machine| (&machine.machine, (machine, digest.shard)))
            })
            .collect()
    }

    /// Iterates over the digests of all machines, ordered by shard.
    pub(super) fn machines(&self) -> impl Iterator<Item = &'a MachineDigest> {
        self.shards.values().flat_map(|digest| &digest.machines)
    }
}
