//! Provides a reader of JSON objects that reports missing, invalid and unknown
//! fields.

use std::ops::RangeInclusive;

use serde_json::{Map, Value};

use super::json_node::{JsonNode, ReadJson, child_place};
use crate::error::Findings;

/// An `ObjectReader` reads the fields of a JSON object by name and reports unknown
/// fields when it is finished.
#[derive(Debug)]
pub(crate) struct ObjectReader<'v, 'f> {
    node: JsonNode<'v>,
    map: &'v Map<String, Value>,
    known: Vec<&'static str>,
    findings: &'f mut Findings,
}

impl<'v, 'f> ObjectReader<'v, 'f> {
    /// Try to get a reader for `node`, which must be an object.
    pub(crate) fn open(node: &JsonNode<'v>, findings: &'f mut Findings) -> Option<Self> {
        let Some(map) = node.object() else {
            node.refuse(findings, "an object");
            return None;
        };
        Some(ObjectReader {
            node: node.clone(),
            map,
            known: Vec::new(),
            findings,
        })
    }

    /// Try to get a required field.
    pub(crate) fn required<T: ReadJson>(&mut self, field: &'static str) -> Option<T> {
        match self.take(field) {
            Some(node) => T::read(&node, self.findings),
            None => {
                let place = format!("{}/{field}", self.node.place());
                self.findings
                    .add(place, "nothing", "a value: the field is required");
                None
            }
        }
    }

    /// Try to get an optional field. Returns `Some(None)` if it is absent and
    /// `None` if it is invalid.
    pub(crate) fn optional<T: ReadJson>(&mut self, field: &'static str) -> Option<Option<T>> {
        match self.take(field) {
            Some(node) => T::read(&node, self.findings).map(Some),
            None => Some(None),
        }
    }

    /// Try to get a field, or its type's default if it is absent.
    pub(crate) fn or_default<T: ReadJson + Default>(&mut self, field: &'static str) -> Option<T> {
        self.optional(field).map(Option::unwrap_or_default)
    }

    /// Try to get an optional integer in `range`. Returns `Some(None)` if it is
    /// absent and `None` if it is invalid.
    pub(crate) fn number(
        &mut self,
        field: &'static str,
        range: &RangeInclusive<u64>,
    ) -> Option<Option<u64>> {
        match self.take(field) {
            Some(node) => node.number(range, self.findings).map(Some),
            None => Some(None),
        }
    }

    /// Try to get an optional floating-point number in `range`. Returns `Some(None)`
    /// if it is absent and `None` if it is invalid.
    pub(crate) fn fraction(
        &mut self,
        field: &'static str,
        range: &RangeInclusive<f64>,
    ) -> Option<Option<f64>> {
        match self.take(field) {
            Some(node) => node.fraction(range, self.findings).map(Some),
            None => Some(None),
        }
    }

    /// Get the node of a field if it is present, and mark the field as known.
    pub(crate) fn take(&mut self, field: &'static str) -> Option<JsonNode<'v>> {
        self.known.push(field);
        self.node.field(field)
    }

    /// Get the findings to which the reader adds.
    pub(crate) fn findings(&mut self) -> &mut Findings {
        self.findings
    }

    /// Report unknown fields. If a misspelt field were ignored, its default would
    /// silently apply.
    pub(crate) fn finish(self) {
        for field in self.map.keys() {
            if !self.known.contains(&field.as_str()) {
                let allowed = format!("one of the fields {}", self.known.join(", "));
                let place = child_place(self.node.place(), field);
                self.findings.add(place, "an unknown field", allowed);
            }
        }
    }
}
