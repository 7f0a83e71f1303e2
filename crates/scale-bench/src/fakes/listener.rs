//! Listeners that accept only connections from this machine.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, for example because the process has run out of descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Limit on the connections that the kernel queues until they are accepted.
const BACKLOG: i32 = 1024;

/// Listens on a free port of 127.0.0.1.
///
/// # Errors
/// Returns an error if no port can be bound.
pub async fn listen_on_loopback() -> io::Result<TcpListener> {
    TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await
}

/// Listens on a free port of all addresses of this machine, for connections over the loopback device only.
///
/// # Errors
/// Returns an error if the socket can't be bound to the loopback device or to a port.
pub fn listen_on_all_loopback_addresses() -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    // Without this binding, other machines could reach the listener.
    socket.bind_device(Some(b"lo"))?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::from((IpAddr::from(Ipv4Addr::UNSPECIFIED), 0)).into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts the next connection from a loopback address, and drops connections from other addresses.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, SocketAddr::V4(from))) if IpAddr::from(*from.ip()).is_loopback() => {
                // If TCP_NODELAY can't be set, responses may be late, but they are still correct.
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Ok(_) => {}
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}
