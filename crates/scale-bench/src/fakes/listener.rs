//! Listeners that take connections of this machine alone.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

/// Pause after accepting has failed, as it does when descriptors run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Connections that the kernel keeps until they are accepted.
const BACKLOG: i32 = 1024;

/// Listens on a free port of 127.0.0.1.
pub async fn listen_on_loopback() -> io::Result<TcpListener> {
    TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await
}

/// Listens on a free port of every address of this machine, for connections over its loopback device alone.
pub fn listen_on_all_loopback_addresses() -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    // Without this the listener would be reachable from other machines.
    socket.bind_device(Some(b"lo"))?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::from((IpAddr::from(Ipv4Addr::UNSPECIFIED), 0)).into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts the next connection that comes from a loopback address.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, SocketAddr::V4(from))) if IpAddr::from(*from.ip()).is_loopback() => {
                // Where it can't be set responses are late, not wrong.
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Ok(_) => {}
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}
