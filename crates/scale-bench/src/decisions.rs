//! What the decision engine takes for a request, a timer and a list, alone: no sockets, a simulated clock.
//!
//! These files are also built over earlier revisions of the engine (README), so they use only what those share:
//! `DecisionEngine::new` and `handle`, and the types of events, actions and settings.

mod comparison;
mod endpoint_list;
mod measurement;
mod model;
mod options;
mod settings;
mod timing;

pub use options::Options;

use edge_node::decision::Micros;

use crate::error::BenchError;
use crate::report::Report;

const SECOND: Micros = 1_000_000;

/// Makes the run and prints its figures.
///
/// # Errors
/// If an argument is out of bounds, the run takes too long, or the figures can't be written.
pub fn run(options: Options) -> Result<(), BenchError> {
    options.check()?;
    let report = match &options.beside {
        Some(program) => comparison::compare(&options, program)?,
        None => measurement::measure(&options)?,
    };
    report.print(&options.output)
}

/// A report without figures for these arguments.
fn new_report(options: &Options) -> Result<Report, BenchError> {
    let arguments = serde_json::to_value(options)
        .map_err(|error| BenchError::System { what: "cannot tell the arguments", source: error.into() })?;
    Ok(Report::new("decisions", arguments))
}
