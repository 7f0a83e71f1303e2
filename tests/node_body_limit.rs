//! Beyond a part of the node's memory, new requests are rejected before their body is read, and open ones go
//! on. What holds memory lets go of it in time.

mod fakes;

use std::time::{Duration, Instant};

use fakes::{
    active, buffered_bytes_to, request, Client, EdgeProcess, FakeEndpoint, NodeConfiguration, RequestSpec,
    TEST_TIMEOUT,
};

/// A memory limit in megabytes with which requests may hold three bodies of the largest length.
const MEMORY_MB: f64 = 1.0;
/// The number of bodies of the largest length that requests may hold.
const BODIES: usize = 3;
/// The largest length of a body, in bytes.
const BODY_BYTES: usize = 64 * 1024;

fn node_with_little_memory(endpoint: &FakeEndpoint) -> EdgeProcess {
    NodeConfiguration::new(&[active("s-1", endpoint.address)]).memory_mb(MEMORY_MB).start()
}

fn post(number: usize) -> RequestSpec {
    request("post", &format!("p-{number}"))
}

/// Connects clients whose requests hold all memory that requests may hold, and sends only `sent_bytes` of each
/// body.
fn fill_memory(edge: &EdgeProcess, sent_bytes: usize) -> Vec<Client> {
    let send = |number| {
        let mut client = edge.connect();
        client.send_raw(&post(number).head_with_body_length(BODY_BYTES));
        client.send_raw(&"x".repeat(sent_bytes));
        client
    };
    let clients = (0..BODIES).map(send).collect();
    edge.connect().wait_until_node_has_read();
    clients
}

/// Guards against bodies that together take the node over its limit on memory, and against a limit that ends
/// what was admitted.
#[test]
fn request_beyond_the_memory_for_bodies_is_rejected_unread_and_open_ones_are_served() {
    let endpoint = FakeEndpoint::start();
    let mut edge = node_with_little_memory(&endpoint);
    let mut open_clients = fill_memory(&edge, BODY_BYTES);
    // The node keeps the bodies for a further attempt until their requests have a response.
    let attempts: Vec<_> = open_clients.iter().map(|_| endpoint.next_request()).collect();
    let mut rejected_client = edge.connect();
    rejected_client.send_raw(&post(BODIES).head_with_body_length(BODY_BYTES));
    let rejection = rejected_client.response();
    assert_eq!(rejection.status(), 503, "{}", rejection.start_line);
    assert_eq!(rejection.header("connection"), Some("close"));
    edge.wait_for_log_line("no memory for bodies: 196608 of 262144 bytes held; rejected requests: 1");
    for attempt in attempts {
        assert_eq!(attempt.message.body, "x".repeat(BODY_BYTES).as_bytes());
        attempt.respond_ok("ok");
    }
    for client in &mut open_clients {
        client.assert_ok("ok");
    }
    endpoint.assert_no_request();
    open_clients[0].send(&post(BODIES + 1));
    endpoint.next_request().respond_ok("ok");
    open_clients[0].assert_ok("ok");
}

/// Guards against bodies that are never completed keeping new requests out.
#[test]
fn bodies_that_are_never_completed_let_go_of_their_memory() {
    let endpoint = FakeEndpoint::start();
    let edge = node_with_little_memory(&endpoint);
    let mut unfinished = fill_memory(&edge, 1);
    for client in &mut unfinished {
        assert_eq!(client.response().status(), 408);
    }
    let mut client = edge.connect();
    client.send(&post(BODIES));
    endpoint.next_request().respond_ok("ok");
    client.assert_ok("ok");
}

/// The number of clients that read no response. The node keeps one response for each of them, which leaves too
/// little memory for a further request.
const SLOW_READERS: usize = 3;
/// The size of the receive buffer of such a client, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 4_096;
/// More responses than the buffers of the kernel take for one connection.
const MAX_UNREAD_RESPONSES: usize = 400;
/// The kernel has taken all that it takes if it has taken nothing more for this long.
const BLOCKED_AFTER: Duration = Duration::from_millis(500);

