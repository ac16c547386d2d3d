//! Provides the `check` command, which validates published values and host
//! settings.

use std::fmt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bergamotswitch_core::error::Findings;
use bergamotswitch_core::publication::{Publication, check_consistency};
use bergamotswitch_core::settings::HostSettings;

use super::error::CommandError;
use super::files;
use super::output::write_out;

/// Check files and directories and print every finding with its location.
/// Exits with 1 if there are any.
pub(super) fn check(paths: &[PathBuf]) -> Result<ExitCode, CommandError> {
    let mut report = CheckReport::default();
    for path in paths {
        let mut publication = Publication::default();
        for file in list_files(path)? {
            let findings = check_file(&file, &mut publication)?;
            report.add(&file, &findings);
            report.file_count += 1;
        }
        // References between values can be resolved only with all values of a
        // deployment.
        if path.is_dir() {
            report.add(path, &check_consistency(&publication));
        }
    }
    write_out(&report.to_string())?;
    match report.finding_count {
        0 => Ok(ExitCode::SUCCESS),
        _ => Ok(ExitCode::from(1)),
    }
}

/// Get the file itself, or a directory's JSON files followed by those of its
/// `settings` subdirectory.
fn list_files(path: &Path) -> Result<Vec<PathBuf>, CommandError> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = files::json_files(path)?;
    let settings = path.join("settings");
    if settings.is_dir() {
        files.extend(files::json_files(&settings)?);
    }
    Ok(files)
}

fn check_file(path: &Path, publication: &mut Publication) -> Result<Findings, CommandError> {
    let result = match files::value_name(path) {
        Some(name) => publication.apply(&files::read_value(path, name)?),
        None => HostSettings::try_from_json(&files::read(path)?).map(|_| ()),
    };
    Ok(result.err().unwrap_or_default())
}

/// A `CheckReport` holds the findings of all checked files, one per line.
#[derive(Debug, Default)]
struct CheckReport {
    lines: Vec<String>,
    file_count: usize,
    finding_count: usize,
}

impl CheckReport {
    fn add(&mut self, path: &Path, findings: &Findings) {
        let path = path.display();
        let lines = findings.iter().map(|finding| format!("{path}: {finding}"));
        self.lines.extend(lines);
        self.finding_count += findings.len();
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        let (file_count, finding_count) = (self.file_count, self.finding_count);
        writeln!(f, "{file_count} files checked, {finding_count} findings")
    }
}
