//! Clients that leave while their request waits: it is not sent on any more, wherever it waits.

mod fakes;

use std::net::SocketAddr;

use fakes::*;
use serde_json::json;

/// Waits until the node has nothing of this request left, by asking under its id: an id in work is turned away.
/// The request that is let in instead waits like the first.
fn until_forgotten(edge: &Edge, request: &Ask) -> Client {
    let until = std::time::Instant::now() + PATIENCE;
    while std::time::Instant::now() < until {
        let mut client = edge.client();
        client.ask(request);
        for _ in 0..200 {
            if client.has_answer() {
                break;
            }
        }
        if !client.has_answer() {
            return client;
        }
        assert_eq!(client.answer().status(), 409);
    }
    panic!("the request is still in work though its client has left");
}

#[test]
fn a_client_that_leaves_behind_bytes_of_a_next_request_is_noticed() {
    // Danger: the end of its connection lies behind bytes that nobody reads until the request has its answer.
    for behind in [30, 60_000] {
        let (app, counts) = (App::new(), Counts::new());
        let mut config = config(&[entry("s-1", app.address, "a", "up")]);
        config["counter"] = json!(counts.address.to_string());
        config["settings"]["domain"]["count_wait"] = json!(30_000_000);
        let edge = Edge::new(&config);
        let request = Ask { plan: "paid", ..ask("post", "p-1") };
        let mut client = edge.client();
        client.raw(&format!("{}{}", request.text(), "x".repeat(behind)));
        let mut call = counts.next();
        drop(client);
        let mut second = until_forgotten(&edge, &request);
        call.total(call.amount);
        // One request comes, and it is the second client's.
        app.next().answer("200 OK", "", "second");
        assert_eq!(second.answer().body, b"second");
        app.no_request();
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
    let mut client = edge.client();
    client.ask(&request);
    // The node has the request in work once its id is turned away.
    let mut other = edge.client();
    other.ask(&request);
    assert_eq!(other.answer().status(), 409);
    drop(client);
    let mut second = until_forgotten(&edge, &request);
    // Only now does a connection come up. What comes on it is the second client's.
    let app = app.accept_all();
    app.next().answer("200 OK", "", "second");
    assert_eq!(second.answer().body, b"second");
    app.no_request();
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
    first.no_request();
}
