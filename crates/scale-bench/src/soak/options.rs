//! The arguments of `soak`.

use std::ops::RangeInclusive;
use std::path::PathBuf;

use clap::Args;

use crate::error::BenchError;

/// The most seeds of one run.
const MAX_SEEDS: u64 = 1_000;

/// Arguments of `soak`. The fields are named after the options of the command line.
#[derive(Args, Debug, Clone)]
pub struct Options {
    /// Seeds of the plays, first and last, or a single one; a seed that failed is played again alone
    #[arg(long, value_name = "A..B", default_value = "1..50", value_parser = seed_range)]
    pub seeds: RangeInclusive<u64>,
    /// The edge node's program, of this build or of an earlier one
    #[arg(long, value_name = "PATH", default_value = "target/release/edge-node")]
    pub program: PathBuf,
    /// Plays that run side by side
    #[arg(long, value_name = "N", default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=16))]
    pub parallel: u32,
    /// Write a JSON line for each play to this file
    #[arg(long, value_name = "FILE")]
    pub out: Option<PathBuf>,
}

impl Options {
    /// Checks that the run is not too large.
    ///
    /// # Errors
    /// If it is.
    pub fn check(&self) -> Result<(), BenchError> {
        let count = self.seeds.end() - self.seeds.start() + 1;
        if count > MAX_SEEDS {
            return Err(BenchError::Argument(format!(
                "--seeds names {count} plays; {MAX_SEEDS} are the most"
            )));
        }
        Ok(())
    }
}

/// Reads `A..B`, both included, or a single seed.
fn seed_range(text: &str) -> Result<RangeInclusive<u64>, String> {
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    match (first.parse::<u64>(), last.parse::<u64>()) {
        (Ok(first), Ok(last)) if first <= last && last < u64::MAX => Ok(first..=last),
        _ => Err("expected a seed, or the first and the last as A..B".into()),
    }
}
