//! Provides the published failure domains.

use serde_json::Value;

use super::duplicates::refuse_duplicate_names;
use super::json_node::{JsonNode, ReadJson, read_value};
use super::object_reader::ObjectReader;
use crate::error::Findings;
use crate::failure_domain::{DomainName, FailureDomain, RegionName};
use crate::revision::DOMAINS_VALUE;

/// A `DomainList` is the list of published failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DomainList {
    domains: Vec<FailureDomain>,
}

impl DomainList {
    /// Get the failure domains in published order.
    pub fn domains(&self) -> &[FailureDomain] {
        &self.domains
    }

    /// Get the failure domain with this name.
    pub fn domain(&self, name: &DomainName) -> Option<&FailureDomain> {
        self.domains.iter().find(|domain| domain.name == *name)
    }

    /// Get the region that contains a failure domain.
    pub fn region(&self, name: &DomainName) -> Option<&RegionName> {
        self.domain(name).map(|domain| &domain.region)
    }
}

impl TryFrom<&Value> for DomainList {
    type Error = Findings;

    fn try_from(value: &Value) -> Result<Self, Findings> {
        read_value(DOMAINS_VALUE, value)
    }
}

impl ReadJson for DomainList {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let domains = object.required("domains");
        object.finish();
        let elements = node.field("domains").map(|list| list.elements());
        refuse_duplicate_names(&elements.unwrap_or_default(), findings);
        Some(DomainList { domains: domains? })
    }
}

impl ReadJson for FailureDomain {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let name = object.required("name");
        let region = object.required("region");
        object.finish();
        Some(FailureDomain {
            name: name?,
            region: region?,
        })
    }
}
