//! Bytes that arrive while a connection is being closed, and responses that end early, must neither lose a
//! request nor repeat one that must not run twice. The test's clients and endpoints force each interleaving.

mod fakes;

use std::thread::sleep;
use std::time::{Duration, Instant};

use edge_node::net::downstream::pipeline::Pipeline;
use fakes::{
    active, assert_failed, next_request_at_any, request, Client, FakeEndpoint, NodeConfiguration,
    ReceivedRequest, RequestSpec,
};

/// A client that sends a request in two parts, the first of them directly after another complete request.
struct PartialRequest {
    client: Client,
    number: usize,
    /// The id of the request that is sent in two parts.
    id: String,
    /// The full text of that request.
    text: String,
    /// The number of bytes of `text` that have been sent.
    sent_length: usize,
}

impl PartialRequest {
    fn new(client: Client, number: usize) -> PartialRequest {
        let id = format!("second-{number}");
        let text = request("post", &id).text();
        PartialRequest { client, number, id, text, sent_length: 0 }
    }

    /// Sends a complete request together with the first `sent_length` bytes of the second one.
    fn send_behind_another(&mut self, sent_length: usize) {
        let first = request("lookup", &format!("first-{}", self.number)).text();
        self.client.send_raw(&format!("{first}{}", &self.text[..sent_length]));
        self.sent_length = sent_length;
    }

    fn send_rest(&mut self) {
        self.client.send_raw(&self.text[self.sent_length..]);
    }
}

#[test]
fn partial_request_behind_another_is_served_when_idle_connections_close() {
    // A part of a request that arrived together with the request before it has been read from the socket
    // already, so unread bytes in the socket don't reveal it.
    let endpoint = FakeEndpoint::start();
    let edge = NodeConfiguration::new(&[active("s-1", endpoint.address)]).start();
    let mut idle = edge.connect();
    idle.send(&request("post", "idle"));
    endpoint.next_request().respond_ok("ok");
    assert_eq!(idle.response().status(), 200);
    let mut clients = [0, 1, 2].map(|number| PartialRequest::new(edge.connect(), number));
    let body_length = "slip!".len();
    let without_last_byte_of_head = clients[2].text.len() - body_length - 1;
    for (partial, sent_length) in clients.iter_mut().zip([1, 30, without_last_byte_of_head]) {
        partial.send_behind_another(sent_length);
    }
    for _ in &clients {
        endpoint.next_request().respond_ok("first");
    }
    for partial in &mut clients {
        assert_eq!(partial.client.response().body, b"first");
    }
    edge.terminate();
    // This returns when the node closes the idle connections.
    assert!(idle.response_or_end().is_none());
    // All clients send before any response is awaited, because a closing connection waits at most one second
    // for the rest of a partial request.
    for partial in &mut clients {
        partial.send_rest();
    }
    for _ in &clients {
        let received = endpoint.next_request();
        let body = received.request_id().to_string();
        received.respond_ok(&body);
    }
    for partial in &mut clients {
        let response = partial.client.response_or_end();
        let response = response.expect("the partial request should be served before its connection closes");
        assert_eq!(response.body, partial.id.as_bytes());
        assert_eq!(response.header("connection"), Some("close"));
    }
    assert!(edge.wait_for_exit().status.success());
}

#[test]
fn partial_status_line_on_an_idle_connection_is_not_part_of_the_next_response() {
    let endpoint = FakeEndpoint::start();
    let edge = NodeConfiguration::new(&[active("s-1", endpoint.address)]).start();
    let mut client = edge.connect();
    let partial_lines = ["HTTP/1.1 200 O", "\r\n", "HTTP/1.1 503 Service Unavail"];
    for (number, partial_line) in partial_lines.into_iter().enumerate() {
        client.send(&request("post", &format!("p-{number}")));
        let mut first = endpoint.next_request();
        let connection = first.node_address();
        first.send_response("200 OK", "first");
        assert_eq!(client.response().body, b"first");
        first.send_raw(partial_line.as_bytes());
        // The node closes the connection because of the unexpected bytes.
        endpoint.assert_connection_ended();
        client.send(&request("post", &format!("q-{number}")));
        let next = endpoint.next_request();
        assert_ne!(next.node_address(), connection);
        next.respond_ok("second");
        assert_eq!(client.response().body, b"second");
        endpoint.close_remaining_connections();
        endpoint.assert_connection_ended();
    }
}

#[test]
fn response_without_a_length_ends_with_the_close_of_its_connection_but_not_with_a_reset() {
    let text = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsome of it";
    let endpoints = [FakeEndpoint::start(), FakeEndpoint::start()];
    let entries = [active("s-1", endpoints[0].address), active("s-2", endpoints[1].address)];
    let edge = NodeConfiguration::new(&entries).start();
    let next_request = || next_request_at_any(&[&endpoints[0], &endpoints[1]]);
    let mut client = edge.connect();
    // The endpoint closes the connection in order, so the response is complete.
    client.send(&request("post", "in-order"));
    next_request().request.send_raw_and_close(text);
    assert_eq!(client.response().body, b"some of it");
    // The endpoint resets the connection, so the response is incomplete. The request may have run, so it
    // fails; it is neither served nor rejected, and not sent again.
    let reset_next = || {
        let received = next_request();
        endpoints[received.endpoint].send_raw_and_reset(received.request, text);
    };
    client.send(&request("post", "p-1"));
    reset_next();
    assert_failed(&client.response());
    // A safe request is sent again.
    client.send(&request("lookup", "l-1"));
    reset_next();
    let retried = next_request().request;
    assert_eq!(retried.request_id(), "l-1");
    retried.respond_ok("all of it");
    assert_eq!(client.response().body, b"all of it");
    for endpoint in &endpoints {
        endpoint.assert_no_request();
    }
}

