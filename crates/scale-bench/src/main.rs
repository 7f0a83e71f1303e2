//! The command line of `scale-bench`.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use scale_bench::error::{report_result, report_usage};
use scale_bench::{bodies, decisions, fleet, node, slopes, soak};

const PROGRAM: &str = "scale-bench";

/// Measures how the edge node's cost, memory, traffic and service grow with the fleet.
///
/// Every run uses loopback addresses only, has limits on its size and duration, and ends by itself.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measure one real edge node process under load, with fakes of its peers
    Node(node::Options),
    /// Simulate a fleet of hollow nodes (real decision engines, modelled processes) with its endpoints and
    /// counter service on one clock
    Fleet(fleet::Options),
    /// Measure the decision engine alone: its memory, and its time for requests, timers and endpoint lists
    Decisions(decisions::Options),
    /// Run another subcommand at several fleet sizes and compute how each figure grows with the size
    Slopes(slopes::Options),
    /// Measure the memory that one real edge node process takes for long messages that arrive in small pieces,
    /// beside the memory that their bytes take
    Bodies(bodies::Options),
    /// Run short plays, each of one real edge node process under faults drawn from a seed, and check that
    /// every request gets a correct response in time, that no non-idempotent request is repeated once it may
    /// have run, and that the node recovers and neither panics nor exits with an error
    Soak(soak::Options),
}

fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) => return report_usage(PROGRAM, &error),
    };
    let result = match cli.command {
        Command::Node(options) => node::run(options),
        Command::Fleet(options) => fleet::run(options),
        Command::Decisions(options) => decisions::run(options),
        Command::Slopes(options) => slopes::run(options),
        Command::Bodies(options) => bodies::run(options),
        Command::Soak(options) => soak::run(options),
    };
    report_result(PROGRAM, result)
}
