//! Messages between instances, as the core sees them.

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
/// Ids minted before [`Self::at`] are not run by the group.
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
    /// Wall clock of the forming instance with the allowance for skew added, in milliseconds.
    pub at: u64,
    /// Incarnation of the forming instance.
    pub by: u64,
}

/// One message between two instances.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Body {
    /// Part of a group's formation, from the given incarnation of the sender.
    Form(Group, u64, Form),
    /// Part of a formed group's agreement.
    Raft(Group, Route, Raft),
    /// A command for the leader of a group.
    Propose(Group, Route, bytes::Bytes),
    /// A job or an answer on its way between instances.
    Job(Job),
    /// News of the upstream table.
    Table(Table),
    /// Lending of slots.
    Loan(Loan),
    /// Is somebody there? (`true` asks, `false` answers.)
    Ping(bool),
}

impl Body {
    /// Short name of the kind, for counting.
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

/// Which formation a message belongs to, and which incarnations it goes between.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// The formation.
    pub formation: Formation,
    /// Incarnation of the sender in the group.
    pub from: u64,
    /// Incarnation of the receiver in the group.
    pub to: u64,
}

/// Formation of a group (see [`crate::group`]).
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Form {
    /// Who is there and which formation do you belong to? With the sender's own.
    Probe(Option<Formation>),
    /// The sender's formation, if it has one, and whether it voted in it.
    Found(Option<Formation>),
    /// Will you belong to this formation?
    Ask(Formation),
    /// The sender, which belongs to none, will.
    Grant(Formation),
}

/// Agreement inside a formed group (Ongaro 2014).
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Raft {
    /// Would you vote for me, or (not `pre`) do you?
    Vote {
        /// Term of the election.
        term: u64,
        /// Last log index of the candidate.
        last: u64,
        /// Term at that index.
        last_term: u64,
        /// Whether this only asks (Ongaro 2014, section 9.6).
        pre: bool,
    },
    /// Answer to [`Self::Vote`].
    Voted {
        /// Term that the answer is for, or a higher one that the voter knows.
        term: u64,
        /// Whether the vote is given.
        granted: bool,
        /// As in the question.
        pre: bool,
    },
    /// Entries, or a heartbeat.
    Append {
        /// Term of the leader.
        term: u64,
        /// Index before the first entry.
        prev: u64,
        /// Term at that index.
        prev_term: u64,
        /// Commit index of the leader.
        commit: u64,
        /// Entries.
        entries: Vec<entry::Entry>,
        /// Clock of the leader when it sent this, microseconds.
        sent: u64,
        /// The receiver's clock as the leader last heard it; 0 grants no lease.
        echo: u64,
    },
    /// Answer to [`Self::Append`] and [`Self::Snapshot`].
    Appended {
        /// Term of the follower.
        term: u64,
        /// Whether the log matched.
        success: bool,
        /// Last matching index, or where to try next.
        index: u64,
        /// As in the question.
        sent: u64,
        /// Clock of the follower, microseconds.
        stamp: u64,
    },
    /// The whole state, for a follower whose log is too far behind.
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
        /// Clock of the leader when it sent this.
        sent: u64,
    },
    /// Leadership is handed to the receiver: stand for election now.
    Stand {
        /// Term of the leader.
        term: u64,
    },
}

impl Raft {
    /// The term that the message names.
    pub fn term(&self) -> u64 {
        match self {
            Self::Vote { term, .. }
            | Self::Voted { term, .. }
            | Self::Append { term, .. }
            | Self::Appended { term, .. }
            | Self::Snapshot { term, .. }
            | Self::Stand { term } => *term,
        }
    }

    fn kind(&self) -> &'static str {
        match self {
            Self::Append { entries, .. } if entries.is_empty() => "heartbeat",
            Self::Append { .. } => "append",
            Self::Appended { .. } => "ack",
            Self::Snapshot { .. } => "snapshot",
            Self::Vote { .. } | Self::Voted { .. } | Self::Stand { .. } => "vote",
        }
    }
}

/// A submission with all that is needed to run it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Spec {
    /// The job.
    pub job: id::JobId,
    /// Path of its service.
    pub service: name::Name,
    /// Team whose quota it counts against.
    pub team: Option<name::Name>,
    /// Time that is left for it, milliseconds from now; 0 takes the service's default.
    pub left_ms: u64,
    /// Whether tasks are safe to run again.
    pub idempotent: bool,
    /// What one task needs.
    pub needs: upstream::Needs,
    /// Payload of each task.
    pub tasks: Vec<bytes::Bytes>,
    /// Content type of the payloads.
    pub content: name::Name,
    /// Whether the answer is passed back as it is (a request, not a job).
    pub raw: bool,
    /// W3C trace context of the submission.
    pub trace: name::Name,
}

impl Spec {
    /// Digest of what makes two submissions the same.
    pub fn digest(&self) -> table::Digest {
        let parts = (&self.service, &self.team, &self.needs, &self.tasks, self.idempotent);
        let bytes = postcard::to_stdvec(&parts).unwrap_or_default();
        state::id::digest(&bytes)
    }
}

