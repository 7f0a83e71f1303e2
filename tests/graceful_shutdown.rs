//! A graceful shutdown must not lose requests that are in progress, partly read or in the backlog, nor their
//! responses.
//!
//! The tests send real signals to a node process and use real sockets.

mod fakes;

use std::array::from_fn;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use fakes::{
    active, paid_request, request, Client, CounterCall, FakeCounter, FakeEndpoint, NodeConfiguration,
    ReceivedRequest, RequestSpec,
};

#[test]
fn shutdown_answers_requests_in_progress_even_with_short_timeouts() {
    // If the end of the shutdown were computed from the longest timeout only, it would precede the close of
    // the listener.
    for micros in [1_000, 50_000, 200_000, 500_000] {
        let endpoint = FakeEndpoint::start();
        let edge = NodeConfiguration::new(&[active("s-1", endpoint.address)]).total_timeout(micros).start();
        let mut client = edge.connect();
        client.send(&request("post", "p-1"));
        let _in_flight = endpoint.next_request();
        edge.terminate();
        let response =
            client.response_or_end().expect("the request should be answered before the process ends");
        assert_eq!(response.status(), 502, "timeouts of {micros} us");
        assert!(edge.wait_for_exit().status.success());
    }
}

#[test]
fn connection_that_waits_for_a_descriptor_when_the_listener_closes_is_served() {
    let endpoint = FakeEndpoint::start();
    let counter = FakeCounter::start();
    // These descriptors are enough for nine client connections.
    let edge = NodeConfiguration::new(&[active("s-1", endpoint.address)])
        .counter(counter.address)
        .counter_timeout(20_000_000)
        .max_descriptors(40)
        .start();
    // A connection whose request waits for the counter service is not idle, and the request has no attempt.
    let texts: [String; 9] = from_fn(|number| match number {
        0..6 => request("post", &format!("p-{number}")).text(),
        _ => paid_request_of_account(number),
    });
    let _busy_clients = edge.connect_having_sent(texts);
    let in_flight: Vec<ReceivedRequest> = (0..6).map(|_| endpoint.next_request()).collect();
    let _unanswered: Vec<CounterCall> = (6..9).map(|_| counter.next_call()).collect();
    // The kernel has established this connection, but no descriptor is left for the node to accept it.
    let mut late_client = edge.connect();
    late_client.send(&request("post", "p-late"));
    edge.terminate();
    assert!(
        late_client.response_or_end().is_some(),
        "expected a response to the request from the backlog, got the end of the connection"
    );
    drop(in_flight);
    assert!(edge.wait_for_exit().status.success());
}

/// Returns the text of a request of the plan with a quota, from an account that no other request uses.
fn paid_request_of_account(account: usize) -> String {
    let text = paid_request("post", &format!("paid-{account}")).text();
    text.replace("key=0000000000000007", &format!("key={:016x}", 0x10 + account))
}

#[test]
fn request_read_in_part_when_idle_connections_close_is_served() {
    let endpoint = FakeEndpoint::start();
    let edge = NodeConfiguration::new(&[active("s-1", endpoint.address)]).start();
    let mut reused = edge.connect();
    let mut new = edge.connect();
    let mut idle = edge.connect();
    for (number, client) in [&mut reused, &mut idle].into_iter().enumerate() {
        client.send(&request("post", &format!("p-{number}")));
        endpoint.next_request().respond_ok("ok");
        assert_eq!(client.response().status(), 200);
    }
    let on_reused = request("post", "p-kept").text();
    let on_new = request("post", "p-new").text();
    reused.send_raw(&on_reused[..30]);
    new.send_raw(&on_new[..30]);
    edge.terminate();
    // This returns when the node closes the idle connections.
    assert!(idle.response_or_end().is_none());
    // Both clients send before any response is awaited, because a closing connection waits at most one second
    // for the rest of a partial request.
    reused.send_raw(&on_reused[30..]);
    new.send_raw(&on_new[30..]);
    for _ in 0..2 {
        let received = endpoint.next_request();
        let body = received.request_id().to_string();
        received.respond_ok(&body);
    }
    for (mut client, id) in [(reused, "p-kept"), (new, "p-new")] {
        let response = client
            .response_or_end()
            .expect("the partial request should be served before its connection closes");
        assert_eq!(response.body, id.as_bytes());
        assert_eq!(response.header("connection"), Some("close"));
    }
    assert!(edge.wait_for_exit().status.success());
}

