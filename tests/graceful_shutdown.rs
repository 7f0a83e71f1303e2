//! The planned stop where it crosses requests, connections and answers: real signals, real sockets.

mod fakes;

use std::array::from_fn;

use fakes::*;
use serde_json::{json, Value};

fn with_deadlines(mut config: Value, micros: u64) -> Value {
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        class["deadline"] = json!(micros);
    }
    config
}

#[test]
fn however_short_the_deadlines_a_stop_answers_what_it_has_taken() {
    // Danger: the stop's last moment was reckoned from the longest deadline alone, and lay before the listener's end.
    for micros in [1_000, 50_000, 200_000, 500_000] {
        let app = App::new();
        let edge = Edge::new(&with_deadlines(config(&[entry("s-1", app.address, "a", "up")]), micros));
        let mut client = edge.client();
        client.ask(&ask("post", "p-1"));
        let _held = app.next();
        edge.terminate();
        let answer = client.try_answer().expect("a whole answer before the node's end");
        assert_eq!(answer.status(), 502, "deadlines of {micros}");
        assert!(edge.end().0.success());
    }
}

#[test]
fn what_waits_for_a_descriptor_when_the_listener_closes_is_answered() {
    let app = App::new();
    let mut config = config(&[entry("s-1", app.address, "a", "up")]);
    // Room for nine clients.
    config["limits"]["sockets"] = json!(40);
    let edge = Edge::new(&config);
    let mut texts: [String; 9] = from_fn(|n| ask("post", &format!("p-{n}")).text());
    // Requests that lack a byte are neither idle nor taken.
    texts[6..].iter_mut().for_each(|text| text.truncate(text.len() - 1));
    let _busy = edge.clients_that_have_sent(texts);
    let held: Vec<Seen> = (0..6).map(|_| app.next()).collect();
    // Connected and sent by the machine's word, though no descriptor is left for it.
    let mut late = edge.client();
    late.ask(&ask("post", "p-late"));
    edge.terminate();
    assert!(late.try_answer().is_some(), "the connection was reset in the backlog");
    drop(held);
    assert!(edge.end().0.success());
}

#[test]
fn a_request_half_read_when_idle_connections_are_closed_is_served() {
    let app = App::new();
    let edge = Edge::new(&config(&[entry("s-1", app.address, "a", "up")]));
    let (mut kept, mut new, mut idle) = (edge.client(), edge.client(), edge.client());
    for (number, client) in [&mut kept, &mut idle].into_iter().enumerate() {
        client.ask(&ask("post", &format!("p-{number}")));
        app.next().answer("200 OK", "", "ok");
        assert_eq!(client.answer().status(), 200);
    }
    let (first, second) = (ask("post", "p-kept").text(), ask("post", "p-new").text());
    kept.raw(&first[..30]);
    new.raw(&second[..30]);
    edge.terminate();
    // The moment at which idle connections are closed.
    assert!(idle.try_answer().is_none());
    for (client, text) in [(&mut kept, first), (&mut new, second)] {
        client.raw(&text[30..]);
        app.next().answer("200 OK", "", "served");
        let answer = client.try_answer().expect("an answer on the connection that had begun");
        assert_eq!((&answer.body[..], answer.header("connection")), (&b"served"[..], Some("close")));
    }
    assert!(edge.end().0.success());
}

#[test]
fn an_answer_is_not_reset_by_bytes_that_lie_unread_behind_its_request() {
    let app = App::new();
    let edge = Edge::new(&config(&[entry("s-1", app.address, "a", "up")]));
    let mut client = edge.client();
    client.ask(&ask("post", "p-1"));
    let held = app.next();
    edge.terminate_and_wait();
    // More than is read ahead, so some of it lies in the socket when the answer has gone out.
    client.raw(&"x".repeat(100_000));
    held.answer("200 OK", "", &"y".repeat(64 * 1024));
    let answer = client.answer();
    assert_eq!((answer.status(), answer.body.len()), (200, 64 * 1024));
    assert!(client.ends_in_order(), "the connection was reset");
}

#[test]
fn a_second_sigterm_and_a_new_configuration_do_not_disturb_a_stop() {
    let app = App::new();
    let config = config(&[entry("s-1", app.address, "a", "up")]);
    let edge = Edge::new(&config);
    let mut client = edge.client();
    client.ask(&ask("post", "p-1"));
    let held = app.next();
    edge.terminate();
    edge.reload(&config.to_string());
    edge.terminate();
    edge.reload("no configuration");
    held.answer("200 OK", "", "held");
    assert_eq!(client.answer().body, b"held");
    let (status, said) = edge.end();
    assert!(status.success() && said.contains("the old configuration stays"), "{said}");
}

#[test]
fn a_stop_hands_back_what_the_counter_grants_during_it() {
    let (app, counts) = (App::new(), Counts::new());
    let mut config = config(&[entry("s-1", app.address, "a", "up")]);
    config["counter"] = json!(counts.address.to_string());
    // The call stays under way for as long as the test holds it.
    config["settings"]["domain"]["count_wait"] = json!(20_000_000);
    let edge = Edge::new(&config);
    let mut client = edge.client();
    client.ask(&Ask { plan: "paid", ..ask("post", "p-1") });
    let mut call = counts.next();
    edge.terminate();
    // With the listener's end all leases are handed back that are there by then.
    while std::net::TcpStream::connect(edge.address).is_ok() {
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    let leased = call.amount;
    assert!(leased > 1.0);
    call.total(leased);
    app.next().answer("200 OK", "", "ok");
    assert_eq!(client.answer().status(), 200);
    // Whatever else is told to the counter, what comes back in the end is the lease less the request.
    let (mut total, mut back) = (leased, 0.0);
    while back >= 0.0 {
        let mut call = counts.next();
        (total, back) = (total + call.amount, call.amount);
        call.total(total);
    }
    assert_eq!(back, 1.0 - leased);
    assert!(edge.end().0.success());
}

#[test]
fn what_a_stop_has_failed_is_not_sent_on_as_descriptors_come_free() {
    let app = App::new();
    let mut config = with_deadlines(config(&[entry("s-1", app.address, "a", "up")]), 50_000);
    config["settings"]["bounds"]["connect_timeout"] = json!(60_000_000);
    // Room for sixteen connections, nine of them clients': seven attempts get one, two wait.
    config["limits"]["sockets"] = json!(40);
    let edge = Edge::new(&config);
    let long = |n| Ask { deadline_ms: 600_000, ..ask("post", &format!("p-{n}")) }.text();
    let mut clients: [Client; 9] = edge.clients_that_have_sent(from_fn(long));
    let _held: Vec<Seen> = (0..7).map(|_| app.next()).collect();
    edge.terminate();
    for client in &mut clients {
        assert_eq!(client.answer().status(), 502);
    }
    assert!(edge.end().0.success());
    // What it sent has come by now: its connections have ended.
    (0..7).for_each(|_| app.ended());
    app.no_request();
}
