//! JSON types of the client, upstream and operator interfaces.

use serde_json::{Value, value::RawValue};
use state::{id, name, upstream};

use crate::error;

/// Maximum deadline, in milliseconds (one day).
pub const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Body of `POST /v1/jobs`.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job<'a> {
    /// Id of the job, `<zone>-<uuid v7>`.
    pub job: String,
    /// Path of the service.
    pub service: String,
    /// Team whose quota the job counts against.
    #[serde(default)]
    pub team: Option<String>,
    /// Deadline for the whole response, in milliseconds. It defaults to that of the service.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether the tasks may safely run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Resource needs of one task.
    #[serde(default)]
    pub needs: Option<upstream::Resources>,
    /// The tasks.
    #[serde(borrow)]
    pub tasks: Vec<Task<'a>>,
}

/// One task of a job.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task<'a> {
    /// Any JSON value. It is passed to the upstream unchanged.
    #[serde(borrow)]
    pub payload: &'a RawValue,
}

impl<'a> Job<'a> {
    /// Parses and validates a submission.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid JSON, a key is unknown or missing, or a value is malformed.
    ///
    /// ```
    /// let error = proto::json::Job::parse(b"{\"job\": 1}").unwrap_err();
    /// assert_eq!(error.step(), "read job");
    /// ```
    pub fn parse(text: &'a [u8]) -> Result<Self, error::Error> {
        const STEP: &str = "read job";
        let job: Self = serde_json::from_slice(text).map_err(|e| error::Error::new(STEP, e))?;
        check_service(&job.service)?;
        check_team(job.team.as_deref())?;
        if let Some(ms) = job.deadline_ms {
            check_deadline(ms)?;
        }
        if job.needs.is_some_and(|needs| !(needs.cores.is_finite() && needs.cores >= 0.0)) {
            return Err(error::Error::new(
                STEP,
                "needs.cores must be a finite number of at least 0",
            ));
        }
        Ok(job)
    }

    /// Returns the id of the job.
    ///
    /// # Errors
    ///
    /// Fails if the id does not have the form `<zone>-<uuid v7>`.
    ///
    /// ```
    /// # let text = br#"{"job": "7", "service": "a", "tasks": []}"#;
    /// assert!(proto::json::Job::parse(text).unwrap().id().is_err());
    /// ```
    pub fn id(&self) -> Result<id::JobId, error::Error> {
        self.job.parse().map_err(|e| error::Error::new("read job id", e))
    }
}

/// Validates the path of a service.
///
/// # Errors
///
/// Fails if the path is empty or malformed.
///
/// ```
/// assert!(proto::json::check_service("ireland/polish-board").is_ok());
/// assert!(proto::json::check_service("").is_err());
/// ```
pub fn check_service(path: &str) -> Result<(), error::Error> {
    let problem =
        if path.is_empty() { Some("the path is empty") } else { state::tree::path_error(path) };
    problem.map_or(Ok(()), |reason| Err(error::Error::new("read service", reason)))
}

/// Validates the name of a team. `None` is valid.
///
/// # Errors
///
/// Fails if the team is not a valid name.
///
/// ```
/// assert!(proto::json::check_team(Some("north")).is_ok());
/// assert!(proto::json::check_team(Some("a b")).is_err());
/// ```
pub fn check_team(team: Option<&str>) -> Result<(), error::Error> {
    match team {
        Some(team) if !name::Name::is_valid(team) => {
            Err(error::Error::new("read team", "expected letters, digits, '-', '_' or '.'"))
        }
        _ => Ok(()),
    }
}

/// Validates a deadline in milliseconds.
///
/// # Errors
///
/// Fails if the deadline is zero or longer than a day.
///
/// ```
/// assert!(proto::json::check_deadline(500).is_ok());
/// assert!(proto::json::check_deadline(0).is_err());
/// ```
pub fn check_deadline(ms: u64) -> Result<(), error::Error> {
    if (1..=MAX_DEADLINE_MS).contains(&ms) {
        return Ok(());
    }
    let reason = format!("expected 1 to {MAX_DEADLINE_MS} milliseconds");
    Err(error::Error::new("read deadline", reason))
}

/// Response for a completed job.
#[derive(Debug, serde::Serialize)]
pub struct Complete<'a> {
    /// Always `complete`.
    pub state: &'static str,
    /// The job.
    pub job: String,
    /// Answers of the tasks, in task order.
    pub answers: Vec<&'a RawValue>,
}

/// Response for a job that has not ended.
#[derive(Debug, serde::Serialize)]
pub struct Running {
    /// Always `running`.
    pub state: &'static str,
    /// The job.
    pub job: String,
}

