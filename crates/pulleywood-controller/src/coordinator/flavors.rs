//! Reads the machine types that the cloud offers, and their prices.

use crate::state::ControllerContext;
use pulleywood_protocol::MonotonicTime;
use pulleywood_protocol::cloud::Flavor;
use pulleywood_scheduler::Config;
use std::sync::Arc;
use std::time::Duration;

/// Time between two reads of the machine types.
const REFRESH_INTERVAL: Duration = Duration::from_secs(120);
/// Delay after a failed first read of the machine types.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Reads the machine types for the first time, and repeats the read until it succeeds: no
/// scheduling decision is possible without them.
pub fn wait_for_flavors(context: &ControllerContext) {
    loop {
        match context.cloud.flavors() {
            Ok(flavors) if !flavors.is_empty() => {
                log::info!("read {} machine types", flavors.len());
                set_flavors(context, flavors);
                context.work_available.notify_all();
                return;
            }
            Ok(_) => log::error!(
                "read an empty list of machine types from the cloud; reading it again in \
                 {RETRY_DELAY:?}: this controller acquires no shard until a read returns types"
            ),
            Err(e) => log::debug!("failed to read the machine types from the cloud: {e}"),
        }
        std::thread::sleep(RETRY_DELAY);
    }
}

/// Reads the machine types again if the last read, at `last_read`, is longer ago than
/// [`REFRESH_INTERVAL`]. After a failed read the previous ones stay in use.
pub fn refresh_flavors(context: &ControllerContext, last_read: &mut MonotonicTime) {
    let now = context.clock.now();
    if now.since(*last_read) <= REFRESH_INTERVAL {
        return;
    }
    *last_read = now;
    if let Ok(flavors) = context.cloud.flavors() {
        set_flavors(context, flavors);
    }
}

fn set_flavors(context: &ControllerContext, flavors: Vec<Flavor>) {
    let mut controller = context.controller.lock();
    let mut config: Config = (*controller.config).clone();
    config.flavors = flavors.into_iter().map(|f| (f.label.clone(), f)).collect();
    controller.config = Arc::new(config);
}
