//! Provides the adaptive token limit of a target.

use crate::permit::Usage;

/// The multiple of the target's best time per token above which the limit is
/// reduced. Batching alone accounts for a factor of up to about two.
const SLOWDOWN_TOLERANCE: f64 = 2.5;

/// The factor by which the best time per token grows with each sample, so that
/// a target that has become permanently slower gets its limit back.
const BEST_GROWTH: f64 = 1.02;

/// The factor by which the limit is reduced.
const SHRINK_FACTOR: f64 = 0.8;

/// The increase of the limit with each good sample: a fraction of the limit, as
/// a divisor, plus a number of tokens.
const GROWTH_DIVISOR: u64 = 8;
const GROWTH_TOKENS: u64 = 16;

/// The minimum limit as a fraction of the configured one, as a divisor.
const FLOOR_DIVISOR: u64 = 16;

/// The number of output tokens above which a response gives a time per token.
const MIN_OUTPUT_TOKENS: u32 = 4;

/// The maximum number of tokens of a plain call, for which the whole run time
/// is used.
const MAX_CALL_TOKENS: u64 = 8;

/// A `TokenLimit` is the number of tokens that a target may hold, adapted by
/// comparing its time per token with its own best.
#[derive(Debug)]
pub struct TokenLimit {
    ceiling: u64,
    tokens: u64,
    best_token_ms: Option<f64>,
}

impl TokenLimit {
    /// Create the limit of a target with a configured limit of `ceiling`.
    pub fn new(ceiling: u32) -> Self {
        TokenLimit {
            ceiling: u64::from(ceiling),
            tokens: u64::from(ceiling),
            best_token_ms: None,
        }
    }

    /// Get the limit in tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Reduce the limit to the tokens that the target held when it reported
    /// itself full.
    pub fn lower_to(&mut self, tokens: u64) {
        self.tokens = self.tokens.min(tokens).max(1);
    }

    /// Adapt the limit to the usage of a completed request.
    pub fn adapt(&mut self, usage: &Usage, done: u64) {
        let Some(token_ms) = token_ms_of(usage, done) else {
            return;
        };
        let best = match self.best_token_ms {
            Some(best) => (best * BEST_GROWTH).min(token_ms),
            None => token_ms,
        };
        self.best_token_ms = Some(best);
        if token_ms > best * SLOWDOWN_TOLERANCE {
            self.shrink();
            return;
        }
        let step = self.tokens / GROWTH_DIVISOR + GROWTH_TOKENS;
        self.tokens = (self.tokens + step).min(self.ceiling);
    }

    fn shrink(&mut self) {
        let lower = (self.tokens as f64 * SHRINK_FACTOR) as u64;
        let floor = self.ceiling / FLOOR_DIVISOR;
        self.tokens = lower.max(floor.min(self.tokens));
    }
}

/// Get the milliseconds per output token; `None` if the response gives no valid
/// sample.
///
/// A response of a few tokens to a long prompt consists mostly of prompt
/// processing, which takes much less time per token. Counted as a sample it
/// would become the best time, ordinary responses would look slow, and the
/// limit of a healthy target would fall to its minimum.
fn token_ms_of(usage: &Usage, done: u64) -> Option<f64> {
    let decoding = usage.elapsed_ms.saturating_sub(usage.first_token_ms);
    if usage.decode > MIN_OUTPUT_TOKENS && decoding > 0 {
        return Some(f64::from(decoding) / f64::from(usage.decode - 1));
    }
    match done <= MAX_CALL_TOKENS {
        true => Some(f64::from(usage.elapsed_ms) / done.max(1) as f64),
        false => None,
    }
}
