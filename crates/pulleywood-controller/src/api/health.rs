//! Readiness.

use crate::state::ControllerContext;
use pulleywood_transport::server::Response;
use std::time::Duration;

/// A peer's word that it reaches the store is believed for this long.
const FRESH_DIGEST: Duration = Duration::from_secs(3);

/// `GET /ready`: 200 also while the store answers nobody, since leaving and coming back
/// costs more than the outage; 503 if it answers peers but not this controller, or before
/// the first read.
pub fn ready(context: &ControllerContext) -> Response {
    let now = context.clock.now();
    let store_answers = context.store.answers();
    let controller = context.controller.lock();
    let started = controller.cache_loaded
        && controller.cached.layout.is_some()
        && !controller.config.flavors.is_empty();
    let mut digests = controller.digests.values();
    let cut_off =
        !store_answers && digests.any(|d| d.digest.state_ok && d.is_fresh(now, FRESH_DIGEST));
    if started && !cut_off {
        Response::status(200)
    } else {
        Response::later(503, 1)
    }
}
