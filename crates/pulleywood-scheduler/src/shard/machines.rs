//! Updates of a shard's machines from their records in the state service.
//!
//! Invariants: a record that is older than the known one changes nothing; a machine
//! leaves the shard only after the cloud confirmed its release or while no attempt is
//! on it, so that none of its tasks runs without a leader's knowledge.

use crate::shard::ShardState;
use crate::shard::machine::Machine;
use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::record::MachineRecord;
use pulleywood_protocol::{MachineId, MonotonicTime, Revision};

/// Number of most recently used images that a machine's record must list. Older ones
/// may be missing because its machine batch had no room for them; rewriting the record
/// for those would repeat without end.
const MIN_RECORDED_IMAGES: usize = 8;

impl ShardState {
    /// Applies a machine's new or changed record. `inherited`: a previous leader may
    /// have launched tasks on the machine, which it did only if the record holds the
    /// worker's address.
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

    /// Removes a machine whose release the cloud confirmed or that was moved to another
    /// shard while idle. Its tasks wait again.
    pub fn remove_machine(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.remove(id) {
            for slot in &machine.slots {
                self.end_attempt(&slot.task, slot.attempt);
            }
        }
        self.invalidate_plan();
    }

    /// Launches no task on these machines until the given time. A machine that later
    /// calls do not name takes launches again after that time.
    pub fn drain(&mut self, ids: &[MachineId], until: MonotonicTime) {
        for id in ids {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.drain_until = until;
            }
        }
        self.invalidate_plan();
    }

    /// Whether no attempt is on the machine, so that it may leave the shard.
    pub fn may_leave(&self, id: &MachineId) -> bool {
        self.machines
            .get(id)
            .is_some_and(|m| !m.unreported && !m.leaving && m.slots.is_empty())
    }

    /// Machines whose recorded images are out of date, with the records to store. A
    /// record is out of date if it lacks one of the most recently used images or lists
    /// one that was evicted.
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
    let mut recent = machine.images.iter().rev().take(MIN_RECORDED_IMAGES);
    recent.any(|(name, _)| !recorded(name))
        || machine.record.images.iter().any(|(name, _)| !present(name))
}

fn record_with_images(machine: &Machine) -> MachineRecord {
    let images = machine.images.iter();
    MachineRecord {
        images: images.map(|(n, gb)| (n.clone(), Amount(*gb))).collect(),
        ..machine.record.without_images()
    }
}
