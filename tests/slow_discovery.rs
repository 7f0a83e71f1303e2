//! Tests that a discovery which responds slowly is heard. A call that has no response is followed by further
//! ones, and stays open beside them until the changes that it asks for would count as notified.

mod fakes;

use std::time::Instant;

use edge_node::net::discovery::call_times::FULL_LIST_OVERDUE_AFTER;
use edge_node::net::discovery::calls_in_flight::MAX_CALLS_IN_FLIGHT;
use fakes::{
    active, assert_served_by, next_watch, request, watched_version, EdgeProcess, EndpointEvent, FakeEndpoint,
    NodeConfiguration, ReceivedRequest,
};
use serde_json::{json, Value};

fn list(version: u64, is_snapshot: bool, entries: &[Value]) -> String {
    json!({"index": version, "snapshot": is_snapshot, "endpoints": entries}).to_string()
}

/// Returns the next request for the full list.
fn next_full_list_call(discovery: &FakeEndpoint) -> ReceivedRequest {
    let call = discovery.next_request();
    assert_eq!(watched_version(&call.message), None, "expected a request for the full list, got a watch");
    call
}

/// Waits until a response to a call that was overdue has been handled.
fn wait_until_late_response_is_handled(edge: &mut EdgeProcess) {
    edge.wait_for_log_line("; late");
}

/// A node that knows one endpoint, and the endpoints and discovery services of its test.
struct Setup {
    configuration: NodeConfiguration,
    edge: EdgeProcess,
    known: FakeEndpoint,
    other: FakeEndpoint,
    discovery: FakeEndpoint,
}

impl Setup {
    fn start(is_shared: bool) -> Setup {
        let known = FakeEndpoint::start();
        let discovery = FakeEndpoint::start();
        let mut configuration =
            NodeConfiguration::new(&[active("s-1", known.address)]).discovery(discovery.address);
        if is_shared {
            configuration = configuration.shared_discovery().node_count(4);
        }
        let edge = configuration.start();
        Setup { edge, configuration, known, other: FakeEndpoint::start(), discovery }
    }

    /// Names another discovery in the configuration file, sends SIGHUP and returns the new discovery.
    fn move_discovery(&self) -> FakeEndpoint {
        let moved = FakeEndpoint::start();
        self.edge.reload(&self.configuration.clone().discovery(moved.address).to_text());
        moved
    }

    /// Returns the list that replaces the known endpoint by the other one.
    fn replacement(&self, version: u64) -> String {
        list(version, true, &[active("s-2", self.other.address)])
    }

    fn assert_other_serves(&self) {
        assert_served_by(&self.other, &mut self.edge.connect(), &request("post", "p-other"));
    }
}

/// Ends a call, or leaves it, without a list.
type FailCall = fn(&FakeEndpoint, ReceivedRequest);

