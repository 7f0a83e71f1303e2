//! The fake discovery agent, over a loopback socket.

mod common {
    pub mod connection;
    pub mod http;
    pub mod lists;
}

use common::connection::Connection;
use common::lists::endpoint_list;
use scale_bench::fakes::discovery_agent::{DiscoveryAgent, MessageCounts};
use scale_bench::fakes::endpoint_list::{EndpointList, ListMessage};

async fn get_list(connection: &mut Connection, query: &str) -> ListMessage {
    connection.get(&format!("/discovery/hosts{query}")).await;
    read_list(connection).await
}

async fn read_list(connection: &mut Connection) -> ListMessage {
    let response = connection.response().await;
    assert_eq!(response.status, 200, "{}", response.body);
    serde_json::from_str(&response.body).expect("a list")
}

#[tokio::test]
async fn agent_sends_deltas_to_watches_and_snapshots_where_no_delta_leads() {
    let agent = DiscoveryAgent::start(endpoint_list(30, 1), false).await.expect("a port");
    let mut connection = Connection::open(agent.address()).await;
    let first = get_list(&mut connection, "").await;
    assert_eq!((first.version, first.is_snapshot, first.endpoints.len()), (1, true, 30));
    let nothing_new = ListMessage { version: 1, is_snapshot: false, endpoints: vec![] };
    assert_eq!(get_list(&mut connection, "?after=1&wait_ms=0").await, nothing_new);

    // A watch waits for what is newer, and gets just that.
    connection.get("/discovery/hosts?after=1&wait_ms=60000").await;
    agent.make_next_change();
    let delta = read_list(&mut connection).await;
    assert_eq!((delta.version, delta.is_snapshot, delta.endpoints.len()), (2, false, 1));
    assert!(delta.endpoints[0].started_at_ms > 0, "an endpoint has just started");

    // No delta leads on from another agent's version, or from before the list was replaced.
    assert!(get_list(&mut connection, "?after=99&wait_ms=60000").await.is_snapshot);
    connection.get("/discovery/hosts?after=2&wait_ms=60000").await;
    agent.update(EndpointList::replace_all);
    let replaced = read_list(&mut connection).await;
    assert_eq!((replaced.version, replaced.is_snapshot, replaced.endpoints.len()), (3, true, 31));

    // What is asked in silence is answered once that is over, with the list as it is by then.
    agent.set_silent(true);
    connection.get("/discovery/hosts?after=3&wait_ms=0").await;
    connection.assert_silent().await;
    agent.make_next_change();
    agent.set_silent(false);
    assert_eq!(read_list(&mut connection).await.version, 4);

    for (path, status) in [
        ("/discovery/hosts?after=x", 400),
        ("/discovery/hosts?after=1&wait_ms=60001", 400),
        ("/discovery/others", 404),
    ] {
        connection.get(path).await;
        assert_eq!(connection.response().await.status, status, "{path}");
    }
    let traffic = agent.byte_counts();
    assert!(traffic.received > 0, "{traffic:?}");
    assert!(traffic.sent > 2 * 30 * 100, "{traffic:?}");
    assert_eq!(agent.message_counts(), MessageCounts { snapshots: 3, deltas: 3 });
}

#[tokio::test]
async fn indented_list_has_the_same_entries() {
    let agent = DiscoveryAgent::start(endpoint_list(30, 1), true).await.expect("a port");
    let mut connection = Connection::open(agent.address()).await;
    let expected = endpoint_list(30, 1).snapshot().endpoints;
    assert_eq!(get_list(&mut connection, "").await.endpoints, expected);
    let text = agent.snapshot_text().expect("a text");
    assert!(text.windows(8).any(|part| part == b"\n      \""), "it is indented");
}
