//! Reads HTTP messages whose body has a `Content-Length`, for the clients and endpoints of a play.

use std::io;

use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// Maximum length of a body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// An HTTP request or response.
#[derive(Debug)]
pub struct Message {
    first_line: String,
    /// Names in lower case, and values.
    headers: Vec<(String, String)>,
    /// The body; empty if the message has none.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the status of a response; `None` if the message has no status.
    pub fn status(&self) -> Option<u16> {
        self.first_line.split(' ').nth(1)?.parse().ok()
    }

    /// Returns the value of a header; `None` if it is missing. `name` has to be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(stored_name, _)| stored_name == name).map(|(_, value)| value.as_str())
    }
}

/// Reads one message. Returns `None` if the connection ends before the first byte.
///
/// # Errors
/// Returns an error if the connection fails or ends within the message, or the length of the body is
/// malformed or over 1 MiB.
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
        Ok(length) if length <= MAX_BODY_BYTES => message.body.resize(length, 0),
        _ => return Err(io::ErrorKind::InvalidData.into()),
    }
    reader.read_exact(&mut message.body).await?;
    Ok(Some(message))
}

/// Reads a line including its line end. Returns an empty string at the end of the connection.
async fn read_line(reader: &mut (impl AsyncBufRead + Unpin)) -> io::Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line).await?;
    Ok(line)
}
