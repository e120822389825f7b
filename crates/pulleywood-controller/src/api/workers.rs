//! Workers' heartbeats: each is decoded, routed to the leader of its machine's shard,
//! applied and answered with commands.

use crate::shard::registration::register;
use crate::state::queues::RegistrationOutcome;
use crate::state::{ControllerContext, ControllerState, LedShard};
use pulleywood_protocol::worker::{Heartbeat, HeartbeatResponse, Redirect};
use pulleywood_protocol::{MemberId, MonotonicTime, ShardId, cbor};
use pulleywood_scheduler::shard::HeartbeatOutcome;
use pulleywood_transport::server::Response;
use std::sync::Arc;
use std::time::Duration;

/// A cached state older than this redirects no worker.
const MAX_REDIRECT_CACHE_AGE: Duration = Duration::from_secs(4);
/// Workers are not redirected to a controller not heard of for longer.
const FRESH_PEER: Duration = Duration::from_millis(2500);

/// Where a heartbeat belongs.
enum Route {
    /// To a shard led here.
    Here(ShardId),
    /// To another controller.
    Redirect(MemberId),
    /// To a shard led here, once its machine is registered.
    Register(ShardId),
    /// Nobody can take it now.
    Nobody,
}

/// `POST /v1/report`
pub fn heartbeat(context: &ControllerContext, body: &[u8]) -> Response {
    let heartbeat: Heartbeat = match cbor::decode(body) {
        Ok(heartbeat) => heartbeat,
        Err(e) => {
            log::debug!("refused a malformed heartbeat: {e}");
            return Response::status(400);
        }
    };
    // It is routed again after its machine was registered.
    for _ in 0..2 {
        let route = {
            let controller = context.controller.lock();
            Router::new(context, &controller).route(&heartbeat)
        };
        match route {
            Route::Here(shard) => return apply(context, shard, &heartbeat),
            Route::Redirect(member) => {
                let leader = Some(member);
                return Response::cbor(421, &Redirect { leader });
            }
            Route::Nobody => return Response::retry_later(503, 1),
            Route::Register(shard) => match register(context, &heartbeat, shard) {
                RegistrationOutcome::Registered => {}
                RegistrationOutcome::NotRegistered => return Response::retry_later(503, 1),
            },
        }
    }
    Response::retry_later(503, 1)
}

/// Decides where heartbeats belong, by what this controller knows now.
struct Router<'a> {
    context: &'a ControllerContext,
    controller: &'a ControllerState,
    now: MonotonicTime,
}

impl<'a> Router<'a> {
    fn new(context: &'a ControllerContext, controller: &'a ControllerState) -> Self {
        Self {
            context,
            controller,
            now: context.clock.now(),
        }
    }

    fn route(&self, heartbeat: &Heartbeat) -> Route {
        if !self.controller.cache_loaded {
            return Route::Nobody;
        }
        let cached = &self.controller.cached;
        match cached.machines.get(&heartbeat.machine) {
            Some((record, _)) => self.route_registered(record.shard),
            None if cached.unreadable_machines.contains(&heartbeat.machine) => Route::Nobody,
            None => self.route_unregistered(heartbeat),
        }
    }

    fn route_registered(&self, shard: ShardId) -> Route {
        if self.led(shard).is_some() && self.controller.may_answer(self.now) {
            return Route::Here(shard);
        }
        match self.controller.cached.shard_leaders.get(&shard) {
            Some(holder) if holder.value.member != self.context.controller_id => {
                self.redirect(&holder.value.member)
            }
            _ => Route::Nobody,
        }
    }

    /// An unregistered machine goes to the shard that its name falls on, so that many at
    /// once do not all wait for one controller's tokens; or to whichever leader it
    /// reaches. No leader launches before its record is written, so it holds no task.
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
        if let Some(shard) = self.shard_to_join(shard) {
            return Route::Register(shard);
        }
        let mut holders = controller.cached.shard_leaders.values();
        match holders.find(|h| h.value.member != self.context.controller_id) {
            Some(holder) => self.redirect(&holder.value.member),
            None => Route::Nobody,
        }
    }

    /// The preferred shard if it is led here, else the one with the fewest machines.
    fn shard_to_join(&self, preferred: ShardId) -> Option<ShardId> {
        let led = |shard| {
            self.led(shard)
                .filter(|_| self.controller.may_act(self.now))
        };
        if led(preferred).is_some() {
            return Some(preferred);
        }
        let shards = self.controller.led_shards.keys();
        shards
            .filter_map(|shard| Some((*shard, led(*shard)?)))
            .min_by_key(|(_, led)| led.state.machines.len())
            .map(|(shard, _)| shard)
    }

    fn led(&self, shard: ShardId) -> Option<&'a LedShard> {
        let led = self.controller.led_shards.get(&shard);
        led.filter(|led| led.loaded && !led.handing_over)
    }

    /// A controller that is cut off knows old leaders only, and a leader that its peers
    /// have not heard of lately may be gone: a worker redirected there would wait out
    /// four seconds of its lease for nothing. Without a redirect it tries the next
    /// controller a second later.
    fn redirect(&self, member: &MemberId) -> Route {
        let heard = self
            .controller
            .has_recent_digest(member, self.now, FRESH_PEER);
        if heard && self.now.since(self.controller.cache_current_as_of) < MAX_REDIRECT_CACHE_AGE {
            Route::Redirect(member.clone())
        } else {
            Route::Nobody
        }
    }
}

/// Applies a heartbeat to the state of its shard, and responds with commands.
fn apply(context: &ControllerContext, shard: ShardId, heartbeat: &Heartbeat) -> Response {
    let now = context.clock.now();
    let mut controller = context.controller.lock();
    let config = Arc::clone(&controller.config);
    let launch = controller.may_launch(now);
    let Some(led) = controller.led_shards.get_mut(&shard) else {
        return Response::retry_later(503, 1);
    };
    match led.state.handle_heartbeat(heartbeat, false, now, &config) {
        HeartbeatOutcome::Accepted => {}
        // Its worker obeys another leader and is to look for it.
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
        // Its worker has given this heartbeat up and drops the response.
        HeartbeatOutcome::Stale | HeartbeatOutcome::Unknown => {
            return Response::retry_later(503, 1);
        }
    }
    let commands = led
        .state
        .response_commands(&heartbeat.machine, launch, now, &config);
    let Some(machine) = led.state.machines.get(&heartbeat.machine) else {
        return Response::retry_later(503, 1);
    };
    let fencing_token = machine.fencing_token(led.state.fencing_token);
    drop(controller);
    if !commands.is_empty() {
        log::debug!("commanded {}: {commands:?}", heartbeat.machine);
    }
    let response = HeartbeatResponse {
        fencing_token,
        commands,
    };
    Response::cbor(200, &response)
}
