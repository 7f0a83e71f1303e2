//! HTTP messages as they are on the wire.

use std::collections::BTreeMap;
use std::io::BufRead;

/// A request or a response.
pub struct HttpMessage {
    /// The request line or the status line.
    pub first: String,
    /// The headers, their names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).expect("a status").parse().expect("a number")
    }

    /// The value of a header; its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Whether a response says that the request was rejected without effect.
    pub fn is_rejected(&self) -> bool {
        matches!(self.status(), 429 | 503)
    }
}

/// Reads one message; none if the connection ends first.
pub fn read_message(reader: &mut impl BufRead) -> Option<HttpMessage> {
    let first = read_line(reader)?;
    let mut headers = BTreeMap::new();
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(": ") else { break };
        headers.insert(name.to_lowercase(), value.to_string());
    }
    let length = headers.get("content-length").map_or(0, |length| length.parse().expect("a length"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(HttpMessage { first, headers, body })
}

/// A response with status 200 and this body.
pub fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Reads a line without its end; none if the connection ends first.
fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    line.truncate(line.trim_end().len());
    Some(line)
}
