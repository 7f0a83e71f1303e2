//! A flood: many clients connect at once and send nothing, a part of a request, or a request byte by byte.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::client::request_text;
use super::plan::{Flood, FloodKind};
use crate::node::configuration::{CLASSES, UNLIMITED_PLAN};

/// How long an idle or slow client keeps its connection.
pub const CONNECTION_TIME: Duration = Duration::from_secs(4);
/// If a client sends a part of a request and no more, the node has to respond with an error or close the
/// connection within this time.
const PARTIAL_REQUEST_TIMEOUT: Duration = Duration::from_millis(3_200);
/// Length of the part of a request that is sent, in bytes.
const PARTIAL_REQUEST_BYTES: usize = 40;
/// Pause of a slow client after each byte.
const BYTE_PAUSE: Duration = Duration::from_millis(100);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// What one client of the flood sends.
#[derive(Clone, Copy, PartialEq)]
enum FloodClient {
    /// Nothing.
    Idle,
    /// The first bytes of a request.
    PartialRequest,
    /// A request, byte by byte.
    Slow,
}

/// Runs the clients of a flood until all have ended. Returns the number of clients that sent a part of a
/// request and got neither a response nor a close of the connection in time.
pub async fn run(flood: &Flood, address: SocketAddr) -> usize {
    let text: Arc<str> = request_text(&CLASSES[0], "flood", UNLIMITED_PLAN, 99, 1_000).into();
    let mut clients = JoinSet::new();
    for number in 0..flood.count {
        let client = match flood.kind {
            FloodKind::Idle => FloodClient::Idle,
            FloodKind::HalfSent => FloodClient::PartialRequest,
            FloodKind::Slow => FloodClient::Slow,
            FloodKind::PartlyHalfSent if number % 3 == 0 => FloodClient::PartialRequest,
            FloodKind::PartlyHalfSent => FloodClient::Idle,
        };
        clients.spawn(run_client(address, client, text.clone()));
    }
    clients.join_all().await.into_iter().filter(|is_still_held| *is_still_held).count()
}

/// Runs one client of the flood. Returns whether it sent a part of a request and got neither a response nor a
/// close of the connection in time.
async fn run_client(address: SocketAddr, client: FloodClient, text: Arc<str>) -> bool {
    let Ok(Ok(mut stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
        return false;
    };
    match client {
        FloodClient::Idle => {
            let _ = timeout(CONNECTION_TIME, stream.read(&mut [0; 256])).await;
            false
        }
        FloodClient::PartialRequest => {
            if stream.write_all(&text.as_bytes()[..PARTIAL_REQUEST_BYTES]).await.is_err() {
                return false;
            }
            timeout(PARTIAL_REQUEST_TIMEOUT, stream.read(&mut [0; 256])).await.is_err()
        }
        FloodClient::Slow => {
            for byte in
                text.as_bytes().iter().take((CONNECTION_TIME.as_millis() / BYTE_PAUSE.as_millis()) as usize)
            {
                if stream.write_all(&[*byte]).await.is_err() {
                    return false;
                }
                sleep(BYTE_PAUSE).await;
            }
            false
        }
    }
}
