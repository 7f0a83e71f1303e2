//! Requests what this process needs from the operating system: file descriptors, threads and signal handlers.

use std::future::Future;
use std::time::Duration;

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::error::BenchError;

/// How long after the deadline clients still wait for a response, so that late responses can be distinguished
/// from lost ones.
pub const LATE_RESPONSE_WAIT: Duration = Duration::from_secs(1);

/// Raises this process's limit of file descriptors to `needed`, if it is lower.
///
/// # Errors
/// Returns an error if `needed` is above the hard limit, or if the limit can't be raised.
pub fn raise_descriptor_limit(needed: u64) -> Result<(), BenchError> {
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_none_or(|current| current >= needed) {
        return Ok(());
    }
    if limit.maximum.is_some_and(|maximum| maximum < needed) {
        let reason =
            format!("this run may need {needed} file descriptors, more than the hard limit of this process");
        return Err(BenchError::Argument(reason));
    }
    let raised = setrlimit(Resource::Nofile, Rlimit { current: Some(needed), ..limit });
    raised.map_err(|error| BenchError::System {
        operation: "cannot raise the limit of file descriptors",
        source: error.into(),
    })
}

/// Starts a runtime with `threads` worker threads.
///
/// # Errors
/// Returns an error if the threads can't be started.
pub fn new_runtime(threads: usize) -> Result<Runtime, BenchError> {
    let built = Builder::new_multi_thread().worker_threads(threads).enable_all().build();
    built.map_err(|source| BenchError::System { operation: "cannot start threads", source })
}

/// Installs handlers for SIGINT and SIGTERM, and returns a future that completes when one of them arrives.
/// Without the handlers a signal would end this process at once and leave the edge node's process running.
///
/// # Errors
/// Returns an error if the handlers can't be installed.
pub fn interruption() -> Result<impl Future<Output = BenchError>, BenchError> {
    let mut interrupt = install_handler(SignalKind::interrupt())?;
    let mut terminate = install_handler(SignalKind::terminate())?;
    Ok(async move {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        BenchError::EdgeNode("the run was interrupted".into())
    })
}

fn install_handler(kind: SignalKind) -> Result<Signal, BenchError> {
    signal(kind).map_err(|source| BenchError::System { operation: "cannot install signal handlers", source })
}
