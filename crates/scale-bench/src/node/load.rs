//! The load on the edge node: when which request is sent, the clients that send it, and what became of it.

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

/// Sends the scheduled requests, each when it is due, and waits for the end of the last one.
///
/// # Errors
/// If no thread can be started.
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
    // The runtime's timers are late by up to a millisecond, as much as what is measured; a thread's sleep is not.
    // The thread ends with the schedule, or when nobody receives any more.
    let pacer = std::thread::Builder::new().name("pacer".into()).spawn(move || {
        for request in schedule.into_requests() {
            std::thread::sleep((start + request.due).saturating_duration_since(Instant::now()));
            if due_requests.send(request).is_err() {
                return;
            }
        }
    });
    pacer.map_err(|source| BenchError::System { what: "cannot start a thread", source })?;
    tokio::spawn(async move {
        while let Some(request) = next.recv().await {
            let clients = clients.clone();
            let completed = completed.clone();
            tokio::spawn(async move {
                // The run may have ended meanwhile.
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
