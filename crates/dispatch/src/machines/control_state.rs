//! The replicated state of the control log, and the changes that the log holds.

use coord::group;
use state::name;

use crate::messages::{compression, evacuation, message::Document};

/// A change of the replicated state, as stored in the log.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub(crate) enum Change {
    Publish(Document),
    /// Format from versions in which an order for the present state left the revision as it was.
    Evacuate(evacuation::Order),
    EvacuateOnBase(evacuation::Order),
}

impl Change {
    /// What the change asks for, for display.
    pub(crate) fn describe(&self) -> String {
        match self {
            Self::Publish(document) => format!("version {}", document.version),
            Self::Evacuate(order) | Self::EvacuateOnBase(order) => {
                format!("zone {}, evacuated: {}", order.zone, order.evacuated)
            }
        }
    }
}

#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct Command {
    pub(crate) change: Change,
    pub(crate) origin: u64,
}

/// Format of a log entry from versions without evacuations.
#[derive(serde::Deserialize)]
struct LegacyCommand {
    origin: u64,
    document: Document,
}

impl Command {
    fn decode(bytes: &[u8]) -> Option<Self> {
        // An origin is far larger than any variant index of `Change`, so neither format is decoded
        // as the other.
        postcard::from_bytes(bytes).ok().or_else(|| {
            let LegacyCommand { origin, document } = postcard::from_bytes(bytes).ok()?;
            Some(Self { change: Change::Publish(document), origin })
        })
    }
}

/// The result of an order that was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    pub(crate) origin: u64,
    pub(crate) outcome: Outcome,
    /// The zone of an evacuation order that took effect.
    pub(crate) ordered: Option<name::Name>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    InForce,
    /// Another configuration has the same version.
    Conflict,
    /// The state has changed since the order was proposed.
    Stale,
}

impl From<evacuation::Outcome> for Outcome {
    fn from(outcome: evacuation::Outcome) -> Self {
        match outcome {
            evacuation::Outcome::InForce => Self::InForce,
            evacuation::Outcome::Stale => Self::Stale,
        }
    }
}

/// The replicated state.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct State {
    pub(crate) document: Document,
    pub(crate) evacuations: evacuation::Evacuations,
}

/// The state machine that applies the log to the replicated state.
#[derive(Debug, Default)]
pub struct Machine {
    pub(crate) state: State,
}

impl Machine {
    /// Whether `document` can be acknowledged without a change, as it is older than the held one or
    /// has the same text; `None` if it is newer than the held one.
    pub(crate) fn precheck(&self, document: &Document) -> Option<bool> {
        let held = &self.state.document;
        if document.version > held.version {
            return None;
        }
        let older = document.version < held.version;
        Some(older || is_same(&document.body, &held.body))
    }

    fn publish(&mut self, document: Document) -> Outcome {
        match self.precheck(&document) {
            Some(true) => Outcome::InForce,
            Some(false) => Outcome::Conflict,
            None => {
                self.state.document = document;
                Outcome::InForce
            }
        }
    }
}

impl group::Machine for Machine {
    type Effect = Applied;

    fn apply(&mut self, command: &[u8]) -> Vec<Applied> {
        let Some(Command { change, origin }) = Command::decode(command) else {
            return Vec::new();
        };
        let revision = self.state.evacuations.revision;
        let evacuations = &mut self.state.evacuations;
        let (outcome, zone) = match change {
            Change::Publish(document) => (self.publish(document), None),
            Change::Evacuate(order) => (evacuations.apply(&order).into(), Some(order.zone)),
            Change::EvacuateOnBase(order) => {
                (evacuations.apply_on_base(&order).into(), Some(order.zone))
            }
        };
        let ordered = zone.filter(|_| self.state.evacuations.revision > revision);
        vec![Applied { origin, outcome, ordered }]
    }

    fn snapshot(&self) -> bytes::Bytes {
        coord::machine::encode(&self.state)
    }

    fn restore(&mut self, state: &[u8]) {
        // Snapshots of versions without evacuations hold only the configuration.
        let legacy = || State {
            document: postcard::from_bytes(state).unwrap_or_default(),
            ..State::default()
        };
        let state = postcard::from_bytes(state).unwrap_or_else(|_| legacy());
        let key = |state: &State| (state.document.version, state.evacuations.revision);
        if key(&state) >= key(&self.state) {
            self.state = state;
        }
    }

    fn reset(&mut self) {}
}

/// Whether two compressed texts are the same. Another version of this program may compress the same
/// text to other bytes.
fn is_same(one: &bytes::Bytes, other: &bytes::Bytes) -> bool {
    one == other
        || matches!((compression::decompress(one), compression::decompress(other)), (Ok(a), Ok(b)) if a == b)
}
