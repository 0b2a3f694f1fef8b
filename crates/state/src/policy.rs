//! Scheduling features that can be disabled.
//!
//! All features are enabled by default. An operator can disable each one in the bootstrap file to
//! see its effect under the operator's own load.

/// Scheduling features. Each field has the name of its key in the bootstrap file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "independent choices, not states of one thing")]
pub struct Policy {
    /// Offers tasks to the next zone if a zone has no capacity for them.
    pub sharing: bool,
    /// Starts the shortest jobs first while more tasks wait than there is capacity for.
    pub shortest_first: bool,
    /// Rejects jobs that are already late while more tasks wait than all upstreams can hold.
    pub refuse_late: bool,
    /// Rejects jobs whose result can no longer be useful.
    pub refuse_hopeless: bool,
    /// Rejects a job on arrival if the queue ahead of it is too long.
    pub refuse_overload: bool,
    /// Ejects upstreams whose tasks fail, and ranks upstreams with recent failures last.
    pub eject: bool,
    /// Stops tasks that make no progress and restarts them on another upstream.
    pub stop_hung: bool,
    /// Gives slow upstreams no tasks that would be late there.
    pub avoid_slow: bool,
    /// Places tasks by best fit: on the upstream that has the least capacity left afterwards.
    pub tight_fit: bool,
}

/// Key of a feature in the bootstrap file, and an accessor of its field.
pub type Switch = (&'static str, fn(&mut Policy) -> &mut bool);

impl Policy {
    /// All features.
    pub const SWITCHES: &[Switch] = &[
        ("sharing", |policy| &mut policy.sharing),
        ("shortest_first", |policy| &mut policy.shortest_first),
        ("refuse_late", |policy| &mut policy.refuse_late),
        ("refuse_hopeless", |policy| &mut policy.refuse_hopeless),
        ("refuse_overload", |policy| &mut policy.refuse_overload),
        ("eject", |policy| &mut policy.eject),
        ("stop_hung", |policy| &mut policy.stop_hung),
        ("avoid_slow", |policy| &mut policy.avoid_slow),
        ("tight_fit", |policy| &mut policy.tight_fit),
    ];
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            sharing: true,
            shortest_first: true,
            refuse_late: true,
            refuse_hopeless: true,
            refuse_overload: true,
            eject: true,
            stop_hung: true,
            avoid_slow: true,
            tight_fit: true,
        }
    }
}
