//! Messages between instances, after decoding.

use state::{id, name, table, upstream};

use crate::entry;

/// A replicated group.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub enum Group {
    /// The settings tree of the whole system.
    Settings,
    /// The journal of one availability zone.
    Journal(name::Name),
}

/// Identity of one formation of a group.
///
/// The group does not run jobs whose id was created before [`Self::at`].
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Formation {
    /// Wall clock of the forming instance plus the clock skew allowance, in milliseconds.
    pub at: u64,
    /// Incarnation of the forming instance.
    pub by: u64,
}

/// A message between two instances.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Body {
    /// A formation message of a group, with the sender's incarnation.
    Form(Group, u64, FormMessage),
    /// A consensus message within a formed group.
    Raft(Group, Route, Raft),
    /// A command for the leader of a group.
    Propose(Group, Route, bytes::Bytes),
    /// A call about a job, or the answer to one.
    Job(Job),
    /// An update or a query of the upstream table or the settings.
    Table(Table),
    /// A request for slots, a grant, or a return.
    Loan(Loan),
    /// Liveness probe: `true` is the request, `false` the response.
    Ping(bool),
}

impl Body {
    /// Short name of the message kind, for counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Form(..) => "form",
            Self::Raft(_, _, raft) => raft.kind(),
            Self::Propose(..) => "propose",
            Self::Job(Job::Forward { .. }) => "forward",
            Self::Job(Job::Execute { .. }) => "execute",
            Self::Job(Job::Copy { .. } | Job::Copied { .. }) => "copy",
            Self::Job(_) => "call",
            Self::Table(_) => "table",
            Self::Loan(_) => "loan",
            Self::Ping(_) => "ping",
        }
    }
}

/// The formation that a message belongs to, and the incarnations of its sender and receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// The formation.
    pub formation: Formation,
    /// Incarnation of the sender in the group.
    pub from: u64,
    /// Incarnation of the receiver in the group.
    pub to: u64,
}

/// Messages that form a group (see [`crate::group`]).
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum FormMessage {
    /// Asks for the receiver's formation. It carries the sender's formation, if it has one.
    Probe(Option<Formation>),
    /// Answer to [`Self::Probe`]: the sender's formation, if it has one.
    Found(Option<Formation>),
    /// Asks the receiver to join this formation.
    Ask(Formation),
    /// The sender, which belongs to no formation, agrees to join this one.
    Grant(Formation),
    /// Answer to [`Self::Probe`] of a member of this formation: the sender has founded and left it.
    Abandoned(Formation),
    /// The instance of the sender is about to end.
    Leaving,
}

/// Consensus messages within a formed group (Ongaro 2014).
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Raft {
    /// Asks for a vote, or for a pre-vote if `pre` is set.
    Vote {
        /// Term of the election.
        term: u64,
        /// Last log index of the candidate.
        last: u64,
        /// Term at that index.
        last_term: u64,
        /// Whether this is a pre-vote (Ongaro 2014, section 9.6).
        pre: bool,
    },
    /// Answer to [`Self::Vote`].
    Voted {
        /// Term that the answer is for, or a higher term known to the voter.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
        /// Copied from the request.
        pre: bool,
    },
    /// Appends log entries; a message without entries is a heartbeat.
    Append {
        /// Term of the leader.
        term: u64,
        /// Index before the first entry.
        prev: u64,
        /// Term at that index.
        prev_term: u64,
        /// Commit index of the leader.
        commit: u64,
        /// Log entries.
        entries: Vec<entry::Entry>,
        /// Clock of the leader when it sent this, microseconds.
        sent: u64,
        /// The receiver's clock as the leader last received it; 0 grants no lease.
        echo: u64,
    },
    /// Answer to [`Self::Append`] and [`Self::Snapshot`].
    Appended {
        /// Term of the follower.
        term: u64,
        /// Whether the log matched.
        success: bool,
        /// Last matching index, or the index to retry from if the log did not match.
        index: u64,
        /// Copied from the request.
        sent: u64,
        /// Clock of the follower, microseconds.
        stamp: u64,
    },
    /// Installs the whole state at a follower whose log is too far behind.
    Snapshot {
        /// Term of the leader.
        term: u64,
        /// Last index that the state covers.
        index: u64,
        /// Term at that index.
        index_term: u64,
        /// Voters at that index.
        voters: entry::Voters,
        /// The encoded state machine.
        state: bytes::Bytes,
        /// Clock of the leader when it sent this, microseconds.
        sent: u64,
    },
    /// Transfers leadership: the receiver starts an election immediately (Ongaro 2014, section
    /// 3.10).
    TimeoutNow {
        /// Term of the leader.
        term: u64,
    },
}

