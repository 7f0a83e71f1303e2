//! Why a run could not be made.

use std::process::ExitCode;

use clap::error::ErrorKind;

/// The exit code for arguments that can't be read.
const USAGE_EXIT_CODE: u8 = 2;

/// Why a run could not be made; its text is the one line that the user sees.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// An argument that parses but can't be used.
    #[error("{0}")]
    Argument(String),
    /// The edge node could not be started, or ended by itself.
    #[error("the edge node: {0}")]
    EdgeNode(String),
    /// A file could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// What went wrong.
        source: std::io::Error,
    },
    /// The machine refused something that the run needs.
    #[error("{what}: {source}")]
    System {
        /// What was asked of it.
        what: &'static str,
        /// What went wrong.
        source: std::io::Error,
    },
}

/// Prints help and version as they are, and of an error in the arguments the one line that describes it.
pub fn report_usage(program: &str, error: &clap::Error) -> ExitCode {
    if matches!(error.kind(), ErrorKind::DisplayHelp | ErrorKind::DisplayVersion) {
        return error.print().map_or(ExitCode::FAILURE, |()| ExitCode::SUCCESS);
    }
    let text = error.to_string();
    let line = text.lines().next().unwrap_or_default();
    eprintln!("{program}: {}", line.strip_prefix("error: ").unwrap_or(line));
    ExitCode::from(USAGE_EXIT_CODE)
}

/// Prints why a run failed, in one line, and returns the program's exit code.
pub fn report_result(program: &str, result: Result<(), BenchError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error}");
            ExitCode::FAILURE
        }
    }
}
