//! Provides the options of a revision replica.

use std::time::Duration;

use crate::publication::FleetLimits;

use super::{
    ACCOUNTS_VALUE, DOMAINS_VALUE, HOSTS_VALUE, LIMITS_VALUE, POOLS_VALUE, RULES_VALUE, ValueName,
    value_name,
};

/// The number of readers in each failure domain; two, so that the failure of one
/// reader does not delay changes.
const READERS_PER_DOMAIN: usize = 2;

/// The factor by which the number of hosts grows with each hop from the readers.
/// At eight, 48 hosts of a domain are at most three hops from its readers, and
/// no host serves more than sixteen others.
const RELAY_FANOUT: usize = 8;

/// The default interval between two polls of a relay. It is well below the nine
/// seconds within which a change has to be in force.
const KEEPALIVE: Duration = Duration::from_secs(2);

/// The default time without an answer after which a relay counts as silent.
const SILENT_AFTER: Duration = Duration::from_secs(5);

/// The default time for which a host without a relay waits before it reads the
/// service itself.
const READ_FALLBACK: Duration = Duration::from_secs(2);

/// The default maximum delay between failed reads, so that a recovered service
/// is read within the nine seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(6);

/// The default minimum delay between failed reads.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// The default burst of the read budget, enough for a starting host to read and
/// then watch each value.
const READ_BURST: u32 = 12;

const MINUTE: Duration = Duration::from_secs(60);

/// The default time after which a call without an answer counts as lost. It is
/// longer than any watch waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(90);

/// The default number of earlier revisions kept, as bases of patches for peers
/// that are a few revisions behind.
const KEPT_BASES: usize = 4;

/// A `CarriedValue` is a value without calls of its own: the calls for another value
/// return both.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CarriedValue {
    /// The value.
    pub value: ValueName,
    /// The value whose calls return it.
    pub carrier: ValueName,
}

/// A `RevisionOptions` is the set of timeouts and limits of a revision replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RevisionOptions {
    pub(super) values: Vec<ValueName>,
    pub(super) carried: Option<CarriedValue>,
    pub(super) readers_per_domain: usize,
    pub(super) relay_fanout: usize,
    pub(super) keepalive: Duration,
    pub(super) silent_after: Duration,
    pub(super) read_fallback: Duration,
    pub(super) min_backoff: Duration,
    pub(super) max_backoff: Duration,
    pub(super) read_interval: Duration,
    pub(super) read_burst: u32,
    pub(super) call_timeout: Duration,
    pub(super) kept_bases: usize,
    pub(super) confirm_interval: Option<Duration>,
}

impl Default for RevisionOptions {
    fn default() -> Self {
        let rate = ReadRate::of(FleetLimits::default().reads_per_minute);
        let names = [
            HOSTS_VALUE,
            DOMAINS_VALUE,
            POOLS_VALUE,
            ACCOUNTS_VALUE,
            LIMITS_VALUE,
            RULES_VALUE,
        ];
        let values = names.into_iter().map(value_name).collect();
        RevisionOptions {
            values,
            carried: None,
            readers_per_domain: READERS_PER_DOMAIN,
            relay_fanout: RELAY_FANOUT,
            keepalive: KEEPALIVE,
            silent_after: SILENT_AFTER,
            read_fallback: READ_FALLBACK,
            min_backoff: MIN_BACKOFF,
            max_backoff: MAX_BACKOFF,
            read_interval: rate.interval,
            read_burst: rate.burst,
            call_timeout: CALL_TIMEOUT,
            kept_bases: KEPT_BASES,
            confirm_interval: None,
        }
    }
}

/// A `ReadRate` is a token bucket rate derived from a limit of calls in any
/// minute.
struct ReadRate {
    interval: Duration,
    burst: u32,
}

impl ReadRate {
    /// Get the rate that stays within `reads` in any minute: the burst is
    /// subtracted from the refill of the same minute.
    fn of(reads: u64) -> Self {
        let reads = u32::try_from(reads).unwrap_or(u32::MAX).max(1);
        let burst = (reads / 2).clamp(1, READ_BURST);
        ReadRate {
            interval: MINUTE / (reads - burst).max(1),
            burst,
        }
    }
}

impl RevisionOptions {
    /// Set the values to follow.
    pub fn with_values(mut self, values: Vec<ValueName>) -> Self {
        self.values = values;
        self
    }

    /// Set the value that the calls for another value return as well.
    pub fn with_carried(mut self, carried: CarriedValue) -> Self {
        self.carried = Some(carried);
        self
    }

    /// Get the number of values that are followed.
    pub fn value_count(&self) -> usize {
        self.values.len()
    }

    /// Set the number of readers in each failure domain.
    pub fn with_readers_per_domain(mut self, count: usize) -> Self {
        self.readers_per_domain = count.max(1);
        self
    }

    /// Set the number of hosts that one relay serves.
    pub fn with_relay_fanout(mut self, count: usize) -> Self {
        self.relay_fanout = count.max(1);
        self
    }

    /// Set the interval at which relays are polled, and the time without an
    /// answer after which a relay is silent.
    pub fn with_keepalive(mut self, keepalive: Duration, silent_after: Duration) -> Self {
        self.keepalive = keepalive;
        self.silent_after = silent_after;
        self
    }

    /// Set how long a host without a relay waits, and a starting host waits for
    /// peers, before it reads the service itself. Jitter of up to the same
    /// length is added.
    pub fn with_read_fallback(mut self, span: Duration) -> Self {
        self.read_fallback = span;
        self
    }

    /// Set the shortest and the longest backoff after a failed read, before
    /// jitter.
    pub fn with_backoff(mut self, shortest: Duration, longest: Duration) -> Self {
        self.min_backoff = shortest;
        self.max_backoff = longest;
        self
    }

    /// Set the read budget: one read per `interval`, with bursts of `burst`.
    pub fn with_read_budget(mut self, interval: Duration, burst: u32) -> Self {
        self.read_interval = interval;
        self.read_burst = burst.max(1);
        self
    }

    /// Set the interval at which relays are queried for how long ago their
    /// revisions were known to be the newest. By default they are not queried.
    pub fn with_confirm_interval(mut self, span: Duration) -> Self {
        self.confirm_interval = Some(span);
        self
    }

    /// Set the read budget from the published limits.
    pub fn with_limits(self, limits: &FleetLimits) -> Self {
        let rate = ReadRate::of(limits.reads_per_minute);
        self.with_read_budget(rate.interval, rate.burst)
    }

    /// Set the number of earlier revisions kept as bases of patches.
    pub fn with_kept_bases(mut self, count: usize) -> Self {
        self.kept_bases = count;
        self
    }
}
