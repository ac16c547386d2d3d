//! Provides the JSON reader of enumerated values.

use super::json_node::JsonNode;
use crate::error::Findings;

/// Try to get the choice whose name is the node's text.
pub(crate) fn read_choice<T: Copy>(
    node: &JsonNode<'_>,
    choices: &[(&str, T)],
    findings: &mut Findings,
) -> Option<T> {
    let text = node.text().unwrap_or_default();
    match choices.iter().find(|(name, _)| *name == text) {
        Some((_, choice)) => Some(*choice),
        None => {
            let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
            node.refuse(findings, names.join(" or "));
            None
        }
    }
}
