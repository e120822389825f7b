//! Confirmation of cancellations to users, with the decisions of the controller process.

use super::Controller;
use crate::virtual_cluster::store::Store;
use pulleywood_protocol::record::{LeaseHolder, shard_leader_key};
use pulleywood_protocol::{JobId, MemberId, MonotonicTime, Revision, ShardId, cbor};
use pulleywood_scheduler::Config;
use pulleywood_scheduler::launch_validity::{LAUNCH_SUSPENSION, time_until_launches_expire};
use std::collections::BTreeSet;

impl Controller {
    /// Launches no task of a job for a while, because its user is cancelling it.
    pub fn suspend_launches(&mut self, id: &JobId, now: MonotonicTime) {
        let until = now + LAUNCH_SUSPENSION;
        self.suspended_jobs.suspend(id, until, now);
        for led in self.led_shards.values_mut() {
            led.state.suspend_launches(id, until, now);
        }
    }

    /// Whether it tells a user that a job is cancelled, whose cancellation was committed at this
    /// revision. `acknowledged`: controllers that suspended launches of the job.
    pub fn confirms_cancellation(
        &mut self,
        revision: Revision,
        acknowledged: &BTreeSet<MemberId>,
        store: &Store,
        config: &Config,
        now: MonotonicTime,
    ) -> bool {
        let committed_by = self.commit_times.observe(revision, now);
        time_until_launches_expire(committed_by, now).is_none()
            || (store.is_available(now) && acknowledged.is_superset(&leaders(store, config)))
    }
}

/// The leaders of all shards, as the store names them.
fn leaders(store: &Store, config: &Config) -> BTreeSet<MemberId> {
    let keys = (0..config.shards).map(|shard| shard_leader_key(ShardId(shard)));
    keys.filter_map(|key| cbor::from_value::<LeaseHolder>(&store.peek(&key)?.value).ok())
        .map(|holder| holder.member)
        .collect()
}
