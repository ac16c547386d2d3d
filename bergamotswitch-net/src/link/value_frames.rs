//! Provides a cache of encoded published values and changes, shared by the links to all
//! peers.

use std::collections::{BTreeMap, VecDeque};

use bergamotswitch_core::link::LinkMessage;
use bergamotswitch_core::revision::{PublishedValue, Revision, RevisionMessage, ValueName};
use bytes::Bytes;

use super::codec::{self, CodecError};

/// The number of frames that are kept of each value. Peers lag by a revision or two, so
/// most of them get the same change.
const KEPT_FRAMES: usize = 4;

/// A `FrameKey` identifies the contents of a frame among those of one value.
#[derive(Clone, Debug, PartialEq, Eq)]
enum FrameKey {
    /// A complete value.
    Whole(PublishedValue),
    /// A change, with the checksum of its result.
    Change(Revision, Revision, u64),
}

/// A `ValueFrameCache` holds the latest frames of each published value that were sent.
/// All peers get the same values and changes, and compressing one for each peer would
/// waste CPU time.
#[derive(Debug, Default)]
pub(crate) struct ValueFrameCache(BTreeMap<ValueName, VecDeque<(FrameKey, Bytes)>>);

impl ValueFrameCache {
    /// Encode a message; published values and their changes are compressed, and cached.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError::TooLong`] if the message exceeds the maximum message size.
    pub(crate) fn encode(&mut self, message: &LinkMessage) -> Result<Bytes, CodecError> {
        let (name, key) = match message {
            LinkMessage::Revision(RevisionMessage::Whole(value)) => {
                (&value.name, FrameKey::Whole(value.clone()))
            }
            LinkMessage::Revision(RevisionMessage::Change {
                name,
                from,
                to,
                checksum,
                ..
            }) => (name, FrameKey::Change(*from, *to, *checksum)),
            _ => return codec::encode(message),
        };
        let frames = self.0.entry(name.clone()).or_default();
        if let Some((_, frame)) = frames.iter().find(|(known, _)| *known == key) {
            return Ok(frame.clone());
        }
        let frame = codec::encode_compressed(message)?;
        frames.push_back((key, frame.clone()));
        if frames.len() > KEPT_FRAMES {
            frames.pop_front();
        }
        Ok(frame)
    }
}
