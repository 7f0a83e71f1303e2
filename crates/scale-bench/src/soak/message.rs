//! HTTP messages with a length, as clients and endpoints of a play read them.

use std::io;

use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// The longest body that is read, in bytes.
const MAX_BODY_LENGTH: usize = 1 << 20;

/// A request or a response.
#[derive(Debug)]
pub struct Message {
    first_line: String,
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The status of a response, if it is one.
    pub fn status(&self) -> Option<u16> {
        self.first_line.split(' ').nth(1)?.parse().ok()
    }

    /// The value of a header; its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// Reads one message; none if the connection ends before its first byte.
///
/// # Errors
/// If the connection ends within the message, or it is malformed.
pub async fn read_message(reader: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<Message>> {
    let first_line = read_line(reader).await?;
    if first_line.is_empty() {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader).await?;
        if !line.ends_with('\n') {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut message = Message { first_line: first_line.trim_end().to_owned(), headers, body: Vec::new() };
    let length = message.header("content-length").map_or(Ok(0), str::parse);
    match length {
        Ok(length) if length <= MAX_BODY_LENGTH => message.body.resize(length, 0),
        _ => return Err(io::ErrorKind::InvalidData.into()),
    }
    reader.read_exact(&mut message.body).await?;
    Ok(Some(message))
}

/// Reads a line with its end; empty at the end of the connection.
async fn read_line(reader: &mut (impl AsyncBufRead + Unpin)) -> io::Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line).await?;
    Ok(line)
}