#[test]
fn response_is_not_reset_by_unread_bytes_behind_its_request() {
    let endpoint = FakeEndpoint::start();
    let edge = NodeConfiguration::new(&[active("s-1", endpoint.address)]).start();
    let mut client = edge.connect();
    client.send(&request("post", "p-1"));
    let in_flight = endpoint.next_request();
    edge.terminate_and_wait();
    // The node does not read all of these bytes ahead, so some are still in the socket when the response is
    // written.
    client.send_raw(&"x".repeat(100_000));
    in_flight.respond_ok(&"y".repeat(64 * 1024));
    let response = client.response();
    assert_eq!(response.status(), 200);
    assert_eq!(response.body.len(), 64 * 1024);
    assert!(client.is_closed_cleanly(), "expected a clean close of the connection, got a reset");
}

#[test]
fn response_that_its_client_reads_late_is_not_lost_by_unread_bytes_behind_its_request() {
    let endpoint = FakeEndpoint::start();
    let edge = NodeConfiguration::new(&[active("s-1", endpoint.address)]).start();
    let mut client = Client::connect_with_receive_buffer(edge.address, 4_096);
    client.send(&request("post", "p-1"));
    let in_flight = endpoint.next_request();
    edge.terminate_and_wait();
    client.send_raw(&"x".repeat(100_000));
    in_flight.respond_ok(&"y".repeat(64 * 1024));
    // The process has closed the connection by now, and most of the response is still in the kernel's send
    // buffer. If the connection had been closed with unread bytes, the kernel would have dropped it.
    assert!(edge.wait_for_exit().status.success());
    let response = client.response();
    assert_eq!(response.status(), 200);
    assert_eq!(response.body.len(), 64 * 1024);
    assert!(client.is_closed_cleanly(), "expected a clean close of the connection, got a reset");
}

#[test]
fn second_sigterm_and_a_new_configuration_do_not_disturb_a_shutdown() {
    let endpoint = FakeEndpoint::start();
    let configuration = NodeConfiguration::new(&[active("s-1", endpoint.address)]);
    let edge = configuration.start();
    let mut client = edge.connect();
    client.send(&request("post", "p-1"));
    let in_flight = endpoint.next_request();
    edge.terminate();
    edge.reload(&configuration.to_text());
    edge.terminate();
    edge.reload("no configuration");
    in_flight.respond_ok("held");
    assert_eq!(client.response().body, b"held");
    let exit = edge.wait_for_exit();
    assert!(exit.status.success(), "{}", exit.log);
    assert!(exit.log.contains("the old configuration stays"), "{}", exit.log);
}

#[test]
fn shutdown_releases_a_lease_that_the_counter_grants_during_it() {
    let endpoint = FakeEndpoint::start();
    let counter = FakeCounter::start();
    // With this timeout the call stays in flight for as long as the test delays its reply.
    let edge = NodeConfiguration::new(&[active("s-1", endpoint.address)])
        .counter(counter.address)
        .counter_timeout(20_000_000)
        .start();
    let mut client = edge.connect();
    client.send(&paid_request("post", "p-1"));
    let mut increment = counter.next_call();
    edge.terminate();
    // When the listener closes, the node releases the leases that it holds at that time.
    while TcpStream::connect(edge.address).is_ok() {
        sleep(Duration::from_millis(5));
    }
    let leased = increment.amount;
    assert!(leased > 1.0);
    increment.reply_total(leased);
    endpoint.next_request().respond_ok("ok");
    assert_eq!(client.response().status(), 200);
    // Other increments may come first. The released amount is the lease less the one unit of the request.
    let mut total = leased;
    let mut released = 0.0;
    while released >= 0.0 {
        let mut increment = counter.next_call();
        total += increment.amount;
        released = increment.amount;
        increment.reply_total(total);
    }
    assert_eq!(released, 1.0 - leased);
    assert!(edge.wait_for_exit().status.success());
}

#[test]
fn request_failed_by_the_shutdown_is_not_sent_when_descriptors_become_free() {
    let endpoint = FakeEndpoint::start();
    // These descriptors are enough for sixteen connections, nine of which may be client connections. So seven
    // attempts get a descriptor, and two wait.
    let edge = NodeConfiguration::new(&[active("s-1", endpoint.address)])
        .total_timeout(50_000)
        .connect_timeout(60_000_000)
        .max_descriptors(40)
        .start();
    let text =
        |number| RequestSpec { deadline_ms: 600_000, ..request("post", &format!("p-{number}")) }.text();
    let mut clients: [Client; 9] = edge.connect_having_sent(from_fn(text));
    let _in_flight: Vec<ReceivedRequest> = (0..7).map(|_| endpoint.next_request()).collect();
    edge.terminate();
    for client in &mut clients {
        assert_eq!(client.response().status(), 502);
    }
    assert!(edge.wait_for_exit().status.success());
    // After the node's connections have ended, everything that it sent has arrived.
    for _ in 0..7 {
        endpoint.assert_connection_ended();
    }
    endpoint.assert_no_request();
}
