//! `decisions` and `slopes` alone: the root of the build over an earlier revision (`earlier/Cargo.toml`).
#![forbid(unsafe_code)]
#![allow(dead_code, unused_imports, reason = "parts of the shared files are used by the other subcommands only")]

mod decisions;
mod error;
mod memory;
mod report;
mod slopes;

use std::process::ExitCode;

use clap::Parser;

const PROGRAM: &str = "scale-bench-earlier";

/// Measures what the decision module of this version takes alone.
#[derive(Parser)]
#[command(version)]
enum Cli {
    /// What the decision module takes for a request, a tick and a list, alone
    Decisions(decisions::Options),
    /// A ladder of sizes, and how each figure grows along it
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
