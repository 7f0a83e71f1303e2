//! The arguments of `soak`.

use std::ops::RangeInclusive;
use std::path::PathBuf;

use clap::Args;

use crate::error::BenchError;

/// Maximum number of seeds in one run.
const MAX_SEEDS: u64 = 1_000;

/// The arguments of `soak`. Each field has the name of its command-line option.
#[derive(Args, Debug, Clone)]
pub struct Options {
    /// First and last seed of the plays, or a single seed, for example to repeat a play that has failed
    #[arg(long, value_name = "A..B", default_value = "1..50", value_parser = seed_range)]
    pub seeds: RangeInclusive<u64>,
    /// Program of the edge node, from this build or an earlier one
    #[arg(long, value_name = "PATH", default_value = "target/release/edge-node")]
    pub program: PathBuf,
    /// Number of plays that run at the same time
    #[arg(long, value_name = "N", default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=16))]
    pub parallel: u32,
    /// Append a line of JSON for each play to this file
    #[arg(long, value_name = "FILE")]
    pub out: Option<PathBuf>,
}

impl Options {
    /// Checks the number of plays.
    ///
    /// # Errors
    /// Returns an error if there are more than 1000.
    pub fn check(&self) -> Result<(), BenchError> {
        let count = self.seeds.end() - self.seeds.start() + 1;
        if count > MAX_SEEDS {
            return Err(BenchError::Argument(format!(
                "--seeds names {count} plays, but at most {MAX_SEEDS} are allowed"
            )));
        }
        Ok(())
    }
}

/// Parses `A..B`, which includes both `A` and `B`, or a single seed.
fn seed_range(text: &str) -> Result<RangeInclusive<u64>, String> {
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    match (first.parse::<u64>(), last.parse::<u64>()) {
        (Ok(first), Ok(last)) if first <= last && last < u64::MAX => Ok(first..=last),
        _ => Err("expected a seed, or the first and the last seed as A..B".into()),
    }
}
