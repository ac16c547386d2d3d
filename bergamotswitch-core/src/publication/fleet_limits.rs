//! Provides the published limits: bounds and durations that apply on all hosts.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::json_node::{JsonNode, ReadJson, read_value};
use super::object_reader::ObjectReader;
use crate::error::Findings;
use crate::revision::LIMITS_VALUE;

/// The allowed lengths of the link key in bytes. Shorter keys are too easy to guess.
pub const LINK_KEY_LEN: std::ops::RangeInclusive<usize> = 16..=256;

/// A `LimitSpec` describes one limit: its name, default, range and unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSpec {
    /// The field's name, which ends with the unit if there is one.
    pub name: &'static str,
    /// The value if the field is absent.
    pub default: u64,
    /// The minimum value.
    pub min: u64,
    /// The maximum value.
    pub max: u64,
    /// The unit.
    pub unit: &'static str,
    /// A description of what the limit bounds.
    pub text: &'static str,
}

macro_rules! limits {
    ($($name:ident = $default:literal, $min:literal ..= $max:literal, $unit:literal, $text:literal;)*) => {
        /// A `FleetLimits` is the set of published bounds and durations.
        /// [`FleetLimits::TABLE`] lists their defaults and ranges.
        #[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(try_from = "Value")]
        pub struct FleetLimits {
            /// The shared secret with which entry hosts authenticate each
            /// other. While it is empty, hosts refuse links to peers.
            pub link_key: String,
            $(#[doc = $text] pub $name: u64,)*
        }

        impl FleetLimits {
            /// The descriptions of all limits except the link key.
            pub const TABLE: &'static [LimitSpec] = &[$(LimitSpec {
                name: stringify!($name),
                default: $default,
                min: $min,
                max: $max,
                unit: $unit,
                text: $text,
            },)*];
        }

        impl Default for FleetLimits {
            fn default() -> Self {
                FleetLimits {
                    link_key: String::new(),
                    $($name: $default,)*
                }
            }
        }

        impl fmt::Debug for FleetLimits {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.debug_struct("FleetLimits")
                    .field("link_key", &"..")
                    $(.field(stringify!($name), &self.$name))*
                    .finish()
            }
        }

        impl ReadJson for FleetLimits {
            fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
                let mut object = ObjectReader::open(node, findings)?;
                let link_key = object.or_default::<LinkKey>("link_key");
                $(let $name = object
                    .number(stringify!($name), &($min..=$max))
                    .map(|number| number.unwrap_or($default));)*
                object.finish();
                let limits = FleetLimits {
                    link_key: link_key?.0,
                    $($name: $name?,)*
                };
                limits.check_combinations(node, findings);
                Some(limits)
            }
        }
    };
}

