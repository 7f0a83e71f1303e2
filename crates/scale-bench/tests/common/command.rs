//! Helpers that run the program `scale-bench`.

use std::process::{Command, Output};

/// Path of the program that this build has made.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_scale-bench");

/// Runs a subcommand with these arguments until it exits, and returns its output and exit code.
pub fn run(subcommand: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(PROGRAM);
    command.arg(subcommand).args(arguments).output().expect("scale-bench should start and exit")
}

/// Asserts that a run failed and printed nothing but one line to standard error. Returns that line.
pub fn assert_rejected_in_one_line(output: &Output, arguments: &[&str]) -> String {
    let line = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "{arguments:?}: the run succeeded instead of failing, stderr: {line}");
    assert!(output.stdout.is_empty(), "{arguments:?}: the run printed to standard output, stderr: {line}");
    assert_eq!(line.trim_end().lines().count(), 1, "{arguments:?}: stderr should be one line, got: {line}");
    line
}
