//! Blocking calls to upstreams that start and stop tasks.

use std::{io, sync::atomic, time};

use bytes::Bytes;
use ureq::unversioned::transport::{Connector as _, TcpConnector};

use crate::{gate, trace};

/// Maximum size of the answer of one task in bytes.
pub const MAX_ANSWER: u64 = 16 << 20;
/// Timeout for connecting to an upstream.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// A call is aborted this long after its deadline. The caller has given up on the task by then.
const ABORT_DELAY: time::Duration = time::Duration::from_millis(200);
/// Timeout of the call that stops a task.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Header with the id of the task, in the request and in its answer.
pub const ID_HEADER: &str = "Task-Id";
/// Header with the number of the attempt, in the request and in its answer.
pub const ATTEMPT_HEADER: &str = "Task-Attempt";

/// The number of the last attempt of this process.
static LAST_ATTEMPT: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// The request to start one task on an upstream.
#[derive(Clone, Debug)]
pub struct Task {
    /// Address of the upstream.
    pub address: String,
    /// Id of the task, `JOB/INDEX`.
    pub id: String,
    /// Payload.
    pub body: Bytes,
    /// Content type of the payload.
    pub content_type: String,
    /// Time until the deadline.
    pub timeout: time::Duration,
    /// End of the lease under which the task may be started, or `None` if it needs no lease.
    pub lease: Option<time::Instant>,
    /// Trace context of the call.
    pub context: trace::Context,
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The upstream sent a whole answer; its body and content type.
    Answer(Bytes, String),
    /// The upstream reported that it did not start the task.
    NotRun,
    /// The lease expired before any byte was written.
    Unsent,
    /// The connection to the upstream failed; no byte was written.
    Unreached(String),
    /// The task ran and failed, or may have run; the error.
    Failed(String),
}

/// An HTTP client for upstreams with a pool of connections.
#[derive(Clone, Debug)]
pub struct Client {
    agent: ureq::Agent,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        const MAX_PER_HOST: usize = 64;
        const MAX_TOTAL: usize = 1_024;
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .no_delay(true)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_idle_connections_per_host(MAX_PER_HOST)
            .max_idle_connections(MAX_TOTAL)
            .build();
        let connector = ().chain(TcpConnector::default()).chain(gate::CheckedConnector);
        Self { agent: ureq::Agent::with_parts(config, connector, gate::Resolver::default()) }
    }

    /// Starts a task and waits for its answer.
    ///
    /// An answer that repeats the id of the task and the number of the attempt is known to belong
    /// to this request, and only then the connection is used again: an upstream that answers twice
    /// would otherwise answer the next request with what belongs to this one.
    pub fn start(&self, task: &Task) -> End {
        let attempt = LAST_ATTEMPT.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        let attempt = attempt.to_string();
        let request = self
            .agent
            .post(format!("http://{}/v1/tasks", task.address))
            .header(ID_HEADER, &task.id)
            .header(ATTEMPT_HEADER, &attempt)
            .header("Deadline-Ms", task.timeout.as_millis().to_string())
            .header("traceparent", task.context.to_string())
            .header("Content-Type", &task.content_type)
            .config()
            .timeout_global(Some(task.timeout + ABORT_DELAY))
            .build();
        let send = || request.send(task.body.as_ref());
        let (result, written, connection) = gate::with_lease(task.lease, send);
        match result {
            Err(_) if written == gate::Written::Nothing => End::Unsent,
            Ok(response) => read_response(response, &task.id, &attempt, connection.as_ref()),
            Err(e) if is_unreached(&e) => End::Unreached(e.to_string()),
            Err(e) => End::Failed(e.to_string()),
        }
    }

    /// Asks an upstream to stop a task that is no longer needed. Errors are ignored.
    pub fn stop(&self, address: &str, id: &str) {
        let request = self
            .agent
            .delete(format!("http://{address}/v1/tasks/{id}"))
            .config()
            .timeout_global(Some(STOP_TIMEOUT))
            .build();
        drop(gate::with_lease(None, || request.call()));
    }
}

fn read_response(
    mut response: ureq::http::Response<ureq::Body>,
    id: &str,
    attempt: &str,
    connection: Option<&gate::Connection>,
) -> End {
    let status = response.status().as_u16();
    let repeated = [(ID_HEADER, id), (ATTEMPT_HEADER, attempt)].map(|(name, sent)| {
        response.headers().get(name).map(|value| value.as_bytes() == sent.as_bytes())
    });
    let is_verified = repeated == [Some(true); 2];
    let is_reused = connection.is_some_and(|connection| connection.is_reused);
    if repeated.contains(&Some(false)) || is_reused && !is_verified {
        return End::Failed("the answer belongs to another request".to_owned());
    }
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    let not_run = header("Not-Run").is_some_and(|value| value.eq_ignore_ascii_case("true"));
    let content_type =
        header("Content-Type").unwrap_or_else(|| "application/octet-stream".to_owned());
    // The client returns the connection to its pool when it has read the whole body.
    if let Some(connection) = connection.filter(|_| is_verified) {
        connection.mark_verified();
    }
    let body = response.body_mut().with_config().limit(MAX_ANSWER).read_to_vec();
    match (status, body) {
        (503, _) if not_run => End::NotRun,
        (200, Ok(body)) => End::Answer(body.into(), content_type),
        (200, Err(e)) => End::Failed(format!("the answer broke off: {e}")),
        (status, _) => End::Failed(format!("status {status}")),
    }
}

/// Returns whether the error proves that no byte of the request was written.
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
