//! A connection to a fake, on which a test writes and reads what it likes.
#![allow(dead_code, reason = "each test file that includes this uses a part of it")]

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Far longer than anything here takes, on however slow a machine.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// How long nothing may come for a fake to count as silent.
const SILENCE: Duration = Duration::from_millis(100);

pub struct Connection(BufReader<TcpStream>);

impl Connection {
    pub async fn open(address: SocketAddr) -> Connection {
        Connection(BufReader::new(TcpStream::connect(address).await.expect("a listener")))
    }

    pub async fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.expect("an open connection");
    }

    pub async fn read_line(&mut self) -> String {
        let mut line = String::new();
        timeout(READ_TIMEOUT, self.0.read_line(&mut line)).await.expect("in time").expect("a line");
        line.trim_end().into()
    }

    pub async fn read_exact(&mut self, length: usize) -> Vec<u8> {
        let mut bytes = vec![0; length];
        timeout(READ_TIMEOUT, self.0.read_exact(&mut bytes)).await.expect("in time").expect("all bytes");
        bytes
    }

    pub async fn assert_silent(&mut self) {
        assert!(timeout(SILENCE, self.0.fill_buf()).await.is_err(), "an answer in silence");
    }
}
