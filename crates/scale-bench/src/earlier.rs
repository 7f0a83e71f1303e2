//! The command line of `scale-bench-earlier`, with the subcommands `decisions` and `slopes` only.
//!
//! `earlier/Cargo.toml` builds this program over an earlier revision of the edge node.
#![forbid(unsafe_code)]
#![allow(dead_code, unused_imports, reason = "only the other subcommands use some items of shared files")]

mod decisions;
mod error;
mod memory;
mod report;
mod slopes;

use std::process::ExitCode;

use clap::Parser;

const PROGRAM: &str = "scale-bench-earlier";

/// Measures the time and memory that the decision module of this revision takes by itself
#[derive(Parser)]
#[command(version)]
enum Cli {
    /// Measure the decision module alone: its time for a request, a timer tick and an endpoint list
    Decisions(decisions::Options),
    /// Run a subcommand at several fleet sizes and print how each figure grows with the size
    Slopes(slopes::Options),
}

fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) => return error::report_usage(PROGRAM, &error),
    };
    let result = match cli {
        Cli::Decisions(options) => decisions::run(options),
        Cli::Slopes(options) => slopes::run(options),
    };
    error::report_result(PROGRAM, result)
}
