//! Ports that nobody listens on.

use std::net::{SocketAddr, TcpListener};

use tokio::net::TcpSocket;

/// Connections that the kernel keeps until they are accepted.
const BACKLOG: u32 = 64;

/// The port of a peer that is down: connections are refused until the test listens on it.
pub struct ReservedPort {
    /// The address.
    pub address: SocketAddr,
    socket: TcpSocket,
}

impl ReservedPort {
    /// Reserves a free port.
    pub fn new() -> ReservedPort {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        ReservedPort { address: socket.local_addr().expect("an address"), socket }
    }

    /// Listens on the port.
    pub fn listen(self) -> TcpListener {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().expect("a runtime");
        let listener =
            runtime.block_on(async { self.socket.listen(BACKLOG).and_then(|listener| listener.into_std()) });
        let listener = listener.expect("a listener");
        listener.set_nonblocking(false).expect("a listener");
        listener
    }
}

/// An address where connections are refused for as long as the tests run.
///
/// The port stays bound: one that is released may at once be another test's, which would get this one's calls.
pub fn unreachable_address() -> SocketAddr {
    let reserved = ReservedPort::new();
    let address = reserved.address;
    std::mem::forget(reserved);
    address
}
