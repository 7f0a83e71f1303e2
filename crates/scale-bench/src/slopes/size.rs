//! The sizes of a ladder, and the dimension of a size against which growth is reported.

use clap::ValueEnum;
use serde::{Deserialize, Serialize};

/// The dimension of a size against which growth is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SizeDimension {
    /// Number of endpoints (app servers)
    Servers,
    /// Number of edge nodes
    Nodes,
}

/// A size of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Number of endpoints (app servers).
    pub servers: u32,
    /// Number of edge nodes.
    pub nodes: u32,
}

impl Size {
    /// Returns the size in this dimension.
    pub fn along(self, dimension: SizeDimension) -> u32 {
        match dimension {
            SizeDimension::Servers => self.servers,
            SizeDimension::Nodes => self.nodes,
        }
    }
}
