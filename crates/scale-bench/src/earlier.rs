//! `decisions` and `slopes` alone: the root of the build over an earlier version (`earlier/Cargo.toml`).
#![forbid(unsafe_code)]
// Of the shared files, some parts serve the other subcommands only.
#![allow(dead_code)]

mod decisions;
mod error;
mod memory;
mod report;
mod slopes;

use std::process::ExitCode;

use clap::Parser;

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
        Err(error) => return error::told("scale-bench-earlier", &error),
    };
    let result = match cli {
        Cli::Decisions(options) => decisions::run(options),
        Cli::Slopes(options) => slopes::run(options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("scale-bench-earlier: {error}");
            ExitCode::FAILURE
        }
    }
}