impl Raft {
    /// Term of the message.
    pub fn term(&self) -> u64 {
        match self {
            Self::Vote { term, .. }
            | Self::Voted { term, .. }
            | Self::Append { term, .. }
            | Self::Appended { term, .. }
            | Self::Snapshot { term, .. }
            | Self::TimeoutNow { term } => *term,
        }
    }

    fn kind(&self) -> &'static str {
        match self {
            Self::Append { entries, .. } if entries.is_empty() => "heartbeat",
            Self::Append { .. } => "append",
            Self::Appended { .. } => "ack",
            Self::Snapshot { .. } => "snapshot",
            Self::Vote { .. } | Self::Voted { .. } | Self::TimeoutNow { .. } => "vote",
        }
    }
}

/// A submitted job or request, with everything that is needed to run it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Spec {
    /// The job.
    pub job: id::JobId,
    /// Path of its service.
    pub service: name::Name,
    /// Team whose quota the job counts against.
    pub team: Option<name::Name>,
    /// Remaining time until the deadline, milliseconds; 0 selects the service's default.
    pub left_ms: u64,
    /// Whether the tasks may safely run more than once.
    pub idempotent: bool,
    /// Resources that one task needs.
    pub needs: upstream::Resources,
    /// Payload of each task.
    pub tasks: Vec<bytes::Bytes>,
    /// Content type of the payloads.
    pub content_type: name::Name,
    /// Whether the client gets the upstream's answer unchanged (a request, not a job).
    pub raw: bool,
    /// W3C trace context of the submission.
    pub trace: name::Name,
}

impl Spec {
    /// Digest of the content by which two submissions with the same id are compared.
    pub fn digest(&self) -> table::Digest {
        let parts = (&self.service, &self.team, &self.needs, &self.tasks, self.idempotent);
        let bytes = postcard::to_stdvec(&parts).unwrap_or_default();
        state::id::digest(&bytes)
    }
}

/// One task's answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// Body, unchanged as the upstream sent it.
    pub body: bytes::Bytes,
    /// Content type of the body.
    pub content_type: name::Name,
}

/// Reason for which a job was refused before any of its tasks started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Refusal {
    /// The submission is malformed or exceeds a limit, so a retry cannot succeed.
    Malformed,
    /// The id was already used with other content.
    Conflict,
    /// No settings exist for the service.
    NoService,
    /// No known upstream has the resources for such a task.
    Impossible,
    /// The team has reached its quota.
    Quota,
    /// The queue is full, or the deadline cannot be met.
    Overload,
    /// No upstream is serving.
    NoUpstream,
    /// The instance is shutting down.
    Draining,
    /// The submission is too large.
    TooLarge,
    /// No task was started before the deadline.
    Expired,
    /// No such job was ever submitted.
    NoJob,
}

impl Refusal {
    /// Short name of the refusal, for counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Conflict => "conflict",
            Self::NoService => "no_service",
            Self::Impossible => "impossible",
            Self::Quota => "quota",
            Self::Overload => "overload",
            Self::NoUpstream => "no_upstream",
            Self::Draining => "draining",
            Self::TooLarge => "too_large",
            Self::Expired => "expired",
            Self::NoJob => "no_job",
        }
    }
}

/// The result of one attempt of a submission.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Verdict {
    /// One answer per task, in task order.
    Complete(Vec<Answer>),
    /// The job has failed for good; some tasks may have run.
    Failed {
        /// The reason.
        why: String,
        /// Whether the deadline was the reason.
        late: bool,
    },
    /// The job was refused; none of its tasks was started.
    NotRun {
        /// The kind of refusal.
        kind: Refusal,
        /// The reason.
        why: String,
        /// Delay before a retry, in milliseconds; 0 means that a retry would not help.
        retry_ms: u64,
    },
    /// This instance does not know the outcome.
    Unknown {
        /// The reason.
        why: String,
    },
    /// The job has not ended yet.
    Running,
}

