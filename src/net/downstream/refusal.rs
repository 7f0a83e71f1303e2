//! Refuses a client connection for which the node has no memory.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::net::downstream::socket;

/// How long the node waits for the first bytes of a request. A connection without any is closed without a
/// response.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_millis(50);
/// The response to the first request, which is not read.
const RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Rejects the first request of a connection and ends the connection. The request is not looked at.
pub async fn refuse(stream: &TcpStream) {
    let has_bytes = matches!(timeout(FIRST_BYTES_TIMEOUT, stream.readable()).await, Ok(Ok(())));
    // An error means that the client has gone.
    if has_bytes && send_rejection(stream).is_ok() {
        socket::linger(stream).await;
    }
}

/// Writes the response, which fits into the socket's empty buffer, and ends the writing side.
fn send_rejection(stream: &TcpStream) -> io::Result<()> {
    stream.try_io(Interest::WRITABLE, || SockRef::from(stream).send(RESPONSE))?;
    SockRef::from(stream).shutdown(std::net::Shutdown::Write)
}
