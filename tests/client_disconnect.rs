//! A request whose client has disconnected must not be sent to an endpoint, wherever the request was waiting
//! at the time.
//!
//! The requests wait for the counter service, for a connection or a descriptor, for an endpoint, in the
//! backlog of the listener, or for the rest of their body.

mod fakes;

use std::array::from_fn;
use std::io::{ErrorKind, Read, Write};
use std::mem::swap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use fakes::{
    active, endpoint_entry, next_request_at_any, one_endpoint, paid_request, request, Client, EdgeProcess,
    FakeCounter, FakeDiscovery, FakeEndpoint, NodeConfiguration, OneEndpoint, ReceivedRequest, RequestSpec,
    TEST_TIMEOUT,
};
use tokio::net::TcpSocket;

/// A deadline in milliseconds that is longer than any test takes.
const UNLIMITED_MS: u64 = 600_000;
/// A connect timeout in microseconds that is longer than any test takes.
const UNLIMITED_CONNECT_MICROS: u64 = 60_000_000;

/// Returns a client whose request is in progress at the node.
///
/// Two clients send the request under the same id, and the node refuses the one that it reads second with
/// 409. This shows that the other one is in progress. The order in which the node reads them is not
/// determined.
fn client_in_progress(edge: &EdgeProcess, request: &RequestSpec) -> Client {
    let mut refused = edge.connect();
    let mut accepted = edge.connect();
    refused.send(request);
    accepted.send(request);
    let until = Instant::now() + TEST_TIMEOUT;
    while !refused.has_response() {
        assert!(
            Instant::now() < until,
            "neither of two requests with the same id was refused with 409 in time"
        );
        swap(&mut refused, &mut accepted);
    }
    assert_eq!(refused.response().status(), 409);
    accepted
}

/// Closes the client's side of the connection and waits until the node has detected this and closed its side
/// as well.
fn disconnect(mut client: Client) {
    client.close_write_half();
    assert_eq!(client.read_to_end(), "");
}

/// Sends a request under the id of a request whose client has disconnected. The request is refused with 409
/// if the id is still in use.
fn send_again(edge: &EdgeProcess, request: &RequestSpec) -> Client {
    let mut client = edge.connect();
    client.send(request);
    client
}

/// Returns a request whose deadline is longer than any test takes.
fn without_time_limit(class: &'static str, id: &str) -> RequestSpec {
    RequestSpec { deadline_ms: UNLIMITED_MS, ..request(class, id) }
}

#[test]
fn client_disconnect_is_detected_despite_unread_bytes_of_a_further_request() {
    // The node does not read the bytes after a request before its response, and the end of the stream is
    // after them.
    let next_request = format!("POST /{}", "x".repeat(60_000));
    for bytes_behind in [0, 30, 60_000] {
        let endpoint = FakeEndpoint::start();
        let counter = FakeCounter::start();
        let configuration = NodeConfiguration::new(&[active("s-1", endpoint.address)]);
        let edge = configuration.counter(counter.address).counter_timeout(30_000_000).start();
        let request = paid_request("post", "p-1");
        let mut first = edge.connect();
        first.send_raw(&format!("{}{}", request.text(), &next_request[..bytes_behind]));
        let mut increment = counter.next_call();
        disconnect(first);
        let mut second = send_again(&edge, &request);
        increment.reply_total(increment.amount);
        // Only the second client's request arrives.
        endpoint.next_request().respond_ok("second");
        assert_eq!(second.response().body, b"second");
        drop(edge);
        endpoint.assert_no_request_until_node_ended();
    }
}

#[test]
fn request_that_waits_for_a_connection_is_not_sent_once_its_client_has_disconnected() {
    // The connection is established late, because the kernel drops further handshakes when the backlog is
    // full.
    let full_endpoint = FullBacklogEndpoint::new();
    let configuration = NodeConfiguration::new(&[active("s-1", full_endpoint.address)]);
    let edge = configuration.connect_timeout(UNLIMITED_CONNECT_MICROS).start();
    let request = without_time_limit("post", "p-1");
    disconnect(client_in_progress(&edge, &request));
    let mut second = send_again(&edge, &request);
    // The connection is established only now, and the request on it is the second client's.
    let endpoint = full_endpoint.accept_all();
    endpoint.next_request().respond_ok("second");
    assert_eq!(second.response().body, b"second");
    drop(edge);
    endpoint.assert_no_request_until_node_ended();
}

