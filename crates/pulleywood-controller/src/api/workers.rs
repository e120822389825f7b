//! Handler of workers' heartbeats. A heartbeat is routed to the leader of its machine's shard,
//! applied to the shard's state, and answered with commands.

use crate::shard::registration::register;
use crate::state::queues::RegistrationOutcome;
use crate::state::{ControllerContext, ControllerState, LedShard};
use pulleywood_protocol::worker::{Heartbeat, HeartbeatResponse, Redirect};
use pulleywood_protocol::{MemberId, MonotonicTime, ShardId, cbor};
use pulleywood_scheduler::shard::HeartbeatOutcome;
use pulleywood_transport::server::Response;
use std::sync::Arc;
use std::time::Duration;

/// Workers are redirected only while the cached state is younger than this.
const MAX_REDIRECT_CACHE_AGE: Duration = Duration::from_secs(4);
/// Workers are redirected only to controllers whose last digest is younger than this.
const MAX_PEER_DIGEST_AGE: Duration = Duration::from_millis(2500);

/// Destination of a heartbeat.
enum Route {
    /// A shard that this controller leads.
    Local(ShardId),
    /// Another controller.
    Redirect(MemberId),
    /// A shard that this controller leads, once the machine is registered with it.
    Register(ShardId),
    /// No known leader can handle the heartbeat now.
    Unavailable,
}

/// `POST /v1/report`
pub fn heartbeat(context: &ControllerContext, body: &[u8]) -> Response {
    let heartbeat: Heartbeat = match cbor::decode(body) {
        Ok(heartbeat) => heartbeat,
        Err(e) => {
            log::debug!("refused a heartbeat that cannot be decoded: {e}");
            return Response::status(400);
        }
    };
    // The second iteration routes the heartbeat again after the machine was registered.
    for _ in 0..2 {
        let route = {
            let controller = context.controller.lock();
            HeartbeatRouter::new(context, &controller).route(&heartbeat)
        };
        match route {
            Route::Local(shard) => return apply(context, shard, &heartbeat),
            Route::Redirect(member) => {
                let leader = Some(member);
                return Response::cbor(421, &Redirect { leader });
            }
            Route::Unavailable => return Response::retry_later(503, 1),
            Route::Register(shard) => match register(context, &heartbeat, shard) {
                RegistrationOutcome::Registered => {}
                RegistrationOutcome::NotRegistered => return Response::retry_later(503, 1),
            },
        }
    }
    Response::retry_later(503, 1)
}

/// Routes heartbeats by the current controller state.
struct HeartbeatRouter<'a> {
    context: &'a ControllerContext,
    controller: &'a ControllerState,
    now: MonotonicTime,
}

impl<'a> HeartbeatRouter<'a> {
    fn new(context: &'a ControllerContext, controller: &'a ControllerState) -> Self {
        Self {
            context,
            controller,
            now: context.clock.now(),
        }
    }

    fn route(&self, heartbeat: &Heartbeat) -> Route {
        if !self.controller.cache_loaded {
            return Route::Unavailable;
        }
        let cached = &self.controller.cached;
        match cached.machines.get(&heartbeat.machine) {
            Some((record, _)) => self.route_registered(record.shard),
            None if cached.unreadable_machines.contains(&heartbeat.machine) => Route::Unavailable,
            None => self.route_unregistered(heartbeat),
        }
    }

    fn route_registered(&self, shard: ShardId) -> Route {
        if self.led(shard).is_some() && self.controller.may_answer(self.now) {
            return Route::Local(shard);
        }
        match self.controller.cached.shard_leaders.get(&shard) {
            Some(holder) if holder.value.member != self.context.controller_id => {
                self.redirect(&holder.value.member)
            }
            _ => Route::Unavailable,
        }
    }

