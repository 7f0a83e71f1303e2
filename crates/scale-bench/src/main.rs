//! The command line of `scale-bench`.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use scale_bench::error::{report_result, report_usage};
use scale_bench::{decisions, fleet, node, slopes, soak};

const PROGRAM: &str = "scale-bench";

/// Measures how the edge node's cost, memory, traffic and service grow with the fleet.
///
/// Everything runs on loopback addresses, within bounds of count and time, and ends by itself.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// One real edge node process before stand-ins of all its peers
    Node(node::Options),
    /// Hollow nodes on one simulated clock, before model app servers and one model counter
    Fleet(fleet::Options),
    /// What the decision module takes for a request, a tick and a list, alone
    Decisions(decisions::Options),
    /// A ladder of sizes, and how each figure grows along it
    Slopes(slopes::Options),
    /// Short plays of one real edge node under faults drawn from a seed, checked by the rules of the service
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
        Command::Soak(options) => soak::run(options),
    };
    report_result(PROGRAM, result)
}
