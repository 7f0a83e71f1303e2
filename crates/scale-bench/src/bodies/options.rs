//! The arguments of `bodies`.

use std::path::PathBuf;

use clap::Args;
use serde::Serialize;

use super::framing::Kind;
use crate::report::Output;

/// The arguments of `bodies`. Each field has the name of its command-line option. Options with several values
/// are measured in all combinations.
#[derive(Args, Debug, Clone, Serialize)]
pub struct Options {
    /// Program of the edge node, from this build or an earlier one
    #[arg(long, value_name = "PATH", default_value = "target/release/edge-node")]
    pub program: PathBuf,
    /// What arrives in pieces
    #[arg(long, value_enum, value_delimiter = ',', default_value = "request")]
    pub kinds: Vec<Kind>,
    /// Memory limit in the node's configuration, in megabytes; not enforced here
    #[arg(
        long, value_name = "MB,...", value_delimiter = ',', default_value = "32,56,192",
        value_parser = clap::value_parser!(u32).range(16..=8_192)
    )]
    pub memory_mb: Vec<u32>,
    /// Number of clients that send a request at the same time
    #[arg(
        long, value_name = "N,...", value_delimiter = ',', default_value = "30,120,340",
        value_parser = clap::value_parser!(u32).range(1..=600)
    )]
    pub clients: Vec<u32>,
    /// Length of a piece, in bytes
    #[arg(
        long, value_name = "BYTES,...", value_delimiter = ',', default_value = "128,512,4096",
        value_parser = clap::value_parser!(u32).range(1..=65_536)
    )]
    pub piece_bytes: Vec<u32>,
    /// Length of a body in bytes; of a head with `--kinds head`, of all requests on a
    /// connection with `--kinds pipelined`
    #[arg(
        long, value_name = "BYTES", default_value_t = 60_000,
        value_parser = clap::value_parser!(u32).range(256..=65_536)
    )]
    pub message_bytes: u32,
    /// Milliseconds from the first piece of a request to the last
    #[arg(long, value_name = "MS", default_value_t = 1_200, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    pub request_ms: u64,
    /// Milliseconds from the first piece of a response to the last
    #[arg(long, value_name = "MS", default_value_t = 180, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    pub response_ms: u64,
    /// Limit of file descriptors in the node's configuration
    #[arg(long, value_name = "N", default_value_t = 1024, value_parser = clap::value_parser!(u32).range(64..=16_384))]
    pub sockets: u32,
    /// The format and destination of the results.
    #[command(flatten)]
    #[serde(skip)]
    pub output: Output,
}
