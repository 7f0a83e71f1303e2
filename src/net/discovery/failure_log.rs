//! Logs calls to discovery that fail or whose responses are late, without a line for each of them.

use std::net::SocketAddr;

use crate::net::discovery::error::{CallError, ErrorChain};
use crate::net::discovery::list_client::CallProgress;

/// Logs the failed calls of one watch. Of consecutive failures the first is logged, and their count with the
/// response in time that ends them.
#[derive(Default)]
pub(super) struct FailureLog {
    failures: u64,
    has_logged_late_response: bool,
}

impl FailureLog {
    /// Records a call that has failed, or is overdue.
    pub(super) fn failed(&mut self, address: SocketAddr, error: &CallError) {
        if self.failures == 0 {
            log_failure(address, error, "retrying");
        }
        self.failures += 1;
    }

    /// Records a list that arrived after its call was overdue.
    pub(super) fn responded_late(&mut self, address: SocketAddr, progress: &CallProgress) {
        if !self.has_logged_late_response {
            log_response(address, progress, "late");
        }
        self.has_logged_late_response = true;
    }

    /// Records a list that arrived in time.
    pub(super) fn responded(&mut self, address: SocketAddr, progress: &CallProgress) {
        if self.failures > 0 {
            log_response(
                address,
                progress,
                &format!("{} calls before it failed or were late", self.failures),
            );
        }
        *self = FailureLog::default();
    }
}

/// Logs a failed call and what follows from the failure.
pub(super) fn log_failure(address: SocketAddr, error: &CallError, consequence: &str) {
    eprintln!("edge-node: discovery at {address}: {}; {consequence}", ErrorChain(error));
}

fn log_response(address: SocketAddr, progress: &CallProgress, note: &str) {
    let call = progress.call;
    let milliseconds = progress.began_at.elapsed().as_millis();
    eprintln!("edge-node: discovery at {address}: {call} received after {milliseconds} ms; {note}");
}
