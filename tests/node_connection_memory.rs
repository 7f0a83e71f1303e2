//! What connections of clients and to endpoints hold in memory.

mod fakes;

use fakes::{active, request, Client, EdgeProcess, FakeEndpoint, NodeConfiguration};

/// The descriptor limit of the node.
const DESCRIPTORS: u32 = 1024;
/// The number of descriptors that this process needs.
const OWN_DESCRIPTORS: u64 = 4_000;
/// The number of connections to the endpoint that rest.
const RESTING_CONNECTIONS: usize = 250;
/// The number of clients that connect while these rest.
const FURTHER_CLIENTS: usize = 200;
/// The memory of the node may grow by at most this many bytes for each of these clients, half of what the
/// buffers of a connection take.
const MAX_GROWTH_PER_CLIENT: usize = 10 * 1024;

fn start_node(endpoint: &FakeEndpoint) -> EdgeProcess {
    rlimit::increase_nofile_limit(OWN_DESCRIPTORS).expect("failed to raise the limit of descriptors");
    NodeConfiguration::new(&[active("s-1", endpoint.address)]).max_descriptors(DESCRIPTORS).start()
}

/// Has as many requests served at the same time, each on a connection to the endpoint of its own.
fn serve_at_the_same_time(endpoint: &FakeEndpoint, clients: &mut [Client]) {
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&request("post", &format!("p-{number}")));
    }
    let attempts: Vec<_> = clients.iter().map(|_| endpoint.next_request()).collect();
    for attempt in attempts {
        attempt.respond_ok("ok");
    }
    for client in clients {
        client.assert_ok("ok");
    }
}

/// Guards against many short requests taking a node over its limit on memory: each left a connection to an
/// endpoint behind, which kept its buffers although it could not be used again yet.
#[test]
fn connections_to_endpoints_leave_their_buffers_to_others_while_they_rest() {
    let endpoint = FakeEndpoint::start();
    let edge = start_node(&endpoint);
    let mut clients: Vec<Client> = (0..RESTING_CONNECTIONS).map(|_| edge.connect()).collect();
    serve_at_the_same_time(&endpoint, &mut clients);
    let mut regular_client = edge.connect();
    regular_client.wait_until_node_has_read();
    let peak_before = edge.peak_resident_bytes();
    let connect = |_| {
        let mut client = edge.connect();
        client.send_raw("GET /lookup HTTP/1.1\r\n");
        client
    };
    let _further_clients: Vec<Client> = (0..FURTHER_CLIENTS).map(connect).collect();
    regular_client.wait_until_node_has_read();
    let growth = edge.peak_resident_bytes() - peak_before;
    assert!(
        growth <= FURTHER_CLIENTS * MAX_GROWTH_PER_CLIENT,
        "the node grew by {growth} bytes for {FURTHER_CLIENTS} clients beside {RESTING_CONNECTIONS} resting connections"
    );
}