/// Connects clients that read no response. Each sends requests one after another until a response stays in the
/// node because the buffers of the kernel are full.
fn connect_slow_readers(endpoint: &FakeEndpoint, edge: &EdgeProcess) -> Vec<Client> {
    let connect = |_| Client::connect_with_receive_buffer(edge.address, RECEIVE_BUFFER_BYTES);
    let mut unblocked: Vec<Client> = (0..SLOW_READERS).map(connect).collect();
    let mut blocked = Vec::new();
    let long_body = "x".repeat(BODY_BYTES);
    for responses in 1..=MAX_UNREAD_RESPONSES {
        for (number, client) in unblocked.iter_mut().enumerate() {
            client.send(&request("post", &format!("slow-{number}-{responses}")));
            endpoint.next_request().respond_ok(&long_body);
        }
        let taken = wait_until_taken_by_kernel(&unblocked, responses * BODY_BYTES);
        let (still_unblocked, now_blocked): (Vec<_>, Vec<_>) =
            unblocked.into_iter().zip(taken).partition(|(_, taken)| *taken);
        unblocked = still_unblocked.into_iter().map(|(client, _)| client).collect();
        blocked.extend(now_blocked.into_iter().map(|(client, _)| client));
        if unblocked.is_empty() {
            return blocked;
        }
    }
    panic!("the kernel took all responses");
}

/// Waits until the buffers of the kernel have taken this many bytes of responses to each client, or take
/// nothing more. Returns for each client whether they have taken the bytes.
fn wait_until_taken_by_kernel(clients: &[Client], bytes: usize) -> Vec<bool> {
    let addresses: Vec<_> = clients.iter().map(Client::local_address).collect();
    let mut taken = buffered_bytes_to(&addresses);
    let mut changed_at = Instant::now();
    while taken.iter().any(|&taken| taken < bytes) && changed_at.elapsed() < BLOCKED_AFTER {
        let taken_now = buffered_bytes_to(&addresses);
        if taken_now != taken {
            taken = taken_now;
            changed_at = Instant::now();
        }
    }
    taken.into_iter().map(|taken| taken >= bytes).collect()
}

/// Sends a request, which the endpoint answers if it gets it, and returns the status of the response.
fn status_of_next_request(endpoint: &FakeEndpoint, edge: &EdgeProcess, id: &str) -> u16 {
    let mut client = edge.connect();
    client.send(&request("post", id));
    while !client.has_response() {
        if let Some(received) = endpoint.poll_request() {
            received.respond_ok("ok");
        }
    }
    client.response().status()
}

/// Guards against clients that do not read their responses holding the memory for bodies for ever.
#[test]
fn responses_that_are_not_read_let_go_of_their_memory() {
    let endpoint = FakeEndpoint::start();
    let edge = node_with_little_memory(&endpoint);
    let _slow_readers = connect_slow_readers(&endpoint, &edge);
    assert_eq!(status_of_next_request(&endpoint, &edge, "beyond-the-limit"), 503);
    let until = Instant::now() + TEST_TIMEOUT;
    for number in 0.. {
        if status_of_next_request(&endpoint, &edge, &format!("later-{number}")) == 200 {
            return;
        }
        assert!(Instant::now() < until, "the memory of unread responses was not freed");
    }
}

/// Guards against a response that waits for memory being taken for one that its endpoint sends too slowly.
#[test]
fn response_that_waits_for_memory_is_served() {
    let endpoint = FakeEndpoint::start();
    let edge = node_with_little_memory(&endpoint);
    let mut client = edge.connect();
    client.send(&request("post", "waiting"));
    let attempt = endpoint.next_request();
    let _slow_readers = connect_slow_readers(&endpoint, &edge);
    // There is memory for this response once the connection of a slow reader is aborted.
    let long_body = "y".repeat(BODY_BYTES);
    attempt.respond_ok(&long_body);
    client.assert_ok(&long_body);
}
