//! The values of the `node` options that are neither numbers nor texts.

use std::str::FromStr;

use clap::ValueEnum;
use serde::Serialize;

/// How requests are spaced.
#[derive(ValueEnum, Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Arrivals {
    /// Each independent of the others.
    Poisson,
    /// All alike.
    Even,
}

/// How work times at app servers are spread.
#[derive(ValueEnum, Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkTimes {
    /// Exponentially.
    Exponential,
    /// All are the mean.
    Fixed,
}

/// What list the node has at its start.
#[derive(ValueEnum, Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InitialList {
    /// The agent's own: nothing is new
    Current,
    /// One a few changes old, told as changes
    Stale,
    /// One so old that the agent tells the whole list
    Old,
    /// None: the agent tells the whole list
    None,
}

/// How an agent that was silent goes on.
#[derive(ValueEnum, Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AgentReturn {
    /// With the whole list
    Whole,
    /// With the changes missed
    Changes,
}

/// A span of the time under load, in seconds from its start, such as `2..5`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Span {
    /// Its start.
    pub from_s: f64,
    /// Its end.
    pub to_s: f64,
}

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bounds = text
            .split_once("..")
            .and_then(|(from, to)| Some(Span { from_s: from.parse().ok()?, to_s: to.parse().ok()? }));
        let is_valid = |span: &Span| span.from_s >= 0.0 && span.from_s < span.to_s && span.to_s <= 3600.0;
        bounds.filter(is_valid).ok_or_else(|| "expected FROM..TO in seconds, such as 2..5".into())
    }
}
