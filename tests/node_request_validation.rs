//! The node must refuse invalid requests without sending them to an endpoint, and read request bodies to
//! their exact end.

mod fakes;

use fakes::{assert_served_by, one_endpoint, request, OneEndpoint};

/// The largest length of a request body in bytes.
const MAX_BODY_LENGTH: usize = 64 * 1024;

#[test]
fn malformed_request_gets_400_and_reaches_no_endpoint() {
    let OneEndpoint { endpoint, edge, client: _client } = one_endpoint();
    let good = request("post", "p-1").text();
    let replacements = [
        ("X-Request-Id: p-1\r\n", ""),
        ("X-Class: post\r\n", ""),
        ("X-Class: post", "X-Class: refund"),
        ("X-Tariff: free\r\n", ""),
        ("X-Tariff: free", "X-Tariff: gold"),
        ("?key=0000000000000007", ""),
        ("key=0000000000000007", "key=zzzzzzzzzzzzzzzz"),
        ("key=0000000000000007", "key=ffffffffffffffff"),
        ("X-Weight: units=1,spread=2,first=0\r\n", ""),
        ("units=1", "units=NaN"),
        ("units=1", "units=-1"),
        ("units=1", "units=1e300"),
        ("spread=2", "spread=0"),
        ("spread=2", "spread=4000000000"),
        ("first=0", "first=9"),
        ("X-Deadline-Ms: 40000", "X-Deadline-Ms: soon"),
        ("X-Deadline-Ms: 40000", "X-Deadline-Ms: 18446744073709551615"),
        ("POST /post", "GET /post"),
        ("POST /post", "POST /lookup"),
        ("Content-Length: 5", "Content-Length: x"),
        ("Content-Length: 5", "Content-Length: -5"),
        ("units=1", "units=5"),
        ("units=1", "units=+1"),
        ("units=1", "units=1,units=2"),
        ("spread=2", "spread=+2"),
        ("X-Deadline-Ms: 40000", "X-Deadline-Ms: +40000"),
        ("key=0000000000000007", "key=0000000000000007&key=0000000000000008"),
        ("X-Request-Id: p-1", "X-Request-Id: p-1\r\nX-Request-Id: p-2"),
        ("X-Class: post", "X-Class: post\r\nX-Class: lookup"),
        ("X-Tariff: free", "X-Tariff: free\r\nX-Tariff: paid"),
        ("X-Deadline-Ms: 40000", "X-Deadline-Ms: 40000\r\nX-Deadline-Ms: 1"),
    ];
    for (part, replacement) in replacements {
        assert!(good.contains(part), "the valid request does not contain {part}");
        let mut client = edge.connect();
        client.send_raw(&good.replace(part, replacement));
        assert_eq!(client.response().status(), 400, "{part:?} -> {replacement:?}");
    }
    endpoint.assert_no_request();
}

#[test]
fn body_that_is_too_long_gets_413_and_reaches_no_endpoint() {
    let OneEndpoint { endpoint, edge, client: _client } = one_endpoint();
    let good = request("post", "p-1").text();
    let mut client = edge.connect();
    client.send_raw(&good.replace("Content-Length: 5\r\n\r\nslip!", "Content-Length: 70000\r\n\r\n"));
    client.send_raw(&"x".repeat(70_000));
    assert_eq!(client.response().status(), 413);
    // The node refuses a body by its announced length, without waiting for it to arrive.
    let mut client = edge.connect();
    client.send_raw(&good.replace("Content-Length: 5", "Content-Length: 60000000"));
    assert_eq!(client.response().status(), 413);
    client.read_to_end();
    endpoint.assert_no_request();
}

