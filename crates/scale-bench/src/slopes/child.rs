//! A run in a process of its own.

use std::ffi::OsStr;
use std::fmt::Display;
use std::fs::File;
use std::io::{self, Read, Seek};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use crate::report::Report;

/// Pause between checks whether a child has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The most that is read of a child's output, in bytes.
const MAX_OUTPUT: u64 = 16 << 20;

/// A child that is killed when dropped.
struct OwnedChild(Child);

impl Drop for OwnedChild {
    fn drop(&mut self) {
        // It may have ended already: then there is nothing to kill and nothing to wait for.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Where a child writes. Files, because a pipe that nobody reads fills and stops the child.
struct OutputFiles {
    stdout: File,
    stderr: File,
}

/// Runs the program to its end and reads its report.
///
/// # Errors
/// If there is no report: why, in one line.
pub fn run(
    program: &Path,
    arguments: &[impl AsRef<OsStr>],
    time_limit_at: Instant,
) -> Result<Report, String> {
    let name = program.display();
    let failed = |what: &str, error: &dyn Display| format!("{name}: {what}: {error}");
    let mut files = OutputFiles::create().map_err(|error| failed("no file for its output", &error))?;
    let mut command = Command::new(program);
    command.args(arguments).stdin(Stdio::null());
    files.attach(&mut command).map_err(|error| failed("no file for its output", &error))?;
    let mut child = OwnedChild(command.spawn().map_err(|error| failed("cannot be run", &error))?);
    let ended = wait_until(&mut child, time_limit_at);
    let status = ended.map_err(|error| failed("cannot be waited for", &error))?;
    let Some(status) = status else { return Err(format!("{name}: ended by the time limit")) };
    if !status.success() {
        let error_output = read_back(&mut files.stderr).unwrap_or_default();
        let last_line = error_output.lines().rev().find(|line| !line.trim().is_empty());
        return Err(format!("{name}: {status}: {}", last_line.unwrap_or("no word")));
    }
    let output = read_back(&mut files.stdout).map_err(|error| failed("its output", &error))?;
    serde_json::from_str(&output).map_err(|error| failed("its output is no report", &error))
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

/// Waits for the child's end; `None` if it has not ended by then.
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

fn read_back(file: &mut File) -> io::Result<String> {
    let mut text = String::new();
    file.rewind()?;
    file.take(MAX_OUTPUT).read_to_string(&mut text)?;
    Ok(text)
}
