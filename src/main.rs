//! The process of one edge node. If the node can't start, the process writes one line to standard error and
//! exits with code 1.
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
