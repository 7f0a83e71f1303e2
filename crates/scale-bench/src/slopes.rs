//! The subcommand `slopes`: runs another subcommand at several sizes of the fleet (the ladder) and fits how
//! each figure grows with the size.

pub mod child;
pub mod fit;
mod growth;
mod ladder;
mod options;
mod size;
mod table;

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

pub use ladder::{FigureAtSize, Growth, Ladder, Run};
pub use options::{MeasuredCommand, Options};
pub use size::{Size, SizeDimension};

use crate::error::BenchError;
use crate::report::print_result;

/// Runs the ladder and prints how its figures grow.
///
/// # Errors
/// Returns an error if the arguments are invalid or contradict each other, a run has failed, or the result
/// can't be written. The result is printed before an error about failed runs is returned.
pub fn run(options: Options) -> Result<(), BenchError> {
    let sizes = options.check()?;
    let program = measured_program(&options)?;
    let arguments = serde_json::to_value(&options).map_err(|error| BenchError::System {
        operation: "cannot serialize the arguments",
        source: error.into(),
    })?;
    let runs = run_all(&options, &program, &sizes);
    let figures = growth::growth_of_figures(&sizes, &runs, options.against);
    let ladder = Ladder { arguments, sizes, runs, figures };
    print_result(&ladder, &table::table(&ladder, options.against), &options.output)?;
    let failed = ladder.runs.iter().filter(|run| run.failure.is_some()).count();
    if failed > 0 {
        return Err(BenchError::Argument(format!("{failed} of {} runs failed", ladder.runs.len())));
    }
    Ok(())
}

/// Returns the program to run: the one given by `--program`, or else this one.
fn measured_program(options: &Options) -> Result<PathBuf, BenchError> {
    match &options.program {
        Some(program) => Ok(program.clone()),
        None => std::env::current_exe()
            .map_err(|source| BenchError::System { operation: "cannot find this program", source }),
    }
}

/// Runs the rounds one after another. Each round runs all sizes with one seed, so that a change of the
/// machine's load affects all sizes alike.
fn run_all(options: &Options, program: &Path, sizes: &[Size]) -> Vec<Run> {
    let time_limit_at = Instant::now() + Duration::from_secs_f64(options.limit_s);
    let mut runs = Vec::new();
    for run in 0..options.runs {
        for &size in sizes {
            let seed = options.seed.wrapping_add(run.into());
            let result = if Instant::now() < time_limit_at {
                child::run(program, &options.command_line(size, seed), time_limit_at)
            } else {
                Err("not run: the ladder's time was over".into())
            };
            let failure = result.as_ref().err().cloned();
            runs.push(Run { size, run, seed, report: result.ok(), failure });
        }
    }
    runs
}
