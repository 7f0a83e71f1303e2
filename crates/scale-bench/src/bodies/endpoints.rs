//! Endpoints that respond with a short body at once, or with a long one in pieces.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep_until, Instant};

use super::framing::Framing;
use crate::fakes::listener::{accept, listen_on_all_loopback_addresses};
use crate::soak::message::read_message;

/// What the endpoints respond.
#[derive(Debug, Clone, Copy)]
pub struct ResponseShape {
    /// How a long body is framed; `None` for a short body at once.
    pub framing: Option<Framing>,
    /// Length of a long body, in bytes.
    pub length: usize,
    /// Length of a piece, in bytes.
    pub piece_bytes: usize,
    /// Time from the first piece to the last.
    pub span: Duration,
}

/// Starts an endpoint at every loopback address and returns their port. The endpoints run as long as the
/// runtime.
///
/// # Errors
/// Returns an error if no listener can be bound to the loopback device alone.
pub fn start(shape: ResponseShape) -> io::Result<u16> {
    let listener = listen_on_all_loopback_addresses()?;
    let port = listener.local_addr()?.port();
    tokio::spawn(serve(listener, shape));
    Ok(port)
}

async fn serve(listener: TcpListener, shape: ResponseShape) {
    loop {
        tokio::spawn(serve_connection(accept(&listener).await, shape));
    }
}

/// Responds to requests until the node closes the connection.
async fn serve_connection(stream: TcpStream, shape: ResponseShape) {
    let mut stream = BufReader::new(stream);
    while let Ok(Some(_)) = read_message(&mut stream).await {
        if respond(stream.get_mut(), shape).await.is_err() {
            return;
        }
    }
}

async fn respond(stream: &mut TcpStream, shape: ResponseShape) -> io::Result<()> {
    let Some(framing) = shape.framing else {
        return stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await;
    };
    let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", framing.header(shape.length));
    stream.write_all(head.as_bytes()).await?;
    let writes = framing.writes(shape.length, shape.piece_bytes);
    let interval = shape.span / writes.len() as u32;
    let start = Instant::now();
    for (number, write) in writes.iter().enumerate() {
        sleep_until(start + interval * number as u32).await;
        stream.write_all(write).await?;
    }
    Ok(())
}
