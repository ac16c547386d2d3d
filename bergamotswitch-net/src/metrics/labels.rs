//! Provides the labels that tell a metric's children apart.

use bergamotswitch_core::rules::Tier;
use prometheus_client::encoding::EncodeLabelSet;

/// A `RefusalLabels` tells refusals apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct RefusalLabels {
    pub(super) reason: &'static str,
    pub(super) tier: String,
}

/// A `ReasonLabels` tells retries apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ReasonLabels {
    pub(super) reason: &'static str,
}

/// A `WasteLabels` tells wasted tokens apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct WasteLabels {
    pub(super) tier: u32,
    pub(super) cause: &'static str,
}

/// A `TierLabels` tells tiers apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct TierLabels {
    pub(super) tier: u32,
}

/// An `IncidentLabels` tells numbered events apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct IncidentLabels {
    pub(super) number: u32,
}

/// A `ValueLabels` tells published values apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ValueLabels {
    pub(super) value: String,
}

/// A `ForwardLabels` tells forwarded requests apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ForwardLabels {
    pub(super) reached: &'static str,
}

/// A `ShardLabels` tells the queues of owned shards apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ShardLabels {
    pub(super) pool: String,
    pub(super) domain: String,
    pub(super) tier: u32,
}

/// A `MessageLabels` tells messages between hosts apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct MessageLabels {
    pub(super) kind: &'static str,
    pub(super) way: &'static str,
}

/// Get the labels of a tier.
pub(super) fn tier_labels(tier: Tier) -> TierLabels {
    TierLabels {
        tier: u32::from(tier.0),
    }
}
