//! The command line of `scale-bench-earlier`, which has the subcommands `decisions` and `slopes` only.
//!
//! `earlier/Cargo.toml` builds this program against an earlier revision of the edge node.
#![forbid(unsafe_code)]
#![allow(dead_code, unused_imports, reason = "the shared files have items that only other subcommands use")]

mod decisions;
mod error;
mod memory;
mod report;
mod slopes;

use std::process::ExitCode;

use clap::Parser;

const PROGRAM: &str = "scale-bench-earlier";

/// Measures the time and memory that the decision engine of one revision of the edge node takes.
#[derive(Parser)]
#[command(version)]
enum Cli {
    /// Measure the decision engine alone: its memory, and its time for requests, timers and endpoint lists
    Decisions(decisions::Options),
    /// Run another subcommand at several fleet sizes and compute how each figure grows with the size
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
