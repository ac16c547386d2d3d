//! Provides the reading of JSON objects: their fields are taken one by one,
//! and what is left over is a fault.

use std::ops::RangeInclusive;

use serde_json::{Map, Value};

use super::json_node::{JsonNode, ReadJson, child_place};
use crate::error::Findings;

/// An `ObjectReader` takes the fields of one JSON object and, at the end,
/// reports those that nobody asked for.
#[derive(Debug)]
pub(crate) struct ObjectReader<'v, 'f> {
    node: JsonNode<'v>,
    map: &'v Map<String, Value>,
    known: Vec<&'static str>,
    findings: &'f mut Findings,
}

impl<'v, 'f> ObjectReader<'v, 'f> {
    /// Try to read `node` as an object.
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

    /// Try to get a field that must be there.
    pub(crate) fn required<T: ReadJson>(&mut self, field: &'static str) -> Option<T> {
        match self.take(field) {
            Some(node) => T::read(&node, self.findings),
            None => {
                let place = format!("{}/{field}", self.node.place());
                self.findings
                    .add(place, "nothing", "a value: the field is needed");
                None
            }
        }
    }

    /// Try to get a field that may be absent; `Some(None)` where it is.
    pub(crate) fn optional<T: ReadJson>(&mut self, field: &'static str) -> Option<Option<T>> {
        match self.take(field) {
            Some(node) => T::read(&node, self.findings).map(Some),
            None => Some(None),
        }
    }

    /// Try to get a field, its type's default where it is absent.
    pub(crate) fn or_default<T: ReadJson + Default>(&mut self, field: &'static str) -> Option<T> {
        self.optional(field).map(Option::unwrap_or_default)
    }

    /// Try to get a number in `range` that may be absent; `Some(None)` where
    /// it is.
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

    /// Try to get a fraction in `range` that may be absent; `Some(None)` where
    /// it is.
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

    /// Get the node of a field, which counts as known from now on.
    pub(crate) fn take(&mut self, field: &'static str) -> Option<JsonNode<'v>> {
        self.known.push(field);
        self.node.field(field)
    }

    /// Get the place where findings go.
    pub(crate) fn findings(&mut self) -> &mut Findings {
        self.findings
    }

    /// Report the fields that were not asked for. A misspelt field that is
    /// passed over would leave its default in force without anyone noticing.
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
