//! Clients that leave while their request waits: it is not sent on any more, wherever it waits.

mod fakes;

use std::array::from_fn;
use std::net::SocketAddr;

use fakes::*;
use serde_json::json;

/// A client whose request the node has in work. Two ask under one id, and nothing orders them: one is turned away.
fn in_work(edge: &Edge, request: &Ask) -> Client {
    let (mut one, mut other) = (edge.client(), edge.client());
    one.ask(request);
    other.ask(request);
    let until = std::time::Instant::now() + PATIENCE;
    while !one.has_answer() {
        assert!(std::time::Instant::now() < until, "neither of two under one id is turned away");
        std::mem::swap(&mut one, &mut other);
    }
    assert_eq!(one.answer().status(), 409);
    other
}

/// Leaves in order and waits until the node has noticed: until it has closed its side, too.
fn leave(mut client: Client) {
    client.half_close();
    assert_eq!(client.rest(), "");
}

/// Asks under the id of one that has left: it is free again, or this is turned away.
fn anew(edge: &Edge, request: &Ask) -> Client {
    let mut client = edge.client();
    client.ask(request);
    client
}

#[test]
fn a_client_that_leaves_behind_bytes_of_a_next_request_is_noticed() {
    // Danger: the end of its connection lies behind bytes that nobody reads until the request has its answer.
    for behind in [0, 30, 60_000] {
        let (app, counts) = (App::new(), Counts::new());
        let mut config = config(&[entry("s-1", app.address, "a", "up")]);
        config["counter"] = json!(counts.address.to_string());
        config["settings"]["domain"]["count_wait"] = json!(30_000_000);
        let edge = Edge::new(&config);
        let request = Ask { plan: "paid", ..ask("post", "p-1") };
        let mut client = edge.client();
        client.raw(&format!("{}{}", request.text(), "x".repeat(behind)));
        let mut call = counts.next();
        leave(client);
        let mut second = anew(&edge, &request);
        call.total(call.amount);
        // One request comes, and it is the second client's.
        app.next().answer("200 OK", "", "second");
        assert_eq!(second.answer().body, b"second");
        drop(edge);
        app.no_request_to_the_end();
    }
}

#[test]
fn what_waits_for_a_connection_is_not_sent_once_its_client_has_left() {
    // Danger: connections that come up late. A full backlog holds one back: the machine drops what comes beyond.
    let app = FullApp::new();
    let mut config = config(&[entry("s-1", app.address, "a", "up")]);
    config["settings"]["bounds"]["connect_timeout"] = json!(60_000_000);
    let edge = Edge::new(&config);
    let request = Ask { deadline_ms: 600_000, ..ask("post", "p-1") };
    leave(in_work(&edge, &request));
    let mut second = anew(&edge, &request);
    // Only now does a connection come up. What comes on it is the second client's.
    let app = app.accept_all();
    app.next().answer("200 OK", "", "second");
    assert_eq!(second.answer().body, b"second");
    drop(edge);
    app.no_request_to_the_end();
}

