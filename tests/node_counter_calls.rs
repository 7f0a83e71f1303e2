//! How the node handles counter calls that get no reply, or a late, malformed or rejecting one.

mod fakes;

use std::thread::sleep;
use std::time::Duration;

use fakes::{
    active, paid_request, Client, CounterCall, EdgeProcess, FakeCounter, FakeEndpoint, NodeConfiguration,
};

/// A timeout of counter calls that does not expire during a test, in microseconds.
const LONG_TIMEOUT: u64 = 20_000_000;
/// A timeout of counter calls that expires during a test, in microseconds.
const SHORT_TIMEOUT: u64 = 80_000;
/// The time between requests while the node makes no counter calls. It pauses them after a call without a
/// reply.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// A node with one endpoint and a counter service, and a client.
struct NodeWithCounter {
    endpoint: FakeEndpoint,
    counter: FakeCounter,
    // The node is killed when this is dropped.
    _edge: EdgeProcess,
    client: Client,
}

impl NodeWithCounter {
    fn start(counter_timeout: u64) -> NodeWithCounter {
        let endpoint = FakeEndpoint::start();
        let counter = FakeCounter::start();
        let configuration = NodeConfiguration::new(&[active("s-1", endpoint.address)]);
        let edge = configuration.counter(counter.address).counter_timeout(counter_timeout).start();
        let client = edge.connect();
        NodeWithCounter { endpoint, counter, _edge: edge, client }
    }

    /// Responds to the pending request at the endpoint, and asserts that the client receives the response.
    fn assert_served(&mut self) {
        self.endpoint.next_request().respond_ok("ok");
        assert_eq!(self.client.response().status(), 200);
    }

    /// Waits for the counter call that the pending request causes. Returns `None` if the request gets a
    /// response without a call.
    fn call_or_response(&mut self) -> Option<CounterCall> {
        for _ in 0..30_000 {
            if let Some(call) = self.counter.poll_call() {
                return Some(call);
            }
            if let Some(received) = self.endpoint.poll_request() {
                received.respond_ok("ok");
                assert_eq!(self.client.response().status(), 200);
                return None;
            }
            if self.client.has_response() {
                self.client.response();
                return None;
            }
        }
        panic!("expected a counter call or a response, got neither");
    }
}

#[test]
fn request_within_the_local_share_is_served_without_a_successful_counter_call() {
    // The timeout is short if the node repeats the call, or if the call gets no reply at all.
    let replies: [(fn(CounterCall), u64); 4] = [
        (|mut call| call.send_raw("-BUSY\r\n"), LONG_TIMEOUT),
        (|call| call.close(), SHORT_TIMEOUT),
        (|mut call| call.send_raw("-ERR no such call\r\n"), SHORT_TIMEOUT),
        (drop, SHORT_TIMEOUT),
    ];
    for (reply, counter_timeout) in replies {
        let mut node = NodeWithCounter::start(counter_timeout);
        node.client.send(&paid_request("post", "p-1"));
        let call = node.counter.next_call();
        assert!(call.amount > 0.0);
        assert!(call.name.len() <= 64);
        reply(call);
        node.assert_served();
    }
}

#[test]
fn late_reply_is_matched_to_its_own_call_and_its_units_serve_later_requests() {
    let mut node = NodeWithCounter::start(SHORT_TIMEOUT);
    node.client.send(&paid_request("post", "p-1"));
    let mut late_call = node.counter.next_call();
    assert!(late_call.amount > 2.0);
    // The request is served from the local share after the call has timed out. The counter service replies
    // after that.
    node.assert_served();
    late_call.reply_total(late_call.amount);
    let mut requests = 0;
    let mut next_call = loop {
        // The node makes no call for a while. Then it reports the units that it has admitted in the meantime.
        requests += 1;
        node.client.send(&paid_request("post", &format!("q-{requests}")));
        match node.call_or_response() {
            Some(call) => break call,
            None => sleep(REQUEST_INTERVAL),
        }
    };
    assert_eq!(next_call.name, late_call.name);
    // Each full unit of the late call serves a request without a further call.
    assert!(
        f64::from(requests) >= late_call.amount.floor(),
        "expected a request without a call for each unit, got the next call at request {requests}"
    );
    next_call.reply_total(late_call.amount + next_call.amount);
}

#[test]
fn malformed_total_is_reread_without_adding_twice() {
    let incomplete_reply_timeout = 2_000_000;
    for (malformed, counter_timeout) in [
        ("$3\r\nabc\r\n", LONG_TIMEOUT),
        ("noise without an end", LONG_TIMEOUT),
        // If no further byte of an incomplete reply arrives for half the timeout, the node closes the
        // connection.
        ("$5\r\n1", incomplete_reply_timeout),
    ] {
        let mut node = NodeWithCounter::start(counter_timeout);
        node.client.send(&paid_request("post", "p-1"));
        let mut call = node.counter.next_call();
        call.send_raw(malformed);
        // The node rereads the counter on a new connection, since it cannot use the old one any more.
        let mut reread = node.counter.next_call();
        assert_eq!(reread.name, call.name);
        assert_eq!(reread.amount, 0.0);
        reread.reply_total(call.amount);
        node.assert_served();
    }
}

#[test]
fn reset_call_is_granted_only_if_the_total_shows_that_it_was_added() {
    // The amount was added, it was not added, or other nodes have added as well so that the total proves
    // nothing.
    for (added_share, is_granted) in [(1.0, true), (0.0, false), (1.5, false)] {
        let mut node = NodeWithCounter::start(LONG_TIMEOUT);
        node.client.send(&paid_request("post", "p-1"));
        let call = node.counter.next_call();
        let name = call.name.clone();
        let amount = call.amount;
        assert!(amount > 0.0);
        call.close();
        // The node rereads the counter at once, since the connection was closed and did not just become
        // silent.
        let mut reread = node.counter.next_call();
        assert_eq!(reread.name, name);
        assert_eq!(reread.amount, 0.0);
        let total = amount * added_share;
        reread.reply_total(total);
        if !is_granted {
            // The node requests the units again, since they were not granted.
            let mut repeated = node.counter.next_call();
            assert!(repeated.amount > 0.0);
            node.endpoint.assert_no_request();
            repeated.reply_total(total + repeated.amount);
        }
        node.assert_served();
        if is_granted {
            assert!(
                node.counter.poll_call().is_none(),
                "expected no further call after the units were granted"
            );
        }
    }
}

/// Guards against a node that keeps using one connection on which the counter service has stopped replying:
/// all calls on it would time out, although the service may reply on others.
#[test]
fn silent_connection_to_the_counter_service_is_replaced_within_four_calls() {
    let mut node = NodeWithCounter::start(20_000);
    let mut calls = Vec::new();
    for number in 0.. {
        node.client.send(&paid_request("post", &format!("p-{number}")));
        // The node makes no call for a while after each call without a reply.
        let Some(call) = node.call_or_response() else { continue };
        calls.push(call);
        if calls.len() == 4 {
            break;
        }
        while !node.client.has_response() {
            if let Some(received) = node.endpoint.poll_request() {
                received.respond_ok("ok");
            }
        }
        node.client.response();
    }
    let first_connection = calls[0].node_address();
    assert_ne!(
        first_connection,
        calls[3].node_address(),
        "expected a new connection within four calls without a reply"
    );
}
