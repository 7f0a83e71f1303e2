//! The errors of the program, and how it reports them.

use std::process::ExitCode;

use clap::error::ErrorKind;

/// Exit code if the arguments can't be parsed.
const USAGE_EXIT_CODE: u8 = 2;

/// The reason why a run failed. Its text is the one line that the program prints.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// An argument parses, but its value can't be used: it is out of bounds, contradicts another argument, or
    /// needs more memory or file descriptors than allowed. Also a `decisions` run that exceeded its time
    /// limit, failed runs in child processes, and a histogram that can't be created.
    #[error("{0}")]
    Argument(String),
    /// The run of an edge node failed: the node could not be started, did not become ready in time or has
    /// exited by itself. Also a run that was interrupted or exceeded its time limit, and plays of a soak that
    /// broke a rule.
    #[error("the edge node: {0}")]
    EdgeNode(String),
    /// A file could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// The error of the file operation.
        source: std::io::Error,
    },
    /// An operation that the run needs has failed, such as listening on a port.
    #[error("{operation}: {source}")]
    System {
        /// The operation that failed, as a phrase such as `cannot print the result`.
        operation: &'static str,
        /// The error of the operation.
        source: std::io::Error,
    },
}

/// Prints what clap reports instead of parsed arguments, and returns the program's exit code.
///
/// Help and version go to standard output unchanged. Of an error in the arguments, only the first line, which
/// describes the error, goes to standard error.
pub fn report_usage(program: &str, error: &clap::Error) -> ExitCode {
    if matches!(error.kind(), ErrorKind::DisplayHelp | ErrorKind::DisplayVersion) {
        return error.print().map_or(ExitCode::FAILURE, |()| ExitCode::SUCCESS);
    }
    let text = error.to_string();
    let line = text.lines().next().unwrap_or_default();
    eprintln!("{program}: {}", line.strip_prefix("error: ").unwrap_or(line));
    ExitCode::from(USAGE_EXIT_CODE)
}

/// Returns the program's exit code; if the run failed, prints the error in one line to standard error.
pub fn report_result(program: &str, result: Result<(), BenchError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error}");
            ExitCode::FAILURE
        }
    }
}
