//! W3C trace context (<https://www.w3.org/TR/trace-context/>), version 00.

use std::{fmt, str};

/// The ids of a span and its trace, and whether the trace is sampled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Context {
    trace: u128,
    span: u64,
    sampled: bool,
}

impl Context {
    /// Starts a new trace and returns the context of its root span.
    pub fn new() -> Self {
        Self { trace: rand::random::<u128>() | 1, span: rand::random::<u64>() | 1, sampled: true }
    }

    /// Returns the context of a new child span.
    #[must_use]
    pub fn child(&self) -> Self {
        Self { span: rand::random::<u64>() | 1, ..*self }
    }

    /// Returns the trace id.
    pub fn trace(&self) -> u128 {
        self.trace
    }

    /// Returns the span id.
    pub fn span(&self) -> u64 {
        self.span
    }

    /// Returns whether the trace is sampled.
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

/// The error for a malformed `traceparent` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("malformed traceparent")
    }
}

impl std::error::Error for Malformed {}

impl str::FromStr for Context {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let hex = |part: &str, length: usize| {
            let is_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
            part.len() == length && part.bytes().all(is_hex)
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
