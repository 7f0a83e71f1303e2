//! Fits the growth of a figure over the sizes of a ladder by least squares: its slope and the exponent of its
//! growth.

use serde::{Deserialize, Serialize};

/// A fitted value and its spread over the rounds of the ladder. A round runs every size once, all with the
/// same seed.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Fitted {
    /// The value fitted to the points of all rounds together.
    pub value: f64,
    /// The smallest of `value` and the values fitted to each round alone.
    pub least: f64,
    /// The largest of `value` and the values fitted to each round alone.
    pub most: f64,
}

/// One measured value of a figure.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// Index of the round, from 0.
    pub round: u32,
    /// The size: the number of endpoints or of edge nodes.
    pub size: f64,
    /// The figure's value, in its unit.
    pub value: f64,
}

/// The reason why a figure has no exponent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NoExponent {
    /// The figure is zero or negative in at least one point, where it has no logarithm.
    NotPositive,
    /// The figure was measured at fewer than two sizes.
    OneSize,
}

/// A point in the plane to which a line is fitted.
#[derive(Clone, Copy)]
struct Coordinates {
    x: f64,
    y: f64,
}

/// Returns the figure's slope, in its unit per endpoint or edge node. Returns `None` if it was measured at
/// fewer than two sizes.
pub fn slope(points: &[Point]) -> Option<Fitted> {
    fit_with_spread(points, |point| Coordinates { x: point.size, y: point.value })
}

/// Returns the exponent `b` of `value = a * size^b`. At 0 the figure is constant, at 1 it grows in proportion
/// to the size.
///
/// # Errors
/// Returns an error if a value is not positive, or the figure was measured at fewer than two sizes.
pub fn exponent(points: &[Point]) -> Result<Fitted, NoExponent> {
    if points.iter().any(|point| point.value <= 0.0) {
        return Err(NoExponent::NotPositive);
    }
    let logarithms = |point: &Point| Coordinates { x: point.size.ln(), y: point.value.ln() };
    fit_with_spread(points, logarithms).ok_or(NoExponent::OneSize)
}

/// Fits a line to all points, and one to the points of each round alone. Returns the slopes, or `None` if the
/// points have fewer than two sizes.
fn fit_with_spread(points: &[Point], coordinates: impl Fn(&Point) -> Coordinates) -> Option<Fitted> {
    let all: Vec<Coordinates> = points.iter().map(&coordinates).collect();
    let value = line_slope(&all)?;
    let mut rounds: Vec<u32> = points.iter().map(|point| point.round).collect();
    rounds.sort_unstable();
    rounds.dedup();
    let mut fitted = Fitted { value, least: value, most: value };
    for round in rounds {
        let of_round = points.iter().filter(|point| point.round == round);
        let of_round: Vec<Coordinates> = of_round.map(&coordinates).collect();
        // If all runs of a round but those at one size failed, no line can be fitted to this round.
        if let Some(alone) = line_slope(&of_round) {
            fitted.least = fitted.least.min(alone);
            fitted.most = fitted.most.max(alone);
        }
    }
    Some(fitted)
}

/// Returns the slope of the least-squares line through the points; `None` if all have the same `x`.
fn line_slope(points: &[Coordinates]) -> Option<f64> {
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
    // Sizes are whole numbers, so two different sizes differ by far more than rounding errors.
    (square > 1e-9).then(|| product / square).filter(|slope| slope.is_finite())
}
