//! HTTP requests and responses on a test's connection to a fake.

use super::connection::Connection;

pub struct HttpResponse {
    pub status: u16,
    pub body: String,
}

impl Connection {
    /// Sends a GET request without waiting for the response.
    pub async fn send_get(&mut self, path: &str) {
        self.write(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n")).await;
    }

    /// Reads a response whose body has a `Content-Length`; without one, the body counts as empty.
    pub async fn read_response(&mut self) -> HttpResponse {
        let status_line = self.read_line().await;
        let status = status_line
            .split(' ')
            .nth(1)
            .and_then(|word| word.parse().ok())
            .expect("the status line should have a status code");
        let mut length = 0;
        loop {
            let header = self.read_line().await.to_lowercase();
            match header.split_once(": ") {
                Some(("content-length", value)) => length = value.parse().expect("length should be a number"),
                Some(_) => {}
                None => break,
            }
        }
        let body = String::from_utf8(self.read_exact(length).await).expect("the body should be UTF-8 text");
        HttpResponse { status, body }
    }
}
