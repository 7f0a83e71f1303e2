//! Bytes that cross the close of a connection, and responses that are cut off. The peer forces each interleaving.

mod fakes;

use std::net::Shutdown;
use std::thread::sleep;
use std::time::{Duration, Instant};

use edge_node::net::downstream::pipeline::Pipeline;
use fakes::{ask, config, entry, next_of, App, Ask, Client, Edge, Seen};
use serde_json::json;

#[test]
fn a_partial_request_behind_another_is_served_when_idle_connections_close() {
    // A part of a request that arrived together with the request before it is no longer unread in the socket.
    let endpoint = App::new();
    let edge = Edge::new(&config(&[entry("s-1", endpoint.address, "a", "up")]));
    let mut idle = edge.client();
    idle.ask(&ask("post", "idle"));
    endpoint.next().answer("200 OK", "", "ok");
    assert_eq!(idle.answer().status(), 200);
    let second = ask("post", "second").text();
    // A byte; a part of its head; all but the last byte of its head.
    let partial_lengths = [1, 30, second.len() - 6];
    let mut clients: Vec<Client> = partial_lengths.iter().map(|_| edge.client()).collect();
    for (number, (client, length)) in clients.iter_mut().zip(partial_lengths).enumerate() {
        let first = ask("lookup", &format!("first-{number}")).text();
        client.raw(&format!("{first}{}", &second[..length]));
    }
    for _ in partial_lengths {
        endpoint.next().answer("200 OK", "", "first");
    }
    for client in &mut clients {
        assert_eq!(client.answer().body, b"first");
    }
    edge.terminate();
    // Returns when idle connections close.
    assert!(idle.try_answer().is_none());
    for (client, length) in clients.iter_mut().zip(partial_lengths) {
        client.raw(&second[length..]);
        endpoint.next().answer("200 OK", "", "second");
        let response = client.try_answer().expect("a response on the connection with a partial request");
        assert_eq!((&response.body[..], response.header("connection")), (&b"second"[..], Some("close")));
    }
    assert!(edge.end().0.success());
}

#[test]
fn a_partial_status_line_on_an_idle_connection_is_not_part_of_the_next_response() {
    let endpoint = App::new();
    let edge = Edge::new(&config(&[entry("s-1", endpoint.address, "a", "up")]));
    let mut client = edge.client();
    let partial_lines = ["HTTP/1.1 200 O", "\r\n", "HTTP/1.1 503 Service Unavail"];
    for (number, partial_line) in partial_lines.into_iter().enumerate() {
        client.ask(&ask("post", &format!("p-{number}")));
        let mut request = endpoint.next();
        let connection = request.line();
        request.say("200 OK", "first");
        assert_eq!(client.answer().body, b"first");
        request.spoil(partial_line.as_bytes());
        // The node closes the connection because of these bytes.
        endpoint.ended();
        client.ask(&ask("post", &format!("q-{number}")));
        let next = endpoint.next();
        assert_ne!(next.line(), connection);
        next.answer("200 OK", "", "second");
        assert_eq!(client.answer().body, b"second");
        for connection in endpoint.lines.lock().expect("no panic").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        endpoint.ended();
    }
}

#[test]
fn a_response_without_a_length_ends_with_the_close_of_its_connection_but_not_with_a_reset() {
    let text = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsome of it";
    let endpoints = [App::new(), App::new()];
    let entries =
        [entry("s-1", endpoints[0].address, "a", "up"), entry("s-2", endpoints[1].address, "a", "up")];
    let edge = Edge::new(&config(&entries));
    let next_request = || next_of(&[&endpoints[0], &endpoints[1]]);
    let mut client = edge.client();
    // Closed in order: the response is complete.
    client.ask(&ask("post", "in-order"));
    next_request().1.raw(text);
    assert_eq!(client.answer().body, b"some of it");
    // Reset: a request that may have run is neither served nor rejected, and not sent again.
    let reset_next = || {
        let (index, request) = next_request();
        endpoints[index].reset(request, text);
    };
    client.ask(&ask("post", "p-1"));
    reset_next();
    let response = client.answer();
    assert!(response.status() != 200 && !response.refused(), "{}", response.first);
    // A request that is safe to repeat is sent once more.
    client.ask(&ask("lookup", "l-1"));
    reset_next();
    let (_, retried) = next_request();
    assert_eq!(retried.id(), "l-1");
    retried.answer("200 OK", "", "all of it");
    assert_eq!(client.answer().body, b"all of it");
    for endpoint in &endpoints {
        endpoint.no_request();
    }
}

