//! Retry budgets: retries are a share of successes, so that they cannot multiply an outage.

/// Retries that a service may make before its first success.
const INITIAL: f64 = 3.0;
/// Most retries that are saved up.
const MOST: f64 = 20.0;

/// The retry budget of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: INITIAL }
    }
}

impl Budget {
    /// A success earns `share` of a retry.
    pub fn earn(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(MOST);
    }

    /// Takes one retry; false if there is none left.
    pub fn spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