/// One task's answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// Body as the upstream sent it.
    pub body: bytes::Bytes,
    /// Its content type.
    pub content: name::Name,
}

/// Why a job was refused before anything started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Refusal {
    /// Malformed or beyond a limit that no retry changes.
    Malformed,
    /// The same id with other content.
    Conflict,
    /// The service was never set.
    NoService,
    /// No upstream could ever hold such a task.
    Impossible,
    /// The team is at its quota.
    Quota,
    /// The queue is full, or the deadline cannot be met.
    Overload,
    /// No upstream is serving.
    NoUpstream,
    /// The instance is shutting down.
    Draining,
    /// The submission is too large.
    TooLarge,
    /// It was not started in time.
    Expired,
    /// No such job was ever submitted.
    NoJob,
}

impl Refusal {
    /// Short name, for counting.
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

/// The final word on one attempt of a submission.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Verdict {
    /// One answer per task, in task order.
    Complete(Vec<Answer>),
    /// Final; some tasks may have run.
    Failed {
        /// The reason.
        why: String,
        /// Whether the deadline was the reason.
        late: bool,
    },
    /// No task started.
    NotRun {
        /// The kind of refusal.
        kind: Refusal,
        /// The reason.
        why: String,
        /// When to come back, in milliseconds; 0 = it would not help.
        retry_ms: u64,
    },
    /// This instance cannot tell.
    Unknown {
        /// The reason.
        why: String,
    },
    /// Not ended yet.
    Running,
}

impl Verdict {
    /// A refusal.
    pub fn refuse(kind: Refusal, why: impl Into<String>, retry_ms: u64) -> Self {
        Self::NotRun { kind, why: why.into(), retry_ms }
    }

    /// A failure that is not about the deadline.
    pub fn failed(why: impl Into<String>) -> Self {
        Self::Failed { why: why.into(), late: false }
    }

    /// "Cannot tell."
    pub fn unknown(why: impl Into<String>) -> Self {
        Self::Unknown { why: why.into() }
    }
}

/// Jobs and answers between instances.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Job {
    /// Submit this in your zone and answer with [`Self::Verdict`] to `call`.
    Forward {
        /// Number of the call, chosen by the sender.
        call: u64,
        /// The submission.
        spec: Spec,
    },
    /// Start the tasks of this admitted job of another zone on your own upstreams, once.
    Execute {
        /// Number of the call.
        call: u64,
        /// The job.
        spec: Spec,
    },
    /// Tell `call` how the job ended, once it has.
    Await {
        /// Number of the call.
        call: u64,
        /// The job.
        job: id::JobId,
        /// Whether to wait for the end, or to say `Running`.
        wait: bool,
    },
    /// Tell `call` the answers of this job, which is complete, if you keep them.
    Fetch {
        /// Number of the call.
        call: u64,
        /// The job.
        job: id::JobId,
    },
    /// Cancel the job and tell `call` whether it is known.
    Cancel {
        /// Number of the call.
        call: u64,
        /// The job.
        job: id::JobId,
    },
    /// Answer to a call.
    Verdict {
        /// Number of the call.
        call: u64,
        /// The answer.
        verdict: Verdict,
    },
    /// Keep this answer for resubmissions.
    Copy {
        /// The job.
        job: id::JobId,
        /// Its answers.
        answers: Vec<Answer>,
    },
    /// The copy is kept.
    Copied {
        /// The job.
        job: id::JobId,
    },
    /// The sender shuts down; it is not to be let in again.
    Leaving {
        /// Its incarnation.
        life: u64,
    },
}

/// News of the upstream table.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Table {
    /// Announcements, each with what is left of its lease in milliseconds.
    Changed(Vec<(upstream::Upstream, u64)>),
    /// Renewed leases: digest of the name, stamp, what is left in milliseconds.
    Renewed(Vec<(u32, u64, u32)>),
    /// Send me the whole table.
    Ask,
    /// Send me the settings as you have them.
    AskSettings,
    /// The settings as the sender has them, encoded.
    Settings(bytes::Bytes),
}

/// Lending of slots between the instances of a zone.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Loan {
    /// Lend me up to `count` slots of this service.
    Ask {
        /// Path of the service.
        service: name::Name,
        /// Slots wanted.
        count: u32,
        /// Number of the question; the grant repeats it.
        number: u64,
        /// Slots of the service that the sender holds from the receiver. What the receiver has
        /// lent beyond that was lost on the way.
        held: u32,
    },
    /// Slots lent, by upstream.
    Grant {
        /// Path of the service.
        service: name::Name,
        /// Number of the question. A late grant is sent back.
        number: u64,
        /// Upstream and number of its slots.
        slots: Vec<(name::Name, u32)>,
    },
    /// Slots given back, by upstream.
    Return {
        /// Upstream and number of its slots.
        slots: Vec<(name::Name, u32)>,
    },
}
