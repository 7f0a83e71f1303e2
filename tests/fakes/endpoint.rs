//! A fake endpoint. The test itself sends the response to each request.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant};

use super::http::{ok_response, read_message, HttpMessage};
use super::TEST_TIMEOUT;

/// A request that has arrived completely and that the test answers.
pub struct ReceivedRequest {
    /// The request as received.
    pub message: HttpMessage,
    stream: TcpStream,
}

impl ReceivedRequest {
    /// Returns the request's `X-Request-Id`. Panics if the request has none.
    pub fn request_id(&self) -> &str {
        self.message.header("x-request-id").expect("the request has no id")
    }

    /// Returns the node's address of the connection on which the request arrived.
    pub fn node_address(&self) -> SocketAddr {
        self.stream.peer_addr().expect("failed to get the node's address of the connection")
    }

    /// Writes the first half of a response with this body. Stops early if the node closes the connection.
    pub fn send_half_response(&mut self, body: &str) {
        let text = ok_response(body);
        // The node may close the connection meanwhile: on a busy machine a long response may pause for so
        // long that the node takes the connection for unresponsive.
        let _ = self.stream.write_all(&text.as_bytes()[..text.len() / 2]);
    }

    /// Sends a response. A test may call this more than once to send duplicates.
    pub fn send_response(&mut self, status: &str, body: &str) {
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        // The node may have closed the connection before a duplicate is sent.
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// Sends a response with further headers, each of which ends with CRLF.
    pub fn respond(mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        self.stream.write_all(text.as_bytes()).expect("failed to write to the connection");
    }

    /// Sends a response with status 200 and this body.
    pub fn respond_ok(self, body: &str) {
        self.respond("200 OK", "", body);
    }

    /// Sends these bytes and closes the connection.
    pub fn send_raw_and_close(mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("failed to write to the connection");
        self.close();
    }

    /// Sends these bytes as a part of a response; the test sends the rest.
    pub fn send_part(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("failed to write to the connection");
    }

    /// Sends these bytes as a part of a response, unless the connection has ended. Returns whether they were
    /// sent.
    pub fn try_send_part(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Sends these bytes, as far as the node reads them, and leaves the connection open.
    pub fn send_raw(mut self, bytes: &[u8]) {
        // The node may close the connection before it has received all bytes.
        let _ = self.stream.write_all(bytes);
    }

    /// Closes the connection on which the request arrived.
    pub fn close(self) {
        self.stream.shutdown(Shutdown::Both).expect("failed to shut down the connection");
    }

    /// Panics with the id and the request line of a request that must not have arrived.
    fn fail_unexpected(&self) -> ! {
        let id = self.message.header("x-request-id");
        panic!("expected no request, got one with id {id:?} and request line {:?}", self.message.start_line);
    }
}

/// What an endpoint has received on one of its connections.
pub enum EndpointEvent {
    /// A request has arrived completely.
    Request(ReceivedRequest),
    /// A connection has ended.
    ConnectionEnded,
}

/// A clone of each accepted connection of an endpoint, through which the endpoint closes the connection.
type Connections = Arc<Mutex<Vec<TcpStream>>>;

/// The peer address of the connection that tells the endpoint to stop accepting; `None` until `end_listener`
/// is called.
type LastConnection = Arc<Mutex<Option<SocketAddr>>>;

/// A fake endpoint.
pub struct FakeEndpoint {
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    connections: Connections,
    events: Receiver<EndpointEvent>,
    last_connection: LastConnection,
}

impl FakeEndpoint {
    /// Starts an endpoint on a free loopback port.
    pub fn start() -> FakeEndpoint {
        FakeEndpoint::with_listener(TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port"))
    }

    /// Starts an endpoint that accepts connections from `listener`.
    pub fn with_listener(listener: TcpListener) -> FakeEndpoint {
        let address = listener.local_addr().expect("failed to get the listener's address");
        let (sender, events) = channel();
        let connections = Connections::default();
        let last_connection = LastConnection::default();
        let accepted = connections.clone();
        let stop_at = last_connection.clone();
        spawn(move || accept_connections(&listener, &sender, &accepted, &stop_at));
        FakeEndpoint { address, connections, events, last_connection }
    }

    /// Waits for the next event and returns it. Panics if there is none within [`TEST_TIMEOUT`].
    pub fn next_event(&self) -> EndpointEvent {
        self.events.recv_timeout(TEST_TIMEOUT).expect("no event at the endpoint in time")
    }

    /// Waits for the next request and returns it. Ends of connections are skipped.
    pub fn next_request(&self) -> ReceivedRequest {
        loop {
            if let EndpointEvent::Request(request) = self.next_event() {
                return request;
            }
        }
    }

    /// Waits up to 1 ms for the next event. Returns it if it is a request, and `None` otherwise. `None` does
    /// not show that the node sent no request, because the request may still be on its way.
    pub fn poll_request(&self) -> Option<ReceivedRequest> {
        match self.events.recv_timeout(Duration::from_millis(1)) {
            Ok(EndpointEvent::Request(request)) => Some(request),
            _ => None,
        }
    }

    /// Returns the number of connections that the endpoint has accepted and not closed itself.
    pub fn connection_count(&self) -> usize {
        self.connections.lock().expect("the lock is poisoned").len()
    }

    /// Closes all connections. All of them must still be open.
    pub fn close_connections(&self) {
        for connection in self.connections.lock().expect("the lock is poisoned").drain(..) {
            connection.shutdown(Shutdown::Both).expect("failed to shut down the connection");
        }
    }

    /// Closes all connections. The node may have closed some of them already.
    pub fn close_remaining_connections(&self) {
        for connection in self.connections.lock().expect("the lock is poisoned").drain(..) {
            // The node may have closed the connection already.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Sends these bytes instead of a response and resets the connection of the request. After this, the
    /// endpoint can't close any connection that it had accepted before.
    pub fn send_raw_and_reset(&self, mut request: ReceivedRequest, bytes: &[u8]) {
        request.stream.write_all(bytes).expect("failed to write to the connection");
        let socket = socket2::SockRef::from(&request.stream);
        socket.set_linger(Some(Duration::ZERO)).expect("failed to set the linger time of the connection");
        // The kernel sends the reset when the last handle of the socket is closed. The thread that reads
        // requests and the list of connections hold one handle each. Shutting down the read side ends the
        // thread.
        socket.shutdown(Shutdown::Read).expect("failed to shut down the read side of the connection");
        self.connections.lock().expect("the lock is poisoned").clear();
    }

    /// Waits for the next event and asserts that it is the end of a connection.
    pub fn assert_connection_ended(&self) {
        let event = self.next_event();
        assert!(
            matches!(event, EndpointEvent::ConnectionEnded),
            "expected the end of a connection, got a request"
        );
    }

    /// Asserts that no request has been received so far.
    ///
    /// A request that the node has sent may still be on its way. Each connection is read by its own thread,
    /// so an event of one connection does not show that the requests of the other connections have been
    /// received.
    pub fn assert_no_request(&self) {
        for event in self.events.try_iter() {
            assert_is_no_request(&event);
        }
    }

    /// Asserts that no further request arrives, up to the last byte that the node sent. The node must have
    /// exited.
    pub fn assert_no_request_until_node_ended(self) {
        self.end_listener();
        // The channel is disconnected when the last thread that reads a connection ends.
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            match self.events.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(event) => assert_is_no_request(&event),
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => panic!("a connection is still open after the node's exit"),
            }
        }
    }

    /// Stops the listener after it has accepted all connections that were opened before this call.
    ///
    /// This opens a connection at which the listener stops. Connections are accepted in the order in which
    /// they were opened, so the listener accepts those of the node first.
    fn end_listener(&self) {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("failed to create a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("failed to bind a loopback port");
        let own_address = socket.local_addr().expect("failed to get the socket's address").as_socket();
        *self.last_connection.lock().expect("the lock is poisoned") = own_address;
        socket.connect(&self.address.into()).expect("failed to connect to the endpoint");
    }
}

/// Accepts connections and starts a thread that reads the requests of each, up to the connection whose peer
/// is `last_connection`.
fn accept_connections(
    listener: &TcpListener,
    events: &Sender<EndpointEvent>,
    connections: &Connections,
    last_connection: &LastConnection,
) {
    for stream in listener.incoming().flatten() {
        let peer = stream.peer_addr().ok();
        if peer.is_some() && peer == *last_connection.lock().expect("the lock is poisoned") {
            return;
        }
        // Without this option the kernel holds back a second small write until the first one is acknowledged,
        // which takes about 40 ms.
        stream.set_nodelay(true).expect("failed to set TCP_NODELAY");
        connections
            .lock()
            .expect("the lock is poisoned")
            .push(stream.try_clone().expect("failed to clone the connection"));
        let events = events.clone();
        spawn(move || read_requests(&stream, &events));
    }
}

/// Reads the requests of one connection and passes them on as events, and then the end of the connection.
fn read_requests(stream: &TcpStream, events: &Sender<EndpointEvent>) {
    let mut reader = BufReader::new(stream.try_clone().expect("failed to clone the connection"));
    while let Some(message) = read_message(&mut reader) {
        let request =
            ReceivedRequest { message, stream: stream.try_clone().expect("failed to clone the connection") };
        if events.send(EndpointEvent::Request(request)).is_err() {
            return;
        }
    }
    // The test may have ended and dropped the receiver.
    let _ = events.send(EndpointEvent::ConnectionEnded);
}

fn assert_is_no_request(event: &EndpointEvent) {
    if let EndpointEvent::Request(request) = event {
        request.fail_unexpected();
    }
}

/// A request, together with the endpoint at which it arrived.
pub struct ReceivedAt {
    /// Index of the endpoint among those given to [`next_request_at_any`].
    pub endpoint: usize,
    /// The request.
    pub request: ReceivedRequest,
}

/// Waits for the next request at any of these endpoints and returns it. Ends of connections are skipped.
/// Panics if no request arrives within [`TEST_TIMEOUT`].
pub fn next_request_at_any(endpoints: &[&FakeEndpoint]) -> ReceivedAt {
    let until = Instant::now() + TEST_TIMEOUT;
    while Instant::now() < until {
        for (index, endpoint) in endpoints.iter().enumerate() {
            match endpoint.events.recv_timeout(Duration::from_millis(2)) {
                Ok(EndpointEvent::Request(request)) => return ReceivedAt { endpoint: index, request },
                Ok(EndpointEvent::ConnectionEnded) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => panic!("an endpoint stopped accepting requests"),
            }
        }
    }
    panic!("no request arrived at any of the endpoints in time");
}
