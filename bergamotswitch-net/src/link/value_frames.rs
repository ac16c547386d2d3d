//! Provides a cache of encoded published values, shared by the links to all peers.

use std::collections::BTreeMap;

use bergamotswitch_core::link::LinkMessage;
use bergamotswitch_core::revision::{PublishedValue, RevisionMessage, ValueName};
use bytes::Bytes;

use super::codec::{self, CodecError};

/// A `ValueFrame` is a published value with its encoded frame.
#[derive(Debug)]
struct ValueFrame {
    value: PublishedValue,
    frame: Bytes,
}

/// A `ValueFrameCache` holds the latest frame of each published value that was sent.
/// After a start all peers request the same values, and compressing a value for each
/// peer would waste CPU time.
#[derive(Debug, Default)]
pub(crate) struct ValueFrameCache(BTreeMap<ValueName, ValueFrame>);

impl ValueFrameCache {
    /// Encode a message, using the cache for published values.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError::TooLong`] if the message exceeds the maximum message size.
    pub(crate) fn encode(&mut self, message: &LinkMessage) -> Result<Bytes, CodecError> {
        let LinkMessage::Revision(RevisionMessage::Whole(value)) = message else {
            return codec::encode(message);
        };
        let cached = self.0.get(&value.name);
        if let Some(cached) = cached.filter(|cached| cached.value == *value) {
            return Ok(cached.frame.clone());
        }
        let frame = codec::encode_compressed(message)?;
        let entry = ValueFrame {
            value: value.clone(),
            frame: frame.clone(),
        };
        self.0.insert(value.name.clone(), entry);
        Ok(frame)
    }
}
