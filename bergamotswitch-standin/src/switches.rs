//! Provides the fault switches of stand-ins.

use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The minimum of `slow`; an engine with 0 would step in a busy loop.
const MIN_SLOW_FACTOR: f64 = 0.01;
/// The maximum of `slow`; a greater factor could overflow durations.
const MAX_SLOW_FACTOR: f64 = 1e6;

/// A `SilenceMode` is the set of connections that stay open but are neither read
/// nor written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SilenceMode {
    /// No connections; reading and writing resume.
    #[default]
    Off,
    /// The connections that are open when the switch is set; new ones work.
    Open,
    /// All connections, including new ones.
    All,
}

/// A `TargetSwitches` is the set of faults injected into an engine or plain
/// service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetSwitches {
    /// The factor applied to the step, prefill and response times.
    pub slow: f64,
    /// The connections that become unresponsive.
    pub silent: SilenceMode,
    /// The number of events after which the connection of a stream is closed. A
    /// plain service closes it in the middle of the body. Setting 0 also closes
    /// all open connections.
    pub drop: Option<u32>,
    /// Whether responses carry the id and text of another request.
    pub crossed: bool,
    /// Whether responses end early: a stream after half of its tokens and
    /// without its terminator, a plain response in the middle of the body.
    pub truncate: bool,
    /// The status (429 or 503) with which requests are refused. Unless the
    /// contract has `refusal_means_not_run`, the ledger records a broken run.
    pub refuse: Option<u16>,
    /// Whether submissions are answered with 500 and recorded as broken runs.
    pub error: bool,
    /// Whether the listener is closed: new connections are refused, open ones
    /// stay.
    pub reject: bool,
    /// The response time of a plain service, in milliseconds.
    pub delay_ms: u64,
    /// The age of an engine's load report, in milliseconds.
    pub load_lag_ms: u64,
    /// The delay of an engine's cache events, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// The percentage of an engine's cache events that are dropped.
    pub cache_event_gaps: u8,
}

impl Default for TargetSwitches {
    fn default() -> Self {
        TargetSwitches {
            slow: 1.0,
            silent: SilenceMode::Off,
            drop: None,
            crossed: false,
            truncate: false,
            refuse: None,
            error: false,
            reject: false,
            delay_ms: 2,
            load_lag_ms: 100,
            cache_event_lag_ms: 100,
            cache_event_gaps: 10,
        }
    }
}

impl TargetSwitches {
    /// Multiply a duration by the factor `slow`, limited to the allowed range.
    pub(crate) fn scaled(&self, duration: Duration) -> Duration {
        duration.mul_f64(self.slow.clamp(MIN_SLOW_FACTOR, MAX_SLOW_FACTOR))
    }
}

/// An `OutageMode` is the kind of outage of the configuration service or the host
/// list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageMode {
    /// The service is available.
    #[default]
    Off,
    /// Requests are answered with 503.
    Unavailable,
    /// New connections are refused and the open ones are closed.
    Refused,
}

/// A `ValueSwitches` is the set of faults injected into the configuration service
/// or the host list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ValueSwitches {
    /// The outage of the service.
    pub outage: OutageMode,
    /// The connections that become unresponsive.
    pub silent: SilenceMode,
    /// The highest revision that the stale replica returns for any value.
    pub stale: Option<u64>,
    /// Whether calls alternate between a stale and an up-to-date replica. Unless
    /// `stale` is set, the stale replica is one revision behind.
    pub flapping: bool,
    /// The latency of each response, in milliseconds.
    pub latency_ms: u64,
    /// The delay until a published value becomes visible, in milliseconds.
    pub lag_ms: u64,
}

/// Get a copy of `switches` with the members of `changes` replaced.
///
/// # Errors
///
/// Returns an error if `changes` has an unknown member or a value of a wrong type.
pub(crate) fn merge<T>(switches: &T, changes: &Value) -> Result<T, serde_json::Error>
where
    T: Serialize + DeserializeOwned,
{
    let mut merged = serde_json::to_value(switches)?;
    let (Value::Object(members), Value::Object(changes)) = (&mut merged, changes) else {
        return serde_json::from_value(changes.clone());
    };
    for (name, value) in changes {
        members.insert(name.clone(), value.clone());
    }
    serde_json::from_value(merged)
}
