//! Provides validation findings: all errors in an input document, each with
//! its location.

use std::fmt;

/// A `Finding` is one validation error in an input document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The location of the error: the input's name and a JSON pointer (RFC 6901).
    pub place: String,
    /// The value found there.
    pub found: String,
    /// The values allowed there.
    pub allowed: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: found {}; allowed: {}",
            self.place, self.found, self.allowed
        )
    }
}

/// A `Findings` is the list of all validation errors in an input document, in
/// the order in which they were added.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Create an empty list.
    pub fn new() -> Self {
        Findings::default()
    }

    /// Add a finding.
    pub fn add(
        &mut self,
        place: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        self.0.push(Finding {
            place: place.into(),
            found: found.into(),
            allowed: allowed.into(),
        });
    }

    /// Add all findings of `other`.
    pub fn append(&mut self, other: Findings) {
        self.0.extend(other.0);
    }

    /// Get whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Get the number of findings.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Get an iterator over the findings.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.0.iter()
    }

    /// Get `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the findings if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        match self.is_empty() {
            true => Ok(value),
            false => Err(self),
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
