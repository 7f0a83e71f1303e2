//! Clients that send one request each, in pieces.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout, Instant};

use super::framing::{Framing, Kind};
use super::measurement::Setup;
use crate::node::configuration::{CLASSES, UNLIMITED_PLAN};
use crate::soak::message::read_message;
use crate::soak::request_text;

/// Deadline of each request, in milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// Time after the last piece within which a response has to arrive.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Class of the requests: non-idempotent, so each gets one attempt.
const CLASS_INDEX: usize = 2;
/// Body of a request that arrives at once, which is the end of [`request_text`].
const SHORT_BODY: &str = "\r\nbody!";
/// Length header of such a request.
const SHORT_BODY_LENGTH: &str = "Content-Length: 5\r\n";

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// Status 200 with a whole body.
    Served,
    /// Status 429 or 503.
    Rejected,
    /// Another status, or no response.
    Other,
}

/// A request in the writes in which it is sent.
pub struct PiecewiseRequest {
    /// What is sent at once at the start.
    head: Vec<u8>,
    /// What is sent in equal intervals after the head.
    writes: Vec<Vec<u8>>,
}

impl PiecewiseRequest {
    /// Returns the request of the client with this number.
    pub fn new(setup: &Setup<'_>, number: u32) -> PiecewiseRequest {
        let length = setup.options.message_bytes as usize;
        let piece_bytes = setup.piece_bytes as usize;
        let id = format!("b-{number}");
        let text =
            request_text(&CLASSES[CLASS_INDEX], &id, UNLIMITED_PLAN, u64::from(number) + 1, DEADLINE_MS);
        if setup.kind == Kind::Pipelined {
            return PiecewiseRequest::pipelined(number, length);
        }
        if setup.kind == Kind::Head {
            return PiecewiseRequest::unfinished_head(&text, length, piece_bytes);
        }
        let Some(framing) = setup.kind.request_framing() else {
            return PiecewiseRequest { head: text.into_bytes(), writes: Vec::new() };
        };
        let head = text.replace(SHORT_BODY_LENGTH, &framing.header(length));
        let head = head.strip_suffix("body!").unwrap_or(&head).as_bytes().to_vec();
        PiecewiseRequest { head, writes: framing.writes(length, piece_bytes) }
    }

    /// Returns as many short requests as fit into `length` bytes, all of which are sent at once.
    fn pipelined(number: u32, length: usize) -> PiecewiseRequest {
        let class = &CLASSES[CLASS_INDEX];
        let account = u64::from(number) + 1;
        let mut requests = String::new();
        let mut count = 0;
        while requests.len() < length {
            count += 1;
            requests +=
                &request_text(class, &format!("b-{number}-{count}"), UNLIMITED_PLAN, account, DEADLINE_MS);
        }
        PiecewiseRequest { head: requests.into_bytes(), writes: Vec::new() }
    }

    /// Returns a request whose head goes on in a long header until it has `length` bytes, and does not end.
    fn unfinished_head(text: &str, length: usize, piece_bytes: usize) -> PiecewiseRequest {
        let start = text.strip_suffix(SHORT_BODY).unwrap_or(text);
        let head = format!("{start}X-Note: ").into_bytes();
        let writes = Framing::Length.writes(length.saturating_sub(head.len()), piece_bytes);
        PiecewiseRequest { head, writes }
    }

    /// Sends the request in the time from `start` to `start` + `span`, and waits for its response.
    pub async fn send(self, address: SocketAddr, start: Instant, span: Duration) -> RequestEnd {
        match self.exchange(address, start, span).await {
            Ok(end) => end,
            Err(_) => RequestEnd::Other,
        }
    }

    async fn exchange(self, address: SocketAddr, start: Instant, span: Duration) -> io::Result<RequestEnd> {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        sleep_until(start).await;
        stream.write_all(&self.head).await?;
        let interval = span / self.writes.len().max(1) as u32;
        for (number, write) in self.writes.iter().enumerate() {
            sleep_until(start + interval * number as u32).await;
            // A node that rejects a request closes the connection while it is being written.
            if stream.write_all(write).await.is_err() {
                break;
            }
        }
        let end = read_end(&mut stream).await;
        // The connection stays open until the memory of requests behind the first has been used.
        sleep_until(start + span).await;
        end
    }
}

async fn read_end(stream: &mut TcpStream) -> io::Result<RequestEnd> {
    let mut reader = BufReader::new(stream);
    let Ok(message) = timeout(RESPONSE_TIMEOUT, read_message(&mut reader)).await else {
        return Ok(RequestEnd::Other);
    };
    Ok(match message?.and_then(|message| message.status()) {
        Some(200) => RequestEnd::Served,
        Some(429 | 503) => RequestEnd::Rejected,
        _ => RequestEnd::Other,
    })
}
