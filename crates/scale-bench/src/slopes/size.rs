//! The sizes of a ladder, and which number of a size growth is told against.

use clap::ValueEnum;
use serde::{Deserialize, Serialize};

/// What growth is told against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Against {
    /// App servers
    Servers,
    /// Edge nodes
    Nodes,
}

/// A size of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Endpoints (app servers).
    pub servers: u32,
    /// Edge nodes.
    pub nodes: u32,
}

impl Size {
    /// The number that growth is measured against.
    pub fn against(self, against: Against) -> u32 {
        match against {
            Against::Servers => self.servers,
            Against::Nodes => self.nodes,
        }
    }
}
