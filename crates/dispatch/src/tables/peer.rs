//! State of another instance as this one knows it, and the age of that state.

use state::name;

use crate::{
    messages::{member, message, time},
    tables::redial,
};

/// An instance counts as lost after it was silent for this long, in microseconds. It has to be well
/// below the time after which a client submits a job again (1,300 ms), less the lease duration.
pub const SILENCE_TIMEOUT: u64 = 500 * time::MS;
/// An instance is forgotten after it was silent for this long, in microseconds: longer than any
/// outage after which the instance comes back at the same address.
pub(crate) const FORGET_AFTER: u64 = 30_000 * time::MS;

/// State of another instance, as this one knows it.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// Its identity, as it reported it.
    pub card: Option<member::Card>,
    /// Its last heartbeat.
    pub ping: Option<message::Ping>,
    pub(crate) heartbeat_at: u64,
    pub(crate) direct_at: u64,
    pub(crate) echo_at: u64,
    /// When the list of instances was last sent to it.
    pub(crate) synced: Option<u64>,
    /// When the list of upstreams was last sent to it.
    pub(crate) listed: Option<u64>,
    pub(crate) since: u64,
    /// When this instance read its last heartbeat.
    pub(crate) read: u64,
    pub(crate) clock_bound: Option<ClockBound>,
    /// Start of the current unbroken period of direct heartbeats from it.
    pub(crate) direct_since: u64,
    /// Time of its own clock in the first heartbeat of its incarnation, microseconds.
    pub(crate) first_clock: u64,
    /// When its heartbeat last said that it watches this instance.
    pub(crate) watched_at: u64,
    /// Start of the current unbroken period of heartbeats to it.
    pub(crate) sending_since: Option<u64>,
    /// Whether these heartbeats only answer its own.
    pub(crate) answers: bool,
    /// Whether one of the two instances watches the other by the rules of the watch list.
    pub(crate) is_linked: bool,
    /// The instance that last relayed a message of it, while no direct ones came, and when.
    pub(crate) last_relay: Option<(name::Name, u64)>,
    pub(crate) stream: redial::Stream,
}

/// Upper bound of how far the clock of another instance is ahead of this one's, in microseconds.
/// The other instance read a heartbeat of this one at some time of its own clock, and this one sent
/// it before that. The bound holds however late messages are; a delay only makes it wider.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockBound {
    offset: i64,
    at: u64,
}

impl Peer {
    /// When the last answer came on the stream to it, if answers are expected.
    pub(crate) fn last_answer(&self, now: u64) -> Option<u64> {
        // An instance that no longer watches this one sends no heartbeats, either.
        let recent = if self.answers { SILENCE_TIMEOUT } else { FORGET_AFTER };
        let spoke = self.direct_at > 0 && now < self.direct_at + recent;
        let due = self.sending_since.filter(|_| spoke)?;
        Some(self.echo_at.max(due).max(self.since))
    }

    pub(crate) fn is_direct(&self, now: u64) -> bool {
        self.direct_at > 0
            && now < self.direct_at + SILENCE_TIMEOUT
            && now < self.echo_at + SILENCE_TIMEOUT
    }

    pub(crate) fn is_alive(&self, now: u64) -> bool {
        let relayed =
            self.heartbeat_at > self.direct_at && now < self.heartbeat_at + SILENCE_TIMEOUT;
        self.is_direct(now) || relayed
    }

    /// Bounds its clock by a heartbeat of this instance that it has read, and by the time that its
    /// own clock shows.
    pub(crate) fn update_bound(
        &mut self,
        proof: Option<&message::HeartbeatAck>,
        clock: u64,
        now: u64,
    ) {
        // Its clock is beyond the bound: this instance's clock was stopped without being noticed.
        if self.clock_bound.is_some_and(|bound| clock > bound.clock(now)) {
            self.clock_bound = None;
        }
        let Some(ack) = proof else { return };
        let bound = ClockBound { offset: ack.at as i64 - ack.clock as i64, at: ack.clock };
        let tighter = self.clock_bound.is_none_or(|held| bound.clock(now) < held.clock(now));
        if tighter && clock <= bound.clock(now) {
            self.clock_bound = Some(bound);
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.ping.as_ref().is_some_and(|ping| ping.draining)
    }
}

impl ClockBound {
    /// Returns the latest time that the other clock can show.
    pub(crate) fn clock(&self, now: u64) -> u64 {
        let elapsed = now.saturating_sub(self.at);
        (now + elapsed * time::MAX_DRIFT / 1_000).saturating_add_signed(self.offset)
    }
}
