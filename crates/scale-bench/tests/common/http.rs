//! HTTP requests and responses on a connection to a fake.

use super::connection::Connection;

pub struct HttpResponse {
    pub status: u16,
    pub body: String,
}

impl Connection {
    pub async fn get(&mut self, path: &str) {
        self.write(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n")).await;
    }

    pub async fn response(&mut self) -> HttpResponse {
        let status_line = self.read_line().await;
        let status = status_line.split(' ').nth(1).and_then(|word| word.parse().ok()).expect("a status");
        let mut length = 0;
        loop {
            let header = self.read_line().await.to_lowercase();
            match header.split_once(": ") {
                Some(("content-length", value)) => length = value.parse().expect("a length"),
                Some(_) => {}
                None => break,
            }
        }
        let body = String::from_utf8(self.read_exact(length).await).expect("text");
        HttpResponse { status, body }
    }
}
