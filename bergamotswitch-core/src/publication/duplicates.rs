//! Provides the detection of duplicate JSON fields, names and addresses.
//!
//! A JSON parser that builds a map silently keeps only the last of several fields
//! with the same name, so duplicate fields are searched for in the text.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::hash::Hash;
use std::net::SocketAddr;

use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};

use super::json_node::{JsonNode, child_place};
use crate::error::Findings;

/// Report each field in `text` that repeats an earlier one of the same object.
/// Syntax errors are ignored: the caller's parser reports them.
pub(crate) fn refuse_duplicate_fields(input: &str, text: &str, findings: &mut Findings) {
    let visitor = DuplicateFieldVisitor {
        place: format!("{input}:"),
        findings,
    };
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let _ = visitor.deserialize(&mut deserializer);
}

/// A `DuplicateFieldVisitor` visits the JSON value at `place` and reports duplicate
/// fields in it.
struct DuplicateFieldVisitor<'f> {
    place: String,
    findings: &'f mut Findings,
}

impl<'de> DeserializeSeed<'de> for DuplicateFieldVisitor<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for DuplicateFieldVisitor<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "JSON")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let mut seen = HashSet::new();
        while let Some(field) = map.next_key::<String>()? {
            let place = child_place(&self.place, &field);
            if seen.contains(&field) {
                let allowed = "the field once";
                self.findings.add(place, "a repeated field", allowed);
                map.next_value::<IgnoredAny>()?;
                continue;
            }
            seen.insert(field);
            map.next_value_seed(DuplicateFieldVisitor {
                place,
                findings: &mut *self.findings,
            })?;
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        let mut index = 0;
        loop {
            let visitor = DuplicateFieldVisitor {
                place: format!("{}/{index}", self.place),
                findings: &mut *self.findings,
            };
            if list.next_element_seed(visitor)?.is_none() {
                return Ok(());
            }
            index += 1;
        }
    }

    fn visit_bool<E>(self, _: bool) -> Result<(), E> {
        Ok(())
    }

    fn visit_i64<E>(self, _: i64) -> Result<(), E> {
        Ok(())
    }

    fn visit_u64<E>(self, _: u64) -> Result<(), E> {
        Ok(())
    }

    fn visit_f64<E>(self, _: f64) -> Result<(), E> {
        Ok(())
    }

    fn visit_str<E>(self, _: &str) -> Result<(), E> {
        Ok(())
    }

    fn visit_unit<E>(self) -> Result<(), E> {
        Ok(())
    }
}

/// Get the child node of `field` of each element that has it.
pub(crate) fn fields<'v>(elements: &[JsonNode<'v>], field: &str) -> Vec<JsonNode<'v>> {
    elements
        .iter()
        .filter_map(|element| element.field(field))
        .collect()
}

/// Report each element whose name repeats an earlier one. Works on the raw nodes,
/// so that elements with other errors are included.
pub(crate) fn refuse_duplicate_names(elements: &[JsonNode<'_>], findings: &mut Findings) {
    let names = fields(elements, "name");
    refuse_duplicates(&names, |node| node.text(), findings);
}

/// Report each address that repeats an earlier one. Addresses are compared in
/// canonical form: `[::1]:80` equals `[0::1]:080`.
pub(crate) fn refuse_duplicate_addresses(nodes: &[JsonNode<'_>], findings: &mut Findings) {
    let canonical = |node: &JsonNode<'_>| {
        let address: SocketAddr = node.text()?.parse().ok()?;
        Some(SocketAddr::new(address.ip().to_canonical(), address.port()))
    };
    refuse_duplicates(nodes, canonical, findings);
}

/// Report each node whose key repeats that of an earlier one.
pub(crate) fn refuse_duplicates<'v, K: Eq + Hash>(
    nodes: &[JsonNode<'v>],
    key_of: impl Fn(&JsonNode<'v>) -> Option<K>,
    findings: &mut Findings,
) {
    let mut seen: HashMap<K, &str> = HashMap::new();
    for node in nodes {
        let Some(key) = key_of(node) else { continue };
        match seen.get(&key) {
            Some(first) => {
                let allowed = format!("a unique value: {first} has the same");
                node.refuse_redacted(findings, allowed);
            }
            None => {
                seen.insert(key, node.place());
            }
        }
    }
}
