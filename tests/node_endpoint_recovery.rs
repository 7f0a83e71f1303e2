//! Recovery of endpoints after all of them have failed, at a node whose requests are all of one class.
//!
//! Guards against ejected endpoints that are never used again: if only safe requests tested whether an
//! endpoint has recovered, a node that gets no safe requests would not use it any more.

mod fakes;

use std::collections::BTreeSet;
use std::thread::sleep;
use std::time::Duration;

use fakes::{assert_failed, next_request_at_any, request, two_endpoints, Client, FakeEndpoint, TwoEndpoints};

/// A time after which the first ejections of an endpoint have ended.
const FIRST_EJECTIONS_WAIT: Duration = Duration::from_secs(1);
/// The number of requests within which each endpoint has to be used again.
const MAX_REQUESTS: u32 = 200;

/// Sends a request, closes the connection of each of its attempts as a failing endpoint does, and asserts
/// that the request fails.
fn assert_fails_when_attempts_are_reset(
    endpoints: &[&FakeEndpoint],
    client: &mut Client,
    class: &'static str,
) {
    client.send(&request(class, "failing"));
    while !client.has_response() {
        for received in endpoints.iter().filter_map(|endpoint| endpoint.poll_request()) {
            received.close();
        }
    }
    assert_failed(&client.response());
}

/// Asserts that both endpoints are used again for requests of `class` after both have reset their
/// connections.
fn assert_all_endpoints_are_used_again(class: &'static str) {
    let TwoEndpoints { first, second, edge: _edge, mut client } = two_endpoints("a");
    let endpoints = [&first, &second];
    for _ in 0..4 {
        assert_fails_when_attempts_are_reset(&endpoints, &mut client, class);
    }
    sleep(FIRST_EJECTIONS_WAIT);
    let mut used = BTreeSet::new();
    for number in 0..MAX_REQUESTS {
        client.send(&request(class, &format!("r-{number}")));
        let received = next_request_at_any(&endpoints);
        used.insert(received.endpoint);
        received.request.respond_ok("ok");
        client.assert_ok("ok");
        if used.len() == endpoints.len() {
            return;
        }
    }
    panic!("expected both endpoints to be used within {MAX_REQUESTS} requests, got only {used:?}");
}

#[test]
fn endpoints_that_all_failed_are_used_again_for_keyed_requests() {
    assert_all_endpoints_are_used_again("slip");
}

#[test]
fn endpoints_that_all_failed_are_used_again_for_non_idempotent_requests() {
    assert_all_endpoints_are_used_again("post");
}