#[test]
fn keyed_request_that_may_have_run_is_not_retried_if_connecting_may_outlast_the_deduplication_window() {
    let endpoint = FakeEndpoint::start();
    // The deduplication window is still open when the connection breaks, but no longer at the latest time at
    // which a new connection may be established.
    let edge = NodeConfiguration::new(&[active("s-1", endpoint.address)])
        .deduplication_window(30_000_000)
        .connect_timeout(30_000_000)
        .start();
    let mut client = edge.connect();
    client.send(&request("slip", "k-1"));
    endpoint.next_request().close();
    assert_failed(&client.response());
    endpoint.assert_no_request();
}

#[test]
fn keyed_request_is_not_retried_after_its_window_if_the_settings_have_no_connect_timeout() {
    let endpoint = FakeEndpoint::start();
    // The window is shorter than the default connect timeout, and long enough for the connection to break
    // within it.
    let edge = NodeConfiguration::new(&[active("s-1", endpoint.address)])
        .deduplication_window(249_000)
        .connect_timeout(0)
        .start();
    let mut client = edge.connect();
    client.send(&request("slip", "k-1"));
    endpoint.next_request().close();
    assert_failed(&client.response());
    endpoint.assert_no_request();
}

#[test]
fn second_attempt_carries_the_time_that_is_left_to_the_client() {
    let endpoints = [FakeEndpoint::start(), FakeEndpoint::start()];
    let entries = [active("s-1", endpoints[0].address), active("s-2", endpoints[1].address)];
    let edge = NodeConfiguration::new(&entries).start();
    let next_request = || next_request_at_any(&[&endpoints[0], &endpoints[1]]).request;
    let mut client = edge.connect();
    client.send(&RequestSpec { deadline_ms: 20_000, ..request("post", "p-1") });
    let first = next_request();
    // The node has read the request by now, and counts the deadline from that time at the latest.
    let read_by = Instant::now();
    let deadline_ms = |request: &ReceivedRequest| -> u128 {
        let header =
            request.message.header("x-deadline-ms").expect("the attempt should have an X-Deadline-Ms header");
        header.parse().expect("X-Deadline-Ms should be an integer")
    };
    assert!(deadline_ms(&first) <= 20_000);
    sleep(Duration::from_millis(400));
    let elapsed_ms = read_by.elapsed().as_millis();
    first.respond("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
    let second = next_request();
    let remaining_ms = deadline_ms(&second);
    assert!(
        remaining_ms + elapsed_ms <= 20_000,
        "expected at most 20000 ms in total, got {remaining_ms} ms left after {elapsed_ms} ms"
    );
    second.respond_ok("ok");
    assert_eq!(client.response().status(), 200);
}

#[test]
fn the_pipeline_separates_the_bytes_of_successive_requests() {
    let head = "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n";
    // Each text is received in one piece and byte by byte, and with both kinds of line ends.
    for text in [format!("\r\n{head}slip!"), format!("{}slip!", head.replace('\r', ""))] {
        let mut in_one_piece = Pipeline::new();
        in_one_piece.bytes_received(format!("{text}\r\n").as_bytes());
        assert!(in_one_piece.has_read_ahead());
        in_one_piece.request_started(Some(5));
        assert!(
            !in_one_piece.has_read_ahead(),
            "expected empty lines not to count as bytes of a further request"
        );
        in_one_piece.bytes_received(b"P");
        assert!(in_one_piece.has_read_ahead());
        let mut byte_by_byte = Pipeline::new();
        let (before_body, body) = text.split_at(text.len() - 5);
        for byte in before_body.bytes() {
            byte_by_byte.bytes_received(&[byte]);
        }
        byte_by_byte.request_started(Some(5));
        for byte in body.bytes() {
            byte_by_byte.bytes_received(&[byte]);
        }
        assert!(!byte_by_byte.has_read_ahead());
        byte_by_byte.bytes_received(text.as_bytes());
        assert!(byte_by_byte.has_read_ahead());
    }
    // No request is served after a body whose end is unknown.
    let mut endless = Pipeline::new();
    endless.bytes_received(head.as_bytes());
    endless.request_started(None);
    endless.bytes_received(head.as_bytes());
    assert!(!endless.has_read_ahead());
}

#[test]
fn request_read_behind_the_last_response_of_a_connection_is_not_forwarded() {
    // One copy is read ahead together with the first request; 300 copies are more than the node reads ahead.
    for copies in [1, 300] {
        let endpoint = FakeEndpoint::start();
        let edge = NodeConfiguration::new(&[active("s-1", endpoint.address)]).start();
        let mut client = edge.connect();
        client.send(&request("post", "first"));
        let in_flight = endpoint.next_request();
        edge.terminate_and_wait();
        client.send_raw(&request("lookup", "behind").text().repeat(copies));
        in_flight.respond_ok("first");
        let response = client.response();
        assert_eq!(response.body, b"first");
        assert_eq!(response.header("connection"), Some("close"));
        assert_eq!(client.read_to_end(), "");
        assert!(edge.wait_for_exit().status.success());
        endpoint.assert_no_request();
    }
}
