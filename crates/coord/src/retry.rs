//! Retry budgets: retries are limited to a share of successes, so that they cannot amplify an
//! outage.

/// Retries that a service may make before its first success.
const INITIAL_TOKENS: f64 = 3.0;
/// Maximum number of retries that a budget accumulates.
const MAX_TOKENS: f64 = 20.0;

/// The retry budget of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: INITIAL_TOKENS }
    }
}

impl Budget {
    /// Adds `share` of a retry for one success.
    pub fn earn(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(MAX_TOKENS);
    }

    /// Consumes one retry; returns false if none is left.
    pub fn spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
