//! Operations on a client's socket other than reading and writing requests and responses.

use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The interval at which the node checks whether a client has disconnected that has sent bytes after the
/// request in progress. No attempt may start later than 0.1 s after its client has disconnected.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How many bytes may be unread behind a request. The receive buffer of a connection has room for a little more
/// when it is new.
const MAX_UNREAD_BYTES: usize = 60 * 1024;
/// How long the node reads and discards bytes after the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// How many bytes the node reads and discards after the last response, at most.
const LINGER_BYTES: usize = 256 * 1024;

/// Clears the readiness that the runtime assumes for a new connection, so that it asks the kernel for the
/// state of the socket.
///
/// The runtime assumes that a new connection is readable and that the client has not closed it. The client
/// may have disconnected while the connection was in the backlog. If it had sent bytes before, the assumed
/// readiness would hide the disconnect.
pub fn clear_assumed_readiness(stream: &TcpStream) {
    let not_ready = || Err::<(), _>(io::Error::from(io::ErrorKind::WouldBlock));
    let _ = stream.try_io(Interest::READABLE, not_ready);
}

/// Waits until the client has closed its side of the connection.
///
/// Reading from the socket would not detect this: bytes after the request in progress are not read before its
/// response, and the end of the stream comes after them.
pub async fn peer_closed(stream: &TcpStream) {
    loop {
        match stream.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => sleep(DISCONNECT_CHECK_INTERVAL).await,
            _ => return,
        }
    }
}

/// Returns whether the socket holds unread bytes. It asks the kernel, since the runtime may not know of them
/// yet.
pub fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut byte).is_ok_and(|count| count > 0)
}

/// Returns whether so much of what the client has sent is unread that it could have disconnected without the
/// node knowing: the end of the stream arrives only behind those bytes, for which the kernel has no room.
pub fn may_hide_disconnect(stream: &TcpStream) -> bool {
    let mut bytes = [MaybeUninit::uninit(); MAX_UNREAD_BYTES + 1];
    SockRef::from(stream).peek(&mut bytes).is_ok_and(|count| count > MAX_UNREAD_BYTES)
}

/// Reads and discards the unread bytes of a socket that is about to be closed, for `LINGER_TIMEOUT` and
/// `LINGER_BYTES` at most. The kernel resets a connection that is closed with unread bytes, and the last
/// response is lost if it is still being transmitted.
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
