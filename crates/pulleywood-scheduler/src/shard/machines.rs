//! Machines of a shard: they follow the records in the store.
//!
//! Invariants: a record that is older than the known one changes nothing; a machine
//! leaves the shard only when the cloud confirmed its release or while it holds
//! nothing, so that no task of it runs unseen.

use crate::shard::ShardState;
use crate::shard::machine::Machine;
use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::record::MachineRecord;
use pulleywood_protocol::{MachineId, MonotonicTime, Revision};

/// The record must name so many of a machine's most recently used images. It may
/// lack older ones, for which its machine batch had no room; if it were rewritten
/// for them, it would be so again and again.
const RECORDED_IMAGES: usize = 8;

impl ShardState {
    /// A machine's record appeared or changed. `inherited`: an earlier leader may
    /// have launched tasks on it, which it did only if the record holds the worker's
    /// address.
    pub fn put_machine(
        &mut self,
        id: &MachineId,
        record: MachineRecord,
        revision: Revision,
        inherited: bool,
        now: MonotonicTime,
    ) {
        match self.machines.get_mut(id) {
            Some(machine) => machine.update(record, revision),
            None => {
                let unreported = inherited && !record.endpoint.is_empty();
                let machine = Machine::new(record, revision, unreported, now);
                self.machines.insert(id.clone(), machine);
            }
        }
        self.invalidate_plan();
    }

    /// A machine left the shard: the cloud confirmed its release, or it was moved
    /// while idle. Its tasks wait again.
    pub fn remove_machine(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.remove(id) {
            for slot in &machine.slots {
                self.end_attempt(&slot.task, slot.attempt);
            }
        }
        self.invalidate_plan();
    }

    /// Nothing is launched on these machines until the time given. Machines that are
    /// no longer named take launches again when their time has passed.
    pub fn drain(&mut self, ids: &[MachineId], until: MonotonicTime) {
        for id in ids {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.drain_until = until;
            }
        }
        self.invalidate_plan();
    }

    /// Whether the machine holds nothing and may leave the shard.
    pub fn may_leave(&self, id: &MachineId) -> bool {
        self.machines
            .get(id)
            .is_some_and(|m| !m.unreported && !m.leaving && m.slots.is_empty())
    }

    /// Machines whose recorded images are out of date, with the record to store: it
    /// lacks one of the most recently used, or names one that is gone.
    pub fn outdated_image_records(&self) -> Vec<(MachineId, MachineRecord)> {
        self.machines
            .iter()
            .filter(|(_, m)| m.confirmed && !m.leaving && !m.record.endpoint.is_empty())
            .filter(|(_, m)| recorded_images_outdated(m))
            .map(|(id, m)| (id.clone(), record_with_images(m)))
            .collect()
    }
}

fn recorded_images_outdated(machine: &Machine) -> bool {
    let recorded = |name: &str| machine.record.images.iter().any(|(n, _)| n == name);
    let present = |name: &str| machine.images.iter().any(|(n, _)| n == name);
    let mut newest = machine.images.iter().rev().take(RECORDED_IMAGES);
    newest.any(|(name, _)| !recorded(name))
        || machine.record.images.iter().any(|(name, _)| !present(name))
}

fn record_with_images(machine: &Machine) -> MachineRecord {
    let images = machine.images.iter();
    MachineRecord {
        images: images.map(|(n, gb)| (n.clone(), Amount(*gb))).collect(),
        ..machine.record.without_images()
    }
}
