//! Calls to upstreams: starting a task, and telling that one is no longer wanted.

use std::{io, time};

use bytes::Bytes;
use ureq::unversioned::transport::{Connector as _, TcpConnector};

use crate::{gate, trace};

/// Largest answer of one task, bytes.
pub const MAX_ANSWER: u64 = 16 << 20;
/// Time to connect to an upstream.
const CONNECT: time::Duration = time::Duration::from_secs(1);
/// A call is broken off this long after its deadline; whoever decides about it has given up then.
const GRACE: time::Duration = time::Duration::from_millis(200);
/// Time to tell an upstream that a task is not wanted.
const STOP_TIME: time::Duration = time::Duration::from_secs(2);

/// One task on its way to an upstream.
#[derive(Clone, Debug)]
pub struct Task {
    /// Address of the upstream.
    pub address: String,
    /// `JOB/INDEX`.
    pub id: String,
    /// Payload.
    pub body: Bytes,
    /// Content type of the payload.
    pub content: String,
    /// Time left.
    pub left: time::Duration,
    /// End of the lease under which it may be started; nothing if it needs none.
    pub lease: Option<time::Instant>,
    /// Span of the call.
    pub span: trace::Context,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer and its content type.
    Answer(Bytes, String),
    /// The upstream says that it did not start the task.
    NotRun,
    /// The lease was over before anything was written.
    Unsent,
    /// The upstream was never reached: nothing was written.
    Unreached(String),
    /// The task ran and failed, or may have run.
    Failed(String),
}

/// Connections to upstreams.
#[derive(Clone, Debug)]
pub struct Caller {
    agent: ureq::Agent,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

impl Caller {
    /// No connections yet.
    pub fn new() -> Self {
        const PER_HOST: usize = 64;
        const IN_ALL: usize = 1_024;
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .no_delay(true)
            .proxy(None)
            .timeout_connect(Some(CONNECT))
            .max_idle_connections_per_host(PER_HOST)
            .max_idle_connections(IN_ALL)
            .build();
        let connector = ().chain(TcpConnector::default()).chain(gate::Gate);
        Self { agent: ureq::Agent::with_parts(config, connector, gate::Resolver::default()) }
    }

    /// Sends a task and waits for its answer.
    pub fn start(&self, task: &Task) -> End {
        let request = self
            .agent
            .post(format!("http://{}/v1/tasks", task.address))
            .header("Task-Id", &task.id)
            .header("Deadline-Ms", task.left.as_millis().to_string())
            .header("traceparent", task.span.to_string())
            .header("Content-Type", &task.content)
            .config()
            .timeout_global(Some(task.left + GRACE))
            .build();
        let (sent, passed) = gate::under(task.lease, || request.send(task.body.as_ref()));
        match sent {
            Err(_) if passed == gate::Passed::Nothing => End::Unsent,
            Ok(response) => read(response),
            Err(e) if is_unreached(&e) => End::Unreached(e.to_string()),
            Err(e) => End::Failed(e.to_string()),
        }
    }

    /// Tells an upstream that a task is not wanted; best effort.
    pub fn stop(&self, address: &str, id: &str) {
        let request = self
            .agent
            .delete(format!("http://{address}/v1/tasks/{id}"))
            .config()
            .timeout_global(Some(STOP_TIME))
            .build();
        drop(request.call());
    }
}

fn read(mut response: ureq::http::Response<ureq::Body>) -> End {
    let status = response.status().as_u16();
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    let refused = header("Not-Run").is_some_and(|value| value.eq_ignore_ascii_case("true"));
    let content = header("Content-Type").unwrap_or_else(|| "application/octet-stream".to_owned());
    let body = response.body_mut().with_config().limit(MAX_ANSWER).read_to_vec();
    match (status, body) {
        (503, _) if refused => End::NotRun,
        (200, Ok(body)) => End::Answer(body.into(), content),
        (200, Err(e)) => End::Failed(format!("the answer broke off: {e}")),
        (status, _) => End::Failed(format!("status {status}")),
    }
}

/// Whether the error proves that no byte of the request was written.
fn is_unreached(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(e) => matches!(
            e.kind(),
            io::ErrorKind::ConnectionRefused
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable
                | io::ErrorKind::AddrNotAvailable
        ),
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        _ => false,
    }
}
