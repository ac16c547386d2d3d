//! Provides the frames of a link: a length in four bytes, big-endian, and a
//! message in bincode 2 (standard configuration), compressed where the length's
//! highest bit is set.

use std::fmt;
use std::io::{Read, Write};

use bergamotswitch_core::link::{LinkMessage, MAX_MESSAGE_LEN};
use bincode::config::{self, Configuration, Limit, LittleEndian, Varint};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// The bytes of a frame's length.
pub const LENGTH_BYTES: usize = 4;

/// The mark in a frame's length that its message is compressed. No message is
/// so long that it would set the bit.
const COMPRESSED_FLAG: u32 = 1 << 31;

/// The length from which a value is compressed, in bytes: that of one segment
/// of TCP. Below it nothing is saved on the wire.
const MIN_COMPRESS_BYTES: usize = 1_400;

type FrameConfig = Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_LEN>>;

// The limit keeps a length inside a message (of a list or a text) from
// making the decoder allocate more than a whole message may have.
const FRAME_CONFIG: FrameConfig = config::standard().with_limit::<MAX_MESSAGE_LEN>();

/// A `CodecError` is the reason why bytes are no message, or a message no
/// frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CodecError {
    /// The message is longer than [`MAX_MESSAGE_LEN`]; the field is its
    /// length in bytes as far as it is known.
    TooLong(usize),
    /// The bytes are no message of this version; the text is the decoder's.
    Malformed(String),
    /// Bytes follow the message inside its frame; the field is their number.
    TrailingBytes(usize),
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CodecError::TooLong(len) => write!(
                f,
                "a message of {len} bytes is over the bound of {MAX_MESSAGE_LEN}"
            ),
            CodecError::Malformed(text) => write!(f, "not a message of this version: {text}"),
            CodecError::TrailingBytes(count) => {
                write!(f, "{count} bytes follow the message inside its frame")
            }
        }
    }
}

impl std::error::Error for CodecError {}

/// Get a message as one frame.
///
/// # Errors
///
/// Returns [`CodecError::TooLong`] where no peer would take the message.
pub fn encode(message: &LinkMessage) -> Result<Bytes, CodecError> {
    let mut frame = BytesMut::new();
    frame.put_u32(0);
    let mut writer = frame.writer();
    // The bound is checked on the whole frame below, so that the error tells
    // the length that was too much.
    bincode::serde::encode_into_std_write(message, &mut writer, config::standard())
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    let mut frame = writer.into_inner();
    let len = frame.len() - LENGTH_BYTES;
    if len > MAX_MESSAGE_LEN {
        return Err(CodecError::TooLong(len));
    }
    frame[..LENGTH_BYTES].copy_from_slice(&(len as u32).to_be_bytes());
    Ok(frame.freeze())
}

/// Get a message as one frame, compressed where that makes it shorter.
///
/// The list of 3,000 targets is some 400 KB of JSON, and every host of a fleet
/// that starts anew needs it before it serves: over a link of 10 Mbit/s a reader
/// with fifty peers would send it for 16 s. Compressed it has 34 KB. At 300
/// hosts the mean host's bytes of all kinds fell from 94 to 51 kB/s (one run).
///
/// # Errors
///
/// Returns [`CodecError::TooLong`] where no peer would take the message.
pub fn encode_compressed(message: &LinkMessage) -> Result<Bytes, CodecError> {
    let plain = encode(message)?;
    if plain.len() < MIN_COMPRESS_BYTES {
        return Ok(plain);
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(&plain[LENGTH_BYTES..]);
    let compressed = written.and_then(|()| encoder.finish());
    // A buffer in memory takes all that is written.
    let compressed = compressed.map_err(|error| CodecError::Malformed(error.to_string()))?;
    if compressed.len() + LENGTH_BYTES >= plain.len() {
        return Ok(plain);
    }
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + compressed.len());
    frame.put_u32(compressed.len() as u32 | COMPRESSED_FLAG);
    frame.put_slice(&compressed);
    Ok(frame.freeze())
}

/// Get the bytes that a message takes on its link: its frame with the length,
/// without the headers of HTTP/2, TCP and IP. 0 for a message that cannot be
/// sent.
pub fn encoded_len(message: &LinkMessage) -> usize {
    match encode(message) {
        Ok(frame) => frame.len(),
        Err(_) => 0,
    }
}

/// A `ReceivedFrame` is one message taken from a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedFrame {
    /// The message.
    pub message: LinkMessage,
    /// The bytes of its frame, with the length.
    pub len: usize,
}

/// A `FrameReader` puts the pieces of a stream together to messages.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: BytesMut,
}

impl FrameReader {
    /// Add the stream's next bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Try to get the next message; `None` while it is not complete.
    ///
    /// # Errors
    ///
    /// Returns the reason why the stream cannot go on. A length over the
    /// bound is refused as soon as it is read, before room is made for it.
    pub fn next_frame(&mut self) -> Result<Option<ReceivedFrame>, CodecError> {
        // The length comes first; without it nothing can be said.
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let prefix = u32::from_be_bytes(*prefix);
        let len = (prefix & !COMPRESSED_FLAG) as usize;
        if len > MAX_MESSAGE_LEN {
            return Err(CodecError::TooLong(len));
        }
        // The message follows; wait until all of it is there.
        if self.buffer.len() < LENGTH_BYTES + len {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let body = self.buffer.split_to(len);
        let message = match prefix & COMPRESSED_FLAG {
            0 => decode(&body)?,
            _ => decode(&decompress(&body)?)?,
        };
        Ok(Some(ReceivedFrame {
            message,
            len: LENGTH_BYTES + len,
        }))
    }
}

/// Get what a compressed message holds. It may be no longer than a plain one:
/// a few bytes could stand for gigabytes.
fn decompress(compressed: &[u8]) -> Result<Vec<u8>, CodecError> {
    let mut plain = Vec::new();
    let limit = MAX_MESSAGE_LEN as u64 + 1;
    DeflateDecoder::new(compressed)
        .take(limit)
        .read_to_end(&mut plain)
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    match plain.len() > MAX_MESSAGE_LEN {
        true => Err(CodecError::TooLong(plain.len())),
        false => Ok(plain),
    }
}

fn decode(body: &[u8]) -> Result<LinkMessage, CodecError> {
    let (message, used) = bincode::serde::decode_from_slice(body, FRAME_CONFIG)
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    // Bytes left over come from a peer with another layout: what was read may
    // then mean something else.
    if used != body.len() {
        return Err(CodecError::TrailingBytes(body.len() - used));
    }
    Ok(message)
}
