//! The failures that `--fail` can select.

use clap::ValueEnum;
use serde::Serialize;

/// A failure, or a planned change that must not affect clients.
#[derive(ValueEnum, Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureKind {
    /// Nothing fails
    Calm,
    /// A tenth of the nodes stop at the same time and start again with empty state and a stale endpoint list
    RestartTenth,
    /// A group of servers becomes unresponsive without notice; they start again cold
    Rack,
    /// All servers and nodes of a zone become unresponsive without notice; they start again, the servers cold
    /// and the nodes with empty state and a stale endpoint list
    Zone,
    /// Half of the nodes, drawn at random, become unresponsive without notice; they start again with empty
    /// state and a stale endpoint list
    HalfDown,
    /// A region is cut off: its nodes can't reach servers of other regions, and its servers can't be reached
    /// from there
    RegionCut,
    /// The counter service accepts calls and never replies
    CounterSilent,
    /// The counter service rejects every call
    CounterBusy,
    /// A share of the servers is replaced in steps by new servers, which start cold
    Release,
}
