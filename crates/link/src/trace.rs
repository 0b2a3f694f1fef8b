//! W3C trace context (<https://www.w3.org/TR/trace-context/>), version 00.

use std::{fmt, str};

/// A span's place in its trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Context {
    trace: u128,
    span: u64,
    sampled: bool,
}

impl Context {
    /// The root of a new trace.
    pub fn new() -> Self {
        Self { trace: rand::random::<u128>() | 1, span: rand::random::<u64>() | 1, sampled: true }
    }

    /// A new span below this one.
    #[must_use]
    pub fn child(&self) -> Self {
        Self { span: rand::random::<u64>() | 1, ..*self }
    }

    /// The trace.
    pub fn trace(&self) -> u128 {
        self.trace
    }

    /// The span.
    pub fn span(&self) -> u64 {
        self.span
    }

    /// Whether the trace is recorded.
    pub fn is_sampled(&self) -> bool {
        self.sampled
    }
}

impl Default for Context {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Display for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "00-{:032x}-{:016x}-{:02x}", self.trace, self.span, u8::from(self.sampled))
    }
}

/// The text is no `traceparent`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a traceparent")
    }
}

impl std::error::Error for Malformed {}

impl str::FromStr for Context {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let hex = |part: &str, length: usize| {
            let plain = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
            part.len() == length && part.bytes().all(plain)
        };
        let mut parts = text.trim().split('-');
        let mut next = |length| parts.next().filter(|part| hex(part, length)).ok_or(Malformed);
        let (version, trace, span, flags) = (next(2)?, next(32)?, next(16)?, next(2)?);
        if version == "ff" || (version == "00" && parts.next().is_some()) {
            return Err(Malformed);
        }
        let trace = u128::from_str_radix(trace, 16).ok().ok_or(Malformed)?;
        let span = u64::from_str_radix(span, 16).ok().ok_or(Malformed)?;
        let flags = u8::from_str_radix(flags, 16).ok().ok_or(Malformed)?;
        if trace == 0 || span == 0 {
            return Err(Malformed);
        }
        Ok(Self { trace, span, sampled: flags & 1 == 1 })
    }
}
