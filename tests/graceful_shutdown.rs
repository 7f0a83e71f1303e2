//! Graceful shutdown while requests, connections and responses are under way: real signals on real sockets.

mod fakes;

use std::array::from_fn;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use fakes::{ask, config, entry, App, Ask, Client, Counts, Edge, Seen};
use serde_json::{json, Value};

fn with_total_timeout(mut config: Value, micros: u64) -> Value {
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        class["deadline"] = json!(micros);
    }
    config
}

#[test]
fn however_short_the_deadlines_a_shutdown_answers_the_requests_in_progress() {
    // Reckoned from the longest deadline alone, the end of the shutdown would come before the listener closes.
    for micros in [1_000, 50_000, 200_000, 500_000] {
        let endpoint = App::new();
        let config = config(&[entry("s-1", endpoint.address, "a", "up")]);
        let edge = Edge::new(&with_total_timeout(config, micros));
        let mut client = edge.client();
        client.ask(&ask("post", "p-1"));
        let _in_flight = endpoint.next();
        edge.terminate();
        let response = client.try_answer().expect("a complete response before the process ends");
        assert_eq!(response.status(), 502, "deadlines of {micros}");
        assert!(edge.end().0.success());
    }
}

#[test]
fn a_connection_that_waits_for_a_descriptor_when_the_listener_closes_is_answered() {
    let endpoint = App::new();
    let mut config = config(&[entry("s-1", endpoint.address, "a", "up")]);
    // Descriptors for nine clients.
    config["limits"]["sockets"] = json!(40);
    let edge = Edge::new(&config);
    let mut texts: [String; 9] = from_fn(|number| ask("post", &format!("p-{number}")).text());
    // A connection with a request that lacks a byte is neither idle nor does it start an attempt.
    for text in &mut texts[6..] {
        text.truncate(text.len() - 1);
    }
    let _busy_clients = edge.clients_that_have_sent(texts);
    let in_flight: Vec<Seen> = (0..6).map(|_| endpoint.next()).collect();
    // Connected as far as the kernel is concerned, though no descriptor is left for it.
    let mut late_client = edge.client();
    late_client.ask(&ask("post", "p-late"));
    edge.terminate();
    assert!(late_client.try_answer().is_some(), "the connection was reset in the backlog");
    drop(in_flight);
    assert!(edge.end().0.success());
}

#[test]
fn a_request_read_in_part_when_idle_connections_close_is_served() {
    let endpoint = App::new();
    let edge = Edge::new(&config(&[entry("s-1", endpoint.address, "a", "up")]));
    let mut reused = edge.client();
    let mut new = edge.client();
    let mut idle = edge.client();
    for (number, client) in [&mut reused, &mut idle].into_iter().enumerate() {
        client.ask(&ask("post", &format!("p-{number}")));
        endpoint.next().answer("200 OK", "", "ok");
        assert_eq!(client.answer().status(), 200);
    }
    let on_reused = ask("post", "p-kept").text();
    let on_new = ask("post", "p-new").text();
    reused.raw(&on_reused[..30]);
    new.raw(&on_new[..30]);
    edge.terminate();
    // Returns when idle connections close.
    assert!(idle.try_answer().is_none());
    for (client, text) in [(&mut reused, on_reused), (&mut new, on_new)] {
        client.raw(&text[30..]);
        endpoint.next().answer("200 OK", "", "served");
        let response = client.try_answer().expect("a response on the connection with a partial request");
        assert_eq!((&response.body[..], response.header("connection")), (&b"served"[..], Some("close")));
    }
    assert!(edge.end().0.success());
}

#[test]
fn a_response_is_not_reset_by_unread_bytes_behind_its_request() {
    let endpoint = App::new();
    let edge = Edge::new(&config(&[entry("s-1", endpoint.address, "a", "up")]));
    let mut client = edge.client();
    client.ask(&ask("post", "p-1"));
    let in_flight = endpoint.next();
    edge.terminate_and_wait();
    // More than is read ahead, so some of it is still in the socket when the response has been written.
    client.raw(&"x".repeat(100_000));
    in_flight.answer("200 OK", "", &"y".repeat(64 * 1024));
    let response = client.answer();
    assert_eq!((response.status(), response.body.len()), (200, 64 * 1024));
    assert!(client.ends_in_order(), "the connection was reset");
}

#[test]
fn a_second_sigterm_and_a_new_configuration_do_not_disturb_a_shutdown() {
    let endpoint = App::new();
    let config = config(&[entry("s-1", endpoint.address, "a", "up")]);
    let edge = Edge::new(&config);
    let mut client = edge.client();
    client.ask(&ask("post", "p-1"));
    let in_flight = endpoint.next();
    edge.terminate();
    edge.reload(&config.to_string());
    edge.terminate();
    edge.reload("no configuration");
    in_flight.answer("200 OK", "", "held");
    assert_eq!(client.answer().body, b"held");
    let (status, log) = edge.end();
    assert!(status.success() && log.contains("the old configuration stays"), "{log}");
}

#[test]
fn a_shutdown_releases_a_lease_that_the_counter_grants_during_it() {
    let endpoint = App::new();
    let counter = Counts::new();
    let mut config = config(&[entry("s-1", endpoint.address, "a", "up")]);
    config["counter"] = json!(counter.address.to_string());
    // The call stays in flight for as long as the test delays its reply.
    config["settings"]["domain"]["count_wait"] = json!(20_000_000);
    let edge = Edge::new(&config);
    let mut client = edge.client();
    client.ask(&Ask { plan: "paid", ..ask("post", "p-1") });
    let mut increment = counter.next();
    edge.terminate();
    // When the listener closes the node releases the leases that it holds by then.
    while TcpStream::connect(edge.address).is_ok() {
        sleep(Duration::from_millis(5));
    }
    let leased = increment.amount;
    assert!(leased > 1.0);
    increment.total(leased);
    endpoint.next().answer("200 OK", "", "ok");
    assert_eq!(client.answer().status(), 200);
    // Other increments may come first; the release is the lease less the request's unit.
    let mut total = leased;
    let mut released = 0.0;
    while released >= 0.0 {
        let mut increment = counter.next();
        total += increment.amount;
        released = increment.amount;
        increment.total(total);
    }
    assert_eq!(released, 1.0 - leased);
    assert!(edge.end().0.success());
}

#[test]
fn a_request_that_the_shutdown_failed_is_not_sent_when_descriptors_come_free() {
    let endpoint = App::new();
    let mut config = with_total_timeout(config(&[entry("s-1", endpoint.address, "a", "up")]), 50_000);
    config["settings"]["bounds"]["connect_timeout"] = json!(60_000_000);
    // Descriptors for sixteen connections, nine of them for clients: seven attempts get one, two wait.
    config["limits"]["sockets"] = json!(40);
    let edge = Edge::new(&config);
    let text = |number| Ask { deadline_ms: 600_000, ..ask("post", &format!("p-{number}")) }.text();
    let mut clients: [Client; 9] = edge.clients_that_have_sent(from_fn(text));
    let _in_flight: Vec<Seen> = (0..7).map(|_| endpoint.next()).collect();
    edge.terminate();
    for client in &mut clients {
        assert_eq!(client.answer().status(), 502);
    }
    assert!(edge.end().0.success());
    // Once its connections have ended, everything that the node sent has arrived.
    for _ in 0..7 {
        endpoint.ended();
    }
    endpoint.no_request();
}
