//! The arguments of `slopes`: their bounds, and the arguments of each run.

use std::path::PathBuf;

use clap::{Args, ValueEnum};
use serde::{Deserialize, Serialize};

use super::size::{Size, SizeDimension};
use crate::error::BenchError;
use crate::report::Output;

/// Maximum number of sizes in a ladder.
const MAX_SIZES: usize = 20;
/// Arguments that the ladder sets for its runs, so that the user may not set them.
const RESERVED_ARGUMENTS: [&str; 5] = ["--servers", "--nodes", "--seed", "--json", "--out"];

/// The arguments of `slopes`. Each field has the name of its command-line option. These names call endpoints
/// `servers`.
#[derive(Args, Debug, Clone, Serialize)]
pub struct Options {
    /// Subcommand that is run at each size
    #[arg(value_enum)]
    pub command: MeasuredCommand,
    /// Two or more sizes, each with its numbers of endpoints (app servers) and edge nodes
    #[arg(long, value_name = "SERVERS/NODES,...", default_value = "200/300,4600/570,46000/5700")]
    pub sizes: String,
    /// Number of rounds, each of one run at every size, with a seed of its own
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=20))]
    pub runs: u32,
    /// Seed of the first round; each further round takes the next number
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Whether growth is reported against the number of endpoints or of edge nodes
    #[arg(long, value_enum, default_value_t = SizeDimension::Servers)]
    pub against: SizeDimension,
    /// Time limit of all runs together, in seconds; runs that have not ended by then fail
    #[arg(long, default_value_t = 1_800.0)]
    pub limit_s: f64,
    /// Another build of this program, which is run instead of this one
    #[arg(long, value_name = "PROGRAM")]
    pub program: Option<PathBuf>,
    /// Further arguments that are passed to each run
    #[arg(last = true)]
    pub args: Vec<String>,
    /// The format and destination of the figures.
    #[command(flatten)]
    #[serde(skip)]
    pub output: Output,
}

/// The subcommand that a ladder runs at each size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MeasuredCommand {
    /// The decision engine alone
    Decisions,
    /// One real edge node process
    Node,
    /// A fleet of hollow nodes on one simulated clock
    Fleet,
}

impl Options {
    /// Checks the arguments and returns the sizes, at least two.
    ///
    /// # Errors
    /// Returns an error if an argument is out of bounds, reserved or malformed, or all sizes have the same
    /// number of endpoints or nodes, as selected by `--against`.
    pub fn check(&self) -> Result<Vec<Size>, BenchError> {
        if !(0.1..=14_400.0).contains(&self.limit_s) {
            return argument_error(format!(
                "--limit-s {} is out of bounds: expected 0.1 to 14400",
                self.limit_s
            ));
        }
        if let Some(argument) = self.args.iter().find(|argument| is_reserved(argument)) {
            return argument_error(format!(
                "{argument} is set by the ladder and cannot be passed to its runs"
            ));
        }
        let sizes = parse_sizes(&self.sizes)?;
        let first = sizes[0].along(self.against);
        if sizes.iter().all(|size| size.along(self.against) == first) {
            return argument_error(format!(
                "--sizes {}: the number that --against selects is the same in all sizes, but growth needs \
                 two different ones",
                self.sizes
            ));
        }
        Ok(sizes)
    }

    /// Returns the arguments of one run.
    pub fn command_line(&self, size: Size, seed: u64) -> Vec<String> {
        let command = match self.command {
            MeasuredCommand::Decisions => "decisions",
            MeasuredCommand::Node => "node",
            MeasuredCommand::Fleet => "fleet",
        };
        let mut line = vec![command.to_string(), "--json".into()];
        line.extend(["--servers".into(), size.servers.to_string()]);
        line.extend(["--nodes".into(), size.nodes.to_string()]);
        line.extend(["--seed".into(), seed.to_string()]);
        line.extend(self.args.iter().cloned());
        line
    }
}

fn argument_error<T>(reason: String) -> Result<T, BenchError> {
    Err(BenchError::Argument(reason))
}

fn is_reserved(argument: &str) -> bool {
    let name = argument.split('=').next().unwrap_or(argument);
    RESERVED_ARGUMENTS.contains(&name)
}

/// Parses the value of `--sizes`, which has at least one size.
fn parse_sizes(text: &str) -> Result<Vec<Size>, BenchError> {
    let mut sizes = Vec::new();
    for word in text.split(',') {
        let Some(size) = parse_size(word) else {
            return argument_error(format!("--sizes: expected servers/nodes such as 200/300, got {word:?}"));
        };
        sizes.push(size);
    }
    if sizes.len() > MAX_SIZES {
        return argument_error(format!(
            "--sizes has {} sizes, but at most {MAX_SIZES} are allowed",
            sizes.len()
        ));
    }
    Ok(sizes)
}

fn parse_size(word: &str) -> Option<Size> {
    let (servers, nodes) = word.split_once('/')?;
    Some(Size { servers: parse_count(servers)?, nodes: parse_count(nodes)? })
}

fn parse_count(text: &str) -> Option<u32> {
    text.trim().parse().ok().filter(|&count| count > 0)
}
