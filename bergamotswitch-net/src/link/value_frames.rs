//! Provides the frames of whole values, made once for all peers.

use std::collections::BTreeMap;

use bergamotswitch_core::link::LinkMessage;
use bergamotswitch_core::revision::{PublishedValue, RevisionMessage, ValueName};
use bytes::Bytes;

use super::codec::{self, CodecError};

/// A `ValueFrame` is the frame of one value.
#[derive(Debug)]
struct ValueFrame {
    value: PublishedValue,
    frame: Bytes,
}

/// A `ValueFrameCache` is the latest frame of each whole value that was sent. After
/// a start every peer wants the same values; to compress it for each would take
/// an owner's or reader's processor for nothing.
#[derive(Debug, Default)]
pub(crate) struct ValueFrameCache(BTreeMap<ValueName, ValueFrame>);

impl ValueFrameCache {
    /// Get the frame of a message.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError::TooLong`] where no peer would take the message.
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
