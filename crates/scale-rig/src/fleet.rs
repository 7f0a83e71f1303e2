//! Hollow nodes on one simulated clock, before model app servers and one model counter.

use clap::Args;
use serde::Serialize;

use crate::error::RigError;
use crate::report::Output;

/// Arguments of `fleet`.
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
