//! Provides validated name types for hosts, pools, targets and other items of
//! the configuration.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The maximum length of a name in bytes. Every permit request carries names, so
/// this also bounds the size of the control traffic.
pub const MAX_NAME_LEN: usize = 64;

/// A `NameError` is the reason why a text is not a valid name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_NAME_LEN`] bytes.
    TooLong,
    /// The text has a character other than ASCII letters, digits, `-`, `_`, `.`.
    BadCharacter(char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NameError::Empty => write!(f, "a name must not be empty"),
            NameError::TooLong => write!(f, "a name has at most {MAX_NAME_LEN} bytes"),
            NameError::BadCharacter(found) => write!(
                f,
                "a name has ASCII letters, digits, '-', '_' and '.', not {found:?}"
            ),
        }
    }
}

impl std::error::Error for NameError {}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_LEN {
        return Err(NameError::TooLong);
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(NameError::BadCharacter(found)),
        None => Ok(()),
    }
}

macro_rules! checked_names {
    ($($(#[$doc:meta])* $name:ident)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Get the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok($name(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                $name::try_from(text.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }
    )*};
}

checked_names! {
    /// A `HostName` is the name of an entry host.
    HostName
    /// A `DomainName` is the name of a failure domain.
    DomainName
    /// A `RegionName` is the name of a region, a group of failure domains.
    RegionName
    /// A `TargetName` is the name of a target, one instance of a model engine or
    /// plain service.
    TargetName
    /// A `PoolName` is the name of a target pool. Callers select the pool by
    /// `model` or by the service in the path.
    PoolName
    /// An `AccountName` is the name of a client account.
    AccountName
    /// A `RuleName` is the name of a scheduling rule.
    RuleName
    /// A `WorkKind` is the caller's label for the purpose of a request, such as
    /// `trajectory-report`.
    WorkKind
    /// A `ModelName` is an engine's name for a model.
    ModelName
    /// A `VersionName` is the name of a version of a model or adapter.
    VersionName
    /// An `AdapterName` is an engine's name for an adapter.
    AdapterName
    /// An `EngineRole` is an engine's label for the task it serves with its model.
    EngineRole
    /// A `ValueName` is the name of a published value.
    ValueName
}