impl Verdict {
    /// Creates a [`Self::NotRun`] verdict.
    pub fn refuse(kind: Refusal, why: impl Into<String>, retry_ms: u64) -> Self {
        Self::NotRun { kind, why: why.into(), retry_ms }
    }

    /// Creates a [`Self::Failed`] verdict with a reason other than the deadline.
    pub fn failed(why: impl Into<String>) -> Self {
        Self::Failed { why: why.into(), late: false }
    }

    /// Creates a [`Self::Unknown`] verdict.
    pub fn unknown(why: impl Into<String>) -> Self {
        Self::Unknown { why: why.into() }
    }
}

/// Calls about jobs between instances, and their answers.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Job {
    /// Asks the receiver to submit the job in its zone and to answer `call` with
    /// [`Self::Verdict`].
    Forward {
        /// Number of the call, chosen by the sender.
        call: u64,
        /// The submission.
        spec: Spec,
    },
    /// Asks the receiver to start the tasks of a job, which another zone has admitted, once on the
    /// upstreams of its own zone.
    Execute {
        /// Number of the call.
        call: u64,
        /// The job.
        spec: Spec,
    },
    /// Asks the receiver for the verdict on a job, once the job has ended.
    Await {
        /// Number of the call.
        call: u64,
        /// The job.
        job: id::JobId,
        /// Whether the receiver waits for the end of a job in progress, or answers
        /// [`Verdict::Running`] at once.
        wait: bool,
    },
    /// Asks for the answers of a completed job, if the receiver has them in its cache.
    Fetch {
        /// Number of the call.
        call: u64,
        /// The job.
        job: id::JobId,
    },
    /// Asks the receiver to cancel a job and to answer whether the zone has such a job.
    Cancel {
        /// Number of the call.
        call: u64,
        /// The job.
        job: id::JobId,
    },
    /// The answer to a call.
    Verdict {
        /// Number of the call.
        call: u64,
        /// The answer.
        verdict: Verdict,
    },
    /// Asks the receiver to cache the answers for resubmissions.
    Copy {
        /// The job.
        job: id::JobId,
        /// Answers of the job, in task order.
        answers: Vec<Answer>,
    },
    /// Confirms that the sender has cached the answers.
    Copied {
        /// The job.
        job: id::JobId,
    },
    /// The sender is shutting down and must not be admitted as a member again.
    Leaving {
        /// Incarnation of the sender.
        incarnation: u64,
    },
}

/// Updates and queries of the upstream table and the settings.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Table {
    /// Announcements, each with the remaining time of its lease in milliseconds.
    Changed(Vec<(upstream::Upstream, u64)>),
    /// Renewed leases: hash of the upstream's name, sequence number of its announcement, remaining
    /// time in milliseconds.
    Renewed(Vec<(u32, u64, u32)>),
    /// Asks for the whole table.
    Ask,
    /// Asks for the receiver's copy of the settings.
    AskSettings,
    /// The sender's copy of the settings, encoded.
    Settings(bytes::Bytes),
}

/// Messages that lend slots between the instances of a zone.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Loan {
    /// Asks for a loan of up to `count` slots of a service.
    Ask {
        /// Path of the service.
        service: name::Name,
        /// Number of slots requested.
        count: u32,
        /// Number of the request; the grant repeats it.
        number: u64,
        /// Number of slots of the service that the sender has borrowed from the receiver. Grants
        /// of the receiver beyond that number were lost in transit.
        borrowed: u32,
    },
    /// Grants slots, by upstream.
    Grant {
        /// Path of the service.
        service: name::Name,
        /// Number of the request. The borrower returns the slots of a late grant.
        number: u64,
        /// Upstream and number of its slots.
        slots: Vec<(name::Name, u32)>,
    },
    /// Returns borrowed slots, by upstream.
    Return {
        /// Upstream and number of its slots.
        slots: Vec<(name::Name, u32)>,
    },
}
