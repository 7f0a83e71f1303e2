//! Tests of what happens at a node within the test process while a long list is prepared on another thread,
//! and between two parts of its publication.

use std::sync::Arc;

use edge_node::decision::{EndpointUpdateKind, Outcome};
use edge_node::net::discovery::apply::{ApplyOutcome, ListApplier, ReceivedList};
use edge_node::net::discovery::delta::ENTRIES_PER_PART;
use edge_node::net::discovery::directory::EndpointDirectory;
use serde_json::{json, Value};
use tokio::task::{spawn_local, yield_now};

use crate::fakes::{active, endpoint_entry, ok_response, FakeEndpoint};
use crate::lists::{all_up, labels, longest_list, name, numbered, read, snapshot, LONGEST};
use crate::node::{
    is_fetch, is_watch_from, next_call, on_local_runtime, send, until, until_prepared, until_preparing,
    watch_from, yield_repeatedly, Node,
};

/// The number of endpoints on a long list. The delta of such a list has some tens of parts.
const LONG: usize = 12_000;

/// Returns a response with a full list of [`LONG`] endpoints from the number `first` on, all at this fake
/// endpoint, followed by the entries `others`.
fn long_list(version: u64, first: usize, endpoint: &FakeEndpoint, others: &[Value]) -> String {
    let mut entries = Vec::new();
    for number in first..first + LONG {
        entries.push(active(&name(number), endpoint.address));
    }
    entries.extend_from_slice(others);
    ok_response(&snapshot(version, &entries).to_string())
}

#[test]
fn list_prepared_while_discovery_moves_is_dropped() {
    let agent = FakeEndpoint::start();
    let new_agent = FakeEndpoint::start();
    let list_of_old_agent = ok_response(&longest_list(9, &agent));
    on_local_runtime(async {
        let node = Node::started(&agent);
        until(|| watch_from(&agent, 0)).await;
        node.discovery.fetch(node.events.clone());
        let fetch = until(|| agent.poll_request().filter(is_fetch)).await;
        let known = Arc::downgrade(&node.endpoints());
        let sent = send(fetch, list_of_old_agent.clone());
        until_preparing(&known).await;
        node.discovery.set_address(&node.events, new_agent.address);
        until_prepared(&known).await;
        assert!(node.endpoints().is_empty(), "a list of the old agent was applied after the move");
        let list = ok_response(&snapshot(3, &all_up([1])).to_string());
        // The list is also sent in response to calls that have timed out meanwhile.
        until(|| {
            let call = new_agent.poll_request()?;
            let is_applied = is_watch_from(&call, 3);
            call.send_raw(list.as_bytes());
            is_applied.then_some(())
        })
        .await;
        sent.join().expect("sending thread should not panic");
        assert_eq!(node.endpoints().len(), 1);
        assert!(node.knows(1));
    });
}

#[test]
fn long_delta_does_not_undo_what_was_applied_while_it_was_prepared() {
    let agent = FakeEndpoint::start();
    let delta = json!({"index": 2, "snapshot": false, "endpoints": all_up(0..LONGEST)});
    let long_delta = ok_response(&delta.to_string());
    on_local_runtime(async {
        let node = Node::started(&agent);
        let watch = until(|| watch_from(&agent, 0)).await;
        let known = Arc::downgrade(&node.endpoints());
        let sent = send(watch, long_delta.clone());
        until_preparing(&known).await;
        let late_delta = read(&[numbered(LONGEST, "up")]);
        node.upstreams().apply_delta(late_delta.entries(), &labels());
        until(|| watch_from(&agent, 2)).await;
        sent.join().expect("sending thread should not panic");
        assert_eq!(node.endpoints().len(), LONGEST + 1);
        assert!(node.knows(LONGEST));
    });
}

#[test]
fn between_two_parts_old_and_new_endpoints_are_reachable_and_draining_ones_are_not() {
    let agent = FakeEndpoint::start();
    let first = FakeEndpoint::start();
    let second = FakeEndpoint::start();
    let draining = 2 * LONG;
    let moving = 2 * LONG + 1;
    let listed = |number, endpoint: &FakeEndpoint, status| {
        endpoint_entry(&name(number), endpoint.address, "a", status)
    };
    let before = [listed(draining, &first, "up"), listed(moving, &first, "up")];
    let after = [listed(draining, &first, "draining"), listed(moving, &second, "up")];
    let first_list = long_list(2, 0, &first, &before);
    let second_list = long_list(3, LONG, &second, &after);
    on_local_runtime(async {
        let node = Node::started(&agent);
        node.publish_first_part(&agent, 0, &first_list).await;
        node.publish_remaining_parts().await;
        // The attempt leaves an open connection to the endpoint.
        assert_eq!(node.attempts(&[7], &[(&first, 1)]).await, [Outcome::Ok]);
        node.publish_first_part(&agent, 2, &second_list).await;
        let numbers = [7, 8, LONG + 7, moving, draining];
        let outcomes = node.attempts(&numbers, &[(&first, 2), (&second, 2)]).await;
        // The removed endpoints are reachable, as the engine has not been notified of their removal yet.
        assert_eq!(outcomes[..4], [Outcome::Ok; 4], "attempts at removed, new and moved endpoints");
        assert_eq!(outcomes[4], Outcome::ConnectFailed);
        assert!(node.is_publishing(), "attempts should end between two parts");
        node.publish_remaining_parts().await;
        let outcomes = node.attempts(&[7, 8, LONG + 7], &[(&second, 1)]).await;
        assert_eq!(outcomes, [Outcome::ConnectFailed, Outcome::ConnectFailed, Outcome::Ok]);
        first.assert_no_request();
    });
}

