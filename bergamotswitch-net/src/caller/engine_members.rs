//! Provides the validation of single members in the bodies of requests to
//! engines.

use std::collections::BTreeMap;

use bergamotswitch_core::error::Findings;
use bergamotswitch_core::pool::PoolName;
use serde_json::Value;
use serde_json::value::RawValue;

/// The number of output tokens assumed if the caller sets no limit.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// The largest number of choices (`n`) per prompt.
const MAX_CHOICES: u64 = 128;

/// The prefix of places in the body, as findings report them.
pub(super) const BODY_PLACE: &str = "body:";

/// The members of a body, each with its text as the caller sent it, so that
/// members that are not rewritten reach the engine unchanged, including the
/// precision of numbers.
pub(super) type BodyMembers = BTreeMap<String, Box<RawValue>>;

/// A `MemberReader` reads the members of a body that affect routing and cost,
/// and collects findings about them with their places.
#[derive(Debug)]
pub(super) struct MemberReader<'a> {
    members: &'a BodyMembers,
    findings: &'a mut Findings,
}

impl<'a> MemberReader<'a> {
    /// Get a reader of a body's members that adds its findings to `findings`.
    pub(super) fn new(members: &'a BodyMembers, findings: &'a mut Findings) -> Self {
        MemberReader { members, findings }
    }

    fn value(&self, name: &str) -> Option<Value> {
        self.members.get(name).map(|raw| parse_raw(raw))
    }

    fn add(&mut self, pointer: &str, found: &str, allowed: &str) {
        self.findings
            .add(format!("{BODY_PLACE}{pointer}"), found, allowed);
    }

    /// Get the name of the model.
    pub(super) fn model(&mut self) -> Option<PoolName> {
        match self.value("model") {
            Some(Value::String(text)) => match PoolName::try_from(text.as_str()) {
                Ok(name) => Some(name),
                Err(error) => {
                    self.add("/model", &format!("{text:?}"), &error.to_string());
                    None
                }
            },
            Some(other) => {
                self.add("/model", type_of(&other), "a model's name");
                None
            }
            None => {
                self.add("/model", "nothing", "a model's name");
                None
            }
        }
    }

    /// Get a boolean member.
    pub(super) fn flag(&mut self, name: &str) -> Option<bool> {
        match self.value(name)? {
            Value::Bool(flag) => Some(flag),
            Value::Null => None,
            other => {
                self.add(&format!("/{name}"), type_of(&other), "true or false");
                None
            }
        }
    }

    /// Get whether the caller requests a usage chunk at the end of the stream.
    pub(super) fn include_usage(&mut self) -> bool {
        match self.value("stream_options") {
            None | Some(Value::Null) => false,
            Some(Value::Object(options)) => match options.get("include_usage") {
                None | Some(Value::Null) => false,
                Some(Value::Bool(flag)) => *flag,
                Some(other) => {
                    let place = "/stream_options/include_usage";
                    self.add(place, type_of(other), "true or false");
                    false
                }
            },
            Some(other) => {
                self.add("/stream_options", type_of(&other), "an object");
                false
            }
        }
    }

    fn count(&mut self, name: &str, max: u64) -> Option<u64> {
        let value = self.value(name)?;
        if value.is_null() {
            return None;
        }
        match value.as_u64() {
            Some(count) if (1..=max).contains(&count) => Some(count),
            _ => {
                let allowed = format!("a whole number from 1 to {max}");
                self.add(&format!("/{name}"), &value.to_string(), &allowed);
                None
            }
        }
    }

    /// Get the largest number of output tokens of all choices together.
    pub(super) fn decode_tokens(&mut self) -> u32 {
        let max = u64::from(u32::MAX);
        let max_tokens = self.count("max_tokens", max);
        let max_completion_tokens = self.count("max_completion_tokens", max);
        let tokens = max_completion_tokens
            .or(max_tokens)
            .unwrap_or(DEFAULT_MAX_TOKENS);
        let choices = self.count("n", MAX_CHOICES).unwrap_or(1);
        saturate(tokens.saturating_mul(choices))
    }

    /// Get the concatenated text of all messages.
    pub(super) fn chat_text(&mut self) -> String {
        let mut text = String::new();
        match self.value("messages") {
            Some(Value::Array(messages)) if !messages.is_empty() => {
                for (index, message) in messages.iter().enumerate() {
                    self.message_text(&format!("/messages/{index}"), message, &mut text);
                }
            }
            Some(Value::Array(_)) => self.add("/messages", "an empty array", "messages"),
            Some(other) => self.add("/messages", type_of(&other), "an array of messages"),
            None => self.add("/messages", "nothing", "an array of messages"),
        }
        text
    }

    fn message_text(&mut self, place: &str, message: &Value, text: &mut String) {
        let Value::Object(members) = message else {
            self.add(place, type_of(message), "an object");
            return;
        };
        match members.get("role") {
            Some(Value::String(_)) => {}
            Some(other) => self.add(&format!("{place}/role"), type_of(other), "a string"),
            None => self.add(&format!("{place}/role"), "nothing", "a string"),
        }
        let place = format!("{place}/content");
        match members.get("content") {
            // Messages of an assistant that only call tools have no content.
            None | Some(Value::Null) => {}
            Some(Value::String(content)) => text.push_str(content),
            Some(Value::Array(parts)) => {
                for (index, part) in parts.iter().enumerate() {
                    self.part_text(&format!("{place}/{index}"), part, text);
                }
            }
            Some(other) => self.add(&place, type_of(other), "a string or an array of parts"),
        }
    }

    fn part_text(&mut self, place: &str, part: &Value, text: &mut String) {
        match part {
            // Parts without text, such as images and audio, are passed on
            // unchecked.
            Value::Object(members) => match members.get("text") {
                None => {}
                Some(Value::String(content)) => text.push_str(content),
                Some(other) => self.add(&format!("{place}/text"), type_of(other), "a string"),
            },
            other => self.add(place, type_of(other), "an object"),
        }
    }

    /// Get the text of the prompt, or the concatenated text of all prompts.
    pub(super) fn prompt_text(&mut self) -> String {
        let allowed = "a string or an array of strings";
        let mut text = String::new();
        match self.value("prompt") {
            Some(Value::String(prompt)) => text = prompt,
            Some(Value::Array(prompts)) if !prompts.is_empty() => {
                for (index, prompt) in prompts.iter().enumerate() {
                    match prompt {
                        Value::String(prompt) => text.push_str(prompt),
                        other => {
                            self.add(&format!("/prompt/{index}"), type_of(other), "a string");
                        }
                    }
                }
            }
            Some(Value::Array(_)) => self.add("/prompt", "an empty array", allowed),
            Some(other) => self.add("/prompt", type_of(&other), allowed),
            None => self.add("/prompt", "nothing", allowed),
        }
        text
    }
}

/// Get the value of a member. Its text is valid JSON; one nested too deeply for
/// a value is read as null, which the checks reject.
pub(super) fn parse_raw(raw: &RawValue) -> Value {
    serde_json::from_str(raw.get()).unwrap_or(Value::Null)
}

/// Get a count as 32 bits, limited to the largest value.
pub(super) fn saturate(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Get the name of a value's type, as findings report it.
fn type_of(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    }
}
