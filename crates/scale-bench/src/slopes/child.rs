//! Runs a measurement in a process of its own and reads its report.

use std::ffi::OsStr;
use std::fmt::Display;
use std::fs::File;
use std::io::{self, Read, Seek};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use crate::report::Report;

/// Pause between two checks of whether a child has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum length of a child's output that is read, in bytes.
const MAX_OUTPUT_BYTES: u64 = 16 << 20;

/// A child process that is killed when this value is dropped.
struct OwnedChild(Child);

impl Drop for OwnedChild {
    fn drop(&mut self) {
        // Errors are ignored: a child that has already ended needs neither to be killed nor to be waited for.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Files that receive a child's output. They are not pipes, because a pipe that nobody reads fills up and
/// blocks the child.
struct OutputFiles {
    stdout: File,
    stderr: File,
}

/// Runs the program until it ends and returns its report. A program that still runs at `time_limit_at` is
/// killed.
///
/// # Errors
/// Returns an error if the program yields no report; the error is the reason, in one line.
pub fn run(
    program: &Path,
    arguments: &[impl AsRef<OsStr>],
    time_limit_at: Instant,
) -> Result<Report, String> {
    let name = program.display();
    let failed = |what: &str, error: &dyn Display| format!("{name}: {what}: {error}");
    let mut files =
        OutputFiles::create().map_err(|error| failed("cannot create files for its output", &error))?;
    let mut command = Command::new(program);
    command.args(arguments).stdin(Stdio::null());
    files.attach(&mut command).map_err(|error| failed("cannot redirect its output", &error))?;
    let mut child = OwnedChild(command.spawn().map_err(|error| failed("cannot be run", &error))?);
    let wait_result = wait_until(&mut child, time_limit_at);
    let status = wait_result.map_err(|error| failed("cannot be waited for", &error))?;
    let Some(status) = status else { return Err(format!("{name}: ended by the time limit")) };
    if !status.success() {
        let error_output = read_from_start(&mut files.stderr).unwrap_or_default();
        let last_line = error_output.lines().rev().find(|line| !line.trim().is_empty());
        return Err(format!("{name}: {status}: {}", last_line.unwrap_or("no error output")));
    }
    let output =
        read_from_start(&mut files.stdout).map_err(|error| failed("cannot read its output", &error))?;
    serde_json::from_str(&output).map_err(|error| failed("its output is not a report", &error))
}

impl OutputFiles {
    fn create() -> io::Result<Self> {
        Ok(OutputFiles { stdout: tempfile::tempfile()?, stderr: tempfile::tempfile()? })
    }

    fn attach(&self, command: &mut Command) -> io::Result<()> {
        command.stdout(self.stdout.try_clone()?);
        command.stderr(self.stderr.try_clone()?);
        Ok(())
    }
}

/// Waits until the child ends and returns its exit status. Returns `None` if it still runs at
/// `time_limit_at`.
fn wait_until(child: &mut OwnedChild, time_limit_at: Instant) -> io::Result<Option<ExitStatus>> {
    loop {
        if let Some(status) = child.0.try_wait()? {
            return Ok(Some(status));
        }
        if Instant::now() >= time_limit_at {
            return Ok(None);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the text of a file from its start, at most [`MAX_OUTPUT_BYTES`] bytes.
fn read_from_start(file: &mut File) -> io::Result<String> {
    let mut text = String::new();
    file.rewind()?;
    file.take(MAX_OUTPUT_BYTES).read_to_string(&mut text)?;
    Ok(text)
}
