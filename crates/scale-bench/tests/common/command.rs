//! Runs the program `scale-bench`.

use std::process::{Command, Output};

/// The program of this build.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_scale-bench");

/// Runs a subcommand to its end.
pub fn run(subcommand: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(PROGRAM);
    command.arg(subcommand).args(arguments).output().expect("scale-bench starts")
}

/// Asserts that a run failed, printed nothing to standard output and one line to standard error, and returns that
/// line.
pub fn assert_refused_in_one_line(output: &Output, arguments: &[&str]) -> String {
    let line = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "{arguments:?}: {line}");
    assert!(output.stdout.is_empty(), "{arguments:?}: {line}");
    assert_eq!(line.trim_end().lines().count(), 1, "{arguments:?}: {line}");
    line
}
