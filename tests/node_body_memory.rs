//! The bodies of open requests and responses hold memory by their length, whatever the pieces in which they
//! arrive.

mod fakes;

use fakes::{one_endpoint, request, Client, EdgeProcess, FakeEndpoint, OneEndpoint, ReceivedRequest};

/// The number of messages whose bodies arrive at the same time.
const MESSAGES: usize = 40;
/// The number of pieces of each body.
const PIECES: usize = 100;
/// The length of a piece, in bytes.
const PIECE_BYTES: usize = 600;
/// The length of a body, in bytes.
const BODY_BYTES: usize = PIECES * PIECE_BYTES;
/// The memory of the node may grow by at most this many times the length of all bodies.
const MAX_GROWTH: usize = 2;

/// How the end of a body is found.
#[derive(Debug, Clone, Copy)]
enum Framing {
    StatedLength,
    Chunked,
}

impl Framing {
    fn header(self) -> String {
        match self {
            Framing::StatedLength => format!("Content-Length: {BODY_BYTES}"),
            Framing::Chunked => "Transfer-Encoding: chunked".to_string(),
        }
    }

    /// Returns the bytes that carry one piece of a body.
    fn piece(self) -> String {
        let piece = "x".repeat(PIECE_BYTES);
        match self {
            Framing::StatedLength => piece,
            Framing::Chunked => format!("{PIECE_BYTES:x}\r\n{piece}\r\n"),
        }
    }
}

/// Returns the head of a request that announces a body with this framing.
fn request_head(id: &str, framing: Framing) -> String {
    let text = request("post", id).text();
    let head = text.strip_suffix("slip!").expect("the request has no body");
    head.replace("Content-Length: 5", &framing.header())
}

/// Connects a client for each message, and has each send a request that is served while those of the others
/// are open. So the node has the memory of its connections before the messages arrive.
fn connect_clients(endpoint: &FakeEndpoint, edge: &EdgeProcess) -> Vec<Client> {
    let mut clients: Vec<Client> = (0..MESSAGES).map(|_| edge.connect()).collect();
    for attempt in send_short_requests(endpoint, &mut clients, "first") {
        attempt.respond_ok("ok");
    }
    for client in &mut clients {
        client.assert_ok("ok");
    }
    clients
}

/// Sends a short request of each client, and returns their attempts.
fn send_short_requests(
    endpoint: &FakeEndpoint,
    clients: &mut [Client],
    id_prefix: &str,
) -> Vec<ReceivedRequest> {
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&request("post", &format!("{id_prefix}-{number}")));
    }
    clients.iter().map(|_| endpoint.next_request()).collect()
}

/// Calls `act`, and asserts that the node's memory has grown by at most [`MAX_GROWTH`] times `held_bytes`.
fn assert_memory_grows_by_length(node: &EdgeProcess, held_bytes: usize, act: impl FnOnce()) {
    let peak_before = node.peak_resident_bytes();
    act();
    let growth = node.peak_resident_bytes() - peak_before;
    assert!(
        growth <= MAX_GROWTH * held_bytes,
        "bodies of {held_bytes} bytes in total made the node grow by {growth} bytes"
    );
}

fn assert_request_bodies_hold_memory_by_length(framing: Framing) {
    let OneEndpoint { endpoint, edge, mut client } = one_endpoint();
    let mut clients = connect_clients(&endpoint, &edge);
    let piece = framing.piece();
    assert_memory_grows_by_length(&edge, MESSAGES * BODY_BYTES, || {
        for (number, client) in clients.iter_mut().enumerate() {
            client.send_raw(&request_head(&format!("p-{number}"), framing));
        }
        for _ in 0..PIECES {
            client.wait_until_node_has_read();
            // The node gives up a body that takes too long, as it may on a busy machine.
            clients.retain_mut(|client| client.try_send_raw(&piece));
        }
        client.wait_until_node_has_read();
    });
}

/// Guards against 120 slow clients taking a node over 192 MiB: each piece of a body kept the read buffer in
/// which it had arrived, however short the piece was.
#[test]
fn request_bodies_in_small_pieces_hold_memory_by_their_length() {
    assert_request_bodies_hold_memory_by_length(Framing::StatedLength);
}

/// Guards against the same growth by chunks, whose number no stated length bounds.
#[test]
fn chunked_request_bodies_in_small_pieces_hold_memory_by_their_length() {
    assert_request_bodies_hold_memory_by_length(Framing::Chunked);
}

fn assert_response_bodies_hold_memory_by_length(framing: Framing) {
    let OneEndpoint { endpoint, edge, mut client } = one_endpoint();
    let mut clients = connect_clients(&endpoint, &edge);
    let mut attempts = send_short_requests(&endpoint, &mut clients, "p");
    let head = format!("HTTP/1.1 200 OK\r\n{}\r\n\r\n", framing.header());
    let piece = framing.piece();
    assert_memory_grows_by_length(&edge, MESSAGES * BODY_BYTES, || {
        attempts.retain_mut(|attempt| attempt.try_send_part(head.as_bytes()));
        for _ in 0..PIECES {
            client.wait_until_node_has_read();
            // The node closes the connection of a response that takes too long, as it may on a busy machine.
            attempts.retain_mut(|attempt| attempt.try_send_part(piece.as_bytes()));
        }
        client.wait_until_node_has_read();
    });
}

/// Guards against an endpoint's slow responses taking the node over its limit, as slow requests did.
#[test]
fn response_bodies_in_small_pieces_hold_memory_by_their_length() {
    assert_response_bodies_hold_memory_by_length(Framing::StatedLength);
}

/// Guards against the same growth by the chunks of responses.
#[test]
fn chunked_response_bodies_in_small_pieces_hold_memory_by_their_length() {
    assert_response_bodies_hold_memory_by_length(Framing::Chunked);
}