limits! {
    max_body_bytes = 4_194_304, 1_024 ..= 67_108_864, "bytes",
        "The largest body of a caller's request.";
    address_lifetime_ms = 10_000, 1_000 ..= 300_000, "milliseconds",
        "How long a caller may keep an address answer. A planned stop lasts at least as long.";
    heartbeat_ms = 500, 50 ..= 10_000, "milliseconds",
        "The time between two heartbeats to a watched peer.";
    suspect_after_ms = 2_000, 200 ..= 60_000, "milliseconds",
        "The silence after which a peer counts as unreachable. At least twice heartbeat_ms.";
    reads_per_minute = 60, 1 ..= 600, "calls a minute",
        "The calls of one host to the configuration service; a waiting watch counts as one.";
    retry_budget_permille = 100, 0 ..= 1_000, "thousandths",
        "The retries of a pool for each thousand first attempts.";
    max_attempts = 3, 1 ..= 16, "attempts",
        "The attempts of one request, the first one included.";
    kept_answer_ms = 600_000, 1_000 ..= 3_600_000, "milliseconds",
        "How long an ended request's answer is kept for a resubmission.";
    kept_answers = 10_000, 1 ..= 100_000, "answers",
        "The answers of ended requests that one host keeps.";
    kept_answer_bytes = 67_108_864, 1_048_576 ..= 268_435_456, "bytes",
        "The memory of all answers that one host keeps.";
    max_answer_bytes = 8_388_608, 65_536 ..= 67_108_864, "bytes",
        "The largest answer of one request. At most kept_answer_bytes.";
    key_retention_ms = 900_000, 10_000 ..= 86_400_000, "milliseconds",
        "How long an owner remembers a key that must not run twice. At least kept_answer_ms.";
    kept_keys = 200_000, 1_000 ..= 1_000_000, "keys",
        "The keys that one owner remembers.";
    queue_limit_ms = 14_400_000, 1_000 ..= 86_400_000, "milliseconds",
        "The longest predicted time to drain a shard's queue; beyond it the lowest tier is shed.";
    queue_limit_requests = 50_000, 1 ..= 100_000, "requests",
        "The requests that wait in one shard's queue.";
    permit_lifetime_ms = 2_000, 50 ..= 30_000, "milliseconds",
        "How long after its arrival a permit may be used.";
    idle_probe_ms = 1_000, 100 ..= 120_000, "milliseconds",
        "The gap in a target's stream after which the target is asked whether it still runs.";
    probe_timeout_ms = 1_000, 50 ..= 30_000, "milliseconds",
        "How long the target's word may take.";
    connect_timeout_ms = 1_500, 50 ..= 30_000, "milliseconds",
        "How long a new connection to a target may take.";
    load_poll_ms = 500, 100 ..= 60_000, "milliseconds",
        "The time between two load reports that an owner reads from a target.";
    overload_permille = 900, 100 ..= 1_000, "thousandths",
        "The load from which a host is named last in address answers.";
    address_choices = 3, 1 ..= 16, "hosts",
        "The hosts that an address answer names.";
    account_share_half_life_ms = 0, 0 ..= 60_000, "milliseconds",
        "The half-life of the remembered use of a client account, by which accounts of a tier get fair shares; 0 switches this off.";
    return_room_permille = 0, 0 ..= 1_000, "thousandths",
        "The part of the forecast room that may be promised to refused callers who return; 0 switches promises off.";
    slow_moment_ms = 0, 0 ..= 60_000, "milliseconds",
        "How long a slow moment of a target is expected to last before any was observed; 0 ignores the pace that targets report.";
    match_window_requests = 0, 0 ..= 64, "requests",
        "The requests at the front of the queue that compete for a free slot; 0 gives it to the first one.";
    idle_connection_permille = 0, 0 ..= 1_000, "thousandths",
        "How much longer the predicted run at a target may be if the host has an idle connection to it; 0 switches the preference off.";
}

impl FleetLimits {
    /// Get the allowed values of the limit `name`; only 0 if there is no such limit.
    pub(crate) fn range(name: &str) -> std::ops::RangeInclusive<u64> {
        let spec = FleetLimits::TABLE.iter().find(|spec| spec.name == name);
        spec.map_or(0..=0, |spec| spec.min..=spec.max)
    }

    /// Report limits that are each in range but contradict each other.
    fn check_combinations(&self, node: &JsonNode<'_>, findings: &mut Findings) {
        if self.suspect_after_ms < self.heartbeat_ms.saturating_mul(2) {
            // Otherwise a single lost heartbeat would mark a healthy peer as
            // unreachable and move its shards, so ownership would flap.
            findings.add(
                format!("{}/suspect_after_ms", node.place()),
                self.suspect_after_ms.to_string(),
                format!("at least twice heartbeat_ms, {}", self.heartbeat_ms * 2),
            );
        }
        if self.key_retention_ms < self.kept_answer_ms {
            // If the key expired before the stored answer, a resubmission to
            // another host would run the request again.
            findings.add(
                format!("{}/key_retention_ms", node.place()),
                self.key_retention_ms.to_string(),
                format!("at least kept_answer_ms, {}", self.kept_answer_ms),
            );
        }
        if self.max_answer_bytes > self.kept_answer_bytes {
            // A larger answer would evict all others from the store and then itself.
            findings.add(
                format!("{}/max_answer_bytes", node.place()),
                self.max_answer_bytes.to_string(),
                format!("at most kept_answer_bytes, {}", self.kept_answer_bytes),
            );
        }
    }
}

impl TryFrom<Value> for FleetLimits {
    type Error = Findings;

    fn try_from(value: Value) -> Result<Self, Findings> {
        read_value(LIMITS_VALUE, &value)
    }
}

/// A `LinkKey` is the shared secret of the hosts, with a length inside
/// [`LINK_KEY_LEN`].
#[derive(Default)]
pub(crate) struct LinkKey(pub(crate) String);

impl ReadJson for LinkKey {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        match node.text() {
            Some(text) if LINK_KEY_LEN.contains(&text.len()) => Some(LinkKey(text.to_owned())),
            _ => {
                let (min, max) = (LINK_KEY_LEN.start(), LINK_KEY_LEN.end());
                node.refuse_redacted(findings, format!("a text of {min} to {max} bytes"));
                None
            }
        }
    }
}
