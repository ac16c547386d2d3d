//! Provides the label sets of the metric families.

use bergamotswitch_core::rules::Tier;
use prometheus_client::encoding::EncodeLabelSet;

/// A `RefusalLabels` is the label set of refused requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct RefusalLabels {
    pub(super) reason: &'static str,
    pub(super) tier: String,
}

/// A `ReasonLabels` is the label set of retries and of an owner's refusals.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ReasonLabels {
    pub(super) reason: &'static str,
}

/// A `StateLabels` is the label set of promises to returning callers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct StateLabels {
    pub(super) state: &'static str,
}

/// A `SizeLabels` is the label set of an owner's requests by size.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, EncodeLabelSet)]
pub(super) struct SizeLabels {
    pub(super) tier: u32,
    pub(super) output_from: u32,
    pub(super) end: &'static str,
}

/// A `WasteLabels` is the label set of wasted prompt tokens.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct WasteLabels {
    pub(super) tier: u32,
    pub(super) cause: &'static str,
}

/// A `TierLabels` is the label set of metrics that are split by tier only.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct TierLabels {
    pub(super) tier: u32,
}

/// An `IncidentLabels` is the label set of log events, by event number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct IncidentLabels {
    pub(super) number: u32,
}

/// A `ValueLabels` is the label set of published values.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ValueLabels {
    pub(super) value: String,
}

/// An `InputLabels` is the label set of the event loop's inputs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct InputLabels {
    pub(super) kind: &'static str,
}

/// A `ForwardLabels` is the label set of requests forwarded to another host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ForwardLabels {
    pub(super) reached: &'static str,
}

/// A `ShardLabels` is the label set of the queues of owned shards.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ShardLabels {
    pub(super) pool: String,
    pub(super) domain: String,
    pub(super) tier: u32,
}

/// A `MessageLabels` is the label set of messages between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct MessageLabels {
    pub(super) kind: &'static str,
    pub(super) way: &'static str,
}

/// Get the label set of a tier.
pub(super) fn tier_labels(tier: Tier) -> TierLabels {
    TierLabels {
        tier: u32::from(tier.0),
    }
}
