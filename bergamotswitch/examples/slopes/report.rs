//! Provides the text report of the measured slopes.

use std::cell::RefCell;
use std::fmt::Display;
use std::time::Instant;

use crate::fit::{LineFit, Point};

/// A `SlopeReport` collects the results of measurements as a text table.
pub struct SlopeReport {
    started_at: Instant,
    text: RefCell<String>,
}

impl SlopeReport {
    /// Get an empty report.
    pub fn new() -> Self {
        SlopeReport {
            started_at: Instant::now(),
            text: RefCell::default(),
        }
    }

    /// Get the header of the table.
    pub fn head() -> String {
        format!(
            "{:<62} {:>11}   {:<9} {:>11} {:>6}  points (size: value)",
            "quantity, by size", "slope", "std error", "intercept", "R2"
        )
    }

    /// Add a line of text.
    pub fn line(&self, line: impl Display) {
        let mut text = self.text.borrow_mut();
        text.push_str(&line.to_string());
        text.push('\n');
    }

    /// Start a section.
    pub fn section(&self, name: &str) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        self.line(format_args!("\n# {name} (after {seconds:.0} s)"));
    }

    /// Add a line fit through `points`.
    pub fn slope(&self, quantity: &str, points: &[Point]) {
        let fit = LineFit::of(points);
        let values: Vec<String> = points
            .iter()
            .map(|p| format!("{}: {}", p.size, ShortNumber(p.value)))
            .collect();
        let values = values.join(", ");
        self.line(format_args!("{quantity:<62} {fit}  {values}"));
    }

    /// Add a single value that doesn't depend on a size.
    pub fn figure(&self, quantity: &str, value: f64) {
        self.line(format_args!("{quantity:<62} {value:>11.3}"));
    }

    /// Get the text of the report.
    pub fn into_text(self) -> String {
        self.text.into_inner()
    }
}

struct ShortNumber(f64);

impl std::fmt::Display for ShortNumber {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0.abs() {
            large if large >= 1_000.0 => write!(f, "{:.0}", self.0),
            medium if medium >= 10.0 => write!(f, "{:.1}", self.0),
            _ => write!(f, "{:.3}", self.0),
        }
    }
}

/// Call `measure` at each size and collect the points.
pub fn measure_at_sizes(sizes: &[usize], mut measure: impl FnMut(usize) -> f64) -> Vec<Point> {
    sizes
        .iter()
        .map(|size| Point {
            size: *size as f64,
            value: measure(*size),
        })
        .collect()
}
