//! Zones that the transfers in a job's record bind tasks to.
//!
//! Invariant: a task is bound to at most one zone. The memory that the bindings take
//! follows the number of zones and the shape of the task sets, not the number of tasks.

use pulleywood_protocol::ShardId;
use pulleywood_protocol::record::{JobRecord, TaskSet};
use std::collections::BTreeMap;

/// Zones that tasks of a job are bound to, as one shard sees them.
#[derive(Debug, Default)]
pub struct ZoneBindings {
    /// Tasks that were transferred to this shard, by the zone that they are bound to.
    bound_here: BTreeMap<String, TaskSet>,
    /// Number of bound tasks that were transferred to other shards, by zone.
    transferred: BTreeMap<String, u32>,
}

impl ZoneBindings {
    /// The bindings in a job's record, as `shard` sees them.
    pub(super) fn of(record: &JobRecord, shard: ShardId) -> ZoneBindings {
        let mut bindings = ZoneBindings::default();
        for transfer in &record.transferred {
            let Some(zone) = &transfer.zone else { continue };
            let tasks = record.transferred_tasks(transfer);
            if transfer.shard == shard {
                let bound = bindings.bound_here.entry(zone.clone()).or_default();
                bound.insert_all(&tasks);
            } else {
                *bindings.transferred.entry(zone.clone()).or_insert(0) += tasks.len();
            }
        }
        bindings
    }

    /// Whether no task of this shard is bound to a zone.
    pub fn is_empty(&self) -> bool {
        self.bound_here.is_empty()
    }

    /// The zone that a task of this shard is bound to, if any.
    pub fn zone_of(&self, index: u32) -> Option<&str> {
        let mut bound = self.bound_here.iter();
        bound
            .find(|(_, tasks)| tasks.contains(index))
            .map(|(zone, _)| zone.as_str())
    }

    /// Removes from a set all tasks that are bound like this one: to the same zone, or to
    /// none.
    pub(crate) fn remove_bound_like(&self, index: u32, tasks: &mut TaskSet) {
        let mut bound = self.bound_here.values();
        match bound.find(|bound| bound.contains(index)) {
            Some(same_zone) => tasks.remove_all(same_zone),
            None => {
                let mut all_bound = TaskSet::new();
                self.bound_here
                    .values()
                    .for_each(|bound| all_bound.insert_all(bound));
                tasks.retain_all(&all_bound);
            }
        }
    }

    /// Tasks of this shard by the zone that they are bound to.
    pub(crate) fn bound_here(&self) -> impl Iterator<Item = (&str, &TaskSet)> {
        let bound = self.bound_here.iter();
        bound.map(|(zone, tasks)| (zone.as_str(), tasks))
    }

    /// Number of bound tasks that were transferred to other shards, by zone.
    pub(crate) fn transferred(&self) -> &BTreeMap<String, u32> {
        &self.transferred
    }
}
