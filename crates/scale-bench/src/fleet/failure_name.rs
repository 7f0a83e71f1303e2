//! The failures that can be asked for.

use clap::ValueEnum;
use serde::Serialize;

/// A failure, or a planned change that has to go unnoticed.
#[derive(ValueEnum, Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// Nothing fails
    Calm,
    /// A tenth of the nodes die at once and start again with empty state and an old list
    RestartTenth,
    /// A group of servers vanishes silently and returns cold
    Rack,
    /// A zone's servers and nodes vanish silently and return cold
    Zone,
    /// Half of the nodes, drawn by lot, vanish silently and start again with empty state and an old list
    HalfDown,
    /// A region's nodes can't reach the other regions' servers, and the other way round
    RegionCut,
    /// The counter takes calls in and says nothing
    CounterSilent,
    /// The counter turns every call away
    CounterBusy,
    /// A share of the servers is replaced in steps by new ones that start cold
    Release,
}
