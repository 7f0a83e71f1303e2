//! A client of the node under test.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use super::http::{read_message, HttpMessage};
use super::TEST_TIMEOUT;

/// A request in the protocol's form.
pub struct RequestSpec {
    /// Its class: `lookup` (safe), `slip` (keyed) or `post` (non-idempotent).
    pub class: &'static str,
    /// Its plan: `free` or `paid`.
    pub plan: &'static str,
    /// Its id.
    pub id: String,
    /// Its deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// A request of the plan without a quota, with a deadline of 40 s.
pub fn request(class: &'static str, id: &str) -> RequestSpec {
    RequestSpec { class, plan: "free", id: id.into(), deadline_ms: 40_000 }
}

/// The same of the plan with a quota.
pub fn paid_request(class: &'static str, id: &str) -> RequestSpec {
    RequestSpec { plan: "paid", ..request(class, id) }
}

impl RequestSpec {
    /// The request as sent.
    pub fn text(&self) -> String {
        let (method, further_headers, body) = match self.class {
            "lookup" => ("GET", "", ""),
            "slip" => ("POST", "Idempotency-Key: 5c0f\r\nContent-Length: 5\r\n", "slip!"),
            _ => ("POST", "Content-Length: 5\r\n", "slip!"),
        };
        let RequestSpec { class, plan, id, deadline_ms } = self;
        format!(
            "{method} /{class}?key=0000000000000007 HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {id}\r\n\
             X-Class: {class}\r\nX-Tariff: {plan}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
             X-Weight: units=1,spread=2,first=0\r\n{further_headers}\r\n{body}"
        )
    }
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Client {
    /// Connects to a node.
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("the node accepts");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        Client { reader: BufReader::new(stream.try_clone().expect("a clone")), stream }
    }

    /// Connects to a node with a receive buffer of this many bytes, about: what does not fit stays with the node.
    pub fn connect_with_receive_buffer(address: SocketAddr, bytes: usize) -> Client {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(bytes).expect("a buffer");
        socket.connect(&address.into()).expect("the node accepts");
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        Client { reader: BufReader::new(stream.try_clone().expect("a clone")), stream }
    }

    /// Sends this text.
    pub fn send_raw(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("an open connection");
    }

    /// Sends this text, unless the connection has ended. Returns whether it was sent.
    pub fn try_send_raw(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Sends a request.
    pub fn send(&mut self, request: &RequestSpec) {
        self.send_raw(&request.text());
    }

    /// Sends nothing more; the connection stays open for responses.
    pub fn close_write_half(&mut self) {
        self.stream.shutdown(Shutdown::Write).expect("an open connection");
    }

    /// Waits for the connection's end and returns what arrived before it.
    pub fn read_to_end(mut self) -> String {
        let mut rest = Vec::new();
        match self.reader.read_to_end(&mut rest) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
            Err(error) => panic!("the connection stays open: {error}"),
        }
        String::from_utf8_lossy(&rest).into_owned()
    }

    /// Waits whether the connection ends without a reset and without further bytes.
    pub fn is_closed_cleanly(&mut self) -> bool {
        self.reader.fill_buf().is_ok_and(<[u8]>::is_empty)
    }

    /// Whether a response has begun to arrive, or does within a millisecond.
    pub fn has_response(&mut self) -> bool {
        self.poll(|arrived| arrived.is_ok_and(|bytes| !bytes.is_empty()))
    }

    /// Whether neither a response nor the connection's end has come, nor does within a millisecond.
    pub fn is_still_waiting(&mut self) -> bool {
        self.poll(|arrived| arrived.is_err_and(|error| error.kind() == ErrorKind::WouldBlock))
    }

    /// Looks at what has arrived within a millisecond.
    fn poll(&mut self, look: impl FnOnce(std::io::Result<&[u8]>) -> bool) -> bool {
        self.stream.set_read_timeout(Some(Duration::from_millis(1))).expect("a time-out");
        let seen = look(self.reader.fill_buf());
        self.stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        seen
    }

    /// The next response.
    pub fn response(&mut self) -> HttpMessage {
        self.response_or_end().expect("a response")
    }

    /// The next response; none if the connection ends instead.
    pub fn response_or_end(&mut self) -> Option<HttpMessage> {
        read_message(&mut self.reader)
    }

    /// Asserts that the next response has status 200 and this body.
    pub fn assert_ok(&mut self, body: &str) {
        let response = self.response();
        assert_eq!(response.status(), 200, "{}", response.first);
        assert_eq!(response.body, body.as_bytes());
    }
}
