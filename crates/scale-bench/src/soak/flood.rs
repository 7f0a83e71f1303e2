//! Many connections at once that send nothing, half a request or a byte now and then.

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

/// How long a client of the flood stays.
pub const STAY: Duration = Duration::from_secs(4);
/// A client that sends a part of a request and no more is owed an error or a close within this time.
const BAD_CLIENT_LIMIT: Duration = Duration::from_millis(3_200);
/// How much of a request is sent, in bytes.
const HALF: usize = 40;
/// Pause between two bytes of a slow client.
const BYTE_PAUSE: Duration = Duration::from_millis(100);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// What one client of the flood does.
#[derive(Clone, Copy, PartialEq)]
enum Member {
    Idle,
    HalfSent,
    Slow,
}

/// Connects the clients of a flood, waits until it has left, and returns how many clients with half a request were neither
/// answered nor closed in time.
pub async fn run(flood: &Flood, address: SocketAddr) -> usize {
    let text: Arc<str> = request_text(&CLASSES[0], "flood", UNLIMITED_PLAN, 99, 1_000).into();
    let mut members = JoinSet::new();
    for number in 0..flood.count {
        let member = match flood.kind {
            FloodKind::Idle => Member::Idle,
            FloodKind::HalfSent => Member::HalfSent,
            FloodKind::Slow => Member::Slow,
            FloodKind::PartlyHalfSent if number % 3 == 0 => Member::HalfSent,
            FloodKind::PartlyHalfSent => Member::Idle,
        };
        members.spawn(stay(address, member, text.clone()));
    }
    members.join_all().await.into_iter().filter(|was_held| *was_held).count()
}

/// Whether a client with half a request was neither answered nor closed in time.
async fn stay(address: SocketAddr, member: Member, text: Arc<str>) -> bool {
    let Ok(Ok(mut stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
        return false;
    };
    match member {
        Member::Idle => {
            let _ = timeout(STAY, stream.read(&mut [0; 256])).await;
            false
        }
        Member::HalfSent => {
            if stream.write_all(&text.as_bytes()[..HALF]).await.is_err() {
                return false;
            }
            timeout(BAD_CLIENT_LIMIT, stream.read(&mut [0; 256])).await.is_err()
        }
        Member::Slow => {
            for byte in text.as_bytes().iter().take((STAY.as_millis() / BYTE_PAUSE.as_millis()) as usize) {
                if stream.write_all(&[*byte]).await.is_err() {
                    return false;
                }
                sleep(BYTE_PAUSE).await;
            }
            false
        }
    }
}
