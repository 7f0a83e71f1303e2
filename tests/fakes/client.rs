//! A client that sends requests to the node under test over TCP.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use super::http::{read_message, HttpMessage};
use super::TEST_TIMEOUT;

/// A request that the node answers itself.
const READINESS_CHECK: &str = "GET /up HTTP/1.1\r\nHost: n0\r\n\r\n";
/// The body of a request whose class has one.
const BODY: &str = "slip!";
/// The header with the length of [`BODY`].
const BODY_LENGTH_HEADER: &str = "Content-Length: 5\r\n";

/// A request of account 7 with one unit, from which the HTTP text is built.
pub struct RequestSpec {
    /// The class: `lookup` (safe), `slip` (keyed) or `post` (non-idempotent).
    pub class: &'static str,
    /// The plan: `free` (without a quota) or `paid` (with a quota).
    pub plan: &'static str,
    /// The request id.
    pub id: String,
    /// How long the client waits for the response, in milliseconds.
    pub deadline_ms: u64,
}

/// Returns a request with a deadline of 40 s and the plan without a quota.
pub fn request(class: &'static str, id: &str) -> RequestSpec {
    RequestSpec { class, plan: "free", id: id.into(), deadline_ms: 40_000 }
}

/// Returns a request with a deadline of 40 s and the plan with a quota.
pub fn paid_request(class: &'static str, id: &str) -> RequestSpec {
    RequestSpec { plan: "paid", ..request(class, id) }
}

impl RequestSpec {
    /// Returns the head of the HTTP request with a body of `length` bytes in place of its own.
    pub fn head_with_body_length(&self, length: usize) -> String {
        let text = self.text();
        let head = text.strip_suffix(BODY).expect("a request of this class has no body");
        head.replace(BODY_LENGTH_HEADER, &format!("Content-Length: {length}\r\n"))
    }

    /// Returns the HTTP request as it is sent.
    pub fn text(&self) -> String {
        let (method, further_headers, body) = match self.class {
            "lookup" => ("GET", "", ""),
            "slip" => ("POST", "Idempotency-Key: 5c0f\r\n", BODY),
            _ => ("POST", "", BODY),
        };
        let length_header = if body.is_empty() { "" } else { BODY_LENGTH_HEADER };
        let RequestSpec { class, plan, id, deadline_ms } = self;
        format!(
            "{method} /{class}?key=0000000000000007 HTTP/1.1\r\nHost: service.internal\r\n\
             X-Request-Id: {id}\r\nX-Class: {class}\r\nX-Tariff: {plan}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
             X-Weight: units=1,spread=2,first=0\r\n{further_headers}{length_header}\r\n{body}"
        )
    }
}

/// A client with one connection to the node. Reads time out after [`TEST_TIMEOUT`].
pub struct Client {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Client {
    /// Connects to a node.
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("failed to connect to the node");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("failed to set the read timeout");
        // Without this option the kernel holds back a second small write until the first one is acknowledged.
        stream.set_nodelay(true).expect("failed to set TCP_NODELAY");
        Client { reader: BufReader::new(stream.try_clone().expect("failed to clone the connection")), stream }
    }

    /// Connects to a node with a receive buffer of about `bytes` bytes. Bytes of a response that do not fit
    /// into the buffer stay in the node until the client reads.
    pub fn connect_with_receive_buffer(address: SocketAddr, bytes: usize) -> Client {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("failed to create a socket");
        socket.set_recv_buffer_size(bytes).expect("failed to set the size of the receive buffer");
        socket.connect(&address.into()).expect("failed to connect to the node");
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("failed to set the read timeout");
        Client { reader: BufReader::new(stream.try_clone().expect("failed to clone the connection")), stream }
    }

    /// Returns the client's own address.
    pub fn local_address(&self) -> SocketAddr {
        self.stream.local_addr().expect("failed to get the client's address")
    }

    /// Sends `text` as it is.
    pub fn send_raw(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("failed to write to the connection");
    }

    /// Sends `text` as it is, unless the connection has ended. Returns whether it was sent.
    pub fn try_send_raw(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Sends a request.
    pub fn send(&mut self, request: &RequestSpec) {
        self.send_raw(&request.text());
    }

    /// Waits until the node has read what had arrived at any of its sockets before this call. Uses a connection
    /// on which no response is awaited.
    ///
    /// The node has one thread. Once it has answered this client, it knows of all that arrived before, and it
    /// reads that before it answers a second time.
    pub fn wait_until_node_has_read(&mut self) {
        for _ in 0..2 {
            self.send_raw(READINESS_CHECK);
            assert_eq!(self.response().status(), 200);
        }
    }

    /// Closes the sending side of the connection. Responses can still be received.
    pub fn close_write_half(&mut self) {
        self.stream
            .shutdown(Shutdown::Write)
            .expect("failed to shut down the sending side of the connection");
    }

    /// Waits until the node closes or resets the connection, and returns the text that arrived before.
    pub fn read_to_end(mut self) -> String {
        let mut rest = Vec::new();
        match self.reader.read_to_end(&mut rest) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
            Err(error) => panic!("the node did not close the connection: {error}"),
        }
        String::from_utf8_lossy(&rest).into_owned()
    }

    /// Waits for further bytes or the end of the connection. Returns whether the connection ended first,
    /// without a reset.
    pub fn is_closed_cleanly(&mut self) -> bool {
        self.reader.fill_buf().is_ok_and(<[u8]>::is_empty)
    }

    /// Returns whether the first bytes of a response have arrived, or arrive within 1 ms.
    pub fn has_response(&mut self) -> bool {
        self.poll(|arrived| arrived.is_ok_and(|bytes| !bytes.is_empty()))
    }

    /// Returns whether neither a response nor the end of the connection has arrived, or arrives within 1 ms.
    pub fn is_still_waiting(&mut self) -> bool {
        self.poll(|arrived| arrived.is_err_and(|error| error.kind() == ErrorKind::WouldBlock))
    }

    /// Waits up to 1 ms for bytes or the end of the connection and returns whether the result meets
    /// `condition`. Bytes that have arrived stay unread.
    fn poll(&mut self, condition: impl FnOnce(std::io::Result<&[u8]>) -> bool) -> bool {
        self.stream.set_read_timeout(Some(Duration::from_millis(1))).expect("failed to set the read timeout");
        let is_met = condition(self.reader.fill_buf());
        self.stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("failed to set the read timeout");
        is_met
    }

    /// Reads the next response. Panics if the connection ends first.
    pub fn response(&mut self) -> HttpMessage {
        self.response_or_end().expect("no response: the connection ended or the read timed out")
    }

    /// Reads the next response. Returns `None` if the connection ends before the response is complete, or if
    /// the read times out.
    pub fn response_or_end(&mut self) -> Option<HttpMessage> {
        read_message(&mut self.reader)
    }

    /// Reads the next response and asserts that it has status 200 and the body `body`.
    pub fn assert_ok(&mut self, body: &str) {
        let response = self.response();
        assert_eq!(response.status(), 200, "{}", response.start_line);
        assert_eq!(response.body, body.as_bytes());
    }
}
