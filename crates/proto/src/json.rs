//! JSON types of the client, upstream and operator interfaces.

use serde_json::{Value, value::RawValue};
use state::{id, name, upstream};

use crate::error;

/// Longest deadline that is understood, milliseconds.
pub const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Body of `POST /v1/jobs`.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job<'a> {
    /// Its id, `<zone>-<uuid v7>`.
    pub job: String,
    /// Path of its service.
    pub service: String,
    /// Team whose quota it counts against.
    #[serde(default)]
    pub team: Option<String>,
    /// Time for the whole answer, milliseconds; the service's default without it.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether tasks are safe to run again.
    #[serde(default)]
    pub idempotent: bool,
    /// What one task needs.
    #[serde(default)]
    pub needs: Option<upstream::Needs>,
    /// The tasks.
    #[serde(borrow)]
    pub tasks: Vec<Task<'a>>,
}

/// One task of a job.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task<'a> {
    /// Any JSON, passed to the upstream as it is.
    #[serde(borrow)]
    pub payload: &'a RawValue,
}

impl<'a> Job<'a> {
    /// Reads and checks a submission.
    ///
    /// # Errors
    ///
    /// The text is not JSON, a key is unknown or missing, or a value is malformed.
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
            return Err(error::Error::new(STEP, "needs.cores is not a number from 0"));
        }
        Ok(job)
    }

    /// The id.
    ///
    /// # Errors
    ///
    /// It is not of the form `<zone>-<uuid v7>`.
    ///
    /// ```
    /// # let text = br#"{"job": "7", "service": "a", "tasks": []}"#;
    /// assert!(proto::json::Job::parse(text).unwrap().id().is_err());
    /// ```
    pub fn id(&self) -> Result<id::JobId, error::Error> {
        self.job.parse().map_err(|e| error::Error::new("read job id", e))
    }
}

/// Checks the path of a service.
///
/// # Errors
///
/// It is empty or malformed.
///
/// ```
/// assert!(proto::json::check_service("ireland/polish-board").is_ok());
/// assert!(proto::json::check_service("").is_err());
/// ```
pub fn check_service(path: &str) -> Result<(), error::Error> {
    let fault =
        if path.is_empty() { Some("the path is empty") } else { state::tree::path_fault(path) };
    fault.map_or(Ok(()), |why| Err(error::Error::new("read service", why)))
}

/// Checks the name of a team.
///
/// # Errors
///
/// It is not a name.
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

/// Checks a deadline in milliseconds.
///
/// # Errors
///
/// It is zero or longer than a day.
///
/// ```
/// assert!(proto::json::check_deadline(500).is_ok());
/// assert!(proto::json::check_deadline(0).is_err());
/// ```
pub fn check_deadline(ms: u64) -> Result<(), error::Error> {
    if (1..=MAX_DEADLINE_MS).contains(&ms) {
        return Ok(());
    }
    let why = format!("expected 1 to {MAX_DEADLINE_MS} milliseconds");
    Err(error::Error::new("read deadline", why))
}

/// Answer to a job that is complete.
#[derive(Debug, serde::Serialize)]
pub struct Complete<'a> {
    /// `complete`.
    pub state: &'static str,
    /// The job.
    pub job: String,
    /// One answer per task, in task order.
    pub answers: Vec<&'a RawValue>,
}

/// Answer about a job that has not ended.
#[derive(Debug, serde::Serialize)]
pub struct Running {
    /// `running`.
    pub state: &'static str,
    /// The job.
    pub job: String,
}

/// Every error.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Error {
    /// `failed`, `not_run` or `unknown`.
    pub state: String,
    /// What went wrong.
    pub error: String,
    /// Step at which it did.
    pub step: String,
    /// Instance or upstream at which it did.
    pub peer: String,
    /// When to come back, milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Body of `POST /v1/upstreams`.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announce {
    /// Name of the upstream.
    pub upstream: String,
    /// Path of its service.
    pub service: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Where it takes tasks, `IP:PORT`.
    pub address: String,
    /// Tasks it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: Phase,
    /// Cores of one slot.
    #[serde(default)]
    pub cores: Option<f64>,
    /// Memory of one slot, megabytes.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// Accelerators of one slot.
    #[serde(default)]
    pub accelerators: Option<u64>,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Takes work.
    #[default]
    Serving,
    /// Takes nothing new.
    Leaving,
}

/// Most slots of one upstream.
pub const MAX_SLOTS: u32 = 4_096;

impl Announce {
    /// Reads and checks an announcement.
    ///
    /// # Errors
    ///
    /// The text is not JSON, a key is unknown or missing, or a value is malformed.
    ///
    /// ```
    /// let text = br#"{"upstream": "u1", "service": "a", "availability_zone": "west",
    ///                 "address": "127.0.0.1:9000", "slots": 8}"#;
    /// assert_eq!(proto::json::Announce::parse(text).unwrap().slots, 8);
    /// ```
    pub fn parse(text: &[u8]) -> Result<Self, error::Error> {
        const STEP: &str = "read announcement";
        let fault = |why: &str| error::Error::new(STEP, why);
        let body: Self = serde_json::from_slice(text).map_err(|e| error::Error::new(STEP, e))?;
        check_service(&body.service)?;
        if !name::Name::is_valid(&body.upstream) || !name::Name::is_valid(&body.availability_zone) {
            return Err(fault("upstream and availability_zone must be names"));
        }
        if body.address.parse::<std::net::SocketAddr>().is_err() {
            return Err(fault("address must be IP:PORT"));
        }
        if body.slots == 0 || body.slots > MAX_SLOTS {
            return Err(fault("slots must be from 1 to 4096"));
        }
        if body.cores.is_some_and(|cores| !(cores.is_finite() && cores >= 0.0)) {
            return Err(fault("cores must be a number from 0"));
        }
        Ok(body)
    }

    /// The table's form of it.
    pub fn upstream(&self) -> upstream::Upstream {
        let declared =
            self.cores.is_some() || self.memory_mb.is_some() || self.accelerators.is_some();
        let room = upstream::Needs {
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
            room: declared.then_some(room),
            stamp: 0,
        }
    }
}

/// Answer to an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Lease {
    /// Time until which the upstream must announce itself again, milliseconds.
    pub lease_ms: u64,
}

/// Body of `PUT /v1/settings/PATH`.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Version that the operator saw; without it the change is unconditional.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<u64>,
    /// Identity of the change, a UUID; a resend carries the same one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<String>,
    /// Overrides; `null` removes one.
    pub values: serde_json::Map<String, Value>,
}

impl Change {
    /// Reads a change; its values are not checked yet.
    ///
    /// # Errors
    ///
    /// The text is not JSON, or a key is unknown or missing.
    ///
    /// ```
    /// let change = proto::json::Change::parse(br#"{"values": {"max_queue": 5}}"#).unwrap();
    /// assert_eq!(change.base, None);
    /// ```
    pub fn parse(text: &[u8]) -> Result<Self, error::Error> {
        serde_json::from_slice(text).map_err(|e| error::Error::new("read change", e))
    }
}

/// Version of the tree after, or at, a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Version {
    /// The version.
    pub version: u64,
}
