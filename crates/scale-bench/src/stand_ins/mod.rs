//! Stand-ins of an edge node's peers, after the protocol: the agent, the counter and the app servers.

pub mod agent;
pub mod app_servers;
pub mod counter;
pub mod list;

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// How long accepting rests after it has failed, as it does for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The bytes that a stand-in has received and sent: what TCP carries, without its headers.
#[derive(Debug, Default)]
pub struct Traffic {
    received: AtomicU64,
    sent: AtomicU64,
}

/// The bytes received and sent by some moment.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Bytes {
    /// Received by the stand-in.
    pub received: u64,
    /// Sent by the stand-in.
    pub sent: u64,
}

impl Traffic {
    /// What has gone by now.
    pub fn now(&self) -> Bytes {
        Bytes { received: self.received.load(Ordering::Relaxed), sent: self.sent.load(Ordering::Relaxed) }
    }
}

/// A connection whose bytes are counted.
struct Metered {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.traffic.received.fetch_add((buf.filled().len() - before) as u64, Ordering::Relaxed);
        result
    }
}

impl AsyncWrite for Metered {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = result {
            self.traffic.sent.fetch_add(count as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A port of its own on 127.0.0.1.
async fn loopback_listener() -> io::Result<TcpListener> {
    TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await
}

/// The next connection that comes from this machine's loopback.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, SocketAddr::V4(from))) if IpAddr::from(*from.ip()).is_loopback() => {
                // Without it answers are late, not wrong.
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Ok(_) => {}
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// What a mutex holds, also after a panic elsewhere: all here is counts and lists that are whole at any moment.
fn held<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Spreads a number over all 64 bits (the finisher of splitmix64), for lots that depend on a seed and a number
/// alone, whatever the order in which they are drawn.
pub fn mix(seed: u64, number: u64) -> u64 {
    let mut x = seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A lot of `mix` in 0..1.
pub fn fraction(seed: u64, number: u64) -> f64 {
    (mix(seed, number) >> 11) as f64 / (1u64 << 53) as f64
}
