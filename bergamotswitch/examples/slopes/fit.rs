//! Provides a least-squares line fit.

use std::fmt;

/// A `Point` is the value measured at one size.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

/// A `LineFit` is a least-squares line with its goodness of fit.
#[derive(Clone, Copy, Debug)]
pub struct LineFit {
    /// The growth of the value per unit of size.
    pub slope: f64,
    /// The value at size 0.
    pub intercept: f64,
    /// The standard error of the slope.
    pub error: f64,
    /// The coefficient of determination, from 0 to 1.
    pub r2: f64,
}

impl LineFit {
    /// Fit a line to at least three `points`.
    pub fn of(points: &[Point]) -> Self {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|p| p.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|p| p.value).sum::<f64>() / count;
        let size_squares: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
        let covariance: f64 = points
            .iter()
            .map(|p| (p.size - mean_size) * (p.value - mean_value))
            .sum();
        let slope = covariance / size_squares;
        let intercept = mean_value - slope * mean_size;
        let residual_squares: f64 = points
            .iter()
            .map(|p| (p.value - intercept - slope * p.size).powi(2))
            .sum();
        let total_squares: f64 = points.iter().map(|p| (p.value - mean_value).powi(2)).sum();
        LineFit {
            slope,
            intercept,
            error: (residual_squares / (count - 2.0).max(1.0) / size_squares).sqrt(),
            // Identical values are a perfect fit.
            r2: if total_squares > 0.0 {
                1.0 - residual_squares / total_squares
            } else {
                1.0
            },
        }
    }
}

impl fmt::Display for LineFit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LineFit {
            slope,
            intercept,
            error,
            r2,
        } = self;
        write!(
            f,
            "{slope:>11.4} ± {error:<9.4} {intercept:>11.3} {r2:>6.3}"
        )
    }
}
