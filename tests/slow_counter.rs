//! Tests that the replies of a counter service are heard that arrive after their connection was replaced.

mod fakes;

use std::thread::sleep;
use std::time::Duration;

use fakes::{
    active, paid_request, Client, CounterCall, EdgeProcess, FakeCounter, FakeEndpoint, NodeConfiguration,
};

/// The timeout of counter calls, in microseconds. A connection is replaced after three of them.
const CALL_TIMEOUT: u64 = 30_000;
/// The time between two requests while the node makes no counter calls.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
const MAX_REQUESTS: usize = 2_000;

/// A node whose counter service receives calls and replies only when the test does.
struct NodeWithSilentCounter {
    endpoint: FakeEndpoint,
    counter: FakeCounter,
    // The node is killed when this is dropped.
    _edge: EdgeProcess,
    client: Client,
    calls: Vec<CounterCall>,
    requests: usize,
}

impl NodeWithSilentCounter {
    fn start() -> NodeWithSilentCounter {
        let endpoint = FakeEndpoint::start();
        let counter = FakeCounter::start();
        let configuration = NodeConfiguration::new(&[active("s-1", endpoint.address)]);
        let edge = configuration.counter(counter.address).counter_timeout(CALL_TIMEOUT).start();
        let client = edge.connect();
        NodeWithSilentCounter { endpoint, counter, _edge: edge, client, calls: Vec::new(), requests: 0 }
    }

    /// Sends a request, and serves it if it reaches the endpoint. Returns whether it was served.
    fn request_is_served(&mut self) -> bool {
        assert!(self.requests < MAX_REQUESTS, "after {MAX_REQUESTS} requests the first connection was not replaced, or no unit became available");
        self.requests += 1;
        self.client.send(&paid_request("post", &format!("p-{}", self.requests)));
        while !self.client.has_response() {
            if let Some(received) = self.endpoint.poll_request() {
                received.respond_ok("ok");
            }
        }
        self.calls.extend(self.counter.poll_call());
        self.client.response().status() == 200
    }

    /// Sends requests until a call has arrived on another connection than the first call, and the node's
    /// share of the quota is used up.
    fn wait_until_first_connection_is_replaced_and_requests_are_rejected(&mut self) {
        loop {
            let was_served = self.request_is_served();
            let first = self.calls.first().map(CounterCall::node_address);
            let is_replaced = self.calls.iter().any(|call| Some(call.node_address()) != first);
            if is_replaced && !was_served {
                return;
            }
            sleep(REQUEST_INTERVAL);
        }
    }
}

/// Guards against a counter service that is slower than the time after which its connections are replaced:
/// none of its replies was heard, although it had added the units of all calls.
#[test]
fn reply_on_a_replaced_connection_makes_its_units_available() {
    let mut node = NodeWithSilentCounter::start();
    node.wait_until_first_connection_is_replaced_and_requests_are_rejected();
    let mut first = node.calls.swap_remove(0);
    let units = first.amount.floor() as usize;
    assert!(units >= 2, "expected the first call to lease more than one request, got {}", first.amount);
    first.reply_total(first.amount);
    while !node.request_is_served() {}
    for number in 2..=units {
        assert!(node.request_is_served(), "request {number} of {units} was not served");
    }
}
