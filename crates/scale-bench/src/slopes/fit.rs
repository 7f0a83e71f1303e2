//! How a figure grows along a ladder: its slope, and the exponent of its growth, by least squares.

use serde::{Deserialize, Serialize};

/// A fitted value and its spread over the runs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Fitted {
    /// Fitted to the points of all runs.
    pub value: f64,
    /// The least that one run alone gives.
    pub least: f64,
    /// The most that one run alone gives.
    pub most: f64,
}

/// One measured value of a figure.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// Which run of the ladder, from 0.
    pub run: u32,
    /// The size that growth is measured against.
    pub size: f64,
    /// The figure's value.
    pub value: f64,
}

/// Why a figure has no exponent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NoExponent {
    /// It is zero or negative somewhere, and has no logarithm there.
    NotPositive,
    /// It was measured at one size alone.
    OneSize,
}

/// A point in the plane in which a line is fitted.
#[derive(Clone, Copy)]
struct Coordinates {
    x: f64,
    y: f64,
}

/// The figure's slope, in its unit per endpoint or node; none if it was measured at one size alone.
pub fn slope(points: &[Point]) -> Option<Fitted> {
    fit_with_spread(points, |point| Coordinates { x: point.size, y: point.value })
}

/// The exponent `b` of `value = a * size^b`: 0 does not grow, 1 grows as the fleet does.
///
/// # Errors
/// If the points have none.
pub fn exponent(points: &[Point]) -> Result<Fitted, NoExponent> {
    if points.iter().any(|point| point.value <= 0.0) {
        return Err(NoExponent::NotPositive);
    }
    let logarithms = |point: &Point| Coordinates { x: point.size.ln(), y: point.value.ln() };
    fit_with_spread(points, logarithms).ok_or(NoExponent::OneSize)
}

/// Fits a line through all points, and one through the points of each run.
fn fit_with_spread(points: &[Point], coordinates: impl Fn(&Point) -> Coordinates) -> Option<Fitted> {
    let all: Vec<Coordinates> = points.iter().map(&coordinates).collect();
    let value = steepness(&all)?;
    let mut runs: Vec<u32> = points.iter().map(|point| point.run).collect();
    runs.sort_unstable();
    runs.dedup();
    let mut fitted = Fitted { value, least: value, most: value };
    for run in runs {
        let of_run = points.iter().filter(|point| point.run == run);
        let of_run: Vec<Coordinates> = of_run.map(&coordinates).collect();
        // A run of which only one size is left has no steepness of its own.
        if let Some(alone) = steepness(&of_run) {
            fitted.least = fitted.least.min(alone);
            fitted.most = fitted.most.max(alone);
        }
    }
    Some(fitted)
}

/// The steepness of the line with the least squares through the points.
fn steepness(points: &[Coordinates]) -> Option<f64> {
    let count = points.len() as f64;
    let mut mean = Coordinates { x: 0.0, y: 0.0 };
    for point in points {
        mean.x += point.x / count;
        mean.y += point.y / count;
    }
    let mut square = 0.0;
    let mut product = 0.0;
    for point in points {
        square += (point.x - mean.x).powi(2);
        product += (point.x - mean.x) * (point.y - mean.y);
    }
    // Sizes are whole numbers, so any two that differ are far apart compared with rounding errors.
    (square > 1e-9).then(|| product / square).filter(|steepness| steepness.is_finite())
}
