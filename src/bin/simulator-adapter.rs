//! The simulator adapter: decision engines on standard input and output, one line in and one line out.
//!
//! Exits with 1, and one line on standard error, at the first message that it can't take.
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
