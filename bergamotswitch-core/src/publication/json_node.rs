//! Provides the reading of JSON into checked types with all faults collected.
//!
//! A derived deserializer stops at the first fault; an operator who mends a
//! configuration wants them all. So the parsed tree is walked, and each
//! reader notes what it can't use and goes on.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde_json::{Map, Value};

use super::duplicates::refuse_duplicate_fields;
use crate::error::Findings;
use crate::name::{
    AccountName, AdapterName, DomainName, EngineRole, HostName, ModelName, NameError, PoolName,
    RegionName, RuleName, TargetName, VersionName, WorkKind,
};

/// The longest piece of an input that a finding repeats, in characters: a
/// finding is one line of a terminal or log.
const MAX_FOUND_CHARS: usize = 60;

/// A `JsonNode` is one place of a JSON text and what stands there.
#[derive(Clone, Debug)]
pub(crate) struct JsonNode<'v> {
    place: String,
    value: &'v Value,
}

/// A `ReadJson` type is made from a JSON node; where it can't be, the faults
/// are noted and nothing is returned.
pub(crate) trait ReadJson: Sized {
    /// Try to make the value from `node`, noting each fault.
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self>;
}

impl<'v> JsonNode<'v> {
    /// Get the top of the input called `input`.
    pub(crate) fn root(input: &str, value: &'v Value) -> Self {
        JsonNode {
            place: format!("{input}:"),
            value,
        }
    }

    /// Get the JSON pointer, under the input's name.
    pub(crate) fn place(&self) -> &str {
        &self.place
    }

    /// Get the text, where the node is one.
    pub(crate) fn text(&self) -> Option<&'v str> {
        self.value.as_str()
    }

    /// Get the fields, where the node is an object.
    pub(super) fn object(&self) -> Option<&'v Map<String, Value>> {
        self.value.as_object()
    }

    /// Get the node under `field`, where there is one.
    pub(crate) fn field(&self, field: &str) -> Option<JsonNode<'v>> {
        let value = self.value.get(field)?;
        Some(self.child(field, value))
    }

    /// Get the elements; none where the node is no list.
    pub(crate) fn elements(&self) -> Vec<JsonNode<'v>> {
        let list = self.value.as_array().map(Vec::as_slice).unwrap_or_default();
        list.iter()
            .enumerate()
            .map(|(index, value)| self.child(&index.to_string(), value))
            .collect()
    }

    /// Get whether the node is a list without elements.
    pub(crate) fn is_empty_list(&self) -> bool {
        self.value.as_array().is_some_and(Vec::is_empty)
    }

    /// Note that something else is allowed here.
    pub(crate) fn refuse(&self, findings: &mut Findings, allowed: impl Into<String>) {
        findings.add(self.place.clone(), truncated(self.value), allowed);
    }

    /// Note that something else is allowed here, without repeating what may
    /// be a secret.
    pub(crate) fn refuse_redacted(&self, findings: &mut Findings, allowed: impl Into<String>) {
        let found = match self.value {
            Value::String(text) => format!("a text of {} bytes (not shown)", text.len()),
            other => truncated(other),
        };
        findings.add(self.place.clone(), found, allowed);
    }

    /// Try to get a whole number inside `range`.
    pub(crate) fn number(
        &self,
        range: &RangeInclusive<u64>,
        findings: &mut Findings,
    ) -> Option<u64> {
        let number = self.value.as_u64().filter(|number| range.contains(number));
        if number.is_none() {
            let allowed = format!("a whole number from {} to {}", range.start(), range.end());
            self.refuse(findings, allowed);
        }
        number
    }

    /// Try to get a number with a fraction inside `range`.
    pub(crate) fn fraction(
        &self,
        range: &RangeInclusive<f64>,
        findings: &mut Findings,
    ) -> Option<f64> {
        let number = self.value.as_f64().filter(|number| range.contains(number));
        if number.is_none() {
            let allowed = format!("a number from {} to {}", range.start(), range.end());
            self.refuse(findings, allowed);
        }
        number
    }

    fn child(&self, step: &str, value: &'v Value) -> JsonNode<'v> {
        JsonNode {
            place: child_place(&self.place, step),
            value,
        }
    }
}

/// Get the JSON pointer of the field `step` under `place`.
pub(super) fn child_place(place: &str, step: &str) -> String {
    // RFC 6901: `~` and `/` inside a step are written `~0` and `~1`.
    let step = step.replace('~', "~0").replace('/', "~1");
    format!("{place}/{step}")
}

fn truncated(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_FOUND_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}

impl ReadJson for bool {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let flag = node.value.as_bool();
        if flag.is_none() {
            node.refuse(findings, "true or false");
        }
        flag
    }
}

impl ReadJson for SocketAddr {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let address = node.text().and_then(|text| text.parse().ok());
        if address.is_none() {
            node.refuse(findings, "an IP number and port, such as 10.0.0.7:7101");
        }
        address
    }
}

/// A list has at least one element: an empty one could be read as "none" or
/// as "all", and only the absence of a list says "all".
impl<T: ReadJson> ReadJson for Vec<T> {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let elements = node.elements();
        if elements.is_empty() {
            node.refuse(findings, "a list of one element or more");
            return None;
        }
        // Every element is read before the first bad one ends the reading,
        // so that the faults of all of them are noted.
        let read: Vec<Option<T>> = elements
            .iter()
            .map(|element| T::read(element, findings))
            .collect();
        read.into_iter().collect()
    }
}

macro_rules! read_names {
    ($($name:ident)*) => {$(
        impl ReadJson for $name {
            fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
                read_name(node, findings)
            }
        }
    )*};
}

read_names! { HostName DomainName RegionName TargetName PoolName AccountName RuleName WorkKind
ModelName VersionName AdapterName EngineRole }

fn read_name<T>(node: &JsonNode<'_>, findings: &mut Findings) -> Option<T>
where
    T: for<'t> TryFrom<&'t str, Error = NameError>,
{
    let Some(text) = node.text() else {
        node.refuse(findings, "a name as text");
        return None;
    };
    match T::try_from(text) {
        Ok(name) => Some(name),
        Err(error) => {
            node.refuse(findings, error.to_string());
            None
        }
    }
}

/// Try to make a `T` from a parsed JSON text.
///
/// # Errors
///
/// Returns every fault with its place.
pub(crate) fn read_value<T: ReadJson>(input: &str, value: &Value) -> Result<T, Findings> {
    let mut findings = Findings::new();
    let read = T::read(&JsonNode::root(input, value), &mut findings);
    match read {
        Some(read) if findings.is_empty() => Ok(read),
        _ => Err(findings),
    }
}

/// Try to make a `T` from JSON text.
///
/// # Errors
///
/// Returns every fault with its place; one where the text is no JSON.
pub(crate) fn read_text<T: ReadJson>(input: &str, text: &str) -> Result<T, Findings> {
    let mut findings = Findings::new();
    let value = match serde_json::from_str::<Value>(text) {
        Ok(value) => value,
        Err(error) => {
            findings.add(format!("{input}:"), error.to_string(), "JSON text");
            return Err(findings);
        }
    };
    refuse_duplicate_fields(input, text, &mut findings);
    match read_value(input, &value) {
        Ok(read) => findings.into_result(read),
        Err(faults) => {
            findings.append(faults);
            Err(findings)
        }
    }
}
