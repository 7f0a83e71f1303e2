//! Which requests and responses the node forwards, and when it responds without an endpoint.

mod fakes;

use std::time::{Duration, Instant};

use fakes::{
    active, assert_failed, one_endpoint, request, Client, FakeEndpoint, NodeConfiguration, OneEndpoint,
    ReceivedRequest, RequestSpec, TEST_TIMEOUT,
};

#[test]
fn request_and_response_are_forwarded_unchanged() {
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    for class in ["lookup", "slip", "post"] {
        client.send(&request(class, &format!("id-{class}")));
        let received = endpoint.next_request();
        let method = if class == "lookup" { "GET" } else { "POST" };
        assert_eq!(received.message.start_line, format!("{method} /{class}?key=0000000000000007 HTTP/1.1"));
        assert_eq!(received.request_id(), format!("id-{class}"));
        assert_eq!(received.message.header("idempotency-key"), (class == "slip").then_some("5c0f"));
        assert_eq!(received.message.body, if class == "lookup" { &b""[..] } else { b"slip!" });
        let deadline =
            received.message.header("x-deadline-ms").expect("the forwarded request should have a deadline");
        let deadline_ms: u64 = deadline.parse().expect("the deadline should be an integer");
        assert!(
            deadline_ms > 0 && deadline_ms < 40_000,
            "expected a deadline of 1 to 39999 ms, got {deadline_ms}"
        );
        received.respond("200 OK", "X-Load: ?\r\n", "done");
        client.assert_ok("done");
    }
}

#[test]
fn node_is_ready_without_discovery_or_counter_service() {
    let edge = NodeConfiguration::new(&[]).start();
    let mut client = edge.connect();
    client.send_raw("GET /up HTTP/1.1\r\nHost: n0\r\n\r\n");
    assert_eq!(client.response().status(), 200);
}

#[test]
fn request_without_any_endpoint_is_rejected_within_three_quarters_of_its_time() {
    let edge = NodeConfiguration::new(&[]).start();
    let mut client = edge.connect();
    let sent_at = Instant::now();
    client.send(&RequestSpec { deadline_ms: 16_000, ..request("post", "p-1") });
    let response = client.response();
    assert!(response.is_rejected(), "expected a rejection, got {}", response.start_line);
    assert!(
        sent_at.elapsed() < Duration::from_secs(12),
        "expected a response within 12 s, got one after {:?}",
        sent_at.elapsed()
    );
}

#[test]
fn unanswered_request_fails_shortly_before_its_deadline() {
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    let sent_at = Instant::now();
    client.send(&RequestSpec { deadline_ms: 1_500, ..request("post", "p-1") });
    let _unanswered = endpoint.next_request();
    assert_failed(&client.response());
    assert!(
        sent_at.elapsed() >= Duration::from_secs(1),
        "expected a failure after 1 s or later, got one after {:?}",
        sent_at.elapsed()
    );
    // The node cancels the attempt by closing its connection.
    endpoint.assert_connection_ended();
}

#[test]
fn request_of_disconnected_client_is_dropped_when_its_attempt_ends() {
    let endpoint = FakeEndpoint::start();
    // With cancellation, a safe request could get a second attempt on a busy machine.
    let configuration = NodeConfiguration::new(&[active("s-1", endpoint.address)]);
    let edge = configuration.without_cancellation().start();
    let mut client = edge.connect();
    client.send(&request("lookup", "l-1"));
    let received = endpoint.next_request();
    // A second request with the same id is refused with 409 while the first one is open, since it would run
    // twice.
    let mut other_client = edge.connect();
    other_client.send(&request("lookup", "l-1"));
    assert_failed(&other_client.response());
    drop(client);
    received.respond_ok("unused");
    // When the attempt has ended, the id of a safe request can be used again. This shows that the node has
    // dropped the first request. Those of other requests are refused, as tests/client_disconnect.rs shows.
    let until = Instant::now() + TEST_TIMEOUT;
    let again = loop {
        assert!(Instant::now() < until, "expected the id to be free in time, but it is still in use");
        other_client.send(&request("lookup", "l-1"));
        if let Some(again) = request_or_conflict(&endpoint, &mut other_client) {
            break again;
        }
    };
    again.respond_ok("second");
    other_client.assert_ok("second");
}

/// Waits for the request to arrive at the endpoint and returns it. Returns `None` if the request is refused
/// with 409 because the id is in use. The function waits for one of the two, since a request may take any
/// time to arrive on a busy machine.
fn request_or_conflict(endpoint: &FakeEndpoint, client: &mut Client) -> Option<ReceivedRequest> {
    let until = Instant::now() + TEST_TIMEOUT;
    while !client.has_response() {
        if let Some(received) = endpoint.poll_request() {
            return Some(received);
        }
        assert!(Instant::now() < until, "expected a request or a response, got neither in time");
    }
    assert_eq!(client.response().status(), 409);
    None
}
