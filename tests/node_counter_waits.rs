//! Requests of a plan with a quota are served in time while the counter service fails.
//!
//! Guards against requests that wait for a failed counter service until their deadline, and against a node
//! that opens connections to it without limit. The tests let the service fail in different ways.

mod fakes;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

use fakes::{active, paid_request, unreachable_address, FakeEndpoint, NodeConfiguration};
use socket2::SockRef;

/// The timeout of a counter call, in microseconds.
const COUNTER_TIMEOUT: u64 = 80_000;
/// The delay of a late reply, which is longer than the timeout.
const LATE_REPLY_DELAY: Duration = Duration::from_millis(160);
/// The number of consecutive requests, which is covered by the node's even share of a burst.
const REQUEST_COUNT: u32 = 3;
/// The maximum number of calls that a request waits for: a call, and the reread of the counter after a lost
/// reply.
const MAX_CALLS_PER_REQUEST: u32 = 2;

/// Handles a connection in the way in which the counter service fails.
type Failure = fn(TcpStream);

/// Makes the socket reset the connection when it is closed.
fn set_reset_on_close(stream: &TcpStream) {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .expect("setting SO_LINGER on an open socket should succeed");
}

/// Replies to every call with the bytes of `reply`, until the connection ends.
fn reply_to_each_call(mut stream: TcpStream, reply: &[u8]) {
    let mut bytes = [0; 4096];
    while stream.read(&mut bytes).is_ok_and(|count| count > 0) {
        // Writing fails if the node has closed the connection.
        let _ = stream.write_all(reply);
    }
}

fn reset_on_accept(stream: TcpStream) {
    set_reset_on_close(&stream);
}

fn reset_after_call(mut stream: TcpStream) {
    let _ = stream.read(&mut [0; 4096]);
    set_reset_on_close(&stream);
}

fn close_after_call(mut stream: TcpStream) {
    let _ = stream.read(&mut [0; 4096]);
}

fn reply_late(mut stream: TcpStream) {
    let mut bytes = [0; 4096];
    while stream.read(&mut bytes).is_ok_and(|count| count > 0) {
        sleep(LATE_REPLY_DELAY);
        let _ = stream.write_all(b"$1\r\n1\r\n");
    }
}

/// A counter service that fails.
struct FailingCounter {
    address: SocketAddr,
    /// The number of connections that the service has accepted.
    connections: Arc<AtomicU32>,
}

impl FailingCounter {
    /// Starts a service that handles every connection with `failure`.
    fn start(failure: Failure) -> FailingCounter {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binding to a free port should succeed");
        let address = listener.local_addr().expect("a bound listener should have an address");
        let connections = Arc::<AtomicU32>::default();
        let accepted = connections.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                accepted.fetch_add(1, Ordering::Relaxed);
                spawn(move || failure(stream));
            }
        });
        FailingCounter { address, connections }
    }
}

/// Asserts that requests of a plan with a quota are served while the counter service at `counter` fails.
/// `name` describes the failure; it is also the body of the responses.
fn assert_served_without_counter(name: &str, counter: SocketAddr) {
    let endpoint = FakeEndpoint::start();
    let configuration = NodeConfiguration::new(&[active("s-1", endpoint.address)]);
    let edge = configuration.counter(counter).counter_timeout(COUNTER_TIMEOUT).start();
    let mut client = edge.connect();
    for number in 0..REQUEST_COUNT {
        client.send(&paid_request("post", &format!("p-{number}")));
        endpoint.next_request().respond_ok(name);
        client.assert_ok(name);
    }
}

#[test]
fn requests_are_served_while_the_counter_service_refuses_connections() {
    assert_served_without_counter("refused", unreachable_address());
}

#[test]
fn requests_are_served_while_each_connection_to_the_counter_service_breaks() {
    let failures: [(&str, Failure); 3] = [
        ("reset on accept", reset_on_accept),
        ("reset after the call", reset_after_call),
        ("closed after the call", close_after_call),
    ];
    for (name, failure) in failures {
        let counter = FailingCounter::start(failure);
        assert_served_without_counter(name, counter.address);
        let connections = counter.connections.load(Ordering::Relaxed);
        assert!(
            connections <= REQUEST_COUNT * MAX_CALLS_PER_REQUEST,
            "{name}: expected at most one connection per call, got {connections}"
        );
    }
}

#[test]
fn requests_are_served_while_each_reply_of_the_counter_service_is_an_error_or_malformed() {
    let failures: [(&str, Failure); 4] = [
        ("incomplete", |stream| reply_to_each_call(stream, b"$5\r\n1")),
        ("malformed", |stream| reply_to_each_call(stream, b"$3\r\nabc\r\n")),
        ("busy", |stream| reply_to_each_call(stream, b"-BUSY\r\n")),
        ("error", |stream| reply_to_each_call(stream, b"-ERR no such call\r\n")),
    ];
    for (name, failure) in failures {
        let counter = FailingCounter::start(failure);
        assert_served_without_counter(name, counter.address);
        let connections = counter.connections.load(Ordering::Relaxed);
        assert!(
            connections <= REQUEST_COUNT * MAX_CALLS_PER_REQUEST,
            "{name}: expected at most one connection per call, got {connections}"
        );
    }
}

#[test]
fn requests_are_served_while_the_counter_service_is_silent_or_late() {
    let failures: [(&str, Failure); 2] =
        [("silent", |stream| reply_to_each_call(stream, b"")), ("late", reply_late)];
    for (name, failure) in failures {
        let counter = FailingCounter::start(failure);
        assert_served_without_counter(name, counter.address);
        let connections = counter.connections.load(Ordering::Relaxed);
        assert!(
            connections <= REQUEST_COUNT * MAX_CALLS_PER_REQUEST,
            "{name}: expected at most one connection per call, got {connections}"
        );
    }
}
