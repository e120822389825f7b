//! Routes of the HTTP interface of users, workers and the platform's probe.

use super::{health, users, workers};
use crate::state::ControllerContext;
use pulleywood_transport::server::{ClientKind, Handler, Request, Response};
use std::sync::Arc;

const HEARTBEATS: &str = "/v1/report";
const READY: &str = "/ready";
const JOBS: &str = "/v2/runs";
const JOB_PREFIX: &str = "/v2/runs/";
const CANCEL: &str = "cancel";

/// Routes HTTP requests.
pub struct RequestRouter(pub Arc<ControllerContext>);

impl Handler for RequestRouter {
    fn client_kind(&self, request: &Request<'_>) -> ClientKind {
        match request.path {
            HEARTBEATS => ClientKind::Worker,
            READY => ClientKind::HealthCheck,
            _ => ClientKind::User,
        }
    }

    fn handle(&self, request: &Request<'_>) -> Response {
        let context = &self.0;
        match request.path {
            HEARTBEATS => post(request, || workers::heartbeat(context, request.body)),
            READY => match request.method {
                "GET" | "HEAD" => health::ready(context),
                _ => not_allowed("GET"),
            },
            JOBS => post(request, || users::submit(context, request.body)),
            path => match path.strip_prefix(JOB_PREFIX) {
                Some(job) => self.handle_job(request, job),
                None => Response::status(404),
            },
        }
    }
}

impl RequestRouter {
    fn handle_job(&self, request: &Request<'_>, job: &str) -> Response {
        let context = &self.0;
        match job.split_once('/') {
            None if request.method == "GET" => users::poll(context, job),
            None => not_allowed("GET"),
            Some((id, CANCEL)) => post(request, || users::cancel(context, id)),
            Some(_) => Response::status(404),
        }
    }
}

fn post(request: &Request<'_>, respond: impl FnOnce() -> Response) -> Response {
    if request.method == "POST" {
        respond()
    } else {
        not_allowed("POST")
    }
}

fn not_allowed(allow: &'static str) -> Response {
    Response {
        status: 405,
        allow: Some(allow),
        ..Response::default()
    }
}
