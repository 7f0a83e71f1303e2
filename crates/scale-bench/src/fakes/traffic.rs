//! Counters of the bytes that a fake receives and sends.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Counts the bytes that a fake receives and sends on its connections: TCP payload, without headers.
#[derive(Debug, Default)]
pub struct Traffic {
    received: AtomicU64,
    sent: AtomicU64,
}

/// The bytes that a fake had received and sent at one point in time.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ByteCounts {
    /// Bytes that the fake had received.
    pub received: u64,
    /// Bytes that the fake had sent.
    pub sent: u64,
}

impl Traffic {
    /// Returns the bytes up to now.
    pub fn byte_counts(&self) -> ByteCounts {
        ByteCounts {
            received: self.received.load(Ordering::Relaxed),
            sent: self.sent.load(Ordering::Relaxed),
        }
    }
}

/// A TCP stream that adds the bytes it carries to a [`Traffic`].
pub(super) struct MeteredStream {
    pub(super) stream: TcpStream,
    pub(super) traffic: Arc<Traffic>,
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - length_before;
        self.traffic.received.fetch_add(read as u64, Ordering::Relaxed);
        result
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = result {
            self.traffic.sent.fetch_add(written as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
