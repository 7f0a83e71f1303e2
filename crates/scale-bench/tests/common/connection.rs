//! A TCP connection to a fake, on which a test writes and reads any bytes.
#![allow(dead_code, reason = "each test file that includes this module uses only a part of it")]

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest wait for bytes of a fake; far above any time that a fake takes, even on a slow machine.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// A fake counts as silent if it sends nothing for this long.
const SILENCE_DURATION: Duration = Duration::from_millis(100);

pub struct Connection(BufReader<TcpStream>);

impl Connection {
    pub async fn open(address: SocketAddr) -> Connection {
        Connection(BufReader::new(
            TcpStream::connect(address).await.expect("the fake should accept the connection"),
        ))
    }

    pub async fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.expect("the fake should keep the connection open");
    }

    /// Reads a line and returns it without its line break.
    pub async fn read_line(&mut self) -> String {
        let mut line = String::new();
        timeout(READ_TIMEOUT, self.0.read_line(&mut line))
            .await
            .expect("the fake should send a line in time")
            .expect("reading a line should succeed");
        line.trim_end().into()
    }

    pub async fn read_exact(&mut self, length: usize) -> Vec<u8> {
        let mut bytes = vec![0; length];
        timeout(READ_TIMEOUT, self.0.read_exact(&mut bytes))
            .await
            .expect("the fake should send the bytes in time")
            .expect("the connection should stay open until all bytes have come");
        bytes
    }

    /// Asserts that the fake sends nothing and keeps the connection open for a short while.
    pub async fn assert_silent(&mut self) {
        assert!(
            timeout(SILENCE_DURATION, self.0.fill_buf()).await.is_err(),
            "the fake sent bytes or closed the connection, but should be silent"
        );
    }
}
