//! The simulator adapter: runs the decision engines of simulated nodes. It reads one batch of messages from
//! each line of standard input and writes one line of replies to standard output.
//!
//! At the first batch that it can't handle, it writes one line to standard error and exits with code 1.
#![forbid(unsafe_code)]

use std::io::{self, BufWriter};
use std::process::ExitCode;

use edge_node::protocol::simulator;

fn main() -> ExitCode {
    let input = io::stdin().lock();
    let output = BufWriter::new(io::stdout().lock());
    match simulator::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
