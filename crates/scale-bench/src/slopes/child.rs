//! A run of the rig in a process of its own.

use std::ffi::OsStr;
use std::fs::File;
use std::io::{Read, Seek};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::report::Report;

const POLL: Duration = Duration::from_millis(10);
/// The most that is read of what a child prints.
const MOST: u64 = 16 << 20;

/// A child that never outlives its owner.
struct Owned(Child);

impl Drop for Owned {
    fn drop(&mut self) {
        // It may have ended already: then there is nothing to kill and nothing to wait for.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Runs the program to its end and reads its report; in one line, why there is none.
pub fn run(program: &Path, args: &[impl AsRef<OsStr>], ends: Instant) -> Result<Report, String> {
    let name = program.display();
    let fails = |what: &str, e: &dyn std::fmt::Display| format!("{name}: {what}: {e}");
    // Danger: a pipe that nobody reads fills and stops the child, hence files.
    let mut out = tempfile::tempfile().map_err(|e| fails("no file for its output", &e))?;
    let mut err = tempfile::tempfile().map_err(|e| fails("no file for its output", &e))?;
    let pipe = |file: &File| file.try_clone().map(Stdio::from);
    let mut command = Command::new(program);
    command.args(args).stdin(Stdio::null());
    command.stdout(pipe(&out).map_err(|e| fails("no file for its output", &e))?);
    command.stderr(pipe(&err).map_err(|e| fails("no file for its output", &e))?);
    let mut child = Owned(command.spawn().map_err(|e| fails("cannot be run", &e))?);
    let status = loop {
        match child.0.try_wait().map_err(|e| fails("cannot be waited for", &e))? {
            Some(status) => break status,
            None if Instant::now() >= ends => return Err(format!("{name}: ended by the time limit")),
            None => std::thread::sleep(POLL),
        }
    };
    if !status.success() {
        let said = text(&mut err).unwrap_or_default();
        let last = said.lines().rev().find(|line| !line.trim().is_empty()).unwrap_or("no word").to_string();
        return Err(format!("{name}: {status}: {last}"));
    }
    let text = text(&mut out).map_err(|e| fails("its output", &e))?;
    serde_json::from_str(&text).map_err(|e| fails("its output is no report", &e))
}

fn text(file: &mut File) -> std::io::Result<String> {
    let mut text = String::new();
    file.rewind()?;
    file.take(MOST).read_to_string(&mut text)?;
    Ok(text)
}
