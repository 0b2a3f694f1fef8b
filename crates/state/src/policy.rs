//! Which ways of deciding about jobs are in use.
//!
//! Each can be switched off in the bootstrap file, to see what it is worth under one's own load. All
//! are in use by default.

/// Ways of deciding, by the name that the bootstrap file has for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "independent choices, not states of one thing")]
pub struct Policy {
    /// Tasks for which one zone has no room are offered to the next.
    pub sharing: bool,
    /// The shortest jobs go first while more waits than there is room for.
    pub shortest_first: bool,
    /// What is late already is refused while more waits than all upstreams hold.
    pub refuse_late: bool,
    /// What can't be of use any more is refused.
    pub refuse_hopeless: bool,
    /// A job that would wait behind too much is refused when it arrives.
    pub refuse_overload: bool,
    /// Upstreams that fail what they start are ejected, and those that failed lately come last.
    pub eject: bool,
    /// Tasks that make no progress are stopped and started elsewhere.
    pub stop_hung: bool,
    /// Upstreams that work slowly get nothing that would be late there.
    pub avoid_slow: bool,
    /// Tasks go where they leave the least room over.
    pub tight_fit: bool,
}

/// A choice, by its name.
pub type Choice = (&'static str, fn(&mut Policy) -> &mut bool);

impl Policy {
    /// All choices.
    pub const CHOICES: &[Choice] = &[
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
