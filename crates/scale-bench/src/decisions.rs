//! The subcommand `decisions`: measures the time and memory that the decision engine alone takes for
//! requests, timers and endpoint lists, without sockets and on a simulated clock.
//!
//! These files are also compiled against earlier revisions of the engine (see the README). They therefore use
//! only the items that all these revisions have: `DecisionEngine::new` and `handle`, and the types of events,
//! actions and settings.

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

/// One second of the simulated clock.
const SECOND: Micros = 1_000_000;

/// Runs the measurement, or with `--beside` the comparison of two builds, and prints the figures.
///
/// # Errors
/// Returns an error if an argument is out of bounds, a run takes longer than its time limit, a run of the
/// comparison fails, or the figures can't be written.
pub fn run(options: Options) -> Result<(), BenchError> {
    options.check()?;
    let report = match &options.beside {
        Some(program) => comparison::compare(&options, program)?,
        None => measurement::measure(&options)?,
    };
    report.print(&options.output)
}

/// Creates a report with these arguments and without figures.
fn new_report(options: &Options) -> Result<Report, BenchError> {
    let arguments = serde_json::to_value(options).map_err(|error| BenchError::System {
        operation: "cannot serialize the arguments",
        source: error.into(),
    })?;
    Ok(Report::new("decisions", arguments))
}
