//! What memory a process holds, as the kernel reports it.

use std::io;

use crate::error::BenchError;

/// Memory of a process, in bytes.
#[derive(Debug, Clone, Copy)]
pub struct Memory {
    /// Resident now.
    pub resident: u64,
    /// The most that it has ever been.
    pub peak: u64,
}

impl Memory {
    /// Reads the memory of the process with this id, or of `self`; none if it has ended and is not waited for yet.
    ///
    /// # Errors
    /// If there is no such process.
    pub fn of(process: &str) -> Result<Option<Memory>, BenchError> {
        let path = path(process);
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
    /// If the kernel does not report it.
    pub fn own() -> Result<Memory, BenchError> {
        let source = io::Error::new(io::ErrorKind::InvalidData, "it tells no resident size");
        Memory::of("self")?.ok_or_else(|| BenchError::File { path: path("self"), source })
    }
}

fn path(process: &str) -> String {
    format!("/proc/{process}/status")
}
