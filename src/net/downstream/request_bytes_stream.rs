//! A stream over a client's socket that records in the state of the connection which bytes were read, and
//! whether responses wait to be written.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;

use crate::net::downstream::connection_state::ConnectionState;

/// A stream over a client's socket that records each read, and each wait of a response, in the state of the
/// connection. The socket is shared with the task that serves the connection.
pub struct RequestBytesStream {
    reader: Take<SharedSocket>,
    /// The state of the connection, in which all bytes read are recorded.
    state: Rc<ConnectionState>,
}

/// A socket that is read by this stream alone, although others hold it as well.
struct SharedSocket(Rc<TcpStream>);

impl RequestBytesStream {
    /// Creates a stream over `stream` that records in `state`.
    pub fn new(stream: Rc<TcpStream>, state: Rc<ConnectionState>) -> Self {
        RequestBytesStream { reader: SharedSocket(stream).take(0), state }
    }

    fn socket(&self) -> &TcpStream {
        &self.reader.get_ref().0
    }
}

impl AsyncRead for SharedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(_) => return Poll::Ready(Ok(())),
            }
        }
    }
}

impl AsyncRead for RequestBytesStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let max_bytes = self.state.max_read_bytes();
        self.reader.set_limit(max_bytes);
        ready!(Pin::new(&mut self.reader).poll_read(context, buffer))?;
        self.state.bytes_received(&buffer.filled()[filled_before..]);
        Poll::Ready(Ok(()))
    }
}

impl RequestBytesStream {
    /// Waits until the socket is writable and calls `write`. Repeats both if `write` returns `WouldBlock`.
    fn poll_write_by(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket().poll_write_ready(context))?;
            match write(self.socket()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.state.response_blocked(),
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncWrite for RequestBytesStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_by(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_by(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Is called once all buffered bytes were written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.state.responses_written();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(self.socket()).shutdown(Shutdown::Write))
    }
}