const FAILURES: [FailCall; 5] = [
    |_, _unanswered| {},
    |peer, call| peer.send_raw_and_reset(call, b""),
    |_, mut half_answered| half_answered.send_part(b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{"),
    |_, call| call.close(),
    |_, call| call.respond("503 Service Unavailable", "", ""),
];

/// Guards against a discovery that is never heard after SIGHUP because each call is given up before its
/// response, also if calls before it got none.
#[test]
fn response_to_an_overdue_call_after_a_move_is_heard_whatever_became_of_the_calls_before() {
    for is_shared in [false, true] {
        for failures in [&FAILURES[..0], &FAILURES[..]] {
            let setup = Setup::start(is_shared);
            let discovery = setup.move_discovery();
            for fail in failures {
                fail(&discovery, next_full_list_call(&discovery));
            }
            let slow = next_full_list_call(&discovery);
            let _next = next_full_list_call(&discovery);
            slow.respond_ok(&setup.replacement(7));
            let watch = next_watch(&discovery);
            assert_eq!(watched_version(&watch.message), Some(7), "shared: {is_shared}");
            setup.assert_other_serves();
        }
    }
}

/// Guards against a slow response that takes back a newer list, which a later call has brought.
#[test]
fn response_to_an_overdue_call_does_not_replace_a_newer_list() {
    let mut setup = Setup::start(false);
    let discovery = setup.move_discovery();
    let slow = next_full_list_call(&discovery);
    next_full_list_call(&discovery).respond_ok(&setup.replacement(8));
    let watch = next_watch(&discovery);
    assert_eq!(watched_version(&watch.message), Some(8));
    slow.respond_ok(&list(7, true, &[active("s-1", setup.known.address)]));
    wait_until_late_response_is_handled(&mut setup.edge);
    setup.assert_other_serves();
    watch.respond_ok(&list(8, false, &[]));
    assert_eq!(watched_version(&next_watch(&discovery).message), Some(8));
}

/// Guards against a silent discovery that takes up the node's descriptors, and against more calls than one
/// for each time after which a call is overdue.
#[test]
fn silent_discovery_gets_a_bounded_number_of_calls_at_a_bounded_rate() {
    let setup = Setup::start(false);
    let began_at = Instant::now();
    let discovery = setup.move_discovery();
    let first = next_full_list_call(&discovery);
    for _ in 1..MAX_CALLS_IN_FLIGHT {
        next_full_list_call(&discovery);
    }
    let shortest = FULL_LIST_OVERDUE_AFTER * (MAX_CALLS_IN_FLIGHT as u32 - 1);
    let elapsed = began_at.elapsed();
    assert!(
        elapsed >= shortest,
        "{MAX_CALLS_IN_FLIGHT} calls in {elapsed:?}, expected at least {shortest:?}"
    );
    // The next call begins when one has ended. Each connection is read by its own thread, so the two events
    // may arrive in either order.
    let events = [discovery.next_event(), discovery.next_event()];
    let ended = events.iter().filter(|event| matches!(event, EndpointEvent::ConnectionEnded)).count();
    assert_eq!(ended, 1, "expected one connection to end and one call to begin");
    // One call stays open for longer than any change takes to count as notified: a response that is too late
    // is better than none.
    first.respond_ok(&setup.replacement(7));
    assert_eq!(watched_version(&next_watch(&discovery).message), Some(7));
    setup.assert_other_serves();
}

/// Guards against a watch that is given up before the response of a slow discovery.
#[test]
fn response_to_an_overdue_watch_is_heard() {
    for is_shared in [false, true] {
        let mut setup = Setup::start(is_shared);
        let slow = next_watch(&setup.discovery);
        let latest = next_watch(&setup.discovery);
        slow.respond_ok(&setup.replacement(2));
        wait_until_late_response_is_handled(&mut setup.edge);
        setup.assert_other_serves();
        latest.respond_ok(&list(1, false, &[]));
        assert_eq!(
            watched_version(&next_watch(&setup.discovery).message),
            Some(2),
            "shared: {is_shared}, the older version was watched from"
        );
    }
}

/// Guards against a list from before a restart of discovery that arrives after a list from after it.
#[test]
fn response_from_before_a_restart_of_the_version_count_is_dropped() {
    let mut setup = Setup::start(false);
    let from_before = next_watch(&setup.discovery);
    next_watch(&setup.discovery).respond_ok(&setup.replacement(0));
    let watch = next_watch(&setup.discovery);
    assert_eq!(watched_version(&watch.message), Some(0));
    from_before.respond_ok(&list(9, true, &[active("s-1", setup.known.address)]));
    wait_until_late_response_is_handled(&mut setup.edge);
    setup.assert_other_serves();
    watch.respond_ok(&list(0, false, &[]));
    assert_eq!(watched_version(&next_watch(&setup.discovery).message), Some(0));
}

/// Guards against a fetch of the full list that is given up before the list counts as notified.
#[test]
fn response_to_the_fetch_after_a_start_is_heard_while_the_watch_is_overdue() {
    let setup = Setup::start(false);
    let mut fetch = None;
    let mut watches = 0;
    while watches < 2 {
        let call = setup.discovery.next_request();
        match watched_version(&call.message) {
            Some(_) => watches += 1,
            None => fetch = Some(call),
        }
    }
    let fetch = fetch.expect("the node should fetch the full list after a start");
    fetch.respond_ok(&setup.replacement(2));
    // The node closes the connection of a fetch when the list is applied.
    setup.discovery.assert_connection_ended();
    setup.assert_other_serves();
}
