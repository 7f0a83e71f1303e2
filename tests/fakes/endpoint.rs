//! A fake endpoint whose every response the test gives itself.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant};

use super::http::{ok_response, read_message, HttpMessage};
use super::TEST_TIMEOUT;

/// A request that has arrived completely, to be answered by the test.
pub struct ReceivedRequest {
    /// The request.
    pub message: HttpMessage,
    stream: TcpStream,
}

impl ReceivedRequest {
    /// Its id.
    pub fn request_id(&self) -> &str {
        self.message.header("x-request-id").expect("an id")
    }

    /// The node's end of the connection that it arrived on.
    pub fn node_address(&self) -> SocketAddr {
        self.stream.peer_addr().expect("a peer")
    }

    /// Writes the first half of a response with this body, as far as the node reads it.
    pub fn send_half_response(&mut self, body: &str) {
        let text = ok_response(body);
        // The node may close halfway: on a busy machine a long response that pauses is an unresponsive connection.
        let _ = self.stream.write_all(&text.as_bytes()[..text.len() / 2]);
    }

    /// Responds; may be called again.
    pub fn send_response(&mut self, status: &str, body: &str) {
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        // A duplicate may come after the node has closed.
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// Responds with further headers, each ended by a line break.
    pub fn respond(mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        self.stream.write_all(text.as_bytes()).expect("an open connection");
    }

    /// Responds with status 200.
    pub fn respond_ok(self, body: &str) {
        self.respond("200 OK", "", body);
    }

    /// Sends these bytes and closes the connection.
    pub fn send_raw_and_close(mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("an open connection");
        self.close();
    }

    /// Sends these bytes and leaves the connection open.
    pub fn send_raw(mut self, bytes: &[u8]) {
        // The node may close halfway.
        let _ = self.stream.write_all(bytes);
    }

    /// Closes the connection.
    pub fn close(self) {
        self.stream.shutdown(Shutdown::Both).expect("an open connection");
    }

    /// Panics: the request must not have arrived.
    fn fail_unexpected(&self) -> ! {
        let id = self.message.header("x-request-id");
        panic!("a request that should not have arrived: {id:?}, {:?}", self.message.first);
    }
}

/// What happens at an endpoint.
pub enum EndpointEvent {
    /// A request has arrived.
    Request(ReceivedRequest),
    /// A connection has ended.
    ConnectionEnded,
}

/// A clone of each connection of an endpoint, for closing it.
type Connections = Arc<Mutex<Vec<TcpStream>>>;

/// The client's address of the connection that ends an endpoint's listener.
type LastConnection = Arc<Mutex<Option<SocketAddr>>>;

/// A fake endpoint.
pub struct FakeEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
    connections: Connections,
    events: Receiver<EndpointEvent>,
    last_connection: LastConnection,
}

