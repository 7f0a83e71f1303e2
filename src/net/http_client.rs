//! HTTP/1.1 client connections. A connection carries one request at a time, never retries, and is closed when
//! dropped.

use std::cell::{Cell, OnceCell};
use std::error::Error;
use std::future::{pending, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep_until, Instant};

/// The size of a connection's read buffer, in bytes. It limits the length of a response head.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// Tracks when the response to the current request began to arrive.
#[derive(Default)]
pub struct ResponseStart {
    began_at: Cell<Option<Instant>>,
    began: Notify,
}

impl ResponseStart {
    /// Returns whether the response has begun to arrive.
    pub fn has_begun(&self) -> bool {
        self.began_at.get().is_some()
    }

    /// Returns once `max_response_time` has passed since the response began to arrive. Notices only a
    /// response that begins after the returned future was first polled.
    pub async fn wait_until_overdue(&self, max_response_time: Duration) {
        self.began.notified().await;
        match self.began_at.get() {
            Some(began_at) => sleep_until(began_at + max_response_time).await,
            None => pending().await,
        }
    }

    /// Records the arrival of bytes; only the first ones of a response count.
    fn bytes_arrived(&self) {
        if !self.has_begun() {
            self.began_at.set(Some(Instant::now()));
            self.began.notify_waiters();
        }
    }
}

/// A socket that records when a response begins to arrive.
struct ResponseStartStream {
    stream: TcpStream,
    response_start: Rc<ResponseStart>,
}

impl AsyncRead for ResponseStartStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled_before {
            self.response_start.bytes_arrived();
        }
        polled
    }
}

impl AsyncWrite for ResponseStartStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

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

/// An open connection. Dropping it closes the socket, even if a request is in flight.
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    /// The task that reads from and writes to the socket.
    driver: AbortHandle,
    response_start: Rc<ResponseStart>,
    /// What the driver had read and not assigned to a response when it ended; empty while it runs.
    unassigned_bytes: Rc<OnceCell<Bytes>>,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl HttpConnection {
    /// Opens a connection to `address`. `permit` is dropped together with the socket.
    ///
    /// # Errors
    /// If the connection cannot be established.
    pub async fn open<P: 'static>(address: SocketAddr, permit: P) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let response_start = Rc::<ResponseStart>::default();
        let observed = ResponseStartStream { stream, response_start: response_start.clone() };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(observed))
            .await
            .map_err(io::Error::other)?;
        let unassigned_bytes = Rc::<OnceCell<Bytes>>::default();
        let driver = spawn_local(drive(connection, permit, unassigned_bytes.clone()));
        Ok(HttpConnection { sender, driver: driver.abort_handle(), response_start, unassigned_bytes })
    }

    /// Returns whether the connection is open, as far as this side knows.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Returns the bytes that arrived together with the end of a response and lie behind it. Must be called
    /// when the complete body of the response has been read. The connection has ended if there are any.
    ///
    /// Bytes that arrive later are not among them: nothing says yet whether there will be any. What has
    /// arrived is complete here, since the driver looks for further bytes in the same step in which it passes
    /// on the end of a body.
    pub fn bytes_after_response(&self) -> &[u8] {
        self.unassigned_bytes.get().map_or(&[], |bytes| bytes)
    }

    /// Resets the tracking of the response start and returns it for the next request.
    pub fn reset_response_start(&self) -> Rc<ResponseStart> {
        self.response_start.began_at.set(None);
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

/// Reads from and writes to the socket until the connection ends, then closes it and sets
/// `unassigned_bytes`. `permit` is dropped together with the socket.
async fn drive<P>(
    mut connection: Connection<TokioIo<ResponseStartStream>, Full<Bytes>>,
    permit: P,
    unassigned_bytes: Rc<OnceCell<Bytes>>,
) {
    // The error is ignored here, since the request in flight returns it as well.
    let _ = poll_fn(|context| connection.poll_without_shutdown(context)).await;
    let _ = unassigned_bytes.set(connection.into_parts().read_buf);
    drop(permit);
}

/// Returns whether the head of a response defines unambiguously where the response ends.
///
/// If the head has both a `Content-Length` and a `Transfer-Encoding`, neither can be trusted. If it has
/// neither, the body ends with the close of the connection, which is accepted only if the head announces it
/// with `Connection: close`: otherwise a broken connection could not be distinguished from the end of the
/// body. A 204 needs no length, because it has no body. An informational response with a length is refused.
pub fn has_unambiguous_length(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let status = response.status();
    let has_length = headers.contains_key(CONTENT_LENGTH);
    let has_encoding = headers.contains_key(TRANSFER_ENCODING);
    match (has_length, has_encoding) {
        (true, true) => false,
        (false, false) => announces_close(response) || status == StatusCode::NO_CONTENT,
        (true, false) | (false, true) => !status.is_informational(),
    }
}

/// Returns whether the response has a header `Connection: close`.
fn announces_close(response: &Response<Incoming>) -> bool {
    let values = response.headers().get_all(CONNECTION);
    values.iter().any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[error("the body is longer than allowed")]
    TooLong,
    /// The body cannot be decoded.
    #[error("the body is malformed")]
    Malformed,
    /// The connection broke before the end of the body.
    #[error("the connection broke before the end of the body")]
    ConnectionBroken,
}

/// Reads a complete body of at most `max_bytes`.
///
/// # Errors
/// If the body is longer or malformed, or the connection breaks before its end.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLong);
    }
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLong),
        Err(error) if is_decoding_error(error.as_ref()) => Err(BodyError::Malformed),
        Err(_) => Err(BodyError::ConnectionBroken),
    }
}

/// Returns whether reading a body failed because it cannot be decoded, and not because the connection broke.
fn is_decoding_error(error: &(dyn Error + 'static)) -> bool {
    let cause = error.downcast_ref::<hyper::Error>().and_then(Error::source);
    let kind = cause.and_then(|cause| cause.downcast_ref::<io::Error>()).map(io::Error::kind);
    matches!(kind, Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData))
}
