//! How many connections there may be follows from the limit on memory.

use edge_node::net::connection_memory::{
    ConnectionMemory, CLIENT_CONNECTION_BYTES, ENDPOINT_CONNECTION_BYTES, RESTING_CONNECTION_BYTES,
};

/// A limit on memory, in bytes. Connections get seven sixteenths of it, which is what [`MAX_ATTEMPTS`]
/// connections to endpoints take.
const MEMORY_LIMIT: usize = 6_553_600;
/// How many connections to endpoints may have an open request if there are no clients.
const MAX_ATTEMPTS: usize = 100;
/// How many clients may be connected: they may hold six tenths of the memory.
const MAX_CLIENTS: usize = 70;

#[test]
fn clients_hold_six_tenths_of_the_memory_for_connections() {
    let memory = ConnectionMemory::new(MEMORY_LIMIT);
    let mut clients: Vec<_> = std::iter::from_fn(|| memory.try_reserve_for_client()).collect();
    assert_eq!(clients.len(), MAX_CLIENTS);
    assert!(!memory.has_room_for_client() && memory.has_room_for_endpoint());
    let attempts: Vec<_> = std::iter::from_fn(|| memory.try_reserve_for_endpoint()).collect();
    let left = MAX_ATTEMPTS * ENDPOINT_CONNECTION_BYTES - MAX_CLIENTS * CLIENT_CONNECTION_BYTES;
    assert_eq!(attempts.len(), left / ENDPOINT_CONNECTION_BYTES);
    clients.pop();
    assert!(
        memory.try_reserve_for_client().is_some(),
        "expected the memory of a closed connection to be free"
    );
}

#[test]
fn connections_to_endpoints_may_hold_what_clients_do_not() {
    let memory = ConnectionMemory::new(MEMORY_LIMIT);
    let attempts: Vec<_> = std::iter::from_fn(|| memory.try_reserve_for_endpoint()).collect();
    assert_eq!(attempts.len(), MAX_ATTEMPTS);
}

#[test]
fn resting_connection_holds_little_and_resumes_only_if_there_is_memory() {
    let memory = ConnectionMemory::new(MEMORY_LIMIT);
    let mut attempts: Vec<_> = std::iter::from_fn(|| memory.try_reserve_for_endpoint()).collect();
    let resting = attempts.pop().expect("there is memory for some connections");
    resting.rest();
    assert!(memory.try_reserve_for_endpoint().is_none(), "{RESTING_CONNECTION_BYTES} bytes are still held");
    assert!(resting.try_resume());
    resting.rest();
    let client = memory.try_reserve_for_client();
    assert!(client.is_some());
    assert!(!resting.try_resume());
    drop(client);
    assert!(resting.try_resume());
}

/// How many connections of each side are allowed whatever the limit.
const MIN_CONNECTIONS: usize = 4;

/// Guards against a limit on memory so small that no request can be served.
#[test]
fn some_connections_are_allowed_whatever_the_limit() {
    let memory = ConnectionMemory::new(1);
    let clients: Vec<_> = std::iter::from_fn(|| memory.try_reserve_for_client()).collect();
    let attempts: Vec<_> = std::iter::from_fn(|| memory.try_reserve_for_endpoint()).collect();
    assert!(clients.len() >= MIN_CONNECTIONS, "{} clients", clients.len());
    assert!(attempts.len() >= MIN_CONNECTIONS, "{} attempts", attempts.len());
}

#[test]
fn node_counts_as_refusing_after_a_refusal() {
    let memory = ConnectionMemory::new(MEMORY_LIMIT);
    assert!(!memory.is_refusing());
    memory.record_refusal();
    assert!(memory.is_refusing());
}
