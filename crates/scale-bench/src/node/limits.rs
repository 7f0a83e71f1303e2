//! What this process needs of the machine: descriptors, threads and signals.

use std::future::Future;
use std::time::Duration;

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::error::BenchError;

/// How long past the deadline a response is still waited for, so that a late one can be told from one that never comes.
pub const MAX_LATENESS: Duration = Duration::from_secs(1);

/// Lets this process hold so many descriptors.
///
/// # Errors
/// If the machine does not permit it.
pub fn allow_descriptors(needed: u64) -> Result<(), BenchError> {
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_none_or(|current| current >= needed) {
        return Ok(());
    }
    if limit.maximum.is_some_and(|maximum| maximum < needed) {
        let reason =
            format!("--rate and --deadline-ms may take {needed} descriptors, more than this machine permits");
        return Err(BenchError::Argument(reason));
    }
    let raised = setrlimit(Resource::Nofile, Rlimit { current: Some(needed), ..limit });
    raised.map_err(|error| BenchError::System {
        what: "cannot raise the limit of descriptors",
        source: error.into(),
    })
}

/// Starts a runtime with threads of its own.
///
/// # Errors
/// If the machine has no thread left.
pub fn new_runtime(threads: usize) -> Result<Runtime, BenchError> {
    let built = Builder::new_multi_thread().worker_threads(threads).enable_all().build();
    built.map_err(|source| BenchError::System { what: "cannot start threads", source })
}

/// Listens for signals that end this program, and returns a future that waits for one. Without it a signal would end
/// this program at once and leave the edge node's process behind.
///
/// # Errors
/// If signals can't be listened for.
pub fn interruption() -> Result<impl Future<Output = BenchError>, BenchError> {
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut terminate = listen(SignalKind::terminate())?;
    Ok(async move {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        BenchError::EdgeNode("the run was interrupted".into())
    })
}

fn listen(kind: SignalKind) -> Result<Signal, BenchError> {
    signal(kind).map_err(|source| BenchError::System { what: "cannot listen for signals", source })
}
