//! Which attempts the node retries, and at which endpoints.

mod fakes;

use std::thread::sleep;
use std::time::Duration;

use fakes::{
    active, assert_failed, assert_served_by, next_request_at_any, one_endpoint, request, two_endpoints,
    unreachable_address, FakeEndpoint, NodeConfiguration, OneEndpoint, ReceivedRequest, TwoEndpoints,
};

/// A time after which the first ejection of an endpoint has ended.
const FIRST_EJECTION_WAIT: Duration = Duration::from_millis(500);

/// Handles a request at an endpoint in a certain way.
type EndpointBehavior = fn(ReceivedRequest);

fn internal_error(received: ReceivedRequest) {
    received.respond("500 Internal Server Error", "", "");
}

#[test]
fn non_idempotent_request_that_may_have_run_is_neither_retried_nor_reported_as_rejected() {
    let failures: [(&str, EndpointBehavior); 6] = [
        ("error", internal_error),
        ("503 without X-Not-Run", |received| {
            received.respond("503 Service Unavailable", "", "");
        }),
        ("connection closed after the request", |received| received.close()),
        ("not HTTP", |received| received.send_raw_and_close(b"\x00\xffgarbage\r\n\r\n")),
        ("incomplete response", |received| {
            received.send_raw_and_close(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        }),
        ("response that is too long", |received| received.respond_ok(&"x".repeat(64 * 1024 + 1))),
    ];
    for (name, fail) in failures {
        let TwoEndpoints { first, second, edge: _edge, mut client } = two_endpoints("a");
        client.send(&request("post", "p-1"));
        fail(next_request_at_any(&[&first, &second]).request);
        let response = client.response();
        assert_ne!(response.status(), 200, "{name}: expected a failure, got {}", response.start_line);
        assert!(!response.is_rejected(), "{name}: expected no rejection, got {}", response.start_line);
        first.assert_no_request();
        second.assert_no_request();
    }
}

#[test]
fn safe_request_is_retried_at_another_endpoint() {
    let failures: [EndpointBehavior; 3] =
        [internal_error, |received| received.close(), |received| received.send_raw_and_close(b"?\r\n\r\n")];
    for fail in failures {
        let TwoEndpoints { first, second, edge: _edge, mut client } = two_endpoints("a");
        client.send(&request("lookup", "l-1"));
        let attempt = next_request_at_any(&[&first, &second]);
        fail(attempt.request);
        let retry = next_request_at_any(&[&first, &second]);
        assert_ne!(attempt.endpoint, retry.endpoint);
        retry.request.respond_ok("again");
        client.assert_ok("again");
    }
}

#[test]
fn non_idempotent_request_that_did_not_run_is_retried_at_another_endpoint() {
    for status in ["503 Service Unavailable", "504 Gateway Timeout"] {
        let TwoEndpoints { first, second, edge: _edge, mut client } = two_endpoints("a");
        client.send(&request("post", "p-1"));
        let attempt = next_request_at_any(&[&first, &second]);
        attempt.request.respond(status, "X-Not-Run: 1\r\n", "");
        let retry = next_request_at_any(&[&first, &second]);
        assert_ne!(attempt.endpoint, retry.endpoint);
        retry.request.respond_ok("ran once");
        client.assert_ok("ran once");
    }
}

#[test]
fn non_idempotent_request_is_retried_after_a_refused_connection() {
    let endpoint = FakeEndpoint::start();
    let entries = [active("s-1", endpoint.address), active("s-2", unreachable_address())];
    let edge = NodeConfiguration::new(&entries).start();
    for number in 0..4 {
        let mut client = edge.connect();
        assert_served_by(&endpoint, &mut client, &request("post", &format!("p-{number}")));
    }
}

#[test]
fn keyed_request_that_may_have_run_is_retried_only_in_its_deduplication_scope() {
    // The deduplication scope is the zone, and each of the two zones has one endpoint. After the error the
    // node may retry the request only in the same zone.
    let TwoEndpoints { first, second, edge: _edge, mut client } = two_endpoints("b");
    client.send(&request("slip", "k-1"));
    let attempt = next_request_at_any(&[&first, &second]);
    internal_error(attempt.request);
    let retry = next_request_at_any(&[&first, &second]);
    assert_eq!(attempt.endpoint, retry.endpoint);
    retry.request.respond_ok("once");
    client.assert_ok("once");
}

#[test]
fn keyed_request_that_may_have_run_is_not_retried_after_its_deduplication_window() {
    let endpoint = FakeEndpoint::start();
    let edge = NodeConfiguration::new(&[active("s-1", endpoint.address)]).deduplication_window(1_000).start();
    let mut client = edge.connect();
    client.send(&request("slip", "k-2"));
    let received = endpoint.next_request();
    // The deduplication window, which is 1 ms, ends during this time.
    sleep(Duration::from_millis(50));
    internal_error(received);
    assert_failed(&client.response());
    endpoint.assert_no_request();
}

#[test]
fn only_endpoint_stays_in_use_after_its_connections_are_reset() {
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    for number in 0..5 {
        client.send(&request("lookup", &format!("l-{number}")));
        endpoint.next_request().close();
        endpoint.next_request().respond_ok("ok");
        client.assert_ok("ok");
    }
    client.send(&request("post", "p-1"));
    endpoint.next_request().close();
    assert_failed(&client.response());
    // The only endpoint gets the request even if the node still suspects it of having failed.
    sleep(FIRST_EJECTION_WAIT);
    assert_served_by(&endpoint, &mut client, &request("post", "p-2"));
}

/// Guards against load shedding that rejects requests because of others that the endpoint never responds to:
/// they stay open for long, but the endpoint serves further requests quickly.
#[test]
fn requests_that_are_never_answered_do_not_count_as_load() {
    let endpoint = FakeEndpoint::start();
    let configuration = NodeConfiguration::new(&[active("s-1", endpoint.address)]);
    let edge = configuration.latency_objective(2_000_000).max_descriptors(400).start();
    let mut client = edge.connect();
    let mut unanswered = Vec::new();
    let mut statuses = Vec::new();
    for number in 0..60 {
        let mut other_client = edge.connect();
        other_client.send(&request("post", &format!("p-{number}")));
        while !other_client.has_response() {
            if let Some(received) = endpoint.poll_request() {
                unanswered.push((other_client, received));
                break;
            }
        }
        client.send(&request("lookup", &format!("l-{number}")));
        while !client.has_response() {
            if let Some(received) = endpoint.poll_request() {
                // The time that the endpoint takes to process a request.
                sleep(Duration::from_millis(100));
                received.respond_ok("ok");
            }
        }
        statuses.push(client.response().status());
    }
    assert!(
        statuses.iter().all(|&status| status == 200),
        "expected status 200 for all requests, got {statuses:?}"
    );
    drop(unanswered);
}
