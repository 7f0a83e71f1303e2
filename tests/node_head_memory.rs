//! Heads that have arrived in part stay within the node's limit on memory.

mod fakes;

use std::io::Write;
use std::net::TcpStream;

use fakes::{active, assert_served_by, request, FakeEndpoint, NodeConfiguration};

/// The memory limit of the node, in megabytes.
const MEMORY_MB: f64 = 32.0;
/// The memory limit of the node, in bytes.
const MEMORY_BYTES: usize = 32_000_000;
/// The descriptor limit of the node.
const DESCRIPTORS: u32 = 1024;
/// The number of clients that send a part of a head, most of the descriptors that clients may hold.
const CLIENTS: usize = 590;
/// How much of a head they send, in bytes: almost the largest head that the node accepts.
const HEAD_BYTES: usize = 15_900;
/// The length of a piece in which they send it, in bytes.
const PIECE_BYTES: usize = 2_000;
/// The number of descriptors that this process needs.
const OWN_DESCRIPTORS: u64 = 1_000;

/// Guards against clients that leave long heads incomplete taking the node over its limit: each head was kept
/// twice, and the copy in a buffer that had grown to twice its length.
#[test]
fn half_sent_long_heads_stay_within_the_memory_limit() {
    rlimit::increase_nofile_limit(OWN_DESCRIPTORS).expect("failed to raise the limit of descriptors");
    let endpoint = FakeEndpoint::start();
    let configuration = NodeConfiguration::new(&[active("s-1", endpoint.address)]);
    let edge = configuration.max_descriptors(DESCRIPTORS).memory_mb(MEMORY_MB).start();
    let mut regular_client = edge.connect();
    assert_served_by(&endpoint, &mut regular_client, &request("post", "first"));
    let connect = |_| TcpStream::connect(edge.address).expect("failed to connect to the node");
    let mut clients: Vec<TcpStream> = (0..CLIENTS).map(connect).collect();
    let mut half_head = "GET /lookup HTTP/1.1\r\nX-Note: ".to_string();
    half_head.push_str(&"x".repeat(HEAD_BYTES - half_head.len()));
    for piece in half_head.as_bytes().chunks(PIECE_BYTES) {
        // The node gives up a head that takes too long, as it may on a busy machine.
        clients.retain_mut(|client| client.write_all(piece).is_ok());
        regular_client.wait_until_node_has_read();
    }
    let peak = edge.peak_resident_bytes();
    assert!(peak <= MEMORY_BYTES, "the node held {peak} bytes");
    assert_served_by(&endpoint, &mut regular_client, &request("post", "last"));
}
