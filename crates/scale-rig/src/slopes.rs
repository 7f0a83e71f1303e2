//! A ladder of sizes, and how each figure grows along it.

pub mod child;

use clap::Args;
use serde::Serialize;

use crate::error::RigError;
use crate::report::Output;

/// Arguments of `slopes`.
#[derive(Args, Debug, Clone, Serialize)]
pub struct Options {
    /// Where the figures go.
    #[command(flatten)]
    #[serde(skip)]
    pub output: Output,
}

/// Makes the run and tells its figures.
pub fn run(options: Options) -> Result<(), RigError> {
    let _ = options;
    Err(RigError::Argument("not there yet".into()))
}
