//! What is asked of a client's socket beside reading and writing.

use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How often it is checked whether a client that has sent more than the request in progress has disconnected. An
/// attempt for a client that has may not begin 0.1 s later.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// For how long, and how many bytes, are read behind the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
const LINGER_BYTES: usize = 256 * 1024;

/// Makes the runtime ask the socket for its state before it says anything of it.
///
/// It assumes that a new connection is readable and its read side open. The client may have disconnected while the
/// connection was in the backlog, and that would stay hidden behind the bytes that it sent before.
pub fn clear_assumed_readiness(stream: &TcpStream) {
    let not_ready = || Err::<(), _>(io::Error::from(io::ErrorKind::WouldBlock));
    let _ = stream.try_io(Interest::READABLE, not_ready);
}

/// Returns once the client has closed its side. A read would not notice: bytes behind the request in progress are not
/// read before its response, and they hide the close.
pub async fn peer_closed(stream: &TcpStream) {
    loop {
        match stream.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => sleep(DISCONNECT_CHECK_INTERVAL).await,
            _ => return,
        }
    }
}

/// Whether the socket holds unread bytes. Asked of the kernel, since the runtime may not have learned of them.
pub fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut byte).is_ok_and(|count| count > 0)
}

/// Reads what is unread in the socket before it closes, up to a bound. A socket closed over unread bytes is reset, and
/// a last response that is still on its way is lost with it.
pub async fn linger(stream: &TcpStream) {
    if has_unread_bytes(stream) {
        let _ = timeout(LINGER_TIMEOUT, discard_unread(stream)).await;
    }
}

async fn discard_unread(stream: &TcpStream) {
    let mut remaining = LINGER_BYTES;
    let mut bytes = [0; 4096];
    while remaining > 0 && stream.readable().await.is_ok() {
        match stream.try_read(&mut bytes) {
            Ok(0) => return,
            Ok(count) => remaining = remaining.saturating_sub(count),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
