//! Provides the conversion of JSON into validated types with all errors collected.
//!
//! A derived deserializer stops at the first error. These readers walk the parsed
//! tree, report each error as a finding and continue, so that an operator sees all
//! errors of a configuration at once.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde_json::{Map, Value};

use super::duplicates::refuse_duplicate_fields;
use crate::error::Findings;
use crate::name::{
    AccountName, AdapterName, DomainName, EngineRole, HostName, ModelName, NameError, PoolName,
    RegionName, RuleName, TargetName, VersionName, WorkKind,
};

/// The maximum number of input characters that a finding quotes, so that it fits
/// on one line of a terminal or log.
const MAX_FOUND_CHARS: usize = 60;

/// A `JsonNode` is a value in a JSON document with its location.
#[derive(Clone, Debug)]
pub(crate) struct JsonNode<'v> {
    place: String,
    value: &'v Value,
}

/// A `ReadJson` type can be read from a JSON node, with errors reported as
/// findings.
pub(crate) trait ReadJson: Sized {
    /// Try to read the value from `node`. Adds a finding for each error and returns
    /// `None` if there is no usable value.
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self>;
}

impl<'v> JsonNode<'v> {
    /// Get the root node of the input named `input`.
    pub(crate) fn root(input: &str, value: &'v Value) -> Self {
        JsonNode {
            place: format!("{input}:"),
            value,
        }
    }

    /// Get the location: the input's name and a JSON pointer.
    pub(crate) fn place(&self) -> &str {
        &self.place
    }

    /// Get the text if the node is a string.
    pub(crate) fn text(&self) -> Option<&'v str> {
        self.value.as_str()
    }

    /// Get the fields if the node is an object.
    pub(super) fn object(&self) -> Option<&'v Map<String, Value>> {
        self.value.as_object()
    }

    /// Get the child node of `field` if the node is an object that has it.
    pub(crate) fn field(&self, field: &str) -> Option<JsonNode<'v>> {
        let value = self.value.get(field)?;
        Some(self.child(field, value))
    }

    /// Get the elements if the node is a list, and an empty list otherwise.
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

    /// Add a finding that only `allowed` values are valid here.
    pub(crate) fn refuse(&self, findings: &mut Findings, allowed: impl Into<String>) {
        findings.add(self.place.clone(), truncated(self.value), allowed);
    }

    /// Add a finding that only `allowed` values are valid here. It omits the text
    /// found, which may be a secret.
    pub(crate) fn refuse_redacted(&self, findings: &mut Findings, allowed: impl Into<String>) {
        let found = match self.value {
            Value::String(text) => format!("a text of {} bytes (not shown)", text.len()),
            other => truncated(other),
        };
        findings.add(self.place.clone(), found, allowed);
    }

    /// Try to get an integer in `range`.
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

    /// Try to get a floating-point number in `range`.
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

/// Get the location of the field or index `step` in the node at `place`.
pub(super) fn child_place(place: &str, step: &str) -> String {
    // RFC 6901 escapes `~` and `/` as `~0` and `~1`.
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
            node.refuse(findings, "an IP address and port, such as 10.0.0.7:7101");
        }
        address
    }
}

/// A list needs at least one element. An empty list is ambiguous, because an
/// absent one means "all".
impl<T: ReadJson> ReadJson for Vec<T> {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let elements = node.elements();
        if elements.is_empty() {
            node.refuse(findings, "a list of one element or more");
            return None;
        }
        // Collecting the results first reads all elements, so that errors after
        // the first one are reported too.
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

/// Try to read a `T` from a parsed JSON value.
///
/// # Errors
///
/// Returns a finding for each error.
pub(crate) fn read_value<T: ReadJson>(input: &str, value: &Value) -> Result<T, Findings> {
    let mut findings = Findings::new();
    let read = T::read(&JsonNode::root(input, value), &mut findings);
    match read {
        Some(read) if findings.is_empty() => Ok(read),
        _ => Err(findings),
    }
}

/// Try to read a `T` from JSON text.
///
/// # Errors
///
/// Returns a finding for each error, or a single one if the text is not JSON.
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
