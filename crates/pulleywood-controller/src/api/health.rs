//! The readiness probe of the platform.

use crate::state::ControllerContext;
use pulleywood_transport::server::Response;
use std::time::Duration;

/// A peer's digest counts as evidence that the peer reaches the store up to this age.
const MAX_DIGEST_AGE: Duration = Duration::from_secs(3);

/// `GET /ready`: 503 before the first read of the store and of the machine types, and while
/// the store answers peers but not this controller. 200 also while the store answers no
/// controller, since removing all controllers from service and adding them again costs more
/// than the outage.
pub fn ready(context: &ControllerContext) -> Response {
    let now = context.clock.now();
    let store_answers = context.store.is_available();
    let controller = context.controller.lock();
    let started = controller.cache_loaded
        && controller.cached.layout.is_some()
        && !controller.config.flavors.is_empty();
    let mut digests = controller.digests.values();
    let is_partitioned = !store_answers
        && digests.any(|d| d.digest.store_reachable && d.is_fresh(now, MAX_DIGEST_AGE));
    if started && !is_partitioned {
        Response::status(200)
    } else {
        Response::retry_later(503, 1)
    }
}
