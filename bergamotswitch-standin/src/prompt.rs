//! Provides the parsing of completion requests and the generation of output
//! tokens.

use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

/// The length of one prefix block in bytes of prompt text.
pub(crate) const BLOCK_BYTES: usize = 1024;
/// The maximum number of cached prefix blocks per prompt.
const MAX_BLOCKS: usize = 16;
/// The length of one token in bytes of text.
const TOKEN_BYTES: usize = 4;
/// The length of one prefix block in tokens.
pub(crate) const BLOCK_TOKENS: u32 = (BLOCK_BYTES / TOKEN_BYTES) as u32;
/// The default of `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;
/// The maximum number of output tokens of one run.
const MAX_TOKENS: u64 = 100_000;

/// A `PromptShape` is the part of a completion request that an engine uses.
#[derive(Clone, Debug)]
pub(crate) struct PromptShape {
    /// The name of the model.
    pub(crate) model: String,
    /// Whether the response is streamed.
    pub(crate) stream: bool,
    /// The length of the prompt in tokens.
    pub(crate) tokens: u32,
    /// The xxh3 hash of the prompt up to the end of each block.
    pub(crate) blocks: Vec<u64>,
    /// The number of output tokens to produce.
    pub(crate) output_tokens: u32,
    /// The xxh3 hash of the request body, from which the output is derived.
    pub(crate) digest: u64,
}

impl TryFrom<&[u8]> for PromptShape {
    type Error = serde_json::Error;

    fn try_from(body: &[u8]) -> Result<Self, serde_json::Error> {
        let request: Value = serde_json::from_slice(body)?;
        let text = prompt_text(&request);
        let max_tokens = request["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
        Ok(PromptShape {
            model: request["model"].as_str().unwrap_or_default().to_owned(),
            stream: request["stream"].as_bool().unwrap_or(false),
            tokens: text.len().div_ceil(TOKEN_BYTES).max(1) as u32,
            blocks: block_hashes(text.as_bytes()),
            output_tokens: max_tokens.clamp(1, MAX_TOKENS) as u32,
            digest: xxh3_64(body),
        })
    }
}

fn block_hashes(text: &[u8]) -> Vec<u64> {
    let count = (text.len() / BLOCK_BYTES).min(MAX_BLOCKS);
    let hash = |blocks: usize| xxh3_64(&text[..blocks * BLOCK_BYTES]);
    (1..=count).map(hash).collect()
}

fn prompt_text(request: &Value) -> String {
    let mut text = String::new();
    append_text(&request["prompt"], &mut text);
    let messages = request["messages"].as_array();
    for message in messages.into_iter().flatten() {
        append_text(&message["content"], &mut text);
    }
    text
}

/// Append the text of a message content: a string, or an array of strings and
/// of objects with the member `text`.
fn append_text(content: &Value, text: &mut String) {
    match content {
        Value::String(part) => text.push_str(part),
        Value::Array(parts) => parts.iter().for_each(|part| append_text(part, text)),
        Value::Object(part) => append_text(part.get("text").unwrap_or(&Value::Null), text),
        _ => {}
    }
}

/// Get the output token with a number, counted from 1. The same request body
/// always gives the same tokens.
pub(crate) fn output_token(digest: u64, number: u32) -> String {
    let mut seed = digest.to_le_bytes().to_vec();
    seed.extend(number.to_le_bytes());
    format!("{:08x} ", xxh3_64(&seed) as u32)
}
