//! The HTTP interface for operators: settings, status, health and metrics.

use std::sync;

use coord::event::{Event, Reply};
use link::{
    http::{self, Request, Responder, Response},
    metric, pool,
};
use serde_json::{Map, Value, json};
use state::{name, tree};

use crate::{client, control, reply};

/// Handles the HTTP requests of operators.
#[derive(Clone, Debug)]
pub struct OperatorHandler {
    /// Name of the instance.
    pub instance: name::Name,
    /// Handle to the control thread.
    pub control: control::Control,
    /// Thread pool that parses requests and writes responses.
    pub pool: sync::Arc<pool::Pool>,
}

impl http::Handler for OperatorHandler {
    fn handle(&self, request: Request, responder: Responder) {
        let handler = self.clone();
        self.pool.run(move || handler.route(&request, responder));
    }

    fn reject(&self, error: http::RequestError) -> Response {
        reply::body_error_response(error, self.instance.as_str())
    }
}

impl OperatorHandler {
    fn route(&self, request: &Request, responder: Responder) {
        let path = request.path.as_str();
        let settings = path.strip_prefix("/v1/settings");
        match (request.method.as_str(), path) {
            ("GET", "/healthz") => responder.send(Response::text(200, "alive\n")),
            ("GET", "/readyz") => responder.send(client::readiness_response(&self.control)),
            ("GET", "/metrics") => responder.send(metrics_response()),
            ("GET", "/v1/status") => responder.send(self.status()),
            ("GET", "/v1/changes") => responder.send(self.list_changes()),
            ("GET", _) if settings.is_some() => {
                responder.send(self.get_settings(settings.unwrap_or_default()));
            }
            ("PUT", _) if settings.is_some() => {
                self.put_settings(settings.unwrap_or_default(), request, responder);
            }
            _ if settings.is_some() => {
                responder.send(self.error_response(
                    405,
                    "find route",
                    "the path does not support this method",
                ));
            }
            _ => responder.send(self.error_response(404, "find route", "no such path")),
        }
    }

    fn error_response(&self, status: u16, step: &str, why: &str) -> Response {
        reply::error_response(status, step, why, self.instance.as_str())
    }

    fn status(&self) -> Response {
        match self.control.inspect(coord::Core::status) {
            Some(status) => Response::json(200, serde_json::to_vec(&status).unwrap_or_default()),
            None => reply::overload_response(self.instance.as_str()),
        }
    }

    fn get_settings(&self, path: &str) -> Response {
        let path = path.trim_matches('/');
        if let Some(why) = tree::path_error(path) {
            return self.error_response(400, "read path", why);
        }
        let tree = self.control.view().tree();
        let Some(effective) = tree.effective(path) else {
            return self.error_response(404, "read settings", &format!("{path} was never set"));
        };
        let mut values = Map::new();
        let mut from = Map::new();
        for (key, setting) in effective {
            values.insert(key.to_owned(), setting.value);
            let origin = if setting.origin.is_empty() { "/".to_owned() } else { setting.origin };
            from.insert(key.to_owned(), origin.into());
        }
        let version = tree.version();
        let body = json!({"path": path, "version": version, "values": values, "from": from});
        Response::json(200, body.to_string())
    }

    fn list_changes(&self) -> Response {
        let tree = self.control.view().tree();
        let entry = |record: &tree::Record| {
            let (outcome, version) = match record.outcome {
                tree::Outcome::Accepted(version) => ("accepted", version),
                tree::Outcome::Conflict(version) => ("conflict", version),
            };
            let values: Value = serde_json::from_str(&record.change.values).unwrap_or_default();
            json!({
                "change": record.change.change.to_string(),
                "path": record.change.path.as_str(),
                "base": record.change.base,
                "values": values,
                "outcome": outcome,
                "version": version,
            })
        };
        let list: Vec<_> = tree.records().map(entry).collect();
        Response::json(200, json!({"version": tree.version(), "changes": list}).to_string())
    }

    fn put_settings(&self, path: &str, request: &Request, responder: Responder) {
        let change = match self.read_change(path, request) {
            Ok(change) => change,
            Err(response) => return responder.send(*response),
        };
        let peer = self.instance.clone();
        let respond: control::ReplyFn = Box::new(move |reply| {
            responder.send(change_response(&reply, peer.as_str()));
        });
        if let Err(respond) = self.control.request(|ticket| Event::Change(ticket, change), respond)
        {
            respond(Reply::Unknown("the instance is overloaded".to_owned()));
        }
    }

    fn read_change(&self, path: &str, request: &Request) -> Result<tree::Change, Box<Response>> {
        const MAX_BYTES: usize = 64 << 10;
        let error =
            |status, step: &str, why: &str| Box::new(self.error_response(status, step, why));
        let path = path.trim_matches('/');
        if let Some(why) = tree::path_error(path) {
            return Err(error(400, "read path", why));
        }
        if request.body.len() > MAX_BYTES {
            return Err(error(413, "read change", "the change is too large"));
        }
        let body = proto::json::Change::parse(&request.body)
            .map_err(|e| error(400, e.step(), &e.to_string()))?;
        let change = match body.change.as_deref() {
            None => uuid::Uuid::now_v7(),
            Some(text) => uuid::Uuid::try_parse(text)
                .map_err(|e| error(400, "read change", &format!("change: {e}")))?,
        };
        let errors = tree::value_errors(&body.values);
        if !errors.is_empty() {
            return Err(Box::new(self.invalid_values(&errors)));
        }
        let values = Value::Object(body.values).to_string();
        Ok(tree::Change { change, base: body.base, path: name::Name::new(path), values })
    }

    /// Returns a response that lists every invalid key with its reason.
    fn invalid_values(&self, errors: &[(String, String)]) -> Response {
        let list: Vec<_> = errors.iter().map(|(key, why)| format!("{key}: {why}")).collect();
        let keys: Map<String, Value> =
            errors.iter().map(|(key, why)| (key.clone(), why.clone().into())).collect();
        let body = json!({
            "state": reply::NOT_RUN,
            "error": list.join("; "),
            "step": "check settings",
            "peer": self.instance.as_str(),
            "keys": keys,
        });
        Response::json(422, body.to_string())
    }
}

fn change_response(reply: &Reply, peer: &str) -> Response {
    match reply {
        Reply::Changed(tree::Outcome::Accepted(version)) => {
            Response::json(200, json!({"version": version}).to_string())
        }
        Reply::Changed(tree::Outcome::Conflict(version)) => {
            let body = json!({
                "state": reply::NOT_RUN,
                "error": "another change came first",
                "step": "change settings",
                "peer": peer,
                "version": version,
            });
            Response::json(409, body.to_string())
        }
        Reply::Unknown(why) => {
            let (state, step) = (reply::UNKNOWN, "change settings");
            reply::ErrorResponse { status: 503, state, error: why, step, peer, retry_ms: 0 }
                .response()
        }
        Reply::Verdict(_) | Reply::Cancelled | Reply::Lease(_) | Reply::Withdrawn => {
            Response::text(500, "no such reply\n")
        }
    }
}

fn metrics_response() -> Response {
    let text = metric::metrics().map(metric::Metrics::text).unwrap_or_default();
    Response::text(200, text)
}