impl FakeEndpoint {
    /// Starts an endpoint on a free port.
    pub fn start() -> FakeEndpoint {
        FakeEndpoint::with_listener(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    /// Starts an endpoint on this listener.
    pub fn with_listener(listener: TcpListener) -> FakeEndpoint {
        let address = listener.local_addr().expect("an address");
        let (sender, events) = channel();
        let connections = Connections::default();
        let last_connection = LastConnection::default();
        let accepted = connections.clone();
        let ends_with = last_connection.clone();
        spawn(move || accept_connections(&listener, &sender, &accepted, &ends_with));
        FakeEndpoint { address, connections, events, last_connection }
    }

    /// The next event.
    pub fn next_event(&self) -> EndpointEvent {
        self.events.recv_timeout(TEST_TIMEOUT).expect("an event in time")
    }

    /// The next request; ends of connections are skipped.
    pub fn next_request(&self) -> ReceivedRequest {
        loop {
            if let EndpointEvent::Request(request) = self.next_event() {
                return request;
            }
        }
    }

    /// The next request, if it arrives within a millisecond. That none does says nothing.
    pub fn poll_request(&self) -> Option<ReceivedRequest> {
        match self.events.recv_timeout(Duration::from_millis(1)) {
            Ok(EndpointEvent::Request(request)) => Some(request),
            _ => None,
        }
    }

    /// How many connections it has accepted and not closed.
    pub fn connection_count(&self) -> usize {
        self.connections.lock().expect("no panic").len()
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        for connection in self.connections.lock().expect("no panic").drain(..) {
            connection.shutdown(Shutdown::Both).expect("an open connection");
        }
    }

    /// Closes all connections, some of which the node may have closed already.
    pub fn close_remaining_connections(&self) {
        for connection in self.connections.lock().expect("no panic").drain(..) {
            // It may be closed already.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Sends these bytes in place of a response and resets the connection.
    pub fn send_raw_and_reset(&self, mut request: ReceivedRequest, bytes: &[u8]) {
        request.stream.write_all(bytes).expect("an open connection");
        let socket = socket2::SockRef::from(&request.stream);
        socket.set_linger(Some(Duration::ZERO)).expect("an open connection");
        // The reset is sent when the last handle is closed; the reader and the list of connections have one each.
        socket.shutdown(Shutdown::Read).expect("an open connection");
        self.connections.lock().expect("no panic").clear();
    }

    /// Asserts that the next event is the end of a connection.
    pub fn assert_connection_ended(&self) {
        let event = self.next_event();
        assert!(matches!(event, EndpointEvent::ConnectionEnded), "a request instead of the connection's end");
    }

    /// Asserts that no request has arrived so far. Each connection has a reader of its own, so what was sent may
    /// still be on its way here, and what one reader has passed on says nothing of the others.
    pub fn assert_no_request(&self) {
        for event in self.events.try_iter() {
            assert_is_no_request(&event);
        }
    }

    /// Asserts that no request has arrived up to the last byte that the node has sent. The node must have ended.
    pub fn assert_no_request_until_node_ended(self) {
        self.end_listener();
        // The events end with the last reader.
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            match self.events.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(event) => assert_is_no_request(&event),
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => panic!("a connection of a node that has ended is open"),
            }
        }
    }

    /// Ends the listener once it has accepted all that arrived before this call. Connections are accepted in their
    /// order, so what the node has opened comes before the connection that this opens.
    fn end_listener(&self) {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        let own_address = socket.local_addr().expect("an address").as_socket();
        *self.last_connection.lock().expect("no panic") = own_address;
        socket.connect(&self.address.into()).expect("an endpoint that accepts");
    }
}

fn accept_connections(
    listener: &TcpListener,
    events: &Sender<EndpointEvent>,
    connections: &Connections,
    last_connection: &LastConnection,
) {
    for stream in listener.incoming().flatten() {
        let peer = stream.peer_addr().ok();
        if peer.is_some() && peer == *last_connection.lock().expect("no panic") {
            return;
        }
        // Otherwise a second small write is held back until the first is acknowledged, some 40 ms later.
        stream.set_nodelay(true).expect("an open connection");
        connections.lock().expect("no panic").push(stream.try_clone().expect("a clone"));
        let events = events.clone();
        spawn(move || read_requests(&stream, &events));
    }
}

fn read_requests(stream: &TcpStream, events: &Sender<EndpointEvent>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    while let Some(message) = read_message(&mut reader) {
        let request = ReceivedRequest { message, stream: stream.try_clone().expect("a clone") };
        if events.send(EndpointEvent::Request(request)).is_err() {
            return;
        }
    }
    // The test may have ended.
    let _ = events.send(EndpointEvent::ConnectionEnded);
}

fn assert_is_no_request(event: &EndpointEvent) {
    if let EndpointEvent::Request(request) = event {
        request.fail_unexpected();
    }
}

/// A request and the endpoint that it arrived at.
pub struct ReceivedAt {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// The request.
    pub request: ReceivedRequest,
}

/// The next request at any of these endpoints.
pub fn next_request_at_any(endpoints: &[&FakeEndpoint]) -> ReceivedAt {
    let until = Instant::now() + TEST_TIMEOUT;
    while Instant::now() < until {
        for (index, endpoint) in endpoints.iter().enumerate() {
            match endpoint.events.recv_timeout(Duration::from_millis(2)) {
                Ok(EndpointEvent::Request(request)) => return ReceivedAt { endpoint: index, request },
                Ok(EndpointEvent::ConnectionEnded) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => panic!("an endpoint ended"),
            }
        }
    }
    panic!("no request in time");
}