#[test]
fn other_tasks_run_between_any_two_parts_and_an_unchanged_list_has_no_parts() {
    let agent = FakeEndpoint::start();
    let endpoint = FakeEndpoint::start();
    let first_list = long_list(2, 0, &endpoint, &[]);
    let second_list = long_list(3, LONG, &endpoint, &[]);
    on_local_runtime(async {
        let node = Node::started(&agent);
        // The second list replaces all endpoints of the first, so its delta is twice as long.
        for (version, list, delta_entries) in [(0, &first_list, LONG), (2, &second_list, 2 * LONG)] {
            node.publish_first_part(&agent, version, list).await;
            let checks = node.publish_remaining_parts().await;
            assert!(checks + 1 >= delta_entries.div_ceil(ENTRIES_PER_PART));
        }
        let unchanged = long_list(4, LONG, &endpoint, &[]);
        let next_call = until(|| {
            assert!(!node.is_publishing(), "an unchanged list was published in parts");
            let call = agent.poll_request()?;
            if is_watch_from(&call, 3) {
                send(call, unchanged.clone());
                return None;
            }
            Some(call)
        });
        assert!(is_watch_from(&next_call.await, 4));
    });
}

#[test]
fn move_between_two_parts_completes_the_list_and_drops_the_version_of_the_old_agent() {
    let agent = FakeEndpoint::start();
    let new_agent = FakeEndpoint::start();
    let endpoint = FakeEndpoint::start();
    let list = long_list(9, 0, &endpoint, &[]);
    on_local_runtime(async {
        let node = Node::started(&agent);
        node.publish_first_part(&agent, 0, &list).await;
        node.discovery.set_address(&node.events, new_agent.address);
        let call = next_call(&new_agent).await;
        assert!(node.is_publishing(), "discovery should move between two parts");
        node.publish_remaining_parts().await;
        assert_eq!(node.endpoints().len(), LONG);
        call.send_raw(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
        let call = until(|| new_agent.poll_request()).await;
        assert!(
            is_fetch(&call),
            "expected a fetch of the full list, got a watch from the old agent's version"
        );
        call.respond_ok(&snapshot(3, &all_up([1])).to_string());
        until(|| watch_from(&new_agent, 3)).await;
        assert_eq!(node.endpoints().len(), 1);
    });
}

/// Publishes the first part of a list of version 9, fetches another list of the given version between two
/// parts, and checks that it is applied after the last part, unless it is older.
fn fetch_between_two_parts(version: u64, fetched: impl FnOnce(&FakeEndpoint) -> String) {
    let agent = FakeEndpoint::start();
    let endpoint = FakeEndpoint::start();
    let list = long_list(9, 0, &endpoint, &[]);
    let fetched = fetched(&endpoint);
    on_local_runtime(async {
        let node = Node::started(&agent);
        until(|| agent.poll_request().filter(is_fetch)).await;
        node.publish_first_part(&agent, 0, &list).await;
        node.discovery.fetch(node.events.clone());
        send(next_call(&agent).await, fetched);
        yield_repeatedly().await;
        assert!(node.is_publishing(), "fetched list should arrive between two parts");
        assert!(node.knows(0) && !node.knows(LONG), "fetched list was applied between two parts");
        node.publish_remaining_parts().await;
        if version > 9 {
            until(|| node.knows(LONG).then_some(())).await;
            return;
        }
        let known = Arc::downgrade(&node.endpoints());
        yield_repeatedly().await;
        until_prepared(&known).await;
        yield_repeatedly().await;
        assert!(node.knows(0) && !node.knows(LONG), "an older list was applied after the last part");
    });
}

#[test]
fn short_list_received_between_two_parts_is_applied_after_the_last_unless_it_is_older() {
    for version in [8, 10] {
        fetch_between_two_parts(version, |_| {
            ok_response(&snapshot(version, &[numbered(LONG, "up")]).to_string())
        });
    }
}

#[test]
fn long_list_received_between_two_parts_is_applied_after_the_last_unless_it_is_older() {
    for version in [8, 10] {
        fetch_between_two_parts(version, |endpoint| long_list(version, LONG, endpoint, &[]));
    }
}

#[test]
fn second_of_two_long_lists_is_applied_after_all_parts_of_the_first() {
    on_local_runtime(async {
        let node = Node::new(&FakeEndpoint::start());
        let applier = ListApplier::new(node.event_loop.upstreams.clone(), labels());
        let apply = |first: usize| {
            let received = ReceivedList { list: read(&all_up(first..first + LONG)), is_long: true };
            let applier = applier.clone();
            let events = node.events.clone();
            spawn_local(async move { applier.apply(&events, received, EndpointUpdateKind::Snapshot).await })
        };
        let first = apply(0);
        until(|| node.is_publishing().then_some(())).await;
        let second = apply(LONG);
        yield_now().await;
        // If the second list were being prepared now, its task and the preparing thread would each hold a
        // reference to the known endpoints. The loop gives that thread time to finish, after which an applier
        // without the lock would publish the second list.
        let known = Arc::downgrade(&node.endpoints());
        while known.strong_count() > 2 {
            std::thread::yield_now();
        }
        yield_repeatedly().await;
        assert!(node.is_publishing() && node.knows(0) && !node.knows(LONG));
        assert_eq!(
            first.await.expect("task should not panic").expect("list should be prepared"),
            ApplyOutcome::Applied
        );
        assert_eq!(
            second.await.expect("task should not panic").expect("list should be prepared"),
            ApplyOutcome::Applied
        );
        assert!(!node.is_publishing() && !node.knows(0) && node.knows(LONG));
    });
}