/// Body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Error {
    /// State of the job: `failed`, `not_run` or `unknown`.
    pub state: String,
    /// Description of the error.
    pub error: String,
    /// Operation that failed.
    pub step: String,
    /// Instance or upstream at which the operation failed.
    pub peer: String,
    /// Time after which the client may retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Body of `POST /v1/upstreams`.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announce {
    /// Name of the upstream.
    pub upstream: String,
    /// Path of the service.
    pub service: String,
    /// Availability zone of the upstream.
    pub availability_zone: String,
    /// Address of the task port, `IP:PORT`.
    pub address: String,
    /// Number of tasks that the upstream runs concurrently.
    pub slots: u32,
    /// Lifecycle phase of the upstream.
    #[serde(default)]
    pub state: Phase,
    /// CPU cores per slot.
    #[serde(default)]
    pub cores: Option<f64>,
    /// Memory per slot, in megabytes.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// Accelerators per slot.
    #[serde(default)]
    pub accelerators: Option<u64>,
    /// Number of the announcement, which rises with each, also across restarts of the upstream; a
    /// copy that arrives after one with a higher number changes nothing.
    #[serde(default)]
    pub number: Option<u64>,
}

/// Lifecycle phase of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The upstream accepts tasks.
    #[default]
    Serving,
    /// The upstream accepts no new tasks.
    Leaving,
}

/// Maximum number of slots of an upstream.
pub const MAX_SLOTS: u32 = 4_096;

impl Announce {
    /// Parses and validates an announcement.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid JSON, a key is unknown or missing, or a value is malformed.
    ///
    /// ```
    /// let text = br#"{"upstream": "u1", "service": "a", "availability_zone": "west",
    ///                 "address": "127.0.0.1:9000", "slots": 8}"#;
    /// assert_eq!(proto::json::Announce::parse(text).unwrap().slots, 8);
    /// ```
    pub fn parse(text: &[u8]) -> Result<Self, error::Error> {
        const STEP: &str = "read announcement";
        let invalid = |reason: &str| error::Error::new(STEP, reason);
        let body: Self = serde_json::from_slice(text).map_err(|e| error::Error::new(STEP, e))?;
        check_service(&body.service)?;
        if !name::Name::is_valid(&body.upstream) || !name::Name::is_valid(&body.availability_zone) {
            return Err(invalid("upstream and availability_zone must be valid names"));
        }
        if body.address.parse::<std::net::SocketAddr>().is_err() {
            return Err(invalid("address must be IP:PORT"));
        }
        if body.slots == 0 || body.slots > MAX_SLOTS {
            return Err(invalid("slots must be from 1 to 4096"));
        }
        if body.cores.is_some_and(|cores| !(cores.is_finite() && cores >= 0.0)) {
            return Err(invalid("cores must be a finite number of at least 0"));
        }
        Ok(body)
    }

    /// Converts the announcement to an entry of the table of upstreams. If it declares any
    /// resource, undeclared cores and memory are unlimited, and there are no undeclared
    /// accelerators.
    pub fn upstream(&self) -> upstream::Upstream {
        let declared =
            self.cores.is_some() || self.memory_mb.is_some() || self.accelerators.is_some();
        let capacity = upstream::Resources {
            cores: self.cores.unwrap_or(f64::MAX),
            memory_mb: self.memory_mb.unwrap_or(u64::MAX),
            accelerators: self.accelerators.unwrap_or(0),
        };
        upstream::Upstream {
            name: name::Name::new(&self.upstream),
            service: name::Name::new(&self.service),
            zone: name::Name::new(&self.availability_zone),
            address: name::Name::new(&self.address),
            slots: self.slots,
            phase: match self.state {
                Phase::Serving => upstream::Phase::Serving,
                Phase::Leaving => upstream::Phase::Leaving,
            },
            capacity: declared.then_some(capacity),
            sequence: 0,
            number: self.number.unwrap_or(0),
        }
    }
}

/// Response to an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Lease {
    /// Time within which the upstream must announce itself again, in milliseconds.
    pub lease_ms: u64,
}

/// Body of `PUT /v1/settings/PATH`.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Tree version that the change is based on. Without it the change is unconditional.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<u64>,
    /// Id of the change, a UUID; a resend has the same id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<String>,
    /// Overrides; a `null` value removes the override.
    pub values: serde_json::Map<String, Value>,
}

impl Change {
    /// Parses a change without validating its values.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid JSON, or if a key is unknown or missing.
    ///
    /// ```
    /// let change = proto::json::Change::parse(br#"{"values": {"max_queue": 5}}"#).unwrap();
    /// assert_eq!(change.base, None);
    /// ```
    pub fn parse(text: &[u8]) -> Result<Self, error::Error> {
        serde_json::from_slice(text).map_err(|e| error::Error::new("read change", e))
    }
}

/// Version of the settings tree after an accepted change, or at the time of a rejected one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Version {
    /// The version.
    pub version: u64,
}
