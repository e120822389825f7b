//! Machine batches: records of several machines that are stored in one value.
//!
//! Machines start in hundreds. With one write for each, the last of them would stay idle
//! until the store has accepted all these writes. Machines that send their first heartbeats at
//! about the same time are therefore registered in one transaction. Their records stay in one
//! value, so that a later change of all of them (images, release) is one write too. Each
//! registration compares the revision of the machine batches' head, so that it is based on all
//! batches and no machine gets into two.

use crate::cbor::{self, DecodeError, Value};
use crate::ids::{MachineId, Revision};
use crate::record::{MachineRecord, machine_batch_key};
use crate::store::Transaction;
use serde::ser::SerializeStruct;
use serde::{Deserialize, Serialize, Serializer};
use std::collections::{BTreeMap, BTreeSet};

/// Records of machines that are stored in one value.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
pub struct MachineBatchRecord {
    /// Records by machine.
    pub machines: BTreeMap<MachineId, MachineRecord>,
    /// Records that this release cannot decode. They are written back unchanged.
    #[serde(skip)]
    pub unreadable: BTreeMap<MachineId, Value>,
}

impl Serialize for MachineBatchRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut record = serializer.serialize_struct("RackRecord", 1)?;
        if self.unreadable.is_empty() {
            record.serialize_field("machines", &self.machines)?;
        } else {
            let readable = self.machines.iter();
            let mut all: BTreeMap<&MachineId, Value> =
                readable.map(|(id, m)| (id, cbor::to_value(m))).collect();
            all.extend(self.unreadable.iter().map(|(id, v)| (id, v.clone())));
            record.serialize_field("machines", &all)?;
        }
        record.end()
    }
}

impl MachineBatchRecord {
    /// Decodes a stored machine batch. Records that cannot be decoded are kept in `unreadable`.
    ///
    /// # Errors
    ///
    /// The value is not a machine batch.
    pub fn from_value(value: &Value) -> Result<MachineBatchRecord, DecodeError> {
        #[derive(Deserialize)]
        struct RawBatch {
            machines: BTreeMap<MachineId, Value>,
        }
        if let Ok(machine_batch) = cbor::from_value(value) {
            return Ok(machine_batch);
        }
        let raw: RawBatch = cbor::from_value(value)?;
        let mut machine_batch = MachineBatchRecord::default();
        for (id, value) in raw.machines {
            match cbor::from_value(&value) {
                Ok(machine) => drop(machine_batch.machines.insert(id, machine)),
                Err(_) => drop(machine_batch.unreadable.insert(id, value)),
            }
        }
        Ok(machine_batch)
    }

    /// Whether the batch has no records, unreadable ones included.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty() && self.unreadable.is_empty()
    }

    /// Size of the batch in bytes, as the store counts it.
    pub fn size_bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |json| json.len())
    }

    /// Removes images, the least recently used first, from the machines with the most images,
    /// until the batch takes at most `max_bytes` or has no images left.
    pub fn trim_images(&mut self, max_bytes: usize) {
        while self.size_bytes() > max_bytes {
            let machine = self.machines.values_mut().max_by_key(|m| m.images.len());
            match machine {
                Some(machine) if !machine.images.is_empty() => drop(machine.images.remove(0)),
                _ => return,
            }
        }
    }
}

/// Number of a machine batch and its record after a transaction; `None` if the batch is deleted.
pub type MachineBatchUpdate = (u64, Option<MachineBatchRecord>);

/// Machines of a batch after a change.
#[derive(Debug, Default, PartialEq)]
pub struct BatchChange {
    /// Machines in the batch, with their records.
    pub present: Vec<(MachineId, MachineRecord)>,
    /// Machines that were in the batch before the change and no longer are.
    pub removed: Vec<MachineId>,
}

/// Cached copy of all stored machine batches.
#[derive(Debug, Clone, Default)]
pub struct MachineBatches {
    machine_batches: BTreeMap<u64, (MachineBatchRecord, Revision)>,
    batch_of_machine: BTreeMap<MachineId, u64>,
}

