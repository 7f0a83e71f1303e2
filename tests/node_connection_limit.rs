//! Beyond the connections for which a node has memory, new ones are refused at once, open ones are served, and
//! the node stays within its limit.

mod fakes;

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread::scope;
use std::time::{Duration, Instant};

use fakes::{
    active, assert_served_by, request, Client, EdgeProcess, FakeEndpoint, NodeConfiguration, RequestSpec,
    TEST_TIMEOUT,
};

/// A memory limit in megabytes with which clients may hold [`MAX_CLIENTS`] connections.
const SMALL_MEMORY_MB: f64 = 2.0;
/// The number of client connections for which a node with [`SMALL_MEMORY_MB`] has memory.
const MAX_CLIENTS: usize = 21;

fn small_node(endpoint: &FakeEndpoint) -> EdgeProcess {
    NodeConfiguration::new(&[active("s-1", endpoint.address)]).memory_mb(SMALL_MEMORY_MB).start()
}

/// Connects clients that have each sent a part of a request. The node must be suspended.
fn connect_with_half_a_request(edge: &EdgeProcess, count: usize) -> Vec<Client> {
    let connect = |_| {
        let mut client = edge.connect();
        client.send_raw("GET /lookup HTTP/1.1\r\nX-Note: ");
        client
    };
    (0..count).map(connect).collect()
}

/// Sends a request on a new connection until one is served, since the node may not know yet that earlier
/// clients have gone.
fn assert_is_served_soon(endpoint: &FakeEndpoint, edge: &EdgeProcess) {
    let until = Instant::now() + TEST_TIMEOUT;
    for number in 0.. {
        let mut client = edge.connect();
        client.send(&request("lookup", &format!("later-{number}")));
        while !client.has_response() {
            if let Some(received) = endpoint.poll_request() {
                received.respond_ok("ok");
            }
        }
        if client.response().status() == 200 {
            return;
        }
        assert!(Instant::now() < until, "no further client was served");
    }
}

/// Guards against connections that take a node over its limit on memory, and against new clients that wait in
/// the backlog for their whole time.
#[test]
fn connection_beyond_the_memory_is_refused_at_once_and_later_ones_are_served() {
    let endpoint = FakeEndpoint::start();
    let mut edge = small_node(&endpoint);
    let (clients, mut refused) = edge.while_suspended(|| {
        let clients = connect_with_half_a_request(&edge, MAX_CLIENTS);
        let mut refused = edge.connect();
        refused.send(&request("lookup", "refused"));
        (clients, refused)
    });
    let rejection = refused.response();
    assert_eq!(rejection.status(), 503, "{}", rejection.start_line);
    assert_eq!(rejection.header("connection"), Some("close"));
    edge.wait_for_log_line("rejected connections: 1");
    endpoint.assert_no_request();
    drop(clients);
    assert_is_served_soon(&endpoint, &edge);
}

/// Guards against clients in use losing their connection to clients that send half a request and come again.
#[test]
fn client_in_use_is_served_while_others_are_refused() {
    let endpoint = FakeEndpoint::start();
    let edge = small_node(&endpoint);
    let mut regular_client = edge.connect();
    assert_served_by(&endpoint, &mut regular_client, &request("post", "first"));
    for round in 0..5 {
        let clients = edge.while_suspended(|| {
            let clients = connect_with_half_a_request(&edge, 3 * MAX_CLIENTS);
            regular_client.send(&request("post", &format!("regular-{round}")));
            clients
        });
        endpoint.next_request().respond_ok("ok");
        regular_client.assert_ok("ok");
        drop(clients);
    }
}

/// The memory limit of a node with many descriptors, in megabytes.
const MEMORY_MB: f64 = 32.0;
/// The same limit in bytes.
const MEMORY_BYTES: usize = 32_000_000;
/// The descriptor limit of that node.
const DESCRIPTORS: u32 = 1024;
/// The number of descriptors that this process needs.
const OWN_DESCRIPTORS: u64 = 4_000;
/// The number of clients that send at the same time: most of the descriptors that clients may hold.
const CLIENTS: usize = 590;
/// The number of short fields in a head, close to the largest number that the node accepts.
const FIELDS: usize = 90;
/// The number of requests that a client sends at once.
const REQUESTS: usize = 8;
/// How long a client waits for a further response.
const LAST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the text of a request whose head has many short fields.
fn text_with_many_fields(request: &RequestSpec) -> String {
    let text = request.text();
    let head = text.strip_suffix("\r\n").expect("the request has no body");
    let fields: String = (0..FIELDS).map(|number| format!("f{number}: v\r\n")).collect();
    format!("{head}{fields}\r\n")
}

/// Sends `text` and reads what comes until the connection ends, or nothing more comes.
fn send_and_read(address: SocketAddr, text: &str) {
    let mut stream = TcpStream::connect(address).expect("failed to connect to the node");
    stream.set_read_timeout(Some(LAST_RESPONSE_TIMEOUT)).expect("failed to set the read timeout");
    // The node may refuse the connection meanwhile.
    let _ = stream.write_all(text.as_bytes());
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => {}
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            _ => break,
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Guards against hundreds of clients that send heads of very many short fields taking a node over its limit on
/// memory: how many there may be followed from the descriptors alone.
#[test]
fn heads_of_many_short_fields_stay_within_the_memory_limit() {
    rlimit::increase_nofile_limit(OWN_DESCRIPTORS).expect("failed to raise the limit of descriptors");
    let endpoint = FakeEndpoint::start();
    let configuration = NodeConfiguration::new(&[active("s-1", endpoint.address)]);
    let edge = configuration.max_descriptors(DESCRIPTORS).memory_mb(MEMORY_MB).start();
    let address = edge.address;
    scope(|clients| {
        for client in 0..CLIENTS {
            let text: String = (0..REQUESTS)
                .map(|number| text_with_many_fields(&request("lookup", &format!("f-{client}-{number}"))))
                .collect();
            clients.spawn(move || send_and_read(address, &text));
        }
        // No request is answered, so that all connections stay open at the same time.
    });
    let peak = edge.peak_resident_bytes();
    assert!(peak <= MEMORY_BYTES, "the node held {peak} bytes");
}
