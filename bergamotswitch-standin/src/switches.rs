//! Provides the switches by which a test makes a stand-in misbehave.

use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The least factor of `slow`; 0 would make an engine spin.
const MIN_SLOW_FACTOR: f64 = 0.01;
/// The greatest factor of `slow`; a duration must not overflow.
const MAX_SLOW_FACTOR: f64 = 1e6;

/// A `SilenceMode` says which connections are neither read nor written
/// while they stay open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SilenceMode {
    /// None; silenced ones go on.
    #[default]
    Off,
    /// Those open when the switch is set; new ones work.
    Open,
    /// All, also new ones.
    All,
}

/// A `TargetSwitches` is how an engine or plain service misbehaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetSwitches {
    /// Factor on step time, prefill time and delay.
    pub slow: f64,
    /// Connections that go silent.
    pub silent: SilenceMode,
    /// Cut a connection once its answer has sent this many events; a plain
    /// service cuts in the middle of the body. 0 also cuts all connections
    /// that are open when the switch is set.
    pub drop: Option<u32>,
    /// Answer with another request's id and text.
    pub crossed: bool,
    /// End answers early, without the terminator.
    pub truncate: bool,
    /// Refuse with this status (429 or 503). Where the contract does not say
    /// that a refusal means not run, the ledger counts a broken run.
    pub refuse: Option<u16>,
    /// Answer 500 to submissions, after the run has begun and broken.
    pub error: bool,
    /// Close the listener: connects are refused, open connections stay.
    pub reject: bool,
    /// How long a plain service takes, in milliseconds.
    pub delay_ms: u64,
    /// How old an engine's load report is, in milliseconds.
    pub load_lag_ms: u64,
    /// How late an engine's cache events are, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// The percentage of cache events that are lost.
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
    /// Get how long something takes that would take `duration`.
    pub(crate) fn scaled(&self, duration: Duration) -> Duration {
        duration.mul_f64(self.slow.clamp(MIN_SLOW_FACTOR, MAX_SLOW_FACTOR))
    }
}

/// An `OutageMode` says how a service of the platform is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageMode {
    /// It is up.
    #[default]
    Off,
    /// It answers 503.
    Unavailable,
    /// It refuses connects and cuts the open connections.
    Refused,
}

/// A `ValueSwitches` is how the configuration service or the host list
/// misbehaves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ValueSwitches {
    /// Whether it is down.
    pub outage: OutageMode,
    /// Connections that go silent.
    pub silent: SilenceMode,
    /// The highest revision that a stale replica knows of any value.
    pub stale: Option<u64>,
    /// Alternate between a stale and a fresh replica from call to call. Without
    /// `stale` the stale one is a revision behind.
    pub flapping: bool,
    /// How long each answer takes, in milliseconds.
    pub latency_ms: u64,
    /// How long after its publication a value shows, in milliseconds.
    pub lag_ms: u64,
}

/// Get `switches` with the members of `changes` replaced.
///
/// # Errors
///
/// Returns what `serde_json` says of an unknown member or a wrong type.
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
