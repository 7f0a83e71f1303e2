//! A node whose requests are all of one class, after a fault of all its endpoints.

mod fakes;

use std::collections::BTreeSet;
use std::thread::sleep;
use std::time::Duration;

use fakes::{assert_failed, next_request_at_any, request, two_endpoints, Client, FakeEndpoint, TwoEndpoints};

/// Longer than the first ejections of an endpoint.
const FIRST_EJECTIONS_ARE_OVER: Duration = Duration::from_secs(1);
/// Requests within which each endpoint has to be used again.
const MAX_REQUESTS: u32 = 200;

/// Sends a request and closes the connection of each of its attempts, as a failing endpoint does.
fn assert_fails_with_reset_attempts(endpoints: &[&FakeEndpoint], client: &mut Client, class: &'static str) {
    client.send(&request(class, "failing"));
    while !client.has_response() {
        for received in endpoints.iter().filter_map(|endpoint| endpoint.poll_request()) {
            received.close();
        }
    }
    assert_failed(&client.response());
}

fn assert_all_are_used_again(class: &'static str) {
    let TwoEndpoints { first, second, edge: _edge, mut client } = two_endpoints("a");
    let endpoints = [&first, &second];
    for _ in 0..4 {
        assert_fails_with_reset_attempts(&endpoints, &mut client, class);
    }
    sleep(FIRST_EJECTIONS_ARE_OVER);
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
    panic!("of both endpoints only {used:?} was used in {MAX_REQUESTS} requests");
}

#[test]
fn endpoints_that_all_reset_are_used_again_where_requests_are_keyed() {
    assert_all_are_used_again("slip");
}

#[test]
fn endpoints_that_all_reset_are_used_again_where_requests_are_not_idempotent() {
    assert_all_are_used_again("post");
}
