//! Routes of the HTTP interface for users, workers and the platform's readiness probe.

use super::{health, users, workers};
use crate::state::ControllerContext;
use pulleywood_transport::server::{ClientKind, Handler, Request, Response};
use std::sync::Arc;

const HEARTBEAT: &str = "/v1/report";
const READY: &str = "/ready";
const SUBMIT: &str = "/v2/runs";
const JOB_PREFIX: &str = "/v2/runs/";
const CANCEL: &str = "cancel";

/// Dispatches HTTP requests to their handlers.
pub struct RequestRouter(pub Arc<ControllerContext>);

impl Handler for RequestRouter {
    fn client_kind(&self, request: &Request<'_>) -> ClientKind {
        match request.path {
            HEARTBEAT => ClientKind::Worker,
            READY => ClientKind::HealthCheck,
            _ => ClientKind::User,
        }
    }

    fn handle(&self, request: &Request<'_>) -> Response {
        let context = &self.0;
        match request.path {
            HEARTBEAT => require_post(request, || workers::heartbeat(context, request.body)),
            READY => match request.method {
                "GET" | "HEAD" => health::ready(context),
                _ => method_not_allowed("GET"),
            },
            SUBMIT => require_post(request, || users::submit(context, request.body)),
            path => match path.strip_prefix(JOB_PREFIX) {
                Some(job_path) => self.handle_job(request, job_path),
                None => Response::status(404),
            },
        }
    }
}

impl RequestRouter {
    fn handle_job(&self, request: &Request<'_>, job_path: &str) -> Response {
        let context = &self.0;
        match job_path.split_once('/') {
            None if request.method == "GET" => users::poll(context, job_path),
            None => method_not_allowed("GET"),
            Some((id, CANCEL)) => require_post(request, || users::cancel(context, id)),
            Some(_) => Response::status(404),
        }
    }
}

fn require_post(request: &Request<'_>, respond: impl FnOnce() -> Response) -> Response {
    if request.method == "POST" {
        respond()
    } else {
        method_not_allowed("POST")
    }
}

fn method_not_allowed(allow: &'static str) -> Response {
    Response {
        status: 405,
        allow: Some(allow),
        ..Response::default()
    }
}