    /// Routes an unregistered machine to the shard selected by its zone and id, so that many
    /// new machines do not all wait for one controller's write tokens, or else to any leader
    /// that can be reached. Any shard is safe: no leader launches tasks on a machine before its
    /// record is written.
    fn route_unregistered(&self, heartbeat: &Heartbeat) -> Route {
        let controller = self.controller;
        let shard = controller
            .config
            .registering_shard(&heartbeat.machine, &heartbeat.zone);
        if let Some(holder) = controller.cached.shard_leaders.get(&shard)
            && holder.value.member != self.context.controller_id
            && let Route::Redirect(member) = self.redirect(&holder.value.member)
        {
            return Route::Redirect(member);
        }
        if let Some(shard) = self.registration_shard(shard) {
            return Route::Register(shard);
        }
        let mut holders = controller.cached.shard_leaders.values();
        match holders.find(|h| h.value.member != self.context.controller_id) {
            Some(holder) => self.redirect(&holder.value.member),
            None => Route::Unavailable,
        }
    }

    /// Selects the preferred shard if this controller leads it, or else the led shard with the
    /// fewest machines.
    fn registration_shard(&self, preferred: ShardId) -> Option<ShardId> {
        let writable = |shard| {
            self.led(shard)
                .filter(|_| self.controller.may_act(self.now))
        };
        if writable(preferred).is_some() {
            return Some(preferred);
        }
        let shards = self.controller.led_shards.keys();
        shards
            .filter_map(|shard| Some((*shard, writable(*shard)?)))
            .min_by_key(|(_, led)| led.state.machines.len())
            .map(|(shard, _)| shard)
    }

    fn led(&self, shard: ShardId) -> Option<&'a LedShard> {
        let led = self.controller.led_shards.get(&shard);
        led.filter(|led| led.is_active())
    }

    /// Redirects to a controller if it is known to be alive. A controller that is cut off from
    /// the store knows outdated leaders only, and a leader whose digests have stopped may be
    /// dead: a worker that is redirected to it loses four seconds of its lease to a time-out.
    /// A worker without a redirect tries the next controller one second later.
    fn redirect(&self, member: &MemberId) -> Route {
        let is_alive = self
            .controller
            .has_recent_digest(member, self.now, MAX_PEER_DIGEST_AGE);
        if is_alive && self.now.since(self.controller.cache_current_as_of) < MAX_REDIRECT_CACHE_AGE
        {
            Route::Redirect(member.clone())
        } else {
            Route::Unavailable
        }
    }
}

/// Applies a heartbeat to the state of its shard, and responds with commands.
fn apply(context: &ControllerContext, shard: ShardId, heartbeat: &Heartbeat) -> Response {
    let mut controller = context.controller.lock();
    let now = context.clock.now();
    let config = Arc::clone(&controller.config);
    let may_launch = controller.may_launch(now);
    let store_revision = controller.cached.store_revision;
    let cache_age = now.since(controller.cache_current_as_of);
    // A hand-over may have begun since the heartbeat was routed.
    let led = controller.led_shards.get_mut(&shard);
    let Some(led) = led.filter(|led| led.is_active()) else {
        return Response::retry_later(503, 1);
    };
    match led.state.handle_heartbeat(heartbeat, false, now, &config) {
        HeartbeatOutcome::Accepted => {}
        // The worker obeys a newer leader and has to find it.
        HeartbeatOutcome::Superseded => {
            if context.recovery.is_some() {
                controller.note_higher_fencing_token(
                    &heartbeat.machine,
                    heartbeat.fencing_token,
                    now,
                );
            }
            return Response::retry_later(503, 1);
        }
        // The worker no longer waits for the response to this heartbeat.
        HeartbeatOutcome::Stale | HeartbeatOutcome::Unknown => {
            return Response::retry_later(503, 1);
        }
    }
    let commands = led
        .state
        .response_commands(&heartbeat.machine, may_launch, now, &config);
    let Some(machine) = led.state.machines.get(&heartbeat.machine) else {
        return Response::retry_later(503, 1);
    };
    let fencing_token = machine.fencing_token(led.state.fencing_token);
    drop(controller);
    if !commands.is_empty() {
        log::debug!(
            "sending commands to machine {}, decided on the state of revision {store_revision}, \
             current {} ms ago: {commands:?}",
            heartbeat.machine,
            cache_age.as_millis()
        );
    }
    let response = HeartbeatResponse {
        fencing_token,
        commands,
    };
    Response::cbor(200, &response)
}
