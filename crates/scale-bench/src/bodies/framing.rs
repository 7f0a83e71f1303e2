//! What arrives at the node in pieces, and the bytes that carry it.

use std::fmt;

use clap::ValueEnum;
use serde::Serialize;

/// What arrives at the node in pieces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Bodies of requests with a Content-Length
    Request,
    /// Chunked bodies of requests, each piece a chunk
    ChunkedRequest,
    /// Bodies of responses with a Content-Length
    Response,
    /// Chunked bodies of responses, each piece a chunk
    ChunkedResponse,
    /// Heads of requests, which are not completed
    Head,
    /// Short requests one behind the other on each connection, all at once
    Pipelined,
}

impl fmt::Display for Kind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = self.to_possible_value();
        formatter.pad(value.as_ref().map_or("", |value| value.get_name()))
    }
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By a Content-Length.
    Length,
    /// By the last chunk.
    Chunked,
}

impl Kind {
    /// Returns the framing of request bodies that arrive in pieces; `None` if they arrive at once.
    pub fn request_framing(self) -> Option<Framing> {
        match self {
            Kind::Request => Some(Framing::Length),
            Kind::ChunkedRequest => Some(Framing::Chunked),
            Kind::Response | Kind::ChunkedResponse | Kind::Head | Kind::Pipelined => None,
        }
    }

    /// Returns the framing of response bodies that arrive in pieces; `None` if they arrive at once.
    pub fn response_framing(self) -> Option<Framing> {
        match self {
            Kind::Response => Some(Framing::Length),
            Kind::ChunkedResponse => Some(Framing::Chunked),
            Kind::Request | Kind::ChunkedRequest | Kind::Head | Kind::Pipelined => None,
        }
    }
}

impl Framing {
    /// Returns the header of a body of `length` bytes, with its line end.
    pub fn header(self, length: usize) -> String {
        match self {
            Framing::Length => format!("Content-Length: {length}\r\n"),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
        }
    }

    /// Returns the bytes of a body of `length` bytes in writes that carry `piece_bytes` of it each.
    pub fn writes(self, length: usize, piece_bytes: usize) -> Vec<Vec<u8>> {
        let body = vec![b'x'; length];
        let mut writes: Vec<Vec<u8>> = body.chunks(piece_bytes).map(|piece| self.frame(piece)).collect();
        if self == Framing::Chunked {
            writes.push(b"0\r\n\r\n".to_vec());
        }
        writes
    }

    fn frame(self, piece: &[u8]) -> Vec<u8> {
        match self {
            Framing::Length => piece.to_vec(),
            Framing::Chunked => [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat(),
        }
    }
}
