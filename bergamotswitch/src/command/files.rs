//! Provides access to the files of a deployment, which hold the values that the
//! configuration service publishes.

use std::path::{Path, PathBuf};

use bergamotswitch_core::error::Findings;
use bergamotswitch_core::publication::Publication;
use bergamotswitch_core::revision::{
    ACCOUNTS_VALUE, DOMAINS_VALUE, HOSTS_VALUE, LIMITS_VALUE, POOLS_VALUE, PublishedValue,
    RULES_VALUE, Revision, ValueName,
};

use super::error::CommandError;

/// The names of the published values, in the order in which they are checked.
pub(super) const VALUE_NAMES: [&str; 6] = [
    DOMAINS_VALUE,
    ACCOUNTS_VALUE,
    POOLS_VALUE,
    RULES_VALUE,
    LIMITS_VALUE,
    HOSTS_VALUE,
];

/// Try to read a file as text.
pub(super) fn read(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| CommandError::Read(path.to_owned(), error))
}

/// Try to list the JSON files of a directory, sorted by name.
pub(super) fn json_files(directory: &Path) -> Result<Vec<PathBuf>, CommandError> {
    let fail = |error| CommandError::Read(directory.to_owned(), error);
    let mut files = Vec::new();
    for entry in std::fs::read_dir(directory).map_err(fail)? {
        let file = entry.map_err(fail)?.path();
        if file
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

/// Get the name of the value that a file holds: `rules.json` holds `rules`.
pub(super) fn value_name(path: &Path) -> Option<ValueName> {
    let stem = path.file_stem()?.to_str()?;
    match VALUE_NAMES.contains(&stem) {
        true => ValueName::try_from(stem).ok(),
        false => None,
    }
}

/// Try to read a file as a published value with revision 1.
pub(super) fn read_value(path: &Path, name: ValueName) -> Result<PublishedValue, CommandError> {
    Ok(PublishedValue {
        name,
        revision: Revision(1),
        body: read(path)?,
    })
}

/// Try to read all published values of a deployment.
///
/// # Errors
///
/// Returns the first file that cannot be read or is invalid, with all findings
/// for that file.
pub(super) fn read_deployment(directory: &Path) -> Result<Publication, CommandError> {
    let mut publication = Publication::default();
    for name in VALUE_NAMES {
        let path: PathBuf = directory.join(format!("{name}.json"));
        let Some(name) = value_name(&path) else {
            continue;
        };
        let value = read_value(&path, name)?;
        let result: Result<(), Findings> = publication.apply(&value);
        result.map_err(|findings| CommandError::Invalid(path, findings))?;
    }
    Ok(publication)
}