#[test]
fn request_with_ambiguous_framing_is_refused_and_nothing_after_it_is_read() {
    let OneEndpoint { endpoint, edge, client: _client } = one_endpoint();
    let hidden_request = request("post", "hidden").text();
    let body = format!("0\r\n\r\n{hidden_request}");
    let framings = [
        format!("Transfer-Encoding: chunked\r\nContent-Length: {}", body.len()),
        format!("Content-Length: {}\r\nTransfer-Encoding: chunked", body.len()),
        "Transfer-Encoding: identity".to_string(),
        "Transfer-Encoding: gzip, chunked".to_string(),
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked".to_string(),
        format!("Transfer-Encoding: chunked\r\nCONTENT-lENGTH:{}", body.len()),
    ];
    for framing in framings {
        let mut client = edge.connect();
        let text = request("post", "p-1").text().replace("Content-Length: 5", &framing);
        client.send_raw(&text.replace("slip!", &body));
        assert_eq!(client.response().status(), 400, "{framing}");
        assert_eq!(client.read_to_end(), "", "{framing}");
    }
    let mut client = edge.connect();
    let get = request("lookup", "l-1").text();
    client.send_raw(&get.replace("\r\n\r\n", "\r\nContent-Length: 5\r\n\r\nslip!"));
    assert_eq!(client.response().status(), 400);
    client.read_to_end();
    endpoint.assert_no_request();
}

/// Guards against sending on the beginning of a body as the whole: the stated length was too small, and an
/// endpoint ran a request that no client had sent.
#[test]
fn request_with_a_stated_length_that_is_too_small_is_refused_and_nothing_after_it_is_read() {
    let OneEndpoint { endpoint, edge, client: _client } = one_endpoint();
    let hidden_request = request("post", "hidden").text();
    for class in ["slip", "post"] {
        for stated_length in 0..5 {
            let text = request(class, "p-1").text();
            let stated = format!("Content-Length: {stated_length}");
            let mut client = edge.connect();
            client.send_raw(&format!("{}{hidden_request}", text.replace("Content-Length: 5", &stated)));
            assert_eq!(client.response().status(), 400, "{class}, {stated}");
            assert_eq!(client.read_to_end(), "", "{class}, {stated}");
        }
    }
    // The rest of the body begins like a method, but no space follows.
    let mut client = edge.connect();
    client.send_raw(&request("post", "p-1").text().replace("slip!", "slip!POSTED"));
    assert_eq!(client.response().status(), 400);
    assert_eq!(client.read_to_end(), "");
    endpoint.assert_no_request();
}

/// Guards against sending on the beginning of a body as the whole where its stated end is also the end of what
/// the node reads at once: the rest lies unread in the socket.
#[test]
fn request_whose_stated_end_is_the_end_of_a_read_is_not_sent_on_shortened() {
    /// How many bytes the node reads first on a connection.
    const READ_BYTES: usize = 8 * 1024;
    let OneEndpoint { endpoint, edge, client: _client } = one_endpoint();
    let head = request("post", "p-1").text().replace("Content-Length: 5\r\n\r\nslip!", "");
    for stated_end in READ_BYTES - 2..=READ_BYTES + 2 {
        let head_bytes = head.len() + "Content-Length: 1000\r\n\r\n".len();
        let body = "x".repeat(stated_end - head_bytes);
        let mut client = edge.connect();
        client.send_raw(&format!("{head}Content-Length: {}\r\n\r\n{body}rest", body.len()));
        assert_eq!(client.response().status(), 400, "stated end {stated_end}");
    }
    endpoint.assert_no_request();
}

/// A request without a body cannot lack the end of one.
#[test]
fn get_that_is_followed_by_noise_is_served_and_the_noise_is_refused() {
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    client.send_raw(&format!("{}noise\r\n\r\n", request("lookup", "l-1").text()));
    endpoint.next_request().respond_ok("served");
    client.assert_ok("served");
    assert_eq!(client.response().status(), 400);
    assert_eq!(client.read_to_end(), "");
}

/// Further requests and empty lines behind a body do not belong to it.
#[test]
fn request_that_is_followed_by_another_or_by_its_beginning_is_served() {
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    for (number, class) in ["lookup", "slip", "post"].into_iter().enumerate() {
        for (column, sent_length) in [1, 4, 40].into_iter().enumerate() {
            let first = request("post", &format!("first-{number}-{column}"));
            let next = request(class, &format!("next-{number}-{column}"));
            let next_text = format!("\r\n{}", next.text());
            client.send_raw(&format!("{}{}", first.text(), &next_text[..sent_length]));
            let received = endpoint.next_request();
            assert_eq!(received.request_id(), first.id);
            received.respond_ok("first");
            client.assert_ok("first");
            client.send_raw(&next_text[sent_length..]);
            let received = endpoint.next_request();
            assert_eq!(received.request_id(), next.id);
            received.respond_ok("next");
            client.assert_ok("next");
        }
    }
}

