//! What the node makes of replies of the counter service: missing, late, malformed and silent ones.

mod fakes;

use std::thread::sleep;
use std::time::Duration;

use fakes::{
    active, paid_request, Client, CounterCall, EdgeProcess, FakeCounter, FakeEndpoint, NodeConfiguration,
};

/// A time-out that no test waits for, in microseconds.
const LONG_TIMEOUT: u64 = 20_000_000;
/// A time-out that a test waits for, in microseconds.
const SHORT_TIMEOUT: u64 = 80_000;
/// The node makes no call for some time after one without a reply.
const PAUSE_BETWEEN_REQUESTS: Duration = Duration::from_millis(50);

/// A node with one endpoint and a counter service, and a client.
struct NodeWithCounter {
    endpoint: FakeEndpoint,
    counter: FakeCounter,
    // Ends when dropped.
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

    /// Answers the pending request at the endpoint.
    fn assert_served(&mut self) {
        self.endpoint.next_request().respond_ok("ok");
        assert_eq!(self.client.response().status(), 200);
    }

    /// The call that the pending request leads to; none if it was answered without one.
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
        panic!("neither a call nor a response");
    }
}

#[test]
fn request_within_the_local_share_is_served_without_a_reply_of_the_counter_service() {
    // The time-out is short where the call is repeated, or where silence is the case itself.
    let endings: [(fn(CounterCall), u64); 4] = [
        (|mut call| call.send_raw("-BUSY\r\n"), LONG_TIMEOUT),
        (|call| call.close(), SHORT_TIMEOUT),
        (|mut call| call.send_raw("-ERR no such call\r\n"), SHORT_TIMEOUT),
        (drop, SHORT_TIMEOUT),
    ];
    for (ending, counter_timeout) in endings {
        let mut node = NodeWithCounter::start(counter_timeout);
        node.client.send(&paid_request("post", "p-1"));
        let call = node.counter.next_call();
        assert!(call.amount > 0.0);
        assert!(call.name.len() <= 64);
        ending(call);
        node.assert_served();
    }
}

#[test]
fn late_reply_is_matched_to_its_own_call_and_its_units_serve_later_requests() {
    let mut node = NodeWithCounter::start(SHORT_TIMEOUT);
    node.client.send(&paid_request("post", "p-1"));
    let mut late_call = node.counter.next_call();
    assert!(late_call.amount > 2.0);
    // Served from the local share once the call has timed out; only then does the counter service reply.
    node.assert_served();
    late_call.reply_total(late_call.amount);
    let mut requests = 0;
    let mut next_call = loop {
        // The node makes no call for a while; then it reports what it has admitted meanwhile.
        requests += 1;
        node.client.send(&paid_request("post", &format!("q-{requests}")));
        match node.call_or_response() {
            Some(call) => break call,
            None => sleep(PAUSE_BETWEEN_REQUESTS),
        }
    };
    assert_eq!(next_call.name, late_call.name);
    // Each full unit of the late call has served a request without a further call.
    assert!(f64::from(requests) >= late_call.amount.floor(), "the next call arrived at request {requests}");
    next_call.reply_total(late_call.amount + next_call.amount);
}

#[test]
fn total_that_cannot_be_read_is_read_again_without_adding_twice() {
    let endless_reply_timeout = 2_000_000;
    for (malformed, counter_timeout) in [
        ("$3\r\nabc\r\n", LONG_TIMEOUT),
        ("noise without an end", LONG_TIMEOUT),
        // A reply that does not end is given up after the time-out.
        ("$5\r\n1", endless_reply_timeout),
    ] {
        let mut node = NodeWithCounter::start(counter_timeout);
        node.client.send(&paid_request("post", "p-1"));
        let mut call = node.counter.next_call();
        call.send_raw(malformed);
        // On a new connection, since the old one is useless now.
        let mut read_again = node.counter.next_call();
        assert_eq!(read_again.name, call.name);
        assert_eq!(read_again.amount, 0.0);
        read_again.reply_total(call.amount);
        node.assert_served();
    }
}

#[test]
fn reset_call_is_granted_only_if_the_total_shows_that_it_was_added() {
    // It was added; it was not added; or other nodes have added as well, and nothing can be concluded.
    for (added_share, is_granted) in [(1.0, true), (0.0, false), (1.5, false)] {
        let mut node = NodeWithCounter::start(LONG_TIMEOUT);
        node.client.send(&paid_request("post", "p-1"));
        let call = node.counter.next_call();
        let name = call.name.clone();
        let amount = call.amount;
        assert!(amount > 0.0);
        call.close();
        // At once: a closed connection is not a silent one.
        let mut read = node.counter.next_call();
        assert_eq!(read.name, name);
        assert_eq!(read.amount, 0.0);
        let total = amount * added_share;
        read.reply_total(total);
        if !is_granted {
            // What was not granted is asked for again.
            let mut again = node.counter.next_call();
            assert!(again.amount > 0.0);
            node.endpoint.assert_no_request();
            again.reply_total(total + again.amount);
        }
        node.assert_served();
        if is_granted {
            assert!(node.counter.poll_call().is_none(), "what was granted was added again");
        }
    }
}

#[test]
fn silent_connection_to_the_counter_service_is_replaced_within_four_calls() {
    let mut node = NodeWithCounter::start(20_000);
    let mut calls = Vec::new();
    for number in 0.. {
        node.client.send(&paid_request("post", &format!("p-{number}")));
        // The node makes no call for a while after each one without a reply.
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
    assert_ne!(first_connection, calls[3].node_address(), "four calls were unanswered on one connection");
}
