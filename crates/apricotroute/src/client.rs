//! The HTTP interface for clients and upstreams: jobs, requests and announcements.

use std::{sync, time};

use coord::{
    event::{Event, Reply, Ticket},
    message,
};
use link::{
    http::{self, Request, Responder, Response},
    pool, span, trace,
};
use state::{id, name};

use crate::{control, reply};

/// Content types that may hold JSON; common tools send some of them by default.
const JSON_TYPES: &[&str] = &[
    "application/json",
    "application/x-www-form-urlencoded",
    "application/octet-stream",
    "text/plain",
    "text/json",
];

/// Handles HTTP requests of clients and upstreams.
#[derive(Clone, Debug)]
pub struct ClientHandler {
    /// Name of the instance.
    pub instance: name::Name,
    /// Its availability zone.
    pub zone: name::Name,
    /// Handle to the control thread.
    pub control: control::Control,
    /// Threads that parse and serialize JSON.
    pub pool: sync::Arc<pool::Pool>,
    /// Recorder of spans.
    pub spans: span::Spans,
}

impl http::Handler for ClientHandler {
    fn handle(&self, request: Request, responder: Responder) {
        let handler = self.clone();
        self.pool.run(move || handler.route(&request, responder));
    }

    fn reject(&self, error: http::RequestError) -> Response {
        reply::body_error_response(error, self.instance.as_str())
    }
}

/// A request that waits for the reply of the control thread.
struct Pending {
    handler: ClientHandler,
    responder: Responder,
    name: &'static str,
    job: String,
    raw: bool,
    context: trace::Context,
    parent: Option<trace::Context>,
    start: time::SystemTime,
}

impl ClientHandler {
    fn route(&self, request: &Request, responder: Responder) {
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/healthz") => responder.send(Response::text(200, "alive\n")),
            ("GET", "/readyz") => responder.send(readiness_response(&self.control)),
            ("POST", "/v1/jobs") => self.submit(request, responder),
            ("POST", "/v1/upstreams") => self.announce(request, responder),
            (method, _) => {
                if let Some(job) = path.strip_prefix("/v1/jobs/") {
                    self.job(method, job, request, responder);
                } else if let Some(service) = path.strip_prefix("/v1/requests/") {
                    self.request(method, service, request, responder);
                } else if let Some(upstream) = path.strip_prefix("/v1/upstreams/") {
                    self.withdraw(method, upstream, responder);
                } else {
                    let is_known = matches!(path, "/v1/jobs" | "/v1/upstreams");
                    responder.send(self.no_route(is_known));
                }
            }
        }
    }

    fn no_route(&self, is_known: bool) -> Response {
        let (status, why) = if is_known {
            (405, "the path does not support this method")
        } else {
            (404, "no such path")
        };
        self.error_response(status, "find route", why)
    }

    fn error_response(&self, status: u16, step: &str, why: &str) -> Response {
        reply::error_response(status, step, why, self.instance.as_str())
    }

    fn pending(
        &self,
        name: &'static str,
        request: &Request,
        responder: Responder,
        job: &str,
        raw: bool,
    ) -> Pending {
        let parent: Option<trace::Context> =
            request.header("traceparent").and_then(|text| text.parse().ok());
        let context = parent.map_or_else(trace::Context::new, |parent| parent.child());
        Pending {
            handler: self.clone(),
            responder,
            name,
            job: job.to_owned(),
            raw,
            context,
            parent,
            start: time::SystemTime::now(),
        }
    }

    fn submit(&self, request: &Request, responder: Responder) {
        if !is_json(request) {
            return responder.send(self.error_response(
                415,
                "read job",
                "expected application/json",
            ));
        }
        let parsed = proto::json::Job::parse(&request.body).and_then(|job| Ok((job.id()?, job)));
        let (id, job) = match parsed {
            Ok(parsed) => parsed,
            Err(e) => return responder.send(self.error_response(400, e.step(), &e.to_string())),
        };
        let payload =
            |task: &proto::json::Task<'_>| request.body.slice_ref(task.payload.get().as_bytes());
        let pending = self.pending("submit", request, responder, &job.job, false);
        let spec = message::Spec {
            job: id,
            service: name::Name::new(&job.service),
            team: job.team.as_deref().map(name::Name::new),
            left_ms: job.deadline_ms.unwrap_or(0),
            idempotent: job.idempotent,
            needs: job.needs.unwrap_or_default(),
            tasks: job.tasks.iter().map(payload).collect(),
            content_type: name::Name::new("application/json"),
            raw: false,
            trace: name::Name::new(&pending.context.to_string()),
        };
        pending.request(|ticket| Event::Submit(ticket, spec));
    }

    fn job(&self, method: &str, text: &str, request: &Request, responder: Responder) {
        let id: id::JobId = match text.parse() {
            Ok(id) => id,
            Err(e) => {
                return responder.send(self.error_response(400, "read job id", &format!("{e}")));
            }
        };
        match method {
            "GET" => {
                let pending = self.pending("show", request, responder, text, false);
                pending.request(|ticket| Event::Show(ticket, id));
            }
            "DELETE" => {
                let pending = self.pending("cancel", request, responder, text, false);
                pending.request(|ticket| Event::Cancel(ticket, id));
            }
            _ => responder.send(self.no_route(true)),
        }
    }

    fn request(&self, method: &str, service: &str, request: &Request, responder: Responder) {
        if method != "POST" {
            return responder.send(self.no_route(true));
        }
        let spec = match self.read_request(service, request) {
            Ok(spec) => spec,
            Err(response) => return responder.send(*response),
        };
        let pending = self.pending("request", request, responder, &spec.job.to_string(), true);
        let spec = message::Spec { trace: name::Name::new(&pending.context.to_string()), ..spec };
        pending.request(|ticket| Event::Submit(ticket, spec));
    }

    fn read_request(
        &self,
        service: &str,
        request: &Request,
    ) -> Result<message::Spec, Box<Response>> {
        let error = |step: &str, why: &str| Box::new(self.error_response(400, step, why));
        let check =
            |result: Result<(), proto::Error>| result.map_err(|e| error(e.step(), &e.to_string()));
        check(proto::json::check_service(service))?;
        let team = request.header("Team");
        check(proto::json::check_team(team))?;
        let idempotent = match request.header("Idempotent").map(str::to_ascii_lowercase).as_deref()
        {
            None | Some("false") => false,
            Some("true") => true,
            Some(_) => return Err(error("read Idempotent", "expected true or false")),
        };
        let left_ms = if request.headers.contains_key("Deadline-Ms") {
            let text = request.header("Deadline-Ms").unwrap_or_default().trim();
            let ms = text.parse().unwrap_or(0);
            check(proto::json::check_deadline(ms))?;
            ms
        } else {
            0
        };
        let job = if request.headers.contains_key("Request-Id") {
            let text = request.header("Request-Id").unwrap_or_default();
            text.parse().map_err(|e: state::Error| error("read Request-Id", &e.to_string()))?
        } else {
            id::JobId::generate(&self.zone)
        };
        let content = request.header("Content-Type").unwrap_or("application/octet-stream");
        Ok(message::Spec {
            job,
            service: name::Name::new(service),
            team: team.map(name::Name::new),
            left_ms,
            idempotent,
            needs: state::upstream::Resources::default(),
            tasks: vec![request.body.clone()],
            content_type: name::Name::new(content),
            raw: true,
            trace: name::Name::new(""),
        })
    }

    fn announce(&self, request: &Request, responder: Responder) {
        if !is_json(request) {
            return responder.send(self.error_response(
                415,
                "read announcement",
                "expected application/json",
            ));
        }
        let announce = match proto::json::Announce::parse(&request.body) {
            Ok(announce) => announce,
            Err(e) => return responder.send(self.error_response(400, e.step(), &e.to_string())),
        };
        if announce.availability_zone != self.zone.as_str() {
            let why = format!("this instance is in zone {}", self.zone);
            return responder.send(self.error_response(422, "take announcement", &why));
        }
        let pending = self.pending("announce", request, responder, "", false);
        pending.request(|ticket| Event::Announce(ticket, announce.upstream()));
    }

    fn withdraw(&self, method: &str, upstream: &str, responder: Responder) {
        if method != "DELETE" {
            return responder.send(self.no_route(true));
        }
        if !name::Name::is_valid(upstream) {
            return responder.send(self.error_response(400, "read upstream", "not a valid name"));
        }
        let name = name::Name::new(upstream);
        let peer = self.instance.clone();
        let respond = move |_| responder.send(Response::json(200, "{}"));
        if self.control.request(|ticket| Event::Withdraw(ticket, name), Box::new(respond)).is_err()
        {
            // The responder was moved into the reply function, which has been dropped, so the
            // client receives status 500.
            drop(reply::overload_response(peer.as_str()));
        }
    }
}