#[test]
fn disconnected_client_gets_no_further_attempt_whatever_bytes_follow_its_request() {
    let nothing = String::new();
    let complete_request = request("lookup", "behind").text();
    let partial_request = request("post", "behind").text()[..40].to_string();
    for (row, behind) in [nothing, complete_request, partial_request].into_iter().enumerate() {
        let endpoints = [FakeEndpoint::start(), FakeEndpoint::start()];
        let entries = [active("s-1", endpoints[0].address), active("s-2", endpoints[1].address)];
        let next_request = || next_request_at_any(&[&endpoints[0], &endpoints[1]]).request;
        // On a busy machine the test may respond later than endpoints usually do. With cancellation, a safe
        // request would then get a second attempt while its client is still connected.
        let edge = NodeConfiguration::new(&entries).without_cancellation().start();
        let mut client = edge.connect();
        client.send_raw(&format!("{}{behind}", request("lookup", "first").text()));
        let first = next_request();
        disconnect(client);
        // The request did not run, so it would be sent to the other endpoint if its client were still
        // connected.
        first.respond("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
        let mut other_client = edge.connect();
        for turn in 0..4 {
            let id = format!("later-{turn}");
            other_client.send(&request("lookup", &id));
            let request = next_request();
            assert_eq!(request.request_id(), id, "row {row}");
            request.respond_ok("ok");
            assert_eq!(other_client.response().status(), 200);
        }
        drop(edge);
        for endpoint in endpoints {
            endpoint.assert_no_request_until_node_ended();
        }
    }
}

#[test]
fn request_that_waits_for_a_descriptor_is_not_sent_once_its_client_has_disconnected() {
    let old_endpoint = FakeEndpoint::start();
    let new_endpoint = FakeEndpoint::start();
    let discovery = FakeDiscovery::start();
    // These descriptors are enough for sixteen connections, nine of which may be client connections.
    let edge = NodeConfiguration::new(&[active("s-1", old_endpoint.address)])
        .discovery(discovery.address)
        .connect_timeout(UNLIMITED_CONNECT_MICROS)
        .max_descriptors(40)
        .start();
    // An attempt in flight continues after its client has disconnected, and holds a descriptor.
    let mut in_flight = Vec::new();
    for number in 0..13 {
        let mut client = edge.connect();
        client.send(&without_time_limit("lookup", &format!("held-{number}")));
        in_flight.push(old_endpoint.next_request());
        disconnect(client);
    }
    discovery.publish(active("s-2", new_endpoint.address));
    discovery.publish(endpoint_entry("s-1", old_endpoint.address, "a", "draining"));
    // Two clients take the next two descriptors, and the listener holds the last one for the next client,
    // since both connections have arrived before the first request is read. Neither client becomes idle,
    // since an idle connection could be closed and would free a descriptor for an attempt.
    let first_request = without_time_limit("post", "first").text();
    let second_request = without_time_limit("post", "second").text();
    let both_requests = format!("{first_request}{second_request}");
    let [first, mut second] = edge.connect_having_sent([first_request, both_requests]);
    assert_eq!(
        second.response().status(),
        409,
        "expected a refusal because the first client's request with the same id is in progress"
    );
    disconnect(first);
    // The first client's descriptor is released, and the second request's attempt, which was queued after the
    // first request's, gets it.
    let request = new_endpoint.next_request();
    assert_eq!(request.request_id(), "second");
    request.respond_ok("second");
    assert_eq!(second.response().body, b"second");
    drop(edge);
    new_endpoint.assert_no_request_until_node_ended();
}

#[test]
fn request_that_was_in_the_backlog_when_its_client_disconnected_is_not_sent() {
    // A task that waits to read the end of the stream does not see it while unread bytes after the request
    // precede it.
    for behind in ["", "POST /post"] {
        let endpoint = FakeEndpoint::start();
        let edge = NodeConfiguration::new(&[active("s-1", endpoint.address)])
            .connect_timeout(UNLIMITED_CONNECT_MICROS)
            .max_descriptors(40)
            .start();
        let texts = from_fn(|number| without_time_limit("post", &format!("p-{number}")).text());
        let mut busy_clients: [Client; 9] = edge.connect_having_sent(texts);
        let in_flight: Vec<ReceivedRequest> = (0..7).map(|_| endpoint.next_request()).collect();
        // No descriptor is left for these two clients. The first disconnects before the node accepts its
        // connection.
        let mut disconnected = edge.connect();
        let mut connected = edge.connect();
        // The request has no body, so it is complete as soon as its head is read.
        let disconnected_request = without_time_limit("lookup", "disconnected").text();
        disconnected.send_raw(&format!("{disconnected_request}{behind}"));
        drop(disconnected);
        connected.send(&without_time_limit("post", "connected"));
        let mut arrived_ids: Vec<String> =
            in_flight.iter().map(|request| request.request_id().to_string()).collect();
        for request in in_flight {
            request.respond_ok("ok");
        }
        // Two of the nine requests wait for a descriptor for their endpoint connection. They may arrive
        // before or after the connected client's request.
        for _ in 0..3 {
            let request = endpoint.next_request();
            assert_ne!(request.request_id(), "disconnected");
            arrived_ids.push(request.request_id().to_string());
            request.respond_ok("ok");
        }
        assert_eq!(connected.response().status(), 200);
        assert!(busy_clients.iter_mut().all(|client| client.response().status() == 200));
        // Each request has arrived exactly once, and no other request has arrived.
        arrived_ids.sort();
        let mut expected_ids: Vec<String> = (0..9).map(|number| format!("p-{number}")).collect();
        expected_ids.insert(0, "connected".to_string());
        assert_eq!(arrived_ids, expected_ids);
        drop(edge);
        endpoint.assert_no_request_until_node_ended();
    }
}

#[test]
fn queued_or_incomplete_request_is_not_sent_once_its_client_has_disconnected() {
    let endpoint = FakeEndpoint::start();
    let discovery = FakeDiscovery::start();
    let edge = NodeConfiguration::new(&[]).discovery(discovery.address).start();
    discovery.wait_for_watch();
    // The body lacks one byte.
    let mut incomplete = edge.connect();
    let text = request("post", "slow").text();
    incomplete.send_raw(&text[..text.len() - 1]);
    incomplete.close_write_half();
    // This returns once the node has closed its side of the connection.
    incomplete.read_to_end();
    // The endpoint list is empty, so the request is queued.
    let request = without_time_limit("post", "p-1");
    disconnect(client_in_progress(&edge, &request));
    let mut second = send_again(&edge, &request);
    discovery.publish(active("s-1", endpoint.address));
    endpoint.next_request().respond_ok("second");
    assert_eq!(second.response().body, b"second");
    drop(edge);
    endpoint.assert_no_request_until_node_ended();
}

/// An endpoint with a full backlog. No further connection to it is established until it accepts connections.
struct FullBacklogEndpoint {
    address: SocketAddr,
    listener: TcpListener,
    /// The connections that fill the backlog.
    backlog_connections: Vec<TcpStream>,
}

impl FullBacklogEndpoint {
    fn new() -> FullBacklogEndpoint {
        let socket = TcpSocket::new_v4().expect("the TCP socket should be created");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a loopback port should be bound");
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .build()
            .expect("the runtime should start");
        let listener = runtime
            .block_on(async { socket.listen(0).and_then(|listener| listener.into_std()) })
            .expect("the socket should listen");
        listener.set_nonblocking(false).expect("the listener should be set to blocking mode");
        let address = listener.local_addr().expect("the listener should have a local address");
        let mut backlog_connections = Vec::new();
        let connect_timeout = Duration::from_millis(300);
        while let Ok(stream) = TcpStream::connect_timeout(&address, connect_timeout) {
            backlog_connections.push(stream);
        }
        FullBacklogEndpoint { address, listener, backlog_connections }
    }

    /// Starts to accept connections, beginning with those that filled the backlog.
    fn accept_all(self) -> FakeEndpoint {
        drop(self.backlog_connections);
        FakeEndpoint::with_listener(self.listener)
    }
}

#[test]
fn endpoint_that_starts_draining_while_a_connection_to_it_is_opened_gets_no_request() {
    let full_endpoint = FullBacklogEndpoint::new();
    let second_endpoint = FakeEndpoint::start();
    let discovery = FakeDiscovery::start();
    let edge = NodeConfiguration::new(&[active("s-1", full_endpoint.address)])
        .discovery(discovery.address)
        .connect_timeout(UNLIMITED_CONNECT_MICROS)
        .start();
    let mut client = edge.connect();
    client.send(&without_time_limit("post", "p-1"));
    discovery.publish(active("s-2", second_endpoint.address));
    discovery.publish(endpoint_entry("s-1", full_endpoint.address, "a", "draining"));
    let first_endpoint = full_endpoint.accept_all();
    // A non-idempotent request is sent to another endpoint as well, since it can't have run without a
    // connection.
    second_endpoint.next_request().respond_ok("elsewhere");
    assert_eq!(client.response().body, b"elsewhere");
    drop(edge);
    first_endpoint.assert_no_request_until_node_ended();
}

/// Sends a request that reaches its endpoint, and closes the client's connection. Then the endpoint responds, and
/// the node reads the response.
fn run_for_client_that_leaves(endpoint: &FakeEndpoint, edge: &EdgeProcess, request: &RequestSpec) {
    let mut client = edge.connect();
    client.send(request);
    let attempt = endpoint.next_request();
    disconnect(client);
    attempt.respond_ok("not awaited");
    edge.connect().wait_until_node_has_read();
}

/// Guards against an id that runs twice because it comes again after its client has left: the node knew of it only
/// while the attempt was in flight.
#[test]
fn id_that_has_run_for_a_client_that_left_is_refused_unless_its_class_is_safe() {
    let OneEndpoint { endpoint, edge, .. } = one_endpoint();
    for class in ["post", "slip"] {
        let request = request(class, &format!("{class}-1"));
        run_for_client_that_leaves(&endpoint, &edge, &request);
        assert_eq!(send_again(&edge, &request).response().status(), 409);
    }
    endpoint.assert_no_request();
    let safe_request = request("lookup", "lookup-1");
    run_for_client_that_leaves(&endpoint, &edge, &safe_request);
    let mut client = send_again(&edge, &safe_request);
    endpoint.next_request().respond_ok("ok");
    client.assert_ok("ok");
}

/// The length of the requests that a client sends at once, in bytes: more than the receive buffer of the node has
/// room for.
const UNREAD_BYTES: usize = 400_000;

/// Guards against requests that are sent on after their client has closed its connection: the node could not know
/// of the close, since the end of the stream arrives only behind the unread requests.
#[test]
fn no_further_request_is_sent_on_once_a_client_with_much_unread_has_left() {
    let OneEndpoint { endpoint, edge, .. } = one_endpoint();
    let mut stream = TcpStream::connect(edge.address).expect("failed to connect to the node");
    let socket = socket2::SockRef::from(&stream);
    socket.set_send_buffer_size(2 * UNREAD_BYTES).expect("failed to set the size of the send buffer");
    stream.write_all(request("lookup", "first").text().as_bytes()).expect("failed to write");
    let attempt = endpoint.next_request();
    let mut further = String::new();
    for number in 0.. {
        further.push_str(&request("lookup", &format!("further-{number}")).text());
        if further.len() >= UNREAD_BYTES {
            break;
        }
    }
    stream.write_all(further.as_bytes()).expect("failed to write");
    stream.shutdown(Shutdown::Write).expect("failed to close the sending side");
    attempt.respond_ok("ok");
    // The first response, and one rejection at most.
    stream.set_read_timeout(Some(Duration::from_millis(10))).expect("failed to set the read timeout");
    let until = Instant::now() + TEST_TIMEOUT;
    while !has_ended(&mut stream) {
        endpoint.assert_no_request();
        assert!(Instant::now() < until, "the node did not close the connection");
    }
    edge.connect().wait_until_node_has_read();
    endpoint.assert_no_request();
}

/// Reads what has arrived and returns whether the connection has ended.
fn has_ended(stream: &mut TcpStream) -> bool {
    let waits = [ErrorKind::WouldBlock, ErrorKind::Interrupted];
    match stream.read(&mut [0; 4096]) {
        Ok(count) => count == 0,
        Err(error) => !waits.contains(&error.kind()),
    }
}
