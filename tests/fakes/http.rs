//! Reads and formats HTTP/1.1 messages.

use std::collections::BTreeMap;
use std::io::BufRead;

/// An HTTP request or response.
pub struct HttpMessage {
    /// The request line or the status line.
    pub start_line: String,
    /// The headers. Names are in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Returns the status code of a response. Panics if the message is no valid response.
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .expect("the status line has no status code")
            .parse()
            .expect("the status code is not a number")
    }

    /// Returns the value of a header. `name` must be in lower case. Returns `None` if the message has no such
    /// header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns whether the status of a response says that the request was rejected without effect.
    pub fn is_rejected(&self) -> bool {
        matches!(self.status(), 429 | 503)
    }
}

/// Reads one message. Returns `None` if the connection ends before the message is complete, or if reading
/// fails.
pub fn read_message(reader: &mut impl BufRead) -> Option<HttpMessage> {
    let start_line = read_line(reader)?;
    let mut headers = BTreeMap::new();
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(": ") else { break };
        headers.insert(name.to_lowercase(), value.to_string());
    }
    let length = headers
        .get("content-length")
        .map_or(0, |length| length.parse().expect("the content length is not a number"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(HttpMessage { start_line, headers, body })
}

/// Returns a response with status 200 and this body.
pub fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Reads a line and returns it without trailing white space. Returns `None` if the connection ends first, or
/// if reading fails.
fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    line.truncate(line.trim_end().len());
    Some(line)
}
