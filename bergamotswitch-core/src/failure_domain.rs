//! Provides failure domains, such as zones: groups of machines that may fail
//! together.

use serde::{Deserialize, Serialize};

pub use crate::name::{DomainName, RegionName};

/// A `FailureDomain` is a group of machines that may fail together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// The domain's name.
    pub name: DomainName,
    /// The region that contains the domain.
    pub region: RegionName,
}
