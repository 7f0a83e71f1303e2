//! The result of a ladder, as its JSON has it.

use serde::{Deserialize, Serialize};

use super::fit::{Fitted, NoExponent};
use super::size::Size;
use crate::report::Report;

/// One run of the ladder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Its size.
    pub size: Size,
    /// Which run at this size, from 0.
    pub run: u32,
    /// Its seed.
    pub seed: u64,
    /// What it measured; none if it failed.
    pub report: Option<Report>,
    /// Why it failed, in one line.
    pub failure: Option<String>,
}

/// A figure at one size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AtSize {
    /// The size.
    pub size: Size,
    /// Mean over the runs.
    pub mean: f64,
    /// The least of them.
    pub least: f64,
    /// The most of them.
    pub most: f64,
}

/// How one figure grows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Growth {
    /// The figure's name.
    pub name: String,
    /// Its unit.
    pub unit: String,
    /// Its values at the sizes where it was measured.
    pub sizes: Vec<AtSize>,
    /// Its slope, in its unit per endpoint or node.
    pub slope: Option<Fitted>,
    /// The exponent of its growth.
    pub exponent: Option<Fitted>,
    /// Why it has none.
    pub no_exponent: Option<NoExponent>,
}

/// A whole ladder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ladder {
    /// All arguments as given or defaulted, so that it can be made again.
    pub arguments: serde_json::Value,
    /// The sizes, in their order.
    pub sizes: Vec<Size>,
    /// Every run with its figures.
    pub runs: Vec<Run>,
    /// How the figures grow.
    pub figures: Vec<Growth>,
}
