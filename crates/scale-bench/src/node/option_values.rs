//! Value types of the `node` options that are neither numbers nor strings.

use std::str::FromStr;

use clap::ValueEnum;
use serde::Serialize;

/// Distribution of the times between requests.
#[derive(ValueEnum, Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Arrivals {
    /// Requests arrive independently of each other
    Poisson,
    /// All requests are the same time apart
    Even,
}

/// Distribution of the work times at endpoints.
#[derive(ValueEnum, Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkTimes {
    /// Work times are distributed exponentially
    Exponential,
    /// Every work time is the mean
    Fixed,
}

/// The endpoint list that the node has when it starts.
#[derive(ValueEnum, Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InitialList {
    /// The agent's current list, so that the agent has nothing new to send
    Current,
    /// A list that is a few changes old; the agent sends these changes
    Stale,
    /// A list so old that the agent sends the whole list
    Old,
    /// No list; the agent sends the whole list
    None,
}

/// What the discovery agent sends first after it was silent.
#[derive(ValueEnum, Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AgentReturn {
    /// The whole list
    Whole,
    /// The changes that the node has missed
    Changes,
}

/// A part of the load phase. Its text form is `FROM..TO` in seconds since the start of the load, such as
/// `2..5`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Span {
    /// Start of the span, in seconds since the start of the load.
    pub from_s: f64,
    /// End of the span, in seconds since the start of the load; greater than the start and at most 3600.
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
