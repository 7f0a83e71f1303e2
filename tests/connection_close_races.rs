//! Bytes that cross a close or a shutdown, and answers that are cut: the crossing is forced by the peer.

mod fakes;

use edge_node::net::downstream::pipeline::Pipeline;
use fakes::*;
use serde_json::json;

#[test]
fn a_request_begun_behind_another_is_served_when_idle_connections_are_closed() {
    // Danger: the part of a request that came in one piece with the one before it is no byte that lies unread.
    let app = App::new();
    let edge = Edge::new(&config(&[entry("s-1", app.address, "a", "up")]));
    let mut idle = edge.client();
    idle.ask(&ask("post", "idle"));
    app.next().answer("200 OK", "", "ok");
    assert_eq!(idle.answer().status(), 200);
    let second = ask("post", "second").text();
    // A byte; a part of its head; all but the last byte of its head.
    let parts = [1, 30, second.len() - 6];
    let mut begun: Vec<Client> = parts.iter().map(|_| edge.client()).collect();
    for (number, (client, part)) in begun.iter_mut().zip(parts).enumerate() {
        let first = ask("lookup", &format!("first-{number}")).text();
        client.raw(&format!("{first}{}", &second[..part]));
    }
    parts.iter().for_each(|_| app.next().answer("200 OK", "", "first"));
    begun.iter_mut().for_each(|client| assert_eq!(client.answer().body, b"first"));
    edge.terminate();
    // The moment at which idle connections are closed.
    assert!(idle.try_answer().is_none());
    for (client, part) in begun.iter_mut().zip(parts) {
        client.raw(&second[part..]);
        app.next().answer("200 OK", "", "second");
        let answer = client.try_answer().expect("an answer on the connection that had begun");
        assert_eq!((&answer.body[..], answer.header("connection")), (&b"second"[..], Some("close")));
    }
    assert!(edge.end().0.success());
}

#[test]
fn half_a_line_on_a_resting_connection_is_no_part_of_the_next_answer() {
    let app = App::new();
    let edge = Edge::new(&config(&[entry("s-1", app.address, "a", "up")]));
    let mut client = edge.client();
    for (number, half) in ["HTTP/1.1 200 O", "\r\n", "HTTP/1.1 503 Service Unavail"].into_iter().enumerate() {
        client.ask(&ask("post", &format!("p-{number}")));
        let mut seen = app.next();
        let line = seen.line();
        seen.say("200 OK", "first");
        assert_eq!(client.answer().body, b"first");
        seen.spoil(half.as_bytes());
        // The node closes it for that.
        app.ended();
        client.ask(&ask("post", &format!("q-{number}")));
        let next = app.next();
        assert_ne!(next.line(), line);
        next.answer("200 OK", "", "second");
        assert_eq!(client.answer().body, b"second");
        for line in app.lines.lock().expect("no panic").drain(..) {
            let _ = line.shutdown(std::net::Shutdown::Both);
        }
        app.ended();
    }
}

#[test]
fn an_answer_without_a_length_ends_with_its_connection_but_never_with_a_reset() {
    let text = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsome of it";
    let (a, b) = (App::new(), App::new());
    let edge = Edge::new(&config(&[entry("s-1", a.address, "a", "up"), entry("s-2", b.address, "a", "up")]));
    let mut client = edge.client();
    // In order: it is whole.
    client.ask(&ask("post", "in-order"));
    next_of(&[&a, &b]).1.raw(text);
    assert_eq!(client.answer().body, b"some of it");
    // Reset: what may have run is neither served nor called refused, and not sent again.
    let reset = |(at, seen): (usize, Seen)| [&a, &b][at].reset(seen, text);
    client.ask(&ask("post", "p-1"));
    reset(next_of(&[&a, &b]));
    let answer = client.answer();
    assert!(answer.status() != 200 && !answer.refused(), "{}", answer.first);
    // What is safe to repeat is asked for once more.
    client.ask(&ask("lookup", "l-1"));
    reset(next_of(&[&a, &b]));
    let (_, again) = next_of(&[&a, &b]);
    assert_eq!(again.id(), "l-1");
    again.answer("200 OK", "", "all of it");
    assert_eq!(client.answer().body, b"all of it");
    a.no_request();
    b.no_request();
}