#[test]
fn absolute_form_is_forwarded_in_origin_form() {
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    client.send_raw(&request("lookup", "l-2").text().replace("GET /", "GET http://service.internal/"));
    let received = endpoint.next_request();
    assert_eq!(received.message.start_line, "GET /lookup?key=0000000000000007 HTTP/1.1");
    received.respond_ok("ok");
    client.assert_ok("ok");
}

/// Returns one chunk of a chunked body.
fn chunk(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n", body.len())
}

#[test]
fn chunked_body_is_forwarded_with_its_length_and_nothing_after_it_is_read() {
    let OneEndpoint { endpoint, edge, client: _client } = one_endpoint();
    let longest = "x".repeat(MAX_BODY_LENGTH);
    let rows = [
        (vec![format!("{}{}0\r\n\r\n", chunk("sl"), chunk("ip!"))], "slip!"),
        // The node ignores a chunk extension and a trailer.
        (vec!["5;a=b\r\nslip!\r\n0\r\nX-Class: post\r\n\r\n".to_string()], "slip!"),
        (vec!["0\r\n\r\n".to_string()], ""),
        (vec![format!("{}0\r\n\r\n", chunk(&longest))], &longest),
        // The body arrives byte by byte.
        ("5\r\nslip!\r\n0\r\n\r\n".chars().map(String::from).collect(), "slip!"),
    ];
    for (number, (pieces, body)) in rows.into_iter().enumerate() {
        let mut client = edge.connect();
        let text = request("post", &format!("p-{number}")).text();
        let text = text.replace("Content-Length: 5", "transfer-encoding: Chunked");
        client.send_raw(&text.replace("slip!", ""));
        for piece in pieces {
            client.send_raw(&piece);
        }
        client.send(&request("post", "hidden"));
        let received = endpoint.next_request();
        assert_eq!(received.request_id(), format!("p-{number}"));
        assert_eq!(received.message.body, body.as_bytes());
        received.respond_ok("served");
        let response = client.response();
        assert_eq!(response.status(), 200);
        assert_eq!(response.header("connection"), Some("close"));
        assert_eq!(client.read_to_end(), "");
    }
    drop(edge);
    endpoint.assert_no_request_until_node_ended();
}

#[test]
fn malformed_or_too_long_chunked_body_is_refused() {
    let OneEndpoint { endpoint, edge, client: _client } = one_endpoint();
    let too_long = chunk(&"x".repeat(MAX_BODY_LENGTH + 1));
    for (body, status) in [("5\r\nslip!!\r\n0\r\n\r\n", 400), ("no chunk\r\n", 400), (too_long.as_str(), 413)]
    {
        let mut client = edge.connect();
        let text = request("post", "p-bad").text();
        let text = text.replace("Content-Length: 5", "Transfer-Encoding: chunked");
        client.send_raw(&text.replace("slip!", body));
        assert_eq!(client.response().status(), status);
        assert_eq!(client.read_to_end(), "");
    }
    drop(edge);
    endpoint.assert_no_request_until_node_ended();
}

#[test]
fn client_that_does_not_finish_its_request_is_disconnected_in_time() {
    let OneEndpoint { endpoint, edge, mut client } = one_endpoint();
    let text = request("post", "p-1").text();
    assert_served_by(&endpoint, &mut client, &request("lookup", "l-1"));
    // One client sends nothing. One sends half a head on a new connection, and one on a used connection. One
    // sends a body that lacks two bytes.
    let silent = edge.connect();
    let mut half_head = edge.connect();
    let mut half_body = edge.connect();
    half_head.send_raw(&text[..text.len() / 2]);
    client.send_raw(&text[..text.len() / 2]);
    half_body.send_raw(&text[..text.len() - 2]);
    assert_eq!(half_body.response().status(), 408);
    for unfinished in [silent, half_head, client, half_body] {
        assert_eq!(unfinished.read_to_end(), "");
    }
    endpoint.assert_no_request();
}
