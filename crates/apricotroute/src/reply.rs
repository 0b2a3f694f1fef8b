//! HTTP responses of the client and operator interfaces.

use coord::message::{Answer, Refusal, Verdict};
use link::http::{RequestError, Response};
use serde_json::value::RawValue;

/// Header that carries the state of a submission; the JSON body has it as `state`.
const STATE_HEADER: &str = "State";
/// State of a response to a request that started no task.
pub const NOT_RUN: &str = "not_run";
/// State of a response when the instance cannot tell whether a task ran.
pub const UNKNOWN: &str = "unknown";

/// An error response, with the step and the instance at which the error occurred.
#[derive(Clone, Debug)]
pub struct ErrorResponse<'a> {
    /// HTTP status code.
    pub status: u16,
    /// `failed`, `not_run` or `unknown`.
    pub state: &'static str,
    /// Message of the error.
    pub error: &'a str,
    /// Step at which it occurred.
    pub step: &'a str,
    /// Instance at which it occurred.
    pub peer: &'a str,
    /// Delay before a retry, in milliseconds; 0 if a retry would not help.
    pub retry_ms: u64,
}

impl ErrorResponse<'_> {
    /// Converts the error into an HTTP response.
    pub fn response(&self) -> Response {
        let retry = (self.retry_ms > 0).then_some(self.retry_ms);
        let body = proto::json::Error {
            state: self.state.to_owned(),
            error: self.error.to_owned(),
            step: self.step.to_owned(),
            peer: self.peer.to_owned(),
            retry_after_ms: retry,
        };
        let text = serde_json::to_vec(&body).unwrap_or_default();
        let response = Response::json(self.status, text).with_header(STATE_HEADER, self.state);
        match retry {
            Some(ms) => response.with_header("Retry-After", ms.div_ceil(1_000).to_string()),
            None => response,
        }
    }
}

/// Returns the response to a request that is not valid.
pub fn error_response(status: u16, step: &str, error: &str, peer: &str) -> Response {
    ErrorResponse { status, state: NOT_RUN, error, step, peer, retry_ms: 0 }.response()
}

/// Returns the response to a request whose body was not received completely.
pub fn body_error_response(error: RequestError, peer: &str) -> Response {
    let (status, error) = match error {
        RequestError::TooLarge => (413, "the body is too large"),
        RequestError::TooSlow => (408, "the body did not arrive in time"),
        RequestError::Broken => (400, "the body ended early"),
        RequestError::Overloaded => (503, "too many bodies are being read"),
    };
    error_response(status, "read body", error, peer)
}

/// Returns the response when the queue of the control thread is full.
pub fn overload_response(peer: &str) -> Response {
    const RETRY_MS: u64 = 200;
    let error = "the instance is overloaded";
    let (status, state, step) = (503, NOT_RUN, "queue request");
    ErrorResponse { status, state, error, step, peer, retry_ms: RETRY_MS }.response()
}

/// Returns the response to a submission. For a `raw` request it is the upstream's answer itself.
pub fn verdict_response(verdict: &Verdict, job: &str, raw: bool, peer: &str) -> Response {
    match verdict {
        Verdict::Complete(answers) if raw => raw_response(answers),
        Verdict::Complete(answers) => complete_response(answers, job),
        Verdict::Running => {
            let body = proto::json::Running { state: "running", job: job.to_owned() };
            let text = serde_json::to_vec(&body).unwrap_or_default();
            Response::json(202, text).with_header(STATE_HEADER, "running")
        }
        Verdict::Failed { why, late } => {
            let status = if *late { 504 } else { 502 };
            let (state, step) = ("failed", "run job");
            ErrorResponse { status, state, error: why, step, peer, retry_ms: 0 }.response()
        }
        Verdict::NotRun { kind, why, retry_ms } => {
            let (status, step) = (refusal_status(*kind), refusal_step(*kind));
            let retry_ms = *retry_ms;
            ErrorResponse { status, state: NOT_RUN, error: why, step, peer, retry_ms }.response()
        }
        Verdict::Unknown { why } => {
            let step = "find job";
            ErrorResponse { status: 503, state: UNKNOWN, error: why, step, peer, retry_ms: 0 }
                .response()
        }
    }
}

fn refusal_status(kind: Refusal) -> u16 {
    match kind {
        Refusal::Malformed => 400,
        Refusal::NoService | Refusal::NoJob => 404,
        Refusal::Conflict => 409,
        Refusal::TooLarge => 413,
        Refusal::Impossible => 422,
        Refusal::Quota => 429,
        Refusal::Overload | Refusal::NoUpstream | Refusal::Draining | Refusal::Expired => 503,
    }
}

fn refusal_step(kind: Refusal) -> &'static str {
    match kind {
        Refusal::Malformed | Refusal::TooLarge => "check job",
        Refusal::NoService | Refusal::NoJob | Refusal::Conflict => "look up job",
        Refusal::Impossible | Refusal::NoUpstream => "place job",
        Refusal::Quota | Refusal::Overload | Refusal::Draining => "admit job",
        Refusal::Expired => "queue job",
    }
}

/// Returns the upstream's answer to a request, unchanged.
fn raw_response(answers: &[Answer]) -> Response {
    let answer = answers.first();
    let body = answer.map(|answer| answer.body.clone()).unwrap_or_default();
    let content_type = answer.map(|answer| answer.content_type.to_string()).unwrap_or_default();
    let response = Response { status: 200, content_type, headers: Vec::new(), body };
    response.with_header(STATE_HEADER, "complete")
}

fn complete_response(answers: &[Answer], job: &str) -> Response {
    let answers: Vec<_> = answers.iter().map(to_json).collect();
    let answers = answers.iter().map(AsRef::as_ref).collect();
    let body = proto::json::Complete { state: "complete", job: job.to_owned(), answers };
    match serde_json::to_vec(&body) {
        Ok(text) => Response::json(200, text).with_header(STATE_HEADER, "complete"),
        Err(e) => Response::text(500, e.to_string()),
    }
}

/// Converts an answer to JSON: unchanged if it is valid JSON, otherwise as a string.
fn to_json(answer: &Answer) -> Box<RawValue> {
    if let Ok(raw) = serde_json::from_slice::<Box<RawValue>>(&answer.body) {
        return raw;
    }
    let text = String::from_utf8_lossy(&answer.body);
    serde_json::value::to_raw_value(&text).unwrap_or_else(|_| RawValue::NULL.to_owned())
}
