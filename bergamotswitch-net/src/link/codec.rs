//! Provides the frame encoding of links: a length in four bytes, big-endian,
//! followed by a message in bincode 2 (standard configuration), which is compressed
//! if the highest bit of the length is set.

use std::fmt;
use std::io::{Read, Write};

use bergamotswitch_core::link::{LinkMessage, MAX_MESSAGE_LEN};
use bincode::config::{self, Configuration, Limit, LittleEndian, Varint};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// The size of a frame's length prefix in bytes.
pub const LENGTH_BYTES: usize = 4;

/// The bit of the length prefix that marks a compressed message. It is above every
/// permitted length.
const COMPRESSED_FLAG: u32 = 1 << 31;

/// The minimum size of a compressed frame in bytes, which is about one TCP segment.
/// Compressing smaller frames would save no packets.
const MIN_COMPRESS_BYTES: usize = 1_400;

type FrameConfig = Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_LEN>>;

// The limit prevents a list or text length inside a message from making the decoder
// allocate more than the maximum message size.
const FRAME_CONFIG: FrameConfig = config::standard().with_limit::<MAX_MESSAGE_LEN>();

/// A `CodecError` is the reason why a frame cannot be decoded or a message cannot be
/// encoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CodecError {
    /// The message exceeds [`MAX_MESSAGE_LEN`]. The field is its size in bytes, or
    /// the size up to which it was read.
    TooLong(usize),
    /// The bytes are not a message of this version. The text is the decoder's error.
    Malformed(String),
    /// The frame contains bytes after the message. The field is their number.
    TrailingBytes(usize),
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CodecError::TooLong(len) => write!(
                f,
                "message of {len} bytes exceeds the limit of {MAX_MESSAGE_LEN} bytes"
            ),
            CodecError::Malformed(text) => write!(f, "malformed message: {text}"),
            CodecError::TrailingBytes(count) => {
                write!(f, "frame has {count} trailing bytes after its message")
            }
        }
    }
}

impl std::error::Error for CodecError {}

/// Encode a message as one frame.
///
/// # Errors
///
/// Returns [`CodecError::TooLong`] if the message exceeds [`MAX_MESSAGE_LEN`].
pub fn encode(message: &LinkMessage) -> Result<Bytes, CodecError> {
    let mut frame = BytesMut::new();
    frame.put_u32(0);
    let mut writer = frame.writer();
    // The limit is checked below on the whole frame, so that the error contains the
    // actual length.
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

/// Encode a message as one frame, compressed if that makes it shorter.
///
/// Large published values such as the target list are sent to every host when a
/// fleet starts, and uncompressed would saturate the links of the senders. The
/// list of 3,000 targets has some 400 KB, and 34 KB compressed: uncompressed, a
/// sender with fifty peers would need 16 s at 10 Mbit/s.
///
/// # Errors
///
/// Returns [`CodecError::TooLong`] if the message exceeds [`MAX_MESSAGE_LEN`].
pub fn encode_compressed(message: &LinkMessage) -> Result<Bytes, CodecError> {
    let plain = encode(message)?;
    if plain.len() < MIN_COMPRESS_BYTES {
        return Ok(plain);
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(&plain[LENGTH_BYTES..]);
    let compressed = written.and_then(|()| encoder.finish());
    // Writing to a buffer in memory does not fail.
    let compressed = compressed.map_err(|error| CodecError::Malformed(error.to_string()))?;
    if compressed.len() + LENGTH_BYTES >= plain.len() {
        return Ok(plain);
    }
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + compressed.len());
    frame.put_u32(compressed.len() as u32 | COMPRESSED_FLAG);
    frame.put_slice(&compressed);
    Ok(frame.freeze())
}

/// Get the size of a message's uncompressed frame in bytes, with the length prefix
/// and without the headers of HTTP/2, TCP and IP. It is 0 for a message that cannot
/// be encoded.
pub fn encoded_len(message: &LinkMessage) -> usize {
    match encode(message) {
        Ok(frame) => frame.len(),
        Err(_) => 0,
    }
}

/// A `ReceivedFrame` is one message received on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedFrame {
    /// The message.
    pub message: LinkMessage,
    /// The size of its frame in bytes, with the length prefix.
    pub len: usize,
}

/// A `FrameReader` reassembles messages from the chunks of a stream.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: BytesMut,
}

impl FrameReader {
    /// Add the next chunk of the stream.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Try to get the next message, `None` if it is not complete yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the next frame is invalid, after which the stream cannot
    /// be read further. An excessive length is refused before memory is allocated.
    pub fn next_frame(&mut self) -> Result<Option<ReceivedFrame>, CodecError> {
        // Wait for the length prefix.
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let prefix = u32::from_be_bytes(*prefix);
        let len = (prefix & !COMPRESSED_FLAG) as usize;
        if len > MAX_MESSAGE_LEN {
            return Err(CodecError::TooLong(len));
        }
        // Wait for the complete message.
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

/// Decompress a message. The size of the result is limited, because a few bytes can
/// decompress to gigabytes.
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
    // Trailing bytes indicate a peer with another message layout, so the decoded
    // message may be wrong.
    if used != body.len() {
        return Err(CodecError::TrailingBytes(body.len() - used));
    }
    Ok(message)
}
