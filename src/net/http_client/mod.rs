//! HTTP/1.1 client connections. A connection carries one request at a time, never retries, and is closed when
//! dropped. Between two requests it can be reduced to its socket.

mod framing;
mod response_start;
mod resting_socket;

use std::cell::{Cell, OnceCell};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle};

pub use crate::net::http_client::framing::has_unambiguous_length;
pub use crate::net::http_client::response_start::ResponseStart;
use crate::net::http_client::response_start::ResponseStartStream;
pub use crate::net::http_client::resting_socket::RestingSocket;

/// The size of a connection's read buffer, in bytes. It limits the length of a response head.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The connection closed before any byte of the request was written. Holds the request.
    #[error("the connection closed before the request was written")]
    NotWritten(Box<Request<Full<Bytes>>>),
    /// The connection broke after some of the request may have been written.
    #[error("the connection broke before the response head arrived")]
    ConnectionBroken,
    /// The response is malformed, too long or too slow. The connection must not be used again.
    #[error("malformed, too long or too slow response")]
    UnusableResponse,
}

/// An open connection, with the permit that was acquired for it. Dropping it closes the socket, even if a
/// request is in flight.
pub struct HttpConnection<P = ()> {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver<P>,
    response_start: Rc<ResponseStart>,
    /// What the driver tells when it ends.
    driver_end: Rc<DriverEnd>,
}

/// The task that reads from and writes to a socket. Dropping this ends it and closes the socket.
struct Driver<P> {
    task: JoinHandle<Option<RestingSocket<P>>>,
}

impl<P> Drop for Driver<P> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// How a driver ends, or has ended.
#[derive(Default)]
struct DriverEnd {
    /// Whether the driver has to end because no further request will be sent for now.
    is_requested: Cell<bool>,
    /// What the driver had read and not assigned to a response when it ended by itself; empty before.
    unassigned_bytes: OnceCell<Bytes>,
}

impl<P: 'static> HttpConnection<P> {
    /// Opens a connection to `address`. `permit` is dropped together with the socket.
    ///
    /// # Errors
    /// If the connection cannot be established.
    pub async fn open(address: SocketAddr, permit: P) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        HttpConnection::resume(RestingSocket { stream, permit }).await
    }

    /// Makes a connection of a socket on which no request is open.
    ///
    /// # Errors
    /// None in practice: the handshake of HTTP/1.1 exchanges no bytes.
    pub async fn resume(socket: RestingSocket<P>) -> io::Result<Self> {
        let RestingSocket { stream, permit } = socket;
        let response_start = Rc::<ResponseStart>::default();
        let observed = ResponseStartStream::new(stream, response_start.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(observed))
            .await
            .map_err(io::Error::other)?;
        let driver_end = Rc::<DriverEnd>::default();
        let driver = Driver { task: spawn_local(drive(connection, permit, driver_end.clone())) };
        Ok(HttpConnection { sender, driver, response_start, driver_end })
    }

    /// Reduces the connection to its socket, which takes a fraction of the memory. Returns `None`, and closes
    /// the connection, if it has ended or bytes have arrived that belong to no response. Must be called when
    /// the complete body of the response has been read.
    pub async fn into_resting(self) -> Option<RestingSocket<P>> {
        let HttpConnection { sender, mut driver, driver_end, .. } = self;
        if sender.is_closed() {
            return None;
        }
        driver_end.is_requested.set(true);
        // Without a sender, the driver ends once it has written what is left.
        drop(sender);
        (&mut driver.task).await.ok().flatten()
    }

    /// Returns whether the connection is open, as far as this side knows.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Returns the bytes that arrived together with the end of a response and lie behind it. Must be called
    /// when the complete body of the response has been read. The connection has ended if there are any.
    ///
    /// The driver looks for further bytes in the same step in which it passes on the end of a body. Bytes that
    /// arrive later are not returned: nothing says yet whether there will be any.
    pub fn bytes_after_response(&self) -> &[u8] {
        self.driver_end.unassigned_bytes.get().map_or(&[], |bytes| bytes)
    }

    /// Returns the tracking of the current response's start.
    pub fn response_start(&self) -> &ResponseStart {
        &self.response_start
    }

    /// Resets the tracking of the response start and returns it for the next request.
    pub fn reset_response_start(&self) -> Rc<ResponseStart> {
        self.response_start.reset();
        self.response_start.clone()
    }

    /// Sends one request and waits for the head of its response.
    ///
    /// # Errors
    /// If the connection ends before the head has arrived, or the head is malformed.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotWritten(Box::new(request)));
        }
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(request) => SendError::NotWritten(Box::new(request)),
            None if error.error().is_parse() => SendError::UnusableResponse,
            None => SendError::ConnectionBroken,
        })
    }
}

/// Reads from and writes to the socket until the connection ends. Returns the socket if the end was requested
/// and nothing has arrived that belongs to no response; otherwise closes it and sets the unassigned bytes.
/// `permit` is dropped together with the socket.
async fn drive<P>(
    mut connection: Connection<TokioIo<ResponseStartStream>, Full<Bytes>>,
    permit: P,
    end: Rc<DriverEnd>,
) -> Option<RestingSocket<P>> {
    // The error is not passed on, since the request in flight returns it as well.
    let result = poll_fn(|context| connection.poll_without_shutdown(context)).await;
    let parts = connection.into_parts();
    let stream = parts.io.into_inner();
    if end.is_requested.get() && result.is_ok() && parts.read_buf.is_empty() {
        return Some(RestingSocket { stream: stream.into_socket(), permit });
    }
    // hyper reads no further once the last response of a connection has ended.
    let bytes = if parts.read_buf.is_empty() { stream.read_available() } else { parts.read_buf };
    let _ = end.unassigned_bytes.set(bytes);
    drop(stream);
    drop(permit);
    None
}
