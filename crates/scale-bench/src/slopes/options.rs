//! The arguments of `slopes`: their bounds, and the command line of each run.

use std::path::PathBuf;

use clap::{Args, ValueEnum};
use serde::{Deserialize, Serialize};

use super::size::{Against, Size};
use crate::error::BenchError;
use crate::report::Output;

/// The most sizes of a ladder.
const MAX_SIZES: usize = 20;
/// Arguments that the ladder sets itself.
const RESERVED_ARGUMENTS: [&str; 5] = ["--servers", "--nodes", "--seed", "--json", "--out"];

/// Arguments of `slopes`. The fields are named after the options of the command line.
#[derive(Args, Debug, Clone, Serialize)]
pub struct Options {
    /// What is run at each size
    #[arg(value_enum)]
    pub command: Subject,
    /// Sizes as app servers/edge nodes, two or more
    #[arg(long, value_name = "SERVERS/NODES,...", default_value = "200/300,4600/570,46000/5700")]
    pub sizes: String,
    /// Runs at each size, with a seed each
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=20))]
    pub runs: u32,
    /// The first run's seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// What growth is told against
    #[arg(long, value_enum, default_value_t = Against::Servers)]
    pub against: Against,
    /// The whole ladder ends after this, in seconds; runs that are not done by then have failed
    #[arg(long, default_value_t = 1_800.0)]
    pub limit_s: f64,
    /// Another build of this program that is run in place of this one
    #[arg(long, value_name = "PROGRAM")]
    pub program: Option<PathBuf>,
    /// Further arguments of the runs
    #[arg(last = true)]
    pub args: Vec<String>,
    /// Where the figures go.
    #[command(flatten)]
    #[serde(skip)]
    pub output: Output,
}

/// The subcommand that a ladder runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// The decision module alone
    Decisions,
    /// One real edge node process
    Node,
    /// Many decision modules on one clock
    Fleet,
}

impl Options {
    /// Checks the arguments and returns the sizes.
    ///
    /// # Errors
    /// If an argument is out of bounds, reserved or unreadable, or all sizes are the same.
    pub fn check(&self) -> Result<Vec<Size>, BenchError> {
        if !(0.1..=14_400.0).contains(&self.limit_s) {
            return refuse(format!("--limit-s {} is not within 0.1 to 14400", self.limit_s));
        }
        if let Some(argument) = self.args.iter().find(|argument| is_reserved(argument)) {
            return refuse(format!("{argument} is set by the ladder itself"));
        }
        let sizes = parse_sizes(&self.sizes)?;
        let first = sizes[0].against(self.against);
        if sizes.iter().all(|size| size.against(self.against) == first) {
            return refuse(format!("--sizes {} has one size alone, and nothing grows", self.sizes));
        }
        Ok(sizes)
    }

    /// The command line of one run.
    pub fn command_line(&self, size: Size, seed: u64) -> Vec<String> {
        let command = match self.command {
            Subject::Decisions => "decisions",
            Subject::Node => "node",
            Subject::Fleet => "fleet",
        };
        let mut line = vec![command.to_string(), "--json".into()];
        line.extend(["--servers".into(), size.servers.to_string()]);
        line.extend(["--nodes".into(), size.nodes.to_string()]);
        line.extend(["--seed".into(), seed.to_string()]);
        line.extend(self.args.iter().cloned());
        line
    }
}

fn refuse<T>(reason: String) -> Result<T, BenchError> {
    Err(BenchError::Argument(reason))
}

fn is_reserved(argument: &str) -> bool {
    let name = argument.split('=').next().unwrap_or(argument);
    RESERVED_ARGUMENTS.contains(&name)
}

/// Reads the sizes of `--sizes`: at least one.
fn parse_sizes(text: &str) -> Result<Vec<Size>, BenchError> {
    let mut sizes = Vec::new();
    for word in text.split(',') {
        let Some(size) = parse_size(word) else {
            return refuse(format!("--sizes: {word:?} is not servers/nodes, such as 200/300"));
        };
        sizes.push(size);
    }
    if sizes.len() > MAX_SIZES {
        return refuse(format!("--sizes has {}, over the {MAX_SIZES} allowed", sizes.len()));
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
