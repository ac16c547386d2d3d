//! Provides simulated callers, which draw submissions and record which host
//! incarnation holds each request.

use super::*;

/// A `Callers` is the state of all simulated callers.
#[derive(Debug, Default)]
pub struct Callers {
    /// The host incarnation that each caller was given as holder.
    holders: BTreeMap<CallerIdentity, HostIncarnation>,
    unkeyed: u64,
}

impl Callers {
    /// Record that a caller was given the incarnation that holds its request.
    pub fn record_holder(&mut self, identity: CallerIdentity, run: HostIncarnation) {
        self.holders.insert(identity, run);
    }

    /// Draw a submission. `b` selects the kind; `c` selects the account, the
    /// streaming and resubmission flags, and occasionally a different body; the key
    /// is made of the kind and `series`.
    pub fn draw(&mut self, b: u8, c: u8, series: u64) -> (CallerIdentity, Submission) {
        let kind = [0u8, 0, 1, 1, 2, 3, 4, 5][usize::from(b % 8)];
        let mut submission = submission();
        submission.verdict.dispatch_once = matches!(kind, 2 | 5);
        submission.verdict.idempotent = matches!(kind, 0..=2);
        submission.streaming = c & 32 != 0;
        submission.account = name(["crew", "clerk"][usize::from(c & 1)]);
        submission.fingerprint = u128::from(kind);
        if c.is_multiple_of(16) {
            submission.fingerprint += 100;
        }
        let identity = match kind {
            0 | 4 => {
                self.unkeyed += 1;
                CallerIdentity::Single(self.unkeyed)
            }
            _ => {
                let key: CallerKey = name(&format!("key-{kind}-{series}"));
                submission.key = Some(key.clone());
                CallerIdentity::Keyed(submission.account.clone(), key)
            }
        };
        match (c >> 1) % 4 {
            0 => submission.holder = self.holders.get(&identity).cloned(),
            1 => submission.resubmission = true,
            _ => {}
        }
        (identity, submission)
    }
}
