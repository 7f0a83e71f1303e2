//! The result of a ladder, in the form of its JSON.

use serde::{Deserialize, Serialize};

use super::fit::{Fitted, NoExponent};
use super::size::Size;
use crate::report::Report;

/// One run of the ladder: one process at one size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The size of the fleet.
    pub size: Size,
    /// Index of the round, from 0. A round runs every size once, all with the same seed.
    pub run: u32,
    /// The seed of the run.
    pub seed: u64,
    /// The report of the run; `None` if the run failed.
    pub report: Option<Report>,
    /// Why the run failed, in one line; `None` if it succeeded.
    pub failure: Option<String>,
}

/// Summary of a figure's values at one size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FigureAtSize {
    /// The size of the fleet.
    pub size: Size,
    /// Mean over the runs, in the figure's unit.
    pub mean: f64,
    /// Smallest value of a run, in the figure's unit.
    pub least: f64,
    /// Largest value of a run, in the figure's unit.
    pub most: f64,
}

/// The growth of one figure over the sizes of a ladder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Growth {
    /// The figure's name.
    pub name: String,
    /// The figure's unit.
    pub unit: String,
    /// The figure's values at each size at which it was measured.
    pub sizes: Vec<FigureAtSize>,
    /// The figure's slope, in its unit per endpoint or edge node; `None` if it was measured at fewer than
    /// two sizes.
    pub slope: Option<Fitted>,
    /// The exponent of the figure's growth; `None` if it has none.
    pub exponent: Option<Fitted>,
    /// Why the figure has no exponent; `None` if it has one.
    pub no_exponent: Option<NoExponent>,
}

/// A ladder: its runs at all sizes and the growth of their figures.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ladder {
    /// All arguments with their given or default values, so that the ladder can be repeated.
    pub arguments: serde_json::Value,
    /// The sizes, in the order of `--sizes`.
    pub sizes: Vec<Size>,
    /// All runs, including those that failed, in the order in which they were made.
    pub runs: Vec<Run>,
    /// The growth of each figure.
    pub figures: Vec<Growth>,
}
