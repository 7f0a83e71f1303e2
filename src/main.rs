//! The process of one edge node. Exits with 1, and one line on standard error, if the node can't start.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    match edge_node::app::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("edge-node: {error}");
            ExitCode::FAILURE
        }
    }
}