#[test]
fn no_further_attempt_begins_for_a_client_that_has_closed_whatever_lies_behind_its_request() {
    let behind = ["".to_string(), ask("lookup", "behind").text(), ask("post", "behind").text()[..40].into()];
    for (number, behind) in behind.into_iter().enumerate() {
        let (a, b) = (App::new(), App::new());
        let entries = [entry("s-1", a.address, "a", "up"), entry("s-2", b.address, "a", "up")];
        let mut config = config(&entries);
        // Danger: on a busy machine the hand that answers may take longer than answers usually do, and what is safe
        // to repeat would be given another try for that, while its client is there.
        config["settings"]["bounds"]["cancel"] = json!(false);
        let edge = Edge::new(&config);
        let mut client = edge.client();
        client.raw(&format!("{}{behind}", ask("lookup", "first").text()));
        let (_, seen) = next_of(&[&a, &b]);
        leave(client);
        // The app server has never run it, so it would go to the other one.
        seen.answer("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
        let mut other = edge.client();
        for turn in 0..4 {
            let id = format!("later-{turn}");
            other.ask(&ask("lookup", &id));
            let (_, seen) = next_of(&[&a, &b]);
            assert_eq!(seen.id(), id, "row {number}");
            seen.answer("200 OK", "", "ok");
            assert_eq!(other.answer().status(), 200);
        }
        drop(edge);
        a.no_request_to_the_end();
        b.no_request_to_the_end();
    }
}

#[test]
fn what_waits_for_a_descriptor_is_not_sent_once_its_client_has_left() {
    let (old, app, lists) = (App::new(), App::new(), Lists::new());
    let mut config = config(&[entry("s-1", old.address, "a", "up")]);
    config["discovery"] = json!(lists.address.to_string());
    config["settings"]["bounds"]["connect_timeout"] = json!(60_000_000);
    // Room for sixteen connections, nine of them clients'.
    config["limits"]["sockets"] = json!(40);
    let edge = Edge::new(&config);
    // What has begun goes on without its client, and holds a descriptor.
    let long = |id: &str| Ask { deadline_ms: 600_000, ..ask("post", id) };
    let mut held = Vec::new();
    for number in 0..13 {
        let mut client = edge.client();
        client.ask(&Ask { class: "lookup", ..long(&format!("held-{number}")) });
        held.push(old.next());
        leave(client);
    }
    lists.push(entry("s-2", app.address, "a", "up"));
    lists.push(entry("s-1", old.address, "a", "draining"));
    // Two clients take the next two, and the listener keeps the last for whoever comes: both connections lie there
    // before the first one's request is read. Neither client is ever idle: that would make room for its attempt.
    let (one, behind) = (long("first").text(), long("second").text());
    let [first, mut second] = edge.clients_that_have_sent([one.clone(), one + &behind]);
    assert_eq!(second.answer().status(), 409, "the first one's request is in work");
    leave(first);
    // Its descriptor comes free, and the attempt behind its own gets it.
    let seen = app.next();
    assert_eq!(seen.id(), "second");
    seen.answer("200 OK", "", "second");
    assert_eq!(second.answer().body, b"second");
    drop(edge);
    app.no_request_to_the_end();
}

#[test]
fn what_lay_in_the_backlog_when_its_client_left_is_not_sent() {
    // Danger: bytes behind the request hide the end of the connection from whoever waits to read it.
    for behind in ["", "POST /post"] {
        let app = App::new();
        let mut config = config(&[entry("s-1", app.address, "a", "up")]);
        config["settings"]["bounds"]["connect_timeout"] = json!(60_000_000);
        config["limits"]["sockets"] = json!(40);
        let edge = Edge::new(&config);
        let long = |class, id: &str| Ask { deadline_ms: 600_000, ..ask(class, id) };
        let texts = from_fn(|n| long("post", &format!("p-{n}")).text());
        let mut busy: [Client; 9] = edge.clients_that_have_sent(texts);
        let held: Vec<Seen> = (0..7).map(|_| app.next()).collect();
        // No descriptor is left for these. The first has gone before the node takes it in.
        let (mut gone, mut stays) = (edge.client(), edge.client());
        // With no body it is whole as soon as its head is read.
        gone.raw(&format!("{}{behind}", long("lookup", "gone").text()));
        drop(gone);
        stays.ask(&long("post", "stays"));
        let mut came: Vec<String> = held.iter().map(|seen| seen.id().to_string()).collect();
        held.into_iter().for_each(|seen| seen.answer("200 OK", "", "ok"));
        // Two of the nine wait for a connection, and nothing orders them before the one that stays.
        for _ in 0..3 {
            let seen = app.next();
            assert_ne!(seen.id(), "gone");
            came.push(seen.id().to_string());
            seen.answer("200 OK", "", "ok");
        }
        assert_eq!(stays.answer().status(), 200);
        assert!(busy.iter_mut().all(|client| client.answer().status() == 200));
        // Each once, and that is all.
        came.sort();
        let expected: Vec<String> = (0..9).map(|n| format!("p-{n}")).chain(["stays".into()]).collect();
        assert_eq!(came, expected);
        drop(edge);
        app.no_request_to_the_end();
    }
}

#[test]
fn what_is_parked_or_half_sent_is_not_sent_on_once_its_client_has_left() {
    let (app, lists) = (App::new(), Lists::new());
    let mut config = config(&[]);
    config["discovery"] = json!(lists.address.to_string());
    let edge = Edge::new(&config);
    lists.watched();
    // A body that lacks a byte.
    let mut slow = edge.client();
    let text = ask("post", "slow").text();
    slow.raw(&text[..text.len() - 1]);
    slow.half_close();
    // Only now: the node has closed its side.
    slow.rest();
    // No app server is known, so it is parked.
    let request = Ask { deadline_ms: 600_000, ..ask("post", "p-1") };
    leave(in_work(&edge, &request));
    let mut second = anew(&edge, &request);
    lists.push(entry("s-1", app.address, "a", "up"));
    app.next().answer("200 OK", "", "second");
    assert_eq!(second.answer().body, b"second");
    drop(edge);
    app.no_request_to_the_end();
}

/// An app server whose machine takes no further connection until it accepts.
struct FullApp {
    address: SocketAddr,
    listener: std::net::TcpListener,
    filling: Vec<std::net::TcpStream>,
}

impl FullApp {
    fn new() -> FullApp {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().expect("a runtime");
        let listener =
            runtime.block_on(async { socket.listen(0).and_then(|l| l.into_std()) }).expect("a listener");
        listener.set_nonblocking(false).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let mut filling = Vec::new();
        let short = std::time::Duration::from_millis(300);
        while let Ok(stream) = std::net::TcpStream::connect_timeout(&address, short) {
            filling.push(stream);
        }
        FullApp { address, listener, filling }
    }

    /// Accepts from here on, what has filled the backlog first.
    fn accept_all(self) -> App {
        drop(self.filling);
        App::on(self.listener)
    }
}

#[test]
fn a_box_told_as_draining_while_a_connection_to_it_comes_up_gets_nothing() {
    let (full, second, lists) = (FullApp::new(), App::new(), Lists::new());
    let mut config = config(&[entry("s-1", full.address, "a", "up")]);
    config["discovery"] = json!(lists.address.to_string());
    config["settings"]["bounds"]["connect_timeout"] = json!(60_000_000);
    let edge = Edge::new(&config);
    let mut client = edge.client();
    client.ask(&Ask { deadline_ms: 600_000, ..ask("post", "p-1") });
    lists.push(entry("s-2", second.address, "a", "up"));
    lists.push(entry("s-1", full.address, "a", "draining"));
    let first = full.accept_all();
    // An unsafe one as well goes elsewhere: of a connection that never came up nothing ran.
    second.next().answer("200 OK", "", "elsewhere");
    assert_eq!(client.answer().body, b"elsewhere");
    drop(edge);
    first.no_request_to_the_end();
}