#[test]
fn with_a_window_shorter_than_a_connection_may_take_nothing_keyed_that_may_have_run_is_repeated() {
    let app = App::new();
    let mut config = config(&[entry("s-1", app.address, "a", "up")]);
    // The window is past by the time at which a connection may come up at the latest, not by the time of the break.
    config["settings"]["classes"][1]["window"] = json!(30_000_000);
    config["settings"]["bounds"]["connect_timeout"] = json!(30_000_000);
    let edge = Edge::new(&config);
    let mut client = edge.client();
    client.ask(&ask("slip", "k-1"));
    app.next().close();
    let answer = client.answer();
    assert!(answer.status() != 200 && !answer.refused(), "{}", answer.first);
    app.no_request();
}

#[test]
fn a_further_attempt_tells_what_is_left_to_the_client() {
    let (a, b) = (App::new(), App::new());
    let edge = Edge::new(&config(&[entry("s-1", a.address, "a", "up"), entry("s-2", b.address, "a", "up")]));
    let mut client = edge.client();
    client.ask(&Ask { deadline_ms: 20_000, ..ask("post", "p-1") });
    let (_, first) = next_of(&[&a, &b]);
    // The node had read the request by now, and has counted the client's time from then at the latest.
    let read_by = std::time::Instant::now();
    let told = |seen: &Seen| -> u128 {
        seen.message.header("x-deadline-ms").expect("a time").parse().expect("whole milliseconds")
    };
    assert!(told(&first) <= 20_000);
    std::thread::sleep(std::time::Duration::from_millis(400));
    let held = read_by.elapsed().as_millis();
    first.answer("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
    let (_, second) = next_of(&[&a, &b]);
    assert!(told(&second) + held <= 20_000, "{} ms told after {held} ms", told(&second));
    second.answer("200 OK", "", "ok");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn bytes_are_told_apart_by_the_request_that_they_belong_to() {
    let head = "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n";
    // In one piece and byte by byte, whatever the line ends are.
    for text in [format!("\r\n{head}slip!"), format!("{}slip!", head.replace('\r', ""))] {
        let mut whole = Pipeline::new();
        whole.bytes_received(format!("{text}\r\n").as_bytes());
        assert!(whole.has_partial_request());
        whole.request_started(Some(5));
        assert!(!whole.has_partial_request(), "empty lines begin no request");
        whole.bytes_received(b"P");
        assert!(whole.has_partial_request());
        let mut parts = Pipeline::new();
        let (before, body) = text.split_at(text.len() - 5);
        before.bytes().for_each(|byte| parts.bytes_received(&[byte]));
        parts.request_started(Some(5));
        body.bytes().for_each(|byte| parts.bytes_received(&[byte]));
        assert!(!parts.has_partial_request());
        parts.bytes_received(text.as_bytes());
        assert!(parts.has_partial_request());
    }
    // Behind a body without an end nothing is served any more.
    let mut endless = Pipeline::new();
    endless.bytes_received(head.as_bytes());
    endless.request_started(None);
    endless.bytes_received(head.as_bytes());
    assert!(!endless.has_partial_request());
}

#[test]
fn a_request_that_is_read_behind_a_connection_s_last_answer_is_not_sent_on() {
    // One that is read ahead with the first, and more than is read ahead.
    for copies in [1, 300] {
        let app = App::new();
        let edge = Edge::new(&config(&[entry("s-1", app.address, "a", "up")]));
        let mut client = edge.client();
        client.ask(&ask("post", "first"));
        let held = app.next();
        edge.terminate_and_wait();
        client.raw(&ask("lookup", "behind").text().repeat(copies));
        held.answer("200 OK", "", "first");
        let answer = client.answer();
        assert_eq!((&answer.body[..], answer.header("connection")), (&b"first"[..], Some("close")));
        assert_eq!(client.rest(), "");
        assert!(edge.end().0.success());
        app.no_request();
    }
}
