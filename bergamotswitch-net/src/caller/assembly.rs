//! Provides the assembly of an engine's stream into one completion, for
//! callers that want no stream.

use std::collections::BTreeMap;
use std::fmt;

use bytes::Bytes;
use serde_json::{Map, Value};

use super::engine_body::CompletionForm;

/// What ends the stream of some engines; it is no chunk.
pub(super) const DONE_MARK: &[u8] = b"[DONE]";

/// Members that say what something is. They come with the first piece, or
/// unchanged with each: they are set, never put together.
const SET_ONCE: [&str; 5] = ["id", "index", "role", "type", "name"];

/// An `AssemblyError` is why chunks make no completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AssemblyError {
    /// A chunk is no JSON object.
    NotAnObject,
    /// The engine ended its stream with an error.
    EngineError,
    /// No chunk came with a choice.
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

/// A `CompletionAssembly` puts a stream's chunks together.
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
    /// Returns an error where the chunk is no part of a completion.
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
                // The chunks' kind is not the whole answer's.
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
                // What a stream calls a delta is a message when it is whole.
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
    /// Returns an error where no chunk had a choice.
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

/// Add what callers expect of a message though the stream left it out.
fn complete_message(choice: &mut Map<String, Value>) {
    let message = choice
        .entry("message")
        .or_insert_with(|| Value::Object(Map::new()));
    let Value::Object(message) = message else {
        return;
    };
    message.entry("role").or_insert(Value::from("assistant"));
    message.entry("content").or_insert(Value::Null);
    // The place of a tool call matters only while its pieces come.
    if let Some(Value::Array(calls)) = message.get_mut("tool_calls") {
        for call in calls.iter_mut().filter_map(Value::as_object_mut) {
            call.remove("index");
        }
    }
}

fn merge_member(merged: &mut Map<String, Value>, name: String, piece: Value) {
    if piece.is_null() {
        return;
    }
    let set_once = SET_ONCE.contains(&name.as_str());
    match merged.get_mut(&name) {
        None => {
            let mut partial = Value::Null;
            merge_value(&mut partial, piece);
            merged.insert(name, partial);
        }
        Some(_) if set_once => {}
        Some(partial) => merge_value(partial, piece),
    }
}

fn merge_value(merged: &mut Value, piece: Value) {
    match (merged, piece) {
        (Value::String(merged), Value::String(piece)) => merged.push_str(&piece),
        (Value::Object(merged), Value::Object(piece)) => {
            for (name, value) in piece {
                merge_member(merged, name, value);
            }
        }
        (Value::Array(merged), Value::Array(pieces)) => {
            for piece in pieces {
                merge_element(merged, piece);
            }
        }
        (merged @ Value::Null, Value::Array(pieces)) => {
            let mut partial = Vec::new();
            for piece in pieces {
                merge_element(&mut partial, piece);
            }
            *merged = Value::Array(partial);
        }
        (merged, piece) => *merged = piece,
    }
}

/// Put an element of an array to the begun one with the same `index`; an
/// element without an index is one more.
fn merge_element(merged: &mut Vec<Value>, piece: Value) {
    let index = piece.get("index").and_then(Value::as_u64);
    let partial = match index {
        Some(index) => merged
            .iter_mut()
            .find(|partial| partial.get("index").and_then(Value::as_u64) == Some(index)),
        None => None,
    };
    match partial {
        Some(partial) => merge_value(partial, piece),
        None => merged.push(piece),
    }
}
