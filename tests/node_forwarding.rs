//! What the node forwards, what it returns, and when it responds by itself.

mod fakes;

use std::time::{Duration, Instant};

use fakes::{
    assert_failed, one_endpoint, request, Client, FakeEndpoint, NodeConfiguration, OneEndpoint,
    ReceivedRequest, RequestSpec, TEST_TIMEOUT,
};

#[test]
fn request_and_response_are_forwarded_unchanged() {
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    for class in ["lookup", "slip", "post"] {
        client.send(&request(class, &format!("id-{class}")));
        let received = endpoint.next_request();
        let method = if class == "lookup" { "GET" } else { "POST" };
        assert_eq!(received.message.first, format!("{method} /{class}?key=0000000000000007 HTTP/1.1"));
        assert_eq!(received.request_id(), format!("id-{class}"));
        assert_eq!(received.message.header("idempotency-key"), (class == "slip").then_some("5c0f"));
        assert_eq!(received.message.body, if class == "lookup" { &b""[..] } else { b"slip!" });
        let deadline = received.message.header("x-deadline-ms").expect("a deadline");
        let deadline_ms: u64 = deadline.parse().expect("an integer");
        assert!(deadline_ms > 0 && deadline_ms < 40_000, "{deadline_ms}");
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
    assert!(response.is_rejected(), "{}", response.first);
    assert!(sent_at.elapsed() < Duration::from_secs(12), "{:?}", sent_at.elapsed());
}

#[test]
fn unanswered_request_fails_shortly_before_its_deadline() {
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    let sent_at = Instant::now();
    client.send(&RequestSpec { deadline_ms: 1_500, ..request("post", "p-1") });
    let _unanswered = endpoint.next_request();
    assert_failed(&client.response());
    assert!(sent_at.elapsed() >= Duration::from_secs(1), "failed early: {:?}", sent_at.elapsed());
    // The attempt was cancelled by closing its connection.
    endpoint.assert_connection_ended();
}

#[test]
fn disconnected_client_leaves_nothing_behind() {
    let OneEndpoint { endpoint, edge, mut client } = one_endpoint();
    client.send(&request("post", "p-1"));
    let received = endpoint.next_request();
    // The same id while the first request is pending would run twice.
    let mut other_client = edge.connect();
    other_client.send(&request("post", "p-1"));
    assert_failed(&other_client.response());
    drop(client);
    received.respond_ok("for nobody");
    // Once the attempt has ended the id is free again, so the node has forgotten the request.
    let until = Instant::now() + TEST_TIMEOUT;
    let again = loop {
        assert!(Instant::now() < until, "the id is still in use");
        other_client.send(&request("post", "p-1"));
        if let Some(again) = request_or_conflict(&endpoint, &mut other_client) {
            break again;
        }
    };
    again.respond_ok("anew");
    other_client.assert_ok("anew");
}

/// Waits for the request at the endpoint; none if the client was answered that the id is in use. On a busy machine a
/// request may take any time to arrive, so that none has arrived proves nothing.
fn request_or_conflict(endpoint: &FakeEndpoint, client: &mut Client) -> Option<ReceivedRequest> {
    let until = Instant::now() + TEST_TIMEOUT;
    while !client.has_response() {
        if let Some(received) = endpoint.poll_request() {
            return Some(received);
        }
        assert!(Instant::now() < until, "neither a request nor a response");
    }
    assert_eq!(client.response().status(), 409);
    None
}
