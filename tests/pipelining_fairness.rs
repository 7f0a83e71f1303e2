//! A client that sends many requests at once must not hold up other clients.
//!
//! The node runs in the test's process, so that the test knows what the node has done in which turn.

mod fakes;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

use fakes::in_process::{run, Server, READINESS_CHECK};
use tokio::task::yield_now;

/// The number of requests that the client sends at once. They fit into the buffers of the kernel.
const REQUESTS: usize = 1_000;
/// How many of them the node may answer before it answers a client that has sent its request meanwhile.
const MAX_ANSWERED_BEFORE: usize = 100;

/// Returns the number of responses that have arrived at a socket.
fn arrived_responses(stream: &mut TcpStream) -> usize {
    let mut text = Vec::new();
    stream.set_nonblocking(true).expect("failed to make the socket non-blocking");
    match stream.read_to_end(&mut text) {
        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
        result => panic!("expected an open connection, got {result:?}"),
    }
    String::from_utf8_lossy(&text).matches("HTTP/1.1 200").count()
}

/// Guards against clients that get their responses late while one client sends requests at full speed on one
/// connection: the node looked at the other sockets only after a thousand of them.
#[test]
fn other_client_is_answered_between_many_requests_of_one() {
    run(async {
        let server = Server::start().await;
        let mut regular_client = server.idle_client().await;
        let mut stream = TcpStream::connect(server.address).expect("failed to connect to the node");
        // The node accepts the connection meanwhile.
        let _other_client = server.idle_client().await;
        stream.write_all(READINESS_CHECK.repeat(REQUESTS).as_bytes()).expect("failed to write");
        // The runtime learns of the requests here, and has not begun to read them when this returns.
        yield_now().await;
        regular_client.send_raw(READINESS_CHECK);
        while !regular_client.has_response() {
            yield_now().await;
        }
        let answered = arrived_responses(&mut stream);
        assert!(
            answered <= MAX_ANSWERED_BEFORE,
            "the node answered {answered} of the requests of one client before the one of the other"
        );
    });
}
