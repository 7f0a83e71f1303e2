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
    /// The size against which growth is told.
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

/// The figure's slope, in its unit per server or node; none if it was measured at one size alone.
pub fn slope(points: &[Point]) -> Option<Fitted> {
    over_runs(points, |p| (p.size, p.value))
}

/// The exponent `b` of `value = a * size^b`: 0 does not grow, 1 grows as the fleet does.
pub fn exponent(points: &[Point]) -> Result<Fitted, NoExponent> {
    if points.iter().any(|p| p.value <= 0.0) {
        return Err(NoExponent::NotPositive);
    }
    over_runs(points, |p| (p.size.ln(), p.value.ln())).ok_or(NoExponent::OneSize)
}

fn over_runs(points: &[Point], place: impl Fn(&Point) -> (f64, f64)) -> Option<Fitted> {
    let value = steepness(points.iter().map(&place))?;
    let mut runs: Vec<u32> = points.iter().map(|p| p.run).collect();
    runs.sort_unstable();
    runs.dedup();
    // A run of which only one size is left says nothing by itself.
    let alone = |run| steepness(points.iter().filter(|p| p.run == run).map(&place));
    let (least, most) =
        runs.into_iter().filter_map(alone).fold((value, value), |(l, m), v| (l.min(v), m.max(v)));
    Some(Fitted { value, least, most })
}

/// The steepness of the line through the points that has the least squares.
fn steepness(points: impl Iterator<Item = (f64, f64)> + Clone) -> Option<f64> {
    let count = points.clone().count() as f64;
    let (x, y) = points.clone().fold((0.0, 0.0), |(x, y), p| (x + p.0 / count, y + p.1 / count));
    let (square, product) =
        points.fold((0.0, 0.0), |(s, p), (a, b)| (s + (a - x).powi(2), p + (a - x) * (b - y)));
    // Sizes are whole numbers, so any two that differ are far apart beside rounding.
    (square > 1e-9).then(|| product / square).filter(|steepness| steepness.is_finite())
}
