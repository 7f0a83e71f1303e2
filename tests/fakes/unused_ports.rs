//! Loopback ports on which nothing listens.

use std::net::{SocketAddr, TcpListener};

use tokio::net::TcpSocket;

/// Maximum number of connections that the kernel queues before the test accepts them.
const BACKLOG: u32 = 64;

/// The bound port of a peer that is down. Connections are refused until the test listens on the port.
pub struct ReservedPort {
    /// The loopback address with the port.
    pub address: SocketAddr,
    socket: TcpSocket,
}

impl ReservedPort {
    /// Binds a free loopback port.
    pub fn new() -> ReservedPort {
        let socket = TcpSocket::new_v4().expect("failed to create a socket");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("failed to bind a loopback port");
        ReservedPort { address: socket.local_addr().expect("failed to get the socket's address"), socket }
    }

    /// Listens on the port and returns the listener.
    pub fn listen(self) -> TcpListener {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .build()
            .expect("failed to build a runtime");
        let listener =
            runtime.block_on(async { self.socket.listen(BACKLOG).and_then(|listener| listener.into_std()) });
        let listener = listener.expect("failed to listen on the port");
        listener.set_nonblocking(false).expect("failed to set the listener to blocking mode");
        listener
    }
}

/// Returns an address at which connections are refused until the test process exits.
///
/// The port stays bound. If it were released, another test could bind it and would then receive the calls of
/// this test.
pub fn unreachable_address() -> SocketAddr {
    let reserved = ReservedPort::new();
    let address = reserved.address;
    std::mem::forget(reserved);
    address
}
