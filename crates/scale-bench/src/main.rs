//! The command line of `scale-bench`.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use scale_bench::error::{report_result, report_usage};
use scale_bench::{decisions, fleet, node, slopes, soak};

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
    /// Run one real edge node process against fakes of all its peers
    Node(node::Options),
    /// Run hollow nodes on one simulated clock, against simulated app servers and a simulated counter service
    Fleet(fleet::Options),
    /// Measure the decision module alone: its time for a request, a timer tick and an endpoint list
    Decisions(decisions::Options),
    /// Run a subcommand at several fleet sizes and print how each figure grows with the size
    Slopes(slopes::Options),
    /// Run short plays of one edge node process under faults drawn from a seed, and check the service's rules
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
