//! The socket of a connection between two requests.

use std::io;
use std::task::{ready, Context, Poll};

use tokio::net::TcpStream;

/// An open socket on which no request is open, with the permit that was acquired for its connection.
pub struct RestingSocket<P> {
    pub(super) stream: TcpStream,
    pub(super) permit: P,
}

impl<P> RestingSocket<P> {
    /// Returns the permit of the connection.
    pub fn permit(&self) -> &P {
        &self.permit
    }

    /// Completes once the socket can carry no further request: the peer has closed it, or has sent bytes
    /// although no request is open.
    pub fn poll_ended(&self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            if ready!(self.stream.poll_read_ready(context)).is_err() || self.has_ended() {
                return Poll::Ready(());
            }
        }
    }

    /// Returns whether the peer has closed the socket or has sent bytes, as far as the kernel knows.
    pub fn has_ended(&self) -> bool {
        let read = self.stream.try_read(&mut [0]);
        !read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}