impl MachineBatches {
    /// Applies a write of a machine batch, or its deletion if `record` is `None`. Returns `None`
    /// without any effect unless the change is newer than the known revision.
    pub fn put(
        &mut self,
        number: u64,
        record: Option<MachineBatchRecord>,
        revision: Revision,
    ) -> Option<BatchChange> {
        let before = match self.machine_batches.get(&number) {
            Some((_, known)) if *known >= revision => return None,
            Some((machine_batch, _)) => machine_batch.machines.keys().cloned().collect(),
            None => BTreeSet::new(),
        };
        let record = record.unwrap_or_default();
        let removed: Vec<MachineId> = before
            .into_iter()
            .filter(|id| !record.machines.contains_key(id))
            .collect();
        for id in &removed {
            self.batch_of_machine.remove(id);
        }
        for id in record.machines.keys() {
            self.batch_of_machine.insert(id.clone(), number);
        }
        let present = record.machines.iter();
        let present = present.map(|(id, r)| (id.clone(), r.clone())).collect();
        // A deletion is remembered too, until older changes can no longer arrive.
        self.machine_batches.insert(number, (record, revision));
        Some(BatchChange { present, removed })
    }

    /// Forgets machine batches that were deleted at revision `up_to` or before. To be called
    /// when all changes up to this revision have been applied.
    pub fn forget_deleted(&mut self, up_to: u64) {
        self.machine_batches
            .retain(|_, (machine_batch, revision)| !machine_batch.is_empty() || revision.0 > up_to);
    }

    /// Number of the machine batch that contains a machine; `None` if no batch does.
    pub fn find(&self, id: &MachineId) -> Option<u64> {
        self.batch_of_machine.get(id).copied()
    }

    /// The machine batch with this number and its revision. A deleted batch is empty.
    pub fn get(&self, number: u64) -> Option<&(MachineBatchRecord, Revision)> {
        self.machine_batches.get(&number)
    }

    /// The fullest machine batch to which `added` machines can be added without exceeding
    /// `max_machines`. Batches with a machine for which `accepts` is false, and empty batches, are
    /// left out.
    pub fn find_with_room(
        &self,
        added: usize,
        max_machines: usize,
        accepts: impl Fn(&MachineRecord) -> bool,
    ) -> Option<(u64, &MachineBatchRecord, Revision)> {
        let machine_batches = self
            .machine_batches
            .iter()
            .map(|(number, (machine_batch, revision))| (*number, machine_batch, *revision));
        machine_batches
            .filter(|(_, machine_batch, _)| !machine_batch.machines.is_empty())
            .filter(|(_, machine_batch, _)| machine_batch.machines.len() + added <= max_machines)
            .filter(|(_, machine_batch, _)| machine_batch.machines.values().all(&accepts))
            .max_by_key(|(_, machine_batch, _)| machine_batch.machines.len())
    }

    /// Adds to a transaction that records of machines are replaced, or deleted where the edit is
    /// `None`. Images are removed so that each batch takes at most `max_bytes`.
    ///
    /// Returns the transaction and the changed batches, which are to be passed to
    /// [`MachineBatches::put`] once it is applied.
    pub fn update_records(
        &self,
        mut transaction: Transaction,
        edits: &BTreeMap<MachineId, Option<MachineRecord>>,
        max_bytes: usize,
    ) -> (Transaction, Vec<MachineBatchUpdate>) {
        let numbers: BTreeSet<u64> = edits.keys().filter_map(|id| self.find(id)).collect();
        let mut updates = Vec::new();
        for number in numbers {
            let Some((machine_batch, revision)) = self.machine_batches.get(&number) else {
                continue;
            };
            let mut next = machine_batch.clone();
            next.machines
                .retain(|id, _| !matches!(edits.get(id), Some(None)));
            for (id, record) in &mut next.machines {
                if let Some(Some(new)) = edits.get(id) {
                    record.clone_from(new);
                }
            }
            next.trim_images(max_bytes);
            if next == *machine_batch {
                continue;
            }
            let key = machine_batch_key(number);
            transaction = transaction.when(key.clone(), *revision);
            if next.is_empty() {
                transaction = transaction.delete(key);
                updates.push((number, None));
            } else {
                transaction = transaction.write(key, &next);
                updates.push((number, Some(next)));
            }
        }
        (transaction, updates)
    }
}
