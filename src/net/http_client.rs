//! HTTP/1.1 client connections: one request at a time, nothing sent again, closed when dropped.

use std::cell::Cell;
use std::error::Error;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep_until, Instant};

/// Most bytes that a connection reads ahead; no head is longer.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// When the response to the current request began to arrive.
#[derive(Default)]
pub struct ResponseStart {
    began_at: Cell<Option<Instant>>,
    began: Notify,
}

impl ResponseStart {
    /// Whether a response has begun to arrive.
    pub fn has_begun(&self) -> bool {
        self.began_at.get().is_some()
    }

    /// Returns once a response has begun to arrive and this much time has passed since.
    pub async fn exceeds(&self, response_time: Duration) {
        self.began.notified().await;
        match self.began_at.get() {
            Some(began_at) => sleep_until(began_at + response_time).await,
            None => pending().await,
        }
    }

    fn bytes_arrived(&self) {
        if !self.has_begun() {
            self.began_at.set(Some(Instant::now()));
            self.began.notify_waiters();
        }
    }
}

/// A socket that notes when a response begins.
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
    /// Not a byte of the request was written; here it is again.
    #[error("the connection closed before the request was written")]
    NotWritten(Box<Request<Full<Bytes>>>),
    /// Some of the request may have been written, and the connection broke.
    #[error("the connection broke before the response")]
    ConnectionBroken,
    /// The response cannot be read or cannot be trusted. The connection is of no further use.
    #[error("malformed response")]
    MalformedResponse,
}

/// An open connection. Dropping it closes the socket, whatever is in flight on it.
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    response_start: Rc<ResponseStart>,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl HttpConnection {
    /// Connects. `permit` lives as long as the socket.
    ///
    /// # Errors
    /// If the connection is not established.
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
        let driver = spawn_local(async move {
            let _permit = permit;
            // The request in flight is given the error as well.
            let _ = connection.await;
        });
        Ok(HttpConnection { sender, driver: driver.abort_handle(), response_start })
    }

    /// Whether it is still open, as far as this side knows.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Observes when the response to the next request begins to arrive.
    pub fn observe_response_start(&self) -> Rc<ResponseStart> {
        self.response_start.began_at.set(None);
        self.response_start.clone()
    }

    /// Sends one request and waits for the head of its response.
    ///
    /// # Errors
    /// If the connection ends first or the response is malformed.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotWritten(Box::new(request)));
        }
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(request) => SendError::NotWritten(Box::new(request)),
            None if error.error().is_parse() => SendError::MalformedResponse,
            None => SendError::ConnectionBroken,
        })
    }
}

/// Whether the head of a response says without doubt where the response ends. Without a length a broken connection
/// cannot be distinguished from the end of a body, and of two different lengths neither can be trusted.
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

fn announces_close(response: &Response<Incoming>) -> bool {
    let values = response.headers().get_all(CONNECTION);
    values.iter().any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It is longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// It cannot be decoded.
    #[error("the body is malformed")]
    Malformed,
    /// The connection broke first.
    #[error("the connection broke within the body")]
    ConnectionBroken,
}

/// Reads a complete body of at most `max_bytes`.
///
/// # Errors
/// If it is longer, malformed or cut off.
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

/// Whether a body ended because it cannot be decoded, and not with its connection.
fn is_decoding_error(error: &(dyn Error + 'static)) -> bool {
    let cause = error.downcast_ref::<hyper::Error>().and_then(Error::source);
    let kind = cause.and_then(|cause| cause.downcast_ref::<io::Error>()).map(io::Error::kind);
    matches!(kind, Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData))
}
