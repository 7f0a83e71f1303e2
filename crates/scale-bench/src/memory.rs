//! Reads the memory use of a process from `/proc`.

use std::io;

use crate::error::BenchError;

/// The memory use of a process.
#[derive(Debug, Clone, Copy)]
pub struct Memory {
    /// Resident size at the time of the reading, in bytes.
    pub resident: u64,
    /// Largest resident size since the process started, in bytes.
    pub peak: u64,
}

impl Memory {
    /// Reads the memory of the process with this id, or of this process if the id is `self`.
    ///
    /// Returns `None` if the process has ended and its parent has not waited for it yet.
    ///
    /// # Errors
    /// Returns an error if there is no such process, or its status file can't be read.
    pub fn of(process: &str) -> Result<Option<Memory>, BenchError> {
        let path = status_path(process);
        let status = std::fs::read_to_string(&path).map_err(|source| BenchError::File { path, source })?;
        let bytes = |key: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key));
            let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
            kilobytes.map(|kilobytes| kilobytes * 1024)
        };
        Ok(bytes("VmRSS:").zip(bytes("VmHWM:")).map(|(resident, peak)| Memory { resident, peak }))
    }

    /// Reads the memory of this process.
    ///
    /// # Errors
    /// Returns an error if the kernel does not report the memory of this process.
    pub fn own() -> Result<Memory, BenchError> {
        let source = io::Error::new(io::ErrorKind::InvalidData, "no number in its VmRSS or VmHWM line");
        Memory::of("self")?.ok_or_else(|| BenchError::File { path: status_path("self"), source })
    }
}

fn status_path(process: &str) -> String {
    format!("/proc/{process}/status")
}