impl Pending {
    fn request(self, event: impl FnOnce(Ticket) -> Event) {
        let control = self.handler.control.clone();
        let pool = sync::Arc::clone(&self.handler.pool);
        let respond: control::ReplyFn = Box::new(move |reply| {
            pool.run(move || self.finish(&reply));
        });
        if let Err(respond) = control.request(event, respond) {
            const RETRY_MS: u64 = 200;
            let kind = message::Refusal::Overload;
            let why = "the instance is overloaded";
            respond(Reply::Verdict(message::Verdict::refuse(kind, why, RETRY_MS)));
        }
    }

    fn finish(self, reply: &Reply) {
        let peer = self.handler.instance.as_str();
        let response = match reply {
            Reply::Verdict(verdict) => reply::verdict_response(verdict, &self.job, self.raw, peer),
            Reply::Cancelled => {
                let body = proto::json::Running { state: "running", job: self.job.clone() };
                Response::json(202, serde_json::to_vec(&body).unwrap_or_default())
            }
            Reply::Lease(lease_ms) => {
                let body = proto::json::Lease { lease_ms: *lease_ms };
                Response::json(200, serde_json::to_vec(&body).unwrap_or_default())
            }
            Reply::Withdrawn | Reply::Changed(_) | Reply::Unknown(_) => Response::json(200, "{}"),
        };
        self.handler.spans.record(span::Span {
            context: self.context,
            parent: self.parent,
            name: self.name,
            side: span::Side::Server,
            start: self.start,
            attributes: vec![("job", self.job), ("status", response.status.to_string())],
        });
        let context = self.context.to_string();
        self.responder.send(response.with_header("traceparent", context));
    }
}

/// Returns the response of `/readyz`: whether the instance can serve.
pub fn readiness_response(control: &control::Control) -> Response {
    if control.view().is_ready() {
        Response::text(200, "ready\n")
    } else {
        Response::text(503, "starting or draining\n")
    }
}

fn is_json(request: &Request) -> bool {
    let Some(content) = request.headers.get("content-type") else {
        return true;
    };
    let content = content.to_str().unwrap_or_default();
    let essence = content.split(';').next().unwrap_or_default().trim().to_ascii_lowercase();
    JSON_TYPES.contains(&essence.as_str()) || essence.ends_with("+json")
}
