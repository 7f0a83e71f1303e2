//! The kinds of failures that `--fail` can select.

use clap::ValueEnum;
use serde::Serialize;

/// A kind of failure, or of a planned change that must not affect clients.
#[derive(ValueEnum, Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetFailure {
    /// Nothing fails
    Calm,
    /// A tenth of the nodes stop at the same time and start again with empty state and a stale endpoint list
    RestartTenth,
    /// A group of endpoints becomes unresponsive without notice; they start again cold
    Rack,
    /// All endpoints and nodes of a zone become unresponsive without notice; they start again, the endpoints
    /// cold and the nodes with empty state and a stale endpoint list
    Zone,
    /// Half of the nodes, drawn at random, become unresponsive without notice; they start again with empty
    /// state and a stale endpoint list
    HalfDown,
    /// A region is cut off: its nodes can't reach endpoints of other regions, and nodes of other regions
    /// can't reach its endpoints
    RegionCut,
    /// The counter service accepts calls and never replies
    CounterSilent,
    /// The counter service rejects every call
    CounterBusy,
    /// A share of the endpoints is replaced in steps by new endpoints, which start cold
    Release,
}
