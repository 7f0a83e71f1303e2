//! Tests of the fake discovery agent over a loopback connection.

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
    connection.send_get(&format!("/discovery/hosts{query}")).await;
    read_list(connection).await
}

async fn read_list(connection: &mut Connection) -> ListMessage {
    let response = connection.read_response().await;
    assert_eq!(response.status, 200, "the response should be a list, its body is: {}", response.body);
    serde_json::from_str(&response.body).expect("the body should be a list message")
}

#[tokio::test]
async fn agent_sends_a_delta_if_it_has_one_from_the_watched_version_and_a_snapshot_otherwise() {
    let agent = DiscoveryAgent::start(endpoint_list(30, 1), false)
        .await
        .expect("the agent should listen on a free port");
    let mut connection = Connection::open(agent.address()).await;
    let first = get_list(&mut connection, "").await;
    assert_eq!((first.version, first.is_snapshot, first.endpoints.len()), (1, true, 30));
    let nothing_new = ListMessage { version: 1, is_snapshot: false, endpoints: vec![] };
    assert_eq!(get_list(&mut connection, "?after=1&wait_ms=0").await, nothing_new);

    // A watch waits for a newer version, and gets the changes up to it only.
    connection.send_get("/discovery/hosts?after=1&wait_ms=60000").await;
    agent.make_next_change();
    let delta = read_list(&mut connection).await;
    assert_eq!((delta.version, delta.is_snapshot, delta.endpoints.len()), (2, false, 1));
    assert!(
        delta.endpoints[0].started_at_ms > 0,
        "the changed entry should be an endpoint that has just started"
    );

    // The agent has no delta from a version that it never had, or from before the whole list was replaced.
    assert!(get_list(&mut connection, "?after=99&wait_ms=60000").await.is_snapshot);
    connection.send_get("/discovery/hosts?after=2&wait_ms=60000").await;
    agent.update(EndpointList::replace_all);
    let replaced = read_list(&mut connection).await;
    assert_eq!((replaced.version, replaced.is_snapshot, replaced.endpoints.len()), (3, true, 31));

    // A request that comes while the agent is silent gets its response afterwards, with the list at that
    // time.
    agent.set_silent(true);
    connection.send_get("/discovery/hosts?after=3&wait_ms=0").await;
    connection.assert_silent().await;
    agent.make_next_change();
    agent.set_silent(false);
    assert_eq!(read_list(&mut connection).await.version, 4);

    for (path, status) in [
        ("/discovery/hosts?after=x", 400),
        ("/discovery/hosts?after=1&wait_ms=60001", 400),
        ("/discovery/others", 404),
    ] {
        connection.send_get(path).await;
        assert_eq!(connection.read_response().await.status, status, "status of {path}");
    }
    let traffic = agent.byte_counts();
    assert!(traffic.received > 0, "the agent should count the requests it has received: {traffic:?}");
    assert!(traffic.sent > 2 * 30 * 100, "the agent should count the snapshots it has sent: {traffic:?}");
    assert_eq!(agent.message_counts(), MessageCounts { snapshots: 3, deltas: 3 });
}

#[tokio::test]
async fn indented_list_has_the_same_entries() {
    let agent = DiscoveryAgent::start(endpoint_list(30, 1), true)
        .await
        .expect("the agent should listen on a free port");
    let mut connection = Connection::open(agent.address()).await;
    let expected = endpoint_list(30, 1).snapshot().endpoints;
    assert_eq!(get_list(&mut connection, "").await.endpoints, expected);
    let text = agent.snapshot_text().expect("the snapshot should be encoded as JSON");
    assert!(
        text.windows(8).any(|part| part == b"\n      \""),
        "the snapshot should be indented by six spaces"
    );
}
