//! When a change counts as told: whatever became of a call to discovery, the next one comes in time to tell it. The
//! fake peer gives each call its end by hand, where an agent holds the list and where all nodes ask one discovery.

mod fakes;

use std::time::{Duration, Instant};

use edge_node::net::discovery::timeout::{NOTIFIED_AFTER, RETRY_RESPONSE_TIME};
use edge_node::net::discovery::WatchSchedule;
use fakes::*;
use serde_json::{json, Value};

/// From which version a call watches; none for a call for the whole list.
fn version(seen: &Seen) -> Option<u64> {
    let (_, after) = seen.message.first.split_once("after=")?;
    Some(after.split('&').next().expect("a version").parse().expect("a number"))
}

/// The next watch. Calls for the whole list that come before it are left without an answer.
fn watch(lists: &App) -> Seen {
    loop {
        let seen = lists.next();
        if version(&seen).is_some() {
            return seen;
        }
    }
}

/// A node whose list is pushed, or else asked for by each of a few nodes.
fn node(known: &[Value], lists: &App, pushed: bool) -> Edge {
    let mut config = config(known);
    config["discovery"] = json!(lists.address.to_string());
    if !pushed {
        config["settings"]["registry_mode"] = json!("ask");
        config["settings"]["n_instances"] = json!(4);
    }
    Edge::new(&config)
}

#[test]
fn whatever_became_of_a_call_the_next_one_tells_what_it_missed() {
    let ends: [fn(&App, Seen); 9] = [
        |_, s| s.answer("500 Internal Server Error", "", ""),
        |_, s| s.answer("503 Service Unavailable", "Retry-After: 60\r\n", ""),
        // It ends instead of telling: with nothing, in order or by a reset, in the middle, with no change.
        |_, s| s.close(),
        |lists, s| lists.reset(s, b""),
        |lists, s| lists.reset(s, b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"index\":99,"),
        |_, s| s.raw(b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"index\":99,"),
        |_, s| s.answer("200 OK", "", r#"{"index":0,"snapshot":false,"endpoints":[]}"#),
        |_, s| s.answer("200 OK", "", r#"{"index":99,"snapshot":true}"#),
        |_, s| s.answer("200 OK", "Connection: close\r\n", "no list"),
    ];
    for pushed in [true, false] {
        let (apps, lists) = ([App::new(), App::new()], App::new());
        let named = |at: usize| entry(&format!("s-{at}"), apps[at].address, "a", "up");
        let edge = node(&[named(0)], &lists, pushed);
        let mut client = edge.client();
        for (number, end) in ends.into_iter().enumerate() {
            let call = watch(&lists);
            let from = version(&call).expect("a watch");
            end(&lists, call);
            let next = watch(&lists);
            assert_eq!(version(&next), Some(from), "row {number}: something was taken as told");
            // What a whole list doesn't name is gone.
            let at = (number + 1) % 2;
            let list = json!({"index": from + 1, "snapshot": true, "endpoints": [named(at)]});
            next.answer("200 OK", "", &list.to_string());
            // It watches on from there, so it has taken that in.
            let on = watch(&lists);
            assert_eq!(version(&on), Some(from + 1), "row {number}");
            client.ask(&ask("post", &format!("{pushed}-{number}")));
            apps[at].next().answer("200 OK", "", "ok");
            assert_eq!(client.answer().status(), 200);
            apps[1 - at].no_request();
            on.answer(
                "200 OK",
                "",
                &json!({"index": from + 1, "snapshot": false, "endpoints": []}).to_string(),
            );
        }
    }
}

#[test]
fn a_watch_that_has_fallen_silent_is_opened_anew_before_what_it_missed_counts_as_told() {
    let lists = [App::new(), App::new()];
    let _edges = [node(&[], &lists[0], true), node(&[], &lists[1], false)];
    // It falls silent at its begin: that leaves the least time.
    let silent = lists.each_ref().map(|lists| (watch(lists), Instant::now()));
    for ((held, since), lists) in silent.iter().zip(&lists) {
        let next = watch(lists);
        assert!(since.elapsed() < NOTIFIED_AFTER, "after {:?}", since.elapsed());
        assert_eq!(version(&next), version(held));
        assert_ne!(next.line(), held.line(), "asked on the connection that is silent");
    }
}

#[test]
fn however_many_ask_one_discovery_a_failed_call_is_made_again_before_what_it_missed_counts_as_told() {
    for nodes in [1, 4, 30, 100, 300, 5_700] {
        for seed in 0..50 {
            // Refused, timed out as at a service that is full, and given up as silent.
            for spent in [0, 2_000, 5_000].map(Duration::from_millis) {
                let mut pace = WatchSchedule::new(seed, nodes, true);
                let longest = (0..9).map(|_| pace.pause_after_failure(spent)).max().unwrap_or_default();
                assert!(
                    spent + longest + RETRY_RESPONSE_TIME <= NOTIFIED_AFTER,
                    "{nodes} nodes, {spent:?}: {longest:?}"
                );
            }
        }
    }
}

#[test]
fn a_silent_watch_of_many_that_ask_one_discovery_is_opened_anew_in_time_as_well() {
    let lists = App::new();
    let mut config = config(&[]);
    config["discovery"] = json!(lists.address.to_string());
    config["settings"]["registry_mode"] = json!("ask");
    config["settings"]["n_instances"] = json!(30);
    let _edge = Edge::new(&config);
    let _held = watch(&lists);
    let since = Instant::now();
    let _next = watch(&lists);
    assert!(since.elapsed() < NOTIFIED_AFTER, "after {:?}", since.elapsed());
}
