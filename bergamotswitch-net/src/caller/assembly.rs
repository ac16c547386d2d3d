//! Provides the assembly of an engine's stream into one completion, for callers
//! that did not request a stream.

use std::collections::BTreeMap;
use std::fmt;

use bytes::Bytes;
use serde_json::{Map, Value};

use super::engine_body::CompletionForm;

/// The data of the event with which some engines end a stream. It is not a
/// chunk.
pub(super) const DONE_MARK: &[u8] = b"[DONE]";

/// Members that identify or label something. Engines send them in the first
/// chunk only, or repeat them unchanged, so their values are never
/// concatenated.
const SET_ONCE: [&str; 5] = ["id", "index", "role", "type", "name"];

/// An `AssemblyError` is returned for chunks that do not form a completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AssemblyError {
    /// A chunk is not a JSON object.
    NotAnObject,
    /// The engine ended its stream with an error.
    EngineError,
    /// No chunk had a choice.
    NoChoices,
}

impl fmt::Display for AssemblyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AssemblyError::NotAnObject => {
                write!(f, "the engine sent a chunk that is no JSON object")
            }
            AssemblyError::EngineError => write!(f, "the engine ended its stream with an error"),
            AssemblyError::NoChoices => write!(f, "the engine sent no choice"),
        }
    }
}

impl std::error::Error for AssemblyError {}

/// A `CompletionAssembly` merges the chunks of a stream into one completion.
#[derive(Debug)]
pub(super) struct CompletionAssembly {
    form: CompletionForm,
    members: Map<String, Value>,
    choices: BTreeMap<u64, Map<String, Value>>,
}

impl CompletionAssembly {
    /// Get an assembly without chunks.
    pub(super) fn new(form: CompletionForm) -> Self {
        CompletionAssembly {
            form,
            members: Map::new(),
            choices: BTreeMap::new(),
        }
    }

    /// Try to add a chunk.
    ///
    /// # Errors
    ///
    /// Returns an error if the chunk is not part of a completion.
    pub(super) fn add(&mut self, chunk: &Bytes) -> Result<(), AssemblyError> {
        if chunk.trim_ascii() == DONE_MARK {
            return Ok(());
        }
        let Ok(Value::Object(members)) = serde_json::from_slice(chunk) else {
            return Err(AssemblyError::NotAnObject);
        };
        if members.get("error").is_some_and(|error| !error.is_null()) {
            return Err(AssemblyError::EngineError);
        }
        for (name, value) in members {
            match (name.as_str(), value) {
                ("choices", Value::Array(choices)) => self.add_choices(choices),
                // The `object` of a chunk differs from that of a completion,
                // which `finish` sets.
                ("object", _) => {}
                (_, Value::Null) => {}
                ("usage", value) => drop(self.members.insert(name, value)),
                (_, value) => drop(self.members.entry(name).or_insert(value)),
            }
        }
        Ok(())
    }

    fn add_choices(&mut self, choices: Vec<Value>) {
        for choice in choices {
            let Value::Object(members) = choice else {
                continue;
            };
            let index = members.get("index").and_then(Value::as_u64).unwrap_or(0);
            let merged = self.choices.entry(index).or_default();
            for (name, value) in members {
                // The `delta` of a stream is the `message` of a completion.
                let name = match name.as_str() {
                    "delta" => "message".to_owned(),
                    _ => name,
                };
                merge_member(merged, name, value);
            }
        }
    }

    /// Try to get the completion.
    ///
    /// # Errors
    ///
    /// Returns an error if no chunk had a choice.
    pub(super) fn finish(mut self) -> Result<Value, AssemblyError> {
        if self.choices.is_empty() {
            return Err(AssemblyError::NoChoices);
        }
        let choices = self.choices.into_iter().map(|(index, mut choice)| {
            choice.insert("index".to_owned(), Value::from(index));
            choice.entry("finish_reason").or_insert(Value::Null);
            if self.form == CompletionForm::Chat {
                complete_message(&mut choice);
            }
            Value::Object(choice)
        });
        let choices = choices.collect();
        self.members.insert("choices".to_owned(), choices);
        let object = Value::from(self.form.object());
        self.members.insert("object".to_owned(), object);
        Ok(Value::Object(self.members))
    }
}

/// Add the members that callers expect in a message and that the stream
/// omitted.
fn complete_message(choice: &mut Map<String, Value>) {
    let message = choice
        .entry("message")
        .or_insert_with(|| Value::Object(Map::new()));
    let Value::Object(message) = message else {
        return;
    };
    message.entry("role").or_insert(Value::from("assistant"));
    message.entry("content").or_insert(Value::Null);
    // The `index` of a tool call serves only to merge its chunks.
    if let Some(Value::Array(calls)) = message.get_mut("tool_calls") {
        for call in calls.iter_mut().filter_map(Value::as_object_mut) {
            call.remove("index");
        }
    }
}

fn merge_member(merged: &mut Map<String, Value>, name: String, delta: Value) {
    if delta.is_null() {
        return;
    }
    let set_once = SET_ONCE.contains(&name.as_str());
    match merged.get_mut(&name) {
        None => {
            let mut partial = Value::Null;
            merge_value(&mut partial, delta);
            merged.insert(name, partial);
        }
        Some(_) if set_once => {}
        Some(partial) => merge_value(partial, delta),
    }
}

fn merge_value(merged: &mut Value, delta: Value) {
    match (merged, delta) {
        (Value::String(merged), Value::String(delta)) => merged.push_str(&delta),
        (Value::Object(merged), Value::Object(delta)) => {
            for (name, value) in delta {
                merge_member(merged, name, value);
            }
        }
        (Value::Array(merged), Value::Array(deltas)) => {
            for delta in deltas {
                merge_element(merged, delta);
            }
        }
        (merged @ Value::Null, Value::Array(deltas)) => {
            let mut partial = Vec::new();
            for delta in deltas {
                merge_element(&mut partial, delta);
            }
            *merged = Value::Array(partial);
        }
        (merged, delta) => *merged = delta,
    }
}

/// Merge an array element into the one with the same `index`, or append it if
/// there is none or it has no index.
fn merge_element(merged: &mut Vec<Value>, delta: Value) {
    let index = delta.get("index").and_then(Value::as_u64);
    let partial = match index {
        Some(index) => merged
            .iter_mut()
            .find(|partial| partial.get("index").and_then(Value::as_u64) == Some(index)),
        None => None,
    };
    match partial {
        Some(partial) => merge_value(partial, delta),
        None => merged.push(delta),
    }
}
