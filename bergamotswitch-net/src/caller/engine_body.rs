//! Provides the bodies of requests to engines: OpenAI chat and text
//! completions, validated and rewritten for the engine.

use std::collections::BTreeMap;

use bergamotswitch_core::error::Findings;
use bergamotswitch_core::pool::PoolName;
use bergamotswitch_core::request::{MAX_PREFIX_HASHES, PREFIX_BLOCK_BYTES, PrefixHash, TokenCost};
use bytes::Bytes;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use super::engine_members::{BODY_PLACE, BodyMembers, MemberReader, parse_raw, saturate};

/// The number of bytes of text per token, assumed for the cost estimate.
const BYTES_PER_TOKEN: usize = 4;

/// A `CompletionForm` is one of the two kinds of requests to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CompletionForm {
    /// Chat completions, which have messages.
    Chat,
    /// Text completions, which have a prompt.
    Text,
}

impl CompletionForm {
    /// Get the path of the endpoint, which is the same at hosts and at engines.
    pub(super) fn path(self) -> &'static str {
        match self {
            CompletionForm::Chat => "/v1/chat/completions",
            CompletionForm::Text => "/v1/completions",
        }
    }

    /// Get the `object` of a complete answer.
    pub(super) fn object(self) -> &'static str {
        match self {
            CompletionForm::Chat => "chat.completion",
            CompletionForm::Text => "text_completion",
        }
    }
}

/// An `EngineBody` is the validated body of a request to an engine.
#[derive(Debug)]
pub(super) struct EngineBody {
    /// The name of the model, which is also the name of the pool.
    pub(super) model: PoolName,
    /// Whether the caller requests a stream.
    pub(super) stream: bool,
    /// Whether the caller requests a usage chunk at the end of the stream.
    pub(super) include_usage: bool,
    /// The estimated cost.
    pub(super) cost: TokenCost,
    /// The hashes of the prompt's prefixes, the shortest first.
    pub(super) prefixes: Vec<PrefixHash>,
    /// The body sent to the engine: the caller's, changed to request a stream.
    pub(super) outgoing: Bytes,
}

impl EngineBody {
    /// Try to parse the JSON text of a body.
    ///
    /// # Errors
    ///
    /// Returns all findings with their places (JSON pointers).
    pub(super) fn parse(form: CompletionForm, text: &[u8]) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        let members: BodyMembers = match serde_json::from_slice(text) {
            Ok(members) => members,
            Err(error) => {
                findings.add(BODY_PLACE, error.to_string(), "a JSON object");
                return Err(findings);
            }
        };
        // Each member is checked by itself, so that all findings are reported
        // together.
        let mut reader = MemberReader::new(&members, &mut findings);
        let model = reader.model();
        let stream = reader.flag("stream").unwrap_or(false);
        let include_usage = reader.include_usage();
        let prompt = match form {
            CompletionForm::Chat => reader.chat_text(),
            CompletionForm::Text => reader.prompt_text(),
        };
        let decode = reader.decode_tokens();
        let outgoing = outgoing_body(&members);
        match (model, findings.is_empty()) {
            (Some(model), true) => Ok(EngineBody {
                model,
                stream,
                include_usage,
                cost: TokenCost {
                    prefill: saturate(prompt.len().div_ceil(BYTES_PER_TOKEN) as u64),
                    decode,
                },
                prefixes: prefix_hashes(prompt.as_bytes()),
                outgoing,
            }),
            _ => Err(findings),
        }
    }
}

/// Get the hashes of the prompt's first block, of its first two blocks and so
/// on. A partial block at the end is not hashed.
fn prefix_hashes(prompt: &[u8]) -> Vec<PrefixHash> {
    let blocks = (prompt.len() / PREFIX_BLOCK_BYTES).min(MAX_PREFIX_HASHES);
    (1..=blocks)
        .map(|count| PrefixHash(xxh3_64(&prompt[..count * PREFIX_BLOCK_BYTES])))
        .collect()
}

/// Get the body sent to the engine. It always requests a stream, because only a
/// stream can be monitored for progress and resumed, and the usage, which
/// corrects the estimated cost.
fn outgoing_body(members: &BodyMembers) -> Bytes {
    let mut outgoing: BTreeMap<&str, Value> = BTreeMap::new();
    let mut options = match members.get("stream_options").map(|raw| parse_raw(raw)) {
        Some(Value::Object(options)) => options,
        _ => serde_json::Map::new(),
    };
    options.insert("include_usage".to_owned(), Value::Bool(true));
    outgoing.insert("stream", Value::Bool(true));
    outgoing.insert("stream_options", Value::Object(options));

    let mut text = String::from("{");
    for (name, raw) in members {
        if !outgoing.contains_key(name.as_str()) {
            push_member(&mut text, name, raw.get());
        }
    }
    for (name, value) in &outgoing {
        push_member(&mut text, name, &value.to_string());
    }
    text.push('}');
    Bytes::from(text)
}

fn push_member(text: &mut String, name: &str, value: &str) {
    if text.len() > 1 {
        text.push(',');
    }
    text.push_str(&Value::from(name).to_string());
    text.push(':');
    text.push_str(value);
}
