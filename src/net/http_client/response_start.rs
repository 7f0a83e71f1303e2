//! Tracks when the response to a request begins to arrive.

use std::cell::Cell;
use std::future::{pending, Future};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

use crate::net::http_client::MAX_BUFFER_BYTES;

/// Tracks when the response to the current request began to arrive.
#[derive(Default)]
pub struct ResponseStart {
    began_at: Cell<Option<Instant>>,
    began: Notify,
    /// Whether this side does not read the response now.
    is_paused: Cell<bool>,
}

impl ResponseStart {
    /// Returns whether the response has begun to arrive.
    pub fn has_begun(&self) -> bool {
        self.began_at.get().is_some()
    }

    /// Returns once `max_response_time` has passed since the response began to arrive, not counting the time
    /// in which this side did not read it. Notices only a response that begins after the returned future was
    /// first polled.
    pub async fn wait_until_overdue(&self, max_response_time: Duration) {
        self.began.notified().await;
        while let Some(began_at) = self.began_at.get() {
            let counted_from = if self.is_paused.get() { Instant::now() } else { began_at };
            let due = counted_from + max_response_time;
            if due <= Instant::now() {
                return;
            }
            sleep_until(due).await;
        }
        pending().await
    }

    /// Waits for `resumed`, and does not count the time of the wait as time that the response takes.
    pub async fn pause_until<T>(&self, resumed: impl Future<Output = T>) -> T {
        let paused_at = Instant::now();
        self.is_paused.set(true);
        let output = resumed.await;
        self.is_paused.set(false);
        self.began_at.set(self.began_at.get().map(|began_at| began_at + paused_at.elapsed()));
        output
    }

    /// Starts the tracking of the next response.
    pub(super) fn reset(&self) {
        self.began_at.set(None);
        self.is_paused.set(false);
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
pub(super) struct ResponseStartStream {
    stream: TcpStream,
    response_start: Rc<ResponseStart>,
}

impl ResponseStartStream {
    /// Observes what is read from `stream`.
    pub(super) fn new(stream: TcpStream, response_start: Rc<ResponseStart>) -> Self {
        ResponseStartStream { stream, response_start }
    }

    /// Ends the observation and returns the socket.
    pub(super) fn into_socket(self) -> TcpStream {
        self.stream
    }

    /// Reads what has arrived, at most [`MAX_BUFFER_BYTES`], without waiting. Returns nothing if nothing has
    /// arrived, or the connection has ended.
    pub(super) fn read_available(&self) -> Bytes {
        let mut buffer = vec![0; MAX_BUFFER_BYTES];
        let count = self.stream.try_read(&mut buffer).unwrap_or(0);
        Bytes::copy_from_slice(&buffer[..count])
    }
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
