//! Requests of a plan with a quota are served in time while the counter service fails, whichever way it does.

mod fakes;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

use fakes::{active, paid_request, unreachable_address, FakeEndpoint, NodeConfiguration};
use socket2::SockRef;

/// Time-out of a counter call, in microseconds.
const COUNTER_TIMEOUT: u64 = 80_000;
/// Longer than the time-out.
const LATE: Duration = Duration::from_millis(160);
/// Requests one after another, no more than the node's even share of a burst holds.
const REQUESTS: u32 = 3;
/// A request waits for a call and for the reread that follows a reply which was lost.
const MAX_CALLS_OF_REQUEST: u32 = 2;

/// What a failing service does with a connection.
type Failure = fn(TcpStream);

/// Has the socket reset the connection as it closes.
fn reset(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("an open connection");
}

/// Waits for a call and answers it with these bytes, again and again until the connection ends.
fn answer_each_call(mut stream: TcpStream, answer: &[u8]) {
    let mut bytes = [0; 4096];
    while stream.read(&mut bytes).is_ok_and(|count| count > 0) {
        // The node may have closed.
        let _ = stream.write_all(answer);
    }
}

fn reset_at_once(stream: TcpStream) {
    reset(&stream);
}

fn reset_after_the_call(mut stream: TcpStream) {
    let _ = stream.read(&mut [0; 4096]);
    reset(&stream);
}

fn close_after_the_call(mut stream: TcpStream) {
    let _ = stream.read(&mut [0; 4096]);
}

fn reply_late(mut stream: TcpStream) {
    let mut bytes = [0; 4096];
    while stream.read(&mut bytes).is_ok_and(|count| count > 0) {
        sleep(LATE);
        let _ = stream.write_all(b"$1\r\n1\r\n");
    }
}

/// A service that fails.
struct FailingCounter {
    address: SocketAddr,
    connections: Arc<AtomicU32>,
}

impl FailingCounter {
    /// Starts a service that does this with every connection.
    fn start(failure: Failure) -> FailingCounter {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
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

fn assert_served_without_the_counter(name: &str, counter: SocketAddr) {
    let endpoint = FakeEndpoint::start();
    let configuration = NodeConfiguration::new(&[active("s-1", endpoint.address)]);
    let edge = configuration.counter(counter).counter_timeout(COUNTER_TIMEOUT).start();
    let mut client = edge.connect();
    for number in 0..REQUESTS {
        client.send(&paid_request("post", &format!("p-{number}")));
        endpoint.next_request().respond_ok(name);
        client.assert_ok(name);
    }
}

#[test]
fn requests_are_served_while_the_counter_service_is_refused() {
    assert_served_without_the_counter("refused", unreachable_address());
}

#[test]
fn requests_are_served_while_each_connection_to_the_counter_service_breaks() {
    let failures: [(&str, Failure); 3] = [
        ("reset as it is accepted", reset_at_once),
        ("reset after the call", reset_after_the_call),
        ("closed after the call", close_after_the_call),
    ];
    for (name, failure) in failures {
        let counter = FailingCounter::start(failure);
        assert_served_without_the_counter(name, counter.address);
        let connections = counter.connections.load(Ordering::Relaxed);
        assert!(connections <= REQUESTS * MAX_CALLS_OF_REQUEST, "{name}: {connections} connections");
    }
}

#[test]
fn requests_are_served_while_each_reply_of_the_counter_service_is_spoilt() {
    let failures: [(&str, Failure); 4] = [
        ("a part of a reply", |stream| answer_each_call(stream, b"$5\r\n1")),
        ("malformed", |stream| answer_each_call(stream, b"$3\r\nabc\r\n")),
        ("busy", |stream| answer_each_call(stream, b"-BUSY\r\n")),
        ("an error", |stream| answer_each_call(stream, b"-ERR no such call\r\n")),
    ];
    for (name, failure) in failures {
        let counter = FailingCounter::start(failure);
        assert_served_without_the_counter(name, counter.address);
        let connections = counter.connections.load(Ordering::Relaxed);
        assert!(connections <= REQUESTS * MAX_CALLS_OF_REQUEST, "{name}: {connections} connections");
    }
}

#[test]
fn requests_are_served_while_the_counter_service_is_silent_or_late() {
    let failures: [(&str, Failure); 2] =
        [("silent", |stream| answer_each_call(stream, b"")), ("late", reply_late)];
    for (name, failure) in failures {
        let counter = FailingCounter::start(failure);
        assert_served_without_the_counter(name, counter.address);
        let connections = counter.connections.load(Ordering::Relaxed);
        assert!(connections <= REQUESTS * MAX_CALLS_OF_REQUEST, "{name}: {connections} connections");
    }
}