#[test]
fn a_keyed_request_that_may_have_run_is_not_repeated_where_connecting_may_outlast_the_deduplication_window() {
    let endpoint = App::new();
    let mut config = config(&[entry("s-1", endpoint.address, "a", "up")]);
    // The window still holds when the connection breaks, but not when a new one comes up at the latest.
    config["settings"]["classes"][1]["window"] = json!(30_000_000);
    config["settings"]["bounds"]["connect_timeout"] = json!(30_000_000);
    let edge = Edge::new(&config);
    let mut client = edge.client();
    client.ask(&ask("slip", "k-1"));
    endpoint.next().close();
    let response = client.answer();
    assert!(response.status() != 200 && !response.refused(), "{}", response.first);
    endpoint.no_request();
}

#[test]
fn a_second_attempt_carries_the_time_that_is_left_to_the_client() {
    let endpoints = [App::new(), App::new()];
    let entries =
        [entry("s-1", endpoints[0].address, "a", "up"), entry("s-2", endpoints[1].address, "a", "up")];
    let edge = Edge::new(&config(&entries));
    let next_request = || next_of(&[&endpoints[0], &endpoints[1]]).1;
    let mut client = edge.client();
    client.ask(&Ask { deadline_ms: 20_000, ..ask("post", "p-1") });
    let first = next_request();
    // The node had read the request by now, and counts the client's time from then at the latest.
    let read_by = Instant::now();
    let deadline_ms = |request: &Seen| -> u128 {
        let header = request.message.header("x-deadline-ms").expect("a time");
        header.parse().expect("milliseconds without a fraction")
    };
    assert!(deadline_ms(&first) <= 20_000);
    sleep(Duration::from_millis(400));
    let elapsed_ms = read_by.elapsed().as_millis();
    first.answer("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
    let second = next_request();
    let remaining_ms = deadline_ms(&second);
    assert!(remaining_ms + elapsed_ms <= 20_000, "{remaining_ms} ms left after {elapsed_ms} ms");
    second.answer("200 OK", "", "ok");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn the_pipeline_separates_the_bytes_of_successive_requests() {
    let head = "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n";
    // In one piece and byte by byte, with either kind of line end.
    for text in [format!("\r\n{head}slip!"), format!("{}slip!", head.replace('\r', ""))] {
        let mut in_one_piece = Pipeline::new();
        in_one_piece.bytes_received(format!("{text}\r\n").as_bytes());
        assert!(in_one_piece.has_partial_request());
        in_one_piece.request_started(Some(5));
        assert!(!in_one_piece.has_partial_request(), "empty lines begin no request");
        in_one_piece.bytes_received(b"P");
        assert!(in_one_piece.has_partial_request());
        let mut byte_by_byte = Pipeline::new();
        let (before_body, body) = text.split_at(text.len() - 5);
        for byte in before_body.bytes() {
            byte_by_byte.bytes_received(&[byte]);
        }
        byte_by_byte.request_started(Some(5));
        for byte in body.bytes() {
            byte_by_byte.bytes_received(&[byte]);
        }
        assert!(!byte_by_byte.has_partial_request());
        byte_by_byte.bytes_received(text.as_bytes());
        assert!(byte_by_byte.has_partial_request());
    }
    // Behind a body whose end is unknown no request is served.
    let mut endless = Pipeline::new();
    endless.bytes_received(head.as_bytes());
    endless.request_started(None);
    endless.bytes_received(head.as_bytes());
    assert!(!endless.has_partial_request());
}

#[test]
fn a_request_read_behind_the_last_response_of_a_connection_is_not_forwarded() {
    // One that is read ahead with the first, and more than is read ahead.
    for copies in [1, 300] {
        let endpoint = App::new();
        let edge = Edge::new(&config(&[entry("s-1", endpoint.address, "a", "up")]));
        let mut client = edge.client();
        client.ask(&ask("post", "first"));
        let in_flight = endpoint.next();
        edge.terminate_and_wait();
        client.raw(&ask("lookup", "behind").text().repeat(copies));
        in_flight.answer("200 OK", "", "first");
        let response = client.answer();
        assert_eq!((&response.body[..], response.header("connection")), (&b"first"[..], Some("close")));
        assert_eq!(client.rest(), "");
        assert!(edge.end().0.success());
        endpoint.no_request();
    }
}
