//! The load on the edge node: the schedule of requests, the clients that send them, and their results.

mod clients;
mod results;
pub mod schedule;

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::time::Instant;

use self::clients::Clients;
pub use self::results::LoadResults;
use self::schedule::RequestSchedule;
use super::options::Options;
use crate::error::BenchError;
use crate::fakes::endpoints::{Endpoints, WorkModel};

/// Sends each scheduled request when it is due, waits until all of them have ended, and returns their
/// results.
///
/// # Errors
/// Returns an error if the pacing thread can't be started or memory for the histograms is lacking.
pub async fn send(
    schedule: RequestSchedule,
    edge_address: SocketAddr,
    options: &Options,
    endpoints: Arc<Endpoints>,
    work: WorkModel,
) -> Result<LoadResults, BenchError> {
    let clients = Arc::new(Clients::new(edge_address, options, work));
    let (due_requests, mut next) = mpsc::unbounded_channel();
    let (completed, mut results) = mpsc::unbounded_channel();
    let start = Instant::now();
    // A thread paces the requests because the runtime's timers fire up to a millisecond late, which is as
    // long as the latencies to be measured; a thread's sleep is more exact. The thread ends after the last
    // scheduled request, or once the receiver is dropped.
    let pacer = std::thread::Builder::new().name("pacer".into()).spawn(move || {
        for request in schedule.into_requests() {
            std::thread::sleep((start + request.due).saturating_duration_since(Instant::now()));
            if due_requests.send(request).is_err() {
                return;
            }
        }
    });
    pacer.map_err(|source| BenchError::System { operation: "cannot start a thread", source })?;
    tokio::spawn(async move {
        while let Some(request) = next.recv().await {
            let clients = clients.clone();
            let completed = completed.clone();
            tokio::spawn(async move {
                // Sending fails if the run has ended in the meantime, and then the result is not needed.
                let _ = completed.send(clients.send(request, start).await);
            });
        }
    });
    let mut load_results = LoadResults::new()?;
    while let Some(result) = results.recv().await {
        load_results.add(&result, &endpoints);
    }
    Ok(load_results)
}
